//! Ends a connection whose request head does not arrive in time, while idle connections may stay.

use std::cell::Cell;
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};
use std::time::Duration;

use bytes::Bytes;
use hyper::body::{Body, Frame, SizeHint};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::time::{Instant, Sleep, sleep};

use crate::body::{AnswerBody, StreamCut};

/// Tells the timer of a connection that a head is complete.
#[derive(Clone, Debug, Default)]
pub struct HeadSignal {
    is_serving: Rc<Cell<bool>>,
}

impl HeadSignal {
    /// Notes that a head was read; its request is served until the guard is dropped.
    #[must_use]
    pub fn head_read(&self) -> ServedGuard {
        self.is_serving.set(true);
        ServedGuard(self.clone())
    }
}

/// Says when it is dropped that the next bytes begin a new head.
#[derive(Debug)]
pub struct ServedGuard(HeadSignal);

impl Drop for ServedGuard {
    fn drop(&mut self) {
        self.0.is_serving.set(false);
    }
}

/// The body of an answer; its request is served once all of it was written.
#[derive(Debug)]
pub struct GuardedBody {
    /// The body.
    pub body: AnswerBody,
    /// Kept as long as the body.
    pub _guard: ServedGuard,
}

impl Body for GuardedBody {
    type Data = Bytes;
    type Error = StreamCut;

    fn poll_frame(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Option<Result<Frame<Bytes>, StreamCut>>> {
        Pin::new(&mut self.get_mut().body).poll_frame(cx)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}

/// A stream whose reads fail once a head has been under way for too long.
#[derive(Debug)]
pub struct TimedStream<S> {
    stream: S,
    signal: HeadSignal,
    head_within: Duration,
    timer: Pin<Box<Sleep>>,
    is_armed: bool,
}

impl<S> TimedStream<S> {
    /// Watches `stream`; `signal` is told by whoever serves its requests.
    pub fn new(stream: S, signal: HeadSignal, head_within: Duration) -> Self {
        Self { stream, signal, head_within, timer: Box::pin(sleep(head_within)), is_armed: false }
    }

    fn arm(&mut self) {
        if !self.is_armed {
            self.is_armed = true;
            let until = Instant::now() + self.head_within;
            self.timer.as_mut().reset(until);
        }
    }
}

impl<S: AsyncRead + Unpin> AsyncRead for TimedStream<S> {
    fn poll_read(self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &mut ReadBuf<'_>) -> Poll<io::Result<()>> {
        let this = self.get_mut();
        if this.signal.is_serving.get() {
            this.is_armed = false;
        }
        let before = buf.filled().len();
        let read = Pin::new(&mut this.stream).poll_read(cx, buf);
        if !this.signal.is_serving.get() && buf.filled().len() > before {
            this.arm();
        }
        if read.is_pending() && this.is_armed && this.timer.as_mut().poll(cx).is_ready() {
            return Poll::Ready(Err(io::ErrorKind::TimedOut.into()));
        }
        read
    }
}

impl<S: AsyncWrite + Unpin> AsyncWrite for TimedStream<S> {
    fn poll_write(self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &[u8]) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.get_mut().stream).poll_write(cx, buf)
    }

    fn poll_flush(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.get_mut().stream).poll_flush(cx)
    }

    fn poll_shutdown(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.get_mut().stream).poll_shutdown(cx)
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.get_mut().stream).poll_write_vectored(cx, bufs)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }
}
