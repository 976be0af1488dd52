//! Bytes of bodies, copied into segments whose memory the byte budget covers.
use std::collections::VecDeque;

use bytes::{Bytes, BytesMut};

use super::memory::{ByteLease, NoRoom};

/// Largest segment, in bytes.
const MAX_SEGMENT_BYTES: usize = 64 << 10;
/// First segment of a body without a stated length, in bytes; each further one is as large as all before it.
const FIRST_SEGMENT_BYTES: usize = 4 << 10;
/// Bookkeeping of a segment, in bytes: its entry in the list, its reference count, and the allocator's share.
const SEGMENT_OVERHEAD_BYTES: usize = 128;

/// Received bytes of one body.
///
/// Data are copied, so that a chunk of one byte costs one byte, and no buffer of the connection stays in use. The memory
/// of a segment, not of the data in it, is taken from the budget before the segment is allocated.
#[derive(Debug)]
pub struct SegmentBuffer {
    lease: ByteLease,
    stated_bytes: Option<usize>,
    segments: VecDeque<Bytes>,
    open: BytesMut,
    open_bytes: usize,
    received_bytes: usize,
    length: usize,
}

impl SegmentBuffer {
    /// Creates an empty buffer; its memory is taken by `lease`. Segments are sized by `stated_bytes` if that is known.
    pub fn new(lease: ByteLease, stated_bytes: Option<u64>) -> Self {
        Self {
            lease,
            stated_bytes: stated_bytes.and_then(|bytes| usize::try_from(bytes).ok()),
            segments: VecDeque::new(),
            open: BytesMut::new(),
            open_bytes: 0,
            received_bytes: 0,
            length: 0,
        }
    }

    /// Number of bytes in the buffer.
    pub fn len(&self) -> usize {
        self.length
    }

    /// Whether there are no bytes in the buffer.
    pub fn is_empty(&self) -> bool {
        self.length == 0
    }

    /// The lease that takes the memory of the buffer.
    pub fn lease(&self) -> &ByteLease {
        &self.lease
    }

    /// Appends `data`; waits for a short time if a stalled body gives way.
    ///
    /// # Errors
    ///
    /// Returns [`NoRoom`] if the budget has no room; a part of `data` may have been appended.
    pub async fn append(&mut self, data: &[u8]) -> Result<(), NoRoom> {
        let mut rest = self.fill(data);
        while !rest.is_empty() {
            let segment_bytes = self.next_segment_bytes();
            self.lease.grow(cost_of(segment_bytes)).await?;
            self.open_segment(segment_bytes);
            rest = self.fill(rest);
        }
        Ok(())
    }

    /// Appends as much of `data` as the budget has room for at once; returns whether that was all of it.
    ///
    /// Without room, the rest stays in the buffer of the connection that received it.
    pub fn try_append(&mut self, data: &Bytes) -> bool {
        let mut rest = self.fill(data);
        while !rest.is_empty() {
            let segment_bytes = self.next_segment_bytes();
            if !self.lease.try_grow(cost_of(segment_bytes)) {
                let rest = data.slice_ref(rest);
                self.length += rest.len();
                self.received_bytes += rest.len();
                self.seal();
                self.segments.push_back(rest);
                return false;
            }
            self.open_segment(segment_bytes);
            rest = self.fill(rest);
        }
        true
    }

    /// Removes and returns the first bytes; `None` if the buffer is empty.
    pub fn pop_front(&mut self) -> Option<Bytes> {
        if self.segments.is_empty() {
            self.seal();
        }
        let segment = self.segments.pop_front()?;
        self.length -= segment.len();
        Some(segment)
    }

    /// Ends the buffer; returns its segments and the lease that covers them.
    pub fn close(mut self) -> (Vec<Bytes>, ByteLease) {
        self.seal();
        (self.segments.into(), self.lease)
    }

    /// Copies what fits into the open segment; returns the rest.
    fn fill<'a>(&mut self, data: &'a [u8]) -> &'a [u8] {
        let free_bytes = self.open_bytes - self.open.len();
        let (taken, rest) = data.split_at(free_bytes.min(data.len()));
        self.open.extend_from_slice(taken);
        self.length += taken.len();
        self.received_bytes += taken.len();
        rest
    }

    fn next_segment_bytes(&self) -> usize {
        let bytes = match self.stated_bytes {
            Some(stated_bytes) => stated_bytes.saturating_sub(self.received_bytes),
            None => self.received_bytes + FIRST_SEGMENT_BYTES,
        };
        // A body that is longer than stated is malformed; the connection reports that before.
        bytes.clamp(1, MAX_SEGMENT_BYTES)
    }

    fn open_segment(&mut self, bytes: usize) {
        self.seal();
        self.open = BytesMut::with_capacity(bytes);
        self.open_bytes = bytes;
    }

    /// Moves the open segment to the complete ones.
    fn seal(&mut self) {
        let sealed = std::mem::take(&mut self.open);
        self.open_bytes = 0;
        if !sealed.is_empty() {
            self.segments.push_back(sealed.freeze());
        }
    }
}

/// Memory of a segment in the budget.
fn cost_of(segment_bytes: usize) -> u64 {
    (segment_bytes + SEGMENT_OVERHEAD_BYTES) as u64
}
