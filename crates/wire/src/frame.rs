//! Frames between nodes: a version byte, then a message in `bincode`, length before each frame.

use std::net::SocketAddr;
use std::sync::Arc;

use serde::{Deserialize, Serialize};
use wasabipier_core::delta::TextDelta;
use wasabipier_core::document::Revision;
use wasabipier_core::message::{DocumentChange, Heartbeat, NodeState, PeerMessage, SeatClaim, VersionCounts};
use wasabipier_core::names::{
    DcName, Fingerprint, InstanceId, NodeName, Nonce, OrgName, RequestId, RequestKey, ServiceName, TargetName,
    VersionKey, VersionName,
};
use wasabipier_core::outcome::FinalAnswer;
use wasabipier_core::store::{RolloutRow, RolloutState};
use wasabipier_core::tally::RouteTally;
use wasabipier_core::versions::{CandidateKey, CountKey};

use crate::answer::WireAnswer;
use crate::row::accepted;

/// Version of the frames; nodes of different versions do not talk.
pub const FRAME_VERSION: u8 = 1;
/// Most bytes of one frame.
pub const MOST_FRAME_BYTES: usize = 4 * 1024 * 1024;

/// Why a frame could not be read.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum FrameError {
    /// The peer speaks another version.
    #[error("the peer's frames have version {0}, this node's {FRAME_VERSION}: run the same release on all nodes")]
    WrongVersion(u8),
    /// The frame is cut off or not a message.
    #[error("a frame could not be read ({0}): check that the address is that of a node")]
    Malformed(String),
    /// The frame is too large.
    #[error("a frame has {0} bytes, more than {MOST_FRAME_BYTES}: split the document")]
    TooLarge(usize),
}

/// A key of a request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WireKey {
    organisation: String,
    request: String,
}

/// Counts of a version on a route.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WireCounts {
    service: String,
    version: String,
    attempt: u32,
    route: String,
    calls: u64,
    faults: u64,
    timed: u64,
    slow: u64,
    cold_calls: u64,
    cold_faults: u64,
    cold_timed: u64,
    cold_slow: u64,
    crashes: u64,
}

/// A message between nodes, as it stands in a frame.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum WireFrame {
    /// Heartbeat.
    Heartbeat {
        /// Instance.
        instance: u64,
        /// Sequence.
        sequence: u64,
        /// Data centre.
        dc: String,
        /// Address for callers.
        caller_address: SocketAddr,
        /// Address for peers.
        peer_address: SocketAddr,
        /// State, 0 to 2.
        state: u8,
        /// Revision.
        revision: u64,
        /// Seats and epochs.
        seats: Vec<(u32, u64)>,
    },
    /// Document wanted.
    DocumentWanted {
        /// Revision wanted.
        wanted: u64,
        /// Revision in force at the sender.
        have: u64,
    },
    /// Document given.
    DocumentGiven {
        /// Revision.
        revision: u64,
        /// Nonce.
        nonce: u64,
        /// Author.
        author: String,
        /// Text.
        text: String,
    },
    /// A target turned cold.
    TargetCold {
        /// Target.
        target: String,
        /// Instance.
        instance: u64,
    },
    /// Permit wanted.
    PermitWanted {
        /// Target.
        target: String,
        /// Ticket.
        ticket: u64,
    },
    /// Permit lent or not.
    PermitLent {
        /// Ticket.
        ticket: u64,
        /// Target.
        target: String,
        /// Milliseconds to start within.
        start_within_ms: Option<u32>,
    },
    /// Permit returned.
    PermitReturned {
        /// Ticket.
        ticket: u64,
        /// Target.
        target: String,
    },
    /// Outcome wanted.
    OutcomeWanted(WireKey),
    /// Outcome told.
    OutcomeTold {
        /// Request.
        key: WireKey,
        /// Whether it runs.
        running: bool,
        /// Its end.
        answer: Option<WireAnswer>,
    },
    /// Harmful content.
    Harmful {
        /// Content.
        content: u64,
        /// Targets.
        targets: Vec<String>,
    },
    /// Counts of versions.
    Counts {
        /// Instance that counted.
        instance: u64,
        /// Counts.
        counts: Vec<WireCounts>,
    },
    /// A bad version.
    VersionBad {
        /// Service.
        service: String,
        /// Version.
        version: String,
        /// Attempt.
        attempt: u32,
        /// Why.
        reason: String,
    },
    /// A step of a candidate.
    RolloutStep {
        /// Service.
        service: String,
        /// Version.
        version: String,
        /// Attempt.
        attempt: u32,
        /// Revision.
        revision: u64,
        /// Whether on trial only.
        trial: bool,
        /// State, by name.
        state: String,
        /// Step.
        step: u32,
        /// Reason.
        reason: String,
        /// Time compared.
        elapsed_ms: u64,
        /// Node that tells.
        from: String,
    },
    /// Document as a difference.
    DocumentChanged {
        /// Revision that the receiver has.
        base: u64,
        /// Revision that it gets.
        revision: u64,
        /// Nonce.
        nonce: u64,
        /// Author.
        author: String,
        /// Bytes kept from the start.
        head: u64,
        /// Bytes kept from the end.
        tail: u64,
        /// What stands between.
        middle: String,
    },
}

