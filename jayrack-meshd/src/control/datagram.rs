//! Encoding of status datagrams.
//!
//! A datagram is a protocol buffer. Daemons of earlier builds send and understand only JSON, so that format is still
//! decoded, and used towards hosts whose record does not state a newer one.
use std::net::{IpAddr, Ipv4Addr, Ipv6Addr, SocketAddr};

use jayrack_mesh::{
    era::StoreEra,
    freshness::{FreshnessReport, StatedConfirmation, StatedTime},
    gate::{GateLoad, ServiceTimeEstimate},
    health::ServerHealth,
    hosts::HostRecord,
    rollout::status::RolloutStatus,
    server::{ServerPhase, ServerRecord},
    status::RecordOrder,
};
use jayrack_protocol::status as wire;
use prost::Message;
use serde::{Deserialize, Serialize};

use super::rollout_wire;

/// Format of datagrams of this build, as records state it; 0 is JSON.
pub const FORMAT: u8 = 1;
/// First byte of a datagram in JSON; no protocol buffer of a status starts with it.
const JSON_START: u8 = b'{';
/// Maximum size of a datagram, in bytes; roll-outs that do not fit are left out.
const MAX_BYTES: usize = 1_200;

/// Content of a datagram.
#[derive(Debug, Clone, PartialEq)]
pub struct StatusMessage {
    /// Order of the sender's record.
    pub order: RecordOrder,
    /// The sender's record; `None` if the receiver has confirmed the record of this order.
    pub record: Option<HostRecord>,
    /// Load of the sender's admission gate.
    pub load: GateLoad,
    /// Service time estimates of the sender's server.
    pub service_times: Vec<ServiceTimeEstimate>,
    /// Health of the sender's server.
    pub health: ServerHealth,
    /// Version of the configuration in force; 0 before the first one.
    pub configuration: u64,
    /// Whether the store answered the sender at its last try.
    pub reaches_store: bool,
    /// Order of the receiver's record that the sender holds.
    pub known: Option<RecordOrder>,
    /// The sender's copy of the receiver's record, if the receiver sent an older one.
    pub correction: Option<HostRecord>,
    /// Clocks and the age of the sender's knowledge; empty unless that age is bounded.
    pub freshness: FreshnessReport,
    /// Roll-outs that run or have just ended, the most important first.
    pub rollouts: Vec<RolloutStatus>,
    /// Latest era of the store that an answer to the sender has proved.
    pub store_era: Option<StoreEra>,
}

/// Error of decoding a datagram.
#[derive(Debug)]
pub enum Error {
    /// The bytes are in neither format.
    Malformed(String),
    /// A field is missing or its value is invalid.
    Invalid(&'static str),
}

impl std::fmt::Display for Error {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Error::Malformed(reason) => write!(formatter, "malformed datagram: {reason}"),
            Error::Invalid(field) => write!(formatter, "invalid or missing {field}"),
        }
    }
}

impl std::error::Error for Error {}

/// Content of a datagram in JSON.
#[derive(Debug, Serialize, Deserialize)]
struct JsonStatus {
    record: HostRecord,
    load: [u32; 3],
    #[serde(default)]
    speeds: Vec<(String, u32)>,
    configuration: u64,
    reaches_store: bool,
    known: Option<RecordOrder>,
    correction: Option<HostRecord>,
}

impl StatusMessage {
    /// Encodes the message as a protocol buffer.
    pub fn encode(&self) -> Vec<u8> {
        let times = self.service_times.iter().map(|estimate| wire::ServiceTime {
            route: estimate.route.clone(),
            milliseconds: estimate.service_ms,
        });
        let [clock, confirmed_at, confirmed_version] = encode_freshness(self);
        let mut status = wire::Status {
            order: Some(encode_order(self.order)),
            record: self.record.as_ref().map(encode_record),
            running: self.load.running,
            waiting: self.load.waiting,
            slots: self.load.slots,
            service_times: times.collect(),
            configuration: self.configuration,
            reaches_store: self.reaches_store,
            known: self.known.map(encode_order),
            correction: self.correction.as_ref().map(encode_record),
            clock,
            confirmed_at,
            confirmed_version,
            failure_percent: self.health.failure_percent,
            warmup_left_ms: self.health.warmup_left_ms,
            store_era: self.store_era.map(StoreEra::to_number),
            ..wire::Status::default()
        };
        for rollout in &self.rollouts {
            status.rollouts.push(rollout_wire::encode(rollout));
            if status.encoded_len() > MAX_BYTES {
                status.rollouts.pop();
            }
        }
        status.encode_to_vec()
    }

