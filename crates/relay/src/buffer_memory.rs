//! Bounds the memory of what callers and targets have sent and this node still holds: heads that are incomplete, bodies that
//! are read completely before they are used or forwarded, and parts of streams.
//!
//! A bound on each buffer is not enough, since a node has hundreds of connections. Buffers beyond a small size count in a
//! total, so that large ones do not keep usual ones out.

#[cfg(test)]
mod tests;

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

use bytes::{Bytes, BytesMut};
use tokio::sync::Notify;

/// Size in bytes up to which a body is not counted.
const UNCOUNTED_BODY_BYTES: usize = 64 * 1024;
/// Size in bytes up to which a head is not counted.
const UNCOUNTED_HEAD_BYTES: usize = 16 * 1024;
/// Number of bytes up to which a stream is not counted. Its events hold a few tokens each.
const UNCOUNTED_STREAM_BYTES: usize = 16 * 1024;
/// Size in bytes from which on a part of a stream is counted until its caller has taken it.
const MIN_COUNTED_PART_BYTES: usize = 4 * 1024;
/// Number of bytes in parts that a caller has not taken at which no more is read from the target.
const MAX_UNTAKEN_BYTES: usize = 64 * 1024;

/// Which maximum a buffer exceeds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BufferOverflow {
    /// That of one body.
    Body,
    /// That of all buffers together.
    Total,
}

/// Number of bytes that all counted buffers of one kind take, and its maximum.
#[derive(Clone, Debug)]
pub struct BufferMemory {
    total: Arc<AtomicUsize>,
    max_total: usize,
}

impl BufferMemory {
    /// Creates a memory for buffers of `max_total` bytes together.
    #[must_use]
    pub fn new(max_total: usize) -> Self {
        Self { total: Arc::default(), max_total }
    }

    fn total(&self) -> usize {
        self.total.load(Ordering::Relaxed)
    }

    /// Changes what a buffer counts.
    fn replace(&self, counted_before: usize, counted: usize) {
        if counted >= counted_before {
            self.total.fetch_add(counted - counted_before, Ordering::Relaxed);
        } else {
            self.total.fetch_sub(counted_before - counted, Ordering::Relaxed);
        }
    }
}

/// A body that is being read. Its memory counts until the bytes made of it are dropped.
#[derive(Debug)]
pub struct BodyBuffer {
    memory: BufferMemory,
    max_bytes: usize,
    counted: usize,
    bytes: BytesMut,
}

impl BodyBuffer {
    /// Creates an empty buffer for up to `max_bytes` bytes that counts in `memory`.
    #[must_use]
    pub fn new(memory: &BufferMemory, max_bytes: usize) -> Self {
        Self { memory: memory.clone(), max_bytes, counted: 0, bytes: BytesMut::new() }
    }

    /// Appends received bytes.
    ///
    /// # Errors
    ///
    /// `Body` if the body exceeds its maximum, `Total` if all bodies together exceed theirs.
    pub fn push(&mut self, data: &[u8]) -> Result<(), BufferOverflow> {
        let length = self.bytes.len() + data.len();
        if length > self.max_bytes {
            return Err(BufferOverflow::Body);
        }
        if length > self.bytes.capacity() {
            let capacity = length.max(self.bytes.capacity() * 2).min(self.max_bytes);
            self.count(capacity)?;
            self.bytes.reserve(capacity - self.bytes.len());
        }
        self.bytes.extend_from_slice(data);
        Ok(())
    }

    fn count(&mut self, capacity: usize) -> Result<(), BufferOverflow> {
        let counted = capacity.saturating_sub(UNCOUNTED_BODY_BYTES).max(self.counted);
        if self.memory.total() + counted - self.counted > self.memory.max_total {
            return Err(BufferOverflow::Total);
        }
        self.memory.replace(self.counted, counted);
        self.counted = counted;
        Ok(())
    }

    /// Returns the number of bytes in the buffer.
    #[must_use]
    pub fn byte_count(&self) -> usize {
        self.bytes.len()
    }

    /// Returns the body.
    #[must_use]
    pub fn into_bytes(self) -> Bytes {
        Bytes::from_owner(self)
    }
}

impl AsRef<[u8]> for BodyBuffer {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}

impl Drop for BodyBuffer {
    fn drop(&mut self) {
        self.memory.replace(self.counted, 0);
    }
}

/// Bytes of a request's head that is incomplete.
#[derive(Debug)]
pub struct HeadMemory {
    memory: BufferMemory,
    bytes: usize,
    counted: usize,
}

