//! Child processes and the temporary directory of their settings and logs.
use std::{
    fs::File,
    io::{BufRead, BufReader},
    path::{Path, PathBuf},
    process::{Child, Command, ExitStatus, Stdio},
    time::Duration,
};

use eyre::{Result, WrapErr, ensure};
use rustix::process::{Pid, Signal, kill_process};

use crate::{binaries::Program, observe, standin_process::StartLine};

/// Limit of [`ChildProcess::wait`]; only reached by a hung run.
const EXIT_TIMEOUT: Duration = Duration::from_secs(60);

/// A child process; killed when dropped.
#[derive(Debug)]
pub struct ChildProcess {
    name: String,
    child: Child,
    log: PathBuf,
}

/// A process to start.
#[derive(Debug, Clone)]
pub struct ProcessPlan<'a> {
    /// Name used in messages and for the log file.
    pub name: &'a str,
    /// Executable to run.
    pub program: Program,
    /// Command-line arguments.
    pub arguments: &'a [String],
    /// Directory of the log file.
    pub directory: &'a Path,
}

impl ChildProcess {
    /// Starts a process; its standard error is appended to its log file.
    pub fn start(plan: &ProcessPlan<'_>) -> Result<Self> {
        Self::spawn(plan, Stdio::null())
    }

    /// Starts a stand-in and waits for the line that it prints once it listens.
    pub fn start_standin(plan: &ProcessPlan<'_>) -> Result<(Self, StartLine)> {
        let mut process = Self::spawn(plan, Stdio::piped())?;
        let mut line = String::new();
        if let Some(stdout) = process.child.stdout.take() {
            BufReader::new(stdout).read_line(&mut line)?;
        }
        let start_line = serde_json::from_str(&line)
            .wrap_err_with(|| format!("{} did not start: {}", plan.name, process.log_tail()))?;
        Ok((process, start_line))
    }

    fn spawn(plan: &ProcessPlan<'_>, stdout: Stdio) -> Result<Self> {
        let log = plan.directory.join(format!("{}.log", plan.name));
        let file = File::options().create(true).append(true).open(&log)?;
        let child = Command::new(plan.program.path()?)
            .args(plan.arguments)
            .stdin(Stdio::piped())
            .stdout(stdout)
            .stderr(file)
            .spawn()
            .wrap_err_with(|| format!("cannot start {}", plan.name))?;
        Ok(Self {
            name: plan.name.to_string(),
            child,
            log,
        })
    }

    /// Process identifier.
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Whether the process has not exited yet.
    pub fn is_running(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(None))
    }

    /// The last 20 lines of the log file; empty when it can't be read.
    pub fn log_tail(&self) -> String {
        const TAIL_LINES: usize = 20;
        let text = std::fs::read_to_string(&self.log).unwrap_or_default();
        let lines: Vec<&str> = text.lines().collect();
        lines[lines.len().saturating_sub(TAIL_LINES)..].join("\n")
    }

    /// Freezes the process with `SIGSTOP`.
    pub fn freeze(&self) -> Result<()> {
        self.signal(Signal::STOP)
    }

    /// Resumes a frozen process with `SIGCONT`.
    pub fn thaw(&self) -> Result<()> {
        self.signal(Signal::CONT)
    }

    /// Requests a graceful stop with `SIGTERM`.
    pub fn request_stop(&self) -> Result<()> {
        self.signal(Signal::TERM)
    }

    /// Waits until the process has exited on its own; fails after 60 s.
    pub async fn wait(mut self) -> Result<ExitStatus> {
        let what = format!("{} to end", self.name);
        let child = &mut self.child;
        observe::until(EXIT_TIMEOUT, &what, async || {
            child.try_wait().ok().flatten()
        })
        .await
    }

    /// Kills the process and reaps it.
    pub fn kill(mut self) -> Result<()> {
        self.child.kill()?;
        self.child.wait()?;
        Ok(())
    }

    fn signal(&self, signal: Signal) -> Result<()> {
        kill_process(Pid::from_child(&self.child), signal)
            .wrap_err_with(|| format!("cannot signal {}", self.name))
    }
}

impl Drop for ChildProcess {
    fn drop(&mut self) {
        if self.is_running() {
            // An error means that the process has exited since the check.
            self.child.kill().ok();
            self.child.wait().ok();
        }
    }
}

/// A temporary directory for settings and logs, removed when dropped unless the thread is panicking.
#[derive(Debug)]
pub struct RunDirectory {
    path: PathBuf,
}

impl RunDirectory {
    /// Creates a directory named after the process identifier and a counter.
    pub fn create() -> Result<Self> {
        static COUNTER: std::sync::atomic::AtomicU32 = std::sync::atomic::AtomicU32::new(0);
        let number = COUNTER.fetch_add(1, std::sync::atomic::Ordering::Relaxed);
        let name = format!("jayrack-testkit-{}-{number}", std::process::id());
        let path = std::env::temp_dir().join(name);
        std::fs::create_dir_all(&path)?;
        ensure!(path.is_dir(), "no directory {}", path.display());
        Ok(Self { path })
    }

    /// Path of the directory.
    pub fn path(&self) -> &Path {
        &self.path
    }
}

impl Drop for RunDirectory {
    fn drop(&mut self) {
        if !std::thread::panicking() {
            std::fs::remove_dir_all(&self.path).ok();
        }
    }
}
