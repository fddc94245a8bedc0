//! Closes a connection if a request head takes too long to arrive. Idle connections stay open.

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

/// Signals the timer of a connection whether a request is being served.
#[derive(Clone, Debug, Default)]
pub struct HeadSignal {
    is_serving: Rc<Cell<bool>>,
}

impl HeadSignal {
    /// Records that a request head was read. The request counts as being served until the guard is dropped.
    #[must_use]
    pub fn record_head_read(&self) -> ServingGuard {
        self.is_serving.set(true);
        ServingGuard(self.clone())
    }
}

/// Marks a request as being served. After the drop, the next bytes count as the start of a new request head.
#[derive(Debug)]
pub struct ServingGuard(HeadSignal);

impl Drop for ServingGuard {
    fn drop(&mut self) {
        self.0.is_serving.set(false);
    }
}

/// A response body with the guard of its request, which is dropped when the whole body has been written.
#[derive(Debug)]
pub struct GuardedBody {
    /// The response body.
    pub body: AnswerBody,
    /// Guard of the request, dropped with the body.
    pub _guard: ServingGuard,
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

/// A stream whose reads fail with `TimedOut` if a request head is not complete within the timeout.
#[derive(Debug)]
pub struct TimedStream<S> {
    stream: S,
    signal: HeadSignal,
    head_timeout: Duration,
    timer: Pin<Box<Sleep>>,
    is_timer_running: bool,
}

impl<S> TimedStream<S> {
    /// Wraps `stream`. The server of its requests reports each complete head through `signal`.
    pub fn new(stream: S, signal: HeadSignal, head_timeout: Duration) -> Self {
        Self { stream, signal, head_timeout, timer: Box::pin(sleep(head_timeout)), is_timer_running: false }
    }

    fn start_timer(&mut self) {
        if !self.is_timer_running {
            self.is_timer_running = true;
            let until = Instant::now() + self.head_timeout;
            self.timer.as_mut().reset(until);
        }
    }
}

impl<S: AsyncRead + Unpin> AsyncRead for TimedStream<S> {
    fn poll_read(self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &mut ReadBuf<'_>) -> Poll<io::Result<()>> {
        let this = self.get_mut();
        if this.signal.is_serving.get() {
            this.is_timer_running = false;
        }
        let before = buf.filled().len();
        let read = Pin::new(&mut this.stream).poll_read(cx, buf);
        if !this.signal.is_serving.get() && buf.filled().len() > before {
            this.start_timer();
        }
        if read.is_pending() && this.is_timer_running && this.timer.as_mut().poll(cx).is_ready() {
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