    /// Encodes the message as JSON, which must carry the sender's record.
    ///
    /// # Errors
    ///
    /// Fails if the record is missing or the serialiser fails.
    pub fn encode_json(&self) -> Result<Vec<u8>, Error> {
        let record = self.record.clone().ok_or(Error::Invalid("record"))?;
        let GateLoad {
            running,
            waiting,
            slots,
        } = self.load;
        let speed = |estimate: &ServiceTimeEstimate| (estimate.route.clone(), estimate.service_ms);
        let message = JsonStatus {
            record,
            load: [running, waiting, slots],
            speeds: self.service_times.iter().map(speed).collect(),
            configuration: self.configuration,
            reaches_store: self.reaches_store,
            known: self.known,
            correction: self.correction.clone(),
        };
        serde_json::to_vec(&message).map_err(|error| Error::Malformed(error.to_string()))
    }

    /// Decodes a datagram of either format.
    ///
    /// # Errors
    ///
    /// Fails if the bytes are in neither format or a field is invalid.
    pub fn decode(bytes: &[u8]) -> Result<Self, Error> {
        if bytes.first() == Some(&JSON_START) {
            return decode_json(bytes);
        }
        let status =
            wire::Status::decode(bytes).map_err(|error| Error::Malformed(error.to_string()))?;
        let freshness = decode_freshness(&status);
        let times = status.service_times.into_iter();
        Ok(Self {
            order: decode_order(status.order)?,
            record: status.record.map(decode_record).transpose()?,
            load: GateLoad {
                running: status.running,
                waiting: status.waiting,
                slots: status.slots,
            },
            service_times: times
                .map(|time| ServiceTimeEstimate {
                    route: time.route,
                    service_ms: time.milliseconds,
                })
                .collect(),
            health: ServerHealth {
                failure_percent: status.failure_percent.min(100),
                warmup_left_ms: status.warmup_left_ms,
            },
            configuration: status.configuration,
            reaches_store: status.reaches_store,
            known: status.known.map(|order| (order.epoch, order.revision)),
            correction: status.correction.map(decode_record).transpose()?,
            freshness,
            rollouts: status
                .rollouts
                .into_iter()
                .filter_map(rollout_wire::decode)
                .collect(),
            store_era: status.store_era.map(StoreEra::from_number),
        })
    }
}

fn decode_json(bytes: &[u8]) -> Result<StatusMessage, Error> {
    let status: JsonStatus =
        serde_json::from_slice(bytes).map_err(|error| Error::Malformed(error.to_string()))?;
    let [running, waiting, slots] = status.load;
    let times = status.speeds.into_iter();
    Ok(StatusMessage {
        order: status.record.order(),
        record: Some(status.record),
        load: GateLoad {
            running,
            waiting,
            slots,
        },
        service_times: times
            .map(|(route, service_ms)| ServiceTimeEstimate { route, service_ms })
            .collect(),
        health: ServerHealth::default(),
        configuration: status.configuration,
        reaches_store: status.reaches_store,
        known: status.known,
        correction: status.correction,
        freshness: FreshnessReport::default(),
        rollouts: Vec::new(),
        store_era: None,
    })
}

/// Fields about the sender's clock and knowledge; zero stands for a missing one.
fn encode_freshness(message: &StatusMessage) -> [u64; 3] {
    let FreshnessReport {
        clock,
        confirmation,
    } = message.freshness;
    let clock = clock.map(StatedTime::to_number).unwrap_or_default();
    let Some(confirmation) = confirmation else {
        return [clock, 0, 0];
    };
    let version = match confirmation.version == message.configuration {
        true => 0,
        false => confirmation.version,
    };
    [clock, confirmation.at.to_number(), version]
}

fn decode_freshness(status: &wire::Status) -> FreshnessReport {
    let time = |number| (number != 0).then(|| StatedTime::from_number(number));
    let version = match status.confirmed_version {
        0 => status.configuration,
        version => version,
    };
    FreshnessReport {
        clock: time(status.clock),
        confirmation: time(status.confirmed_at).map(|at| StatedConfirmation { version, at }),
    }
}

