//! Runs a case of the review: starts daemons and stand-ins, causes the disruption, and checks the rule from what
//! clients and servers saw.
//!
//! Usage: `jayrack-review CASE ROOT RECORD`; without the disruption if the variable `TROUBLE` is 0. Exits with 1 if the
//! rule was broken, 0 if it held, and 2 if the case could not run.
mod client;
mod departed_server;
mod fleet;
mod foreign_report;
mod fractional_bound;
mod http;
mod late_refusal;
mod overstated_length;
mod record;
mod relay;
mod server;

use std::{env, path::PathBuf, process::exit, sync::Arc};

fn main() {
    let arguments: Vec<String> = env::args().skip(1).collect();
    let [case, root, path] = arguments.as_slice() else {
        eprintln!("usage: jayrack-review CASE ROOT RECORD");
        exit(2);
    };
    let has_trouble = env::var("TROUBLE").map_or(true, |value| value != "0");
    let root = PathBuf::from(root);
    let record = Arc::new(record::Record::new());
    let result = match case.as_str() {
        "late-refusal" => late_refusal::run(&root, &record, has_trouble),
        "departed-server" => departed_server::run(&root, &record, has_trouble),
        "foreign-report" => foreign_report::run(&root, &record, has_trouble),
        "fractional-bound" => fractional_bound::run(&root, &record, has_trouble),
        "overstated-length" => overstated_length::run(&root, &record, has_trouble),
        _ => Err(format!("there is no case {case}")),
    };
    let (code, verdict) = match result {
        Ok(broken) if broken.is_empty() => (0, "the rule held".to_string()),
        Ok(broken) => (1, format!("the rule was broken:\n{}", broken.join("\n"))),
        Err(error) => (2, format!("the case could not run: {error}")),
    };
    println!("{verdict}");
    if let Err(error) = record.write(&PathBuf::from(path), &verdict) {
        eprintln!("{path}: {error}");
        exit(2);
    }
    exit(code);
}
