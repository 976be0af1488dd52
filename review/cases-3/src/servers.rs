//! Stand-ins for the backend servers: they run requests, and report to the daemon beside them.
use std::{
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    time::{Duration, SystemTime, UNIX_EPOCH},
};

use bytes::{Buf, BytesMut};
use http_body_util::Full;
use hyper::Request;
use serde_json::json;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
    time::sleep,
};

use crate::{
    callers,
    fleet::Host,
    record::{CaseRecord, ServerRun},
};

/// Interval of status reports, `heartbeat_s`.
const REPORT_INTERVAL: Duration = Duration::from_millis(1_500);
/// Time within which an acknowledgement counts.
const ACKNOWLEDGEMENT_TIMEOUT: Duration = Duration::from_secs(1);
/// Time that a request takes.
const WORK_TIME: Duration = Duration::from_millis(40);
const SLOTS: u32 = 12;
/// Length of the body of an answer without a stated length.
pub const UNFRAMED_BYTES: usize = 300_000;
/// One in this many answers of a faulty server is spoiled.
const FAULTY_INTERVAL: u64 = 20;
/// Time between the last bytes of an answer that is broken off and the reset.
const RESET_DELAY: Duration = Duration::from_millis(30);
/// Largest head of a request.
const MAX_HEAD_BYTES: usize = 24 << 10;

/// A backend server; clones share it.
#[derive(Debug, Clone)]
pub struct BackendServer {
    pub host: Host,
    pub instance: String,
    born_ms: u64,
    sequence: Arc<AtomicU64>,
    is_reporting: Arc<AtomicBool>,
    record: CaseRecord,
    is_unframed: Arc<AtomicBool>,
    /// Whether one in [`FAULTY_INTERVAL`] unframed answers is spoiled.
    is_faulty: Arc<AtomicBool>,
    unframed_answers: Arc<AtomicU64>,
}

impl BackendServer {
    /// Starts the server of `host` and its reports.
    pub async fn start(host: &Host, record: &CaseRecord) -> std::io::Result<Self> {
        let listener = TcpListener::bind(host.server()).await?;
        let born_ms = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default()
            .as_millis() as u64;
        let server = Self {
            host: host.clone(),
            instance: format!("i-{:04x}", 0x7f00 + host.number),
            born_ms,
            sequence: Arc::default(),
            is_reporting: Arc::new(AtomicBool::new(true)),
            record: record.clone(),
            is_unframed: Arc::default(),
            is_faulty: Arc::default(),
            unframed_answers: Arc::default(),
        };
        let served = server.clone();
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let _ = stream.set_nodelay(true);
                tokio::spawn(served.clone().serve(stream));
            }
        });
        let reporter = server.clone();
        tokio::spawn(async move {
            // The servers do not report at the same moment.
            sleep(REPORT_INTERVAL * (reporter.host.number as u32 % 8) / 8).await;
            while reporter.is_reporting.load(Ordering::Relaxed) {
                reporter.report(reporter.next_report()).await;
                sleep(REPORT_INTERVAL).await;
            }
        });
        Ok(server)
    }

    /// Serves the requests of one connection, one after the other.
    async fn serve(self, mut stream: TcpStream) {
        let mut received = BytesMut::new();
        while let Some(head) = read_head(&mut stream, &mut received).await {
            let request = ReceivedRequest::parse(&head);
            if self
                .answer(&mut stream, &mut received, &request)
                .await
                .is_none()
            {
                return;
            }
        }
    }

    /// Runs a request, unless it is for another instance.
    async fn answer(
        &self,
        stream: &mut TcpStream,
        received: &mut BytesMut,
        request: &ReceivedRequest,
    ) -> Option<()> {
        let at = self.record.now();
        discard(stream, received, request.body_bytes).await?;
        let expected = &request.expected_instance;
        if !expected.is_empty() && *expected != self.instance {
            let answer = format!(
                "HTTP/1.1 421 Misdirected Request\r\nX-Instance-Id: {}\r\nContent-Length: 0\r\n\r\n",
                self.instance
            );
            return stream.write_all(answer.as_bytes()).await.ok();
        }
        self.record.add_run(ServerRun {
            at,
            id: request.id.clone(),
            path: request.path.clone(),
            service: self.host.service.to_string(),
            instance: self.instance.clone(),
        });
        sleep(WORK_TIME).await;
        if self.is_unframed.load(Ordering::Relaxed) {
            return self.answer_unframed(stream, &request.id).await;
        }
        write_answer(stream, "200 OK", &request.id, "whole").await
    }

    /// Makes the server answer without a length: the answer ends with its connection.
    pub fn answer_without_length(&self) {
        self.is_unframed.store(true, Ordering::Relaxed);
    }

    /// Makes the server spoil some answers, or no more of them.
    pub fn set_faulty(&self, is_faulty: bool) {
        self.is_faulty.store(is_faulty, Ordering::Relaxed);
    }

    /// Writes a large answer without a length, which ends with its connection. A spoiled one has a head in another version of
    /// the protocol, and the connection is reset in the middle of its body.
    async fn answer_unframed(&self, stream: &mut TcpStream, id: &str) -> Option<()> {
        let number = self.unframed_answers.fetch_add(1, Ordering::Relaxed) + 1;
        let is_spoiled =
            self.is_faulty.load(Ordering::Relaxed) && number.is_multiple_of(FAULTY_INTERVAL);
        let (version, body_bytes) = match is_spoiled {
            true => ("HTTP/1.0", UNFRAMED_BYTES / 2),
            false => ("HTTP/1.1", UNFRAMED_BYTES),
        };
        let head = format!(
            "{version} 200 OK\r\nX-Attempt-Id: {id}\r\nX-Response-Signature: signed.{id}\r\n\
             Connection: close\r\n\r\n"
        );
        stream.write_all(head.as_bytes()).await.ok()?;
        stream.write_all(&vec![b'z'; body_bytes]).await.ok()?;
        if is_spoiled {
            let instance = &self.instance;
            self.record
                .note(&format!("{instance} resets its answer to {id} midway"));
            sleep(RESET_DELAY).await;
            stream.set_zero_linger().ok()?;
        }
        None
    }

    /// Ends the periodic reports.
    pub fn stop_reporting(&self) {
        self.is_reporting.store(false, Ordering::Relaxed);
    }

    /// Body of the next status report, in the state `ready`.
    pub fn next_report(&self) -> serde_json::Value {
        let sequence = self.sequence.fetch_add(1, Ordering::Relaxed) + 1;
        json!({
            "service": self.host.service, "address": self.host.server().to_string(), "zone": self.host.zone,
            "version": "v1", "slots": SLOTS, "state": "ready", "warmup_left_s": 0, "sequence": sequence,
            "born": self.born_ms,
        })
    }

    /// Sends a status report; returns the status of the answer, if one arrived in time.
    pub async fn report(&self, body: serde_json::Value) -> Option<u16> {
        self.call("instances.heartbeat", body).await
    }

    /// Deregisters the server; returns the status of the answer, if one arrived in time.
    pub async fn leave(&self) -> Option<u16> {
        self.call("instances.deregister", json!({"born": self.born_ms}))
            .await
    }

    async fn call(&self, call: &str, body: serde_json::Value) -> Option<u16> {
        let path = format!("/jayrack/rpc?call={call}&of={}", self.instance);
        let request = Request::post(path)
            .header("host", "control")
            .header("content-type", "application/json")
            .body(Full::from(body.to_string()))
            .ok()?;
        let exchange = callers::exchange(self.host.reports(), request);
        let answer = tokio::time::timeout(ACKNOWLEDGEMENT_TIMEOUT, exchange).await;
        answer.ok().flatten().map(|answer| answer.status)
    }
}

