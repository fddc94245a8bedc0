//! Actions: everything that the core asks the I/O code around it to do.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use crate::document::{AcceptedDocument, LoadSpec, Revision, ServiceKind};
use crate::message::PeerMessage;
use crate::names::{AttemptId, CallId, NodeName, Nonce, RequestKey, StoreTicket, TargetName};
use crate::outcome::{ChargeLine, FinalAnswer};
use crate::store::StoreOp;

/// Request that one attempt sends to its target.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AttemptRequest {
    /// Attempt that waits for the result.
    pub attempt: AttemptId,
    /// Organisation and request id.
    pub key: RequestKey,
    /// Index of the stage, from 0.
    pub stage: u32,
    /// Number of the attempt within its request, from 1.
    pub attempt_number: u32,
    /// Kind of the service, which decides the protocol.
    pub kind: ServiceKind,
    /// Target to send the attempt to.
    pub target: TargetName,
    /// Address at which the target listens.
    pub address: SocketAddr,
    /// JSON body from the caller.
    pub body: Arc<str>,
    /// JSON answer of the previous stage, empty at the first stage.
    pub previous: Arc<str>,
    /// Time from now after which this node no longer waits and the target may drop the work.
    pub time_left: Duration,
    /// Number of tokens that the stage already has: index of the first token that a stream sends.
    pub resume_from: u32,
    /// Whether the attempt must use a new connection rather than one from the pool. Set for services whose calls must
    /// not be repeated.
    pub fresh_connection: bool,
    /// Whether the attempt is a copy of a request, whose answer is dropped. The call to the target is marked as a
    /// shadow.
    pub shadow: bool,
}

/// Order to a target to load a model with adapters. Sending the order twice does no harm, since it names a state rather
/// than a change.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LoadOrder {
    /// Target that receives the order.
    pub target: TargetName,
    /// Address at which the target listens.
    pub address: SocketAddr,
    /// Fencing number of the lease under which the order is sent. Targets that check it refuse orders with a lower
    /// number than the highest seen.
    pub fencing: u64,
    /// Time from now after which the order must not be sent any more.
    pub valid_for: Duration,
    /// Model, adapters and role that the target must have loaded.
    pub load: LoadSpec,
}

/// Part of an answer to a caller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum AnswerPart {
    /// One token of the last stage.
    Token {
        /// Position in the answer from 0, without gap or repeat.
        index: u32,
        /// Text of the token.
        text: Arc<str>,
    },
    /// End of the answer.
    Final(Box<FinalAnswer>),
}

/// Text of a document with the revision and author under which it was accepted.
#[derive(Clone, Debug, PartialEq)]
pub struct DocumentSource {
    /// Document in force, which is already parsed and from which this one differs little.
    pub base: Arc<AcceptedDocument>,
    /// Revision of the document.
    pub revision: Revision,
    /// Random number that identifies the promotion.
    pub nonce: Nonce,
    /// Operator who promoted the document.
    pub author: Arc<str>,
    /// INI text of the document.
    pub text: Arc<str>,
}

/// Result of the promotion of a document.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PromoteAnswer {
    /// The document was accepted under this revision and takes effect within seconds.
    Accepted(Revision),
    /// Another document was accepted first.
    Conflict {
        /// Revision of the document that was accepted first.
        revision: Revision,
        /// Operator who promoted that document.
        author: Arc<str>,
    },
    /// Nothing was written, since no request could be sent to the table service.
    NotAccepted,
    /// The document may or may not have been accepted, since the table service does not answer.
    Unknown,
}

/// An operation that the core asks the I/O code around it to carry out.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send an attempt to a target.
    Send(Box<AttemptRequest>),
    /// Cancel an attempt, both at this node and at its target.
    Cancel(AttemptId),
    /// Send a part of an answer to a caller.
    Answer(CallId, AnswerPart),
    /// Send a message to a peer.
    SendToPeer(NodeName, Box<PeerMessage>),
    /// Connect to a peer.
    Connect(NodeName, SocketAddr),
    /// Close the connection to a peer.
    Disconnect(NodeName),
    /// Run an operation at the table service.
    Store(StoreTicket, Box<StoreOp>),
    /// Ask a target which model and adapters it has loaded.
    Inspect(TargetName, SocketAddr),
    /// Send a load order to a target.
    Order(Box<LoadOrder>),
    /// Write a charge line to the ledger.
    Charge(Box<ChargeLine>),
    /// Parse a document outside the thread of the core, and report it by [`crate::event::Event::DocumentParsed`].
    Parse(Box<DocumentSource>),
    /// Send the result of a promotion to an operator.
    Promoted(CallId, PromoteAnswer),
    /// Report that all work has ended after a stop was requested, so that the process may exit.
    Stopped,
}
