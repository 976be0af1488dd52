//! A UDP relay that loses or delays datagrams and silences known flows.
use std::{
    collections::BTreeMap,
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use rand_pcg::{
    Pcg64Mcg,
    rand_core::{Rng, SeedableRng},
};
use tokio::{
    net::UdpSocket,
    task::{JoinHandle, JoinSet},
    time::sleep,
};

/// Size of the receive buffers, in bytes: no UDP datagram is longer.
const MAX_DATAGRAM_BYTES: usize = 65_536;

/// Loss and delay of datagrams, in both directions.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct UdpBehaviour {
    /// Datagrams that are lost at random, in percent.
    pub loss_percent: u32,
    /// Delay of each datagram, in milliseconds.
    pub delay_ms: u64,
}

/// A running UDP relay.
#[derive(Debug)]
pub struct UdpLink {
    address: SocketAddr,
    shared: Arc<Mutex<LinkState>>,
    task: JoinHandle<()>,
}

/// The datagrams between one sender and the target.
#[derive(Debug, Clone)]
struct Flow {
    upstream: Arc<UdpSocket>,
    is_silenced: bool,
}

#[derive(Debug)]
struct LinkState {
    behaviour: UdpBehaviour,
    random: Pcg64Mcg,
    flows: BTreeMap<SocketAddr, Flow>,
}

impl LinkState {
    /// The delay of a datagram from or to `sender`; `None` when it is lost.
    fn delivery_delay_ms(&mut self, sender: SocketAddr) -> Option<u64> {
        let is_silenced = self.flows.get(&sender).is_some_and(|flow| flow.is_silenced);
        let is_lost = self.random.next_u32() % 100 < self.behaviour.loss_percent;
        (!is_silenced && !is_lost).then_some(self.behaviour.delay_ms)
    }
}

impl UdpLink {
    /// Starts a relay from a free loopback port to `target`; `seed` determines the losses.
    pub async fn start(target: SocketAddr, seed: u64) -> std::io::Result<Self> {
        let socket = UdpSocket::bind(crate::standin_process::ANY_PORT).await?;
        let address = socket.local_addr()?;
        let shared = Arc::new(Mutex::new(LinkState {
            behaviour: UdpBehaviour::default(),
            random: Pcg64Mcg::seed_from_u64(seed),
            flows: BTreeMap::new(),
        }));
        let task = tokio::spawn(relay(Arc::new(socket), target, shared.clone()));
        Ok(Self {
            address,
            shared,
            task,
        })
    }

    /// Address that the relay listens on.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Sets loss and delay of datagrams that arrive from now on.
    pub fn set_behaviour(&self, behaviour: UdpBehaviour) {
        lock(&self.shared).behaviour = behaviour;
    }

    /// Drops all further datagrams from and to the senders seen so far; those of new senders pass.
    pub fn silence_flows(&self) {
        for flow in lock(&self.shared).flows.values_mut() {
            flow.is_silenced = true;
        }
    }

    /// Stops the relay.
    pub async fn close(self) {
        self.task.abort();
        self.task.await.unwrap_or_default();
    }
}

fn lock(shared: &Mutex<LinkState>) -> MutexGuard<'_, LinkState> {
    shared.lock().unwrap_or_else(PoisonError::into_inner)
}

async fn relay(socket: Arc<UdpSocket>, target: SocketAddr, shared: Arc<Mutex<LinkState>>) {
    let mut tasks = JoinSet::new();
    let mut buffer = vec![0; MAX_DATAGRAM_BYTES];
    loop {
        while tasks.try_join_next().is_some() {}
        let Ok((count, sender)) = socket.recv_from(&mut buffer).await else {
            continue;
        };
        let known = lock(&shared).flows.get(&sender).cloned();
        let flow = match known {
            Some(flow) => flow,
            None => {
                let Ok(flow) = open_flow(target).await else {
                    continue;
                };
                lock(&shared).flows.insert(sender, flow.clone());
                tasks.spawn(return_datagrams(
                    socket.clone(),
                    flow.upstream.clone(),
                    sender,
                    shared.clone(),
                ));
                flow
            }
        };
        let Some(delay_ms) = lock(&shared).delivery_delay_ms(sender) else {
            continue;
        };
        let datagram = buffer[..count].to_vec();
        tasks.spawn(async move {
            sleep(Duration::from_millis(delay_ms)).await;
            flow.upstream.send(&datagram).await.ok();
        });
    }
}

async fn open_flow(target: SocketAddr) -> std::io::Result<Flow> {
    let upstream = UdpSocket::bind(crate::standin_process::ANY_PORT).await?;
    upstream.connect(target).await?;
    Ok(Flow {
        upstream: Arc::new(upstream),
        is_silenced: false,
    })
}

async fn return_datagrams(
    socket: Arc<UdpSocket>,
    upstream: Arc<UdpSocket>,
    sender: SocketAddr,
    shared: Arc<Mutex<LinkState>>,
) {
    let mut buffer = vec![0; MAX_DATAGRAM_BYTES];
    loop {
        let Ok(count) = upstream.recv(&mut buffer).await else {
            continue;
        };
        let delay = lock(&shared).delivery_delay_ms(sender);
        if let Some(delay_ms) = delay {
            sleep(Duration::from_millis(delay_ms)).await;
            socket.send_to(&buffer[..count], sender).await.ok();
        }
    }
}
