//! Runs one scripted case: exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run.
mod body_crowd;
mod client;
mod drain_clock;
mod endless_body;
mod fleet;
mod foreign_call;
mod record;
mod server;
mod slow_lender;

use std::{
    path::{Path, PathBuf},
    process::ExitCode,
};

use fleet::CaseError;
use record::CaseRecord;

const EXIT_BROKEN: u8 = 1;
const EXIT_NOT_RUN: u8 = 2;

/// Where a case runs and what it is told.
pub struct CaseContext {
    /// Root of the repository.
    pub root: PathBuf,
    /// Temporary folder for settings and logs.
    pub folder: PathBuf,
    /// Whether the disruption takes place.
    pub has_trouble: bool,
    /// The record.
    pub record: CaseRecord,
}

/// Result of a case that could run.
pub enum Verdict {
    /// The rule held.
    Held,
    /// The rule was broken.
    Broken,
}

#[tokio::main]
async fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let [name, root, folder, record] = arguments.as_slice() else {
        eprintln!("usage: jayrack-review-cases CASE ROOT FOLDER RECORD");
        return ExitCode::from(EXIT_NOT_RUN);
    };
    let record = match CaseRecord::create(Path::new(record)) {
        Ok(record) => record,
        Err(error) => {
            eprintln!("no record: {error}");
            return ExitCode::from(EXIT_NOT_RUN);
        }
    };
    let context = CaseContext {
        root: PathBuf::from(root),
        folder: PathBuf::from(folder),
        has_trouble: std::env::var("TROUBLE").as_deref() != Ok("0"),
        record: record.clone(),
    };
    record.say(&format!("case {name}, disruption: {}", context.has_trouble));
    let verdict = run(name, &context).await;
    let code = match verdict {
        Ok(Verdict::Held) => {
            record.say("the rule held");
            ExitCode::SUCCESS
        }
        Ok(Verdict::Broken) => {
            record.say("the rule was broken");
            ExitCode::from(EXIT_BROKEN)
        }
        Err(error) => {
            record.say(&format!("the case could not run: {error}"));
            ExitCode::from(EXIT_NOT_RUN)
        }
    };
    record.flush();
    code
}

async fn run(name: &str, context: &CaseContext) -> Result<Verdict, CaseError> {
    match name {
        "body-crowd" => body_crowd::run(context).await,
        "drain-clock" => drain_clock::run(context).await,
        "endless-body" => endless_body::run(context).await,
        "foreign-call" => foreign_call::run(context).await,
        "slow-lender" => slow_lender::run(context).await,
        _ => Err(format!("there is no case {name}").into()),
    }
}
