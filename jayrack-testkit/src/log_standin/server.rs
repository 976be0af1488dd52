//! HTTP server with the platform's protocol: append, read, and newest value of each key.
use std::{
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::{Duration, SystemTime, UNIX_EPOCH},
};

use base64::{Engine, engine::general_purpose::STANDARD};
use bytes::{Buf, BufMut, Bytes, BytesMut};
use http_body_util::Full;
use hyper::{
    Method, Request, Response, StatusCode,
    body::Incoming,
    header::{HeaderName, HeaderValue},
};
use serde::Serialize;
use tokio::{
    net::TcpListener,
    sync::watch,
    task::JoinHandle,
    time::{Instant, sleep, timeout_at},
};

use super::{
    behaviour::{LogBehaviour, LogCounts, LostAnswer, Outage},
    store::{LogStore, ReadOutcome, TopicBatch},
};
use crate::http_server::{
    self, ConnectionAborted, HandlerResult, empty_answer, json_answer, read_body, read_json,
};

/// Highest number of open connections.
const MAX_CONNECTIONS: usize = 4_096;

/// Header that states the era.
const ERA: HeaderName = HeaderName::from_static("store-era");
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
    /// Number of returns from a copy; not stated before [`LogStandin::state_era`].
    era: Option<u64>,
}

/// Copy of all topics at one moment.
#[derive(Debug)]
pub struct LogCopy(LogStore);

/// How an append is handled.
enum AppendAction {
    Refuse,
    Answer { delay_ms: u64 },
    Lose { answer: LostAnswer, late_ms: u64 },
}

#[derive(Serialize)]
struct ExpiredBody {
    first_offset: u64,
}

#[derive(Serialize)]
struct MovedBody {
    end_offset: u64,
}

#[derive(Serialize)]
struct AppendedBody {
    offset: u64,
    end_offset: u64,
}

#[derive(Serialize)]
struct NewestBody {
    items: Vec<NewestItem>,
    has_more: bool,
    end_offset: u64,
}

#[derive(Serialize)]
struct NewestItem {
    key: String,
    value: String,
    offset: u64,
}

#[derive(Debug, Default, PartialEq, Eq)]
struct TopicQuery {
    topic: String,
    from: u64,
    wait_ms: u64,
    /// Offset at which the topic must end for an append to take effect.
    at: Option<u64>,
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

    /// Address that the log listens on.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Replaces the behaviour for later requests.
    pub fn set_behaviour(&self, behaviour: LogBehaviour) {
        self.shared.lock().behaviour = behaviour;
    }

    /// Drops all records; offsets continue.
    pub fn expire_all(&self) {
        self.shared.lock().store.expire_all();
    }

    /// Makes each later answer state the era, which is 0 at first.
    pub fn state_era(&self) {
        self.shared.lock().era.get_or_insert_default();
    }

    /// Copies all topics.
    pub fn copy(&self) -> LogCopy {
        LogCopy(self.shared.lock().store.clone())
    }

    /// Returns from `copy`: later records are lost, their offsets are given out again, and the era rises by one. Calls that
    /// are not answered yet get no answer.
    pub fn return_from(&self, copy: &LogCopy) {
        {
            let mut state = self.shared.lock();
            state.store = copy.0.clone();
            state.era = state.era.map(|era| era + 1);
        }
        self.shared.changed.send_modify(|count| *count += 1);
    }

    /// Request counters and retained records.
    pub fn counts(&self) -> LogCounts {
        self.shared.counts()
    }

    /// Waits for the server task, which doesn't end on its own.
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
        let records = state.store.record_counts();
        let by_stream = |(topic, count): (String, u64)| (stream_name(&topic).to_string(), count);
        counts.records = records.into_iter().map(by_stream).collect();
        counts
    }

    /// Appends records and returns the offset of the first.
    ///
    /// # Errors
    ///
    /// Returns the end of the topic, and appends nothing, if the topic does not end at `at`.
    fn append(&self, topic: &str, records: &[Bytes], at: Option<u64>) -> Result<u64, u64> {
        let mut state = self.lock();
        let end = state.store.end(topic);
        if at.is_some_and(|at| at != end) {
            return Err(end);
        }
        let append = |record: &Bytes| state.store.append(topic, record.clone(), now_ms());
        let offsets: Vec<u64> = records.iter().map(append).collect();
        drop(state);
        self.changed.send_modify(|count| *count += 1);
        Ok(offsets.first().copied().unwrap_or_default())
    }

    fn read(&self, query: &TopicQuery) -> ReadOutcome {
        let mut state = self.lock();
        let retention_ms = state.behaviour.retention_ms;
        if retention_ms > 0 {
            let oldest_ms = now_ms().saturating_sub(retention_ms);
            state.store.expire_before(oldest_ms);
        }
        state.store.read(&query.topic, query.from)
    }
}

