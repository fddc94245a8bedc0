//! Tests of the transfer of blobs in chunks, between a sender and a receiver over links that lose parts.

use proptest::prelude::*;
use wasabipier_core::relay::chunks::{BlobAssembly, BlobCache, BlobKey, ChunkedBlob, MAX_PART_BYTES};
use wasabipier_core::relay::rows::TableId;
use wasabipier_core::relay::store_version::StoreVersion;

use crate::fixtures::{config, version};

const KEY: BlobKey = BlobKey {
    table: TableId::Orders,
    have: StoreVersion { era: 0, number: 1 },
    version: StoreVersion { era: 0, number: 2 },
};

/// Returns a text with `count` lines, as a document has a line for each route.
fn lines(count: usize) -> Vec<u8> {
    (0..count)
        .flat_map(|line| format!("{{\"route\":\"r{line}\",\"prefix\":\"/{:x}/\"}}\n", line * 7_919).into_bytes())
        .collect()
}

/// Receives `blob` in parts. `is_lost` tells for each part whether it is lost. Returns the number of bytes received.
fn receive(own: &[u8], blob: &[u8], mut is_lost: impl FnMut(usize) -> bool) -> (Vec<u8>, usize) {
    let mut cache = BlobCache::default();
    let outline = cache.get_or_insert_with(KEY, || ChunkedBlob::new(blob)).outline().clone();
    let mut assembly = BlobAssembly::default();
    let own = ChunkedBlob::divided_like(&outline, own);
    assembly.expect(outline, &own);
    for part_number in 0.. {
        let part = assembly.next_part();
        if part.is_empty() {
            break;
        }
        if is_lost(part_number) {
            assembly.record_failure();
        } else {
            assert!(assembly.add_part(cache.chunks(TableId::Orders, &part)));
        }
    }
    let received_bytes = assembly.received_bytes;
    (assembly.finish().expect("all chunks are here"), received_bytes)
}

proptest! {
    #![proptest_config(config(60))]

    /// Guards against transfers that start from the beginning after each interruption, and so never end.
    #[test]
    fn a_blob_arrives_once_whatever_parts_are_lost(
        count in 0_usize..20_000,
        lost in prop::collection::vec(any::<bool>(), 0..60),
    ) {
        let blob = lines(count);
        let (received, received_bytes) = receive(b"", &blob, |part| lost.get(part).copied().unwrap_or_default());
        prop_assert!(received_bytes <= blob.len());
        prop_assert_eq!(received, blob);
    }

    /// Guards against the whole document being sent for each change of it.
    #[test]
    fn only_the_changed_chunks_of_a_blob_are_sent(count in 3_000_usize..20_000, position in any::<prop::sample::Index>()) {
        let own = lines(count);
        let mut blob = own.clone();
        blob.splice(position.index(own.len())..position.index(own.len()), b"changed".iter().copied());
        let (received, received_bytes) = receive(&own, &blob, |_| false);
        prop_assert!(received_bytes <= MAX_PART_BYTES, "{received_bytes} bytes of {}", blob.len());
        prop_assert_eq!(received, blob);
    }
}

#[test]
fn an_interrupted_transfer_goes_on_with_the_next_document() {
    let (first, second) = (lines(5_000), lines(6_000));
    let mut cache = BlobCache::default();
    let empty = ChunkedBlob::new(b"");
    let mut assembly = BlobAssembly::default();
    let first_outline = cache.get_or_insert_with(KEY, || ChunkedBlob::new(&first)).outline().clone();
    assembly.expect(first_outline, &empty);
    assembly.add_part(cache.chunks(TableId::Orders, &assembly.next_part()));
    let kept_bytes = assembly.received_bytes;

    let key = BlobKey { version: version(3), ..KEY };
    let second_outline = cache.get_or_insert_with(key, || ChunkedBlob::new(&second)).outline().clone();
    assembly.expect(second_outline, &empty);
    while assembly.add_part(cache.chunks(TableId::Orders, &assembly.next_part())) {}

    assert!(kept_bytes > 0);
    assert_eq!(assembly.received_bytes, second.len(), "what had arrived was not sent again");
    assert_eq!(assembly.finish(), Some(second));
}

#[test]
fn a_blob_that_differs_from_its_outline_is_dropped() {
    let blob = ChunkedBlob::new(&lines(100));
    let mut outline = blob.outline().clone();
    outline.checksum ^= 1;
    let mut assembly = BlobAssembly::default();

    assembly.expect(outline, &blob);

    assert_eq!((assembly.next_part(), assembly.finish()), (Vec::new(), None));
}

#[test]
fn a_part_that_does_not_arrive_is_asked_for_in_smaller_sizes() {
    let blob = ChunkedBlob::new(&lines(10_000));
    let mut assembly = BlobAssembly::default();
    assembly.expect(blob.outline().clone(), &ChunkedBlob::new(b""));

    let sizes: Vec<usize> = (0..10)
        .map(|_| {
            let size = assembly.next_part().len();
            assembly.record_failure();
            size
        })
        .collect();

    assert!(sizes.is_sorted_by(|one, next| one >= next) && sizes[0] > 4, "{sizes:?}");
    assert_eq!(sizes.last(), Some(&1));
}
