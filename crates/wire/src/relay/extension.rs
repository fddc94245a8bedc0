//! Fields that follow the body of a heartbeat, as a Protocol Buffers message.
//!
//! Nodes that read calls of version 6 only take no notice of bytes after the body, and nodes of all later versions skip
//! fields that they do not know.

use std::collections::BTreeSet;
use std::time::Duration;

use bincode::config;
use prost::Message;
use wasabipier_core::names::NodeName;
use wasabipier_core::relay::members::{CallVersion, RelayHeartbeat};
use wasabipier_core::relay::rosters::{KnownRoster, RosterId, RosterUpdate};
use wasabipier_core::relay::store_version::StoreVersion;
use wasabipier_core::relay::suspects::SuspectReport;

use super::{WireCall, WireHeartbeat, WireReply, decode_with_rest, encode};
use crate::frame::{FrameError, MAX_FRAME_BYTES};

/// What a node tells beside a heartbeat.
#[derive(Clone, PartialEq, Message)]
pub struct HeartbeatExtension {
    /// Highest version of calls that the node reads. 0 stands for the version of nodes that do not tell theirs.
    #[prost(uint32, tag = "1")]
    call_version: u32,
    /// Copies of rosters that the caller has.
    #[prost(message, repeated, tag = "2")]
    known: Vec<WireKnownRoster>,
    /// Updates of rosters, in replies.
    #[prost(message, repeated, tag = "3")]
    rosters: Vec<WireRosterUpdate>,
    /// Live nodes that no roster lists, in replies.
    #[prost(message, repeated, tag = "4")]
    members: Vec<WireMember>,
    /// Isolated crashes among those of the heartbeat's suspects.
    #[prost(fixed64, repeated, tag = "5")]
    isolated_crashes: Vec<u64>,
    /// Version of the store from which on its newest settled era is settled, if the node knows one.
    #[prost(message, optional, tag = "6")]
    settled_from: Option<WireStoreVersion>,
}

/// Encoded form of [`StoreVersion`].
#[derive(Clone, Copy, PartialEq, Message)]
struct WireStoreVersion {
    #[prost(uint64, tag = "1")]
    era: u64,
    #[prost(uint64, tag = "2")]
    number: u64,
}

/// Encoded form of [`KnownRoster`].
#[derive(Clone, Copy, PartialEq, Message)]
struct WireKnownRoster {
    #[prost(fixed64, tag = "1")]
    id: u64,
    #[prost(uint64, tag = "2")]
    version: u64,
}

/// Encoded form of [`RosterUpdate`].
#[derive(Clone, PartialEq, Message)]
struct WireRosterUpdate {
    #[prost(fixed64, tag = "1")]
    id: u64,
    #[prost(uint64, tag = "2")]
    version: u64,
    #[prost(uint64, tag = "3")]
    base: u64,
    #[prost(uint32, tag = "4")]
    age_ms: u32,
    #[prost(message, repeated, tag = "5")]
    changed: Vec<WireMember>,
    #[prost(string, repeated, tag = "6")]
    gone: Vec<String>,
}

/// Last heartbeat of a node that another one tells of.
#[derive(Clone, PartialEq, Message)]
struct WireMember {
    /// [`WireHeartbeat`] as in calls of version 6, without the version byte.
    #[prost(bytes = "vec", tag = "1")]
    heartbeat: Vec<u8>,
    #[prost(uint32, tag = "2")]
    call_version: u32,
    /// Age of the heartbeat, 0 in rosters.
    #[prost(uint32, tag = "3")]
    age_ms: u32,
}

impl WireMember {
    fn new(heartbeat: &RelayHeartbeat, age: Duration) -> Self {
        // Encoding fails only for types that bincode does not support, and none of the encoded types is one.
        let body = bincode::serde::encode_to_vec(WireHeartbeat::from(heartbeat), config::standard());
        Self {
            heartbeat: body.unwrap_or_default(),
            call_version: heartbeat.call_version.0,
            age_ms: age.as_millis() as u32,
        }
    }

    /// Decodes the member. Returns `None` if its heartbeat is malformed.
    fn into_member(self) -> Option<(RelayHeartbeat, Duration)> {
        let config = config::standard().with_limit::<MAX_FRAME_BYTES>();
        let (heartbeat, _) = bincode::serde::decode_from_slice::<WireHeartbeat, _>(&self.heartbeat, config).ok()?;
        let call_version = CallVersion(self.call_version).max(CallVersion::BASE);
        let heartbeat = RelayHeartbeat { call_version, ..heartbeat.into() };
        Some((heartbeat, Duration::from_millis(u64::from(self.age_ms))))
    }
}

impl From<&RosterUpdate> for WireRosterUpdate {
    fn from(update: &RosterUpdate) -> Self {
        Self {
            id: update.known.id.0,
            version: update.known.version,
            base: update.base,
            age_ms: update.age.as_millis() as u32,
            changed: update.changed.iter().map(|heartbeat| WireMember::new(heartbeat, Duration::ZERO)).collect(),
            gone: update.gone.iter().map(ToString::to_string).collect(),
        }
    }
}