/// What a server needs to know of a request.
struct ReceivedRequest {
    path: String,
    id: String,
    expected_instance: String,
    body_bytes: usize,
}

impl ReceivedRequest {
    fn parse(head: &str) -> Self {
        let text = |name| field(head, name).unwrap_or_default().to_string();
        Self {
            path: head.split(' ').nth(1).unwrap_or_default().to_string(),
            id: text("x-attempt-id"),
            expected_instance: text("x-expected-instance"),
            body_bytes: text("content-length").parse().unwrap_or(0),
        }
    }
}

/// Reads the next head; `None` if the connection has ended.
async fn read_head(stream: &mut TcpStream, received: &mut BytesMut) -> Option<String> {
    loop {
        if let Some(length) = received.windows(4).position(|bytes| bytes == b"\r\n\r\n") {
            let head = received.split_to(length + 4);
            return Some(String::from_utf8_lossy(&head).into_owned());
        }
        if received.len() > MAX_HEAD_BYTES || stream.read_buf(received).await.ok()? == 0 {
            return None;
        }
    }
}

/// Reads `left` bytes of a body; `None` if the connection ends before.
async fn discard(stream: &mut TcpStream, received: &mut BytesMut, mut left: usize) -> Option<()> {
    loop {
        let length = left.min(received.len());
        received.advance(length);
        left -= length;
        if left == 0 {
            return Some(());
        }
        if stream.read_buf(received).await.ok()? == 0 {
            return None;
        }
    }
}

async fn write_answer(stream: &mut TcpStream, status: &str, id: &str, body: &str) -> Option<()> {
    let length = body.len();
    let answer = format!(
        "HTTP/1.1 {status}\r\nX-Attempt-Id: {id}\r\nX-Response-Signature: signed.{id}\r\n\
         Content-Length: {length}\r\n\r\n{body}"
    );
    stream.write_all(answer.as_bytes()).await.ok()
}

/// Value of a header.
fn field<'a>(head: &'a str, name: &str) -> Option<&'a str> {
    head.lines().find_map(|line| {
        let (key, value) = line.split_once(':')?;
        key.eq_ignore_ascii_case(name).then_some(value.trim())
    })
}
