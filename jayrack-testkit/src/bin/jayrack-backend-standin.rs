//! A backend server stand-in as a process; prints its address as one line of JSON.
#![deny(missing_docs, unsafe_code)]
use std::str::FromStr;

use eyre::{Result, WrapErr};
use getopts::Matches;
use jayrack_testkit::{
    backend_standin::{BackendBehaviour, BackendStandin, Options},
    standin_process::{self, StartLine},
};

const DEFAULT_SLOTS: u32 = 12;
const DEFAULT_CONNECTIONS: u32 = 110;

#[tokio::main(flavor = "current_thread")]
async fn main() -> Result<()> {
    let matches = usage().parse(std::env::args().skip(1))?;
    let exits_with_stdin = matches.opt_present("exit-with-stdin");
    let standin = BackendStandin::start(options(&matches)?).await?;
    standin_process::print_start_line(&StartLine {
        address: standin.address(),
    })?;
    if exits_with_stdin {
        standin_process::wait_for_stdin_end().await;
        standin.close().await;
    } else {
        standin.wait().await;
    }
    Ok(())
}

fn usage() -> getopts::Options {
    let mut options = getopts::Options::new();
    options
        .reqopt("", "name", "unique name", "NAME")
        .reqopt("", "service", "service it works for", "NAME")
        .optopt("", "listen", "address to listen on", "IP:PORT")
        .optopt("", "announce", "daemon's announce address", "IP:PORT")
        .optopt("", "callers", "daemon's callers address", "IP:PORT")
        .optopt("", "slots", "requests run at once", "COUNT")
        .optopt("", "connections", "connections accepted", "COUNT")
        .optopt("", "cold-start-ms", "length of the cold start", "MS")
        .optopt("", "behaviour", "behaviour at the start", "JSON")
        .optopt("", "seed", "seed of random choices", "NUMBER")
        .optflag("", "exit-with-stdin", "end when standard input is closed");
    options
}

fn options(matches: &Matches) -> Result<Options> {
    let behaviour = match matches.opt_str("behaviour") {
        Some(text) => serde_json::from_str(&text).wrap_err("--behaviour")?,
        None => BackendBehaviour::default(),
    };
    Ok(Options {
        name: matches.opt_str("name").unwrap_or_default(),
        service: matches.opt_str("service").unwrap_or_default(),
        listen: optional(matches, "listen")?.unwrap_or(standin_process::ANY_PORT),
        advertise: None,
        announce: optional(matches, "announce")?,
        callers: optional(matches, "callers")?,
        slots: optional(matches, "slots")?.unwrap_or(DEFAULT_SLOTS),
        connections: optional(matches, "connections")?.unwrap_or(DEFAULT_CONNECTIONS),
        cold_start_ms: optional(matches, "cold-start-ms")?.unwrap_or_default(),
        behaviour,
        seed: optional(matches, "seed")?.unwrap_or_default(),
    })
}

fn optional<T>(matches: &Matches, name: &str) -> Result<Option<T>>
where
    T: FromStr,
    T::Err: std::error::Error + Send + Sync + 'static,
{
    matches.opt_get(name).wrap_err_with(|| format!("--{name}"))
}
