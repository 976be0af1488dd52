//! The running fleet.
use std::{net::SocketAddr, time::Duration};

use eyre::{Result, WrapErr, ensure, eyre};
use serde_json::Value;
use tokio::sync::{Semaphore, SemaphorePermit};

use super::{
    FleetDaemon, FleetPlan, ServerPlan, ServerProcess, StandinProcess,
    settings::{self, DaemonAddresses, SettingsPlan},
};
use crate::{
    address::AddressBlock,
    backend_standin::BackendCounts,
    binaries::Program,
    certificates::FleetAuthority,
    log_standin::LogCounts,
    observe,
    process::{ProcessPlan, RunDirectory},
};

/// Timeout of waits for a state; only reached by a hung run.
pub const STATE_TIMEOUT: Duration = Duration::from_secs(120);

/// Limits this process to one running fleet, since tests would starve each other of processor time.
static FLEET_SEMAPHORE: Semaphore = Semaphore::const_new(1);

/// A running fleet; all its processes are killed when it is dropped.
#[derive(Debug)]
pub struct Fleet {
    /// The daemons, assigned to the data centres round-robin.
    pub daemons: Vec<FleetDaemon>,
    /// The backend servers.
    pub servers: Vec<ServerProcess>,
    /// The log.
    pub log: StandinProcess,
    directory: RunDirectory,
    _permit: SemaphorePermit<'static>,
}

impl Fleet {
    /// Waits for other fleets of this process to end, starts everything that `plan` names and waits
    /// until it works.
    pub async fn start(plan: FleetPlan) -> Result<Self> {
        let permit = FLEET_SEMAPHORE.acquire().await?;
        let directory = RunDirectory::create()?;
        let log = start_log(&directory)?;
        let mut addresses = AddressBlock::choose();
        let daemons = write_daemons(&plan, &log, &mut addresses, &directory)?;
        let servers = plan_servers(&plan, &daemons, &mut addresses, &directory)?;
        let started = plan.daemons;
        let mut fleet = Self {
            daemons,
            servers,
            log,
            directory,
            _permit: permit,
        };
        fleet.start_processes(started).await?;
        Ok(fleet)
    }

    async fn start_processes(&mut self, started: usize) -> Result<()> {
        for daemon in &mut self.daemons[..started] {
            daemon.start()?;
        }
        self.until_all_ready().await?;
        self.until_members_known(started as u64).await?;
        for server in &mut self.servers {
            server.start()?;
        }
        for server in &self.servers {
            until_announced(server).await?;
        }
        Ok(())
    }

    /// Directory of the settings and logs.
    pub fn directory(&self) -> &std::path::Path {
        self.directory.path()
    }

    /// Waits until every daemon that runs is ready.
    pub async fn until_all_ready(&mut self) -> Result<()> {
        for index in 0..self.daemons.len() {
            if self.daemons[index].process_id().is_some() {
                self.until_ready(index).await?;
            }
        }
        Ok(())
    }

    /// Waits until every running daemon reports exactly `count` members.
    pub async fn until_members_known(&self, count: u64) -> Result<()> {
        for (index, daemon) in self.daemons.iter().enumerate() {
            if daemon.process_id().is_none() {
                continue;
            }
            let operator = daemon.operator();
            let what = format!("{} to know {count} members", daemon.name);
            observe::until(STATE_TIMEOUT, &what, async || {
                let status = operator.status().await.ok()?;
                (status.of == count).then_some(())
            })
            .await
            .wrap_err_with(|| self.log_context(index))?;
        }
        Ok(())
    }

    /// Waits until one daemon is ready.
    pub async fn until_ready(&mut self, index: usize) -> Result<()> {
        let daemon = &mut self.daemons[index];
        let what = format!("{} to be ready", daemon.name);
        let outcome = observe::until(STATE_TIMEOUT, &what, async || {
            if !daemon.is_running() {
                return Some(false);
            }
            daemon.is_ready().await.then_some(true)
        });
        let is_ready = outcome.await.wrap_err_with(|| self.log_context(index))?;
        ensure!(
            is_ready,
            "{} ended: {}",
            self.daemons[index].name,
            self.log_context(index)
        );
        Ok(())
    }

