//! Stand-in for the platform's store: keyed topics in one partition, and the drill in which it comes back from a copy.
use std::{
    collections::BTreeMap,
    convert::Infallible,
    net::SocketAddr,
    sync::{Arc, Mutex},
    time::{Duration, Instant},
};

use base64::{Engine, engine::general_purpose::STANDARD};
use bytes::{Buf, BufMut, Bytes, BytesMut};
use http_body_util::{BodyExt, Full};
use hyper::{
    Method, Request, Response, StatusCode, body::Incoming, server::conn::http1, service::service_fn,
};
use hyper_util::rt::TokioIo;
use serde_json::json;
use tokio::{
    net::TcpListener,
    sync::watch,
    time::{sleep, timeout_at},
};

/// Time until an answer, as the sheet states it.
const ANSWER_DELAY: Duration = Duration::from_millis(4);
/// Longest wait that a read may ask for.
const MAX_WAIT_MS: u64 = 30_000;

#[derive(Debug, Clone)]
struct StoredRecord {
    at: Instant,
    data: Bytes,
}

#[derive(Debug, Default)]
struct StoreState {
    topics: BTreeMap<String, Vec<StoredRecord>>,
    era: u64,
    is_away: bool,
    /// Topic whose partition is down.
    down_topic: Option<String>,
}

/// Why the store did not take an append.
#[derive(Debug, PartialEq, Eq)]
pub enum AppendError {
    Away,
    /// The topic ends elsewhere.
    Moved(u64),
}

/// The store; clones share it.
#[derive(Debug, Clone)]
pub struct StoreStandin {
    state: Arc<Mutex<StoreState>>,
    /// Counts the changes that waiting reads look at.
    changes: Arc<watch::Sender<u64>>,
    /// Counts the absences; all connections of before are closed.
    absences: Arc<watch::Sender<u64>>,
}

