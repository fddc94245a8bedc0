//! Passes copies of the store's tables from node to node. Large copies are sent in chunks, and a transfer that was
//! interrupted goes on where it ended, also from another peer.

use std::net::SocketAddr;
use std::time::Duration;

use spdlog::info;
use tokio::task::spawn_local;
use wasabipier_core::clock::Moment;
use wasabipier_core::relay::chunks::{BlobKey, BlobOutline, ChunkHash, ChunkedBlob};
use wasabipier_core::relay::members::TableProof;
use wasabipier_core::relay::rows::{TableCopy, TableId};
use wasabipier_core::relay::store_version::StoreVersion;
use wasabipier_wire::relay::{
    WireCall, WireReply, WireRow, WireRows, compress_chunks, decode_rows, decompress_chunks, encode_rows,
    row_batch_from_wire, table_from_number, table_number, version_from_wire, version_to_wire,
};

use crate::clock;
use crate::log_prefixes::STORE;
use crate::metering;
use crate::peers::PeerError;
use crate::state::SharedNode;
use crate::store;

/// Timeout of the call that asks for a peer's copy. Its reply is small.
const COPY_TIMEOUT: Duration = Duration::from_millis(500);
/// Timeout of the call for one part of a large copy.
const PART_TIMEOUT: Duration = Duration::from_secs(1);
/// Size in bytes up to which changed rows are sent in the reply itself.
const MAX_INLINE_BYTES: usize = 16_384;
/// Age of this node's copy at which a peer is asked for a newer one. It is more than the usual age.
const PEER_READ_MIN_AGE: Duration = Duration::from_secs(2);
/// Time after which a node that reads the store asks a peer for a change that the store has not shown to it.
const MISSED_CHANGE_DELAY: Duration = Duration::from_millis(400);
/// Minimum difference in age between this node's copy and a peer's for the peer's copy to be read.
const MIN_AGE_GAIN: Duration = Duration::from_millis(500);

/// Starts to read each table whose copy is too old from the peer with the most recent copy, without waiting.
pub fn request_newer_copies(node: &SharedNode) {
    let now = clock::now();
    for table in [TableId::Orders, TableId::Targets] {
        let Some(address) = find_newer_peer(node, table, now) else { continue };
        start_transfer(node, table, address);
    }
}

/// Handles what a peer's heartbeat says about the peer's copies of tables. A node that reads the store itself asks the
/// peer only for changes that it still lacks after [`MISSED_CHANGE_DELAY`]. For all others the following holds.
/// Tables that changed are read from the peer. A copy without missing changes counts as equally recent as the peer's if
/// the heartbeat is the reply to a call that this node sent at `called_at`. `None` stands for an unrequested heartbeat:
/// it may have been delayed and confirms nothing.
pub fn handle_proofs(node: &SharedNode, address: SocketAddr, proofs: &[TableProof], called_at: Option<Moment>) {
    let now = clock::now();
    for proof in proofs {
        let mut board = node.board.borrow_mut();
        let reads_store = board.is_small_fleet() || board.is_hub(now);
        let copy = board.copies.entry(proof.table).or_default();
        copy.record_known_change(proof.newest_row_version, now);
        if reads_store {
            let is_missed = copy.outdated_since().is_some_and(|since| now.since(since) >= MISSED_CHANGE_DELAY);
            if is_missed && proof.newest_row_version > copy.version() {
                drop(board);
                start_transfer(node, proof.table, address);
            }
            continue;
        }
        if proof.last_change_version > copy.version() {
            drop(board);
            start_transfer(node, proof.table, address);
        } else if let Some(called_at) = called_at {
            let confirmed_at = called_at - Duration::from_millis(u64::from(proof.age_ms));
            if copy.confirm(proof.version, proof.last_change_version, confirmed_at) {
                board.record_store_proof(confirmed_at, now);
            }
        }
    }
}

/// Returns the address of the peer with the most recent copy, if this node's copy is at least [`PEER_READ_MIN_AGE`] old
/// and the peer's is newer by more than [`MIN_AGE_GAIN`].
fn find_newer_peer(node: &SharedNode, table: TableId, now: Moment) -> Option<SocketAddr> {
    let board = node.board.borrow();
    let own_confirmed_at = board.copies.get(&table).and_then(TableCopy::confirmed_at);
    let own_age = own_confirmed_at.map_or(Duration::MAX, |confirmed_at| now.since(confirmed_at));
    if own_age < PEER_READ_MIN_AGE {
        return None;
    }
    let ages = board.members.alive(now).filter_map(|view| {
        let proof = view.heartbeat.proofs.iter().find(|proof| proof.table == table)?;
        let age = Duration::from_millis(u64::from(proof.age_ms)) + now.since(view.last_heartbeat_at);
        Some((age, view.heartbeat.peer_address))
    });
    let (age, address) = ages.min_by_key(|(age, _)| *age)?;
    (age + MIN_AGE_GAIN < own_age).then_some(address)
}

/// Starts to read the changes that this node's copy of a table lacks from a peer, unless a transfer of the table is
/// under way.
fn start_transfer(node: &SharedNode, table: TableId, address: SocketAddr) {
    if !node.pending_tables.borrow_mut().insert(table) {
        return;
    }
    let node = node.clone();
    spawn_local(async move {
        let have = node.board.borrow().copies.get(&table).map_or(StoreVersion::NONE, TableCopy::version);
        if let Err(error) = read_peer_copy(&node, table, have, address).await {
            let received_bytes = node.assemblies.borrow().get(&table).map_or(0, |assembly| assembly.received_bytes);
            let (table, error, peer) = (table.to_string(), error.to_string(), address.to_string());
            let have = have.number;
            let (table, error, peer) = (table.as_str(), error.as_str(), peer.as_str());
            info!("{STORE} peer did not return its copy.", kv: { table, peer, have, error, received_bytes });
        }
        node.pending_tables.borrow_mut().remove(&table);
    });
}

