//! Types that most users of this crate need.

pub use crate::action::{Action, AnswerPart, AttemptRequest, PromoteAnswer};
pub use crate::blackboard::{Blackboard, Identity};
pub use crate::clock::{Moment, WallTime};
pub use crate::document::{AcceptedDocument, Document, Revision};
pub use crate::event::{AttemptEvent, CallerRequest, Event, FailureKind, Goal, Priority};
pub use crate::message::PeerMessage;
pub use crate::names::*;
pub use crate::node::{NodeConfig, NodeCore, PeerSpec};
pub use crate::outcome::{ChargeLine, FinalAnswer, LoadReport, Outcome, RefusalKind, Usage};
pub use crate::store::{Row, RowKey, RowValue, RowVersion, StoreOp, StoreReply};
pub use crate::tuning::Tuning;
