//! Frames between nodes: a version byte followed by a `bincode` message. On a connection, the length of each frame
//! precedes it.

use std::net::SocketAddr;
use std::sync::Arc;

use serde::{Deserialize, Serialize};
use wasabipier_core::delta::TextDelta;
use wasabipier_core::document::Revision;
use wasabipier_core::message::{DocumentChange, Heartbeat, NodeState, PeerMessage, SeatEpoch, VersionCounts};
use wasabipier_core::names::{
    DcName, Fingerprint, InstanceId, NodeName, Nonce, OrgName, RequestId, RequestKey, ServiceName, TargetName,
    VersionKey, VersionName,
};
use wasabipier_core::outcome::FinalAnswer;
use wasabipier_core::store::{RolloutRow, RolloutState};
use wasabipier_core::tally::RouteTally;
use wasabipier_core::versions::{CandidateKey, CountKey};

use crate::answer::WireAnswer;
use crate::row::parse_accepted_document;

/// Version of the frame format. Nodes of different versions reject each other's frames.
pub const FRAME_VERSION: u8 = 1;
/// Maximum length of a frame, in bytes.
pub const MAX_FRAME_BYTES: usize = 4 * 1024 * 1024;

/// Reason for which a frame could not be decoded.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum FrameError {
    /// The frame has another version than [`FRAME_VERSION`].
    #[error("the peer's frames have version {0}, this node's {FRAME_VERSION}: run the same release on all nodes")]
    WrongVersion(u8),
    /// The frame is truncated or does not hold a message.
    #[error("a frame could not be read ({0}): check that the address is that of a node")]
    Malformed(String),
    /// The frame is longer than [`MAX_FRAME_BYTES`].
    #[error("a frame has {0} bytes, more than {MAX_FRAME_BYTES}: split the document")]
    TooLarge(usize),
}

/// Encoded form of [`RequestKey`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WireKey {
    organisation: String,
    request: String,
}

/// Encoded form of [`VersionCounts`]: cumulative counts of calls of one version on one route at one node. The fields
/// from `calls` on are those of [`RouteTally`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WireCounts {
    /// Service of the version.
    service: String,
    /// Name of the version.
    version: String,
    /// Rollout attempt of the version, from 1.
    attempt: u32,
    /// Name of the route.
    route: String,
    /// Number of calls that ended, excluding faults at cold targets.
    calls: u64,
    /// Number of calls that the version failed at a warm target.
    faults: u64,
    /// Number of calls whose duration was compared with the latency bound, excluding slow calls at cold targets.
    timed: u64,
    /// Number of calls at a warm target that were slower than the latency bound.
    slow: u64,
    /// Number of calls at cold targets.
    cold_calls: u64,
    /// Number of calls that failed at cold targets.
    cold_faults: u64,
    /// Number of calls at cold targets whose duration was compared with the latency bound.
    cold_timed: u64,
    /// Number of calls at cold targets that were slower than the latency bound.
    cold_slow: u64,
    /// Number of request contents during whose calls a target broke off.
    crashes: u64,
}

