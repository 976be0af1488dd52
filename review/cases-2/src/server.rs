//! A backend server as the pages describe it: slots, incarnations, status reports.
use std::{
    convert::Infallible,
    net::SocketAddr,
    pin::Pin,
    sync::{
        Arc, Mutex, MutexGuard, PoisonError,
        atomic::{AtomicBool, AtomicU32, AtomicU64, Ordering},
    },
    task::{Context, Poll},
    time::{Duration, SystemTime, UNIX_EPOCH},
};

use bytes::Bytes;
use http_body_util::{BodyExt, Either, Full};
use hyper::{
    Method, Request, Response, StatusCode,
    body::{Body, Frame, Incoming},
    client,
    header::HeaderValue,
    server::conn::http1,
    service::service_fn,
};
use hyper_util::rt::TokioIo;
use jayrack_platform::headers;
use serde_json::{Value, json};
use tokio::{
    net::{TcpListener, TcpStream},
    sync::Notify,
    time::{Instant, sleep, timeout},
};

use crate::record::CaseRecord;

/// Requests that a server runs at once.
const SLOTS: u32 = 12;
/// Requests that it queues beyond them.
const QUEUE: u32 = 48;
/// Interval of the status reports.
const REPORT_INTERVAL: Duration = Duration::from_millis(1_500);
/// Time within which a report must be acknowledged.
const ACK_TIMEOUT: Duration = Duration::from_secs(1);

/// A request that a server ran.
#[derive(Clone)]
pub struct ServerRun {
    pub id: String,
    pub at: Instant,
    pub tenant: Option<String>,
}

/// State reported by a server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ServerState {
    Ready,
    Draining,
}

impl ServerState {
    fn name(self) -> &'static str {
        match self {
            ServerState::Ready => "ready",
            ServerState::Draining => "draining",
        }
    }
}

/// What a server is started with.
#[derive(Clone)]
pub struct ServerOptions {
    /// Name in the record.
    pub name: String,
    /// Instance identifier.
    pub instance: String,
    /// Service that it belongs to.
    pub service: String,
    /// Address that it listens on.
    pub address: SocketAddr,
    /// Control address of its machine's daemon.
    pub reports: SocketAddr,
    /// Time that each request takes.
    pub work: Duration,
    /// Difference of its machine's time of day to the true one, in milliseconds.
    pub clock_error_ms: i64,
    /// Size of its answers, in bytes.
    pub answer_bytes: usize,
}

struct ServerCore {
    options: ServerOptions,
    born_ms: u64,
    sequence: AtomicU64,
    state: Mutex<ServerState>,
    runs: Arc<Mutex<Vec<ServerRun>>>,
    busy: AtomicU32,
    slots: tokio::sync::Semaphore,
    is_down: AtomicBool,
    down: Notify,
    /// One of so many answers has no end; 0 for none.
    endless_divisor: AtomicU64,
    /// Answers since that was set.
    answers: AtomicU64,
    record: CaseRecord,
}

/// Body that goes on until the connection is closed, one byte in each chunk.
struct EndlessBody;

impl Body for EndlessBody {
    type Data = Bytes;
    type Error = Infallible;

