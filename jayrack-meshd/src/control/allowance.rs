//! Messages of the tenant rate limits: requests for tokens, and leases.
//!
//! They travel in the frame of status datagrams, without the sender's state, so that they are small.
use std::{
    collections::BTreeMap,
    net::{IpAddr, SocketAddr},
    sync::Arc,
    time::Duration,
};

use jayrack_mesh::{
    HostDirectory,
    allowance::{
        AllowanceMessage, LeaseRequest, StandbyNotice, TokenLease,
        node::{AllowanceCounts, AllowanceEvent, FleetView, TICK_INTERVAL_MS},
    },
    hosts::HostEntry,
    status::RecordOrder,
};
use jayrack_protocol::status as wire;
use prost::Message;
use tokio::time::{Instant, sleep};

use super::{ControlState, datagram};
use crate::{shared::MeshState, traffic::allowance::AllowanceExchange};

/// Size of the messages in a datagram, in bytes: the datagram fits into one packet.
const MAX_MESSAGE_BYTES: usize = 1_200;
/// Interval between two updates of the view of the fleet and of the limits.
const VIEW_INTERVAL: Duration = Duration::from_millis(250);
/// Silence after which a host of the same data centre is no lender, in milliseconds, in a small fleet: the interval of
/// two datagrams. It grows with the interval factor of the fleet.
const SAME_DATA_CENTRE_SILENCE_MS: u64 = 2_500;
/// The same for hosts of other data centres.
const REMOTE_SILENCE_MS: u64 = 5_000;
/// Silence after which a host no longer has a share of the rates, in milliseconds, in a small fleet: longer than a cut
/// or an isolation usually lasts, after which the host would use its share again.
const GONE_MS: u64 = 60_000;

/// Encodes messages to one host as datagrams.
pub fn encode(order: RecordOrder, messages: &[AllowanceMessage]) -> Vec<Vec<u8>> {
    let (epoch, revision) = order;
    let empty = wire::Status {
        order: Some(wire::RecordOrder { epoch, revision }),
        ..wire::Status::default()
    };
    let mut datagrams = Vec::new();
    let mut status = empty.clone();
    for message in messages {
        if status.encoded_len() >= MAX_MESSAGE_BYTES {
            datagrams.push(status.encode_to_vec());
            status = empty.clone();
        }
        match message {
            AllowanceMessage::Request(request) => {
                status.allowance_requests.push(wire::AllowanceRequest {
                    tenant: request.tenant.clone(),
                    id: request.id,
                    tokens: request.tokens,
                    returned: request.returned,
                    standby_lent: 0,
                });
            }
            AllowanceMessage::Notice(notice) => {
                status.allowance_requests.push(wire::AllowanceRequest {
                    tenant: notice.tenant.clone(),
                    standby_lent: notice.lent,
                    ..wire::AllowanceRequest::default()
                });
            }
            AllowanceMessage::Lease(lease) => status.allowance_leases.push(wire::AllowanceLease {
                tenant: lease.tenant.clone(),
                id: lease.id,
                tokens: lease.tokens,
                wait_ms: lease.wait_ms,
            }),
        }
    }
    datagrams.push(status.encode_to_vec());
    datagrams
}

/// Decodes the messages of a datagram; `None` if it is a datagram of another kind.
pub fn decode(bytes: &[u8]) -> Option<Vec<AllowanceMessage>> {
    let status = wire::Status::decode(bytes).ok()?;
    if status.allowance_requests.is_empty() && status.allowance_leases.is_empty() {
        return None;
    }
    let requests = status.allowance_requests.into_iter().map(decode_request);
    let leases = status.allowance_leases.into_iter().map(|lease| {
        AllowanceMessage::Lease(TokenLease {
            tenant: lease.tenant,
            id: lease.id,
            tokens: lease.tokens,
            wait_ms: lease.wait_ms,
        })
    });
    Some(requests.chain(leases).collect())
}

fn decode_request(request: wire::AllowanceRequest) -> AllowanceMessage {
    if request.standby_lent > 0 {
        return AllowanceMessage::Notice(StandbyNotice {
            tenant: request.tenant,
            lent: request.standby_lent,
        });
    }
    AllowanceMessage::Request(LeaseRequest {
        tenant: request.tenant,
        id: request.id,
        tokens: request.tokens,
        returned: request.returned,
    })
}

/// Handles a datagram if it carries messages of the rate limits; returns whether it does.
pub(super) fn handle(control: &ControlState, bytes: &[u8], sender: SocketAddr) -> bool {
    let mesh = &control.mesh;
    let Some(exchange) = &mesh.allowance else {
        return false;
    };
    let address = sender.ip();
    let Some(messages) = decode(bytes) else {
        exchange.record_heard(address);
        return false;
    };
    let is_known = {
        let mut directory = mesh.directory();
        directory.record_received(mesh.now_ms(), address);
        directory.get(address).is_some()
    };
    if is_known {
        for message in &messages {
            exchange.receive(address, message);
        }
    }
    true
}

