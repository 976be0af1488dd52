//! One daemon of a fleet.
use std::{
    net::SocketAddr,
    path::{Path, PathBuf},
    process::ExitStatus,
    time::Duration,
};

use eyre::{Result, eyre};
use hyper::StatusCode;

use super::settings::{ADMIN_TOKEN, DaemonAddresses};
use crate::{
    binaries::Program,
    http_client,
    operator::FleetOperator,
    process::{ChildProcess, ProcessPlan},
};

/// Timeout of one readiness check.
const READINESS_TIMEOUT: Duration = Duration::from_secs(2);

/// A daemon of the fleet, running or not.
#[derive(Debug)]
pub struct FleetDaemon {
    /// Name.
    pub name: String,
    /// Data centre.
    pub data_centre: String,
    /// Addresses, which are the same after a restart.
    pub addresses: DaemonAddresses,
    pub(super) settings: PathBuf,
    pub(super) directory: PathBuf,
    pub(super) process: Option<ChildProcess>,
}

impl FleetDaemon {
    /// Starts a new process, which has nothing of an earlier one in memory.
    pub fn start(&mut self) -> Result<()> {
        let arguments = [
            "--settings".to_string(),
            self.settings.display().to_string(),
        ];
        self.process = Some(ChildProcess::start(&ProcessPlan {
            name: &self.name,
            program: Program::Daemon,
            arguments: &arguments,
            directory: &self.directory,
        })?);
        Ok(())
    }

    /// Kills the process.
    pub fn kill(&mut self) -> Result<()> {
        match self.process.take() {
            Some(process) => process.kill(),
            None => Ok(()),
        }
    }

    /// Freezes the process with `SIGSTOP`.
    pub fn freeze(&self) -> Result<()> {
        self.running()?.freeze()
    }

    /// Resumes a frozen process with `SIGCONT`.
    pub fn thaw(&self) -> Result<()> {
        self.running()?.thaw()
    }

    /// Requests a graceful stop and returns without waiting for it.
    pub fn request_stop(&self) -> Result<()> {
        self.running()?.request_stop()
    }

    /// Waits until the process has exited on its own.
    pub async fn wait_for_end(&mut self) -> Result<ExitStatus> {
        let process = self.process.take();
        process
            .ok_or_else(|| eyre!("{} does not run", self.name))?
            .wait()
            .await
    }

    /// Whether the process was started and has not ended.
    pub fn is_running(&mut self) -> bool {
        self.process.as_mut().is_some_and(ChildProcess::is_running)
    }

    /// Process identifier, while it runs.
    pub fn process_id(&self) -> Option<u32> {
        self.process.as_ref().map(ChildProcess::id)
    }

    /// Path of the daemon's settings file.
    pub fn settings_path(&self) -> &Path {
        &self.settings
    }

    /// The last lines of the daemon's log.
    pub fn log_tail(&self) -> String {
        self.process
            .as_ref()
            .map(ChildProcess::log_tail)
            .unwrap_or_default()
    }

    /// Whether the daemon's readiness endpoint answers 200.
    pub async fn is_ready(&self) -> bool {
        let Ok(request) = http_client::get(self.addresses.admin, "/readyz") else {
            return false;
        };
        http_client::send(self.addresses.admin, request, READINESS_TIMEOUT)
            .await
            .is_ok_and(|answer| answer.status == StatusCode::OK)
    }

    /// A client of this daemon's administration API with the administrator's token.
    pub fn operator(&self) -> FleetOperator {
        FleetOperator {
            daemon: self.addresses.admin,
            token: ADMIN_TOKEN.to_string(),
        }
    }

    /// Address for requests of callers.
    pub fn callers(&self) -> SocketAddr {
        self.addresses.callers
    }

    fn running(&self) -> Result<&ChildProcess> {
        self.process
            .as_ref()
            .ok_or_else(|| eyre!("{} does not run", self.name))
    }
}
