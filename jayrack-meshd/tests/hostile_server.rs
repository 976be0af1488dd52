//! Backend servers in trouble, which send bytes that are no answer without end, or late copies of earlier answers.
// Each test program uses only some items of the support module.
#[allow(dead_code)]
mod support;

use std::{
    sync::{
        Arc, Mutex,
        atomic::{AtomicUsize, Ordering},
    },
    time::Duration,
};

use hyper::{Method, StatusCode};
use jayrack_platform::headers;
use rand_pcg::{
    Pcg32,
    rand_core::{Rng, SeedableRng},
};
use rstest::rstest;
use support::{FleetStore, HostLimits, HostProcess, configuration, signature_of, until};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
    time::sleep,
};

/// Memory that a daemon may take, in kilobytes.
const MAX_MEMORY_KB: u64 = 32 << 10;
/// Memory of a host whose server answers in chunks of one byte, in megabytes; the bound of the test.
const SMALL_HOST_MB: u64 = 32;
/// Time limit of the routes to that server, in seconds: long enough to receive millions of chunks.
const LONG_TIMEOUT_S: f64 = 8.0;
/// More requests to that server than it has slots, several times over.
const CROWD: usize = 12;
/// Prefix of the identifiers of requests that an endless server answers properly.
const SOUND_PREFIX: &str = "sound";
/// Time limit that only ends a body that is never broken off.
const HANG_TIMEOUT: Duration = Duration::from_secs(30);
/// Time limit of the routes, in seconds.
const TIMEOUT_S: f64 = 0.5;
/// How often a server without a pause repeats its bytes in one write.
const FAST_REPEATS: usize = 400;
/// Time between an answer and its copy: the next request is sent before or after it.
const COPY_DELAY: Duration = Duration::from_millis(5);
/// Time for which a server runs a request.
const RUN_TIME: Duration = Duration::from_millis(30);
/// Size of a large answer, in bytes: more than a daemon reads ahead.
const LARGE_BYTES: usize = 90_000;
/// Length that an overstated head gives, in bytes: some hours of sending at the link's rate.
const OVERSTATED_BYTES: usize = 1_000_000_000_000;
/// Size of an answer that fills all buffers between the server and a caller that does not read, in bytes.
const HUGE_BYTES: usize = 64 << 20;
/// More requests than the server has slots.
const REQUESTS: usize = 6;

/// Backend server that answers each request with scripted bytes.
struct RawServer {
    /// Identifiers of the requests received.
    received: Mutex<Vec<String>>,
    /// Identifiers of the requests that ran after a copied answer was sent on their connection.
    ran: Mutex<Vec<String>>,
    /// Connections that the daemon has closed while the server was sending.
    closed: AtomicUsize,
}

/// Bytes that a server sends after a request; `{echo}`, `{signature}` and `{not-run}` stand for header lines.
#[derive(Debug, Clone)]
enum Script {
    /// `start` once, then `repeated` until the connection is closed, with a pause after each.
    Endless {
        start: &'static str,
        repeated: &'static str,
        pause: Duration,
    },
    /// `copied` twice in answer to every other request of a connection, with a pause between; `other` in answer to the
    /// rest, which run.
    LateCopy {
        copied: &'static str,
        other: &'static str,
    },
    /// Large answers; all heads state the length of a whole one unless `fault` says otherwise, and `faulty` requests are
    /// answered with it.
    Large { fault: LargeFault, faulty: usize },
    /// A part of `answer` and the end of the connection; the part is one byte longer for each request.
    Cut {
        answer: &'static str,
        end: ConnectionEnd,
    },
    /// Nothing, on an open connection.
    Silent,
    /// A signed answer with this status and a body of three bytes.
    Status(&'static str),
    /// The same with a random status; the request's number is the seed.
    RandomStatus,
    /// One of several answers, with some bytes changed, inserted or removed; the request's number is the seed.
    Mutated,
}

/// How a server ends a connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum ConnectionEnd {
    /// Properly, with a FIN packet.
    Closed,
    /// With an RST packet.
    Reset,
}