async fn handle(shared: Arc<SharedLog>, request: Request<Incoming>) -> HandlerResult {
    let era = shared.lock().era;
    let mut response = answer(shared.clone(), request).await?;
    if shared.lock().era != era {
        return Err(ConnectionAborted);
    }
    if let Some(era) = era {
        response.headers_mut().insert(ERA, HeaderValue::from(era));
    }
    Ok(response)
}

async fn answer(shared: Arc<SharedLog>, request: Request<Incoming>) -> HandlerResult {
    let path = request.uri().path().to_string();
    let method = request.method().clone();
    match (method, path.as_str()) {
        (Method::GET, "/standin/counts") => json_answer(StatusCode::OK, &shared.counts()),
        (Method::POST, "/standin/behaviour") => set_behaviour(&shared, request).await,
        (Method::POST, "/standin/expire") => {
            shared.lock().store.expire_all();
            empty_answer(StatusCode::OK)
        }
        (Method::POST, "/jayrack/log-append") => append(shared, request).await,
        (Method::GET, "/jayrack/log-read") => read(shared, &request).await,
        (Method::GET, "/jayrack/log-newest") => newest(shared, &request).await,
        _ => empty_answer(StatusCode::NOT_FOUND),
    }
}

/// Name of a topic in the counters and the behaviour: without the prefix `jayrack-`.
fn stream_name(topic: &str) -> &str {
    topic.strip_prefix("jayrack-").unwrap_or(topic)
}

/// Splits a body into its length-prefixed records; `None` if it is truncated.
fn split_records(mut body: Bytes) -> Option<Vec<Bytes>> {
    let mut records = Vec::new();
    while !body.is_empty() {
        let length = body.try_get_u32().ok()? as usize;
        if body.len() < length {
            return None;
        }
        records.push(body.split_to(length));
    }
    Some(records)
}

async fn set_behaviour(shared: &SharedLog, request: Request<Incoming>) -> HandlerResult {
    let Some(behaviour) = read_json(request.into_body()).await? else {
        return empty_answer(StatusCode::BAD_REQUEST);
    };
    shared.lock().behaviour = behaviour;
    shared.changed.send_modify(|count| *count += 1);
    empty_answer(StatusCode::OK)
}

