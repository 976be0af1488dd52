//! Headers that daemons add to forwarded requests and their answers.
use bytes::Bytes;
use hyper::{
    HeaderMap, Response, StatusCode,
    header::{self, HeaderName, HeaderValue},
};
use jayrack_mesh::{
    gate::{GateLoad, Urgency},
    health::ServerHealth,
    pick::FreeHost,
};
use jayrack_platform::headers::REQUEST_ID;
use jayrack_protocol::answer::is_final_status;

use super::body::AnswerBody;

/// Prefix of the names of all headers between daemons.
const INTERNAL_PREFIX: &str = "jayrack-";
/// Head of a forwarded request; a single header, since each byte between data centres is charged.
const REQUEST: HeaderName = HeaderName::from_static("jayrack-request");
/// Rank of the request's tenant, on requests whose tenant has one. It is a header of its own, so that the head keeps
/// the form that daemons of earlier builds decode.
const TENANT_RANK: HeaderName = HeaderName::from_static("jayrack-tenant-rank");
/// Outcome and gate load in an owner's answer.
const REPLY: HeaderName = HeaderName::from_static("jayrack-reply");

/// Maximum number of hosts with free slots that are read from a reply.
const MAX_DECODED_HOSTS: usize = 4;

const ANSWERED: &str = "answered";
const CALL_REFUSED: &str = "call-refused";
const LOST: &str = "lost";

/// Headers that concern one connection only.
const HOP_BY_HOP: [HeaderName; 8] = [
    header::CONNECTION,
    HeaderName::from_static("keep-alive"),
    HeaderName::from_static("proxy-connection"),
    header::PROXY_AUTHENTICATE,
    header::PROXY_AUTHORIZATION,
    header::TE,
    header::TRANSFER_ENCODING,
    header::UPGRADE,
];

/// The moment at which a request was sent, by the clock of the host that sent it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SendTime {
    /// When the sending process started, in milliseconds.
    pub epoch: u64,
    /// When the request was sent, in milliseconds.
    pub at_ms: u64,
}

/// How an attempt counts; on the wire, builds without [`AttemptKind::MayPass`] read it as [`AttemptKind::First`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AttemptKind {
    /// No server has received the request before.
    First,
    /// As [`AttemptKind::First`]; an owner without a free slot sends the request back instead of letting it wait.
    MayPass,
    /// The request may have reached another server before.
    Retry,
}

impl AttemptKind {
    fn name(self) -> &'static str {
        match self {
            AttemptKind::First => "0",
            AttemptKind::Retry => "1",
            AttemptKind::MayPass => "2",
        }
    }

    fn decode(name: &str) -> Self {
        match name {
            "1" => AttemptKind::Retry,
            "2" => AttemptKind::MayPass,
            _ => AttemptKind::First,
        }
    }
}

/// What the owner needs to know of a forwarded request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ForwardHead {
    /// Name of the route.
    pub route: String,
    /// Incarnation of the backend server that the ingress chose.
    pub instance: String,
    /// Urgency at the admission gate.
    pub urgency: Urgency,
    /// Time left until the target latency, in milliseconds from now.
    pub target_left_ms: u64,
    /// Time left until the caller's deadline, in milliseconds from now.
    pub time_left_ms: u64,
    /// Whether the request may run more than once.
    pub is_idempotent: bool,
    /// How the attempt counts.
    pub attempt: AttemptKind,
    /// Whether ingress and owner are in the same data centre.
    pub is_same_data_centre: bool,
    /// When the ingress sent the request, by the clock of its host.
    pub sent: SendTime,
    /// Rank that the request's tenant has in place of the route's; nested calls of the request keep it.
    pub tenant_rank: Option<u8>,
}

impl ForwardHead {
    /// Writes the head into `headers`; the route comes last, since its name may contain spaces.
    pub fn encode(&self, headers: &mut HeaderMap) {
        let Urgency { stage, rank } = self.urgency;
        let text = format!(
            "{} {stage} {rank} {} {} {} {} {} {} {} {}",
            self.instance,
            self.target_left_ms,
            self.time_left_ms,
            u8::from(self.is_idempotent),
            self.attempt.name(),
            u8::from(self.is_same_data_centre),
            self.sent.epoch,
            self.sent.at_ms,
            self.route,
        );
        insert_text(headers, REQUEST, &text);
        if let Some(rank) = self.tenant_rank {
            headers.insert(TENANT_RANK, HeaderValue::from(u16::from(rank)));
        }
    }