/// Encoded form of [`PeerMessage`].
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum WireFrame {
    /// Encoded form of [`PeerMessage::Heartbeat`].
    Heartbeat {
        /// Number that identifies the run of the sender's process.
        instance: u64,
        /// Number incremented with each heartbeat of an instance.
        sequence: u64,
        /// Data centre of the sender.
        dc: String,
        /// Address that the sender accepts calls on.
        caller_address: SocketAddr,
        /// Address that the sender accepts connections from peers on.
        peer_address: SocketAddr,
        /// State of the sender: 0 for starting, 1 for serving, 2 for leaving.
        state: u8,
        /// Highest document revision that the sender has.
        revision: u64,
        /// Seats that the sender holds, each as its number from 0 and the epoch of the holder's term.
        seats: Vec<(u32, u64)>,
    },
    /// Encoded form of [`PeerMessage::DocumentWanted`].
    DocumentWanted {
        /// Requested revision.
        wanted: u64,
        /// Revision in force at the sender.
        have: u64,
    },
    /// Encoded form of [`PeerMessage::DocumentGiven`].
    DocumentGiven {
        /// Revision of the document.
        revision: u64,
        /// Random number that identifies the promotion.
        nonce: u64,
        /// Operator who promoted the document.
        author: String,
        /// INI text of the document.
        text: String,
    },
    /// Encoded form of [`PeerMessage::TargetCold`].
    TargetCold {
        /// Name of the target.
        target: String,
        /// Number that identifies the run of the target's process, as far as the sender knows.
        instance: u64,
    },
    /// Encoded form of [`PeerMessage::PermitWanted`].
    PermitWanted {
        /// Name of the target.
        target: String,
        /// Number that matches the reply, a `PermitLent`, with this request.
        ticket: u64,
    },
    /// Encoded form of [`PeerMessage::PermitLent`].
    PermitLent {
        /// Ticket of the request.
        ticket: u64,
        /// Name of the target.
        target: String,
        /// Time within which the call must start, in milliseconds; `None` if no permit is lent.
        start_within_ms: Option<u32>,
    },
    /// Encoded form of [`PeerMessage::PermitReturned`].
    PermitReturned {
        /// Ticket of the request that the permit was lent for.
        ticket: u64,
        /// Name of the target.
        target: String,
    },
    /// Encoded form of [`PeerMessage::OutcomeWanted`].
    OutcomeWanted(WireKey),
    /// Encoded form of [`PeerMessage::OutcomeTold`].
    OutcomeTold {
        /// Key of the request.
        key: WireKey,
        /// Whether the request is running at the sender.
        running: bool,
        /// Final answer, if the request ended.
        answer: Option<WireAnswer>,
    },
    /// Encoded form of [`PeerMessage::Harmful`].
    Harmful {
        /// Hash of the content.
        content: u64,
        /// Targets that crashed while they ran the content.
        targets: Vec<String>,
    },
    /// Encoded form of [`PeerMessage::Counts`].
    Counts {
        /// Number that identifies the run of the process that counted.
        instance: u64,
        /// Counts by version and route.
        counts: Vec<WireCounts>,
    },
    /// Encoded form of [`PeerMessage::VersionBad`].
    VersionBad {
        /// Service of the version.
        service: String,
        /// Name of the version.
        version: String,
        /// Rollout attempt of the version.
        attempt: u32,
        /// Reason for which the version gets no traffic.
        reason: String,
    },
    /// Encoded form of [`PeerMessage::RolloutStep`].
    RolloutStep {
        /// Service that is rolled out.
        service: String,
        /// Candidate version.
        version: String,
        /// Rollout attempt of the version.
        attempt: u32,
        /// Revision of the document with which the rollout started.
        revision: u64,
        /// Whether the candidate is only on trial.
        trial: bool,
        /// Name of the [`RolloutState`].
        state: String,
        /// Current step of the candidate's traffic share, from 0.
        step: u32,
        /// Reason for which the candidate was taken back, or what the trial proved; empty until then.
        reason: String,
        /// Time for which the candidate has been compared, in milliseconds.
        elapsed_ms: u64,
        /// Node that sends the message.
        from: String,
    },
    /// Encoded form of [`PeerMessage::DocumentChanged`].
    DocumentChanged {
        /// Revision that the receiver has.
        base: u64,
        /// Revision of the new document.
        revision: u64,
        /// Random number that identifies the promotion.
        nonce: u64,
        /// Operator who promoted the document.
        author: String,
        /// Number of bytes at the start of the old text that the new text keeps.
        head: u64,
        /// Number of bytes at the end of the old text that the new text keeps.
        tail: u64,
        /// New text between the kept parts.
        middle: String,
    },
}

impl WireFrame {
    /// Encodes the frame as a version byte followed by the `bincode` message.
    #[must_use]
    pub fn encode(&self) -> Vec<u8> {
        let mut bytes = vec![FRAME_VERSION];
        let body = bincode::serde::encode_to_vec(self, bincode::config::standard());
        bytes.extend(body.unwrap_or_default());
        bytes
    }

    /// Decodes the bytes of a frame.
    ///
    /// # Errors
    ///
    /// Returns [`FrameError::WrongVersion`] for another version, and [`FrameError::Malformed`] for bytes that are not
    /// exactly one message.
    pub fn decode(bytes: &[u8]) -> Result<Self, FrameError> {
        let config = bincode::config::standard().with_limit::<MAX_FRAME_BYTES>();
        let (version, body) = bytes.split_first().ok_or_else(|| FrameError::Malformed("it is empty".to_owned()))?;
        if *version != FRAME_VERSION {
            return Err(FrameError::WrongVersion(*version));
        }
        let (frame, used) = bincode::serde::decode_from_slice(body, config)
            .map_err(|error| FrameError::Malformed(error.to_string()))?;
        if used != body.len() {
            return Err(FrameError::Malformed(format!("{} bytes too many", body.len() - used)));
        }
        Ok(frame)
    }
}

