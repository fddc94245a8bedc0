//! Transfer of large blobs between nodes in chunks that depend on the content alone.
//!
//! The sender describes a blob by an outline: the hashes of its chunks in order. The receiver takes the chunks that it
//! already has, from an older blob or an interrupted transfer, and asks for the others in parts. A part that does not
//! arrive costs its own bytes only, and is asked for again in a smaller size.

use std::collections::{HashMap, HashSet, VecDeque};
use std::ops::Range;
use std::sync::Arc;

use fastcdc::v2020::FastCDC;

use crate::names::stable_hash;
use crate::relay::rows::TableId;
use crate::relay::store_version::StoreVersion;

/// Least and largest average size of chunks in bytes. The least holds some routes of a document; it is more in a large
/// blob, so that its outline stays small.
const MIN_AVERAGE_BYTES: usize = 1_024;
const MAX_AVERAGE_BYTES: usize = 4_096;
/// Number of chunks of average size up to which their size is not increased.
const USUAL_CHUNK_COUNT: usize = 4_096;
/// Divisor of the average size that gives the minimum size of a chunk, and multiple that gives the maximum.
const CHUNK_SIZE_SPREAD: usize = 4;
/// Maximum size in bytes of the chunks in one part. A link of 10 Mbit/s carries it in 50 ms.
pub const MAX_PART_BYTES: usize = 65_536;
/// Size in bytes down to which parts are halved after failures.
const MIN_PART_BYTES: usize = MIN_AVERAGE_BYTES / CHUNK_SIZE_SPREAD;

/// Hash of a chunk, by which nodes recognise content that they have.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ChunkHash(pub u64);

impl ChunkHash {
    fn of(chunk: &[u8]) -> Self {
        Self(stable_hash(&[chunk]))
    }
}

/// Describes a blob by its chunks.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct BlobOutline {
    /// Hash and length in bytes of each chunk, in order.
    pub chunks: Vec<(ChunkHash, u32)>,
    /// Hash of the whole blob.
    pub checksum: u64,
    /// Average size in bytes by which the blob was divided. Only blobs that are divided alike share chunks.
    pub average_bytes: u32,
}

impl BlobOutline {
    /// Returns the size of the blob in bytes.
    #[must_use]
    pub fn byte_count(&self) -> usize {
        self.chunks.iter().map(|(_, length)| *length as usize).sum()
    }
}

/// A blob with an index of its chunks.
#[derive(Clone, Debug)]
pub struct ChunkedBlob {
    bytes: Arc<[u8]>,
    outline: BlobOutline,
    ranges: HashMap<ChunkHash, Range<usize>>,
}

impl ChunkedBlob {
    /// Divides a blob into chunks of a size that suits it.
    #[must_use]
    pub fn new(bytes: &[u8]) -> Self {
        let average_bytes = (bytes.len() / USUAL_CHUNK_COUNT).next_power_of_two();
        Self::with_average(bytes, average_bytes.clamp(MIN_AVERAGE_BYTES, MAX_AVERAGE_BYTES))
    }

    /// Divides a blob of this node as the sender of `outline` has divided another one.
    #[must_use]
    pub fn divided_like(outline: &BlobOutline, bytes: &[u8]) -> Self {
        Self::with_average(bytes, (outline.average_bytes as usize).clamp(MIN_AVERAGE_BYTES, MAX_AVERAGE_BYTES))
    }

    fn with_average(bytes: &[u8], average_bytes: usize) -> Self {
        let mut outline =
            BlobOutline { chunks: Vec::new(), checksum: stable_hash(&[bytes]), average_bytes: average_bytes as u32 };
        let mut ranges = HashMap::new();
        let (min_bytes, max_bytes) = (average_bytes / CHUNK_SIZE_SPREAD, average_bytes * CHUNK_SIZE_SPREAD);
        for cut in FastCDC::new(bytes, min_bytes, average_bytes, max_bytes) {
            let range = cut.offset..cut.offset + cut.length;
            let hash = ChunkHash::of(&bytes[range.clone()]);
            outline.chunks.push((hash, cut.length as u32));
            ranges.insert(hash, range);
        }
        Self { bytes: Arc::from(bytes), outline, ranges }
    }

    /// Returns the outline of the blob.
    #[must_use]
    pub fn outline(&self) -> &BlobOutline {
        &self.outline
    }

    /// Returns the chunk with this hash, or `None` if the blob has none.
    #[must_use]
    pub fn chunk(&self, hash: ChunkHash) -> Option<&[u8]> {
        self.ranges.get(&hash).map(|range| &self.bytes[range.clone()])
    }
}

/// Changes of a table that a peer asked for: the table, the version of the peer's copy and that of the sender's.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct BlobKey {
    /// The table.
    pub table: TableId,
    /// Store version of the receiver's copy.
    pub have: StoreVersion,
    /// Store version of the sender's copy.
    pub version: StoreVersion,
}

/// Blobs that a node has described to peers and whose chunks they may ask for, oldest first.
#[derive(Debug, Default)]
pub struct BlobCache {
    blobs: VecDeque<(BlobKey, Arc<ChunkedBlob>)>,
}

