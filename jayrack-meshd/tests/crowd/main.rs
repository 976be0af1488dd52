//! Crowds of callers that the daemon cannot trust, against processes with lowered limits.
//!
//! Each crowd and each bound was fixed before the product was changed: the bound is the memory of the host in the
//! settings, and the crowd sends about twice as much. The tests run one at a time and check nothing that depends on
//! the machine's speed.
mod callers;
mod fixture;
mod server;
mod slow;
// Each test program uses only some of its items.
#[allow(dead_code)]
#[path = "../support/mod.rs"]
mod support;
mod waves;

use std::time::Duration;

use callers::{BodyFraming, BodyPlan, CallerCrowd};
use fixture::{CrowdFixture, FixturePlan, caller_fields, daemon_fields, until_served};
use hyper::{Method, StatusCode};
use rstest::rstest;
use slow::{SlowCrowd, SlowPlan};
use support::{HostLimits, HostProcess};

/// Memory of the host in the settings of a crowd's test, in megabytes; the bound of each.
const MEMORY_MB: u64 = 48;
/// Largest legal body of a crowd's test, in bytes.
const BODY_BYTES: usize = 4 << 20;
/// Callers that send large bodies: twice the host's memory.
const LARGE_CALLERS: usize = 24;
/// Callers whose connections cost more than their bodies, and the size of these.
const STALLED_CALLERS: usize = 500;
const STALLED_BYTES: usize = 200 << 10;
/// Bytes that are missing at the end of such a body.
const MISSING_BYTES: usize = 16;
/// Callers that send one byte in each chunk.
const TINY_CHUNK_CALLERS: usize = 12;
/// Bytes that each of them sends.
const TINY_CHUNK_BYTES: usize = 256 << 10;
/// Data bytes of a large chunk.
const LARGE_CHUNK_BYTES: usize = 256 << 10;
/// Callers that send heads without an end.
const HEAD_CALLERS: usize = 1_000;
/// Bytes of such a head.
const HEAD_BYTES: usize = 60 << 10;
/// Size of an answer that slow readers ask for, in bytes.
const ANSWER_BYTES: usize = 3 << 20;
/// Descriptors of the host in the settings of the test with idle connections, and its bound.
const MAX_DESCRIPTORS: u64 = 400;
/// Idle connections that are opened in it.
const IDLE_CONNECTIONS: usize = 800;
/// Connections that are opened to each listener of a suspended daemon, and the bytes that each sends.
const WAITING_CALLERS: usize = 900;
const WAITING_BYTES: usize = 60 << 10;
/// Connections whose requests stop short after a crowd of bodies is gone: more than a host has places for.
const LATER_CALLERS: usize = 400;
/// Connections that are opened to each small listener in its test: twice the descriptors of the host.
const SMALL_LISTENER_CONNECTIONS: usize = 800;
/// Seed of the waves' bodies, and their number.
const WAVES_SEED: u64 = 48;
const WAVES: usize = 24;
/// Callers whose bodies arrive a little above the minimum rate, more than twice the places of the host, and their rate in bytes a second.
const SLOW_CALLERS: usize = 600;
const SLOW_BYTES_PER_S: usize = 9_000;
/// Size of a slow body that is small, in bytes.
const SMALL_SLOW_BYTES: usize = 60 << 10;
/// Descriptors of the host in the settings of the tests with slow callers.
const SLOW_DESCRIPTORS: u64 = 1_000;
/// Ordinary requests that are sent one after the other while slow callers stay, and tries of each.
const ORDINARY_REQUESTS: usize = 20;
const ORDINARY_TRIES: usize = 2;
/// Pause between two ordinary requests.
const ORDINARY_PAUSE: Duration = Duration::from_millis(100);
/// Time for which the backend server runs a request.
const WORK_TIME: Duration = Duration::from_millis(50);

/// Listener that a crowd connects to.
#[derive(Debug, Clone, Copy)]
enum Door {
    Callers,
    Daemons,
}

impl Door {
    fn address(self, host: &HostProcess) -> std::net::SocketAddr {
        match self {
            Door::Callers => host.callers(),
            Door::Daemons => host.forward(),
        }
    }