/// What a server does instead of sending a large answer completely.
#[derive(Debug, Clone, Copy)]
enum LargeFault {
    /// States a length of many hours of sending and closes the connection after a part of the body.
    Overstated,
    /// Sends a part of the body and then nothing, on an open connection.
    Stalled,
    /// Sends nothing but a whole answer that is larger than all buffers on its way.
    Huge,
}

impl RawServer {
    async fn start(host: &HostProcess, script: Script) -> Arc<Self> {
        let server = Arc::new(Self {
            received: Mutex::default(),
            ran: Mutex::default(),
            closed: AtomicUsize::new(0),
        });
        let listener = TcpListener::bind(host.server()).await.unwrap();
        let served = server.clone();
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                tokio::spawn(served.clone().serve(stream, script.clone()));
            }
        });
        server
    }

    fn received(&self) -> Vec<String> {
        self.received.lock().unwrap().clone()
    }

    async fn serve(self: Arc<Self>, mut stream: TcpStream, script: Script) {
        let mut number = 0;
        while let Some(id) = read_id(&mut stream).await {
            self.received.lock().unwrap().push(id.clone());
            let sent = match &script {
                Script::Endless { .. } if id.starts_with(SOUND_PREFIX) => {
                    stream.write_all(fill(ANSWER, &id).as_bytes()).await
                }
                Script::Endless {
                    start,
                    repeated,
                    pause,
                } => {
                    let sent = send_endlessly(&mut stream, &id, (start, repeated), *pause).await;
                    self.closed.fetch_add(1, Ordering::Relaxed);
                    sent
                }
                Script::LateCopy { copied, .. } if number % 2 == 0 => {
                    let copied = fill(copied, &id);
                    let sent = stream.write_all(copied.as_bytes()).await;
                    sleep(COPY_DELAY).await;
                    sent.and(stream.write_all(copied.as_bytes()).await)
                }
                Script::LateCopy { other, .. } => {
                    self.ran.lock().unwrap().push(id.clone());
                    sleep(RUN_TIME).await;
                    stream.write_all(fill(other, &id).as_bytes()).await
                }
                Script::Cut { answer, end } => {
                    let answer = fill(answer, &id);
                    let length = self.received().len() - 1;
                    if *end == ConnectionEnd::Reset {
                        stream.set_zero_linger().unwrap();
                    }
                    let sent = stream.write_all(&answer.as_bytes()[..length]).await;
                    // The daemon reads what was sent before the connection ends.
                    sleep(COPY_DELAY).await;
                    sent
                }
                Script::Silent => {
                    if number > 0 {
                        self.ran.lock().unwrap().push(id.clone());
                    }
                    Ok(())
                }
                Script::Status(status) => {
                    stream.write_all(with_status(status, &id).as_bytes()).await
                }
                Script::RandomStatus => {
                    let seed = self.received().len() as u64;
                    let status = random_status(seed);
                    self.ran.lock().unwrap().push(status.clone());
                    stream.write_all(with_status(&status, &id).as_bytes()).await
                }
                Script::Mutated => {
                    let seed = self.received().len() as u64;
                    stream.write_all(&mutated(&id, seed)).await
                }
                Script::Large { fault, faulty } => {
                    let is_faulty = self.ran.lock().unwrap().len() < *faulty;
                    self.ran.lock().unwrap().push(id.clone());
                    match (fault, is_faulty) {
                        (_, false) => send_large(&mut stream, &id, LARGE_BYTES, LARGE_BYTES).await,
                        (LargeFault::Huge, _) => {
                            send_large(&mut stream, &id, HUGE_BYTES, HUGE_BYTES).await
                        }
                        (LargeFault::Stalled, _) => {
                            let part = LARGE_BYTES / 2;
                            let sent = send_large(&mut stream, &id, LARGE_BYTES, part).await;
                            sleep(HANG_TIMEOUT).await;
                            sent
                        }
                        (LargeFault::Overstated, _) => {
                            let part = LARGE_BYTES / 2;
                            return drop(
                                send_large(&mut stream, &id, OVERSTATED_BYTES, part).await,
                            );
                        }
                    }
                }
            };
            if sent.is_err() || matches!(script, Script::Cut { .. }) {
                return;
            }
            number += 1;
        }
    }
}

