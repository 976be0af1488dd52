//! Relay between the daemons and the store, which makes the store silent for a time.
use std::{
    io::{Read, Write},
    net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream},
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    thread,
};

use crate::fleet::SetupResult;

/// A relay; connections that were open or opened while it was silent carry no more data.
pub struct Relay {
    pub address: SocketAddr,
    is_silent: AtomicBool,
    /// Number of silent times so far.
    outages: AtomicU64,
}

impl Relay {
    pub fn start(target: SocketAddr) -> SetupResult<Arc<Self>> {
        let listener =
            TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).map_err(|error| error.to_string())?;
        let relay = Arc::new(Self {
            address: listener.local_addr().map_err(|error| error.to_string())?,
            is_silent: AtomicBool::new(false),
            outages: AtomicU64::new(0),
        });
        let accepting = relay.clone();
        thread::spawn(move || {
            for near in listener.incoming().flatten() {
                let Ok(far) = TcpStream::connect(target) else {
                    continue;
                };
                let outage = accepting.outages.load(Ordering::Relaxed);
                let ends = near.try_clone().and_then(|end| Ok((end, far.try_clone()?)));
                let Ok((near_end, far_end)) = ends else {
                    continue;
                };
                let (up, down) = (accepting.clone(), accepting.clone());
                thread::spawn(move || up.copy(near, far_end, outage));
                thread::spawn(move || down.copy(far, near_end, outage));
            }
        });
        Ok(relay)
    }

    /// Makes the store silent, or reachable again.
    pub fn set_silent(&self, is_silent: bool) {
        if is_silent {
            self.outages.fetch_add(1, Ordering::Relaxed);
        }
        self.is_silent.store(is_silent, Ordering::Relaxed);
    }

    fn copy(&self, mut from: TcpStream, mut to: TcpStream, outage: u64) {
        let _ = to.set_nodelay(true);
        let mut buffer = [0; 16 << 10];
        let mut is_dead = self.is_silent.load(Ordering::Relaxed);
        while let Ok(count @ 1..) = from.read(&mut buffer) {
            is_dead |= self.is_silent.load(Ordering::Relaxed)
                || self.outages.load(Ordering::Relaxed) != outage;
            if !is_dead && to.write_all(&buffer[..count]).is_err() {
                break;
            }
        }
        let _ = to.shutdown(std::net::Shutdown::Both);
    }
}