    /// Header lines of a request; `NUMBER` stands for the number of its caller.
    fn fields(self) -> String {
        match self {
            Door::Callers => caller_fields(),
            Door::Daemons => daemon_fields(),
        }
    }
}

fn fixture_plan() -> FixturePlan {
    FixturePlan {
        limits: HostLimits {
            memory_mb: Some(MEMORY_MB),
            max_descriptors: None,
        },
        max_body_bytes: BODY_BYTES,
        delay: WORK_TIME,
        answer_bytes: None,
    }
}

fn whole(framing: BodyFraming, sent_bytes: usize) -> BodyPlan {
    BodyPlan {
        framing,
        sent_bytes,
        is_complete: true,
    }
}

fn stalled(framing: BodyFraming, sent_bytes: usize) -> BodyPlan {
    BodyPlan {
        framing,
        sent_bytes,
        is_complete: false,
    }
}

async fn check_crowd(name: &str, door: Door, count: usize, plan: BodyPlan) {
    let fixture = CrowdFixture::start(fixture_plan()).await;

    let address = door.address(&fixture.host);
    let crowd = CallerCrowd::send_bodies(address, count, &door.fields(), plan).await;

    fixture.check(&format!("{name}, {door:?}")).await;
    assert!(crowd.len() > 0, "{name}: no connection was opened");
}

/// Guards against bodies that are gathered before their announced length is compared with the limit.
#[rstest]
#[case(Door::Callers)]
#[case(Door::Daemons)]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn bodies_announced_too_large(#[case] door: Door) {
    let plan = stalled(BodyFraming::Length(1 << 30), BODY_BYTES);

    check_crowd("announced too large", door, LARGE_CALLERS, plan).await;
}

/// Guards against chunked bodies that all grow to the limit before they are refused.
#[rstest]
#[case(Door::Callers)]
#[case(Door::Daemons)]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn bodies_sent_too_large(#[case] door: Door) {
    let plan = whole(BodyFraming::Chunks(LARGE_CHUNK_BYTES), 4 * BODY_BYTES);

    check_crowd("sent too large", door, LARGE_CALLERS, plan).await;
}

/// Guards against memory for each legal body at the same time.
#[rstest]
#[case(Door::Callers)]
#[case(Door::Daemons)]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn many_whole_bodies(#[case] door: Door) {
    let plan = whole(BodyFraming::Length(BODY_BYTES), BODY_BYTES);

    check_crowd("whole bodies", door, LARGE_CALLERS, plan).await;
}

/// Guards against bodies that are kept for as long as their callers keep the connection open.
#[rstest]
#[case(Door::Callers)]
#[case(Door::Daemons)]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn many_bodies_that_stop_short(#[case] door: Door) {
    let plan = stalled(BodyFraming::Length(BODY_BYTES), BODY_BYTES - 1);

    check_crowd("bodies that stop short", door, LARGE_CALLERS, plan).await;
}

/// Guards against buffers of connections that grow while a body arrives, stay as large while it stalls, and are not in the
/// byte budget.
#[rstest]
#[case(Door::Callers)]
#[case(Door::Daemons)]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_large_crowd_of_bodies_that_stop_short(#[case] door: Door) {
    let framing = BodyFraming::Length(STALLED_BYTES);
    let plan = stalled(framing, STALLED_BYTES - MISSING_BYTES);

    check_crowd("large crowd", door, STALLED_CALLERS, plan).await;
}

/// Guards against chunked bodies that are kept for as long as their callers keep the connection open.
#[rstest]
#[case(Door::Callers)]
#[case(Door::Daemons)]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn many_chunked_bodies_that_stop_short(#[case] door: Door) {
    let plan = stalled(BodyFraming::Chunks(LARGE_CHUNK_BYTES), BODY_BYTES);

    check_crowd("large chunks", door, LARGE_CALLERS, plan).await;
}

