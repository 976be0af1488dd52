//! The HTTP form of the log.
use std::{
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::{Duration, SystemTime, UNIX_EPOCH},
};

use hyper::{Method, Request, Response, StatusCode, body::Incoming};
use jayrack_platform::log::ReadBatch;
use serde::Serialize;
use tokio::{
    net::TcpListener,
    sync::watch,
    task::JoinHandle,
    time::{Instant, sleep, timeout_at},
};

use super::{
    behaviour::{LogBehaviour, LogCounts, LostAnswer, Outage},
    store::{LogStore, ReadOutcome},
};
use crate::http_server::{self, Answer, Cut, empty_answer, json_answer, read_body, read_json};

/// Most connections open at once.
const MAX_CONNECTIONS: usize = 4_096;

/// Longest long poll, in milliseconds.
const MAX_WAIT_MS: u64 = 60_000;

/// A running log stand-in.
#[derive(Debug)]
pub struct LogStandin {
    address: SocketAddr,
    shared: Arc<SharedLog>,
    task: JoinHandle<()>,
}

#[derive(Debug)]
struct SharedLog {
    state: Mutex<LogState>,
    changed: watch::Sender<u64>,
}

#[derive(Debug, Default)]
struct LogState {
    store: LogStore,
    behaviour: LogBehaviour,
    counts: LogCounts,
}

/// What becomes of an append.
enum AppendPlan {
    Refuse { retry_after_ms: u64 },
    Answer { delay_ms: u64 },
    Lose { answer: LostAnswer, late_ms: u64 },
}

#[derive(Serialize)]
struct ExpiredBody {
    first: u64,
    next: u64,
    now_ms: u64,
}

#[derive(Debug, PartialEq, Eq)]
struct ReadParameters {
    from: u64,
    max: usize,
    wait_ms: u64,
}

impl LogStandin {
    /// Starts a log that listens on `address`; port 0 chooses a free one.
    pub async fn start(address: SocketAddr) -> std::io::Result<Self> {
        let listener = TcpListener::bind(address).await?;
        let address = listener.local_addr()?;
        let shared = Arc::new(SharedLog {
            state: Mutex::default(),
            changed: watch::Sender::new(0),
        });
        let handler_shared = shared.clone();
        let task = tokio::spawn(http_server::serve(
            listener,
            MAX_CONNECTIONS,
            move |request| handle(handler_shared.clone(), request),
        ));
        Ok(Self {
            address,
            shared,
            task,
        })
    }

    /// Where the log listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Replaces the behaviour.
    pub fn set_behaviour(&self, behaviour: LogBehaviour) {
        self.shared.lock().behaviour = behaviour;
    }

    /// Drops all records and keeps the offsets.
    pub fn expire_all(&self) {
        self.shared.lock().store.expire_all();
    }

    /// Requests seen so far.
    pub fn counts(&self) -> LogCounts {
        self.shared.counts()
    }

    /// Serves until the process ends.
    pub async fn wait(self) {
        self.task.await.unwrap_or_default();
    }

    /// Stops listening and closes all connections.
    pub async fn close(self) {
        self.task.abort();
        self.task.await.unwrap_or_default();
    }
}

impl SharedLog {
    fn lock(&self) -> MutexGuard<'_, LogState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn counts(&self) -> LogCounts {
        let state = self.lock();
        let mut counts = state.counts.clone();
        counts.records = state.store.record_counts();
        counts
    }

    fn append(&self, stream: &str, data: String) -> jayrack_platform::log::Appended {
        let appended = self.lock().store.append(stream, data, now_ms());
        self.changed.send_modify(|count| *count += 1);
        appended
    }

    fn read(&self, stream: &str, parameters: &ReadParameters) -> ReadOutcome {
        let now_ms = now_ms();
        let mut state = self.lock();
        let retention_ms = state.behaviour.retention_ms;
        if retention_ms > 0 {
            let oldest_ms = now_ms.saturating_sub(retention_ms);
            state.store.expire_before(oldest_ms);
        }
        state
            .store
            .read(stream, parameters.from, parameters.max, now_ms)
    }
}

async fn handle(shared: Arc<SharedLog>, request: Request<Incoming>) -> Answer {
    let path = request.uri().path().to_string();
    let method = request.method().clone();
    match (method, path.as_str()) {
        (Method::GET, "/standin/counts") => json_answer(StatusCode::OK, &shared.counts()),
        (Method::POST, "/standin/behaviour") => set_behaviour(&shared, request).await,
        (Method::POST, "/standin/expire") => {
            shared.lock().store.expire_all();
            empty_answer(StatusCode::OK)
        }
        (method, path) => match stream_name(path) {
            Some(stream) if method == Method::POST => append(shared, stream, request).await,
            Some(stream) if method == Method::GET => read(shared, stream, &request).await,
            _ => empty_answer(StatusCode::NOT_FOUND),
        },
    }
}

fn stream_name(path: &str) -> Option<&str> {
    path.strip_prefix("/v1/streams/")?
        .strip_suffix("/records")
        .filter(|name| !name.is_empty() && !name.contains('/'))
}

async fn set_behaviour(shared: &SharedLog, request: Request<Incoming>) -> Answer {
    let Some(behaviour) = read_json(request.into_body()).await? else {
        return empty_answer(StatusCode::BAD_REQUEST);
    };
    shared.lock().behaviour = behaviour;
    shared.changed.send_modify(|count| *count += 1);
    empty_answer(StatusCode::OK)
}

