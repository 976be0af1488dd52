//! What the stand-in processes have in common.
use std::{
    io::Write,
    net::{Ipv4Addr, SocketAddr, SocketAddrV4},
};

use eyre::Result;
use serde::{Deserialize, Serialize};
use tokio::io::AsyncReadExt;

/// Any free port of the loopback interface.
pub const ANY_PORT: SocketAddr = SocketAddr::V4(SocketAddrV4::new(Ipv4Addr::LOCALHOST, 0));

/// The first line that a stand-in prints.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct StartLine {
    /// Where it listens.
    pub address: SocketAddr,
}

/// Prints the first line.
pub fn print_start_line(line: &StartLine) -> Result<()> {
    let mut stdout = std::io::stdout().lock();
    writeln!(stdout, "{}", serde_json::to_string(line)?)?;
    stdout.flush()?;
    Ok(())
}

/// Returns when standard input is closed, as it is when the parent process ends.
pub async fn wait_for_stdin_end() {
    let mut stdin = tokio::io::stdin();
    let mut buffer = [0; 64];
    while stdin.read(&mut buffer).await.is_ok_and(|count| count > 0) {}
}

/// Returns at the first interrupt or request to stop.
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