/// Guards against memory for each chunk that is many times the size of its data.
#[rstest]
#[case(Door::Callers)]
#[case(Door::Daemons)]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn many_bodies_in_chunks_of_one_byte(#[case] door: Door) {
    let plan = stalled(BodyFraming::Chunks(1), TINY_CHUNK_BYTES);

    check_crowd("chunks of one byte", door, TINY_CHUNK_CALLERS, plan).await;
}

/// Guards against heads that fill buffers and are never given up.
#[rstest]
#[case(Door::Callers)]
#[case(Door::Daemons)]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn heads_that_never_end(#[case] door: Door) {
    let fixture = CrowdFixture::start(fixture_plan()).await;
    let line = "GET /browse/1 HTTP/1.1\r\nhost: a.example\r\nx-long: ";
    let head = [line.as_bytes(), &vec![b'x'; HEAD_BYTES]].concat();

    let crowd = CallerCrowd::send_bytes(door.address(&fixture.host), HEAD_CALLERS, head).await;

    fixture.check(&format!("endless heads, {door:?}")).await;
    let closing = tokio::time::timeout(Duration::from_secs(30), crowd.until_closed()).await;
    assert!(
        closing.is_ok(),
        "connections whose head never ends stay open"
    );
}

/// Guards against heads that are short enough, but stop before their end and stay open.
#[rstest]
#[case(Door::Callers)]
#[case(Door::Daemons)]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn heads_that_stop_short(#[case] door: Door) {
    let fixture = CrowdFixture::start(fixture_plan()).await;
    let head = b"GET /browse/1 HTTP/1.1\r\nhost: a.example\r\nx-long: ".to_vec();

    let crowd = CallerCrowd::send_bytes(door.address(&fixture.host), LARGE_CALLERS, head).await;

    fixture
        .check(&format!("heads that stop short, {door:?}"))
        .await;
    // Shorter than the time after which an idle connection is closed.
    let closing = tokio::time::timeout(Duration::from_secs(15), crowd.until_closed()).await;
    assert!(closing.is_ok(), "connections whose head stopped stay open");
}

/// Guards against large answers that are kept for callers that do not read them.
#[rstest]
#[case(Door::Callers)]
#[case(Door::Daemons)]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn callers_that_do_not_read_large_answers(#[case] door: Door) {
    let plan = FixturePlan {
        answer_bytes: Some(ANSWER_BYTES),
        ..fixture_plan()
    };
    let fixture = CrowdFixture::start(plan).await;

    let body = whole(BodyFraming::Length(0), 0);
    let address = door.address(&fixture.host);
    let mut crowd = CallerCrowd::send_bodies(address, LARGE_CALLERS, &door.fields(), body).await;
    crowd.until_answered().await;

    fixture.check(&format!("slow readers, {door:?}")).await;
    assert!(crowd.len() > 0, "no connection was opened");
}

/// Guards against connections that use up the descriptors of the process.
#[rstest]
#[case(Door::Callers)]
#[case(Door::Daemons)]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn many_idle_connections(#[case] door: Door) {
    let plan = FixturePlan {
        limits: HostLimits {
            memory_mb: Some(MEMORY_MB),
            max_descriptors: Some(MAX_DESCRIPTORS),
        },
        ..fixture_plan()
    };
    let fixture = CrowdFixture::start(plan).await;

    let crowd = CallerCrowd::send_bytes(door.address(&fixture.host), IDLE_CONNECTIONS, Vec::new());
    let crowd = crowd.await;

    fixture.check(&format!("idle connections, {door:?}")).await;
    assert!(crowd.len() > 0, "no connection was opened");
}

