//! What one daemon tells another about a request, as headers of the forwarded message.
use bytes::Bytes;
use hyper::{
    HeaderMap, Response, StatusCode,
    header::{self, HeaderName, HeaderValue},
};
use jayrack_mesh::gate::{GateLoad, Urgency};

use super::body::AnswerBody;

/// Start of the names of all headers between daemons.
const OWN_PREFIX: &str = "jayrack-";
const ROUTE: HeaderName = HeaderName::from_static("jayrack-route");
const SERVICE: HeaderName = HeaderName::from_static("jayrack-service");
const INSTANCE: HeaderName = HeaderName::from_static("jayrack-instance");
const URGENCY: HeaderName = HeaderName::from_static("jayrack-urgency");
const TARGET_LEFT_MS: HeaderName = HeaderName::from_static("jayrack-target-left-ms");
const TIME_LEFT_MS: HeaderName = HeaderName::from_static("jayrack-time-left-ms");
const IDEMPOTENT: HeaderName = HeaderName::from_static("jayrack-idempotent");
const OUTCOME: HeaderName = HeaderName::from_static("jayrack-outcome");
const LOAD: HeaderName = HeaderName::from_static("jayrack-load");
const SERVICE_MS: HeaderName = HeaderName::from_static("jayrack-service-ms");
const RETRY_AFTER_MS: HeaderName = HeaderName::from_static("jayrack-retry-after-ms");

const ANSWERED: HeaderValue = HeaderValue::from_static("answered");
const LOST: HeaderValue = HeaderValue::from_static("lost");

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

/// What the owner of a backend server needs to know of a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ForwardHead {
    /// Route.
    pub route: String,
    /// Service that the ingress chose.
    pub service: String,
    /// Life of the backend server that the ingress chose.
    pub instance: String,
    /// How urgent it is.
    pub urgency: Urgency,
    /// Time in which an answer is worth most, in milliseconds from now.
    pub target_left_ms: u64,
    /// Time after which nobody waits, in milliseconds from now.
    pub time_left_ms: u64,
    /// Whether it may run more than once.
    pub is_idempotent: bool,
}

impl ForwardHead {
    /// Writes the head into `headers`.
    pub fn encode(&self, headers: &mut HeaderMap) {
        let Urgency { stage, rank, turn } = self.urgency;
        put_text(headers, ROUTE, &self.route);
        put_text(headers, SERVICE, &self.service);
        put_text(headers, INSTANCE, &self.instance);
        put_text(headers, URGENCY, &format!("{stage} {rank} {turn}"));
        headers.insert(TARGET_LEFT_MS, HeaderValue::from(self.target_left_ms));
        headers.insert(TIME_LEFT_MS, HeaderValue::from(self.time_left_ms));
        headers.insert(IDEMPOTENT, HeaderValue::from(u16::from(self.is_idempotent)));
    }

    /// Reads the head; `None` if a part is missing or malformed.
    pub fn decode(headers: &HeaderMap) -> Option<Self> {
        let text = |name: HeaderName| headers.get(name)?.to_str().ok().map(str::to_string);
        let mut urgency = headers.get(URGENCY)?.to_str().ok()?.split(' ');
        let mut next = || urgency.next()?.parse().ok();
        Some(Self {
            route: text(ROUTE)?,
            service: text(SERVICE)?,
            instance: text(INSTANCE)?,
            urgency: Urgency {
                stage: next()?,
                rank: next()?,
                turn: next()?,
            },
            target_left_ms: number(headers, TARGET_LEFT_MS)?,
            time_left_ms: number(headers, TIME_LEFT_MS)?,
            is_idempotent: number(headers, IDEMPOTENT)? == 1,
        })
    }
}

/// Why a request was not run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum NotRunReason {
    /// Others come first.
    Busy,
    /// The backend server takes no work, or is another one.
    Closed,
    /// The time left was not enough.
    Expired,
    /// The backend server could not be reached.
    ServerDown,
    /// The backend server received the request and said that it did not run it.
    ServerRefused,
}

impl NotRunReason {
    /// Name on the wire and in logs.
    pub fn name(self) -> &'static str {
        match self {
            NotRunReason::Busy => "busy",
            NotRunReason::Closed => "closed",
            NotRunReason::Expired => "expired",
            NotRunReason::ServerDown => "server-down",
            NotRunReason::ServerRefused => "server-refused",
        }
    }

    fn decode(name: &[u8]) -> Option<Self> {
        let all = [
            NotRunReason::Busy,
            NotRunReason::Closed,
            NotRunReason::Expired,
            NotRunReason::ServerDown,
            NotRunReason::ServerRefused,
        ];
        all.into_iter()
            .find(|reason| reason.name().as_bytes() == name)
    }
}