impl HeadMemory {
    /// Creates a head of which nothing has arrived and that counts in `memory`.
    #[must_use]
    pub fn new(memory: &BufferMemory) -> Self {
        Self { memory: memory.clone(), bytes: 0, counted: 0 }
    }

    /// Counts bytes that have arrived.
    ///
    /// # Errors
    ///
    /// `Total` if all buffers together exceed their maximum.
    pub fn add(&mut self, bytes: usize) -> Result<(), BufferOverflow> {
        self.bytes += bytes;
        // The buffer of a head doubles as it grows.
        let counted = self.bytes.saturating_sub(UNCOUNTED_HEAD_BYTES) * 2;
        if counted > self.counted && self.memory.total() + counted - self.counted > self.memory.max_total {
            return Err(BufferOverflow::Total);
        }
        self.memory.replace(self.counted, counted);
        self.counted = counted;
        Ok(())
    }

    /// Counts nothing any more: the head is complete.
    pub fn clear(&mut self) {
        self.memory.replace(self.counted, 0);
        (self.bytes, self.counted) = (0, 0);
    }
}

impl Drop for HeadMemory {
    fn drop(&mut self) {
        self.clear();
    }
}

/// Bytes that one stream holds: those of the event that is incomplete, and of parts that its caller has not taken.
#[derive(Clone, Debug)]
pub struct StreamMemory {
    memory: BufferMemory,
    held: Arc<AtomicUsize>,
    /// Those of parts alone.
    untaken: Arc<AtomicUsize>,
    part_taken: Arc<Notify>,
}

impl StreamMemory {
    /// Creates a stream that holds nothing and counts in `memory`.
    #[must_use]
    pub fn new(memory: &BufferMemory) -> Self {
        Self { memory: memory.clone(), held: Arc::default(), untaken: Arc::default(), part_taken: Arc::default() }
    }

    /// Counts `size` more bytes until the returned value is dropped.
    #[must_use]
    pub fn hold(&self, size: usize) -> HeldBytes {
        let mut held = HeldBytes { stream: self.clone(), size: 0 };
        held.resize(size);
        held
    }

    /// Returns `bytes` as a part that counts until its caller has taken it.
    #[must_use]
    pub fn hold_part(&self, bytes: Vec<u8>) -> Bytes {
        if bytes.len() < MIN_COUNTED_PART_BYTES {
            return Bytes::from(bytes);
        }
        self.untaken.fetch_add(bytes.len(), Ordering::Relaxed);
        Bytes::from_owner(HeldPart { held: self.hold(bytes.len()), bytes })
    }

    /// Returns whether the stream is large and all buffers together exceed their maximum, so that it should end.
    #[must_use]
    pub fn is_exceeded(&self) -> bool {
        self.held() > UNCOUNTED_STREAM_BYTES && self.memory.total() > self.memory.max_total
    }

    /// Waits until the caller has taken so much that more may be read.
    pub async fn wait_for_room(&self) {
        while self.untaken.load(Ordering::Relaxed) > MAX_UNTAKEN_BYTES {
            self.part_taken.notified().await;
        }
    }

    fn held(&self) -> usize {
        self.held.load(Ordering::Relaxed)
    }

    fn change_held(&self, before: usize, after: usize) {
        let held_before = self.held();
        let held = held_before + after - before;
        self.held.store(held, Ordering::Relaxed);
        let counted = |held: usize| held.saturating_sub(UNCOUNTED_STREAM_BYTES);
        self.memory.replace(counted(held_before), counted(held));
    }
}

/// Bytes of a stream that count until this is dropped.
#[derive(Debug)]
pub struct HeldBytes {
    stream: StreamMemory,
    size: usize,
}

impl HeldBytes {
    /// Changes the number of bytes.
    pub fn resize(&mut self, size: usize) {
        self.stream.change_held(self.size, size);
        self.size = size;
    }
}

impl Drop for HeldBytes {
    fn drop(&mut self) {
        self.resize(0);
    }
}

/// A part of a stream that counts until it is dropped.
struct HeldPart {
    bytes: Vec<u8>,
    held: HeldBytes,
}

impl Drop for HeldPart {
    fn drop(&mut self) {
        let stream = &self.held.stream;
        stream.untaken.fetch_sub(self.bytes.len(), Ordering::Relaxed);
        stream.part_taken.notify_one();
    }
}

impl AsRef<[u8]> for HeldPart {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}
