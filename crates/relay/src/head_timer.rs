//! Closes a connection if a request head takes too long to arrive or too much memory, or if the connection is idle for too
//! long.

use std::cell::{Cell, RefCell};
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, Waker, ready};
use std::time::Duration;

use bytes::Bytes;
use hyper::body::{Body, Frame, SizeHint};
use tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite, ReadBuf, Take};
use tokio::time::{Instant, Sleep, sleep};

use crate::body::{AnswerBody, StreamCut};
use crate::buffer_memory::HeadMemory;
use crate::unsent::UnsentBytes;
use crate::unwritten::PendingWrite;

/// Time after which an overdue connection is looked at again before it is closed. When the system resumes a process that was
/// stopped, the timers of its event loop run once before the loop sees the bytes that have arrived meanwhile.
const SECOND_LOOK_DELAY: Duration = Duration::from_millis(20);

/// Signals the timer of a connection whether a request is being served.
#[derive(Clone, Debug, Default)]
pub struct HeadSignal {
    is_serving: Rc<Cell<bool>>,
    /// Number of heads that were read.
    head_count: Rc<Cell<u64>>,
    /// Wakes the connection when a request has been served and its answer written, so that the timer of an idle
    /// connection starts.
    waker: Rc<RefCell<Option<Waker>>>,
    /// Bytes of the answer that is being sent.
    unsent: Rc<UnsentBytes>,
}

impl HeadSignal {
    /// Records that a request head was read. The request counts as being served until the guard is dropped.
    #[must_use]
    pub fn record_head_read(&self) -> ServingGuard {
        self.is_serving.set(true);
        self.head_count.set(self.head_count.get() + 1);
        ServingGuard(self.clone())
    }

    fn wake(&self) {
        let waker = self.waker.borrow_mut().take();
        if let Some(waker) = waker {
            waker.wake();
        }
    }
}

/// Marks a request as being served. After the drop, the next bytes count as the start of a new request head.
#[derive(Debug)]
pub struct ServingGuard(HeadSignal);

impl Drop for ServingGuard {
    fn drop(&mut self) {
        self.0.is_serving.set(false);
        self.0.wake();
    }
}

/// A response body with the guard of its request, which is dropped when the whole body has been written. It gives no more
/// than the connection writes.
#[derive(Debug)]
pub struct GuardedBody {
    /// The response body.
    pub body: AnswerBody,
    /// Guard of the request, dropped with the body.
    pub guard: ServingGuard,
}

impl Body for GuardedBody {
    type Data = Bytes;
    type Error = StreamCut;

    fn poll_frame(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Option<Result<Frame<Bytes>, StreamCut>>> {
        let Self { body, guard } = self.get_mut();
        let unsent = &guard.0.unsent;
        ready!(unsent.poll_room(cx));
        let frame = ready!(Pin::new(body).poll_frame(cx));
        if let Some(Ok(frame)) = &frame {
            unsent.add(frame.data_ref().map_or(0, Bytes::len));
        }
        Poll::Ready(frame)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}

/// Timeouts of a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ReadTimeouts {
    /// Maximum time for the head of a request to arrive.
    pub head: Duration,
    /// Maximum time without a request.
    pub idle: Duration,
}

/// What a connection waits for, and since when.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ReadWait {
    /// The first bytes of a request.
    Idle(Instant),
    /// The rest of a head.
    Head(Instant),
}

/// Maximum number of bytes that are read at once. The buffer of a connection grows with the size of its reads, up to that of
/// the largest head.
const MAX_READ_BYTES: u64 = 8 * 1024;

/// A stream whose reads fail with `OutOfMemory` if heads and bodies of requests take too much memory, and with `TimedOut` if
/// a request head is not complete, or none begins, within its timeout. The timeouts are those of the start or those in force
/// when they are over, whichever are longer: callers rely on either. The stream tells whether a write to it is pending.
pub struct TimedStream<S> {
    stream: Take<S>,
    signal: HeadSignal,
    /// Memory of the head that is incomplete, and the number of heads before it.
    head: (HeadMemory, u64),
    first_timeouts: ReadTimeouts,
    current_timeouts: Box<dyn Fn() -> ReadTimeouts>,
    timer: Pin<Box<Sleep>>,
    wait: Option<ReadWait>,
    /// Whether the connection was overdue when it was last looked at.
    is_overdue: bool,
    pending_write: PendingWrite,
}