fn key_to_wire(key: &RequestKey) -> WireKey {
    WireKey { organisation: key.org.to_string(), request: key.request.to_string() }
}

fn key_from_wire(key: WireKey) -> RequestKey {
    RequestKey { org: OrgName::new(key.organisation), request: RequestId::new(key.request) }
}

fn candidate_from_wire(service: String, version: String, attempt: u32) -> CandidateKey {
    let version = VersionKey { service: ServiceName::new(service), version: VersionName::new(version) };
    CandidateKey { version, attempt }
}

impl From<&PeerMessage> for WireFrame {
    fn from(message: &PeerMessage) -> Self {
        match message {
            PeerMessage::Heartbeat(heartbeat) => Self::Heartbeat {
                instance: heartbeat.instance.0,
                sequence: heartbeat.sequence,
                dc: heartbeat.dc.to_string(),
                caller_address: heartbeat.caller_address,
                peer_address: heartbeat.peer_address,
                state: heartbeat.state as u8,
                revision: heartbeat.revision.0,
                seats: heartbeat.seats.iter().map(|claim| (claim.seat, claim.epoch)).collect(),
            },
            PeerMessage::DocumentWanted { wanted, have } => Self::DocumentWanted { wanted: wanted.0, have: have.0 },
            PeerMessage::DocumentChanged(change) => Self::DocumentChanged {
                base: change.base.0,
                revision: change.revision.0,
                nonce: change.nonce.0,
                author: change.author.to_string(),
                head: change.delta.prefix_len as u64,
                tail: change.delta.suffix_len as u64,
                middle: change.delta.middle.to_string(),
            },
            PeerMessage::DocumentGiven(document) => Self::DocumentGiven {
                revision: document.revision.0,
                nonce: document.nonce.0,
                author: document.author.to_string(),
                text: document.text.to_string(),
            },
            PeerMessage::TargetCold { target, instance } => {
                Self::TargetCold { target: target.to_string(), instance: instance.0 }
            }
            PeerMessage::PermitWanted { target, ticket } => {
                Self::PermitWanted { target: target.to_string(), ticket: *ticket }
            }
            PeerMessage::PermitLent { ticket, target, start_within_ms } => {
                Self::PermitLent { ticket: *ticket, target: target.to_string(), start_within_ms: *start_within_ms }
            }
            PeerMessage::PermitReturned { ticket, target } => {
                Self::PermitReturned { ticket: *ticket, target: target.to_string() }
            }
            PeerMessage::OutcomeWanted(key) => Self::OutcomeWanted(key_to_wire(key)),
            PeerMessage::OutcomeTold { key, running, answer } => Self::OutcomeTold {
                key: key_to_wire(key),
                running: *running,
                answer: answer.as_deref().map(WireAnswer::from),
            },
            PeerMessage::Harmful { content, targets } => {
                Self::Harmful { content: content.0, targets: targets.iter().map(ToString::to_string).collect() }
            }
            PeerMessage::Counts { instance, counts } => {
                Self::Counts { instance: instance.0, counts: counts.iter().map(counts_to_wire).collect() }
            }
            PeerMessage::VersionBad { candidate, reason } => Self::VersionBad {
                service: candidate.version.service.to_string(),
                version: candidate.version.version.to_string(),
                attempt: candidate.attempt,
                reason: reason.to_string(),
            },
            PeerMessage::RolloutStep { service, row, from } => Self::RolloutStep {
                service: service.to_string(),
                version: row.candidate.version.version.to_string(),
                attempt: row.candidate.attempt,
                revision: row.revision.0,
                trial: row.trial,
                state: row.state.to_string(),
                step: row.step,
                reason: row.reason.to_string(),
                elapsed_ms: row.elapsed_ms,
                from: from.to_string(),
            },
        }
    }
}

fn counts_to_wire(counts: &VersionCounts) -> WireCounts {
    let candidate = &counts.key.candidate;
    WireCounts {
        service: candidate.version.service.to_string(),
        version: candidate.version.version.to_string(),
        attempt: candidate.attempt,
        route: counts.key.route.to_string(),
        calls: counts.tally.calls,
        faults: counts.tally.faults,
        timed: counts.tally.timed,
        slow: counts.tally.slow,
        cold_calls: counts.tally.cold_calls,
        cold_faults: counts.tally.cold_faults,
        cold_timed: counts.tally.cold_timed,
        cold_slow: counts.tally.cold_slow,
        crashes: counts.tally.crashes,
    }
}

