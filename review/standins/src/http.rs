//! The part of HTTP/1.1 that the stand-ins need.
use std::{
    io::{Read, Write},
    net::{SocketAddr, TcpStream},
    time::{Duration, Instant},
};

/// Longest head that is read, in bytes.
const MAX_HEAD_BYTES: usize = 64 << 10;

/// A message, read from a connection.
#[derive(Debug, Clone, Default)]
pub struct Message {
    /// Request line or status line.
    pub start: String,
    pub fields: Vec<(String, String)>,
    pub body: Vec<u8>,
    /// Status of an answer; 0 for a request.
    pub status: u16,
    /// Whether the body ended as its framing says.
    pub is_complete: bool,
}

impl Message {
    /// Value of a header field; the name is given in lower case.
    pub fn field(&self, name: &str) -> Option<&str> {
        let found = self.fields.iter().find(|(field, _)| field == name);
        found.map(|(_, value)| value.as_str())
    }
}

/// Buffered reader of a connection.
pub struct Reader {
    pub stream: TcpStream,
    unread: Vec<u8>,
}

impl Reader {
    pub fn new(stream: TcpStream) -> Self {
        Self {
            stream,
            unread: Vec::new(),
        }
    }

    fn fill(&mut self) -> bool {
        let mut buffer = [0; 16 << 10];
        match self.stream.read(&mut buffer) {
            Ok(count @ 1..) => {
                self.unread.extend_from_slice(&buffer[..count]);
                true
            }
            _ => false,
        }
    }

    fn line(&mut self) -> Option<String> {
        loop {
            if let Some(end) = self.unread.iter().position(|byte| *byte == b'\n') {
                let line: Vec<u8> = self.unread.drain(..=end).collect();
                return Some(String::from_utf8_lossy(&line).trim_end().to_string());
            }
            if self.unread.len() > MAX_HEAD_BYTES || !self.fill() {
                return None;
            }
        }
    }

    fn exact(&mut self, count: usize) -> Option<Vec<u8>> {
        while self.unread.len() < count {
            if !self.fill() {
                return None;
            }
        }
        Some(self.unread.drain(..count).collect())
    }

    /// Reads the head of a message; `None` if the connection ends before.
    pub fn head(&mut self) -> Option<Message> {
        let start = self.line()?;
        let mut message = Message {
            status: start
                .strip_prefix("HTTP/1.1 ")
                .and_then(|rest| rest.get(..3)?.parse().ok())
                .unwrap_or(0),
            start,
            ..Message::default()
        };
        loop {
            let line = self.line()?;
            if line.is_empty() {
                return Some(message);
            }
            let (name, value) = line.split_once(':')?;
            let field = (name.to_ascii_lowercase(), value.trim().to_string());
            message.fields.push(field);
        }
    }

    /// Reads a message with its body. An answer without a length ends with the connection.
    pub fn message(&mut self) -> Option<Message> {
        let mut message = self.head()?;
        if message.field("transfer-encoding").is_some() {
            loop {
                let Some(line) = self.line() else {
                    return Some(message);
                };
                let Ok(size) = usize::from_str_radix(&line, 16) else {
                    return Some(message);
                };
                let Some(chunk) = self.exact(size + 2) else {
                    return Some(message);
                };
                message.body.extend_from_slice(&chunk[..size]);
                if size == 0 {
                    message.is_complete = true;
                    return Some(message);
                }
            }
        }
        let length = message.field("content-length");
        match length.and_then(|length| length.parse().ok()) {
            Some(length) => match self.exact(length) {
                Some(body) => {
                    message.body = body;
                    message.is_complete = true;
                }
                None => message.body = std::mem::take(&mut self.unread),
            },
            None if message.status > 0 => {
                while self.fill() {}
                message.body = std::mem::take(&mut self.unread);
                message.is_complete = true;
            }
            None => message.is_complete = true,
        }
        Some(message)
    }
}

/// Sends a request on a new connection and reads the answer; `None` without a complete head in time.
pub fn exchange(address: SocketAddr, request: &[u8], limit: Duration) -> Option<Message> {
    let started = Instant::now();
    let mut stream = TcpStream::connect_timeout(&address, limit).ok()?;
    let left = limit.checked_sub(started.elapsed())?;
    stream
        .set_read_timeout(Some(left.max(Duration::from_millis(1))))
        .ok()?;
    stream.set_nodelay(true).ok()?;
    stream.write_all(request).ok()?;
    Reader::new(stream).message()
}
