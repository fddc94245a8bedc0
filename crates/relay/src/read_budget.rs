//! Bounds what is read from a connection at a stretch, so that a peer which sends without end holds up nothing else.

#[cfg(test)]
mod tests;

use std::io;
use std::pin::{Pin, pin};
use std::task::{Context, Poll, ready};

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::task::yield_now;

/// Bytes that are read before other tasks and timers get their turn. A reader may have to parse thousands of messages in
/// them.
const MAX_STRETCH_BYTES: usize = 8 * 1024;

/// A stream that lets other tasks run, and the runtime look for timers, after each [`MAX_STRETCH_BYTES`], also if it has
/// more bytes.
#[derive(Debug)]
pub struct BudgetedStream<S> {
    stream: S,
    bytes_left: usize,
}

impl<S> BudgetedStream<S> {
    /// Wraps a stream.
    pub fn new(stream: S) -> Self {
        Self { stream, bytes_left: MAX_STRETCH_BYTES }
    }
}

impl<S: AsyncRead + Unpin> AsyncRead for BudgetedStream<S> {
    fn poll_read(mut self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &mut ReadBuf<'_>) -> Poll<io::Result<()>> {
        if self.bytes_left == 0 {
            self.bytes_left = MAX_STRETCH_BYTES;
            // A task that is woken directly may run many times before the runtime looks for timers. The first poll
            // defers the wake until it has.
            if pin!(yield_now()).poll(cx).is_pending() {
                return Poll::Pending;
            }
        }
        let filled_before = buf.filled().len();
        let read = Pin::new(&mut self.stream).poll_read(cx, buf);
        if read.is_pending() {
            self.bytes_left = MAX_STRETCH_BYTES;
        }
        ready!(read)?;
        self.bytes_left = self.bytes_left.saturating_sub(buf.filled().len() - filled_before);
        Poll::Ready(Ok(()))
    }
}

impl<S: AsyncWrite + Unpin> AsyncWrite for BudgetedStream<S> {
    fn poll_write(mut self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &[u8]) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(cx, buf)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write_vectored(cx, bufs)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}
