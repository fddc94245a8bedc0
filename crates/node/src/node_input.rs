//! Inputs that the edges and the signal handler send to the decision thread.

use std::sync::Arc;
use std::sync::mpsc::Sender;

use wasabipier_core::prelude::*;
use wasabipier_wire::burn::BurnReply;
use wasabipier_wire::caller::{AddressesReply, DocumentReply, StatusReply};

/// Input of the decision thread.
#[derive(Debug)]
pub enum NodeInput {
    /// Event for the core.
    Core(Event),
    /// Request of a caller, with the channel for the parts of its answer.
    Request(Box<CallerRequest>, Sender<AnswerPart>),
    /// Document that an operator promotes, with the channel for the result.
    Promote(Arc<AcceptedDocument>, Sender<PromoteAnswer>),
    /// Query about the node's state.
    Query(NodeQuery),
    /// Second signal: the node stops without waiting for its requests.
    StopNow,
}

/// Query about the node's state, with the channel for its answer.
#[derive(Debug)]
pub enum NodeQuery {
    /// Addresses of the nodes that callers may use.
    Addresses(Sender<AddressesReply>),
    /// Status of the nodes, revisions and candidate versions.
    Status(Sender<StatusReply>),
    /// Document in force.
    Document(Sender<DocumentReply>),
    /// Counts of this node for the service-level burn report.
    Burn(Sender<BurnReply>),
    /// Whether the node takes new requests.
    Ready(Sender<bool>),
    /// Request to update the metrics, answered once they are up to date.
    Gauges(Sender<()>),
}

/// Sending end of the channel into the decision thread. Each input wakes the thread.
pub type InputSender = Sender<NodeInput>;