/// Sends a signed answer whose head states `stated_bytes`, with the first `sent_bytes` of its body.
async fn send_large(
    stream: &mut TcpStream,
    id: &str,
    stated_bytes: usize,
    sent_bytes: usize,
) -> std::io::Result<()> {
    let head = fill(SIGNED_HEAD, id);
    let head = format!("{head}content-length: {stated_bytes}\r\n\r\n");
    stream.write_all(head.as_bytes()).await?;
    stream.write_all(&vec![b'b'; sent_bytes]).await
}

/// Sends until the connection is closed.
async fn send_endlessly(
    stream: &mut TcpStream,
    id: &str,
    (start, repeated): (&str, &str),
    pause: Duration,
) -> std::io::Result<()> {
    stream.write_all(fill(start, id).as_bytes()).await?;
    let count = if pause.is_zero() { FAST_REPEATS } else { 1 };
    let repeated = repeated.repeat(count);
    loop {
        sleep(pause).await;
        stream.write_all(repeated.as_bytes()).await?;
    }
}

/// Replaces the placeholders of a script by the header lines for the request `id`.
fn fill(template: &str, id: &str) -> String {
    let echo = format!("{}: {id}\r\n", headers::REQUEST_ID);
    let signature = format!("{}: {}\r\n", headers::ANSWER_SIGNATURE, signature_of(id));
    template
        .replace("{echo}", &echo)
        .replace("{signature}", &signature)
        .replace("{not-run}", &format!("{}: 1\r\n", headers::NOT_RUN))
}

/// Reads the head of a request; returns its identifier, or `None` at the end of the connection.
async fn read_id(stream: &mut TcpStream) -> Option<String> {
    let mut head = Vec::new();
    while !head.ends_with(b"\r\n\r\n") {
        head.push(stream.read_u8().await.ok()?);
    }
    let head = String::from_utf8(head).ok()?;
    let name = headers::REQUEST_ID;
    head.lines()
        .filter_map(|line| line.split_once(": "))
        .find(|(field, _)| field.eq_ignore_ascii_case(name.as_str()))
        .map(|(_, id)| id.to_string())
}

/// Starts a host whose server follows `script`; waits until the host accepts requests for it.
async fn hostile_host(store: &FleetStore, script: Script) -> (HostProcess, Arc<RawServer>) {
    store.put_configuration(&configuration(1, TIMEOUT_S)).await;
    let host = HostProcess::start(store);
    let server = RawServer::start(&host, script).await;
    host.until_reported("i-1", host.status("ready", 1, 1)).await;
    host.until_ready(StatusCode::OK).await;
    (host, server)
}

const SIGNED_HEAD: &str = "HTTP/1.1 200 OK\r\n{echo}{signature}";
const NO_PAUSE: Duration = Duration::ZERO;
const TRICKLE: Duration = Duration::from_millis(50);

fn endless(start: &'static str, repeated: &'static str, pause: Duration) -> Script {
    Script::Endless {
        start,
        repeated,
        pause,
    }
}

/// Each caller is answered or its answer is broken off, the slot and the connection are given back, and memory stays
/// bounded.
#[rstest]
#[case::headers(endless("HTTP/1.1 200 OK\r\n", "x-a: bbbbbbbbbbbbbbbb\r\n", NO_PAUSE))]
#[case::header_line(endless("HTTP/1.1 200 OK\r\nx-a: ", "bbbbbbbbbbbbbbbbbbbbbbbb", NO_PAUSE))]
#[case::slow_header_line(endless("HTTP/1.1 200 OK\r\nx-a: ", "b", TRICKLE))]
#[case::early_answers(endless("", "HTTP/1.1 100 Continue\r\n\r\n", NO_PAUSE))]
#[case::no_protocol(endless("", "bbbbbbbbbbbbbbbbbbbbbbbb", NO_PAUSE))]
#[tokio::test]
async fn a_head_without_end_is_a_lost_answer(#[case] script: Script) {
    let store = FleetStore::start().await;
    let (host, server) = hostile_host(&store, script).await;

    for number in 0..REQUESTS {
        let id = format!("r-{number}");
        let answer = host.ask(Method::POST, "/book/1", &id).await.unwrap();
        let is_unknown = [StatusCode::BAD_GATEWAY, StatusCode::GATEWAY_TIMEOUT];
        // A flooded server may not accept a connection in time; then the request has not run.
        let is_received = server.received().contains(&id);
        let is_true_refusal = answer.status == StatusCode::SERVICE_UNAVAILABLE && !is_received;
        let is_true = is_unknown.contains(&answer.status) || is_true_refusal;
        assert!(is_true, "{id}: {answer:?}");
    }

    until("the connections are closed", || async {
        server.closed.load(Ordering::Relaxed) == server.received().len()
    })
    .await;
    assert!(!server.received().is_empty());
    assert!(host.peak_memory_kb() < MAX_MEMORY_KB);
}