/// Guards against limits that refuse the largest legal body although the daemon is idle.
#[rstest]
#[case::with_length(BodyFraming::Length(64 << 20), false)]
#[case::in_chunks(BodyFraming::Chunks(LARGE_CHUNK_BYTES), false)]
#[case::with_length_elsewhere(BodyFraming::Length(64 << 20), true)]
#[case::in_chunks_elsewhere(BodyFraming::Chunks(LARGE_CHUNK_BYTES), true)]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn the_largest_legal_body_is_served(
    #[case] framing: BodyFraming,
    #[case] is_elsewhere: bool,
) {
    let limits = HostLimits {
        memory_mb: Some(160),
        max_descriptors: None,
    };
    let plan = FixturePlan {
        limits,
        max_body_bytes: 64 << 20,
        ..fixture_plan()
    };
    let fixture = CrowdFixture::start(plan).await;
    let other = HostProcess::start_limited(&fixture.store, limits);
    let ingress = match is_elsewhere {
        true => &other,
        false => &fixture.host,
    };
    other.until_ready(StatusCode::OK).await;
    until_served(&other).await;

    let body = whole(framing, 64 << 20);
    let crowd = CallerCrowd::send_bodies(ingress.callers(), 1, &caller_fields(), body).await;
    let answer = crowd.answer().await;

    assert!(answer.starts_with("HTTP/1.1 200"), "{answer}");
    assert_eq!(fixture.server.largest_body(), 64 << 20);
    fixture.check("largest body").await;
    let other_kb = other.peak_memory_kb();
    println!("largest body: other daemon VmHWM {other_kb} kB");
    assert!(other_kb <= 160 * 1_024, "{other_kb} kB at the ingress");
    let answer = ingress
        .ask(Method::GET, "/browse/1", "after")
        .await
        .unwrap();
    assert_eq!(answer.status, StatusCode::OK);
}

/// Guards against memory that a wave of bodies leaves behind, so that the next one exceeds the memory of the host.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn waves_of_bodies() {
    let fixture = CrowdFixture::start(fixture_plan()).await;

    for wave in waves::plan(WAVES_SEED, WAVES, BODY_BYTES) {
        waves::send(&fixture.host, wave).await;
        assert!(fixture.host.is_running(), "the process has ended: {wave:?}");
    }

    fixture.check("waves").await;
}

/// Guards against memory of freed bodies that stays with the allocator while the kernel fills the receive queues of other
/// connections.
#[rstest]
#[case(Door::Callers)]
#[case(Door::Daemons)]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn connections_that_stall_after_a_crowd_of_bodies(#[case] door: Door) {
    let fixture = CrowdFixture::start(fixture_plan()).await;
    let address = door.address(&fixture.host);

    let large = stalled(BodyFraming::Length(BODY_BYTES), BODY_BYTES - 1);
    let bodies = CallerCrowd::send_bodies(address, LARGE_CALLERS, &door.fields(), large).await;
    fixture.settle().await;
    drop(bodies);
    let small = stalled(BodyFraming::Length(STALLED_BYTES), STALLED_BYTES / 2);
    let connections = CallerCrowd::send_bodies(address, LATER_CALLERS, &door.fields(), small).await;

    fixture
        .check(&format!("stalls after bodies, {door:?}"))
        .await;
    assert!(connections.len() > 0, "no connection was opened");
}

/// Guards against connections that wait to be accepted while bodies use the whole budget, and whose receive queues are in
/// nobody's account.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn connections_that_wait_to_be_accepted() {
    let fixture = CrowdFixture::start(fixture_plan()).await;
    let head = [
        &b"GET /browse/1 HTTP/1.1\r\nhost: a.example\r\nx-long: "[..],
        &vec![b'x'; WAITING_BYTES],
    ]
    .concat();

    // Bodies that fill the budget, and are not refused while the daemon is suspended.
    let address = Door::Callers.address(&fixture.host);
    let large = stalled(BodyFraming::Length(BODY_BYTES), BODY_BYTES - 1);
    let fields = Door::Callers.fields();
    let _bodies = CallerCrowd::send_bodies(address, LARGE_CALLERS, &fields, large).await;
    fixture.host.suspend();
    let send = |door: Door| {
        let address = door.address(&fixture.host);
        CallerCrowd::send_bytes(address, WAITING_CALLERS, head.clone())
    };
    let _crowds = tokio::join!(send(Door::Callers), send(Door::Daemons));
    fixture.host.resume();

    fixture.check("connections that wait").await;
}

