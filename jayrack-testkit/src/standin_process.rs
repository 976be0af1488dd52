//! Start-up and shutdown shared by the stand-in processes.
use std::{
    io::Write,
    net::{Ipv4Addr, SocketAddr, SocketAddrV4},
};

use eyre::Result;
use serde::{Deserialize, Serialize};
use tokio::io::AsyncReadExt;

/// Loopback address with port 0, which selects any free port.
pub const ANY_PORT: SocketAddr = SocketAddr::V4(SocketAddrV4::new(Ipv4Addr::LOCALHOST, 0));

/// The line of JSON that a stand-in prints once it listens.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct StartLine {
    /// Address that the stand-in listens on.
    pub address: SocketAddr,
}

/// Prints `line` to standard output and flushes it.
pub fn print_start_line(line: &StartLine) -> Result<()> {
    let mut stdout = std::io::stdout().lock();
    writeln!(stdout, "{}", serde_json::to_string(line)?)?;
    stdout.flush()?;
    Ok(())
}

/// Waits until standard input is closed, which also happens when the parent process exits.
pub async fn wait_for_stdin_end() {
    let mut stdin = tokio::io::stdin();
    let mut buffer = [0; 64];
    while stdin.read(&mut buffer).await.is_ok_and(|count| count > 0) {}
}

/// Waits for `SIGINT` or `SIGTERM`.
pub async fn wait_for_interrupt() -> Result<()> {
    use tokio::signal::unix::{SignalKind, signal};
    let mut interrupt = signal(SignalKind::interrupt())?;
    let mut terminate = signal(SignalKind::terminate())?;
    tokio::select! {
        _ = interrupt.recv() => {}
        _ = terminate.recv() => {}
    }
    Ok(())
}