/// Sends messages, and updates limits and the view of the fleet, for as long as the process runs.
pub async fn run(control: Arc<ControlState>) {
    let Some(exchange) = control.mesh.allowance.clone() else {
        return;
    };
    let mut state = ExchangeState::default();
    loop {
        state.update(&control.mesh, &exchange);
        let output = exchange.tick();
        state.count(&control.mesh, output.counts);
        output.events.iter().for_each(log_event);
        send(&control, output.messages).await;
        let due_in_ms = output.due_in_ms.unwrap_or(TICK_INTERVAL_MS);
        let pause = Duration::from_millis(due_in_ms.clamp(1, TICK_INTERVAL_MS));
        tokio::select! {
            () = exchange.changed() => {}
            () = sleep(pause) => {}
        }
    }
}

#[derive(Debug, Default)]
struct ExchangeState {
    updated: Option<Instant>,
    version: u64,
    counts: AllowanceCounts,
}

impl ExchangeState {
    fn update(&mut self, mesh: &MeshState, exchange: &AllowanceExchange) {
        let is_due = |updated: Instant| updated.elapsed() >= VIEW_INTERVAL;
        if !self.updated.is_none_or(is_due) {
            return;
        }
        self.updated = Some(Instant::now());
        let settings = &mesh.settings.host;
        let view = fleet_view(
            &mesh.directory(),
            mesh.now_ms(),
            settings.address,
            &settings.data_centre,
        );
        exchange.set_fleet(view);
        if self.version == mesh.version() {
            return;
        }
        let routes = mesh.routes.load();
        let Some(routes) = routes.as_ref() else {
            return;
        };
        self.version = routes.version();
        let tenants = routes
            .tenants()
            .into_iter()
            .flat_map(|tenants| tenants.iter());
        let limits = tenants.filter_map(|tenant| Some((tenant.name.clone(), tenant.allowance?)));
        exchange.set_limits(limits.collect());
    }

    /// Adds what was counted since the last call to the metrics.
    fn count(&mut self, mesh: &MeshState, counts: AllowanceCounts) {
        let known = std::mem::replace(&mut self.counts, counts);
        for (outcome, number, known) in [
            (
                "admitted",
                counts.borrower.admitted,
                known.borrower.admitted,
            ),
            (
                "over-limit",
                counts.borrower.refused,
                known.borrower.refused,
            ),
            (
                "unanswered",
                counts.borrower.unanswered,
                known.borrower.unanswered,
            ),
            ("lent", counts.lent, known.lent),
            ("returned", counts.returned, known.returned),
        ] {
            mesh.metrics.count_allowance(outcome, number - known);
        }
    }
}

/// The fleet as the daemon at `local` sees it.
pub fn fleet_view(
    directory: &HostDirectory,
    now_ms: u64,
    local: IpAddr,
    data_centre: &str,
) -> FleetView {
    let factors = directory.interval_factors(data_centre);
    let others = || {
        directory
            .entries()
            .filter(|entry| entry.record.address != local && !entry.record.is_leaving)
    };
    let silence_ms = |entry: &HostEntry| now_ms.saturating_sub(entry.last_received_ms.unwrap_or(0));
    let is_live = |entry: &&HostEntry| {
        let timeout_ms = match entry.record.data_centre == data_centre {
            true => SAME_DATA_CENTRE_SILENCE_MS * factors.same_data_centre,
            false => REMOTE_SILENCE_MS * factors.remote,
        };
        entry.last_received_ms.is_some() && silence_ms(entry) < timeout_ms
    };
    let is_counted = |entry: &&HostEntry| silence_ms(entry) < GONE_MS * factors.remote;
    let address = |entry: &HostEntry| entry.record.address;
    let own = || std::iter::once(local);
    FleetView {
        live: own().chain(others().filter(is_live).map(address)).collect(),
        counted: own()
            .chain(others().filter(is_counted).map(address))
            .collect(),
    }
}

async fn send(control: &ControlState, messages: Vec<(IpAddr, AllowanceMessage)>) {
    if messages.is_empty() {
        return;
    }
    let mut by_host: BTreeMap<IpAddr, Vec<AllowanceMessage>> = BTreeMap::new();
    for (host, message) in messages {
        by_host.entry(host).or_default().push(message);
    }
    let order = control.gossip.own_record().order();
    for (host, messages) in by_host {
        let receiver = {
            let directory = control.mesh.directory();
            let entry = directory.get(host);
            // Builds that understand only JSON have no rate limits.
            entry
                .filter(|entry| entry.record.datagram_format >= datagram::FORMAT)
                .map(|entry| entry.record.gossip)
        };
        let Some(receiver) = receiver else { continue };
        for bytes in encode(order, &messages) {
            if let Err(error) = control.gossip.socket.send_to(&bytes, receiver).await {
                log::debug!(host:% = host, error:% = error; "datagram not sent");
            }
        }
    }
}

fn log_event(event: &AllowanceEvent) {
    match event {
        AllowanceEvent::TookOver(tenant) => {
            log::info!(tenant = tenant.as_str(); "lender of a tenant's tokens");
        }
        AllowanceEvent::OverLimit(tenant) => {
            log::warn!(tenant = tenant.as_str(); "tenant over its limit");
        }
    }
}
