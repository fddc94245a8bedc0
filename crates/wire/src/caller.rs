//! JSON bodies and headers that nodes exchange with callers and operators.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};
use wasabipier_core::versions::CandidateStatus;

use crate::answer::WireCharge;

/// Header with the name of the caller's organisation.
pub const ORGANISATION_HEADER: &str = "x-organisation";
/// Header with the request's id.
pub const REQUEST_ID_HEADER: &str = "x-request-id";
/// Header with the time within which the request must be answered, in milliseconds.
pub const DEADLINE_HEADER: &str = "x-deadline-ms";
/// Header with the request's priority.
pub const PRIORITY_HEADER: &str = "x-priority";

/// Reply to `GET /v1/addresses`: addresses that callers may send requests to.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AddressesReply {
    /// IP addresses with their ports.
    pub addresses: Vec<String>,
    /// Time for which a caller may keep using these addresses, in milliseconds.
    pub keep_for_ms: u64,
}

/// Line of a streamed answer that holds one token.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TokenReply {
    /// Position of the token in the answer, from 0.
    pub index: u32,
    /// Text of the token.
    pub token: String,
}

/// Last line of a streamed answer, or the whole answer if it is not streamed.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct FinalReply {
    /// `done`, `not-run` or `unknown`.
    pub outcome: String,
    /// Name of the caller's organisation.
    pub organisation: String,
    /// Id of the request.
    pub request: String,
    /// Answer of the service: JSON if the service returned JSON, otherwise a string; null if the outcome is not `done`.
    pub answer: serde_json::Value,
    /// Error, if the outcome is not `done`.
    #[serde(skip_serializing_if = "Option::is_none", default)]
    pub error: Option<ErrorReply>,
    /// Charges for the request.
    pub charges: Vec<WireCharge>,
}

/// Error in a [`FinalReply`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ErrorReply {
    /// Kind of the error, as a fixed identifier.
    pub kind: String,
    /// Description of what is wrong, with the remedy.
    pub message: String,
}

/// Body of `POST /v1/operator/promote`, which puts a new document, the configuration of the environment, in force.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PromoteCall {
    /// Revision of the document that the operator's text is based on. If another document was accepted since,
    /// the reply is a conflict.
    pub seen: u64,
    /// Name of the operator.
    pub author: String,
    /// INI text of the document.
    pub text: String,
}

/// Reply to [`PromoteCall`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "result", rename_all = "kebab-case")]
pub enum PromoteReply {
    /// The document was accepted.
    Accepted {
        /// Revision of the accepted document.
        revision: u64,
    },
    /// Another document was accepted since the revision that the operator saw.
    Conflict {
        /// Revision of the other document.
        revision: u64,
        /// Operator who promoted the other document.
        author: String,
    },
    /// The document was not accepted, and nothing was written.
    NotAccepted,
    /// It is unknown whether the document was accepted.
    Unknown,
    /// The document has faults.
    Invalid {
        /// All faults, one a line.
        faults: String,
    },
}

/// Reply to `GET /v1/operator/document`: the document in force at the node that replies.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct DocumentReply {
    /// Revision of the document.
    pub revision: u64,
    /// Operator who promoted the document.
    pub author: String,
    /// INI text of the document.
    pub text: String,
}

/// Reply to `GET /v1/operator/status`: state of the environment as the node that replies knows it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StatusReply {
    /// Name of the environment.
    pub environment: String,
    /// Address of the platform's services.
    pub platform: SocketAddr,
    /// Document revision in force at the node that replies.
    pub revision: u64,
    /// All nodes that the node that replies knows to be alive, starting with itself.
    pub nodes: Vec<NodeStatus>,
    /// Rollouts of candidate versions.
    pub rollouts: Vec<RolloutStatus>,
}

/// State of one node in a [`StatusReply`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct NodeStatus {
    /// Name of the node.
    pub node: String,
    /// Data centre of the node.
    pub data_centre: String,
    /// Address that the node accepts calls of callers and operators on.
    pub caller_address: SocketAddr,
    /// State of the node: `starting`, `serving` or `leaving`.
    pub state: String,
    /// Document revision in force at the node.
    pub revision: u64,
    /// Numbers of the seats that the node holds, from 0. A seat is the right to a fixed share of every target's limit.
    pub seats: Vec<u32>,
}

/// State of one candidate version's rollout in a [`StatusReply`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RolloutStatus {
    /// Service that is rolled out.
    pub service: String,
    /// Candidate version.
    pub version: String,
    /// Number of the attempt to roll the version out, from 1.
    pub attempt: u32,
    /// Whether the candidate is only on trial.
    pub trial: bool,
    /// State of the rollout: `comparing`, `proved`, `finished` or `taken-back`.
    pub state: String,
    /// Current step of the candidate's traffic share, from 0.
    pub step: u32,
    /// Candidate's share of the service's traffic, in thousandths.
    pub share_permille: u32,
    /// Reason for which the candidate was taken back, or what the trial proved; empty until then.
    pub reason: String,
    /// Whether this state is recorded in the table service, rather than known to this node only.
    pub recorded: bool,
}

impl From<&CandidateStatus> for RolloutStatus {
    fn from(status: &CandidateStatus) -> Self {
        Self {
            service: status.candidate.version.service.to_string(),
            version: status.candidate.version.version.to_string(),
            attempt: status.candidate.attempt,
            trial: status.trial,
            state: status.state.to_string(),
            step: status.step,
            share_permille: (status.share * 1_000.0).round() as u32,
            reason: status.reason.to_string(),
            recorded: status.recorded,
        }
    }
}
