//! The connection of a caller, which never ends a cut answer in order.

use std::cell::Cell;
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

/// Marks the time in which an answer is sent that only the end of its connection ends.
#[derive(Clone, Debug, Default)]
pub struct UnframedMark(Rc<Cell<bool>>);

impl UnframedMark {
    /// Sets whether the answer that begins has no other end than that of its connection.
    pub fn set(&self, is_unframed: bool) {
        self.0.set(is_unframed);
    }
}

/// A connection that is reset, also by the end of the process, if it is dropped before it was shut down within an
/// unframed answer. An orderly end would make the part that was sent look like the whole body.
#[derive(Debug)]
pub struct CallerStream {
    stream: TcpStream,
    unframed: UnframedMark,
}

impl CallerStream {
    /// Wraps `stream`, whose answers are marked by `unframed`.
    #[must_use]
    pub fn new(stream: TcpStream, unframed: UnframedMark) -> Self {
        Self { stream, unframed }
    }
}

impl Drop for CallerStream {
    fn drop(&mut self) {
        if self.unframed.0.get() {
            // A failure means that the connection has ended.
            let _ = self.stream.set_zero_linger();
        }
    }
}

impl AsyncRead for CallerStream {
    fn poll_read(self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &mut ReadBuf<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.get_mut().stream).poll_read(cx, buf)
    }
}

impl AsyncWrite for CallerStream {
    fn poll_write(self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &[u8]) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.get_mut().stream).poll_write(cx, buf)
    }

    fn poll_flush(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.get_mut().stream).poll_flush(cx)
    }

    fn poll_shutdown(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        let this = self.get_mut();
        // The whole answer was written before.
        this.unframed.set(false);
        Pin::new(&mut this.stream).poll_shutdown(cx)
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
