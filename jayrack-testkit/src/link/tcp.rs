//! A TCP relay whose open connections can be silenced permanently or closed.
use std::{net::SocketAddr, time::Duration};

use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{
        TcpListener, TcpStream,
        tcp::{OwnedReadHalf, OwnedWriteHalf},
    },
    sync::watch,
    task::{JoinHandle, JoinSet},
    time::sleep,
};

/// Size of the copy buffer, in bytes.
const BUFFER_BYTES: usize = 16 * 1024;

/// Number of faults injected so far, and the current delay.
///
/// A connection keeps the state at its opening: it is affected by each fault whose count has grown since.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
struct LinkState {
    silence_count: u64,
    close_count: u64,
    delay_ms: u64,
}

/// A running TCP relay.
#[derive(Debug)]
pub struct TcpLink {
    address: SocketAddr,
    state: watch::Sender<LinkState>,
    task: JoinHandle<()>,
}

impl TcpLink {
    /// Starts a relay from a free loopback port to `target`.
    pub async fn start(target: SocketAddr) -> std::io::Result<Self> {
        Self::listen(crate::standin_process::ANY_PORT, target).await
    }

    /// Starts a relay from `address` to `target`.
    pub async fn listen(address: SocketAddr, target: SocketAddr) -> std::io::Result<Self> {
        let listener = TcpListener::bind(address).await?;
        let address = listener.local_addr()?;
        let state = watch::Sender::new(LinkState::default());
        let task = tokio::spawn(accept(listener, target, state.clone()));
        Ok(Self {
            address,
            state,
            task,
        })
    }

    /// Address that the relay listens on.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Makes all open connections silent permanently; they stay open, and new ones work.
    pub fn silence_connections(&self) {
        self.state.send_modify(|state| state.silence_count += 1);
    }

    /// Closes all open connections; new ones work.
    pub fn close_connections(&self) {
        self.state.send_modify(|state| state.close_count += 1);
    }

    /// Delays each chunk of data by this time, in milliseconds.
    pub fn set_delay_ms(&self, delay_ms: u64) {
        self.state.send_modify(|state| state.delay_ms = delay_ms);
    }

    /// Stops the relay and closes all its connections.
    pub async fn close(self) {
        self.task.abort();
        self.task.await.unwrap_or_default();
    }
}

async fn accept(listener: TcpListener, target: SocketAddr, state: watch::Sender<LinkState>) {
    let mut connections = JoinSet::new();
    loop {
        while connections.try_join_next().is_some() {}
        if let Ok((stream, _)) = listener.accept().await {
            connections.spawn(relay(stream, target, state.subscribe()));
        }
    }
}

async fn relay(inbound: TcpStream, target: SocketAddr, mut state: watch::Receiver<LinkState>) {
    let opened = *state.borrow_and_update();
    let Ok(outbound) = TcpStream::connect(target).await else {
        return;
    };
    if inbound.set_nodelay(true).is_err() || outbound.set_nodelay(true).is_err() {
        return;
    }
    let (inbound_read, inbound_write) = inbound.into_split();
    let (outbound_read, outbound_write) = outbound.into_split();
    let to_target = copy(inbound_read, outbound_write, state.clone(), opened);
    let to_client = copy(outbound_read, inbound_write, state.clone(), opened);
    let both = async { tokio::join!(to_target, to_client) };
    tokio::select! {
        _ = both => {}
        _ = state.wait_for(|now| now.close_count != opened.close_count) => {}
    }
}

async fn copy(
    mut from: OwnedReadHalf,
    mut to: OwnedWriteHalf,
    state: watch::Receiver<LinkState>,
    opened: LinkState,
) {
    let mut buffer = vec![0; BUFFER_BYTES];
    loop {
        let count = from.read(&mut buffer).await.unwrap_or_default();
        let now = *state.borrow();
        if now.silence_count != opened.silence_count {
            // Neither data nor the end of the connection is relayed from here on.
            std::future::pending::<()>().await;
        }
        if now.delay_ms > 0 {
            sleep(Duration::from_millis(now.delay_ms)).await;
        }
        if count == 0 || to.write_all(&buffer[..count]).await.is_err() {
            return;
        }
    }
}