    /// Proposes `change` at one daemon, confirms it at another and returns its version.
    pub async fn apply(
        &self,
        change: &Value,
        proposed_at: usize,
        confirmed_at: usize,
    ) -> Result<u64> {
        let proposed = self.daemons[proposed_at].operator().propose(change).await?;
        ensure!(proposed.code == 0, "the plan was refused: {proposed:?}");
        let operator = self.daemons[confirmed_at].operator();
        let plan = &proposed.plan.id;
        // The other daemon may not have read the plan yet.
        let confirmed = observe::until(STATE_TIMEOUT, "the plan to be confirmed", async || {
            let answer = operator.confirm(plan).await.ok()?;
            const PLAN_UNKNOWN: u16 = 207;
            (answer.code != PLAN_UNKNOWN).then_some(answer)
        })
        .await?;
        ensure!(
            confirmed.code == 0,
            "the confirm was refused: {confirmed:?}"
        );
        Ok(confirmed.plan.version)
    }

    /// Waits until every running daemon has the plan.
    pub async fn until_plan_known(&self, plan: &str) -> Result<()> {
        for daemon in &self.daemons {
            if daemon.process_id().is_some() {
                let operator = daemon.operator();
                let what = format!("the plan to be known at {}", daemon.name);
                observe::until(STATE_TIMEOUT, &what, async || {
                    let answer = operator.show(plan).await.ok()?;
                    (answer.code == 0).then_some(())
                })
                .await?;
            }
        }
        Ok(())
    }

    /// Waits until every running daemon has `version` or a higher one in force.
    pub async fn until_in_force(&self, version: u64) -> Result<()> {
        for index in 0..self.daemons.len() {
            if self.daemons[index].process_id().is_some() {
                self.until_in_force_at(index, version).await?;
            }
        }
        Ok(())
    }

    /// Waits until one daemon has `version` or a higher one in force.
    pub async fn until_in_force_at(&self, index: usize, version: u64) -> Result<()> {
        let daemon = &self.daemons[index];
        let operator = daemon.operator();
        let what = format!("version {version} in force at {}", daemon.name);
        observe::until(STATE_TIMEOUT, &what, async || {
            let status = operator.status().await.ok()?;
            (status.version >= version).then_some(())
        })
        .await
        .wrap_err_with(|| self.log_context(index))
    }

    /// The version that a daemon has in force; `None` when it does not answer.
    pub async fn version_at(&self, index: usize) -> Option<u64> {
        let operator = self.daemons[index].operator();
        operator.status().await.ok().map(|status| status.version)
    }

    /// Counters of the log.
    pub async fn log_counts(&self) -> Result<LogCounts> {
        self.log.counts().await
    }

    /// Counters of one server.
    pub async fn server_counts(&self, index: usize) -> Result<BackendCounts> {
        let server = self
            .servers
            .get(index)
            .ok_or_else(|| eyre!("no server {index}"))?;
        server.standin()?.counts().await
    }

    /// Kills every process.
    pub async fn close(mut self) -> Result<()> {
        for server in &mut self.servers {
            server.kill()?;
        }
        for daemon in &mut self.daemons {
            daemon.kill()?;
        }
        self.log.close()
    }

    fn log_context(&self, index: usize) -> String {
        let daemon = &self.daemons[index];
        format!("last lines of {}:\n{}", daemon.name, daemon.log_tail())
    }
}

async fn until_announced(server: &ServerProcess) -> Result<()> {
    let standin = server.standin()?;
    let what = format!("{} to announce itself", server.name);
    observe::until(STATE_TIMEOUT, &what, async || {
        let counts: BackendCounts = standin.counts().await.ok()?;
        (counts.announced > 0).then_some(())
    })
    .await
}

