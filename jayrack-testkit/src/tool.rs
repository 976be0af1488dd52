//! Runs the operators' command-line tool as a process.
use std::{
    net::SocketAddr,
    path::Path,
    process::{Command, Stdio},
};

use eyre::{Result, WrapErr, eyre};
use serde_json::Value;

use crate::binaries::Program;

/// Result of one run of the tool.
#[derive(Debug, Clone, PartialEq)]
pub struct ToolOutput {
    /// Exit status of the process.
    pub status: i32,
    /// JSON that the tool printed to standard output.
    pub body: Value,
}

/// Runs `jayrack --json` with `arguments` against one daemon.
///
/// Fails when the tool prints no JSON or is killed by a signal.
pub fn run(server: SocketAddr, token: &str, arguments: &[&str]) -> Result<ToolOutput> {
    let output = Command::new(Program::Tool.path()?)
        .args(["--server", &server.to_string(), "--token", token, "--json"])
        .args(arguments)
        .stdin(Stdio::null())
        .output()
        .wrap_err("cannot start the tool")?;
    let text = String::from_utf8_lossy(&output.stdout);
    let body = serde_json::from_str(&text).wrap_err_with(|| {
        let errors = String::from_utf8_lossy(&output.stderr);
        format!("{arguments:?} printed {text} {errors}")
    })?;
    let status = output.status.code();
    Ok(ToolOutput {
        status: status.ok_or_else(|| eyre!("the tool was killed by a signal"))?,
        body,
    })
}

/// Writes an intent to a file for `jayrack plan` and returns its path.
pub fn write_intent(directory: &Path, change: &Value) -> Result<String> {
    let path = directory.join("intent.json");
    std::fs::write(&path, format!("{change:#}\n"))?;
    Ok(path.display().to_string())
}
