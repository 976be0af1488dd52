//! A relay in front of the store whose open connections can be silenced.
use std::{net::SocketAddr, sync::Arc};

use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
    sync::watch,
};

/// A relay; clones share it.
#[derive(Debug, Clone)]
pub struct StoreRelay {
    silenced: Arc<watch::Sender<u64>>,
}

impl StoreRelay {
    /// Relays connections to `address` on to `target`.
    pub async fn start(address: SocketAddr, target: SocketAddr) -> std::io::Result<Self> {
        let listener = TcpListener::bind(address).await?;
        let relay = Self {
            silenced: Arc::new(watch::Sender::new(0)),
        };
        let served = relay.clone();
        tokio::spawn(async move {
            while let Ok((near, _)) = listener.accept().await {
                let mut silenced = served.silenced.subscribe();
                tokio::spawn(async move {
                    let Ok(far) = TcpStream::connect(target).await else {
                        return;
                    };
                    let _ = near.set_nodelay(true);
                    let _ = far.set_nodelay(true);
                    let (near_read, near_write) = near.into_split();
                    let (far_read, far_write) = far.into_split();
                    let relaying = async {
                        tokio::select! {
                            () = pass_on(near_read, far_write) => {}
                            () = pass_on(far_read, near_write) => {}
                        }
                    };
                    tokio::pin!(relaying);
                    tokio::select! {
                        () = &mut relaying => {}
                        // The sockets stay open, and nothing is passed on any more.
                        _ = silenced.changed() => std::future::pending().await,
                    }
                });
            }
        });
        Ok(relay)
    }

    /// Silences all open connections for good; new ones work.
    pub fn silence_open(&self) {
        self.silenced.send_modify(|count| *count += 1);
    }
}

async fn pass_on(
    mut from: tokio::net::tcp::OwnedReadHalf,
    mut to: tokio::net::tcp::OwnedWriteHalf,
) {
    let mut buffer = vec![0; 64 << 10];
    while let Ok(length @ 1..) = from.read(&mut buffer).await {
        if to.write_all(&buffer[..length]).await.is_err() {
            return;
        }
    }
}
