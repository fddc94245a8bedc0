//! Tests of the bound on the bytes of an answer that wait to be written.

use std::convert::Infallible;
use std::time::Duration;

use bytes::Bytes;
use http::{Request, Response};
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use tokio::io::{AsyncReadExt, AsyncWriteExt, duplex};
use tokio::sync::mpsc;
use tokio::task::{LocalSet, spawn_local};
use tokio::time::{sleep, timeout};

use super::MAX_UNSENT_BYTES;
use crate::body::{AnswerBody, BodyPart};
use crate::buffer_memory::{BufferMemory, HeadMemory};
use crate::head_timer::{GuardedBody, HeadSignal, ReadTimeouts, TimedStream};
use crate::unwritten::UnwrittenAnswers;

/// Size of each part of the answer.
const PART_BYTES: usize = 8 * 1024;
/// Number of parts, which exceed the buffers of the connection by far.
const PART_COUNT: usize = 60;
/// Bytes that the connection takes before its reader has read any.
const CONNECTION_BYTES: usize = 4 * 1024;

/// Guards against an answer that fills the memory while its caller does not read, since the library's buffer for answers is as
/// large as that for heads, and against one that stops for good when its caller reads again.
#[tokio::test]
async fn a_body_gives_no_more_than_its_connection_writes_and_goes_on_when_its_caller_reads() {
    let answers = UnwrittenAnswers::default();
    let (mut caller, connection) = duplex(CONNECTION_BYTES);
    let (signal, (sender, receiver)) = (HeadSignal::default(), mpsc::channel(1));
    let timeouts = || ReadTimeouts { head: Duration::from_secs(5), idle: Duration::from_secs(5) };
    let head = HeadMemory::new(&BufferMemory::new(1_000));
    let stream = TimedStream::new(connection, signal.clone(), head, answers.begin_connection(), Box::new(timeouts));
    let body = std::cell::RefCell::new(Some(AnswerBody::Stream(receiver)));
    let service = service_fn(move |_: Request<Incoming>| {
        let (guard, body) = (signal.record_head_read(), body.borrow_mut().take().expect("one request is sent"));
        async move { Ok::<_, Infallible>(Response::new(GuardedBody { body, guard })) }
    });
    let tasks = LocalSet::new();
    let taken = Box::pin(tasks.run_until(async move {
        spawn_local(http1::Builder::new().max_buf_size(1024 * 1024).serve_connection(TokioIo::new(stream), service));
        caller.write_all(b"GET / HTTP/1.1\r\nHost: nets.example\r\n\r\n").await.expect("the node reads");
        let mut taken = 0;
        while let Ok(Ok(())) =
            timeout(Duration::from_millis(100), sender.send(BodyPart::Data(Bytes::from(vec![b'-'; PART_BYTES])))).await
        {
            taken += 1;
        }
        spawn_local(async move {
            for _ in taken..PART_COUNT {
                sender.send(BodyPart::Data(Bytes::from(vec![b'-'; PART_BYTES]))).await.expect("the body is open");
            }
            sender.send(BodyPart::End).await.expect("the body is open");
        });
        sleep(Duration::from_millis(50)).await;
        let mut read = Vec::new();
        let mut bytes = vec![0; 16 * 1024];
        while !read.ends_with(b"0\r\n\r\n") {
            let length = timeout(Duration::from_secs(2), caller.read(&mut bytes)).await.expect("the answer goes on");
            read.extend_from_slice(&bytes[..length.expect("the connection is open")]);
        }
        assert!(read.len() > PART_COUNT * PART_BYTES);
        taken
    }));

    let taken_bytes = taken.await * PART_BYTES;

    // One part waits in the channel, and one that exceeds the bound may have been given.
    assert!(taken_bytes <= MAX_UNSENT_BYTES + CONNECTION_BYTES + 2 * PART_BYTES, "{taken_bytes} bytes");
}
