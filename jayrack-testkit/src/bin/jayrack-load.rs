//! Measurements of a fleet on loopback; prints one line of JSON per run.
#![deny(missing_docs, unsafe_code)]
use std::{process::ExitCode, str::FromStr};

use eyre::{Result, WrapErr, bail};
use getopts::Matches;
use jayrack_testkit::{
    deployment::{self, DeploymentPlan},
    load::{control_cost, convergence, flood, latency},
};
use serde::Serialize;

const SYNOPSIS: &str = "usage: jayrack-load [OPTIONS] MEASURE

measures:
  convergence   acceptance of a change to the last daemon
  control-cost  bytes, datagrams, processor time and memory per daemon
  flood         service by rank under a flood
  latency       time added by two daemons";

#[tokio::main]
async fn main() -> ExitCode {
    match run().await {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("jayrack-load: {error:#}");
            ExitCode::FAILURE
        }
    }
}

async fn run() -> Result<()> {
    let usage = usage();
    let matches = usage.parse(std::env::args().skip(1))?;
    if matches.opt_present("help") {
        println!("{}", usage.usage(SYNOPSIS));
        return Ok(());
    }
    let arguments: Vec<&str> = matches.free.iter().map(String::as_str).collect();
    match arguments.as_slice() {
        ["convergence"] => print(&convergence::run(convergence_options(&matches)?).await?),
        ["control-cost"] => print(&control_cost::run(control_cost_options(&matches)?).await?),
        ["latency"] => print(&latency::run(&latency_options(&matches)?).await?),
        ["flood"] => {
            for options in flood_options(&matches)? {
                print(&flood::run(&options).await?)?;
            }
            Ok(())
        }
        _ => bail!("no such measure; see --help"),
    }
}

fn usage() -> getopts::Options {
    let mut options = getopts::Options::new();
    options
        .optopt("", "daemons", "number of daemons", "COUNT")
        .optopt("", "changes", "changes to converge on", "COUNT")
        .optflag("", "kill-readers", "kill a data centre's readers first")
        .optopt("", "seconds", "length of each phase", "SECONDS")
        .optopt("", "churn", "server changes per second", "COUNT")
        .optopt("", "baseline", "poll or fifo", "NAME")
        .optopt("", "deployment", "turnio, tugrug or both", "NAME")
        .optopt("", "slots", "slots of each server", "COUNT")
        .optopt("", "multiples", "sizes of the flood", "LIST")
        .optopt("", "deadline-ms", "deadline of requests", "MS")
        .optopt("", "loads", "pairs per second", "LIST")
        .optopt("", "seed", "seed of random choices", "NUMBER")
        .optflag("", "help", "print this text");
    options
}

fn convergence_options(matches: &Matches) -> Result<convergence::Options> {
    Ok(convergence::Options {
        daemons: number(matches, "daemons", 10)?,
        changes: number(matches, "changes", 20)?,
        polls: has_baseline(matches, "poll")?,
        kills_readers: matches.opt_present("kill-readers"),
        seed: number(matches, "seed", 1)?,
    })
}

fn control_cost_options(matches: &Matches) -> Result<control_cost::Options> {
    Ok(control_cost::Options {
        daemons: number(matches, "daemons", 10)?,
        seconds: number(matches, "seconds", 20)?,
        churn_per_second: number(matches, "churn", 2)?,
        polls: has_baseline(matches, "poll")?,
        seed: number(matches, "seed", 1)?,
    })
}

fn latency_options(matches: &Matches) -> Result<latency::Options> {
    Ok(latency::Options {
        loads_per_second: list(matches, "loads", &[100, 500, 1_000])?,
        seconds: number(matches, "seconds", 10)?,
        seed: number(matches, "seed", 1)?,
    })
}

/// One run per deployment and policy; a baseline comes after the run it is compared with.
fn flood_options(matches: &Matches) -> Result<Vec<flood::Options>> {
    let mut runs = Vec::new();
    for deployment in deployments(matches)? {
        let options = flood::Options {
            deployment,
            slots: number(matches, "slots", 4)?,
            multiples: list(matches, "multiples", &[1.0, 2.0, 5.0, 10.0])?,
            seconds: number(matches, "seconds", 5)?,
            deadline_ms: number(matches, "deadline-ms", 1_000)?,
            is_fifo: false,
            seed: number(matches, "seed", 1)?,
        };
        runs.push(options.clone());
        if has_baseline(matches, "fifo")? {
            runs.push(flood::Options {
                is_fifo: true,
                ..options
            });
        }
    }
    Ok(runs)
}

fn deployments(matches: &Matches) -> Result<Vec<DeploymentPlan>> {
    match matches.opt_str("deployment").as_deref() {
        None | Some("both") => Ok(vec![deployment::turnio(), deployment::tugrug()]),
        Some("turnio") => Ok(vec![deployment::turnio()]),
        Some("tugrug") => Ok(vec![deployment::tugrug()]),
        Some(other) => bail!("no such deployment: {other}"),
    }
}

fn has_baseline(matches: &Matches, name: &str) -> Result<bool> {
    match matches.opt_str("baseline") {
        None => Ok(false),
        Some(baseline) if baseline == name => Ok(true),
        Some(baseline) => bail!("this measure has no baseline {baseline}"),
    }
}

fn number<T>(matches: &Matches, name: &str, default: T) -> Result<T>
where
    T: FromStr,
    T::Err: std::error::Error + Send + Sync + 'static,
{
    let value = matches
        .opt_get(name)
        .wrap_err_with(|| format!("--{name}"))?;
    Ok(value.unwrap_or(default))
}

fn list<T>(matches: &Matches, name: &str, default: &[T]) -> Result<Vec<T>>
where
    T: FromStr + Clone,
    T::Err: std::error::Error + Send + Sync + 'static,
{
    let Some(text) = matches.opt_str(name) else {
        return Ok(default.to_vec());
    };
    text.split(',')
        .map(|item| item.parse().wrap_err_with(|| format!("--{name}")))
        .collect()
}

fn print(report: &impl Serialize) -> Result<()> {
    println!("{}", serde_json::to_string(report)?);
    Ok(())
}
