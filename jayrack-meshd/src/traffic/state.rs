//! State of the traffic thread.
use std::{sync::Arc, time::Duration};

use jayrack_platform::socket::SocketOptions;

use super::{
    link::HostLink,
    memory::{ByteBudget, ProcessLimits},
    pool::{self, ConnectionPool},
    router::IngressRouter,
};
use crate::shared::MeshState;

/// Time limit for connecting to another daemon; the farthest is milliseconds away, and a lost SYN packet is
/// retransmitted only after a second.
const PEER_CONNECT_TIMEOUT: Duration = Duration::from_millis(250);
/// Time limit for connecting to the backend server on the same host.
const SERVER_CONNECT_TIMEOUT: Duration = Duration::from_millis(300);
/// Time limit for the acknowledgement of sent bytes: covers two packets lost in a row.
const UNACKNOWLEDGED_TIMEOUT: Duration = Duration::from_millis(700);
/// Idle time after which connections to other daemons are not reused: a new one costs a round trip, an idle
/// one memory at both ends.
pub(super) const PEER_MAX_IDLE: Duration = Duration::from_millis(600);
/// Idle time after which connections to the backend server are not reused.
const SERVER_MAX_IDLE: Duration = Duration::from_secs(8);
/// Maximum number of idle connections for each address.
const MAX_IDLE_CONNECTIONS: usize = 16;

/// State of the traffic thread.
#[derive(Debug)]
pub struct TrafficState {
    /// State shared with the control thread.
    pub mesh: Arc<MeshState>,
    /// Choice of services and hosts, and the retry budget.
    pub router: IngressRouter,
    /// Connections to other daemons.
    pub peer_pool: ConnectionPool,
    /// Connections to the backend server beside the daemon.
    pub server_pool: ConnectionPool,
    /// Link of this host, which limits large answers.
    pub link: HostLink,
    /// Connections of clients, and memory for what they send and are sent.
    pub budget: ByteBudget,
}

impl TrafficState {
    /// Creates the state; `seed` determines random choices.
    pub fn new(mesh: Arc<MeshState>, seed: u64) -> Self {
        let host = &mesh.settings.host;
        let limits = ProcessLimits {
            memory_mb: host.memory_mb,
            max_descriptors: host.max_descriptors,
        };
        let budget = ByteBudget::new(limits, mesh.metrics.clone());
        let options = |connect_timeout, max_idle| pool::Options {
            socket: SocketOptions {
                connect_timeout,
                unacknowledged_timeout: UNACKNOWLEDGED_TIMEOUT,
            },
            max_idle,
            max_idle_connections: MAX_IDLE_CONNECTIONS,
            budget: Some(budget.clone()),
        };
        Self {
            router: IngressRouter::new(mesh.clone(), seed),
            link: HostLink::new(mesh.settings.host.link_mbps),
            mesh,
            peer_pool: ConnectionPool::new(options(PEER_CONNECT_TIMEOUT, PEER_MAX_IDLE)),
            server_pool: ConnectionPool::new(options(SERVER_CONNECT_TIMEOUT, SERVER_MAX_IDLE)),
            budget,
        }
    }
}
