//! Schedules the faults of a seed and injects them.
use std::{
    sync::{Arc, atomic::Ordering},
    time::Duration,
};

use jayrack_testkit::log_standin::{LogBehaviour, Outage};
use rand_pcg::{
    Pcg32,
    rand_core::{Rng, SeedableRng},
};
use tokio::{task::JoinSet, time::sleep};

use crate::fleet::{HOSTS, SoakFleet, SoakHost};

/// Number of faults of one seed.
const FAULTS: usize = 14;
/// One seed in this many has planned work only.
const PLANNED_SEED_INTERVAL: u64 = 5;
/// Time until a killed process is restarted.
const RESTART_DELAY: Duration = Duration::from_millis(250);
/// One seed in this many has a store that states eras and comes back from a copy.
const RETURN_SEED_INTERVAL: u64 = 2;
/// Number of returns of such a seed.
const RETURNS: usize = 3;
/// Distinguishes the generator of returns from that of the other faults, whose schedule they leave as it is.
const RETURN_STREAM: u64 = 0x7265_7475_726e;

/// External event that affects the fleet.
#[derive(Debug, Clone, Copy)]
pub enum Fault {
    /// The daemon is asked to stop, and started again.
    Stop { host: usize },
    /// The daemon is killed, and started again.
    Kill { host: usize },
    /// All daemons are killed at the same moment.
    KillAll,
    /// The daemon is suspended.
    Freeze { host: usize, for_ms: u64 },
    /// Open connections between a daemon and its server are reset.
    ResetServer { host: usize },
    /// Open connections between a daemon and its server carry no more data.
    SilenceServer { host: usize },
    /// Data between a daemon and its server is delayed.
    DelayServer { host: usize, for_ms: u64 },
    /// A server leaves and another one starts at its address.
    ReplaceServer { host: usize },
    /// The store refuses requests, or does not answer.
    StoreAway { is_silent: bool, for_ms: u64 },
    /// Open connections to the store carry no more data.
    SilenceStore,
    /// The store answers with a delay.
    StoreSlow { for_ms: u64 },
    /// The store is away and comes back from a copy that is then older by `age_ms`.
    StoreReturn { age_ms: u64, away_ms: u64 },
    /// The operator writes a new configuration.
    Configure,
}

/// A fault and the delay before it.
#[derive(Debug, Clone, Copy)]
pub struct TimedFault {
    delay_ms: u64,
    fault: Fault,
}

/// Whether `seed` has planned work only.
pub fn is_planned(seed: u64) -> bool {
    seed.is_multiple_of(PLANNED_SEED_INTERVAL)
}

/// Whether the store of `seed` states eras and comes back from a copy.
pub fn has_returns(seed: u64) -> bool {
    seed.is_multiple_of(RETURN_SEED_INTERVAL) && !is_planned(seed)
}

/// The faults of `seed`.
pub fn schedule(seed: u64) -> Vec<TimedFault> {
    let mut random = Pcg32::seed_from_u64(seed);
    let mut draw = |below: u64| u64::from(random.next_u32()) % below;
    let timed = |_| {
        let delay_ms = draw(600);
        let host = draw(HOSTS as u64) as usize;
        let for_ms = 200 + draw(1_500);
        let fault = match draw(if is_planned(seed) { 5 } else { 14 }) {
            0 => Fault::Stop { host },
            1 | 2 => Fault::Configure,
            3 => Fault::ReplaceServer { host },
            4 => Fault::StoreSlow { for_ms },
            5 | 6 => Fault::Kill { host },
            7 => Fault::Freeze { host, for_ms },
            8 => Fault::ResetServer { host },
            9 => Fault::SilenceServer { host },
            10 => Fault::DelayServer { host, for_ms },
            11 => Fault::StoreAway {
                is_silent: for_ms.is_multiple_of(2),
                for_ms,
            },
            12 => Fault::SilenceStore,
            _ => Fault::KillAll,
        };
        TimedFault { delay_ms, fault }
    };
    let mut faults: Vec<TimedFault> = (0..FAULTS).map(timed).collect();
    if has_returns(seed) {
        add_returns(seed, &mut faults);
    }
    faults
}