impl From<WireRosterUpdate> for RosterUpdate {
    fn from(update: WireRosterUpdate) -> Self {
        let changed = update.changed.into_iter().filter_map(WireMember::into_member);
        Self {
            known: KnownRoster { id: RosterId(update.id), version: update.version },
            base: update.base,
            age: Duration::from_millis(u64::from(update.age_ms)),
            changed: changed.map(|(heartbeat, _)| heartbeat).collect(),
            gone: update.gone.into_iter().map(NodeName::new).collect(),
        }
    }
}

impl HeartbeatExtension {
    /// Returns what a node tells with a heartbeat that asks for a report: the version of calls that it reads, and the
    /// copies of rosters that it has.
    #[must_use]
    pub fn of_call(call_version: CallVersion, known: &[KnownRoster]) -> Self {
        let known = known.iter().map(|known| WireKnownRoster { id: known.id.0, version: known.version });
        Self { call_version: call_version.0, known: known.collect(), ..Self::default() }
    }

    /// Returns what a node tells with a heartbeat that replies to another. `members` are nodes that no roster lists, with
    /// the age of their heartbeats.
    #[must_use]
    pub fn of_reply(
        call_version: CallVersion,
        rosters: &[RosterUpdate],
        members: &[(RelayHeartbeat, Duration)],
    ) -> Self {
        Self {
            call_version: call_version.0,
            rosters: rosters.iter().map(Into::into).collect(),
            members: members.iter().map(|(heartbeat, age)| WireMember::new(heartbeat, *age)).collect(),
            ..Self::default()
        }
    }

    /// Adds which crashes of the heartbeat's `suspects` are isolated.
    #[must_use]
    pub fn with_suspects(self, suspects: &[SuspectReport]) -> Self {
        let isolated = suspects.iter().flat_map(|suspect| &suspect.crashes).filter(|report| report.is_isolated);
        let isolated: BTreeSet<u64> = isolated.map(|report| report.crash.0).collect();
        Self { isolated_crashes: isolated.into_iter().collect(), ..self }
    }

    /// Adds from which version on the store's newest settled era is settled.
    #[must_use]
    pub fn with_settled_era(self, settled_from: Option<StoreVersion>) -> Self {
        let settled_from = settled_from.map(|StoreVersion { era, number }| WireStoreVersion { era, number });
        Self { settled_from, ..self }
    }

    /// Returns the heartbeat that this message follows, with what it tells of the sender itself.
    #[must_use]
    pub fn complete(&self, heartbeat: WireHeartbeat) -> RelayHeartbeat {
        let settled_from = self.settled_from.map(|settled| StoreVersion::new(settled.era, settled.number));
        let mut heartbeat = RelayHeartbeat { call_version: self.call_version(), settled_from, ..heartbeat.into() };
        for report in heartbeat.suspects.iter_mut().flat_map(|suspect| &mut suspect.crashes) {
            report.is_isolated = self.isolated_crashes.contains(&report.crash.0);
        }
        heartbeat
    }

    /// Returns the highest version of calls that the sender reads.
    #[must_use]
    pub fn call_version(&self) -> CallVersion {
        CallVersion(self.call_version).max(CallVersion::BASE)
    }

    /// Returns the copies of rosters that the sender has.
    #[must_use]
    pub fn known(&self) -> Vec<KnownRoster> {
        let known = self.known.iter();
        known.map(|known| KnownRoster { id: RosterId(known.id), version: known.version }).collect()
    }

    /// Returns the updates of rosters, and the nodes that no roster lists with the age of their heartbeats.
    #[must_use]
    pub fn into_report(self) -> (Vec<RosterUpdate>, Vec<(RelayHeartbeat, Duration)>) {
        let members = self.members.into_iter().filter_map(WireMember::into_member);
        (self.rosters.into_iter().map(Into::into).collect(), members.collect())
    }
}

/// Encodes a heartbeat call with its extension.
#[must_use]
pub fn encode_heartbeat(call: &WireCall, extension: &HeartbeatExtension) -> Vec<u8> {
    let mut bytes = encode(call);
    bytes.extend_from_slice(&extension.encode_to_vec());
    bytes
}

/// Encodes the reply to a heartbeat with its extension.
#[must_use]
pub fn encode_heartbeat_reply(reply: &WireReply, extension: &HeartbeatExtension) -> Vec<u8> {
    let mut bytes = encode(reply);
    bytes.extend_from_slice(&extension.encode_to_vec());
    bytes
}

/// Decodes a call or reply of version 6 with the extension that follows it. It is empty if there is none.
///
/// # Errors
///
/// Returns the same errors as [`super::decode`], and [`FrameError::Malformed`] for an extension that is no message.
pub fn decode_extended<T: serde::de::DeserializeOwned>(bytes: &[u8]) -> Result<(T, HeartbeatExtension), FrameError> {
    let (value, rest) = decode_with_rest::<T, MAX_FRAME_BYTES>(bytes)?;
    let extension = HeartbeatExtension::decode(rest).map_err(|error| FrameError::Malformed(error.to_string()))?;
    Ok((value, extension))
}
