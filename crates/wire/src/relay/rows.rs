//! Encoded forms of rows of shared tables, and of chunks of large tables.

use std::sync::Arc;

use serde::{Deserialize, Serialize};
use wasabipier_core::relay::chunks::{BlobOutline, ChunkHash};
use wasabipier_core::relay::rows::{RowBatch, SharedRow};
use wasabipier_core::relay::store_version::StoreVersion;

use super::{decode, decode_bounded, encode};
use crate::frame::{FrameError, MAX_FRAME_BYTES};

/// Maximum size in bytes of the encoded rows of a table, which is that of the store's answers.
const MAX_TABLE_BYTES: usize = 16 * 1024 * 1024;

/// Encoded form of [`StoreVersion`]: era and number.
pub type WireVersion = (u64, u64);

/// Returns the encoded form of a store version.
#[must_use]
pub fn version_to_wire(version: StoreVersion) -> WireVersion {
    (version.era, version.number)
}

/// Decodes a store version.
#[must_use]
pub fn version_from_wire((era, number): WireVersion) -> StoreVersion {
    StoreVersion { era, number }
}

/// Encoded form of [`SharedRow`]. The value is `None` if the row was removed.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WireRow {
    key: String,
    version: WireVersion,
    value: Option<Vec<u8>>,
}

/// Changed rows of a table, or a description of them if they are large.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum WireRows {
    /// The rows.
    Inline(Vec<WireRow>),
    /// The chunks of the rows as [`encode_rows`] returns them, which the caller asks for with [`WireCall::Chunks`].
    Outline(WireOutline),
}

/// Encoded form of [`BlobOutline`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WireOutline {
    /// Hash and length in bytes of each chunk.
    chunks: Vec<(u64, u32)>,
    checksum: u64,
    /// Average size of chunks in bytes by which the rows were divided.
    average_bytes: u32,
}

impl From<&SharedRow> for WireRow {
    fn from(row: &SharedRow) -> Self {
        Self {
            key: row.key.to_string(),
            version: version_to_wire(row.version),
            value: row.value.as_ref().map(|value| value.to_vec()),
        }
    }
}

impl From<WireRow> for SharedRow {
    fn from(row: WireRow) -> Self {
        Self { key: row.key.into(), version: version_from_wire(row.version), value: row.value.map(Arc::from) }
    }
}

impl From<&BlobOutline> for WireOutline {
    fn from(outline: &BlobOutline) -> Self {
        let chunks = outline.chunks.iter().map(|(hash, length)| (hash.0, *length)).collect();
        Self { chunks, checksum: outline.checksum, average_bytes: outline.average_bytes }
    }
}

impl From<WireOutline> for BlobOutline {
    fn from(outline: WireOutline) -> Self {
        let chunks = outline.chunks.into_iter().map(|(hash, length)| (ChunkHash(hash), length)).collect();
        Self { chunks, checksum: outline.checksum, average_bytes: outline.average_bytes }
    }
}

/// Returns the batch of rows that a peer sent. `version` is the store version of the peer's copy; `whole` says whether
/// `rows` holds all rows of the table.
#[must_use]
pub fn row_batch_from_wire(rows: Vec<WireRow>, version: StoreVersion, whole: bool) -> RowBatch {
    RowBatch { rows: rows.into_iter().map(SharedRow::from).collect(), version, whole }
}

/// Returns the encoded form of the rows of a table.
#[must_use]
pub fn encode_rows<'a>(rows: impl IntoIterator<Item = &'a SharedRow>) -> Vec<u8> {
    encode(&rows.into_iter().map(WireRow::from).collect::<Vec<_>>())
}

/// Decodes bytes that [`encode_rows`] returned.
///
/// # Errors
///
/// Returns the same errors as [`decode`], with a limit of 16 MB.
pub fn decode_rows(bytes: &[u8]) -> Result<Vec<WireRow>, FrameError> {
    decode_bounded::<Vec<WireRow>, MAX_TABLE_BYTES>(bytes)
}

/// Returns the compressed form of chunks.
#[must_use]
pub fn compress_chunks(chunks: &Vec<Vec<u8>>) -> Vec<u8> {
    lz4_flex::compress_prepend_size(&encode(chunks))
}

/// Decompresses bytes that [`compress_chunks`] returned.
///
/// # Errors
///
/// Returns the same errors as [`decode`] for the chunks, and [`FrameError::Malformed`] for bytes that are not compressed
/// ones.
pub fn decompress_chunks(bytes: &[u8]) -> Result<Vec<Vec<u8>>, FrameError> {
    let malformed = |error: lz4_flex::block::DecompressError| FrameError::Malformed(error.to_string());
    let (size, compressed) = lz4_flex::block::uncompressed_size(bytes).map_err(malformed)?;
    if size > MAX_FRAME_BYTES {
        return Err(FrameError::TooLarge(size));
    }
    decode(&lz4_flex::block::decompress(compressed, size).map_err(malformed)?)
}
