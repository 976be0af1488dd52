//! Incremental check of request heads and chunk framing on a caller's connection.
use jayrack_protocol::ResultCode;

use super::strict::{self, BodyFraming};

/// Maximum number of hexadecimal digits of a chunk size.
const MAX_CHUNK_SIZE_DIGITS: usize = 8;

/// Size limits of a [`RequestScanner`].
#[derive(Debug, Clone, Copy)]
pub struct Options {
    /// Maximum size of a head, in bytes.
    pub head_bytes: usize,
    /// Maximum size of a body, in bytes.
    pub body_bytes: u64,
}

/// What the next byte belongs to.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Position {
    /// Nothing of the next request has arrived.
    BetweenRequests,
    /// The head is incomplete.
    InHead,
    /// The head is complete, the body is not.
    InBody,
}

#[derive(Debug)]
enum ScanState {
    Head,
    Length { left: u64 },
    ChunkSize { digits: Vec<u8> },
    ChunkSizeEnd { size: u64 },
    ChunkData { left: u64 },
    ChunkDataEnd { has_cr: bool },
    LastChunkEnd { has_cr: bool },
}

/// Checks heads and chunk framing; returns bytes only after their check.
#[derive(Debug)]
pub struct RequestScanner {
    options: Options,
    state: ScanState,
    head: Vec<u8>,
    body_bytes: u64,
    heads: u64,
}

impl RequestScanner {
    /// Starts before the first request.
    pub fn new(options: Options) -> Self {
        Self {
            options,
            state: ScanState::Head,
            head: Vec::new(),
            body_bytes: 0,
            heads: 0,
        }
    }

    /// Returns the number of heads that passed the checks.
    pub fn heads(&self) -> u64 {
        self.heads
    }

    /// Returns what the next byte belongs to.
    pub fn position(&self) -> Position {
        match self.state {
            ScanState::Head if self.head.is_empty() => Position::BetweenRequests,
            ScanState::Head => Position::InHead,
            _ => Position::InBody,
        }
    }

    /// Checks bytes from the caller and appends those that passed to `checked`.
    ///
    /// # Errors
    ///
    /// Returns the code to refuse the request with; nothing may be fed after that.
    pub fn feed(&mut self, mut input: &[u8], checked: &mut Vec<u8>) -> Result<(), ResultCode> {
        while !input.is_empty() {
            let taken = self.step(input, checked)?;
            input = &input[taken..];
        }
        Ok(())
    }

    fn step(&mut self, input: &[u8], checked: &mut Vec<u8>) -> Result<usize, ResultCode> {
        match &mut self.state {
            ScanState::Head => return self.step_head(input, checked),
            ScanState::Length { left } => {
                let taken = copy_data(input, left, checked);
                if *left == 0 {
                    self.state = ScanState::Head;
                }
                return Ok(taken);
            }
            ScanState::ChunkData { left } => {
                let taken = copy_data(input, left, checked);
                if *left == 0 {
                    self.state = ScanState::ChunkDataEnd { has_cr: false };
                }
                return Ok(taken);
            }
            _ => {}
        }
        self.step_chunk_framing(input[0])?;
        checked.push(input[0]);
        Ok(1)
    }

    fn step_head(&mut self, input: &[u8], checked: &mut Vec<u8>) -> Result<usize, ResultCode> {
        for (index, byte) in input.iter().enumerate() {
            self.check_head_byte(*byte)?;
            self.head.push(*byte);
            if *byte == b'\n' && self.head.ends_with(b"\r\n\r\n") {
                self.end_head(checked)?;
                return Ok(index + 1);
            }
        }
        Ok(input.len())
    }

    fn check_head_byte(&self, byte: u8) -> Result<(), ResultCode> {
        let is_bare_feed = byte == b'\n' && self.head.last() != Some(&b'\r');
        let is_bad_start = self.head.is_empty() && !strict::is_token_byte(&byte);
        if is_bare_feed || is_bad_start || byte == 0 {
            return Err(ResultCode::RequestMalformed);
        }
        if self.head.len() == self.options.head_bytes {
            return Err(ResultCode::RequestTooLarge);
        }
        Ok(())
    }

    fn end_head(&mut self, checked: &mut Vec<u8>) -> Result<(), ResultCode> {
        let framing = strict::check_head(&self.head, self.options.body_bytes)?;
        checked.append(&mut self.head);
        self.heads += 1;
        self.body_bytes = 0;
        self.state = match framing {
            BodyFraming::Length(0) => ScanState::Head,
            BodyFraming::Length(left) => ScanState::Length { left },
            BodyFraming::Chunked => ScanState::ChunkSize { digits: Vec::new() },
        };
        Ok(())
    }

    fn step_chunk_framing(&mut self, byte: u8) -> Result<(), ResultCode> {
        let next = match (&mut self.state, byte) {
            (ScanState::ChunkSize { digits }, byte)
                if byte.is_ascii_hexdigit() && digits.len() < MAX_CHUNK_SIZE_DIGITS =>
            {
                digits.push(byte);
                return Ok(());
            }
            (ScanState::ChunkSize { digits }, b'\r') => ScanState::ChunkSizeEnd {
                size: parse_chunk_size(digits)?,
            },
            (ScanState::ChunkSizeEnd { size: 0 }, b'\n') => {
                ScanState::LastChunkEnd { has_cr: false }
            }
            (ScanState::ChunkSizeEnd { size }, b'\n') => ScanState::ChunkData { left: *size },
            (ScanState::ChunkDataEnd { has_cr: false }, b'\r') => {
                ScanState::ChunkDataEnd { has_cr: true }
            }
            (ScanState::ChunkDataEnd { has_cr: true }, b'\n') => {
                ScanState::ChunkSize { digits: Vec::new() }
            }
            (ScanState::LastChunkEnd { has_cr: false }, b'\r') => {
                ScanState::LastChunkEnd { has_cr: true }
            }
            (ScanState::LastChunkEnd { has_cr: true }, b'\n') => ScanState::Head,
            _ => return Err(ResultCode::RequestMalformed),
        };
        self.state = next;
        self.count_chunk()
    }

    fn count_chunk(&mut self) -> Result<(), ResultCode> {
        if let ScanState::ChunkSizeEnd { size } = self.state {
            self.body_bytes += size;
        }
        if self.body_bytes > self.options.body_bytes {
            return Err(ResultCode::RequestTooLarge);
        }
        Ok(())
    }
}

fn copy_data(input: &[u8], left: &mut u64, checked: &mut Vec<u8>) -> usize {
    let taken = usize::try_from(*left).map_or(input.len(), |left| left.min(input.len()));
    checked.extend_from_slice(&input[..taken]);
    *left -= taken as u64;
    taken
}

fn parse_chunk_size(digits: &[u8]) -> Result<u64, ResultCode> {
    let text = std::str::from_utf8(digits).map_err(|_| ResultCode::RequestMalformed)?;
    u64::from_str_radix(text, 16).map_err(|_| ResultCode::RequestMalformed)
}