#[rstest]
#[case::chunks("transfer-encoding: chunked\r\n\r\n", "8\r\nbbbbbbbb\r\n", NO_PAUSE)]
#[case::slow_chunks("transfer-encoding: chunked\r\n\r\n", "1\r\nb\r\n", TRICKLE)]
#[case::chunk_extension("transfer-encoding: chunked\r\n\r\n8;", "a=b;", NO_PAUSE)]
#[case::trailers("transfer-encoding: chunked\r\n\r\n0\r\n", "x-a: b\r\n", NO_PAUSE)]
#[case::no_length("\r\n", "bbbbbbbbbbbbbbbbbbbbbbbb", NO_PAUSE)]
#[tokio::test]
async fn a_body_without_end_is_broken_off(
    #[case] start: &'static str,
    #[case] repeated: &'static str,
    #[case] pause: Duration,
) {
    let store = FleetStore::start().await;
    let start = format!("{SIGNED_HEAD}{start}").leak();
    let (host, server) = hostile_host(&store, endless(start, repeated, pause)).await;

    let asking = (0..REQUESTS).map(|number| {
        let asking = ask_until_closed(host.callers(), format!("r-{number}"), TIMEOUT_S);
        tokio::spawn(tokio::time::timeout(HANG_TIMEOUT, asking))
    });
    let mut answers = Vec::new();
    for asked in asking.collect::<Vec<_>>() {
        answers.push(asked.await.unwrap().expect("the body goes on"));
    }

    // A broken-off answer lacks its final chunk, so that it can't be taken for a complete one.
    let is_complete =
        |answer: &String| answer.starts_with("HTTP/1.1 200") && answer.ends_with("0\r\n\r\n");
    assert!(!answers.iter().any(is_complete));
    let received = server.received().len();
    until("the connections are closed", || async {
        server.closed.load(Ordering::Relaxed) >= received
    })
    .await;
    assert!(host.peak_memory_kb() < MAX_MEMORY_KB);
}

/// Sends a request with a deadline of `time_left_s` seconds and reads until the daemon closes the connection; the caller
/// itself never closes it. Returns the last bytes received after the status line.
async fn ask_until_closed(address: std::net::SocketAddr, id: String, time_left_s: f64) -> String {
    let mut stream = TcpStream::connect(address).await.unwrap();
    let (echo, deadline) = (headers::REQUEST_ID, headers::TIME_LEFT_MS);
    let time_left_ms = time_left_s * 1_000.0;
    let request = format!(
        "GET /browse/1 HTTP/1.1\r\nhost: a.example\r\n{echo}: {id}\r\n{deadline}: {time_left_ms:.0}\r\nconnection: close\r\n\r\n"
    );
    stream.write_all(request.as_bytes()).await.unwrap();
    let (mut first, mut last) = (String::new(), String::new());
    let mut buffer = vec![0; 64 << 10];
    while let Ok(length @ 1..) = stream.read(&mut buffer).await {
        let text = String::from_utf8_lossy(&buffer[..length]);
        if first.is_empty() {
            first = text.chars().take(12).collect();
        }
        last = text
            .chars()
            .rev()
            .take(8)
            .collect::<Vec<_>>()
            .into_iter()
            .rev()
            .collect();
    }
    format!("{first} {last}")
}

