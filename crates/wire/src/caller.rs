//! JSON towards callers and operators.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};
use wasabipier_core::versions::CandidateStatus;

use crate::answer::WireCharge;

/// Header with the organisation.
pub const ORGANISATION_HEADER: &str = "x-organisation";
/// Header with the request's id.
pub const REQUEST_HEADER: &str = "x-request-id";
/// Header with the deadline in milliseconds.
pub const DEADLINE_HEADER: &str = "x-deadline-ms";
/// Header with the priority.
pub const PRIORITY_HEADER: &str = "x-priority";

/// Addresses to use: `GET /v1/addresses`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AddressesReply {
    /// Addresses by IP number.
    pub addresses: Vec<String>,
    /// Milliseconds for which the answer may be kept.
    pub keep_for_ms: u64,
}

/// One line of a stream: a token.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TokenReply {
    /// Position, from 0.
    pub index: u32,
    /// Text.
    pub token: String,
}

/// The last line of a stream, or the whole of a plain answer.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct FinalReply {
    /// `done`, `not-run` or `unknown`.
    pub outcome: String,
    /// Organisation.
    pub organisation: String,
    /// Request id.
    pub request: String,
    /// Answer: JSON if the service gave JSON, a string otherwise; null unless done.
    pub answer: serde_json::Value,
    /// Kind of error, if not done.
    #[serde(skip_serializing_if = "Option::is_none", default)]
    pub error: Option<ErrorReply>,
    /// Charges.
    pub charges: Vec<WireCharge>,
}

/// An error.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ErrorReply {
    /// Kind, a fixed word.
    pub kind: String,
    /// What is wrong and the remedy.
    pub message: String,
}

/// A document to promote: `POST /v1/operator/promote`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PromoteCall {
    /// Revision that the operator saw.
    pub seen: u64,
    /// Name of the operator.
    pub author: String,
    /// The INI text.
    pub text: String,
}

/// What became of it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "result", rename_all = "kebab-case")]
pub enum PromoteReply {
    /// Accepted.
    Accepted {
        /// Its revision.
        revision: u64,
    },
    /// Another was accepted before.
    Conflict {
        /// The winner's revision.
        revision: u64,
        /// The winner.
        author: String,
    },
    /// Nothing was written.
    NotAccepted,
    /// Not known.
    Unknown,
    /// The document has faults.
    Invalid {
        /// All of them, a line each.
        faults: String,
    },
}

/// The document in force at a node: `GET /v1/operator/document`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct DocumentReply {
    /// Revision.
    pub revision: u64,
    /// Who promoted it.
    pub author: String,
    /// INI text.
    pub text: String,
}

/// What a node knows of the environment: `GET /v1/operator/status`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StatusReply {
    /// Environment.
    pub environment: String,
    /// Address of the platform's services.
    pub platform: SocketAddr,
    /// Revision in force at the node that answers.
    pub revision: u64,
    /// Every node that it knows to be alive, itself first.
    pub nodes: Vec<NodeStatus>,
    /// Candidate versions.
    pub rollouts: Vec<RolloutStatus>,
}

/// One node.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct NodeStatus {
    /// Its name.
    pub node: String,
    /// Its data centre.
    pub data_centre: String,
    /// Its address for callers and operators.
    pub caller_address: SocketAddr,
    /// Its state.
    pub state: String,
    /// Revision in force there.
    pub revision: u64,
    /// Seats that it holds.
    pub seats: Vec<u32>,
}

/// One candidate version.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RolloutStatus {
    /// Service.
    pub service: String,
    /// Version.
    pub version: String,
    /// Attempt to move to it, from 1.
    pub attempt: u32,
    /// Whether it is on trial only.
    pub trial: bool,
    /// State.
    pub state: String,
    /// Step, from 0.
    pub step: u32,
    /// Share of the service's traffic in thousandths.
    pub share_permille: u32,
    /// Why it was taken back, or empty.
    pub reason: String,
    /// Whether the table service has it so, and not only this node.
    pub recorded: bool,
}

impl From<&CandidateStatus> for RolloutStatus {
    fn from(standing: &CandidateStatus) -> Self {
        Self {
            service: standing.candidate.version.service.to_string(),
            version: standing.candidate.version.version.to_string(),
            attempt: standing.candidate.attempt,
            trial: standing.trial,
            state: standing.state.to_string(),
            step: standing.step,
            share_permille: (standing.share * 1_000.0).round() as u32,
            reason: standing.reason.to_string(),
            recorded: standing.recorded,
        }
    }
}
