//! Stand-ins that run as processes.
use std::{net::SocketAddr, path::PathBuf, time::Duration};

use eyre::{Result, ensure};
use hyper::StatusCode;
use serde::{Serialize, de::DeserializeOwned};

use crate::{
    binaries::Program,
    http_client,
    process::{ChildProcess, ProcessPlan},
};

/// Timeout of one request.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(30);

/// One stand-in process, controlled over HTTP.
#[derive(Debug)]
pub struct StandinProcess {
    address: SocketAddr,
    process: ChildProcess,
}

impl StandinProcess {
    /// Starts a stand-in.
    pub fn start(plan: &ProcessPlan<'_>) -> Result<Self> {
        let (process, start_line) = ChildProcess::start_standin(plan)?;
        Ok(Self {
            address: start_line.address,
            process,
        })
    }

    /// Where it listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// The process.
    pub fn process(&self) -> &ChildProcess {
        &self.process
    }

    /// Replaces the behaviour.
    pub async fn set_behaviour<T: Serialize>(&self, behaviour: &T) -> Result<()> {
        self.post("/standin/behaviour", behaviour).await
    }

    /// Posts a control request; fails unless the answer is 200.
    pub async fn post<T: Serialize>(&self, path: &str, body: &T) -> Result<()> {
        let request = http_client::post_json(self.address, path, body)?;
        let answer = http_client::send(self.address, request, ANSWER_TIMEOUT).await?;
        ensure!(answer.status == StatusCode::OK, "{path}: {answer:?}");
        Ok(())
    }

    /// Reads the counters.
    pub async fn counts<T: DeserializeOwned>(&self) -> Result<T> {
        let request = http_client::get(self.address, "/standin/counts")?;
        http_client::send(self.address, request, ANSWER_TIMEOUT)
            .await?
            .json()
    }

    /// Kills the process.
    pub fn close(self) -> Result<()> {
        self.process.kill()
    }
}

/// A backend server of the fleet, which may be stopped and started again at its address.
#[derive(Debug)]
pub struct ServerProcess {
    /// Name of the server.
    pub name: String,
    /// Service that it works for.
    pub service: String,
    /// Index of the daemon beside it.
    pub daemon: usize,
    pub(super) arguments: Vec<String>,
    pub(super) directory: PathBuf,
    pub(super) standin: Option<StandinProcess>,
}

impl ServerProcess {
    /// Starts the process.
    pub fn start(&mut self) -> Result<()> {
        self.standin = Some(StandinProcess::start(&ProcessPlan {
            name: &self.name,
            program: Program::BackendStandin,
            arguments: &self.arguments,
            directory: &self.directory,
        })?);
        Ok(())
    }

    /// Kills the process.
    pub fn kill(&mut self) -> Result<()> {
        self.standin.take().map_or(Ok(()), StandinProcess::close)
    }

    /// The running stand-in.
    pub fn standin(&self) -> Result<&StandinProcess> {
        self.standin
            .as_ref()
            .ok_or_else(|| eyre::eyre!("{} does not run", self.name))
    }
}