/// Adds returns of the store between the other faults.
fn add_returns(seed: u64, faults: &mut Vec<TimedFault>) {
    let mut random = Pcg32::seed_from_u64(seed ^ RETURN_STREAM);
    let mut draw = |below: u64| u64::from(random.next_u32()) % below;
    for _ in 0..RETURNS {
        let index = draw(faults.len() as u64 + 1) as usize;
        let fault = Fault::StoreReturn {
            age_ms: 200 + draw(2_500),
            away_ms: draw(1_200),
        };
        let delay_ms = draw(600);
        faults.insert(index, TimedFault { delay_ms, fault });
    }
}

/// Injects the faults, each while earlier ones may still last; returns when all have ended.
pub async fn inject(fleet: &Arc<SoakFleet>, schedule: &[TimedFault]) {
    let mut ongoing = JoinSet::new();
    for timed in schedule {
        sleep(Duration::from_millis(timed.delay_ms)).await;
        ongoing.spawn(inject_one(fleet.clone(), timed.fault));
    }
    while let Some(ended) = ongoing.join_next().await {
        ended.unwrap();
    }
}

async fn inject_one(fleet: Arc<SoakFleet>, fault: Fault) {
    let store = &fleet.store.standin;
    match fault {
        Fault::Stop { host } => stop(&fleet.hosts[host]).await,
        Fault::Kill { host } => kill(&fleet.hosts[host]).await,
        Fault::KillAll => {
            let kills: JoinSet<()> = fleet
                .hosts
                .iter()
                .cloned()
                .map(|host| async move { kill(&host).await })
                .collect();
            kills.join_all().await;
        }
        Fault::Freeze { host, for_ms } => {
            let process = fleet.hosts[host].process.lock().await;
            process.suspend();
            sleep(Duration::from_millis(for_ms)).await;
            process.resume();
        }
        Fault::ResetServer { host } => fleet.hosts[host].server_link.close_connections(),
        Fault::SilenceServer { host } => fleet.hosts[host].server_link.silence_connections(),
        Fault::DelayServer { host, for_ms } => {
            let link = &fleet.hosts[host].server_link;
            link.set_delay_ms(for_ms / 10);
            sleep(Duration::from_millis(for_ms)).await;
            link.set_delay_ms(0);
        }
        Fault::ReplaceServer { host } => {
            let serving = Duration::from_millis(2_600);
            if let Some(departure) = fleet.hosts[host].replace_server(serving).await {
                fleet.departures.lock().unwrap().push(departure);
            }
        }
        Fault::StoreAway { is_silent, for_ms } => {
            let outage = match is_silent {
                true => Outage::Silent,
                false => Outage::Refuse,
            };
            store.set_behaviour(LogBehaviour {
                outage,
                ..LogBehaviour::default()
            });
            sleep(Duration::from_millis(for_ms)).await;
            store.set_behaviour(LogBehaviour::default());
        }
        Fault::StoreReturn { age_ms, away_ms } => {
            let copy = store.copy();
            sleep(Duration::from_millis(age_ms)).await;
            store.set_behaviour(LogBehaviour {
                outage: Outage::Refuse,
                ..LogBehaviour::default()
            });
            sleep(Duration::from_millis(away_ms)).await;
            store.return_from(&copy);
            store.set_behaviour(LogBehaviour::default());
            fleet.write_configuration_again().await;
        }
        Fault::SilenceStore => fleet.store_link.silence_connections(),
        Fault::StoreSlow { for_ms } => {
            store.set_behaviour(LogBehaviour {
                delay_ms: for_ms / 10,
                ..LogBehaviour::default()
            });
            sleep(Duration::from_millis(for_ms)).await;
            store.set_behaviour(LogBehaviour::default());
        }
        Fault::Configure => fleet.configure().await,
    }
}

async fn kill(host: &SoakHost) {
    let mut process = host.process.lock().await;
    process.kill();
    host.incarnation.fetch_add(1, Ordering::SeqCst);
    sleep(RESTART_DELAY).await;
    process.restart();
}

async fn stop(host: &SoakHost) {
    let mut process = host.process.lock().await;
    process.terminate();
    process.exit_code().await;
    host.incarnation.fetch_add(1, Ordering::SeqCst);
    process.restart();
}
