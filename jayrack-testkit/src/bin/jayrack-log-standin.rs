//! The platform log stand-in as a process; prints its address as one line of JSON.
#![deny(missing_docs, unsafe_code)]
use std::net::SocketAddr;

use eyre::Result;
use jayrack_testkit::{
    log_standin::LogStandin,
    standin_process::{self, StartLine},
};

#[tokio::main(flavor = "current_thread")]
async fn main() -> Result<()> {
    let mut options = getopts::Options::new();
    options.optopt("", "listen", "address to listen on", "IP:PORT");
    options.optflag("", "exit-with-stdin", "end when standard input is closed");
    let matches = options.parse(std::env::args().skip(1))?;
    let listen: SocketAddr = matches
        .opt_get("listen")?
        .unwrap_or(standin_process::ANY_PORT);
    let standin = LogStandin::start(listen).await?;
    standin_process::print_start_line(&StartLine {
        address: standin.address(),
    })?;
    if matches.opt_present("exit-with-stdin") {
        standin_process::wait_for_stdin_end().await;
        standin.close().await;
    } else {
        standin.wait().await;
    }
    Ok(())
}
