//! Backend server stand-in.
use std::{
    io::Write,
    net::{TcpListener, TcpStream},
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    thread,
    time::{Duration, SystemTime, UNIX_EPOCH},
};

use crate::{
    fleet::{self, Host, SetupResult},
    http::{Message, Reader},
    record::{Record, Seen},
};

/// Interval between two status reports.
const REPORT_INTERVAL: Duration = Duration::from_millis(1_500);

/// Length in the head of an answer that overstates it.
const OVERSTATED_BYTES: usize = 1_000_000_000_000;

/// What a server does with a request that is addressed to it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Reaction {
    /// Runs it and answers.
    Run,
    /// Refuses it without running it, as a full server does.
    Refuse,
    /// Refuses it, and sends the refusal once more where the next answer on the connection is expected.
    RefuseTwice,
    /// Runs it, states a length of a terabyte in the answer's head and closes the connection after the usual body.
    Overstate,
}

/// Decides what the server does with the request of the given number.
pub type Reacting = Box<dyn Fn(u64) -> Reaction + Send + Sync>;

/// A server that listens beside a daemon and reports to it.
pub struct Server {
    pub host: Host,
    pub instance: String,
    born_ms: u64,
    slots: u32,
    work: Duration,
    /// Least size of the body of an answer, in bytes.
    body_bytes: usize,
    reacting: Reacting,
    record: Arc<Record>,
    sequence: AtomicU64,
    requests: AtomicU64,
    is_ended: AtomicBool,
    state: Mutex<&'static str>,
}

impl Server {
    /// Starts a server of `host` that works for the time `work` on each request and answers with at least the number
    /// of bytes beside it.
    pub fn start(
        host: &Host,
        slots: u32,
        (work, body_bytes): (Duration, usize),
        reacting: Reacting,
        record: &Arc<Record>,
    ) -> SetupResult<Arc<Self>> {
        let born = SystemTime::now().duration_since(UNIX_EPOCH);
        let server = Arc::new(Self {
            host: host.clone(),
            instance: format!("i-{}", host.name),
            born_ms: born.map_or(1, |born| born.as_millis() as u64),
            slots,
            work,
            body_bytes,
            reacting,
            record: record.clone(),
            sequence: AtomicU64::new(0),
            requests: AtomicU64::new(0),
            is_ended: AtomicBool::new(false),
            state: Mutex::new("ready"),
        });
        let listener = TcpListener::bind(host.server()).map_err(|error| error.to_string())?;
        let accepting = server.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let serving = accepting.clone();
                thread::spawn(move || serving.serve(stream));
            }
        });
        let reporting = server.clone();
        thread::spawn(move || {
            while !reporting.is_ended.load(Ordering::Relaxed) {
                reporting.send_report(&reporting.next_report());
                thread::sleep(REPORT_INTERVAL);
            }
        });
        Ok(server)
    }

    /// Body of the next status report.
    pub fn next_report(&self) -> String {
        let state = *self.state.lock().expect("no thread panics with the lock");
        format!(
            r#"{{"service":"{}","address":"{}","zone":"{}","version":"v1","slots":{},"state":"{state}","warmup_left_s":0,"sequence":{},"born":{}}}"#,
            self.host.service,
            self.host.server(),
            self.host.zone,
            self.slots,
            self.sequence.fetch_add(1, Ordering::Relaxed) + 1,
            self.born_ms
        )
    }

    /// Sends a status report; returns whether it was acknowledged.
    pub fn send_report(&self, body: &str) -> bool {
        fleet::report(&self.host, "heartbeat", &self.instance, body)
    }

    /// Body of a status report by another writer, which does not state the zone and the version and counts its reports
    /// from another number on.
    pub fn foreign_report(&self, sequence: u64) -> String {
        format!(
            r#"{{"service":"{}","address":"{}","slots":{},"state":"ready","warmup_left_s":0,"sequence":{sequence},"born":{}}}"#,
            self.host.service,
            self.host.server(),
            self.slots,
            self.born_ms
        )
    }

    /// Reports the server as draining; returns whether that was acknowledged.
    pub fn drain(&self) -> bool {
        *self.state.lock().expect("no thread panics with the lock") = "draining";
        self.send_report(&self.next_report())
    }

    /// Deregisters the server, which goes on serving; returns whether that was acknowledged.
    pub fn leave(&self) -> bool {
        let body = format!(r#"{{"born":{}}}"#, self.born_ms);
        fleet::report(&self.host, "deregister", &self.instance, &body)
    }

    /// Ends the status reports.
    pub fn end(&self) {
        self.is_ended.store(true, Ordering::Relaxed);
    }

    fn serve(&self, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let Ok(mut writer) = stream.try_clone() else {
            return;
        };
        let mut reader = Reader::new(stream);
        let mut late_copy: Option<&'static str> = None;
        while let Some(request) = reader.message().filter(|request| request.is_complete) {
            let id = request.field("x-attempt-id").unwrap_or("-").to_string();
            if let Some(copy) = late_copy.take() {
                self.add(
                    &id,
                    Seen::Note,
                    "a late copy of the refusal before is sent here",
                );
                if writer.write_all(copy.as_bytes()).is_err() {
                    return;
                }
            }
            let is_sent = self.answer(&request, &id, &mut writer, &mut late_copy);
            if !is_sent {
                return;
            }
        }
    }

    fn answer(
        &self,
        request: &Message,
        id: &str,
        writer: &mut TcpStream,
        late_copy: &mut Option<&'static str>,
    ) -> bool {
        const REFUSAL: &str =
            "HTTP/1.1 503 Service Unavailable\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n";
        if request
            .field("x-expected-instance")
            .is_some_and(|expected| expected != self.instance)
        {
            self.add(id, Seen::NotRun, "another instance is expected");
            let answer = format!(
                "HTTP/1.1 421 Misdirected Request\r\nX-Instance-Id: {}\r\nContent-Length: 0\r\n\r\n",
                self.instance
            );
            return writer.write_all(answer.as_bytes()).is_ok();
        }
        let number = self.requests.fetch_add(1, Ordering::Relaxed);
        let reaction = (self.reacting)(number);
        if matches!(reaction, Reaction::Refuse | Reaction::RefuseTwice) {
            self.add(id, Seen::NotRun, "refused");
            if reaction == Reaction::RefuseTwice {
                *late_copy = Some(REFUSAL);
            }
            return writer.write_all(REFUSAL.as_bytes()).is_ok();
        }
        self.add(id, Seen::Run, &request.start);
        thread::sleep(self.work);
        let text = format!("the answer to {id};");
        let body = text.repeat(self.body_bytes / text.len() + 1);
        let length = match reaction {
            Reaction::Overstate => OVERSTATED_BYTES,
            _ => body.len(),
        };
        let answer = format!(
            "HTTP/1.1 200 OK\r\nX-Attempt-Id: {id}\r\nX-Response-Signature: signed.{id}\r\nContent-Length: {length}\r\n\r\n{body}"
        );
        let is_sent = writer.write_all(answer.as_bytes()).is_ok();
        if reaction == Reaction::Overstate {
            self.add(
                id,
                Seen::Note,
                "the answer is truncated; its head states a terabyte",
            );
            return false;
        }
        is_sent
    }

    fn add(&self, id: &str, seen: Seen, detail: &str) {
        self.record.add(&self.instance, id, seen, detail);
    }
}
