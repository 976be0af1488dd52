//! Loopback addresses that are free, chosen outside the range of outgoing connections.
use std::{
    net::{Ipv4Addr, SocketAddr, TcpListener, UdpSocket},
    sync::atomic::{AtomicU8, Ordering},
};

use eyre::{Result, ensure};

/// First port that is tried.
const FIRST_PORT: u16 = 10_000;

/// First port of the usual range of outgoing connections.
const END_PORT: u16 = 32_000;

/// Addresses of one loopback number that no other run of the kit uses.
#[derive(Debug)]
pub struct AddressBlock {
    host: Ipv4Addr,
    next_port: u16,
}

impl AddressBlock {
    /// Chooses the loopback number from the process identifier and a counter.
    pub fn choose() -> Self {
        static COUNTER: AtomicU8 = AtomicU8::new(1);
        let [_, _, high, low] = std::process::id().to_be_bytes();
        let counter = COUNTER.fetch_add(1, Ordering::Relaxed).max(1);
        Self {
            host: Ipv4Addr::new(127, high | 0x80, low, counter),
            next_port: FIRST_PORT,
        }
    }

    /// Takes the next address whose port is free for TCP and UDP.
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
