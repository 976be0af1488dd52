//! The daemon that runs beside each backend server.
use std::{path::Path, process::ExitCode};

use getopts::Options;
use jayrack_protocol::ResultCode;
use jayrackd::{control, logging, settings};
use tokio::signal::unix::{SignalKind, signal};

const EXIT_FAILED: u8 = 1;
const EXIT_USAGE: u8 = 2;

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let options = options();
    let matches = match options.parse(&arguments) {
        Ok(matches) => matches,
        Err(error) => return usage_error(&error.to_string()),
    };
    if matches.opt_present("help") {
        println!(
            "{}",
            options.usage("usage: jayrackd --settings FILE [--check]")
        );
        return ExitCode::SUCCESS;
    }
    if matches.opt_present("version") {
        println!("jayrackd {}", env!("CARGO_PKG_VERSION"));
        return ExitCode::SUCCESS;
    }
    match matches.opt_str("settings") {
        Some(path) if matches.free.is_empty() => {
            load(Path::new(&path), matches.opt_present("check"))
        }
        _ => usage_error("expected `--settings FILE` and no other argument"),
    }
}

fn options() -> Options {
    let mut options = Options::new();
    options
        .optopt("s", "settings", "settings file, JSON with comments", "FILE")
        .optflag("c", "check", "check the settings and exit")
        .optflag("h", "help", "print this help and exit")
        .optflag("V", "version", "print the version and exit");
    options
}

fn load(path: &Path, check_only: bool) -> ExitCode {
    match settings::load(path) {
        Ok(_) if check_only => {
            println!("settings are valid");
            ExitCode::SUCCESS
        }
        Ok(settings) => match run(settings) {
            Ok(()) => ExitCode::SUCCESS,
            Err(report) => fail(&report.to_string()),
        },
        Err(error) => fail(&error.to_string()),
    }
}

fn run(settings: settings::DaemonSettings) -> eyre::Result<()> {
    logging::init();
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    runtime.block_on(async {
        let mut terminate = signal(SignalKind::terminate())?;
        let mut interrupt = signal(SignalKind::interrupt())?;
        let control = control::start(settings).await?;
        let stop = async move {
            tokio::select! {
                _ = terminate.recv() => {}
                _ = interrupt.recv() => {}
            }
        };
        control.run(stop).await;
        Ok(())
    })
}

fn usage_error(message: &str) -> ExitCode {
    eprintln!(
        "jayrackd: {}: {message}; see `jayrackd --help`",
        ResultCode::UsageInvalid
    );
    ExitCode::from(EXIT_USAGE)
}

fn fail(message: &str) -> ExitCode {
    eprintln!("jayrackd: {message}");
    ExitCode::from(EXIT_FAILED)
}
