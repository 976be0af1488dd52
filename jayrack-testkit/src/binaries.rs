//! Locates the executables of the project beside the running one and builds them on first use.
use std::{
    path::{Path, PathBuf},
    process::{Command, Stdio},
    sync::OnceLock,
};

use eyre::{Result, WrapErr, ensure, eyre};

/// Workspace directory at build time, passed to cargo.
const WORKSPACE: &str = concat!(env!("CARGO_MANIFEST_DIR"), "/..");

/// Environment variable that disables building: the executables are used as they are.
pub const PREBUILT_VARIABLE: &str = "JAYRACK_PREBUILT";

/// Executables that the kit starts.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Program {
    /// The daemon.
    Daemon,
    /// The operators' tool.
    Tool,
    /// The platform log stand-in.
    LogStandin,
    /// The backend server stand-in.
    BackendStandin,
}

impl Program {
    /// All executables.
    pub const ALL: [Program; 4] = [
        Program::Daemon,
        Program::Tool,
        Program::LogStandin,
        Program::BackendStandin,
    ];

    /// File name of the executable.
    pub fn file_name(self) -> &'static str {
        match self {
            Program::Daemon => "jayrackd",
            Program::Tool => "jayrack",
            Program::LogStandin => "jayrack-log-standin",
            Program::BackendStandin => "jayrack-backend-standin",
        }
    }

    /// Path of the executable; builds all executables before the first use unless [`PREBUILT_VARIABLE`] is set.
    pub fn path(self) -> Result<PathBuf> {
        static BUILT: OnceLock<Result<(), String>> = OnceLock::new();
        let directory = directory()?;
        BUILT
            .get_or_init(|| build(&directory).map_err(|error| format!("{error:#}")))
            .clone()
            .map_err(|error| eyre!(error))?;
        let path = directory.join(self.file_name());
        ensure!(path.is_file(), "{} is missing", self.file_name());
        Ok(path)
    }
}

/// Directory with the executables of the current build profile.
fn directory() -> Result<PathBuf> {
    let executable = std::env::current_exe()?;
    let directory = executable.parent().ok_or_else(|| eyre!("no directory"))?;
    let is_nested = directory.ends_with("deps") || directory.ends_with("examples");
    let directory = match directory.parent() {
        Some(parent) if is_nested => parent,
        _ => directory,
    };
    Ok(directory.to_path_buf())
}

fn build(directory: &Path) -> Result<()> {
    if std::env::var_os(PREBUILT_VARIABLE).is_some() {
        return Ok(());
    }
    let cargo = std::env::var_os("CARGO").unwrap_or_else(|| "cargo".into());
    let mut command = Command::new(cargo);
    command
        .args(["build", "--quiet"])
        .args(["-p", "jayrackd", "-p", "jayrack", "-p", "jayrack-testkit"])
        .arg("--manifest-path")
        .arg(Path::new(WORKSPACE).join("Cargo.toml"))
        .stdin(Stdio::null());
    for program in Program::ALL {
        command.args(["--bin", program.file_name()]);
    }
    if directory.ends_with("release") {
        command.arg("--release");
    }
    let status = command.status().wrap_err("cannot start cargo")?;
    ensure!(status.success(), "cargo build ended with {status}");
    Ok(())
}