impl WireFrame {
    /// The frame's bytes: version, then message.
    #[must_use]
    pub fn encode(&self) -> Vec<u8> {
        let mut bytes = vec![FRAME_VERSION];
        let body = bincode::serde::encode_to_vec(self, bincode::config::standard());
        bytes.extend(body.unwrap_or_default());
        bytes
    }

    /// Reads a frame's bytes.
    ///
    /// # Errors
    ///
    /// The version is another one, or the bytes are not exactly one message.
    pub fn decode(bytes: &[u8]) -> Result<Self, FrameError> {
        let config = bincode::config::standard().with_limit::<MOST_FRAME_BYTES>();
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

fn wire_key(key: &RequestKey) -> WireKey {
    WireKey { organisation: key.org.to_string(), request: key.request.to_string() }
}

fn core_key(key: WireKey) -> RequestKey {
    RequestKey { org: OrgName::new(key.organisation), request: RequestId::new(key.request) }
}

fn candidate_key(service: String, version: String, attempt: u32) -> CandidateKey {
    let version = VersionKey { service: ServiceName::new(service), version: VersionName::new(version) };
    CandidateKey { version, attempt }
}

impl From<&PeerMessage> for WireFrame {
    fn from(message: &PeerMessage) -> Self {
        match message {
            PeerMessage::Heartbeat(beat) => Self::Heartbeat {
                instance: beat.instance.0,
                sequence: beat.sequence,
                dc: beat.dc.to_string(),
                caller_address: beat.caller_address,
                peer_address: beat.peer_address,
                state: beat.state as u8,
                revision: beat.revision.0,
                seats: beat.seats.iter().map(|claim| (claim.seat, claim.epoch)).collect(),
            },
            PeerMessage::DocumentWanted { wanted, have } => Self::DocumentWanted { wanted: wanted.0, have: have.0 },
            PeerMessage::DocumentChanged(change) => Self::DocumentChanged {
                base: change.base.0,
                revision: change.revision.0,
                nonce: change.nonce.0,
                author: change.author.to_string(),
                head: change.delta.head as u64,
                tail: change.delta.tail as u64,
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
            PeerMessage::OutcomeWanted(key) => Self::OutcomeWanted(wire_key(key)),
            PeerMessage::OutcomeTold { key, running, answer } => Self::OutcomeTold {
                key: wire_key(key),
                running: *running,
                answer: answer.as_deref().map(WireAnswer::from),
            },
            PeerMessage::Harmful { content, targets } => {
                Self::Harmful { content: content.0, targets: targets.iter().map(ToString::to_string).collect() }
            }
            PeerMessage::Counts { instance, counts } => {
                Self::Counts { instance: instance.0, counts: counts.iter().map(wire_counts).collect() }
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

fn wire_counts(counts: &VersionCounts) -> WireCounts {
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

fn core_counts(wire: WireCounts) -> VersionCounts {
    let candidate = candidate_key(wire.service, wire.version, wire.attempt);
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

fn node_state(state: u8) -> Result<NodeState, FrameError> {
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
                    state: node_state(state)?,
                    revision: Revision(revision),
                    seats: seats.into_iter().map(|(seat, epoch)| SeatClaim { seat, epoch }).collect(),
                })
            }
            WireFrame::DocumentWanted { wanted, have } => {
                Self::DocumentWanted { wanted: Revision(wanted), have: Revision(have) }
            }
            WireFrame::DocumentChanged { base, revision, nonce, author, head, tail, middle } => {
                let delta = TextDelta { head: head as usize, tail: tail as usize, middle: Arc::from(middle) };
                Self::DocumentChanged(Box::new(DocumentChange {
                    base: Revision(base),
                    revision: Revision(revision),
                    nonce: Nonce(nonce),
                    author: Arc::from(author),
                    delta,
                }))
            }
            WireFrame::DocumentGiven { revision, nonce, author, text } => {
                let document = accepted(revision, Nonce(nonce), &author, &text).map_err(FrameError::Malformed)?;
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
            WireFrame::OutcomeWanted(key) => Self::OutcomeWanted(core_key(key)),
            WireFrame::OutcomeTold { key, running, answer } => Self::OutcomeTold {
                key: core_key(key),
                running,
                answer: answer.map(|answer| Box::new(FinalAnswer::from(answer))),
            },
            WireFrame::Harmful { content, targets } => Self::Harmful {
                content: Fingerprint(content),
                targets: targets.into_iter().map(TargetName::new).collect(),
            },
            WireFrame::Counts { instance, counts } => {
                Self::Counts { instance: InstanceId(instance), counts: counts.into_iter().map(core_counts).collect() }
            }
            WireFrame::VersionBad { service, version, attempt, reason } => {
                Self::VersionBad { candidate: candidate_key(service, version, attempt), reason: Arc::from(reason) }
            }
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
                    candidate: candidate_key(service.clone(), version, attempt),
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