/// Counts and handles a request in an outage: refuses it, or never returns.
async fn check_outage(shared: &SharedLog) -> Option<HandlerResult> {
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

async fn append(shared: Arc<SharedLog>, request: Request<Incoming>) -> HandlerResult {
    let Some(query) = parse_query(&request) else {
        return empty_answer(StatusCode::BAD_REQUEST);
    };
    let stream = stream_name(&query.topic).to_string();
    {
        let mut state = shared.lock();
        state.counts.appends += 1;
        let counts = &mut state.counts.appends_by_stream;
        *counts.entry(stream.clone()).or_default() += 1;
    }
    let body = read_body(request.into_body()).await?;
    let Some(records) = split_records(body) else {
        return empty_answer(StatusCode::BAD_REQUEST);
    };
    if let Some(answer) = check_outage(&shared).await {
        return answer;
    }
    match choose_append_action(&shared, &stream) {
        AppendAction::Refuse => empty_answer(StatusCode::TOO_MANY_REQUESTS),
        AppendAction::Answer { delay_ms } => {
            let appended = shared.append(&query.topic, &records, query.at);
            sleep(Duration::from_millis(delay_ms)).await;
            match appended {
                Ok(offset) => {
                    let end_offset = offset + records.len() as u64;
                    json_answer(StatusCode::OK, &AppendedBody { offset, end_offset })
                }
                Err(end_offset) => {
                    json_answer(StatusCode::PRECONDITION_FAILED, &MovedBody { end_offset })
                }
            }
        }
        AppendAction::Lose { answer, late_ms } => {
            tokio::spawn(async move {
                sleep(Duration::from_millis(late_ms)).await;
                // Nobody is told that the condition no longer held.
                let _ = shared.append(&query.topic, &records, query.at);
            });
            match answer {
                LostAnswer::Cut => Err(ConnectionAborted),
                LostAnswer::Withhold => std::future::pending().await,
            }
        }
    }
}

fn choose_append_action(shared: &SharedLog, stream: &str) -> AppendAction {
    let mut state = shared.lock();
    let quota = state.behaviour.quota_per_second;
    if quota > 0 && state.store.take_token(quota, now_ms()).is_err() {
        state.counts.throttled += 1;
        return AppendAction::Refuse;
    }
    let behaviour = &mut state.behaviour;
    let is_chosen = behaviour.lose_stream.is_empty() || behaviour.lose_stream == stream;
    if behaviour.lose_answers == 0 || !is_chosen {
        return AppendAction::Answer {
            delay_ms: behaviour.delay_ms,
        };
    }
    behaviour.lose_answers -= 1;
    let action = AppendAction::Lose {
        answer: behaviour.lost_answer,
        late_ms: behaviour.late_ms,
    };
    state.counts.lost += 1;
    action
}

async fn read(shared: Arc<SharedLog>, request: &Request<Incoming>) -> HandlerResult {
    let (delay_ms, era) = {
        let mut state = shared.lock();
        state.counts.reads += 1;
        (state.behaviour.delay_ms, state.era)
    };
    let Some(query) = parse_query(request) else {
        return empty_answer(StatusCode::BAD_REQUEST);
    };
    let deadline = Instant::now() + Duration::from_millis(query.wait_ms.min(MAX_WAIT_MS));
    let mut changed = shared.changed.subscribe();
    sleep(Duration::from_millis(delay_ms)).await;
    loop {
        if let Some(answer) = check_outage(&shared).await {
            return answer;
        }
        if shared.lock().era != era {
            return Err(ConnectionAborted);
        }
        match shared.read(&query) {
            ReadOutcome::Expired(first_offset) => {
                shared.lock().counts.expired += 1;
                return json_answer(StatusCode::GONE, &ExpiredBody { first_offset });
            }
            ReadOutcome::Batch(batch) if batch.records.is_empty() && Instant::now() < deadline => {
                // After a time-out the next iteration returns an empty batch.
                timeout_at(deadline, changed.changed()).await.ok();
            }
            ReadOutcome::Batch(batch) => return batch_answer(&batch),
        }
    }
}

/// Writes the end offset, the first offset and the length-prefixed records.
fn batch_answer(batch: &TopicBatch) -> HandlerResult {
    let mut body = BytesMut::new();
    body.put_u64(batch.end);
    body.put_u64(batch.first);
    for record in &batch.records {
        body.put_u32(record.len() as u32);
        body.put_slice(record);
    }
    Response::builder()
        .body(Full::from(body.freeze()))
        .map_err(|_| ConnectionAborted)
}

async fn newest(shared: Arc<SharedLog>, request: &Request<Incoming>) -> HandlerResult {
    shared.lock().counts.reads += 1;
    let Some(query) = parse_query(request) else {
        return empty_answer(StatusCode::BAD_REQUEST);
    };
    if let Some(answer) = check_outage(&shared).await {
        return answer;
    }
    let (newest, end_offset) = shared.lock().store.newest(&query.topic);
    let items = newest.into_iter().map(|(key, newest)| NewestItem {
        key,
        value: STANDARD.encode(&newest.value),
        offset: newest.offset,
    });
    let body = NewestBody {
        items: items.collect(),
        has_more: false,
        end_offset,
    };
    json_answer(StatusCode::OK, &body)
}

/// Parses the parameters that all calls share; others are ignored, as the platform does.
fn parse_query(request: &Request<Incoming>) -> Option<TopicQuery> {
    let mut query = TopicQuery::default();
    let text = request.uri().query().unwrap_or_default();
    for pair in text.split('&').filter(|pair| !pair.is_empty()) {
        let (name, value) = pair.split_once('=')?;
        match name {
            "topic" => query.topic = value.to_string(),
            "from" => query.from = value.parse().ok()?,
            "wait_ms" => query.wait_ms = value.parse().ok()?,
            "at" => query.at = Some(value.parse().ok()?),
            _ => {}
        }
    }
    (!query.topic.is_empty()).then_some(query)
}

fn now_ms() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_or(0, |elapsed| elapsed.as_millis() as u64)
}
