//! Response bodies for callers: complete, or streamed by another task.

use std::pin::Pin;
use std::task::{Context, Poll};

use bytes::Bytes;
use hyper::body::{Body, Frame, SizeHint};
use tokio::sync::mpsc;

/// Error that ends a streamed body early, so that the caller sees that the stream is incomplete.
#[derive(Clone, Copy, Debug, thiserror::Error)]
#[error("the stream was cut")]
pub struct StreamCut;

/// The body of a response to a caller.
#[derive(Debug)]
pub enum AnswerBody {
    /// The complete body; `None` if it is empty or already sent.
    Whole(Option<Bytes>),
    /// Parts that are sent as they arrive. The body ends when the channel is closed or holds an error.
    Stream(mpsc::Receiver<Result<Bytes, StreamCut>>),
}

impl AnswerBody {
    /// Creates a complete body.
    #[must_use]
    pub fn whole(bytes: Bytes) -> Self {
        Self::Whole((!bytes.is_empty()).then_some(bytes))
    }
}

impl Body for AnswerBody {
    type Data = Bytes;
    type Error = StreamCut;

    fn poll_frame(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Option<Result<Frame<Bytes>, StreamCut>>> {
        match self.get_mut() {
            Self::Whole(bytes) => Poll::Ready(bytes.take().map(|bytes| Ok(Frame::data(bytes)))),
            Self::Stream(receiver) => receiver.poll_recv(cx).map(|part| part.map(|part| part.map(Frame::data))),
        }
    }

    fn is_end_stream(&self) -> bool {
        matches!(self, Self::Whole(None))
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Self::Whole(bytes) => SizeHint::with_exact(bytes.as_ref().map_or(0, Bytes::len) as u64),
            Self::Stream(_) => SizeHint::default(),
        }
    }
}
