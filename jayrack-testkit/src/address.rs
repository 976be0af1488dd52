//! Allocates free loopback addresses outside the range of ephemeral ports.
use std::{
    net::{Ipv4Addr, SocketAddr, TcpListener, UdpSocket},
    sync::atomic::{AtomicU8, Ordering},
};

use eyre::{Result, ensure};

/// First port that is tried.
const FIRST_PORT: u16 = 10_000;

/// End of the ports that are tried (exclusive), below the usual range of ephemeral ports.
const END_PORT: u16 = 32_000;

/// Socket addresses on one loopback IP address.
///
/// The IP address depends on the process identifier, so that concurrent runs don't share one.
#[derive(Debug)]
pub struct AddressBlock {
    host: Ipv4Addr,
    next_port: u16,
}

impl AddressBlock {
    /// Derives the IP address from the process identifier and a counter.
    pub fn choose() -> Self {
        static COUNTER: AtomicU8 = AtomicU8::new(1);
        let [_, _, high, low] = std::process::id().to_be_bytes();
        let counter = COUNTER.fetch_add(1, Ordering::Relaxed).max(1);
        Self {
            host: Ipv4Addr::new(127, high | 0x80, low, counter),
            next_port: FIRST_PORT,
        }
    }

    /// Returns the next address whose port is free for both TCP and UDP.
    ///
    /// Fails when no port of the range is free.
    pub fn take(&mut self) -> Result<SocketAddr> {
        loop {
            ensure!(self.next_port < END_PORT, "no free port at {}", self.host);
            let address = SocketAddr::from((self.host, self.next_port));
            self.next_port += 1;
            if TcpListener::bind(address).is_ok() && UdpSocket::bind(address).is_ok() {
                return Ok(address);
            }
        }
    }
}