impl BlobCache {
    /// Maximum number of blobs.
    const MAX_BLOBS: usize = 8;
    /// Size in bytes of all blobs above which the oldest are dropped. The newest one stays, whatever its size.
    const MAX_BYTES: usize = 16 * 1024 * 1024;

    /// Returns the blob with this key, which `build` makes if it is not in the cache.
    pub fn get_or_insert_with(&mut self, key: BlobKey, build: impl FnOnce() -> ChunkedBlob) -> Arc<ChunkedBlob> {
        if let Some((_, blob)) = self.blobs.iter().find(|(other, _)| *other == key) {
            return blob.clone();
        }
        let blob = Arc::new(build());
        self.blobs.push_back((key, blob.clone()));
        while self.blobs.len() > Self::MAX_BLOBS || (self.blobs.len() > 1 && self.byte_count() > Self::MAX_BYTES) {
            self.blobs.pop_front();
        }
        blob
    }

    /// Returns the chunks among `hashes` that are in the cache, up to `MAX_PART_BYTES` but at least one.
    #[must_use]
    pub fn chunks(&self, table: TableId, hashes: &[ChunkHash]) -> Vec<Vec<u8>> {
        let blobs = || self.blobs.iter().rev().filter(|(key, _)| key.table == table);
        let mut byte_count = 0;
        let found = hashes.iter().filter_map(|hash| blobs().find_map(|(_, blob)| blob.chunk(*hash)));
        let fits = |chunk: &&[u8]| {
            byte_count += chunk.len();
            byte_count <= MAX_PART_BYTES || byte_count == chunk.len()
        };
        found.take_while(fits).map(<[u8]>::to_vec).collect()
    }

    fn byte_count(&self) -> usize {
        self.blobs.iter().map(|(_, blob)| blob.bytes.len()).sum()
    }
}

/// A blob that is being received. It stays when a transfer is interrupted, and goes on with the next outline.
#[derive(Debug)]
pub struct BlobAssembly {
    outline: BlobOutline,
    chunks: HashMap<ChunkHash, Vec<u8>>,
    part_bytes: usize,
    /// Bytes received from peers since the last complete blob.
    pub received_bytes: usize,
}

impl Default for BlobAssembly {
    fn default() -> Self {
        Self { outline: BlobOutline::default(), chunks: HashMap::new(), part_bytes: MAX_PART_BYTES, received_bytes: 0 }
    }
}

impl BlobAssembly {
    /// Expects the blob with this outline from now on. Takes the chunks that it shares with `own`, a blob of this node,
    /// and keeps those that were received before.
    pub fn expect(&mut self, outline: BlobOutline, own: &ChunkedBlob) {
        let expected: HashSet<ChunkHash> = outline.chunks.iter().map(|(hash, _)| *hash).collect();
        self.chunks.retain(|hash, _| expected.contains(hash));
        for hash in expected {
            if let Some(chunk) = own.chunk(hash) {
                self.chunks.entry(hash).or_insert_with(|| chunk.to_vec());
            }
        }
        self.outline = outline;
    }

    /// Returns the next chunks to ask for, or none if all are here.
    #[must_use]
    pub fn next_part(&self) -> Vec<ChunkHash> {
        let mut byte_count = 0;
        let (mut part, mut known) = (Vec::new(), HashSet::new());
        for (hash, length) in &self.outline.chunks {
            if self.chunks.contains_key(hash) || !known.insert(*hash) {
                continue;
            }
            byte_count += *length as usize;
            if byte_count > self.part_bytes && !part.is_empty() {
                break;
            }
            part.push(*hash);
        }
        part
    }

    /// Adds the chunks of a part, and returns whether any of them was missing. Other parts may be larger again.
    pub fn add_part(&mut self, chunks: Vec<Vec<u8>>) -> bool {
        let missing: HashSet<ChunkHash> = self.next_part().into_iter().collect();
        let mut is_new = false;
        for chunk in chunks {
            let hash = ChunkHash::of(&chunk);
            if missing.contains(&hash) {
                self.received_bytes += chunk.len();
                is_new |= self.chunks.insert(hash, chunk).is_none();
            }
        }
        if is_new {
            self.part_bytes = (self.part_bytes * 2).min(MAX_PART_BYTES);
        }
        is_new
    }

    /// Records that a part did not arrive in time. The next one is smaller.
    pub fn record_failure(&mut self) {
        self.part_bytes = (self.part_bytes / 2).max(MIN_PART_BYTES);
    }

    /// Returns the blob if all chunks are here, and starts over. Returns `None` if chunks are missing, or if the blob
    /// differs from what its sender described.
    pub fn finish(&mut self) -> Option<Vec<u8>> {
        let chunks: Option<Vec<&[u8]>> =
            self.outline.chunks.iter().map(|(hash, _)| self.chunks.get(hash).map(Vec::as_slice)).collect();
        let blob = chunks?.concat();
        let is_intact = stable_hash(&[&blob]) == self.outline.checksum;
        *self = Self { part_bytes: self.part_bytes, ..Self::default() };
        is_intact.then_some(blob)
    }
}
