//! What a node does: everything that the core asks its edges to do.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use crate::document::{AcceptedDocument, LoadSpec, Revision, ServiceKind};
use crate::message::PeerMessage;
use crate::names::{AttemptId, CallId, NodeName, Nonce, RequestKey, StoreTicket, TargetName};
use crate::outcome::{ChargeLine, FinalAnswer};
use crate::store::StoreOp;

/// One attempt to be sent to a target.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SendOrder {
    /// The attempt that waits for the result.
    pub attempt: AttemptId,
    /// Organisation and request.
    pub key: RequestKey,
    /// Position of the stage, from 0.
    pub stage: u32,
    /// Attempt within the request, from 1.
    pub number: u32,
    /// Kind of service, which decides the protocol.
    pub kind: ServiceKind,
    /// The target.
    pub target: TargetName,
    /// Where it listens.
    pub address: SocketAddr,
    /// The caller's JSON body.
    pub body: Arc<str>,
    /// JSON answer of the stage before, empty for the first.
    pub previous: Arc<str>,
    /// Time left, after which the target may drop the work.
    pub time_left: Duration,
    /// Tokens that the caller has already, from which a stream resumes.
    pub resume_from: u32,
    /// Whether it must go over a connection opened for it.
    pub fresh_connection: bool,
    /// Whether it is a copy whose answer is dropped; it is marked so for the target.
    pub shadow: bool,
}

/// An order to a target; sending it twice does no harm, since it names a state and not a change.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LoadOrder {
    /// The target.
    pub target: TargetName,
    /// Where it listens.
    pub address: SocketAddr,
    /// Fencing number of the lease under which it is ordered.
    pub fencing: u64,
    /// Time from now after which the order must not leave any more.
    pub valid_for: Duration,
    /// What it shall have loaded.
    pub load: LoadSpec,
}

/// A part of an answer to a caller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum AnswerPart {
    /// A token of the last stage.
    Token {
        /// Position from 0, without gap or repeat.
        index: u32,
        /// Its text.
        text: Arc<str>,
    },
    /// The end.
    Final(Box<FinalAnswer>),
}

/// A document's text and what it was accepted under.
#[derive(Clone, Debug, PartialEq)]
pub struct DocumentSource {
    /// A document that was parsed, from which this one differs little.
    pub base: Arc<AcceptedDocument>,
    /// Revision.
    pub revision: Revision,
    /// Marks the promotion.
    pub nonce: Nonce,
    /// Who promoted it.
    pub author: Arc<str>,
    /// INI text.
    pub text: Arc<str>,
}

/// What became of a promotion.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PromoteAnswer {
    /// Accepted under this revision; it is in force within seconds.
    Accepted(Revision),
    /// Another document was accepted before.
    Conflict {
        /// Revision of the winner.
        revision: Revision,
        /// Who promoted it.
        author: Arc<str>,
    },
    /// Nothing was written: the table service could not be asked.
    NotAccepted,
    /// It may have been accepted: the table service does not answer.
    Unknown,
}

/// Everything that a node can ask its edges to do.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send an attempt to a target.
    Send(Box<SendOrder>),
    /// Stop an attempt, at the target too.
    Cancel(AttemptId),
    /// Tell a caller.
    Answer(CallId, AnswerPart),
    /// Tell a peer.
    Tell(NodeName, Box<PeerMessage>),
    /// Connect to a peer.
    Connect(NodeName, SocketAddr),
    /// Drop the connection to a peer.
    Disconnect(NodeName),
    /// Do something at the table service.
    Store(StoreTicket, Box<StoreOp>),
    /// Ask a target what it has loaded.
    Inspect(TargetName, SocketAddr),
    /// Order a target to load.
    Order(Box<LoadOrder>),
    /// Keep a charge line in the ledger.
    Charge(Box<ChargeLine>),
    /// Parse a document, away from the decision thread, and tell the result.
    Parse(Box<DocumentSource>),
    /// Tell an operator what became of a promotion.
    Promoted(CallId, PromoteAnswer),
    /// All work has ended after a stop was asked for: the process may exit.
    Stopped,
}
