//! Callers on the hosts, and the platform's readiness checks that send them elsewhere.
use std::{
    hash::{BuildHasher, Hasher, RandomState},
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    time::Duration,
};

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::Request;
use hyper_util::rt::TokioIo;
use tokio::{net::TcpStream, task::JoinHandle, time::sleep};

use crate::{
    fleet::Host,
    record::{CaseRecord, SentRequest},
};

/// Interval of the platform's readiness checks.
const READINESS_INTERVAL: Duration = Duration::from_secs(1);
/// Misses in a row after which the callers of a host receive no more work.
const MAX_MISSES: u32 = 2;

/// A kind of request.
#[derive(Debug, Clone, Copy)]
pub struct RequestPlan {
    pub method: &'static str,
    pub host: &'static str,
    pub prefix: &'static str,
    /// Key of the caller's tenant.
    pub key: Option<&'static str>,
    /// Time for which a caller waits.
    pub deadline: Duration,
    /// Time between two requests on one host.
    pub interval: Duration,
}

/// Sends requests of `plan` on `host`, while the platform finds the host's daemon ready, until the task is aborted.
pub fn start(host: &Host, plan: RequestPlan, record: &CaseRecord) -> JoinHandle<()> {
    let is_in = Arc::new(AtomicBool::new(true));
    tokio::spawn(check_readiness(host.clone(), is_in.clone()));
    let (host, record) = (host.clone(), record.clone());
    tokio::spawn(async move {
        sleep(plan.interval * (host.number as u32) / 11).await;
        loop {
            if is_in.load(Ordering::Relaxed) {
                tokio::spawn(send(host.clone(), plan, record.clone()));
            }
            sleep(spread(plan.interval)).await;
        }
    })
}

/// A time between half of `interval` and one and a half of it, so that the callers do not keep step.
fn spread(interval: Duration) -> Duration {
    let random = RandomState::new().build_hasher().finish();
    interval.mul_f64(0.5 + random as f64 / u64::MAX as f64)
}

/// Sends one request of `plan` on `host`.
async fn send(host: Host, plan: RequestPlan, record: CaseRecord) {
    static NEXT_ID: AtomicU64 = AtomicU64::new(1);
    let id = format!("{:016x}", NEXT_ID.fetch_add(1, Ordering::Relaxed));
    let path = format!("{}{id}", plan.prefix);
    let mut request = Request::builder()
        .method(plan.method)
        .uri(&path)
        .header("host", plan.host)
        .header("x-attempt-id", &id)
        .header("x-deadline-ms", plan.deadline.as_millis().to_string());
    if let Some(key) = plan.key {
        request = request.header("authorization", format!("Bearer {key}"));
    }
    let Ok(request) = request.body(Full::<Bytes>::default()) else {
        return;
    };
    let at = record.now();
    let exchange = exchange(host.callers(), request);
    let answer = tokio::time::timeout(plan.deadline, exchange).await;
    let answer = answer.ok().flatten();
    let body_bytes = answer.map_or(0, |answer| answer.body_bytes);
    let answer = answer.map(|answer| (answer.status, record.now()));
    record.add_request(SentRequest {
        at,
        id,
        path,
        host: host.number,
        answer,
        body_bytes,
    });
}

async fn check_readiness(host: Host, is_in: Arc<AtomicBool>) {
    let mut misses = 0;
    loop {
        misses = match is_ready(&host).await {
            true => 0,
            false => misses + 1,
        };
        is_in.store(misses < MAX_MISSES, Ordering::Relaxed);
        sleep(READINESS_INTERVAL).await;
    }
}

/// Whether the daemon of `host` answers a readiness check with 200.
pub async fn is_ready(host: &Host) -> bool {
    let request = Request::get("/jayrack/ready")
        .header("host", "ready")
        .body(Full::default());
    let Ok(request) = request else { return false };
    let exchange = exchange(host.ready(), request);
    let answer = tokio::time::timeout(READINESS_INTERVAL, exchange).await;
    answer
        .ok()
        .flatten()
        .is_some_and(|answer| answer.status == 200)
}

/// An answer that arrived to its end, by its framing.
#[derive(Debug, Clone, Copy)]
pub struct CompleteAnswer {
    pub status: u16,
    pub body_bytes: usize,
}

/// Sends a request on a new connection; `None` if the answer did not arrive to its end.
pub async fn exchange(
    address: SocketAddr,
    request: Request<Full<Bytes>>,
) -> Option<CompleteAnswer> {
    let stream = TcpStream::connect(address).await.ok()?;
    let _ = stream.set_nodelay(true);
    let (mut sender, connection) = hyper::client::conn::http1::handshake(TokioIo::new(stream))
        .await
        .ok()?;
    let connection = tokio::spawn(connection);
    let answer = match sender.send_request(request).await {
        Ok(response) => {
            let status = response.status().as_u16();
            let body = response.into_body().collect().await.ok();
            body.map(|body| CompleteAnswer {
                status,
                body_bytes: body.to_bytes().len(),
            })
        }
        Err(_) => None,
    };
    connection.abort();
    answer
}