    fn poll_frame(
        self: Pin<&mut Self>,
        _context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Infallible>>> {
        Poll::Ready(Some(Ok(Frame::data(Bytes::from_static(b"z")))))
    }
}

type ServerBody = Either<Full<Bytes>, EndlessBody>;

/// One incarnation of a backend server; clones share it.
#[derive(Clone)]
pub struct BackendServer {
    core: Arc<ServerCore>,
}

/// Milliseconds since the Unix epoch.
fn unix_ms() -> i64 {
    let elapsed = SystemTime::now().duration_since(UNIX_EPOCH);
    elapsed.map_or(0, |elapsed| elapsed.as_millis() as i64)
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

impl BackendServer {
    /// Starts an incarnation that serves and reports every 1.5 s; `runs` collects what it runs.
    pub async fn start(
        options: ServerOptions,
        runs: Arc<Mutex<Vec<ServerRun>>>,
        record: &CaseRecord,
    ) -> std::io::Result<Self> {
        let socket = tokio::net::TcpSocket::new_v4()?;
        socket.set_reuseaddr(true)?;
        socket.bind(options.address)?;
        let listener = socket.listen(1_024)?;
        let born_ms = (unix_ms() + options.clock_error_ms) as u64;
        record.note(&format!(
            "server {} starts as {} born {born_ms} (clock {:+} ms)",
            options.name, options.instance, options.clock_error_ms
        ));
        let server = Self {
            core: Arc::new(ServerCore {
                options,
                born_ms,
                sequence: AtomicU64::new(0),
                state: Mutex::new(ServerState::Ready),
                runs,
                busy: AtomicU32::new(0),
                slots: tokio::sync::Semaphore::new(SLOTS as usize),
                is_down: AtomicBool::new(false),
                endless_divisor: AtomicU64::new(0),
                answers: AtomicU64::new(0),
                down: Notify::new(),
                record: record.clone(),
            }),
        };
        tokio::spawn(server.clone().serve(listener));
        tokio::spawn(server.clone().keep_reporting());
        Ok(server)
    }

    /// Ends the incarnation without a word: its connections are closed and it reports no more.
    pub fn crash(&self) {
        self.core
            .record
            .note(&format!("server {} crashes", self.core.options.name));
        self.core.is_down.store(true, Ordering::Relaxed);
        self.core.down.notify_waiters();
    }

    /// Deregisters and ends the incarnation.
    pub async fn leave(&self) {
        let core = &self.core;
        let call = format!(
            "/jayrack/rpc?call=instances.deregister&of={}",
            core.options.instance
        );
        let body = json!({"born": core.born_ms});
        let sending = post(core.options.reports, &call, &body);
        let status = timeout(ACK_TIMEOUT, sending).await.ok().flatten();
        core.record.say(&format!(
            "server {} deregisters -> {}, and ends",
            core.options.name,
            status.map_or("no answer".to_string(), |status| status.to_string()),
        ));
        core.is_down.store(true, Ordering::Relaxed);
        core.down.notify_waiters();
    }

    /// Makes one of `divisor` later answers have no end; 0 for none.
    pub fn set_endless(&self, divisor: u64) {
        self.core.answers.store(0, Ordering::Relaxed);
        self.core.endless_divisor.store(divisor, Ordering::Relaxed);
    }

    /// Reports `draining` until that is acknowledged, for 5 s at most; returns when it was.
    pub async fn drain(&self) -> Option<Instant> {
        *lock(&self.core.state) = ServerState::Draining;
        let started = Instant::now();
        while started.elapsed() < Duration::from_secs(5) {
            if self.report().await {
                let at = Instant::now();
                self.core.record.say(&format!(
                    "server {}: `draining` was acknowledged",
                    self.core.options.name
                ));
                return Some(at);
            }
            sleep(Duration::from_millis(300)).await;
        }
        None
    }

    async fn keep_reporting(self) {
        while !self.core.is_down.load(Ordering::Relaxed) {
            let is_acknowledged = self.report().await;
            let pause = match is_acknowledged {
                true => REPORT_INTERVAL,
                false => Duration::from_millis(300),
            };
            sleep(pause).await;
        }
    }

    /// Sends a status report; returns whether it was acknowledged.
    async fn report(&self) -> bool {
        let options = &self.core.options;
        let state = *lock(&self.core.state);
        let sequence = self.core.sequence.fetch_add(1, Ordering::Relaxed) + 1;
        let body = json!({
            "service": options.service, "address": options.address.to_string(), "zone": "wrecsam",
            "version": "v1", "slots": SLOTS, "state": state.name(), "warmup_left_s": 0,
            "sequence": sequence, "born": self.core.born_ms,
        });
        let call = format!(
            "/jayrack/rpc?call=instances.heartbeat&of={}",
            options.instance
        );
        let sending = post(options.reports, &call, &body);
        let status = timeout(ACK_TIMEOUT, sending).await.ok().flatten();
        let is_acknowledged = status.is_some_and(|status| status.is_success());
        self.core.record.note(&format!(
            "report of {}: {} sequence {sequence} born {} -> {}",
            options.name,
            state.name(),
            self.core.born_ms,
            status.map_or("no answer".to_string(), |status| status.to_string()),
        ));
        is_acknowledged
    }

    async fn serve(self, listener: TcpListener) {
        loop {
            let stream = tokio::select! {
                accepted = listener.accept() => match accepted {
                    Ok((stream, _)) => stream,
                    Err(_) => continue,
                },
                () = self.core.down.notified() => return,
            };
            let _ = stream.set_nodelay(true);
            let server = self.clone();
            tokio::spawn(async move {
                let handler = server.clone();
                let service = service_fn(move |request| handler.clone().answer(request));
                let connection =
                    http1::Builder::new().serve_connection(TokioIo::new(stream), service);
                tokio::select! {
                    _ = connection => {}
                    () = server.core.down.notified() => {}
                }
            });
        }
    }

    async fn answer(self, request: Request<Incoming>) -> Result<Response<ServerBody>, Infallible> {
        let core = &self.core;
        let text = |name| {
            let value: Option<&HeaderValue> = request.headers().get(name);
            value
                .and_then(|value| value.to_str().ok())
                .map(str::to_string)
        };
        let whole = Bytes::from(vec![b's'; core.options.answer_bytes]);
        let mut response = Response::new(Either::Left(Full::from(whole)));
        if text(headers::EXPECTED_INSTANCE)
            .is_some_and(|expected| expected != core.options.instance)
        {
            *response.status_mut() = StatusCode::MISDIRECTED_REQUEST;
            return Ok(response);
        }
        if core.busy.load(Ordering::Relaxed) >= SLOTS + QUEUE {
            *response.status_mut() = StatusCode::SERVICE_UNAVAILABLE;
            response
                .headers_mut()
                .insert(headers::NOT_RUN, HeaderValue::from_static("1"));
            return Ok(response);
        }
        let _busy = Busy::new(core);
        let _slot = core.slots.acquire().await;
        let id = text(headers::REQUEST_ID).unwrap_or_default();
        let run = ServerRun {
            id: id.clone(),
            at: Instant::now(),
            tenant: text(headers::TENANT),
        };
        core.record
            .note(&format!("run {id} at {}", core.options.name));
        lock(&core.runs).push(run);
        sleep(core.options.work).await;
        let divisor = core.endless_divisor.load(Ordering::Relaxed);
        let number = core.answers.fetch_add(1, Ordering::Relaxed) + 1;
        if divisor > 0 && number.is_multiple_of(divisor) {
            core.record
                .note(&format!("answer without an end at {}", core.options.name));
            *response.body_mut() = Either::Right(EndlessBody);
        }
        let fields = response.headers_mut();
        if let Ok(id) = HeaderValue::from_str(&id) {
            fields.insert(headers::REQUEST_ID, id);
        }
        fields.insert(
            headers::ANSWER_SIGNATURE,
            HeaderValue::from_static("3e1b.07"),
        );
        Ok(response)
    }
}

/// Counts a request as running or queued.
struct Busy<'a>(&'a ServerCore);

impl<'a> Busy<'a> {
    fn new(core: &'a ServerCore) -> Self {
        core.busy.fetch_add(1, Ordering::Relaxed);
        Self(core)
    }
}

impl Drop for Busy<'_> {
    fn drop(&mut self) {
        self.0.busy.fetch_sub(1, Ordering::Relaxed);
    }
}

async fn post(address: SocketAddr, path: &str, body: &Value) -> Option<StatusCode> {
    let stream = TcpStream::connect(address).await.ok()?;
    let (mut sender, connection) = client::conn::http1::handshake(TokioIo::new(stream))
        .await
        .ok()?;
    tokio::spawn(connection);
    let message = Request::builder()
        .method(Method::POST)
        .uri(path)
        .header("host", address.to_string())
        .header("content-type", "application/json")
        .body(Full::<Bytes>::from(body.to_string()))
        .ok()?;
    let response = sender.send_request(message).await.ok()?;
    let status = response.status();
    response.into_body().collect().await.ok()?;
    Some(status)
}