fn start_log(directory: &RunDirectory) -> Result<StandinProcess> {
    StandinProcess::start(&ProcessPlan {
        name: "log",
        program: Program::LogStandin,
        arguments: &["--exit-with-stdin".to_string()],
        directory: directory.path(),
    })
}

fn write_daemons(
    plan: &FleetPlan,
    log: &StandinProcess,
    block: &mut AddressBlock,
    directory: &RunDirectory,
) -> Result<Vec<FleetDaemon>> {
    let authority = FleetAuthority::create()?;
    let addresses = (0..plan.daemons + plan.deferred_daemons)
        .map(|_| take_addresses(block))
        .collect::<Result<Vec<_>>>()?;
    // One seed of each data centre is enough to find the others.
    let seeds: Vec<SocketAddr> = addresses
        .iter()
        .take(plan.data_centres.len())
        .map(|addresses| addresses.gossip)
        .collect();
    let mut daemons = Vec::new();
    for (index, addresses) in addresses.into_iter().enumerate() {
        let data_centre = &plan.data_centres[index % plan.data_centres.len()];
        let name = format!(
            "{}-{}",
            data_centre.name,
            index / plan.data_centres.len() + 1
        );
        let mut extra_fields = plan.settings.clone();
        extra_fields
            .entry("seed")
            .or_insert_with(|| Value::from(plan.seed * 1_000 + index as u64));
        let text = settings::text(&SettingsPlan {
            name: &name,
            data_centre: &data_centre.name,
            region: &data_centre.region,
            addresses: &addresses,
            log: plan.log_address.unwrap_or(log.address()),
            retention_ms: plan.retention_ms,
            seeds: &seeds,
            identity: &authority.issue()?,
            authorities: authority.pem(),
            extra_fields: &extra_fields,
        });
        let path = directory.path().join(format!("{name}.json"));
        std::fs::write(&path, text)?;
        daemons.push(FleetDaemon {
            name,
            data_centre: data_centre.name.clone(),
            addresses,
            settings: path,
            directory: directory.path().to_path_buf(),
            process: None,
        });
    }
    Ok(daemons)
}

fn take_addresses(block: &mut AddressBlock) -> Result<DaemonAddresses> {
    Ok(DaemonAddresses {
        callers: block.take()?,
        forward: block.take()?,
        gossip: block.take()?,
        admin: block.take()?,
        announce: block.take()?,
    })
}

fn plan_servers(
    plan: &FleetPlan,
    daemons: &[FleetDaemon],
    block: &mut AddressBlock,
    directory: &RunDirectory,
) -> Result<Vec<ServerProcess>> {
    let mut servers = Vec::new();
    for (index, server) in plan.servers.iter().enumerate() {
        let daemon = daemons
            .get(server.daemon)
            .ok_or_else(|| eyre!("no daemon {}", server.daemon))?;
        let name = format!("{}-server-{}", server.service, index + 1);
        let seed = plan.seed * 1_000 + index as u64;
        servers.push(ServerProcess {
            arguments: server_arguments(server, &name, daemon, block.take()?, seed)?,
            name,
            service: server.service.clone(),
            daemon: server.daemon,
            directory: directory.path().to_path_buf(),
            standin: None,
        });
    }
    Ok(servers)
}

fn server_arguments(
    plan: &ServerPlan,
    name: &str,
    daemon: &FleetDaemon,
    listen: SocketAddr,
    seed: u64,
) -> Result<Vec<String>> {
    let behaviour = serde_json::to_string(&plan.behaviour)?;
    Ok(vec![
        "--exit-with-stdin".to_string(),
        format!("--name={name}"),
        format!("--service={}", plan.service),
        format!("--listen={listen}"),
        format!("--announce={}", daemon.addresses.announce),
        format!("--callers={}", daemon.addresses.callers),
        format!("--slots={}", plan.slots),
        format!("--connections={}", plan.connections),
        format!("--cold-start-ms={}", plan.cold_start_ms),
        format!("--behaviour={behaviour}"),
        format!("--seed={seed}"),
    ])
}