impl<S: AsyncRead> TimedStream<S> {
    /// Wraps `stream`. The server of its requests reports each complete head through `signal`. `current_timeouts` returns
    /// the timeouts in force.
    pub fn new(
        stream: S,
        signal: HeadSignal,
        head: HeadMemory,
        pending_write: PendingWrite,
        current_timeouts: Box<dyn Fn() -> ReadTimeouts>,
    ) -> Self {
        let first_timeouts = current_timeouts();
        let timer = Box::pin(sleep(first_timeouts.idle));
        Self {
            stream: stream.take(MAX_READ_BYTES),
            signal,
            head: (head, 0),
            first_timeouts,
            current_timeouts,
            timer,
            wait: None,
            is_overdue: false,
            pending_write,
        }
    }

    fn start_wait(&mut self, wait: ReadWait) {
        self.wait = Some(wait);
        self.is_overdue = false;
        let deadline = self.deadline(wait);
        self.timer.as_mut().reset(deadline);
    }

    fn deadline(&self, wait: ReadWait) -> Instant {
        let current = (self.current_timeouts)();
        match wait {
            ReadWait::Idle(since) => since + current.idle.max(self.first_timeouts.idle),
            ReadWait::Head(since) => since + current.head.max(self.first_timeouts.head),
        }
    }

    /// Counts bytes that have arrived while no request is served, as those of the next head.
    fn count_head(&mut self, bytes: usize) -> io::Result<()> {
        let (head, count) = &mut self.head;
        if std::mem::replace(count, self.signal.head_count.get()) != *count {
            head.clear();
        }
        head.add(bytes).map_err(|_| io::ErrorKind::OutOfMemory.into())
    }

    /// Records the result of a write. The connection is not idle while its peer still reads an answer.
    fn record_write(&mut self, written: &Poll<io::Result<usize>>) {
        self.pending_write.set(written.is_pending());
        if let Poll::Ready(Ok(bytes)) = written {
            self.signal.unsent.record_written(*bytes);
        }
        if written.is_ready() && !self.signal.is_serving.get() {
            self.signal.wake();
        }
    }

    /// Returns whether what the connection waits for is overdue, also at a second look.
    fn poll_overdue(&mut self, wait: ReadWait, cx: &mut Context<'_>) -> bool {
        while self.timer.as_mut().poll(cx).is_ready() {
            let (deadline, now) = (self.deadline(wait), Instant::now());
            if deadline <= now && self.is_overdue {
                return true;
            }
            self.is_overdue = deadline <= now;
            self.timer.as_mut().reset(deadline.max(now + SECOND_LOOK_DELAY));
        }
        false
    }
}

impl<S: AsyncRead + Unpin> AsyncRead for TimedStream<S> {
    fn poll_read(self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &mut ReadBuf<'_>) -> Poll<io::Result<()>> {
        let this = self.get_mut();
        let before = buf.filled().len();
        this.stream.set_limit(MAX_READ_BYTES);
        let read = Pin::new(&mut this.stream).poll_read(cx, buf);
        if this.signal.is_serving.get() || this.pending_write.is_pending() {
            this.wait = None;
            this.head.0.clear();
            *this.signal.waker.borrow_mut() = Some(cx.waker().clone());
            return read;
        }
        let read_bytes = buf.filled().len() - before;
        let has_read = read_bytes > 0;
        if let Err(error) = this.count_head(read_bytes) {
            return Poll::Ready(Err(error));
        }
        match this.wait {
            None | Some(ReadWait::Idle(_)) if has_read => this.start_wait(ReadWait::Head(Instant::now())),
            None => this.start_wait(ReadWait::Idle(Instant::now())),
            Some(_) => {}
        }
        if read.is_pending()
            && let Some(wait) = this.wait
            && this.poll_overdue(wait, cx)
        {
            return Poll::Ready(Err(io::ErrorKind::TimedOut.into()));
        }
        read
    }
}

impl<S: AsyncRead + AsyncWrite + Unpin> AsyncWrite for TimedStream<S> {
    fn poll_write(self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &[u8]) -> Poll<io::Result<usize>> {
        let this = self.get_mut();
        let written = Pin::new(this.stream.get_mut()).poll_write(cx, buf);
        this.record_write(&written);
        written
    }

    fn poll_flush(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(self.get_mut().stream.get_mut()).poll_flush(cx)
    }

    fn poll_shutdown(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(self.get_mut().stream.get_mut()).poll_shutdown(cx)
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let this = self.get_mut();
        let written = Pin::new(this.stream.get_mut()).poll_write_vectored(cx, bufs);
        this.record_write(&written);
        written
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.get_ref().is_write_vectored()
    }
}
