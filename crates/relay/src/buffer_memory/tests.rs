//! Tests of what counts in the memory of buffers.

use std::time::Duration;

use tokio::time::timeout;

use super::{BodyBuffer, BufferMemory, BufferOverflow, MAX_UNTAKEN_BYTES, StreamMemory, UNCOUNTED_STREAM_BYTES};

const MEGABYTE: usize = 1024 * 1024;

/// Guards against small bodies that are refused because large ones fill the memory, and against memory that is not given
/// back.
#[test]
fn large_bodies_keep_out_other_large_ones_until_they_are_dropped() {
    let memory = BufferMemory::new(2 * MEGABYTE);
    let (mut first, mut second, mut small) = (
        BodyBuffer::new(&memory, MEGABYTE),
        BodyBuffer::new(&memory, 4 * MEGABYTE),
        BodyBuffer::new(&memory, MEGABYTE),
    );

    assert_eq!(first.push(&vec![0; MEGABYTE]), Ok(()));
    assert_eq!(first.push(&[0]), Err(BufferOverflow::Body));
    let bytes = first.into_bytes();
    assert_eq!(second.push(&vec![0; 3 * MEGABYTE]), Err(BufferOverflow::Total));
    assert_eq!(small.push(&[0; 1024]), Ok(()));
    drop(bytes);

    assert_eq!(second.push(&vec![0; 2 * MEGABYTE]), Ok(()));
}

/// Guards against streams that end although they hold little, and against large ones that go on although all together
/// take too much.
#[test]
fn only_large_streams_end_when_all_together_take_too_much() {
    let memory = BufferMemory::new(MEGABYTE);
    let (large, small) = (StreamMemory::new(&memory), StreamMemory::new(&memory));
    let _small = small.hold(UNCOUNTED_STREAM_BYTES);
    let mut held = large.hold(MEGABYTE + UNCOUNTED_STREAM_BYTES);

    let at_maximum = large.is_exceeded();
    held.resize(MEGABYTE + UNCOUNTED_STREAM_BYTES + 1);
    let above = (large.is_exceeded(), small.is_exceeded());
    drop(held);

    assert!(!at_maximum);
    assert_eq!(above, (true, false));
    assert_eq!(memory.total(), 0, "all is given back");
}

/// Guards against targets whose large parts are read although the caller has taken none.
#[tokio::test]
async fn a_stream_has_room_again_once_its_caller_has_taken_a_part() {
    let stream = StreamMemory::new(&BufferMemory::new(MEGABYTE));
    let part = stream.hold_part(vec![0; MAX_UNTAKEN_BYTES + 1]);

    let waits = timeout(Duration::from_millis(20), stream.wait_for_room()).await.is_err();
    drop(part);

    assert!(waits);
    stream.wait_for_room().await;
}