impl StoreStandin {
    pub async fn start(address: SocketAddr) -> std::io::Result<Self> {
        let listener = TcpListener::bind(address).await?;
        let standin = Self {
            state: Arc::default(),
            changes: Arc::new(watch::Sender::new(0)),
            absences: Arc::new(watch::Sender::new(0)),
        };
        let served = standin.clone();
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let _ = stream.set_nodelay(true);
                let served = served.clone();
                tokio::spawn(async move {
                    let mut absences = served.absences.subscribe();
                    let handler = served.clone();
                    let service = service_fn(move |request| handler.clone().answer(request));
                    let connection =
                        http1::Builder::new().serve_connection(TokioIo::new(stream), service);
                    tokio::select! {
                        _ = connection => {}
                        _ = absences.changed() => {}
                    }
                });
            }
        });
        Ok(standin)
    }

    /// Begins an absence: open connections are closed, and all calls are answered 503 until [`StoreStandin::come_back`].
    pub fn go_away(&self) {
        self.state.lock().unwrap().is_away = true;
        self.absences.send_modify(|count| *count += 1);
    }

    /// Ends the absence with a copy of the topics as they were at `copied_at`; the era rises by one.
    pub fn come_back(&self, copied_at: Instant) {
        let mut state = self.state.lock().unwrap();
        for records in state.topics.values_mut() {
            records.retain(|record| record.at <= copied_at);
        }
        state.era += 1;
        state.is_away = false;
    }

    /// Sets the keyed topic whose partition is down: calls about it are answered 503.
    pub fn set_down(&self, topic: Option<&str>) {
        let topic = topic.map(|topic| format!("keyed.{topic}"));
        self.state.lock().unwrap().down_topic = topic;
    }

    /// Writes the newest record of a key, as the operator does.
    pub async fn put(&self, topic: &str, key: &str, value: &str) -> Result<u64, AppendError> {
        sleep(ANSWER_DELAY).await;
        let mut record = BytesMut::new();
        record.put_u8(key.len() as u8);
        record.put_slice(key.as_bytes());
        record.put_slice(value.as_bytes());
        self.append(&format!("keyed.{topic}"), vec![record.freeze()], None)
    }

    /// End of a topic and the keys of its newest records.
    pub fn summary(&self, topic: &str) -> String {
        let state = self.state.lock().unwrap();
        let empty = Vec::new();
        let records = state
            .topics
            .get(&format!("keyed.{topic}"))
            .unwrap_or(&empty);
        let newest = newest_of(records);
        let newest: Vec<String> = newest
            .iter()
            .map(|(key, (offset, _))| format!("{key}@{offset}"))
            .collect();
        format!("{topic} ends at {}: {}", records.len(), newest.join(" "))
    }

    fn append(
        &self,
        topic: &str,
        records: Vec<Bytes>,
        at: Option<u64>,
    ) -> Result<u64, AppendError> {
        let mut state = self.state.lock().unwrap();
        if state.is_away {
            return Err(AppendError::Away);
        }
        let stored = state.topics.entry(topic.to_string()).or_default();
        let end = stored.len() as u64;
        if at.is_some_and(|at| at != end) {
            return Err(AppendError::Moved(end));
        }
        let now = Instant::now();
        stored.extend(
            records
                .into_iter()
                .map(|data| StoredRecord { at: now, data }),
        );
        drop(state);
        self.changes.send_modify(|count| *count += 1);
        Ok(end)
    }

    async fn answer(self, request: Request<Incoming>) -> Result<Response<Full<Bytes>>, Infallible> {
        sleep(ANSWER_DELAY).await;
        let query: BTreeMap<String, String> = request
            .uri()
            .query()
            .unwrap_or("")
            .split('&')
            .filter_map(|pair| pair.split_once('='))
            .map(|(name, value)| (name.to_string(), value.to_string()))
            .collect();
        let number = |name: &str| query.get(name).and_then(|text| text.parse::<u64>().ok());
        let topic = query.get("topic").cloned().unwrap_or_default();
        let path = request.uri().path().to_string();
        let is_down = {
            let state = self.state.lock().unwrap();
            state.is_away || state.down_topic.as_ref() == Some(&topic)
        };
        let mut response = if is_down {
            status(StatusCode::SERVICE_UNAVAILABLE)
        } else {
            match (request.method(), path.as_str()) {
                (&Method::POST, "/jayrack/log-append") => {
                    let at = number("at");
                    match request.into_body().collect().await {
                        Ok(body) => self.answer_append(&topic, body.to_bytes(), at),
                        Err(_) => status(StatusCode::BAD_REQUEST),
                    }
                }
                (&Method::GET, "/jayrack/log-read") => {
                    let wait_ms = number("wait_ms").unwrap_or(0).min(MAX_WAIT_MS);
                    self.answer_read(&topic, number("from").unwrap_or(0), wait_ms)
                        .await
                }
                (&Method::GET, "/jayrack/log-newest") => self.answer_newest(&topic),
                _ => status(StatusCode::NOT_FOUND),
            }
        };
        let era = self.state.lock().unwrap().era;
        response.headers_mut().insert("store-era", era.into());
        Ok(response)
    }

    fn answer_append(
        &self,
        topic: &str,
        mut body: Bytes,
        at: Option<u64>,
    ) -> Response<Full<Bytes>> {
        // The system may not write to the operator's topic.
        if topic == "keyed.op" {
            return status(StatusCode::FORBIDDEN);
        }
        let mut records = Vec::new();
        while body.len() >= 4 {
            let length = body.get_u32() as usize;
            if body.len() < length {
                return status(StatusCode::BAD_REQUEST);
            }
            records.push(body.split_to(length));
        }
        let count = records.len() as u64;
        match self.append(topic, records, at) {
            Ok(offset) => answer_json(
                StatusCode::OK,
                json!({"offset": offset, "end_offset": offset + count}),
            ),
            Err(AppendError::Moved(end)) => {
                answer_json(StatusCode::PRECONDITION_FAILED, json!({"end_offset": end}))
            }
            Err(AppendError::Away) => status(StatusCode::SERVICE_UNAVAILABLE),
        }
    }

    async fn answer_read(&self, topic: &str, from: u64, wait_ms: u64) -> Response<Full<Bytes>> {
        let ends_at = tokio::time::Instant::now() + Duration::from_millis(wait_ms);
        let mut changes = self.changes.subscribe();
        loop {
            let records = {
                let state = self.state.lock().unwrap();
                state.topics.get(topic).cloned().unwrap_or_default()
            };
            let end = records.len() as u64;
            if from > end {
                return answer_json(StatusCode::GONE, json!({"first_offset": 0}));
            }
            if from == end && tokio::time::Instant::now() < ends_at {
                // After the time limit, the next turn returns an empty batch.
                let _ = timeout_at(ends_at, changes.changed()).await;
                continue;
            }
            let mut body = BytesMut::new();
            body.put_u64(end);
            body.put_u64(0);
            for record in &records[from as usize..] {
                body.put_u32(record.data.len() as u32);
                body.put_slice(&record.data);
            }
            return Response::new(Full::new(body.freeze()));
        }
    }

    fn answer_newest(&self, topic: &str) -> Response<Full<Bytes>> {
        let state = self.state.lock().unwrap();
        let empty = Vec::new();
        let records = state.topics.get(topic).unwrap_or(&empty);
        let newest = newest_of(records);
        let items: Vec<serde_json::Value> = newest
            .into_iter()
            .map(|(key, (offset, value))| {
                json!({"key": key, "value": STANDARD.encode(value), "offset": offset})
            })
            .collect();
        let body = json!({"items": items, "has_more": false, "end_offset": records.len()});
        answer_json(StatusCode::OK, body)
    }
}

/// Offset and value of the newest record of each key that has a value.
fn newest_of(records: &[StoredRecord]) -> BTreeMap<String, (usize, Bytes)> {
    let mut newest = BTreeMap::new();
    for (offset, record) in records.iter().enumerate() {
        let mut data = record.data.clone();
        let length = usize::from(data.get_u8());
        let key = String::from_utf8_lossy(&data.split_to(length)).into_owned();
        if data.is_empty() {
            newest.remove(&key);
        } else {
            newest.insert(key, (offset, data));
        }
    }
    newest
}

fn status(status: StatusCode) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::default());
    *response.status_mut() = status;
    response
}

fn answer_json(code: StatusCode, body: serde_json::Value) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::from(body.to_string()));
    *response.status_mut() = code;
    response.headers_mut().insert(
        "content-type",
        hyper::header::HeaderValue::from_static("application/json"),
    );
    response
}
