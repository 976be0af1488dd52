//! Clients that send requests to the daemon on their own machine.
use std::{
    net::SocketAddr,
    sync::Arc,
    thread::{self, JoinHandle},
    time::{Duration, Instant},
};

use crate::{
    http::{self, Message},
    record::{Record, Seen},
};

/// A client's requests, each on a new connection; it does not retry.
#[derive(Debug, Clone)]
pub struct Client {
    pub name: String,
    pub outbound: SocketAddr,
    pub method: &'static str,
    pub path: &'static str,
    pub deadline: Duration,
    /// Time between the end of a request and the start of the next one.
    pub pause: Duration,
    /// Least time between the starts of two requests.
    pub period: Duration,
    pub until: Instant,
}

impl Client {
    /// Sends requests until the end of the client's time.
    pub fn start(self, record: &Arc<Record>) -> JoinHandle<()> {
        let record = record.clone();
        thread::spawn(move || {
            let mut number = 0;
            while Instant::now() < self.until {
                number += 1;
                let id = format!("{}-{number}", self.name);
                let started = Instant::now();
                self.ask(&id, &record);
                thread::sleep(
                    self.pause
                        .max(self.period.saturating_sub(started.elapsed())),
                );
            }
        })
    }

    /// Sends one request.
    pub fn ask(&self, id: &str, record: &Record) -> Option<Message> {
        let body = match self.method {
            "GET" => String::new(),
            _ => format!("the body of {id}"),
        };
        let length = match self.method {
            "GET" => String::new(),
            _ => format!("Content-Length: {}\r\n", body.len()),
        };
        let request = format!(
            "{} {} HTTP/1.1\r\nHost: a.example\r\nX-Attempt-Id: {id}\r\nX-Deadline-Ms: {}\r\n{length}Connection: close\r\n\r\n{body}",
            self.method,
            self.path,
            self.deadline.as_millis()
        );
        record.add(&self.name, id, Seen::Sent, self.path);
        let answer = http::exchange(self.outbound, request.as_bytes(), self.deadline);
        let status = answer
            .as_ref()
            .filter(|answer| answer.is_complete)
            .map(|answer| answer.status);
        let detail = answer.as_ref().map_or("no head".to_string(), |answer| {
            let signature = answer.field("x-response-signature").unwrap_or("none");
            let bytes = answer.body.len();
            format!(
                "status {}, {bytes} bytes, signature {signature}",
                answer.status
            )
        });
        record.add(&self.name, id, Seen::Answered(status), &detail);
        answer
    }
}
