//! What the edges send to the decision thread.

use std::sync::Arc;
use std::sync::mpsc::Sender;

use wasabipier_core::prelude::*;
use wasabipier_wire::burn::BurnReply;
use wasabipier_wire::caller::{AddressesReply, DocumentReply, StatusReply};

/// One message to the decision thread.
#[derive(Debug)]
pub enum NodeInput {
    /// An event for the core.
    Core(Event),
    /// A caller's request, and where its answer goes.
    Ask(Box<CallerRequest>, Sender<AnswerPart>),
    /// An operator's document, and where the answer goes.
    Promote(Arc<AcceptedDocument>, Sender<PromoteAnswer>),
    /// Asks for what the node knows.
    Look(Question),
    /// A second signal: stop now.
    Hurry,
}

/// A question about the node.
#[derive(Debug)]
pub enum Question {
    /// Addresses for callers.
    Addresses(Sender<AddressesReply>),
    /// Nodes, revisions and candidates.
    Status(Sender<StatusReply>),
    /// The document in force.
    Document(Sender<DocumentReply>),
    /// What was counted for the service-level report.
    Burn(Sender<BurnReply>),
    /// Whether new work is taken.
    Ready(Sender<bool>),
    /// Gauges brought up to date.
    Gauges(Sender<()>),
}

/// Where edges send to: one channel into the decision thread, which wakes it.
pub type InputSender = Sender<NodeInput>;
