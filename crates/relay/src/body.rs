//! Response bodies for callers: complete, or streamed by another task.

#[cfg(test)]
mod tests;

use std::pin::Pin;
use std::task::{Context, Poll, ready};

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
    /// Parts that are sent as they arrive. The body is cut if the channel is closed before it has held its end.
    Stream(mpsc::Receiver<BodyPart>),
    /// A streamed body whose end was sent.
    Ended,
}

/// A part of a streamed body.
#[derive(Debug)]
pub enum BodyPart {
    /// Bytes of the body.
    Data(Bytes),
    /// The end of a complete body.
    End,
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
        let body = self.get_mut();
        let part = match body {
            Self::Whole(bytes) => return Poll::Ready(bytes.take().map(|bytes| Ok(Frame::data(bytes)))),
            Self::Stream(receiver) => ready!(receiver.poll_recv(cx)),
            Self::Ended => return Poll::Ready(None),
        };
        Poll::Ready(match part {
            Some(BodyPart::Data(bytes)) => Some(Ok(Frame::data(bytes))),
            Some(BodyPart::End) => {
                *body = Self::Ended;
                None
            }
            None => Some(Err(StreamCut)),
        })
    }

    fn is_end_stream(&self) -> bool {
        matches!(self, Self::Whole(None) | Self::Ended)
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Self::Whole(bytes) => SizeHint::with_exact(bytes.as_ref().map_or(0, Bytes::len) as u64),
            Self::Stream(_) => SizeHint::default(),
            Self::Ended => SizeHint::with_exact(0),
        }
    }
}