    /// Reads the head; `None` if a field is missing or malformed.
    pub fn decode(headers: &HeaderMap) -> Option<Self> {
        let mut fields = text_of(headers.get(REQUEST)?)?.splitn(11, ' ');
        let tenant_rank = number(headers, TENANT_RANK).and_then(|rank| rank.try_into().ok());
        let instance = fields.next()?.to_string();
        let urgency = Urgency {
            stage: fields.next()?.parse().ok()?,
            rank: fields.next()?.parse().ok()?,
        };
        Some(Self {
            instance,
            urgency,
            target_left_ms: fields.next()?.parse().ok()?,
            time_left_ms: fields.next()?.parse().ok()?,
            is_idempotent: fields.next()? == "1",
            attempt: AttemptKind::decode(fields.next()?),
            is_same_data_centre: fields.next()? == "1",
            sent: SendTime {
                epoch: fields.next()?.parse().ok()?,
                at_ms: fields.next()?.parse().ok()?,
            },
            route: fields.next()?.to_string(),
            tenant_rank,
        })
    }
}

/// Why a request was not run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum NotRunReason {
    /// The gate's queue is full, or the request would wait for too long.
    Busy,
    /// The backend server accepts no requests, or is not the expected incarnation.
    Closed,
    /// The time left did not suffice.
    Expired,
    /// The link of the owner's host cannot transmit the answer in time.
    LinkFull,
    /// No slot is free, and the ingress wants to try other hosts before the request waits.
    Passed,
    /// The backend server could not be reached.
    ServerDown,
    /// The backend server received the request and answered that it did not run it.
    ServerRefused,
}

impl NotRunReason {
    /// Name on the wire, in logs and in metrics.
    pub fn name(self) -> &'static str {
        match self {
            NotRunReason::Busy => "busy",
            NotRunReason::Closed => "closed",
            NotRunReason::Expired => "expired",
            NotRunReason::LinkFull => "link-full",
            NotRunReason::Passed => "passed",
            NotRunReason::ServerDown => "server-down",
            NotRunReason::ServerRefused => "server-refused",
        }
    }

    fn decode(name: &str) -> Option<Self> {
        let all = [
            NotRunReason::Busy,
            NotRunReason::Closed,
            NotRunReason::Expired,
            NotRunReason::LinkFull,
            NotRunReason::Passed,
            NotRunReason::ServerDown,
            NotRunReason::ServerRefused,
        ];
        all.into_iter().find(|reason| reason.name() == name)
    }
}

/// Result of a request at the owner.
#[derive(Debug)]
pub enum OwnerOutcome {
    /// The backend server answered.
    Answered {
        /// The server's answer, without hop-by-hop headers and those between daemons.
        response: Box<Response<AnswerBody>>,
        /// Time until the answer began, in milliseconds.
        service_ms: u64,
        /// Whether a nested call of the request was refused; a failure is then not the server's own.
        has_refused_call: bool,
    },
    /// The request did not run and never will.
    NotRun {
        /// Why it did not run.
        reason: NotRunReason,
        /// Time after which a retry may be admitted, in milliseconds.
        retry_after_ms: u64,
    },
    /// No usable answer arrived; the request may have run.
    Lost,
}

impl OwnerOutcome {
    /// Name on the wire and in logs.
    pub fn name(&self) -> &'static str {
        match self {
            OwnerOutcome::Answered {
                has_refused_call: true,
                ..
            } => CALL_REFUSED,
            OwnerOutcome::Answered { .. } => ANSWERED,
            OwnerOutcome::NotRun { reason, .. } => reason.name(),
            OwnerOutcome::Lost => LOST,
        }
    }
}

/// An outcome with the load of the owner's gate.
#[derive(Debug)]
pub struct OwnerReply {
    /// Result of the request.
    pub outcome: OwnerOutcome,
    /// Load of the owner's admission gate.
    pub load: GateLoad,
    /// Service time estimate of the route at this server, in milliseconds, if it is known.
    pub service_ms: Option<u32>,
    /// Health of the owner's server.
    pub health: ServerHealth,
    /// Other hosts with free slots.
    pub free_hosts: Vec<FreeHost>,
}

impl OwnerReply {
    /// Encodes the response to the daemon that forwarded the request.
    pub fn encode(self) -> Response<AnswerBody> {
        let outcome = self.outcome.name();
        let (mut response, time_ms) = match self.outcome {
            OwnerOutcome::Answered {
                response,
                service_ms,
                ..
            } => (*response, service_ms),
            OwnerOutcome::NotRun { retry_after_ms, .. } => {
                (empty(StatusCode::SERVICE_UNAVAILABLE), retry_after_ms)
            }
            OwnerOutcome::Lost => (empty(StatusCode::BAD_GATEWAY), 0),
        };
        let GateLoad {
            running,
            waiting,
            slots,
        } = self.load;
        // Zero means that the service time is unknown.
        let service_ms = self.service_ms.unwrap_or_default();
        let mut text = format!("{outcome} {time_ms} {running} {waiting} {slots} {service_ms}");
        append_health(&mut text, self.health, &self.free_hosts);
        insert_text(response.headers_mut(), REPLY, &text);
        response
    }

