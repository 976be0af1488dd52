//! Links that fail: relays which drop, delay or forget.
//!
//! * [`tcp`]: connections that go silent or are cut while new ones work.
//! * [`udp`]: datagrams that are lost, late or of a forgotten flow.
pub mod tcp;
pub mod udp;

pub use tcp::TcpLink;
pub use udp::{UdpBehaviour, UdpLink};
