//! Pool of QUIC connections, one for each peer in use.
use std::{
    collections::BTreeMap,
    net::{IpAddr, SocketAddr},
    sync::{
        Arc, Mutex, PoisonError,
        atomic::{AtomicBool, Ordering},
    },
    time::Duration,
};

use arc_swap::{ArcSwap, ArcSwapOption};
use quinn::{Connection, ConnectionError};

use super::{
    Error,
    wire::{self, PeerStream, StreamSender},
};

/// Subject alternative name of every daemon's certificate.
const SERVER_NAME: &str = "jayrack";

/// Interval at which idle connections are closed.
const IDLE_CHECK_INTERVAL: Duration = Duration::from_secs(15);

/// Pool of connections to peers; clones share it.
#[derive(Debug, Clone)]
pub struct PeerPool {
    inner: Arc<PoolInner>,
}

#[derive(Debug)]
struct PoolInner {
    config: quinn::ClientConfig,
    bind_ip: IpAddr,
    connect_timeout: Duration,
    /// Endpoint of new connections; replaced when one of its connections timed out or was discarded.
    endpoint: ArcSwap<quinn::Endpoint>,
    peers: Mutex<BTreeMap<SocketAddr, Arc<PeerSlot>>>,
    runtime: tokio::runtime::Handle,
}

#[derive(Debug, Default)]
struct PeerSlot {
    connection: ArcSwapOption<Connection>,
    /// Set by each use and cleared by each check for idle connections.
    is_used: AtomicBool,
    opening: tokio::sync::Mutex<()>,
}

impl PeerPool {
    /// Opens the first socket; must run on the traffic runtime.
    pub(super) fn new(
        config: quinn::ClientConfig,
        bind_ip: IpAddr,
        connect_timeout: Duration,
    ) -> Result<Self, Error> {
        let endpoint = new_endpoint(bind_ip)?;
        Ok(Self {
            inner: Arc::new(PoolInner {
                config,
                bind_ip,
                connect_timeout,
                endpoint: ArcSwap::from_pointee(endpoint),
                peers: Mutex::default(),
                runtime: tokio::runtime::Handle::current(),
            }),
        })
    }

    /// Returns the runtime that drives the connections.
    pub(super) fn runtime(&self) -> &tokio::runtime::Handle {
        &self.inner.runtime
    }

    /// Opens a stream to the daemon at `address`, over the pooled connection or a new one.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Unreachable`] when no connection can be opened; nothing was sent then.
    pub(crate) async fn open(&self, address: SocketAddr) -> Result<PeerStream, Error> {
        let connection = self.connection(address).await?;
        match connection.open_bi().await {
            Ok((send, receive)) => Ok(PeerStream {
                send: StreamSender::new(send),
                receive,
                connection,
            }),
            Err(_) => {
                self.discard(address, &connection);
                Err(Error::Unreachable)
            }
        }
    }

    async fn connection(&self, address: SocketAddr) -> Result<Connection, Error> {
        let slot = self.slot(address);
        slot.is_used.store(true, Ordering::Relaxed);
        if let Some(connection) = slot.live() {
            return Ok(connection);
        }
        let _opening = slot.opening.lock().await;
        if let Some(connection) = slot.live() {
            return Ok(connection);
        }
        if slot.is_silent() {
            self.replace_endpoint();
        }
        let connection = self.connect(address).await?;
        slot.connection.store(Some(Arc::new(connection.clone())));
        Ok(connection)
    }

    async fn connect(&self, address: SocketAddr) -> Result<Connection, Error> {
        let endpoint = self.inner.endpoint.load_full();
        let connecting = endpoint
            .connect_with(self.inner.config.clone(), address, SERVER_NAME)
            .map_err(|_| Error::Unreachable)?;
        let opening = async {
            let connection = connecting.await.map_err(|_| Error::Unreachable)?;
            exchange_hello(&connection).await?;
            Ok::<_, Error>(connection)
        };
        let opened = tokio::time::timeout(self.inner.connect_timeout, opening).await;
        match opened {
            Ok(Ok(connection)) => Ok(connection),
            Ok(Err(_)) | Err(_) => Err(Error::Unreachable),
        }
    }

    /// Switches to a new local port: a device on the path may have lost the flow of the old one.
    fn replace_endpoint(&self) {
        if let Ok(endpoint) = new_endpoint(self.inner.bind_ip) {
            self.inner.endpoint.store(Arc::new(endpoint));
        }
    }

    /// Removes `connection` from the pool, so that the next stream to `address` uses a new connection
    /// from a new local port; does nothing if the pool holds another one by now. Open streams of the
    /// old connection continue.
    pub(crate) fn discard(&self, address: SocketAddr, connection: &Connection) {
        let slot = self.slot(address);
        let current = slot.connection.load_full();
        if current.is_some_and(|current| current.stable_id() == connection.stable_id()) {
            slot.connection.store(None);
            self.replace_endpoint();
        }
    }

    fn slot(&self, address: SocketAddr) -> Arc<PeerSlot> {
        let mut peers = self
            .inner
            .peers
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        peers.entry(address).or_default().clone()
    }

    /// Returns the number of open connections.
    pub(crate) fn connections(&self) -> usize {
        let peers = self.inner.peers.lock();
        let peers = peers.unwrap_or_else(PoisonError::into_inner);
        peers.values().filter(|slot| slot.live().is_some()).count()
    }

    /// Closes connections that were not used between two checks, so that keep-alive packets are sent
    /// only to peers in use; runs until the process ends.
    pub(crate) async fn close_idle(self) {
        loop {
            tokio::time::sleep(IDLE_CHECK_INTERVAL).await;
            let peers = self.inner.peers.lock();
            let mut peers = peers.unwrap_or_else(PoisonError::into_inner);
            peers.retain(|_, slot| {
                slot.is_used.swap(false, Ordering::Relaxed) || Arc::strong_count(slot) > 1
            });
        }
    }

    /// Closes all connections.
    pub(crate) async fn close(self) {
        let endpoint = self.inner.endpoint.load_full();
        endpoint.close(wire::CLOSE_STOPPED, b"stopped");
        endpoint.wait_idle().await;
    }
}

impl PeerSlot {
    /// Whether the last connection timed out.
    fn is_silent(&self) -> bool {
        let last = self.connection.load();
        last.as_ref()
            .is_some_and(|last| matches!(last.close_reason(), Some(ConnectionError::TimedOut)))
    }

    fn live(&self) -> Option<Connection> {
        let connection = self.connection.load_full()?;
        connection
            .close_reason()
            .is_none()
            .then(|| connection.as_ref().clone())
    }
}

/// Waits until the peer has accepted the connection: it refuses this end's certificate only after
/// this end has completed the handshake, when a request could have been sent already.
async fn exchange_hello(connection: &Connection) -> Result<(), Error> {
    let opened = connection.open_bi().await;
    let (send, mut receive) = opened.map_err(|_| Error::Unreachable)?;
    let mut send = StreamSender::new(send);
    send.write_chunk(wire::HELLO.into()).await?;
    send.finish()?;
    let answer = receive.read_to_end(wire::HELLO.len()).await;
    match answer {
        Ok(answer) if answer == wire::HELLO => Ok(()),
        _ => Err(Error::Unreachable),
    }
}

fn new_endpoint(ip: IpAddr) -> Result<quinn::Endpoint, Error> {
    quinn::Endpoint::client(SocketAddr::new(ip, 0)).map_err(Error::Bind)
}
