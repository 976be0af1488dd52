//! Command line of the daemon beside each backend server on the platform.
use std::{env, path::PathBuf, process::ExitCode};

use getopts::Options;
use jayrack_meshd::{control, logging, settings};
use jayrack_platform::headers::{SETTINGS_PATH, SETTINGS_VARIABLE};

const EXIT_FAILED: u8 = 1;
const EXIT_USAGE: u8 = 2;

fn main() -> ExitCode {
    let arguments: Vec<String> = env::args().skip(1).collect();
    let options = options();
    let matches = match options.parse(&arguments) {
        Ok(matches) if matches.free.is_empty() => matches,
        Ok(_) => return usage_error("positional arguments are not supported"),
        Err(error) => return usage_error(&error.to_string()),
    };
    if matches.opt_present("help") {
        println!(
            "{}",
            options.usage("usage: jayrack-meshd [--settings FILE] [--check]")
        );
        return ExitCode::SUCCESS;
    }
    if matches.opt_present("version") {
        println!("jayrack-meshd {}", env!("CARGO_PKG_VERSION"));
        return ExitCode::SUCCESS;
    }
    let path = matches
        .opt_str("settings")
        .or_else(|| env::var(SETTINGS_VARIABLE).ok())
        .map_or_else(|| PathBuf::from(SETTINGS_PATH), PathBuf::from);
    let settings = match settings::load(&path) {
        Ok(settings) => settings,
        Err(error) => return fail(&error.to_string()),
    };
    if matches.opt_present("check") {
        println!("settings are valid");
        return ExitCode::SUCCESS;
    }
    logging::init();
    match control::run(settings, path) {
        Ok(()) => ExitCode::SUCCESS,
        Err(report) => fail(&format!("{report:#}")),
    }
}

fn options() -> Options {
    let mut options = Options::new();
    options
        .optopt("s", "settings", "settings file, JSON with comments", "FILE")
        .optflag("c", "check", "check the settings and exit")
        .optflag("h", "help", "print this help")
        .optflag("V", "version", "print the version");
    options
}

fn usage_error(message: &str) -> ExitCode {
    eprintln!("jayrack-meshd: 104 UsageInvalid: {message}; see `jayrack-meshd --help`");
    ExitCode::from(EXIT_USAGE)
}

fn fail(message: &str) -> ExitCode {
    eprintln!("jayrack-meshd: {message}");
    ExitCode::from(EXIT_FAILED)
}
