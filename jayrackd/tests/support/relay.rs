//! A UDP relay in front of a daemon that can drop the datagrams of known flows.
use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
    sync::{Arc, Mutex},
};

use tokio::net::UdpSocket;

#[derive(Debug, Default)]
struct Flows {
    sockets: BTreeMap<SocketAddr, Arc<UdpSocket>>,
    silenced: BTreeSet<SocketAddr>,
    drop_answers: bool,
}

/// A running relay.
#[derive(Debug, Clone)]
pub struct Relay {
    pub address: SocketAddr,
    flows: Arc<Mutex<Flows>>,
}

impl Relay {
    /// Starts a relay to `target`.
    pub async fn start(target: SocketAddr) -> Self {
        let socket = Arc::new(UdpSocket::bind("127.0.0.1:0").await.unwrap());
        let relay = Self {
            address: socket.local_addr().unwrap(),
            flows: Arc::default(),
        };
        tokio::spawn(forward(socket, target, relay.clone()));
        relay
    }

    /// Drops all further datagrams of the current flows in both directions; new flows work.
    pub fn silence_flows(&self) {
        let mut flows = self.flows.lock().unwrap();
        let known: Vec<_> = flows.sockets.keys().copied().collect();
        flows.silenced.extend(known);
    }

    /// Sets whether datagrams from the target are dropped on all flows.
    pub fn set_drop_answers(&self, drop_answers: bool) {
        self.flows.lock().unwrap().drop_answers = drop_answers;
    }

    fn passes(&self, from: SocketAddr, is_answer: bool) -> bool {
        let flows = self.flows.lock().unwrap();
        !(flows.silenced.contains(&from) || is_answer && flows.drop_answers)
    }
}

async fn forward(socket: Arc<UdpSocket>, target: SocketAddr, relay: Relay) {
    let mut buffer = vec![0; 65_536];
    loop {
        let Ok((length, from)) = socket.recv_from(&mut buffer).await else {
            continue;
        };
        if !relay.passes(from, false) {
            continue;
        }
        let known = relay.flows.lock().unwrap().sockets.get(&from).cloned();
        let outer = match known {
            Some(outer) => outer,
            None => open_flow(&socket, target, from, &relay).await,
        };
        let _ = outer.send(&buffer[..length]).await;
    }
}

async fn open_flow(
    socket: &Arc<UdpSocket>,
    target: SocketAddr,
    from: SocketAddr,
    relay: &Relay,
) -> Arc<UdpSocket> {
    let outer = Arc::new(UdpSocket::bind("127.0.0.1:0").await.unwrap());
    outer.connect(target).await.unwrap();
    let mut flows = relay.flows.lock().unwrap();
    flows.sockets.insert(from, outer.clone());
    drop(flows);
    tokio::spawn(answer(socket.clone(), outer.clone(), from, relay.clone()));
    outer
}

async fn answer(socket: Arc<UdpSocket>, outer: Arc<UdpSocket>, from: SocketAddr, relay: Relay) {
    let mut buffer = vec![0; 65_536];
    loop {
        let Ok(length) = outer.recv(&mut buffer).await else {
            continue;
        };
        if relay.passes(from, true) {
            let _ = socket.send_to(&buffer[..length], from).await;
        }
    }
}
