//! Conversion between typed records and the messages of [`jayrack_protocol::gossip`].
use std::net::{IpAddr, Ipv4Addr, Ipv6Addr, SocketAddr};

use jayrack_protocol::gossip;
use prost::Message;

use crate::record::{MemberRecord, ServerRecord};

/// Longest datagram payload, in bytes, without the authentication tag.
pub const MAX_PAYLOAD_BYTES: usize = 1_384;

const PORT_BYTES: usize = 2;
const IPV4_BYTES: usize = 4;
const IPV6_BYTES: usize = 16;
const MAX_PERCENT: u32 = 100;

/// Reason for rejecting a payload.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Error {
    /// The payload exceeds [`MAX_PAYLOAD_BYTES`].
    TooLong(usize),
    /// The payload does not decode as a datagram message.
    Malformed(prost::DecodeError),
}

impl std::fmt::Display for Error {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Error::TooLong(length) => write!(f, "datagram of {length} bytes is too long"),
            Error::Malformed(error) => write!(f, "malformed datagram: {error}"),
        }
    }
}

impl std::error::Error for Error {}

/// Encodes a datagram to be signed and sent.
pub fn encode(datagram: &gossip::Datagram) -> Vec<u8> {
    datagram.encode_to_vec()
}

/// Decodes an authenticated payload.
pub fn decode(payload: &[u8]) -> Result<gossip::Datagram, Error> {
    if payload.len() > MAX_PAYLOAD_BYTES {
        return Err(Error::TooLong(payload.len()));
    }
    gossip::Datagram::decode(payload).map_err(Error::Malformed)
}

/// Converts a record to its message, together with the version in force at the member.
pub fn to_message(record: &MemberRecord, applied_version: u64) -> gossip::MemberRecord {
    gossip::MemberRecord {
        incarnation: record.incarnation,
        revision: record.revision,
        gossip_address: encode_address(record.gossip_address),
        forward_address: encode_compact_address(record.forward_address, record.gossip_address),
        admin_address: encode_compact_address(record.admin_address, record.gossip_address),
        data_centre: record.data_centre.clone(),
        region: record.region.clone(),
        servers: record.servers.iter().map(server_message).collect(),
        ready: record.ready,
        applied_version,
    }
}

/// Converts a message to a record; `None` when an address or a value is not valid.
pub fn from_message(message: &gossip::MemberRecord) -> Option<MemberRecord> {
    let gossip_address = parse_address(&message.gossip_address)?;
    let servers: Option<Vec<ServerRecord>> = message.servers.iter().map(server_record).collect();
    let record = MemberRecord::new(gossip_address, message.incarnation)
        .with_forward_address(parse_compact_address(
            &message.forward_address,
            gossip_address,
        )?)
        .with_admin_address(parse_compact_address(
            &message.admin_address,
            gossip_address,
        )?)
        .with_location(&message.data_centre, &message.region);
    Some(MemberRecord {
        revision: message.revision,
        servers: servers?,
        ready: message.ready,
        ..record
    })
}

fn server_message(server: &ServerRecord) -> gossip::ServerRecord {
    gossip::ServerRecord {
        name: server.name.clone(),
        service: server.service.clone(),
        slots: server.slots,
        connections: server.connections,
        draining: server.draining,
        warm_percent: u32::from(server.warm_percent),
    }
}

fn server_record(message: &gossip::ServerRecord) -> Option<ServerRecord> {
    if message.warm_percent > MAX_PERCENT {
        return None;
    }
    Some(ServerRecord {
        name: message.name.clone(),
        service: message.service.clone(),
        slots: message.slots,
        connections: message.connections,
        draining: message.draining,
        warm_percent: message.warm_percent as u8,
    })
}

/// Encodes an address: four or sixteen bytes of IP number, then two of port.
pub(crate) fn encode_address(address: SocketAddr) -> Vec<u8> {
    let mut bytes = match address.ip() {
        IpAddr::V4(ip) => ip.octets().to_vec(),
        IpAddr::V6(ip) => ip.octets().to_vec(),
    };
    bytes.extend_from_slice(&address.port().to_be_bytes());
    bytes
}

fn encode_compact_address(address: SocketAddr, base: SocketAddr) -> Vec<u8> {
    if address.ip() == base.ip() {
        return address.port().to_be_bytes().to_vec();
    }
    encode_address(address)
}

/// Decodes an address; `None` when its length is not that of an IPv4 or IPv6 address with a port.
pub(crate) fn parse_address(bytes: &[u8]) -> Option<SocketAddr> {
    let split = bytes.len().checked_sub(PORT_BYTES)?;
    let (ip, port) = bytes.split_at(split);
    Some(SocketAddr::new(parse_ip(ip)?, parse_port(port)?))
}

fn parse_compact_address(bytes: &[u8], base: SocketAddr) -> Option<SocketAddr> {
    if bytes.len() == PORT_BYTES {
        return Some(SocketAddr::new(base.ip(), parse_port(bytes)?));
    }
    parse_address(bytes)
}

fn parse_ip(bytes: &[u8]) -> Option<IpAddr> {
    match bytes.len() {
        IPV4_BYTES => Some(IpAddr::V4(Ipv4Addr::from(
            <[u8; IPV4_BYTES]>::try_from(bytes).ok()?,
        ))),
        IPV6_BYTES => Some(IpAddr::V6(Ipv6Addr::from(
            <[u8; IPV6_BYTES]>::try_from(bytes).ok()?,
        ))),
        _ => None,
    }
}

fn parse_port(bytes: &[u8]) -> Option<u16> {
    Some(u16::from_be_bytes(bytes.try_into().ok()?))
}