    /// Decodes an owner's response; `None` if it is not one.
    pub fn decode(mut response: Response<AnswerBody>) -> Option<Self> {
        // Owners of earlier builds pass on whatever status their server answers with.
        if !is_final_status(response.status().as_u16()) {
            return None;
        }
        let reply = response.headers_mut().remove(REPLY)?;
        let mut fields = reply.to_str().ok()?.split(' ');
        let outcome = fields.next()?;
        let time_ms = fields.next()?.parse().ok()?;
        let mut number = || fields.next()?.parse().ok();
        let load = GateLoad {
            running: number()?,
            waiting: number()?,
            slots: number()?,
        };
        let service_ms = Some(number()?).filter(|service_ms| *service_ms > 0);
        // Replies of earlier builds end here.
        let health = ServerHealth {
            failure_percent: number().unwrap_or_default(),
            warmup_left_ms: number().unwrap_or_default(),
        };
        let free_hosts = fields.filter_map(decode_free_host).take(MAX_DECODED_HOSTS);
        let free_hosts = free_hosts.collect();
        let outcome = match outcome {
            ANSWERED | CALL_REFUSED => OwnerOutcome::Answered {
                response: Box::new(response),
                service_ms: time_ms,
                has_refused_call: outcome == CALL_REFUSED,
            },
            LOST => OwnerOutcome::Lost,
            reason => OwnerOutcome::NotRun {
                reason: NotRunReason::decode(reason)?,
                retry_after_ms: time_ms,
            },
        };
        Some(Self {
            outcome,
            load,
            service_ms,
            health,
            free_hosts,
        })
    }
}

/// Appends the optional part of a reply; it is omitted where it says nothing.
fn append_health(text: &mut String, health: ServerHealth, free_hosts: &[FreeHost]) {
    let ServerHealth {
        failure_percent,
        warmup_left_ms,
    } = health;
    if health == ServerHealth::default() && free_hosts.is_empty() {
        return;
    }
    text.push_str(&format!(" {failure_percent} {warmup_left_ms}"));
    for host in free_hosts {
        let FreeHost {
            address,
            free_slots,
            age_ms,
        } = host;
        text.push_str(&format!(" {address}/{free_slots}/{age_ms}"));
    }
}

fn decode_free_host(text: &str) -> Option<FreeHost> {
    let mut fields = text.split('/');
    Some(FreeHost {
        address: fields.next()?.parse().ok()?,
        free_slots: fields.next()?.parse().ok()?,
        age_ms: fields.next()?.parse().ok()?,
    })
}

/// Removes hop-by-hop headers, among them those that `Connection` names.
pub fn strip_hop_by_hop(headers: &mut HeaderMap) {
    let named: Vec<HeaderName> = headers
        .get_all(header::CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .filter_map(|name| name.trim().parse().ok())
        .filter(|name| *name != header::CONTENT_LENGTH && *name != header::HOST)
        .collect();
    for name in named.iter().chain(&HOP_BY_HOP) {
        headers.remove(name);
    }
}

/// Removes the headers that only daemons may set.
pub fn strip_internal(headers: &mut HeaderMap) {
    let internal: Vec<HeaderName> = headers
        .keys()
        .filter(|name| name.as_str().starts_with(INTERNAL_PREFIX))
        .cloned()
        .collect();
    for name in internal {
        headers.remove(name);
    }
}

/// Identifier of a request for logs; empty if there is none or it is not text.
pub fn request_id(headers: &HeaderMap) -> &str {
    headers
        .get(REQUEST_ID)
        .and_then(|id| id.to_str().ok())
        .unwrap_or("")
}

/// Creates a response without a body.
pub fn empty(status: StatusCode) -> Response<AnswerBody> {
    let mut response = Response::new(AnswerBody::buffered(Bytes::new()));
    *response.status_mut() = status;
    response
}

/// Text of a header as [`insert_text`] writes it; names in a configuration need not be ASCII.
fn text_of(value: &HeaderValue) -> Option<&str> {
    std::str::from_utf8(value.as_bytes()).ok()
}

/// Sets a header in UTF-8; text that is not a valid header value is omitted with a warning.
pub fn insert_text(headers: &mut HeaderMap, name: HeaderName, text: &str) {
    match HeaderValue::from_bytes(text.as_bytes()) {
        Ok(value) => {
            headers.insert(name, value);
        }
        Err(error) => log::warn!("header {name} is left out: {error}"),
    }
}

/// Value of a header as a number; `None` if it is missing or not a number.
pub fn number(headers: &HeaderMap, name: HeaderName) -> Option<u64> {
    headers.get(name)?.to_str().ok()?.trim().parse().ok()
}