/// Guards against bookkeeping for each chunk of an answer that takes many times the memory of its data, at the daemon beside
/// the server and at one elsewhere.
#[rstest]
#[case::beside_the_callers(false)]
#[case::at_another_host(true)]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn answers_in_chunks_of_one_byte_stay_within_the_memory_of_the_host(
    #[case] is_elsewhere: bool,
) {
    let store = FleetStore::start().await;
    store
        .put_configuration(&configuration(1, LONG_TIMEOUT_S))
        .await;
    let limits = HostLimits {
        memory_mb: Some(SMALL_HOST_MB),
        max_descriptors: None,
    };
    let owner = HostProcess::start_limited(&store, limits);
    let other = HostProcess::start_limited(&store, limits);
    let start = format!("{SIGNED_HEAD}transfer-encoding: chunked\r\n\r\n").leak();
    let _server = RawServer::start(&owner, endless(start, "1\r\nb\r\n", NO_PAUSE)).await;
    owner
        .until_reported("i-1", owner.status("ready", 1, 1))
        .await;
    let ingress = if is_elsewhere { &other } else { &owner };
    until_sound_answer(ingress).await;

    let asking = (0..CROWD).map(|number| {
        let id = format!("r-{number}");
        tokio::spawn(ask_until_closed(ingress.callers(), id, LONG_TIMEOUT_S))
    });
    for asked in asking.collect::<Vec<_>>() {
        asked.await.unwrap();
    }

    for host in [&owner, &other] {
        assert!(host.is_running(), "a process has ended");
        let peak_kb = host.peak_memory_kb();
        println!("VmHWM {peak_kb} kB");
        assert!(peak_kb <= SMALL_HOST_MB * 1_024, "{peak_kb} kB");
    }
    // The server reports nothing, so it counts as silent by now.
    owner
        .until_reported("i-1", owner.status("ready", 1, 2))
        .await;
    until_sound_answer(ingress).await;
}

/// Waits until the server's daemon and `ingress` serve a request that the server answers properly.
async fn until_sound_answer(ingress: &HostProcess) {
    until("a sound answer arrives", || async {
        let answer = ingress.ask(Method::GET, "/browse/1", SOUND_PREFIX).await;
        answer.is_some_and(|answer| answer.status == StatusCode::OK)
    })
    .await;
}

/// The head of a refusal says that the request has not run, whatever its body does.
#[rstest]
#[case::fast("bbbbbbbb", NO_PAUSE)]
#[case::slow("b", TRICKLE)]
#[tokio::test]
async fn a_refusal_with_a_body_without_end_is_a_refusal(
    #[case] repeated: &'static str,
    #[case] pause: Duration,
) {
    let store = FleetStore::start().await;
    let head = "HTTP/1.1 503 Service Unavailable\r\n{echo}{not-run}\r\n";
    let (host, server) = hostile_host(&store, endless(head, repeated, pause)).await;

    let answer = host.ask(Method::POST, "/book/1", "r-1").await.unwrap();

    assert_eq!(answer.status, StatusCode::SERVICE_UNAVAILABLE);
    until("the connection is closed", || async {
        server.closed.load(Ordering::Relaxed) == 1
    })
    .await;
}

const ANSWER: &str = "HTTP/1.1 200 OK\r\n{echo}{signature}content-length: 5\r\n\r\nwhole";
const REFUSAL: &str =
    "HTTP/1.1 503 Service Unavailable\r\n{echo}{not-run}content-length: 0\r\n\r\n";
/// A refusal that does not say which request it refuses.
const ANONYMOUS_REFUSAL: &str =
    "HTTP/1.1 503 Service Unavailable\r\n{not-run}content-length: 0\r\n\r\n";
/// The same, from a server that another one has replaced.
const ANONYMOUS_MISDIRECTION: &str =
    "HTTP/1.1 421 Misdirected Request\r\nx-instance-id: i-0\r\ncontent-length: 0\r\n\r\n";