fn encode_order((epoch, revision): RecordOrder) -> wire::RecordOrder {
    wire::RecordOrder { epoch, revision }
}

fn decode_order(order: Option<wire::RecordOrder>) -> Result<RecordOrder, Error> {
    let order = order.ok_or(Error::Invalid("order of the record"))?;
    Ok((order.epoch, order.revision))
}

fn encode_record(record: &HostRecord) -> wire::HostState {
    wire::HostState {
        address: encode_address(record.address),
        order: Some(encode_order(record.order())),
        data_centre: record.data_centre.clone(),
        link_mbps: record.link_mbps,
        forward_address: encode_socket(record.address, record.forward),
        gossip_address: encode_socket(record.address, record.gossip),
        server: record.server.as_ref().map(encode_server),
        leaving: record.is_leaving,
        datagram_format: u32::from(record.datagram_format),
        restoring: record.is_restoring,
    }
}

fn decode_record(state: wire::HostState) -> Result<HostRecord, Error> {
    let address = decode_address(&state.address).ok_or(Error::Invalid("address"))?;
    let (epoch, revision) = decode_order(state.order)?;
    let forward = decode_socket(address, &state.forward_address);
    let gossip = decode_socket(address, &state.gossip_address);
    Ok(HostRecord {
        address,
        epoch,
        revision,
        data_centre: state.data_centre,
        link_mbps: state.link_mbps,
        forward: forward.ok_or(Error::Invalid("address for requests"))?,
        gossip: gossip.ok_or(Error::Invalid("address for datagrams"))?,
        server: state.server.map(decode_server).transpose()?,
        is_leaving: state.leaving,
        datagram_format: u8::try_from(state.datagram_format).unwrap_or(u8::MAX),
        is_restoring: state.restoring,
    })
}

fn encode_server(server: &ServerRecord) -> wire::ServerState {
    let phase = match server.phase {
        ServerPhase::Ready => wire::ServerPhase::Ready,
        ServerPhase::Draining => wire::ServerPhase::Draining,
        ServerPhase::Gone => wire::ServerPhase::Gone,
    };
    wire::ServerState {
        instance: server.instance.clone(),
        born_ms: server.born_ms,
        sequence: server.sequence,
        service: server.service.clone(),
        slots: server.slots,
        phase: phase.into(),
        version: server.version.clone(),
    }
}

fn decode_server(state: wire::ServerState) -> Result<ServerRecord, Error> {
    let phase = wire::ServerPhase::try_from(state.phase);
    let phase = match phase.map_err(|_| Error::Invalid("phase of the server"))? {
        wire::ServerPhase::Ready => ServerPhase::Ready,
        wire::ServerPhase::Draining => ServerPhase::Draining,
        wire::ServerPhase::Gone => ServerPhase::Gone,
    };
    Ok(ServerRecord {
        instance: state.instance,
        born_ms: state.born_ms,
        sequence: state.sequence,
        service: state.service,
        slots: state.slots,
        phase,
        version: state.version,
    })
}

fn encode_address(address: IpAddr) -> Vec<u8> {
    match address {
        IpAddr::V4(address) => address.octets().to_vec(),
        IpAddr::V6(address) => address.octets().to_vec(),
    }
}

fn decode_address(bytes: &[u8]) -> Option<IpAddr> {
    if let Ok(octets) = <[u8; 4]>::try_from(bytes) {
        return Some(Ipv4Addr::from(octets).into());
    }
    let octets = <[u8; 16]>::try_from(bytes).ok()?;
    Some(Ipv6Addr::from(octets).into())
}

/// Port of `socket`, after its IP number if that is not the one of the host.
fn encode_socket(host: IpAddr, socket: SocketAddr) -> Vec<u8> {
    let mut bytes = match socket.ip() == host {
        true => Vec::new(),
        false => encode_address(socket.ip()),
    };
    bytes.extend_from_slice(&socket.port().to_be_bytes());
    bytes
}

fn decode_socket(host: IpAddr, bytes: &[u8]) -> Option<SocketAddr> {
    let (address, port) = bytes.split_at_checked(bytes.len().checked_sub(2)?)?;
    let port = u16::from_be_bytes(port.try_into().ok()?);
    let address = match address.is_empty() {
        true => host,
        false => decode_address(address)?,
    };
    Some(SocketAddr::new(address, port))
}
