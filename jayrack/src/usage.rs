//! Parsing of the command line.
use std::path::PathBuf;

use getopts::{Matches, Options};

/// A command of the tool.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Command {
    /// State the intent in a file; `-` is standard input.
    Plan {
        /// The file with the change.
        file: PathBuf,
        /// A remark for readers of the plan.
        note: String,
    },
    /// Show one plan, or all if none is named.
    Show {
        /// Identifier of the plan.
        plan: Option<String>,
    },
    /// Bring a plan into force.
    Confirm {
        /// Identifier of the plan.
        plan: String,
    },
    /// Drop a plan.
    Drop {
        /// Identifier of the plan.
        plan: String,
    },
    /// Show on how many daemons the configuration is in force.
    Status,
    /// List the daemons and their backend servers.
    Members,
    /// Show burn rates of service-level objectives.
    Report,
    /// Show the trace of one request from log files.
    Explain {
        /// Identifier of the request.
        id: String,
        /// Log files of daemons.
        files: Vec<PathBuf>,
    },
    /// Print the usage and exit.
    Help,
    /// Print the version and exit.
    Version,
}

/// One run of the tool.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Invocation {
    /// Command to run.
    pub command: Command,
    /// Address of a daemon's administration API, `IP:PORT`.
    pub server: String,
    /// Token of the operator's team.
    pub token: String,
    /// Whether to print the answer as JSON.
    pub json: bool,
}

/// Error in a command line.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Error(pub String);

impl std::fmt::Display for Error {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str(&self.0)
    }
}

impl std::error::Error for Error {}

const SYNOPSIS: &str = "usage: jayrack [OPTIONS] COMMAND

commands:
  plan FILE     state an intent
  show [PLAN]   plans and their state
  confirm PLAN  bring a plan into force
  drop PLAN     drop a plan
  status        configuration in force
  members       daemons and servers
  report        service-level burn
  explain ID FILE...  a request's trace in logs

exit status:
  0  done
  1  refused, with a result code
  2  usage
  3  no answer from the daemon
  4  pending: outcome not known yet";

/// The text of `--help`.
pub fn help() -> String {
    options().usage(SYNOPSIS)
}

/// Parses `arguments` (without the program's name); `environment` supplies defaults.
///
/// # Errors
///
/// Returns [`Error`] for an unknown option or command, or the wrong number of arguments.
pub fn parse(
    arguments: &[String],
    environment: impl Fn(&str) -> Option<String>,
) -> Result<Invocation, Error> {
    let matches = options()
        .parse(arguments)
        .map_err(|fail| Error(fail.to_string()))?;
    let command = command_of(&matches)?;
    let value =
        |option: &str, variable: &str| matches.opt_str(option).or_else(|| environment(variable));
    let server = value("server", "JAYRACK_SERVER").unwrap_or_else(|| "127.0.0.1:9000".to_string());
    Ok(Invocation {
        command,
        server: server
            .trim_start_matches("http://")
            .trim_end_matches('/')
            .to_string(),
        token: value("token", "JAYRACK_TOKEN").unwrap_or_default(),
        json: matches.opt_present("json"),
    })
}

fn options() -> Options {
    let mut options = Options::new();
    options
        .optopt("s", "server", "daemon's API (or JAYRACK_SERVER)", "IP:PORT")
        .optopt("t", "token", "team's token (or JAYRACK_TOKEN)", "TOKEN")
        .optopt("n", "note", "remark on the plan", "TEXT")
        .optflag("j", "json", "print JSON")
        .optflag("h", "help", "print this text")
        .optflag("V", "version", "print the version");
    options
}

fn command_of(matches: &Matches) -> Result<Command, Error> {
    if matches.opt_present("help") {
        return Ok(Command::Help);
    }
    if matches.opt_present("version") {
        return Ok(Command::Version);
    }
    let words: Vec<&str> = matches.free.iter().map(String::as_str).collect();
    match words.as_slice() {
        ["plan", file] => Ok(Command::Plan {
            file: PathBuf::from(file),
            note: matches.opt_str("note").unwrap_or_default(),
        }),
        ["show"] => Ok(Command::Show { plan: None }),
        ["show", plan] => Ok(Command::Show {
            plan: Some(plan.to_string()),
        }),
        ["confirm", plan] => Ok(Command::Confirm {
            plan: plan.to_string(),
        }),
        ["drop", plan] => Ok(Command::Drop {
            plan: plan.to_string(),
        }),
        ["status"] => Ok(Command::Status),
        ["members"] => Ok(Command::Members),
        ["report"] => Ok(Command::Report),
        ["explain", id, files @ ..] if !files.is_empty() => Ok(Command::Explain {
            id: id.to_string(),
            files: files.iter().map(PathBuf::from).collect(),
        }),
        [] => Err(Error(
            "a command is missing; see `jayrack --help`".to_string(),
        )),
        ["plan" | "confirm" | "drop" | "explain", ..] => Err(Error(format!(
            "wrong number of arguments for `{}`",
            words[0]
        ))),
        _ => Err(Error(format!(
            "`{}` is not a valid command; see `jayrack --help`",
            words.join(" ")
        ))),
    }
}
