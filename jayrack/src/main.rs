//! The operators' command-line tool.
use std::{
    io::Read,
    path::{Path, PathBuf},
    process::ExitCode,
};

use jayrack::{client, explain, render, usage};
use jayrack_protocol::ResultCode;

const EXIT_REFUSED: u8 = 1;
const EXIT_USAGE: u8 = 2;
const EXIT_NO_ANSWER: u8 = 3;
const EXIT_PENDING: u8 = 4;

#[tokio::main(flavor = "current_thread")]
async fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    match usage::parse(&arguments, |variable| std::env::var(variable).ok()) {
        Ok(invocation) => run(invocation).await,
        Err(error) => fail(EXIT_USAGE, &error.to_string()),
    }
}

async fn run(invocation: usage::Invocation) -> ExitCode {
    match &invocation.command {
        usage::Command::Help => print(&usage::help()),
        usage::Command::Version => print(&format!("jayrack {}", env!("CARGO_PKG_VERSION"))),
        usage::Command::Explain { id, files } => explain(id, files),
        command => match read_change(command) {
            Ok(change) => call_daemon(&invocation, &change).await,
            Err(error) => fail(EXIT_USAGE, &error.to_string()),
        },
    }
}

fn explain(id: &str, files: &[PathBuf]) -> ExitCode {
    let mut lines = Vec::new();
    for file in files {
        let source = file.display().to_string();
        match std::fs::read(file) {
            Ok(bytes) => {
                let text = String::from_utf8_lossy(&bytes);
                lines.extend(explain::trace_lines(id, &source, &text));
            }
            Err(error) => return fail(EXIT_USAGE, &format!("{source}: {error}")),
        }
    }
    print(&explain::render(id, lines))
}

async fn call_daemon(invocation: &usage::Invocation, change: &str) -> ExitCode {
    let Some(request) = client::request_for(&invocation.command, change) else {
        return ExitCode::SUCCESS;
    };
    let answer = match client::send(&invocation.server, &invocation.token, request).await {
        Ok(answer) => answer,
        Err(error) => return fail(EXIT_NO_ANSWER, &error.to_string()),
    };
    if invocation.json {
        print(&answer.body.to_string());
    } else {
        print(&render::render(&invocation.command, &answer.body));
    }
    exit_code(&answer)
}

fn exit_code(answer: &client::ApiAnswer) -> ExitCode {
    let pending = u64::from(ResultCode::PlanPending.number());
    match answer.body["code"].as_u64() {
        Some(0) => ExitCode::SUCCESS,
        Some(code) if code == pending => ExitCode::from(EXIT_PENDING),
        _ => ExitCode::from(EXIT_REFUSED),
    }
}

fn read_change(command: &usage::Command) -> eyre::Result<String> {
    let usage::Command::Plan { file, .. } = command else {
        return Ok(String::new());
    };
    let mut text = String::new();
    if file == Path::new("-") {
        std::io::stdin().read_to_string(&mut text)?;
        return Ok(text);
    }
    let read = std::fs::read_to_string(file);
    read.map_err(|error| eyre::eyre!("{}: {error}", file.display()))
}

fn print(text: &str) -> ExitCode {
    println!("{text}");
    ExitCode::SUCCESS
}

fn fail(code: u8, message: &str) -> ExitCode {
    eprintln!("jayrack: {message}");
    ExitCode::from(code)
}
