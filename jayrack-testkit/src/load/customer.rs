//! One customer request and its outcome.
use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use eyre::Result;
use http_body_util::Full;
use hyper::{Method, Request, StatusCode, header};
use tokio::time::timeout;

use super::arrivals::CustomerArrival;
use crate::{
    backend_standin::{body, call_tree::DEADLINE_HEADER, headers},
    deployment::WorkKind,
    http_client::{ClientPool, HttpAnswer, HttpRequest},
};

/// Outcome of a customer request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum CustomerOutcome {
    /// Answered completely in time.
    Completed,
    /// Refused without being run.
    NotRun,
    /// The answer says that it is not known whether it ran.
    Unknown,
    /// It ran or may have run, and failed.
    Failed,
    /// No answer by the deadline.
    Late,
    /// The answer belongs to another request or is not intact.
    Wrong,
}

/// How customers send.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Options {
    /// Name of the run; each identifier is a hash of it and the request's number.
    pub run: String,
    /// Deadline of each request, in milliseconds.
    pub deadline_ms: u64,
}

/// One request with its outcome.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CustomerResult {
    /// The request.
    pub arrival: CustomerArrival,
    /// Outcome of the request.
    pub outcome: CustomerOutcome,
    /// Time until then, in microseconds.
    pub elapsed_us: u64,
}

/// Identifier of the customer request, 16 hexadecimal digits.
pub fn customer_request(options: &Options, arrival: &CustomerArrival) -> String {
    let text = format!("{}/{}", options.run, arrival.number);
    format!("{:016x}", xxhash_rust::xxh3::xxh3_64(text.as_bytes()))
}

/// Sends one customer request and classifies the answer.
pub async fn send(
    pool: Arc<ClientPool>,
    kind: Arc<WorkKind>,
    arrival: CustomerArrival,
    options: Arc<Options>,
) -> CustomerResult {
    let started = Instant::now();
    let id = customer_request(&options, &arrival);
    let outcome = match build(&pool, &kind, &arrival, &options) {
        Ok(request) => {
            let limit = Duration::from_millis(options.deadline_ms);
            match timeout(limit, pool.send(request)).await {
                Ok(Ok(answer)) => classify_answer(&id, &answer),
                Ok(Err(_)) => CustomerOutcome::Failed,
                Err(_) => CustomerOutcome::Late,
            }
        }
        Err(_) => CustomerOutcome::Wrong,
    };
    CustomerResult {
        arrival,
        outcome,
        elapsed_us: started.elapsed().as_micros() as u64,
    }
}

fn build(
    pool: &ClientPool,
    kind: &WorkKind,
    arrival: &CustomerArrival,
    options: &Options,
) -> Result<HttpRequest> {
    let id = customer_request(options, arrival);
    let method = if kind.idempotent {
        Method::GET
    } else {
        Method::POST
    };
    let mut builder = Request::builder()
        .method(method)
        .uri(&kind.call.path)
        .header(header::HOST, pool.address().to_string())
        .header(headers::ID, &id)
        .header(headers::KIND, &kind.call.kind)
        .header(headers::SERVICE_US, kind.call.service_us)
        .header(headers::CALLS, serde_json::to_string(&kind.call.calls)?)
        .header("x-jayrack-customer-request", &id)
        .header("x-jayrack-customer", &arrival.customer)
        .header(DEADLINE_HEADER, options.deadline_ms);
    if !kind.idempotent {
        builder = builder.header("idempotency-key", &id);
    }
    Ok(builder.body(Full::default())?)
}

/// Classifies an answer by its status, headers and body.
pub fn classify_answer(id: &str, answer: &HttpAnswer) -> CustomerOutcome {
    if answer.status == StatusCode::OK {
        return match body::is_intact(id, &answer.body) {
            true => CustomerOutcome::Completed,
            false => CustomerOutcome::Wrong,
        };
    }
    match answer.header("x-jayrack-outcome") {
        "not-run" => CustomerOutcome::NotRun,
        "unknown" => CustomerOutcome::Unknown,
        _ => CustomerOutcome::Failed,
    }
}
