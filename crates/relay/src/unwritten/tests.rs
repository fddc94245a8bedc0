//! Tests of the count of connections whose answers wait for a slow reader.

use tokio::io::{AsyncReadExt, AsyncWriteExt, DuplexStream, duplex};

use std::time::Duration;

use super::UnwrittenAnswers;
use crate::buffer_memory::{BufferMemory, HeadMemory};
use crate::head_timer::{HeadSignal, ReadTimeouts, TimedStream};

/// Returns the connection of a caller, counted by `answers`, that takes eight bytes before its reader has read any, and
/// the reader.
fn connection(answers: &UnwrittenAnswers) -> (DuplexStream, TimedStream<DuplexStream>) {
    let (reader, writer) = duplex(8);
    let timeouts = || ReadTimeouts { head: Duration::from_secs(1), idle: Duration::from_secs(1) };
    let pending_write = answers.begin_connection();
    let head = HeadMemory::new(&BufferMemory::new(1_000));
    (reader, TimedStream::new(writer, HeadSignal::default(), head, pending_write, Box::new(timeouts)))
}

/// Guards against a process that ends while the answer to a slow reader waits in its memory.
#[tokio::test]
async fn a_connection_counts_until_its_reader_has_made_room() {
    let answers = UnwrittenAnswers::default();
    let (mut reader, mut stream) = connection(&answers);

    let write = async { stream.write_all(&[0; 20]).await.map(|()| answers.count()) };
    let read = async {
        tokio::task::yield_now().await;
        let count = answers.count();
        let mut bytes = [0; 20];
        reader.read_exact(&mut bytes).await.map(|_| count)
    };
    let (count_after, count_before) = tokio::join!(write, read);

    assert_eq!((count_before.ok(), count_after.ok()), (Some(1), Some(0)));
}

/// Guards against a stop that waits for a caller that is gone.
#[tokio::test]
async fn a_connection_that_ends_does_not_count() {
    let answers = UnwrittenAnswers::default();
    let (_reader, mut stream) = connection(&answers);

    let write = stream.write_all(&[0; 20]);
    let is_done = tokio::time::timeout(Duration::from_millis(5), write).await.is_ok();
    let count_before = answers.count();
    drop(stream);

    assert_eq!((is_done, count_before, answers.count()), (false, 1, 0));
}
