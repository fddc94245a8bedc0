//! Re-exports of the items that most users of this package need.

pub use crate::answer::{WireAnswer, WireCharge};
pub use crate::caller::{AddressesReply, ErrorReply, FinalReply, TokenReply};
pub use crate::document::parse_document;
pub use crate::fault::{Fault, FaultList};
pub use crate::frame::{FrameError, WireFrame};