/// Reads the changes after version `have` of a table from a peer, and applies them.
async fn read_peer_copy(
    node: &SharedNode,
    table: TableId,
    have: StoreVersion,
    address: SocketAddr,
) -> Result<(), PeerError> {
    let called_at = clock::now();
    let call = WireCall::Rows { table: table_number(table), have: version_to_wire(have) };
    let reply = node.peers.call(address, &call, COPY_TIMEOUT).await?;
    let WireReply::Rows { rows, whole, version, age_ms } = reply else { return Ok(()) };
    let rows = match rows {
        WireRows::Inline(rows) => rows,
        WireRows::Outline(outline) => read_chunked_rows(node, table, outline.into(), address).await?,
    };
    // The age counts from the reply. Counting it from `called_at` gives an earlier time, never a later one.
    let confirmed_at = called_at - Duration::from_millis(u64::from(age_ms));
    store::apply_rows(node, table, &row_batch_from_wire(rows, version_from_wire(version), whole), confirmed_at, "peer");
    Ok(())
}

/// Reads the chunks of a large copy that this node does not have, and returns the rows. What has arrived when a call
/// fails is kept for the next transfer.
async fn read_chunked_rows(
    node: &SharedNode,
    table: TableId,
    outline: BlobOutline,
    address: SocketAddr,
) -> Result<Vec<WireRow>, PeerError> {
    let started_at = clock::now();
    let blob_bytes = outline.byte_count();
    let own = {
        let board = node.board.borrow();
        ChunkedBlob::divided_like(
            &outline,
            &encode_rows(board.copies.get(&table).into_iter().flat_map(TableCopy::rows)),
        )
    };
    node.assemblies.borrow_mut().entry(table).or_default().expect(outline, &own);
    loop {
        let part = node.assemblies.borrow_mut().entry(table).or_default().next_part();
        if part.is_empty() {
            break;
        }
        let hashes = part.iter().map(|hash| hash.0).collect();
        let call = WireCall::Chunks { table: table_number(table), hashes };
        let reply = node.peers.call(address, &call, PART_TIMEOUT).await;
        let mut assemblies = node.assemblies.borrow_mut();
        let assembly = assemblies.entry(table).or_default();
        match reply {
            Ok(WireReply::Chunks(chunks)) => {
                if !assembly.add_part(decompress_chunks(&chunks)?) {
                    return Err(PeerError::Body("the peer has replaced this copy".to_owned()));
                }
            }
            Ok(_) => return Err(PeerError::Body("not a reply to a call for chunks".to_owned())),
            Err(error) => {
                assembly.record_failure();
                return Err(error);
            }
        }
    }
    let mut assemblies = node.assemblies.borrow_mut();
    let assembly = assemblies.entry(table).or_default();
    let received_bytes = assembly.received_bytes;
    let blob = assembly.finish().ok_or_else(|| PeerError::Body("the chunks do not match their checksum".to_owned()))?;
    metering::record_table_transfer(blob_bytes, received_bytes);
    let (table, took_ms) = (table.to_string(), clock::now().since(started_at).as_millis() as u64);
    info!("{STORE} large copy received.", kv: { table = table.as_str(), blob_bytes, received_bytes, took_ms });
    Ok(decode_rows(&blob)?)
}

/// Returns the rows of a table that changed after store version `have`, as far as this node's copy shows, or an outline
/// if they are large. Returns `Done` if this node has no confirmed copy of the table, or one from before the store was
/// restored.
pub fn rows_reply(node: &SharedNode, table: u8, have: StoreVersion) -> WireReply {
    let board = node.board.borrow();
    let Some(table) = table_from_number(table) else { return WireReply::Done };
    let copy = board.copies.get(&table).filter(|copy| copy.version().era >= have.era);
    let known = copy.and_then(|copy| Some((copy, copy.confirmed_at()?)));
    let Some((copy, confirmed_at)) = known else { return WireReply::Done };
    let batch = copy.changes_after(have);
    let age_ms = clock::now().since(confirmed_at).as_millis() as u32;
    let value_bytes: usize = batch.rows.iter().filter_map(|row| row.value.as_ref()).map(|value| value.len()).sum();
    let rows = if value_bytes <= MAX_INLINE_BYTES {
        WireRows::Inline(batch.rows.iter().map(WireRow::from).collect())
    } else {
        let key = BlobKey { table, have, version: batch.version };
        let mut cache = node.served_blobs.borrow_mut();
        let blob = cache.get_or_insert_with(key, || ChunkedBlob::new(&encode_rows(&batch.rows)));
        WireRows::Outline(blob.outline().into())
    };
    WireReply::Rows { rows, whole: batch.whole, version: version_to_wire(batch.version), age_ms }
}

/// Returns the chunks that a peer asks for, as many as fit into a part.
pub fn chunks_reply(node: &SharedNode, table: u8, hashes: &[u64]) -> WireReply {
    let Some(table) = table_from_number(table) else { return WireReply::Done };
    let hashes: Vec<ChunkHash> = hashes.iter().copied().map(ChunkHash).collect();
    WireReply::Chunks(compress_chunks(&node.served_blobs.borrow().chunks(table, &hashes)))
}
