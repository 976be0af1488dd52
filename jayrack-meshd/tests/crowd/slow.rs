//! Callers that send legal bodies slowly, and connect again whenever their connection is closed.
use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    time::Duration,
};

use tokio::{
    io::AsyncWriteExt,
    net::TcpStream,
    task::JoinSet,
    time::{sleep, timeout},
};

use crate::support::until;

/// Interval between two parts of a body.
const PART_INTERVAL: Duration = Duration::from_millis(100);
/// Pause before a closed connection is opened again.
const RECONNECT_PAUSE: Duration = Duration::from_millis(1);
/// Time limit of a connection attempt that the daemon does not accept.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(3);

/// What each caller sends.
#[derive(Debug, Clone, Copy)]
pub struct SlowPlan {
    /// Stated length of the body.
    pub body_bytes: usize,
    pub bytes_per_s: usize,
}

/// Callers that send until they are dropped.
pub struct SlowCrowd {
    _sending: JoinSet<()>,
    connected: Arc<AtomicUsize>,
    count: usize,
}

impl SlowCrowd {
    /// Lets `count` callers send a body with the header lines `fields`.
    pub fn start(address: SocketAddr, count: usize, fields: &str, plan: SlowPlan) -> Self {
        let mut sending = JoinSet::new();
        let connected = Arc::<AtomicUsize>::default();
        for caller in 0..count {
            let length = plan.body_bytes;
            let head = format!(
                "POST /browse/1 HTTP/1.1\r\nhost: a.example\r\n{fields}content-length: {length}\r\n\r\n"
            );
            let head = head.replace("NUMBER", &caller.to_string());
            sending.spawn(send(address, head, plan, connected.clone()));
        }
        Self {
            _sending: sending,
            connected,
            count,
        }
    }

    /// Waits until as many connections have been opened as there are callers.
    pub async fn until_connected(&self) {
        until("the slow callers are connected", || async {
            self.connected.load(Ordering::Relaxed) >= self.count
        })
        .await;
    }
}

async fn send(address: SocketAddr, head: String, plan: SlowPlan, connected: Arc<AtomicUsize>) {
    loop {
        if let Ok(Ok(stream)) = timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await {
            connected.fetch_add(1, Ordering::Relaxed);
            // The connection may be closed at any time.
            let _ = send_body(stream, &head, plan).await;
        }
        sleep(RECONNECT_PAUSE).await;
    }
}

/// Sends one body; ends when the daemon answers or closes the connection.
async fn send_body(mut stream: TcpStream, head: &str, plan: SlowPlan) -> std::io::Result<()> {
    stream.write_all(head.as_bytes()).await?;
    let part_bytes = plan.bytes_per_s * PART_INTERVAL.as_millis() as usize / 1_000;
    let mut unsent_bytes = plan.body_bytes;
    while unsent_bytes > 0 {
        let part = vec![b'x'; part_bytes.min(unsent_bytes)];
        stream.write_all(&part).await?;
        unsent_bytes -= part.len();
        if timeout(PART_INTERVAL, stream.readable()).await.is_ok() {
            return Ok(());
        }
    }
    stream.readable().await
}