/// What became of a request at the owner.
#[derive(Debug)]
pub enum OwnerOutcome {
    /// The backend server answered.
    Answered {
        /// Its answer, with its own headers only.
        response: Response<AnswerBody>,
        /// Time until its answer began, in milliseconds.
        service_ms: u64,
    },
    /// It did not run and never will.
    NotRun {
        /// Why.
        reason: NotRunReason,
        /// When there may be room, in milliseconds.
        retry_after_ms: u64,
    },
    /// It may have run.
    Lost,
}

/// An outcome with the load of the owner's gate.
#[derive(Debug)]
pub struct OwnerReply {
    /// What became of the request.
    pub outcome: OwnerOutcome,
    /// The gate's load.
    pub load: GateLoad,
}

impl OwnerReply {
    /// Makes the answer to the daemon that forwarded the request.
    pub fn encode(self) -> Response<AnswerBody> {
        let mut response = match self.outcome {
            OwnerOutcome::Answered {
                mut response,
                service_ms,
            } => {
                let headers = response.headers_mut();
                headers.insert(OUTCOME, ANSWERED);
                headers.insert(SERVICE_MS, HeaderValue::from(service_ms));
                response
            }
            OwnerOutcome::NotRun {
                reason,
                retry_after_ms,
            } => {
                let mut response = empty(StatusCode::SERVICE_UNAVAILABLE);
                let headers = response.headers_mut();
                headers.insert(OUTCOME, HeaderValue::from_static(reason.name()));
                headers.insert(RETRY_AFTER_MS, HeaderValue::from(retry_after_ms));
                response
            }
            OwnerOutcome::Lost => {
                let mut response = empty(StatusCode::BAD_GATEWAY);
                response.headers_mut().insert(OUTCOME, LOST);
                response
            }
        };
        let GateLoad {
            running,
            waiting,
            slots,
        } = self.load;
        put_text(
            response.headers_mut(),
            LOAD,
            &format!("{running} {waiting} {slots}"),
        );
        response
    }

    /// Reads the answer of an owner; `None` if it is not one.
    pub fn decode(mut response: Response<AnswerBody>) -> Option<Self> {
        let load = decode_load(response.headers())?;
        let outcome = response.headers().get(OUTCOME)?.clone();
        let outcome = if outcome == ANSWERED {
            let service_ms = number(response.headers(), SERVICE_MS)?;
            strip_own(response.headers_mut());
            OwnerOutcome::Answered {
                response,
                service_ms,
            }
        } else if outcome == LOST {
            OwnerOutcome::Lost
        } else {
            OwnerOutcome::NotRun {
                reason: NotRunReason::decode(outcome.as_bytes())?,
                retry_after_ms: number(response.headers(), RETRY_AFTER_MS)?,
            }
        };
        Some(Self { outcome, load })
    }
}

fn decode_load(headers: &HeaderMap) -> Option<GateLoad> {
    let mut parts = headers.get(LOAD)?.to_str().ok()?.split(' ');
    let mut next = || parts.next()?.parse().ok();
    Some(GateLoad {
        running: next()?,
        waiting: next()?,
        slots: next()?,
    })
}

/// Removes the headers that concern one connection only, with those that `Connection` names.
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
pub fn strip_own(headers: &mut HeaderMap) {
    let own: Vec<HeaderName> = headers
        .keys()
        .filter(|name| name.as_str().starts_with(OWN_PREFIX))
        .cloned()
        .collect();
    for name in own {
        headers.remove(name);
    }
}

/// An answer without a body.
pub fn empty(status: StatusCode) -> Response<AnswerBody> {
    let mut response = Response::new(AnswerBody::whole(Bytes::new()));
    *response.status_mut() = status;
    response
}

/// Sets a header; text that cannot stand in a header is left out.
pub fn put_text(headers: &mut HeaderMap, name: HeaderName, text: &str) {
    match HeaderValue::from_str(text) {
        Ok(value) => {
            headers.insert(name, value);
        }
        Err(error) => log::warn!("header {name} is left out: {error}"),
    }
}

/// A header's value as a number.
pub fn number(headers: &HeaderMap, name: HeaderName) -> Option<u64> {
    headers.get(name)?.to_str().ok()?.trim().parse().ok()
}