/// A late second copy of an answer arrives where the answer to the next request is expected. No request gets the
/// answer of another one, and a copied refusal does not deny that the next request ran.
///
/// A refusal that names no request cannot be told from its copy, so no other request follows it on its connection.
#[rstest]
#[case::answer(ANSWER, 1)]
#[case::refusal(REFUSAL, 1)]
#[case::anonymous_refusal(ANONYMOUS_REFUSAL, 0)]
#[case::anonymous_misdirection(ANONYMOUS_MISDIRECTION, 0)]
#[tokio::test]
async fn a_late_copy_of_an_answer_reaches_no_other_request(
    #[case] copied: &'static str,
    #[case] least_met: usize,
) {
    let store = FleetStore::start().await;
    let script = Script::LateCopy {
        copied,
        other: ANSWER,
    };
    let (host, server) = hostile_host(&store, script).await;

    let mut refused = Vec::new();
    for number in 0..40 {
        let id = format!("r-{number}");
        let answer = host.ask(Method::POST, "/book/1", &id).await.unwrap();
        if let Some(signature) = answer.headers.get(headers::ANSWER_SIGNATURE) {
            assert_eq!(signature.as_bytes(), signature_of(&id).as_bytes());
        }
        if answer.status == StatusCode::SERVICE_UNAVAILABLE {
            refused.push(id);
        }
        // Some requests go out before the copy arrives, others after it.
        sleep(Duration::from_millis(number % 8)).await;
    }

    let ran = server.ran.lock().unwrap().clone();
    assert!(ran.len() >= least_met, "no request met a copy");
    let denied: Vec<&String> = ran.iter().filter(|id| refused.contains(id)).collect();
    assert!(denied.is_empty(), "ran and were refused: {denied:?}");
}

/// Guards against requests that wait behind one that a server will never answer, on the same connection.
#[tokio::test]
async fn no_request_follows_an_unanswered_one_on_its_connection() {
    let store = FleetStore::start().await;
    let (host, server) = hostile_host(&store, Script::Silent).await;

    for number in 0..REQUESTS {
        let id = format!("r-{number}");
        let answer = host.ask(Method::POST, "/book/1", &id).await.unwrap();
        assert!(!answer.status.is_success(), "{}", answer.status);
    }

    assert!(server.received().len() >= 2, "{:?}", server.received());
    let followed = server.ran.lock().unwrap().clone();
    assert!(followed.is_empty(), "behind another request: {followed:?}");
}

/// Asks for large answers until one arrives completely; returns how many were asked for.
async fn until_large_answer(host: &HostProcess) -> usize {
    let asked = AtomicUsize::new(0);
    until("a large answer arrives completely", || async {
        let number = asked.fetch_add(1, Ordering::Relaxed);
        let answer = host
            .ask(Method::GET, "/browse/1", &format!("l-{number}"))
            .await;
        answer.is_some_and(|answer| answer.body.len() == LARGE_BYTES)
    })
    .await;
    asked.into_inner()
}

/// Guards against answers whose head states a length that never arrives: the link is not reserved for the stated bytes.
///
/// Only the requests that the faults hit may fail.
#[tokio::test]
async fn large_answers_that_break_off_do_not_block_those_after_them() {
    const FAULTY: usize = 3;
    let store = FleetStore::start().await;
    let fault = LargeFault::Overstated;
    let script = Script::Large {
        fault,
        faulty: FAULTY,
    };
    let (host, _server) = hostile_host(&store, script).await;

    let asked = until_large_answer(&host).await;

    assert!(asked <= FAULTY + 1, "{asked} answers before a whole one");
    for _ in 0..REQUESTS {
        assert_eq!(until_large_answer(&host).await, 1);
    }
}

/// Guards against a server that stops in the middle of a large answer on an open connection: the answers after it are
/// sent while the link is idle.
#[tokio::test]
async fn a_large_answer_that_stalls_does_not_block_those_after_it() {
    let store = FleetStore::start().await;
    let fault = LargeFault::Stalled;
    let script = Script::Large { fault, faulty: 1 };
    let (host, server) = hostile_host(&store, script).await;
    let stalled = tokio::spawn(ask_until_closed(
        host.callers(),
        "r-stalled".to_string(),
        TIMEOUT_S,
    ));
    until("the stalled answer has begun", || async {
        !server.received().is_empty()
    })
    .await;

    for _ in 0..REQUESTS {
        assert_eq!(until_large_answer(&host).await, 1);
    }

    assert!(!stalled.is_finished(), "the stalled answer ended first");
}

