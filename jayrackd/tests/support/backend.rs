//! A backend server that counts the executions of each request.
use std::{
    collections::BTreeMap,
    convert::Infallible,
    net::SocketAddr,
    pin::Pin,
    sync::{Arc, Mutex},
    task::{Context, Poll},
    time::Duration,
};

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::{
    Request, Response,
    body::{Body, Frame, Incoming, SizeHint},
    server::conn::http1,
    service::service_fn,
};
use hyper_util::rt::TokioIo;
use tokio::{net::TcpListener, sync::watch};

/// Header with the label under which a request is counted.
pub const MARK_HEADER: &str = "x-mark";
/// Header: time that the server waits before it answers, in milliseconds.
pub const SLEEP_HEADER: &str = "x-sleep-ms";
/// Header: status of the response.
pub const STATUS_HEADER: &str = "x-status";
/// Header: size of the response body in bytes; without it the request's body is echoed.
pub const ANSWER_HEADER: &str = "x-answer-bytes";
/// Header: the server runs the request, then closes the connection without a response.
pub const CUT_HEADER: &str = "x-cut";
/// Header: the server runs the request, then waits for [`Backend::release`].
pub const HOLD_HEADER: &str = "x-hold";

/// What the server counted of the requests with one label.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Seen {
    pub started: usize,
    pub completed: usize,
    /// Requests that were cancelled while they ran.
    pub dropped: usize,
    /// Bytes of response bodies that the HTTP library took to send.
    pub sent_bytes: usize,
    pub deadline_ms: Option<u64>,
    pub headers: Vec<String>,
}

#[derive(Debug, Default)]
struct Log {
    seen: Mutex<BTreeMap<String, Seen>>,
}

/// A running backend server.
#[derive(Debug, Clone)]
pub struct Backend {
    pub address: SocketAddr,
    log: Arc<Log>,
    release: watch::Sender<bool>,
}

impl Backend {
    pub async fn start() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let backend = Self {
            address: listener.local_addr().unwrap(),
            log: Arc::default(),
            release: watch::Sender::new(false),
        };
        tokio::spawn(accept(listener, backend.clone()));
        backend
    }

    /// Returns the counts of the requests labelled `mark`.
    pub fn seen(&self, mark: &str) -> Seen {
        let seen = self.log.seen.lock().unwrap();
        seen.get(mark).cloned().unwrap_or_default()
    }

    /// Bytes of response bodies to `mark` that the HTTP library took to send.
    pub fn sent_bytes(&self, mark: &str) -> usize {
        self.seen(mark).sent_bytes
    }

    /// Returns the number of executions of all requests.
    pub fn started(&self) -> usize {
        let seen = self.log.seen.lock().unwrap();
        seen.values().map(|seen| seen.started).sum()
    }

    /// Lets the requests with [`HOLD_HEADER`] continue.
    pub fn release(&self) {
        self.release.send_replace(true);
    }
}

async fn accept(listener: TcpListener, backend: Backend) {
    loop {
        let (stream, _) = listener.accept().await.unwrap();
        stream.set_nodelay(true).unwrap();
        let backend = backend.clone();
        let service = service_fn(move |request| run(backend.clone(), request));
        let connection = http1::Builder::new().serve_connection(TokioIo::new(stream), service);
        tokio::spawn(connection);
    }
}

/// Error that closes the connection without a response.
#[derive(Debug)]
struct ConnectionCut;

impl std::fmt::Display for ConnectionCut {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "cut")
    }
}

impl std::error::Error for ConnectionCut {}

impl From<Infallible> for ConnectionCut {
    fn from(never: Infallible) -> Self {
        match never {}
    }
}

/// Counts a request as dropped unless it completes.
struct DropCount {
    backend: Backend,
    mark: String,
    is_completed: bool,
}

impl Drop for DropCount {
    fn drop(&mut self) {
        if !self.is_completed {
            record(&self.backend, &self.mark, |seen| seen.dropped += 1);
        }
    }
}

/// A response body that counts the bytes taken from it.
struct CountedBody {
    backend: Backend,
    mark: String,
    left: Bytes,
}

impl Body for CountedBody {
    type Data = Bytes;
    type Error = Infallible;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        _cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Infallible>>> {
        if self.left.is_empty() {
            return Poll::Ready(None);
        }
        let taken = self.left.len().min(16 * 1024);
        let chunk = self.left.split_to(taken);
        record(&self.backend, &self.mark, |seen| seen.sent_bytes += taken);
        Poll::Ready(Some(Ok(Frame::data(chunk))))
    }

    fn size_hint(&self) -> SizeHint {
        SizeHint::with_exact(self.left.len() as u64)
    }
}

async fn run(
    backend: Backend,
    request: Request<Incoming>,
) -> Result<Response<CountedBody>, ConnectionCut> {
    let mark = text(&request, MARK_HEADER).unwrap_or_default();
    let answer_bytes = number(&request, ANSWER_HEADER);
    let sleep_ms = number(&request, SLEEP_HEADER).unwrap_or(0);
    let status = number(&request, STATUS_HEADER).unwrap_or(200) as u16;
    let is_cut = request.headers().contains_key(CUT_HEADER);
    let is_held = request.headers().contains_key(HOLD_HEADER);
    record(&backend, &mark, |seen| {
        seen.started += 1;
        seen.deadline_ms = number(&request, "x-jayrack-deadline-ms");
        seen.headers = request.headers().keys().map(ToString::to_string).collect();
    });
    let mut count = DropCount {
        backend: backend.clone(),
        mark: mark.clone(),
        is_completed: false,
    };
    let body = request.into_body().collect().await;
    let Ok(body) = body else {
        return Err(ConnectionCut);
    };
    if is_held {
        let mut released = backend.release.subscribe();
        released.wait_for(|released| *released).await.unwrap();
    }
    if sleep_ms > 0 {
        tokio::time::sleep(Duration::from_millis(sleep_ms)).await;
    }
    count.is_completed = true;
    record(&backend, &mark, |seen| seen.completed += 1);
    if is_cut {
        return Err(ConnectionCut);
    }
    let answer = match answer_bytes {
        Some(bytes) => pattern(&mark, bytes as usize),
        None => body.to_bytes(),
    };
    let mut response = Response::new(CountedBody {
        backend,
        mark: mark.clone(),
        left: answer,
    });
    *response.status_mut() = hyper::StatusCode::from_u16(status).unwrap();
    let mark = hyper::header::HeaderValue::from_str(&mark).unwrap();
    response.headers_mut().insert(MARK_HEADER, mark);
    Ok(response)
}

/// Returns the response body for `mark`, of `bytes` bytes.
///
/// It is copied in blocks: made byte by byte, a body of 20 MB kept one of the runtime's threads for longer than the
/// daemons on it may be silent.
pub fn pattern(mark: &str, bytes: usize) -> Bytes {
    let text = format!("{mark};");
    let mut pattern = text.repeat(bytes.div_ceil(text.len())).into_bytes();
    pattern.truncate(bytes);
    pattern.into()
}

fn record(backend: &Backend, mark: &str, change: impl FnOnce(&mut Seen)) {
    let mut seen = backend.log.seen.lock().unwrap();
    change(seen.entry(mark.to_string()).or_default());
}

fn text(request: &Request<Incoming>, name: &str) -> Option<String> {
    let value = request.headers().get(name)?;
    Some(value.to_str().unwrap().to_string())
}

fn number(request: &Request<Incoming>, name: &str) -> Option<u64> {
    text(request, name).map(|text| text.parse().unwrap())
}
