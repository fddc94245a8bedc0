//! Bodies of answers to callers: whole, or a stream that another task feeds.

use std::pin::Pin;
use std::task::{Context, Poll};

use bytes::Bytes;
use hyper::body::{Body, Frame, SizeHint};
use tokio::sync::mpsc;

/// A stream was cut: the caller must see that it is not whole.
#[derive(Clone, Copy, Debug, thiserror::Error)]
#[error("the stream was cut")]
pub struct StreamCut;

/// The body of an answer.
#[derive(Debug)]
pub enum AnswerBody {
    /// All of it.
    Whole(Option<Bytes>),
    /// Parts as they come; the end of the channel is the end of the body.
    Stream(mpsc::Receiver<Result<Bytes, StreamCut>>),
}

impl AnswerBody {
    /// A whole body.
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