fn counts_from_wire(wire: WireCounts) -> VersionCounts {
    let candidate = candidate_from_wire(wire.service, wire.version, wire.attempt);
    let tally = RouteTally {
        calls: wire.calls,
        faults: wire.faults,
        timed: wire.timed,
        slow: wire.slow,
        cold_calls: wire.cold_calls,
        cold_faults: wire.cold_faults,
        cold_timed: wire.cold_timed,
        cold_slow: wire.cold_slow,
        crashes: wire.crashes,
    };
    VersionCounts { key: CountKey { candidate, route: Arc::from(wire.route) }, tally }
}

fn node_state_from_wire(state: u8) -> Result<NodeState, FrameError> {
    match state {
        0 => Ok(NodeState::Starting),
        1 => Ok(NodeState::Serving),
        2 => Ok(NodeState::Leaving),
        other => Err(FrameError::Malformed(format!("no node state {other}"))),
    }
}

impl TryFrom<WireFrame> for PeerMessage {
    type Error = FrameError;

    fn try_from(frame: WireFrame) -> Result<Self, FrameError> {
        Ok(match frame {
            WireFrame::Heartbeat { instance, sequence, dc, caller_address, peer_address, state, revision, seats } => {
                Self::Heartbeat(Heartbeat {
                    instance: InstanceId(instance),
                    sequence,
                    dc: DcName::new(dc),
                    caller_address,
                    peer_address,
                    state: node_state_from_wire(state)?,
                    revision: Revision(revision),
                    seats: seats.into_iter().map(|(seat, epoch)| SeatEpoch { seat, epoch }).collect(),
                })
            }
            WireFrame::DocumentWanted { wanted, have } => {
                Self::DocumentWanted { wanted: Revision(wanted), have: Revision(have) }
            }
            WireFrame::DocumentChanged { base, revision, nonce, author, head, tail, middle } => {
                let delta =
                    TextDelta { prefix_len: head as usize, suffix_len: tail as usize, middle: Arc::from(middle) };
                Self::DocumentChanged(Box::new(DocumentChange {
                    base: Revision(base),
                    revision: Revision(revision),
                    nonce: Nonce(nonce),
                    author: Arc::from(author),
                    delta,
                }))
            }
            WireFrame::DocumentGiven { revision, nonce, author, text } => {
                let document =
                    parse_accepted_document(revision, Nonce(nonce), &author, &text).map_err(FrameError::Malformed)?;
                Self::DocumentGiven(Arc::new(document))
            }
            WireFrame::TargetCold { target, instance } => {
                Self::TargetCold { target: TargetName::new(target), instance: InstanceId(instance) }
            }
            WireFrame::PermitWanted { target, ticket } => {
                Self::PermitWanted { target: TargetName::new(target), ticket }
            }
            WireFrame::PermitLent { ticket, target, start_within_ms } => {
                Self::PermitLent { ticket, target: TargetName::new(target), start_within_ms }
            }
            WireFrame::PermitReturned { ticket, target } => {
                Self::PermitReturned { ticket, target: TargetName::new(target) }
            }
            WireFrame::OutcomeWanted(key) => Self::OutcomeWanted(key_from_wire(key)),
            WireFrame::OutcomeTold { key, running, answer } => Self::OutcomeTold {
                key: key_from_wire(key),
                running,
                answer: answer.map(|answer| Box::new(FinalAnswer::from(answer))),
            },
            WireFrame::Harmful { content, targets } => Self::Harmful {
                content: Fingerprint(content),
                targets: targets.into_iter().map(TargetName::new).collect(),
            },
            WireFrame::Counts { instance, counts } => Self::Counts {
                instance: InstanceId(instance),
                counts: counts.into_iter().map(counts_from_wire).collect(),
            },
            WireFrame::VersionBad { service, version, attempt, reason } => Self::VersionBad {
                candidate: candidate_from_wire(service, version, attempt),
                reason: Arc::from(reason),
            },
            WireFrame::RolloutStep {
                service,
                version,
                attempt,
                revision,
                trial,
                state,
                step,
                reason,
                elapsed_ms,
                from,
            } => {
                let state: RolloutState =
                    state.parse().map_err(|_| FrameError::Malformed(format!("no state `{state}` of a candidate")))?;
                let row = RolloutRow {
                    candidate: candidate_from_wire(service.clone(), version, attempt),
                    revision: Revision(revision),
                    trial,
                    state,
                    step,
                    reason: Arc::from(reason),
                    elapsed_ms,
                };
                Self::RolloutStep { service: ServiceName::new(service), row: Box::new(row), from: NodeName::new(from) }
            }
        })
    }
}