/// Guards against callers that hold all places of the daemon by sending slowly, and shut out ordinary requests.
#[rstest]
#[case::callers(Door::Callers, Door::Callers, BODY_BYTES)]
#[case::callers_with_small_bodies(Door::Callers, Door::Callers, SMALL_SLOW_BYTES)]
#[case::callers_and_forwarded_requests(Door::Callers, Door::Daemons, BODY_BYTES)]
#[case::daemons(Door::Daemons, Door::Daemons, BODY_BYTES)]
#[case::daemons_and_requests_of_callers(Door::Daemons, Door::Callers, BODY_BYTES)]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn slow_bodies_do_not_shut_out_ordinary_requests(
    #[case] crowded: Door,
    #[case] asked: Door,
    #[case] body_bytes: usize,
) {
    let limits = HostLimits {
        memory_mb: Some(MEMORY_MB),
        max_descriptors: Some(SLOW_DESCRIPTORS),
    };
    let plan = FixturePlan {
        limits,
        ..fixture_plan()
    };
    let fixture = CrowdFixture::start(plan).await;
    let slow = SlowPlan {
        body_bytes,
        bytes_per_s: SLOW_BYTES_PER_S,
    };

    let address = crowded.address(&fixture.host);
    let crowd = SlowCrowd::start(address, SLOW_CALLERS, &crowded.fields(), slow);
    crowd.until_connected().await;
    let mut unserved = 0;
    for number in 0..ORDINARY_REQUESTS {
        unserved += usize::from(!is_served(&fixture.host, asked, number).await);
        tokio::time::sleep(ORDINARY_PAUSE).await;
    }

    let name = format!("slow bodies at {crowded:?}, asked at {asked:?}");
    assert_eq!(unserved, 0, "{name}: {ORDINARY_REQUESTS} requests");
    fixture.check_now(&name).await;
}

/// Whether an ordinary request without a body is answered in one of its tries.
async fn is_served(host: &HostProcess, door: Door, number: usize) -> bool {
    for attempt in 0..ORDINARY_TRIES {
        let fields = door
            .fields()
            .replace("NUMBER", &format!("{number}-{attempt}"));
        let head = format!("GET /browse/1 HTTP/1.1\r\nhost: a.example\r\n{fields}\r\n");
        let asking = CallerCrowd::send_bytes(door.address(host), 1, head.into_bytes()).await;
        if asking.answer().await.starts_with("HTTP/1.1 200") {
            return true;
        }
    }
    false
}

/// Listener for readiness, reports or metrics.
#[derive(Debug, Clone, Copy)]
enum SmallListener {
    Ready,
    Reports,
    Metrics,
}

impl SmallListener {
    fn address(self, host: &HostProcess) -> std::net::SocketAddr {
        match self {
            SmallListener::Ready => host.ready(),
            SmallListener::Reports => host.reports(),
            SmallListener::Metrics => host.metrics(),
        }
    }
}

/// Guards against connections to the small listeners that use up the descriptors of the process.
#[rstest]
#[case::ready(SmallListener::Ready)]
#[case::reports(SmallListener::Reports)]
#[case::metrics(SmallListener::Metrics)]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn many_connections_to_a_small_listener(
    #[case] listener: SmallListener,
    #[values(
        "",
        "GET / HTTP/1.1\r\nhost: a.example\r\nx-long: ",
        "POST / HTTP/1.1\r\nhost: a.example\r\ncontent-length: 1000\r\n\r\nx"
    )]
    head: &str,
) {
    let plan = FixturePlan {
        limits: HostLimits {
            memory_mb: Some(MEMORY_MB),
            max_descriptors: Some(MAX_DESCRIPTORS),
        },
        ..fixture_plan()
    };
    let fixture = CrowdFixture::start(plan).await;

    let address = listener.address(&fixture.host);
    let crowd = CallerCrowd::send_bytes(address, SMALL_LISTENER_CONNECTIONS, head.into());
    let crowd = crowd.await;

    fixture
        .check(&format!("connections to {listener:?}, {head:?}"))
        .await;
    fixture.host.until_ready(StatusCode::OK).await;
    assert!(crowd.len() > 0, "no connection was opened");
}
