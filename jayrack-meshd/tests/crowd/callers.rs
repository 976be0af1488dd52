//! Callers that the daemon cannot trust: raw connections whose requests need not be valid or complete.
use std::{net::SocketAddr, time::Duration};

use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
    task::JoinSet,
    time::timeout,
};

/// Time that a crowd has to send what it sends; afterwards the checks are made whatever remains unsent.
const SEND_TIMEOUT: Duration = Duration::from_secs(10);
/// Bytes of one write of a long body.
const WRITE_BYTES: usize = 64 << 10;

/// Framing of a request body.
#[derive(Debug, Clone, Copy)]
pub enum BodyFraming {
    /// `Content-Length` with this value.
    Length(usize),
    /// Chunks with this number of data bytes each.
    Chunks(usize),
}

/// What a caller sends after the head of its request.
#[derive(Debug, Clone, Copy)]
pub struct BodyPlan {
    pub framing: BodyFraming,
    /// Data bytes that are sent, which may be fewer or more than announced.
    pub sent_bytes: usize,
    /// Whether the final chunk is sent.
    pub is_complete: bool,
}

/// Open connections of a crowd; dropping it closes them.
pub struct CallerCrowd {
    streams: Vec<TcpStream>,
}

impl CallerCrowd {
    /// Lets `count` callers send a request with the header lines `fields` and a body at the same time.
    pub async fn send_bodies(
        address: SocketAddr,
        count: usize,
        fields: &str,
        plan: BodyPlan,
    ) -> Self {
        let framing = match plan.framing {
            BodyFraming::Length(length) => format!("content-length: {length}"),
            BodyFraming::Chunks(_) => "transfer-encoding: chunked".to_string(),
        };
        let head =
            format!("POST /browse/1 HTTP/1.1\r\nhost: a.example\r\n{fields}{framing}\r\n\r\n");
        let unit = unit_of(plan);
        let rounds = (plan.sent_bytes / unit.data_bytes).div_ceil(unit.per_write);
        Self::send(address, count, |caller| SendPlan {
            head: head.replace("NUMBER", &caller.to_string()).into_bytes(),
            block: unit.wire.repeat(unit.per_write),
            rounds,
            last_bytes: last_block_bytes(plan, rounds, &unit),
            ending: match (plan.framing, plan.is_complete) {
                (BodyFraming::Chunks(_), true) => b"0\r\n\r\n".to_vec(),
                (BodyFraming::Chunks(_), false) | (BodyFraming::Length(_), _) => Vec::new(),
            },
        })
        .await
    }

    /// Lets `count` callers send the same bytes at the same time.
    pub async fn send_bytes(address: SocketAddr, count: usize, bytes: Vec<u8>) -> Self {
        Self::send(address, count, |_| SendPlan {
            head: bytes.clone(),
            block: Vec::new(),
            rounds: 0,
            last_bytes: 0,
            ending: Vec::new(),
        })
        .await
    }

    async fn send(address: SocketAddr, count: usize, plan_of: impl Fn(usize) -> SendPlan) -> Self {
        let mut sending = JoinSet::new();
        for caller in 0..count {
            let plan = plan_of(caller);
            sending.spawn(async move {
                let connecting = timeout(SEND_TIMEOUT, TcpStream::connect(address));
                let mut stream = connecting.await.ok()?.ok()?;
                // A refusal may close the connection before all is sent.
                let _ = timeout(SEND_TIMEOUT, plan.write(&mut stream)).await;
                Some(stream)
            });
        }
        let streams = sending.join_all().await;
        Self {
            streams: streams.into_iter().flatten().collect(),
        }
    }

    /// Waits until each connection has received a first byte or is closed, without reading more.
    pub async fn until_answered(&mut self) {
        let mut byte = [0];
        for stream in &mut self.streams {
            let _ = timeout(SEND_TIMEOUT, stream.read(&mut byte)).await;
        }
    }

    /// Reads from all connections until the daemon has closed them; what it sends is discarded.
    pub async fn until_closed(mut self) {
        let mut discarded = [0; 4_096];
        for stream in &mut self.streams {
            while matches!(stream.read(&mut discarded).await, Ok(1..)) {}
        }
    }

    /// The first bytes of the answer to the first caller; empty if its connection is closed.
    pub async fn answer(mut self) -> String {
        let mut answer = vec![0; 4_096];
        let stream = &mut self.streams[0];
        let length = stream.read(&mut answer).await.unwrap_or(0);
        String::from_utf8_lossy(&answer[..length]).into_owned()
    }

    /// Number of connections that were opened.
    pub fn len(&self) -> usize {
        self.streams.len()
    }
}

/// Smallest part of a body on the wire.
struct BodyUnit {
    wire: Vec<u8>,
    data_bytes: usize,
    per_write: usize,
}

fn unit_of(plan: BodyPlan) -> BodyUnit {
    match plan.framing {
        BodyFraming::Length(_) => BodyUnit {
            wire: vec![b'x'],
            data_bytes: 1,
            per_write: WRITE_BYTES,
        },
        BodyFraming::Chunks(bytes) => BodyUnit {
            wire: [
                format!("{bytes:x}\r\n").into_bytes(),
                vec![b'x'; bytes],
                b"\r\n".to_vec(),
            ]
            .concat(),
            data_bytes: bytes,
            per_write: (WRITE_BYTES / (bytes + 6)).max(1),
        },
    }
}

/// Bytes of the last block, which need not be full.
fn last_block_bytes(plan: BodyPlan, rounds: usize, unit: &BodyUnit) -> usize {
    let units = plan.sent_bytes / unit.data_bytes;
    let before = rounds.saturating_sub(1) * unit.per_write;
    (units - before.min(units)) * unit.wire.len()
}

struct SendPlan {
    head: Vec<u8>,
    block: Vec<u8>,
    rounds: usize,
    last_bytes: usize,
    ending: Vec<u8>,
}

impl SendPlan {
    async fn write(&self, stream: &mut TcpStream) -> std::io::Result<()> {
        stream.write_all(&self.head).await?;
        for round in 1..=self.rounds {
            let bytes = match round == self.rounds {
                true => self.last_bytes,
                false => self.block.len(),
            };
            stream.write_all(&self.block[..bytes]).await?;
        }
        stream.write_all(&self.ending).await
    }
}
