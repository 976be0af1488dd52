//! Drivers of the review's scripts: `jayrack-review-3 CASE RECORD`, run in the root of the repository.
//!
//! Exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run. With `TROUBLE=0` in the
//! environment, the disruption is left out.
mod callers;
mod drill_change;
mod drill_departure;
mod fleet;
mod lone_lenders;
mod record;
mod relay;
mod servers;
mod silent_store;
mod store;
mod unframed_answer;

use std::{process::ExitCode, time::Duration};

use record::{CaseRecord, Verdict};
use tokio::signal::unix::{SignalKind, signal};

/// Time limit of a script, less the time for ending its processes.
const RUN_LIMIT: Duration = Duration::from_secs(110);

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let [case, path] = arguments.as_slice() else {
        eprintln!("usage: jayrack-review-3 CASE RECORD");
        return ExitCode::from(2);
    };
    let has_trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    let record = CaseRecord::new();
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(4)
        .enable_all()
        .build()
        .expect("the runtime starts");
    let verdict = runtime.block_on(async {
        let running = async {
            match case.as_str() {
                "drill-change" => drill_change::run(&record, has_trouble).await,
                "drill-departure" => drill_departure::run(&record, has_trouble).await,
                "lone-lenders" => lone_lenders::run(&record, has_trouble).await,
                "silent-store" => silent_store::run(&record, has_trouble).await,
                "unframed-answer" => unframed_answer::run(&record, has_trouble).await,
                _ => Err(format!("unknown case {case}")),
            }
        };
        // Whichever ends first, the fleet's processes are killed when `running` is dropped.
        tokio::select! {
            verdict = running => verdict,
            () = tokio::time::sleep(RUN_LIMIT) => Err("the time limit was reached".to_string()),
            () = interrupted() => Err("interrupted".to_string()),
        }
    });
    let (text, code) = match verdict {
        Ok(Verdict::Held(text)) => (format!("HELD: {text}"), 0),
        Ok(Verdict::Broken(text)) => (format!("BROKEN: {text}"), 1),
        Err(text) => (format!("NOT RUN: {text}"), 2),
    };
    record.note(&text);
    println!("{text}");
    if let Err(error) = std::fs::write(path, record.text()) {
        eprintln!("{path}: {error}");
        return ExitCode::from(2);
    }
    ExitCode::from(code)
}

/// Waits for SIGINT or SIGTERM.
async fn interrupted() {
    let terminated = async {
        match signal(SignalKind::terminate()) {
            Ok(mut terminate) => terminate.recv().await,
            Err(_) => std::future::pending().await,
        }
    };
    tokio::select! {
        _ = terminated => {}
        _ = tokio::signal::ctrl_c() => {}
    }
}
