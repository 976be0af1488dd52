//! Network relays for fault injection.
//!
//! * [`tcp`]: relays TCP connections; open ones can be silenced or closed while new ones work.
//! * [`udp`]: relays datagrams; they can be lost or delayed, and known flows silenced.
pub mod tcp;
pub mod udp;

pub use tcp::TcpLink;
pub use udp::{UdpBehaviour, UdpLink};