/// Refuses or hangs while the log is out.
async fn check_outage(shared: &SharedLog) -> Option<Answer> {
    let outage = {
        let mut state = shared.lock();
        let outage = state.behaviour.outage;
        state.counts.outage += u64::from(outage != Outage::None);
        outage
    };
    match outage {
        Outage::None => None,
        Outage::Refuse => Some(empty_answer(StatusCode::SERVICE_UNAVAILABLE)),
        Outage::Silent => std::future::pending().await,
    }
}

async fn append(shared: Arc<SharedLog>, stream: &str, request: Request<Incoming>) -> Answer {
    {
        let mut state = shared.lock();
        state.counts.appends += 1;
        let counts = &mut state.counts.appends_by_stream;
        *counts.entry(stream.to_string()).or_default() += 1;
    }
    let body = read_body(request.into_body()).await?;
    let Ok(data) = String::from_utf8(body.to_vec()) else {
        return empty_answer(StatusCode::BAD_REQUEST);
    };
    if let Some(answer) = check_outage(&shared).await {
        return answer;
    }
    match plan_append(&shared, stream) {
        AppendPlan::Refuse { retry_after_ms } => throttled_answer(retry_after_ms),
        AppendPlan::Answer { delay_ms } => {
            let appended = shared.append(stream, data);
            sleep(Duration::from_millis(delay_ms)).await;
            json_answer(StatusCode::OK, &appended)
        }
        AppendPlan::Lose { answer, late_ms } => {
            let stream = stream.to_string();
            tokio::spawn(async move {
                sleep(Duration::from_millis(late_ms)).await;
                shared.append(&stream, data);
            });
            match answer {
                LostAnswer::Cut => Err(Cut),
                LostAnswer::Withhold => std::future::pending().await,
            }
        }
    }
}

fn plan_append(shared: &SharedLog, stream: &str) -> AppendPlan {
    let mut state = shared.lock();
    let quota = state.behaviour.quota_per_second;
    if quota > 0
        && let Err(throttled) = state.store.take_token(quota, now_ms())
    {
        state.counts.throttled += 1;
        return AppendPlan::Refuse {
            retry_after_ms: throttled.retry_after_ms,
        };
    }
    let behaviour = &mut state.behaviour;
    let is_chosen = behaviour.lose_stream.is_empty() || behaviour.lose_stream == stream;
    if behaviour.lose_answers == 0 || !is_chosen {
        return AppendPlan::Answer {
            delay_ms: behaviour.delay_ms,
        };
    }
    behaviour.lose_answers -= 1;
    let plan = AppendPlan::Lose {
        answer: behaviour.lost_answer,
        late_ms: behaviour.late_ms,
    };
    state.counts.lost += 1;
    plan
}

fn throttled_answer(retry_after_ms: u64) -> Answer {
    Response::builder()
        .status(StatusCode::TOO_MANY_REQUESTS)
        .header("retry-after-ms", retry_after_ms)
        .body(Default::default())
        .map_err(|_| Cut)
}

async fn read(shared: Arc<SharedLog>, stream: &str, request: &Request<Incoming>) -> Answer {
    let delay_ms = {
        let mut state = shared.lock();
        state.counts.reads += 1;
        state.behaviour.delay_ms
    };
    let Some(parameters) = read_parameters(request.uri().query().unwrap_or_default()) else {
        return empty_answer(StatusCode::BAD_REQUEST);
    };
    let deadline = Instant::now() + Duration::from_millis(parameters.wait_ms.min(MAX_WAIT_MS));
    let mut changed = shared.changed.subscribe();
    sleep(Duration::from_millis(delay_ms)).await;
    loop {
        if let Some(answer) = check_outage(&shared).await {
            return answer;
        }
        match shared.read(stream, &parameters) {
            ReadOutcome::Expired(batch) => {
                shared.lock().counts.expired += 1;
                return json_answer(StatusCode::GONE, &expired_body(&batch));
            }
            ReadOutcome::Batch(batch) if batch.records.is_empty() && Instant::now() < deadline => {
                // A time-out ends the wait; the next turn answers with no records.
                timeout_at(deadline, changed.changed()).await.ok();
            }
            ReadOutcome::Batch(batch) => return json_answer(StatusCode::OK, &batch),
        }
    }
}

fn expired_body(batch: &ReadBatch) -> ExpiredBody {
    ExpiredBody {
        first: batch.first,
        next: batch.next,
        now_ms: batch.now_ms,
    }
}

fn read_parameters(query: &str) -> Option<ReadParameters> {
    let mut parameters = ReadParameters {
        from: 1,
        max: 1_000,
        wait_ms: 0,
    };
    for pair in query.split('&').filter(|pair| !pair.is_empty()) {
        let (name, value) = pair.split_once('=')?;
        match name {
            "from" => parameters.from = value.parse().ok()?,
            "max" => parameters.max = value.parse().ok()?,
            "wait_ms" => parameters.wait_ms = value.parse().ok()?,
            _ => return None,
        }
    }
    Some(parameters)
}

fn now_ms() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_or(0, |elapsed| elapsed.as_millis() as u64)
}
