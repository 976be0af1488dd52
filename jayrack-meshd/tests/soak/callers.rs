//! Callers that reuse their connections for as long as these stay open.
use std::{
    collections::BTreeMap,
    net::SocketAddr,
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, Ordering},
    },
    time::Duration,
};

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::{Method, Request, StatusCode, client::conn::http1::SendRequest};
use hyper_util::rt::TokioIo;
use jayrack_platform::headers;
use tokio::{
    net::TcpStream,
    task::JoinSet,
    time::{sleep, timeout},
};

use crate::{
    fleet::{SoakFleet, SoakHost, look_path},
    support::signature_of,
};

const CALLERS_PER_HOST: usize = 3;
/// Time that a caller waits for an answer.
const DEADLINE: Duration = Duration::from_millis(2_000);
/// Time between two requests of a caller.
const REQUEST_INTERVAL: Duration = Duration::from_millis(25);

/// Kind of a caller's request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RequestKind {
    /// Not idempotent: must not run twice.
    Book,
    Browse,
    /// Uses the route that only the newest configuration has.
    Look,
}

/// Result of a request as its caller saw it.
#[derive(Debug, Clone)]
pub struct ReportedAnswer {
    pub kind: RequestKind,
    /// `None` if the connection ended without a complete answer, or none arrived in time.
    pub status: Option<StatusCode>,
    /// What is wrong with the answer itself.
    pub fault: Option<String>,
}

pub type ReportedAnswers = BTreeMap<String, ReportedAnswer>;

/// Running callers.
pub struct SoakCallers {
    reported: Arc<Mutex<ReportedAnswers>>,
    is_closing: Arc<AtomicBool>,
    tasks: JoinSet<()>,
}

struct SoakCaller {
    fleet: Arc<SoakFleet>,
    host: Arc<SoakHost>,
    address: SocketAddr,
    name: String,
    /// Newest version that the daemon served, and the incarnation in which it did.
    served: (u64, u64),
}

/// Starts the callers of each host.
pub fn start(fleet: &Arc<SoakFleet>) -> SoakCallers {
    let reported: Arc<Mutex<ReportedAnswers>> = Arc::default();
    let is_closing: Arc<AtomicBool> = Arc::default();
    let mut tasks = JoinSet::new();
    for (index, host) in fleet.hosts.iter().enumerate() {
        for number in 0..CALLERS_PER_HOST {
            let (fleet, host) = (fleet.clone(), host.clone());
            let (reported, is_closing) = (reported.clone(), is_closing.clone());
            tasks.spawn(async move {
                let address = host.process.lock().await.callers();
                let caller = SoakCaller {
                    fleet,
                    host,
                    address,
                    name: format!("{index}x{number}"),
                    served: (0, 0),
                };
                caller.run(&reported, &is_closing).await;
            });
        }
    }
    SoakCallers {
        reported,
        is_closing,
        tasks,
    }
}

impl SoakCallers {
    /// Lets the callers finish their requests; returns the answers that they report.
    pub async fn close(mut self) -> ReportedAnswers {
        self.is_closing.store(true, Ordering::SeqCst);
        while self.tasks.join_next().await.is_some() {}
        std::mem::take(&mut self.reported.lock().unwrap())
    }
}

impl SoakCaller {
    async fn run(mut self, reported: &Mutex<ReportedAnswers>, is_closing: &AtomicBool) {
        let mut connection = None;
        let mut number = 0;
        while !is_closing.load(Ordering::SeqCst) {
            sleep(REQUEST_INTERVAL).await;
            let Some(mut sender) = (match connection.take() {
                Some(sender) => Some(sender),
                None => connect(self.address).await,
            }) else {
                continue;
            };
            number += 1;
            let id = format!("{}x{number}", self.name);
            let kind = match number % 4 {
                0 => RequestKind::Look,
                1 => RequestKind::Browse,
                _ => RequestKind::Book,
            };
            let answer = self.ask(&mut sender, &id, kind).await;
            if answer.status.is_some() && sender.ready().await.is_ok() {
                connection = Some(sender);
            }
            reported.lock().unwrap().insert(id, answer);
        }
    }

    async fn ask(
        &mut self,
        sender: &mut SendRequest<Full<Bytes>>,
        id: &str,
        kind: RequestKind,
    ) -> ReportedAnswer {
        let before = self.version_and_incarnation();
        let (method, path) = match kind {
            RequestKind::Book => (Method::POST, "/book/1".to_string()),
            RequestKind::Browse => (Method::GET, "/browse/1".to_string()),
            RequestKind::Look => (Method::GET, look_path(before.0)),
        };
        let mut reported = ReportedAnswer {
            kind,
            status: None,
            fault: None,
        };
        let request = request(method, &path, id);
        if let Ok(Some((status, is_own))) = timeout(DEADLINE, exchange(sender, request, id)).await {
            reported.status = Some(status);
            if status == StatusCode::OK && !is_own {
                reported.fault = Some("a success that is not its own".to_string());
            }
            if status == StatusCode::NOT_FOUND && kind != RequestKind::Look {
                reported.fault = Some("denied though every configuration allows it".to_string());
            }
            if kind == RequestKind::Look {
                reported.fault = reported.fault.or(self.check_version(before, status));
            }
        }
        reported
    }

    /// The newest acknowledged version and the daemon's incarnation.
    fn version_and_incarnation(&self) -> (u64, u64) {
        (
            self.fleet.version(),
            self.host.incarnation.load(Ordering::SeqCst),
        )
    }

    /// A daemon that served the route of a version does not deny it later in the same incarnation.
    fn check_version(&mut self, before: (u64, u64), status: StatusCode) -> Option<String> {
        if self.version_and_incarnation() != before || !self.fleet.is_settled() {
            return None;
        }
        if status == StatusCode::OK {
            self.served = before;
        }
        let is_back = status == StatusCode::NOT_FOUND && self.served == before;
        is_back.then(|| format!("version {} was in force before", before.0))
    }
}

async fn connect(address: SocketAddr) -> Option<SendRequest<Full<Bytes>>> {
    let stream = timeout(DEADLINE, TcpStream::connect(address))
        .await
        .ok()?
        .ok()?;
    let handshake = hyper::client::conn::http1::handshake(TokioIo::new(stream));
    let (sender, connection) = handshake.await.ok()?;
    tokio::spawn(connection);
    Some(sender)
}

fn request(method: Method, path: &str, id: &str) -> Request<Full<Bytes>> {
    Request::builder()
        .method(method)
        .uri(path)
        .header("host", "a.example")
        .header(headers::REQUEST_ID, id)
        .header(headers::TIME_LEFT_MS, DEADLINE.as_millis() as u64)
        .body(Full::default())
        .unwrap()
}

/// Status of the complete answer, and whether it belongs to request `id`.
async fn exchange(
    sender: &mut SendRequest<Full<Bytes>>,
    request: Request<Full<Bytes>>,
    id: &str,
) -> Option<(StatusCode, bool)> {
    let response = sender.send_request(request).await.ok()?;
    let (parts, body) = response.into_parts();
    let body = body.collect().await.ok()?.to_bytes();
    let signature = parts.headers.get(headers::ANSWER_SIGNATURE);
    let is_signed = signature.is_some_and(|signature| signature == &signature_of(id));
    Some((parts.status, is_signed && body == "whole"))
}