/// Guards against a caller that does not read its answer: it does not hold the link that others need.
#[tokio::test]
async fn a_caller_that_does_not_read_does_not_block_the_large_answers_of_others() {
    let store = FleetStore::start().await;
    let fault = LargeFault::Huge;
    let script = Script::Large { fault, faulty: 1 };
    let (host, server) = hostile_host(&store, script).await;
    let mut caller = TcpStream::connect(host.callers()).await.unwrap();
    let (echo, deadline) = (headers::REQUEST_ID, headers::TIME_LEFT_MS);
    let request = format!(
        "GET /browse/1 HTTP/1.1\r\nhost: a.example\r\n{echo}: r-unread\r\n{deadline}: 20000\r\n\r\n"
    );
    caller.write_all(request.as_bytes()).await.unwrap();
    until("the unread answer has begun", || async {
        !server.received().is_empty()
    })
    .await;

    for _ in 0..REQUESTS {
        assert_eq!(until_large_answer(&host).await, 1);
    }
}

const CHUNKED_ANSWER: &str =
    "HTTP/1.1 200 OK\r\n{echo}{signature}transfer-encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\n\r\n";
const UNBOUNDED_ANSWER: &str = "HTTP/1.1 200 OK\r\n{echo}{signature}connection: close\r\n\r\nwhole";

/// Guards against callers that get a success with an empty or short body, framed as whole, from a server that stops in
/// the middle of its answer, in its head as well.
///
/// Only an answer without a length ends with its connection, if that is closed properly.
#[rstest]
#[case::length(ANSWER, ConnectionEnd::Closed, ANSWER)]
#[case::length_reset(ANSWER, ConnectionEnd::Reset, ANSWER)]
#[case::chunked(CHUNKED_ANSWER, ConnectionEnd::Closed, CHUNKED_ANSWER)]
#[case::chunked_reset(CHUNKED_ANSWER, ConnectionEnd::Reset, CHUNKED_ANSWER)]
#[case::head_of_an_answer_without_a_length(UNBOUNDED_ANSWER, ConnectionEnd::Closed, "\r\n\r\n")]
#[case::without_a_length_reset(UNBOUNDED_ANSWER, ConnectionEnd::Reset, UNBOUNDED_ANSWER)]
#[tokio::test]
async fn an_answer_that_breaks_off_never_looks_complete(
    #[case] answer: &'static str,
    #[case] end: ConnectionEnd,
    #[case] whole: &'static str,
) {
    let store = FleetStore::start().await;
    let (host, server) = hostile_host(&store, Script::Cut { answer, end }).await;
    // All identifiers are of one length, and so are the answers.
    let id = |number: usize| format!("r-{number:04}");
    let filled = fill(answer, &id(0));
    let whole_length = match whole {
        "\r\n\r\n" => filled.find(whole).unwrap() + whole.len(),
        _ => filled.len(),
    };

    // The number of bytes that the server sends is the number of requests before.
    let mut complete = Vec::new();
    while server.received().len() < whole_length {
        let sent = server.received().len();
        let answer = host.ask(Method::POST, "/book/1", &id(sent)).await;
        if answer.is_some_and(|answer| answer.status.is_success()) {
            complete.push(sent);
        }
    }

    assert!(
        complete.is_empty(),
        "taken for whole: {complete:?} bytes of {whole_length}"
    );
}

/// An answer to the request `id` in which up to three bytes are changed, inserted or removed, or after which other bytes
/// follow.
fn mutated(id: &str, seed: u64) -> Vec<u8> {
    const BYTES: &[u8] = b"\0\t\r\n :;,/019aAzZ\x7f\xc3\xff";
    let mut random = Pcg32::seed_from_u64(seed);
    let mut below = |limit: usize| random.next_u32() as usize % limit.max(1);
    let templates = [
        ANSWER,
        CHUNKED_ANSWER,
        UNBOUNDED_ANSWER,
        REFUSAL,
        ANONYMOUS_REFUSAL,
    ];
    let mut answer = fill(templates[below(templates.len())], id).into_bytes();
    for _ in 0..=below(3) {
        let at = below(answer.len());
        let byte = BYTES[below(BYTES.len())];
        match below(4) {
            0 => answer[at] = byte,
            1 => answer.insert(at, byte),
            2 => drop(answer.remove(at)),
            _ => {
                answer.extend_from_slice(&fill(templates[below(templates.len())], id).into_bytes())
            }
        }
    }
    answer
}

