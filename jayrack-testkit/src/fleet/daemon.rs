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

/// Longest wait for an answer to a look.
const READINESS_TIMEOUT: Duration = Duration::from_secs(2);

/// A daemon that may run or not.
#[derive(Debug)]
pub struct FleetDaemon {
    /// Name.
    pub name: String,
    /// Data centre.
    pub data_centre: String,
    /// Addresses, which stay the same over restarts.
    pub addresses: DaemonAddresses,
    pub(super) settings: PathBuf,
    pub(super) directory: PathBuf,
    pub(super) process: Option<ChildProcess>,
}

impl FleetDaemon {
    /// Starts the process, with an empty memory.
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

    /// Pauses the process.
    pub fn freeze(&self) -> Result<()> {
        self.running()?.freeze()
    }

    /// Lets a paused process go on.
    pub fn thaw(&self) -> Result<()> {
        self.running()?.thaw()
    }

    /// Asks the process to stop and leaves it running meanwhile.
    pub fn request_stop(&self) -> Result<()> {
        self.running()?.request_stop()
    }

    /// Waits until the process has ended by itself.
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

    /// The daemon beside whose settings `path` stands.
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

    /// Whether the daemon says that it serves.
    pub async fn is_ready(&self) -> bool {
        let Ok(request) = http_client::get(self.addresses.admin, "/readyz") else {
            return false;
        };
        http_client::send(self.addresses.admin, request, READINESS_TIMEOUT)
            .await
            .is_ok_and(|answer| answer.status == StatusCode::OK)
    }

    /// An operator who may change everything, at this daemon.
    pub fn operator(&self) -> FleetOperator {
        FleetOperator {
            daemon: self.addresses.admin,
            token: ADMIN_TOKEN.to_string(),
        }
    }

    /// Where callers connect.
    pub fn callers(&self) -> SocketAddr {
        self.addresses.callers
    }

    fn running(&self) -> Result<&ChildProcess> {
        self.process
            .as_ref()
            .ok_or_else(|| eyre!("{} does not run", self.name))
    }
}