/// Each caller gets one complete answer or the end of its connection, whatever bytes a server sends; a success is signed
/// and none is that of another request; memory stays bounded.
#[tokio::test]
async fn no_bytes_of_a_server_reach_another_caller_or_end_the_daemon() {
    const MUTATED_REQUESTS: usize = 200;
    let store = FleetStore::start().await;
    let (host, server) = hostile_host(&store, Script::Mutated).await;

    for number in 0..MUTATED_REQUESTS {
        let id = format!("r-{number:04}");
        let Some(answer) = host.ask(Method::POST, "/book/1", &id).await else {
            continue;
        };
        if answer.status.is_success() {
            assert!(
                answer.headers.contains_key(headers::ANSWER_SIGNATURE),
                "{id}: {answer:?}"
            );
        }
        let echo = answer.headers.get(headers::REQUEST_ID);
        assert!(
            echo.is_none_or(|echo| echo.as_bytes() == id.as_bytes()),
            "{id}: {answer:?}"
        );
    }

    assert!(server.received().len() > MUTATED_REQUESTS / 2);
    assert!(host.is_running());
    assert!(host.peak_memory_kb() < MAX_MEMORY_KB);
}

/// A signed answer to the request `id` with this status.
fn with_status(status: &str, id: &str) -> String {
    let answer = "HTTP/1.1 STATUS Fine\r\n{echo}{signature}content-length: 3\r\n\r\nabc";
    fill(answer, id).replace("STATUS", status)
}

/// A status of up to four characters, most of which are digits.
fn random_status(seed: u64) -> String {
    const CHARACTERS: &[u8] = b"01234567890123456789 -xX+";
    let mut random = Pcg32::seed_from_u64(seed);
    let mut below = |limit: usize| random.next_u32() as usize % limit;
    let length = 3 + below(8) / 7;
    let characters = (0..length).map(|_| char::from(CHARACTERS[below(CHARACTERS.len())]));
    characters.collect()
}

/// Guards against a status that ends no exchange and reaches a caller as the server's answer.
#[rstest]
#[tokio::test]
async fn a_status_that_is_not_final_is_a_lost_answer(
    #[values(
        "000", "001", "099", "100", "101", "103", "199", "600", "999", "1000", "20", "2x0", "-01"
    )]
    status: &'static str,
    #[values(Method::GET, Method::POST)] method: Method,
) {
    let store = FleetStore::start().await;
    let (host, _server) = hostile_host(&store, Script::Status(status)).await;
    let other = HostProcess::start(&store);
    other.until_ready(StatusCode::OK).await;

    for ingress in [&host, &other] {
        // An interim answer is followed by nothing until the request's time limit.
        let answer = ingress.ask(method.clone(), "/book/1", "r-1").await;
        let answer = answer.unwrap();

        let expected = [StatusCode::BAD_GATEWAY, StatusCode::GATEWAY_TIMEOUT];
        let has_not_run = answer.status == StatusCode::SERVICE_UNAVAILABLE;
        let is_remote = std::ptr::eq(ingress, &other);
        // The other host may not know the server yet.
        assert!(
            expected.contains(&answer.status) || (is_remote && has_not_run),
            "{status}: {answer:?}"
        );
        assert!(!answer.headers.contains_key(headers::ANSWER_SIGNATURE));
    }
}

/// Guards against a malformed status line that is taken for an answer, whatever it looks like.
#[tokio::test]
async fn only_final_statuses_reach_callers() {
    const REQUESTS: usize = 300;
    let store = FleetStore::start().await;
    let (host, server) = hostile_host(&store, Script::RandomStatus).await;

    let mut passed = 0;
    for number in 0..REQUESTS {
        let id = format!("r-{number:04}");
        let sent_before = server.ran.lock().unwrap().len();
        let answer = host.ask(Method::POST, "/book/1", &id).await.unwrap();
        if !answer.headers.contains_key(headers::ANSWER_SIGNATURE) {
            assert!(!answer.status.is_success(), "{id}: {answer:?}");
            continue;
        }
        passed += 1;
        let sent = server.ran.lock().unwrap()[sent_before].clone();
        let status = answer.status.as_u16();
        assert_eq!(sent, status.to_string(), "{id}");
        assert!((200..=599).contains(&status), "{id}: {status}");
    }

    assert!(passed > 0, "no answer was passed on");
    assert!(host.is_running());
}
