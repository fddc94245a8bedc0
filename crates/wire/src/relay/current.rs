//! Calls of version 7 and later, as Protocol Buffers messages after the version byte.
//!
//! Receivers skip fields that they do not know, and take missing ones for empty. A call of a kind that the receiver does not
//! know is refused, so that a new kind is only sent to nodes that tell a version which has it.

use std::collections::BTreeMap;
use std::time::Duration;

use prost::{Message, Oneof};
use wasabipier_core::names::{DcName, InstanceId, NodeName, OrgName, ServiceName, TargetName, VersionName};
use wasabipier_core::relay::choice::{PromptPart, PromptSpec};
use wasabipier_core::relay::members::{CallVersion, TargetLoad};
use wasabipier_core::relay::placement::{GrantEnd, GrantEvent, GrantId, PlacementGrant, PlacementRequest};
use wasabipier_core::relay::rollout::VersionLane;
use wasabipier_core::relay::usage::{RunCounts, UsageUpdate};

use crate::frame::{FrameError, MAX_FRAME_BYTES};

/// A call of version 7.
#[derive(Clone, PartialEq, Message)]
pub struct CurrentCall {
    /// Kind of the call; `None` if the receiver does not know it.
    #[prost(oneof = "CallKind", tags = "1, 2, 3, 4")]
    pub kind: Option<CallKind>,
}

/// Kinds of calls of version 7.
#[derive(Clone, PartialEq, Oneof, strum::IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
pub enum CallKind {
    /// Asks a hub to choose the target of a prompt.
    #[prost(message, tag = "1")]
    Place(WirePlacement),
    /// Tells a hub about granted calls.
    #[prost(message, tag = "2")]
    GrantEvents(WireGrantEvents),
    /// Tells another hub the load of the sender's grants.
    #[prost(message, tag = "3")]
    GrantLoads(WireGrantLoads),
    /// Tells a candidate of the duty of metering what the sender counted. Only nodes of [`CallVersion::DUTIES`] read it.
    #[prost(message, tag = "4")]
    Usage(WireUsage),
}

/// Reply to a [`CurrentCall`].
#[derive(Clone, PartialEq, Message)]
pub struct CurrentReply {
    /// The chosen target. `None` if no target may get the call, and in replies to other kinds of calls.
    #[prost(message, optional, tag = "1")]
    pub grant: Option<WireGrant>,
    /// One more than the number of the newest window that is known as reported; 0 if none is, and in replies to other
    /// kinds of calls than `Usage`.
    #[prost(uint64, tag = "2")]
    pub reported_end: u64,
}

/// Encoded form of [`PlacementRequest`].
#[derive(Clone, PartialEq, Message)]
pub struct WirePlacement {
    #[prost(string, tag = "1")]
    service: String,
    /// Number of the [`VersionLane`]: 0 for all versions, 1 for `version` only, 2 for all others.
    #[prost(uint32, tag = "2")]
    lane: u32,
    #[prost(string, tag = "3")]
    version: String,
    #[prost(message, repeated, tag = "4")]
    parts: Vec<WirePromptPart>,
    #[prost(string, repeated, tag = "5")]
    avoid: Vec<String>,
    #[prost(message, repeated, tag = "6")]
    inputs: Vec<WireInputBytes>,
    #[prost(uint32, tag = "7")]
    hold_ms: u32,
    #[prost(string, tag = "8")]
    holder: String,
}

/// Encoded form of [`PromptPart`].
#[derive(Clone, Copy, PartialEq, Message)]
struct WirePromptPart {
    #[prost(fixed64, tag = "1")]
    id: u64,
    #[prost(uint32, tag = "2")]
    tokens: u32,
}

/// Bytes of stage results in a data centre.
#[derive(Clone, PartialEq, Message)]
struct WireInputBytes {
    #[prost(string, tag = "1")]
    dc: String,
    #[prost(uint64, tag = "2")]
    bytes: u64,
}

/// Encoded form of [`PlacementGrant`].
#[derive(Clone, PartialEq, Message)]
pub struct WireGrant {
    #[prost(fixed64, tag = "1")]
    id: u64,
    #[prost(string, tag = "2")]
    target: String,
    #[prost(uint32, tag = "3")]
    unread_tokens: u32,
    #[prost(uint32, tag = "4")]
    tokens_ahead: u32,
}

/// Events of granted calls.
#[derive(Clone, PartialEq, Message)]
pub struct WireGrantEvents {
    #[prost(message, repeated, tag = "1")]
    events: Vec<WireGrantEvent>,
}

/// Encoded form of [`GrantEvent`].
#[derive(Clone, Copy, PartialEq, Message)]
struct WireGrantEvent {
    #[prost(fixed64, tag = "1")]
    id: u64,
    /// 0 if the prompt is read, otherwise one more than the number of the [`GrantEnd`].
    #[prost(uint32, tag = "2")]
    event: u32,
}

/// Loads of the grants of a hub.
#[derive(Clone, PartialEq, Message)]
pub struct WireGrantLoads {
    #[prost(string, tag = "1")]
    hub: String,
    #[prost(message, repeated, tag = "2")]
    loads: Vec<WireLoad>,
}

/// Encoded form of [`TargetLoad`].
#[derive(Clone, PartialEq, Message)]
struct WireLoad {
    #[prost(string, tag = "1")]
    target: String,
    #[prost(uint32, tag = "2")]
    in_flight: u32,
    #[prost(uint32, tag = "3")]
    pending_prompt_tokens: u32,
}

/// Encoded form of [`UsageUpdate`].
#[derive(Clone, PartialEq, Message)]
pub struct WireUsage {
    /// One more than the number of the newest window that is known as reported; 0 if none is.
    #[prost(uint64, tag = "1")]
    reported_end: u64,
    #[prost(message, repeated, tag = "2")]
    runs: Vec<WireRunCounts>,
}

/// Encoded form of [`RunCounts`].
#[derive(Clone, PartialEq, Message)]
struct WireRunCounts {
    #[prost(string, tag = "1")]
    node: String,
    #[prost(fixed64, tag = "2")]
    instance: u64,
    #[prost(message, repeated, tag = "3")]
    windows: Vec<WireWindow>,
}

/// Counts of a window.
#[derive(Clone, PartialEq, Message)]
struct WireWindow {
    #[prost(uint64, tag = "1")]
    window: u64,
    #[prost(message, repeated, tag = "2")]
    counts: Vec<WireOrgCount>,
}

/// Number of requests of an organisation.
#[derive(Clone, PartialEq, Message)]
struct WireOrgCount {
    #[prost(string, tag = "1")]
    org: String,
    #[prost(uint64, tag = "2")]
    count: u64,
}

impl From<&PlacementRequest> for WirePlacement {
    fn from(request: &PlacementRequest) -> Self {
        let (lane, version) = match &request.lane {
            VersionLane::Any => (0, String::new()),
            VersionLane::Only(version) => (1, version.to_string()),
            VersionLane::Except(version) => (2, version.to_string()),
        };
        let parts = request.prompt.parts.iter().map(|part| WirePromptPart { id: part.id, tokens: part.tokens });
        let inputs = request.input_bytes_by_dc.iter();
        Self {
            service: request.service.to_string(),
            lane,
            version,
            parts: parts.collect(),
            avoid: request.avoid.iter().map(ToString::to_string).collect(),
            inputs: inputs.map(|(dc, bytes)| WireInputBytes { dc: dc.to_string(), bytes: *bytes }).collect(),
            hold_ms: request.hold_time.as_millis() as u32,
            holder: request.holder.to_string(),
        }
    }
}

impl From<WirePlacement> for PlacementRequest {
    fn from(request: WirePlacement) -> Self {
        let version = VersionName::new(request.version);
        let parts = request.parts.into_iter().map(|part| PromptPart { id: part.id, tokens: part.tokens });
        let inputs = request.inputs.into_iter().map(|input| (DcName::new(input.dc), input.bytes));
        Self {
            service: ServiceName::new(request.service),
            lane: match request.lane {
                1 => VersionLane::Only(version),
                2 => VersionLane::Except(version),
                _ => VersionLane::Any,
            },
            prompt: PromptSpec { parts: parts.collect() },
            avoid: request.avoid.into_iter().map(TargetName::new).collect(),
            input_bytes_by_dc: inputs.collect::<BTreeMap<_, _>>(),
            hold_time: Duration::from_millis(u64::from(request.hold_ms)),
            holder: NodeName::new(request.holder),
        }
    }
}

impl From<&PlacementGrant> for WireGrant {
    fn from(grant: &PlacementGrant) -> Self {
        Self {
            id: grant.id.0,
            target: grant.target.to_string(),
            unread_tokens: grant.unread_tokens,
            tokens_ahead: grant.tokens_ahead,
        }
    }
}

impl From<WireGrant> for PlacementGrant {
    fn from(grant: WireGrant) -> Self {
        Self {
            id: GrantId(grant.id),
            target: TargetName::new(grant.target),
            unread_tokens: grant.unread_tokens,
            tokens_ahead: grant.tokens_ahead,
        }
    }
}

impl WireGrantEvents {
    /// Returns the encoded form of `events`.
    #[must_use]
    pub fn new(events: &[(GrantId, GrantEvent)]) -> Self {
        let events = events.iter().map(|(id, event)| WireGrantEvent {
            id: id.0,
            event: match event {
                GrantEvent::PromptRead => 0,
                GrantEvent::Ended(end) => 1 + *end as u32,
            },
        });
        Self { events: events.collect() }
    }

    /// Decodes the events. An end of a kind that this release does not know says nothing about its target.
    #[must_use]
    pub fn into_events(self) -> Vec<(GrantId, GrantEvent)> {
        let events = self.events.into_iter().map(|wire| {
            let end =
                |number: u32| u8::try_from(number).ok().and_then(GrantEnd::from_repr).unwrap_or(GrantEnd::Unknown);
            let event =
                wire.event.checked_sub(1).map_or(GrantEvent::PromptRead, |number| GrantEvent::Ended(end(number)));
            (GrantId(wire.id), event)
        });
        events.collect()
    }
}

impl WireGrantLoads {
    /// Returns the encoded form of the `loads` of the grants of `hub`.
    #[must_use]
    pub fn new(hub: &NodeName, loads: &[TargetLoad]) -> Self {
        let loads = loads.iter().map(|load| WireLoad {
            target: load.target.to_string(),
            in_flight: load.in_flight,
            pending_prompt_tokens: load.pending_prompt_tokens,
        });
        Self { hub: hub.to_string(), loads: loads.collect() }
    }

    /// Returns the hub and the loads of its grants.
    #[must_use]
    pub fn into_parts(self) -> (NodeName, Vec<TargetLoad>) {
        let loads = self.loads.into_iter().map(|load| TargetLoad {
            target: TargetName::new(load.target),
            in_flight: load.in_flight,
            pending_prompt_tokens: load.pending_prompt_tokens,
        });
        (NodeName::new(self.hub), loads.collect())
    }
}

impl From<&UsageUpdate> for WireUsage {
    fn from(update: &UsageUpdate) -> Self {
        let runs = update.runs.iter().map(WireRunCounts::from);
        Self { reported_end: reported_to_wire(update.reported), runs: runs.collect() }
    }
}

impl From<WireUsage> for UsageUpdate {
    fn from(update: WireUsage) -> Self {
        let runs = update.runs.into_iter().map(RunCounts::from);
        Self { reported: reported_from_wire(update.reported_end), runs: runs.collect() }
    }
}

impl From<&RunCounts> for WireRunCounts {
    fn from(counts: &RunCounts) -> Self {
        let windows = counts.windows.iter().map(|(window, counts)| {
            let counts = counts.iter().map(|(org, count)| WireOrgCount { org: org.to_string(), count: *count });
            WireWindow { window: *window, counts: counts.collect() }
        });
        let (node, instance) = &counts.run;
        Self { node: node.to_string(), instance: instance.0, windows: windows.collect() }
    }
}

impl From<WireRunCounts> for RunCounts {
    fn from(counts: WireRunCounts) -> Self {
        let windows = counts.windows.into_iter().map(|wire| {
            let counts = wire.counts.into_iter().map(|wire| (OrgName::new(wire.org), wire.count));
            (wire.window, counts.collect())
        });
        Self { run: (NodeName::new(counts.node), InstanceId(counts.instance)), windows: windows.collect() }
    }
}

/// Encodes the newest window that is known as reported.
#[must_use]
pub fn reported_to_wire(reported: Option<u64>) -> u64 {
    reported.map_or(0, |window| window.saturating_add(1))
}

/// Decodes the newest window that is known as reported.
#[must_use]
pub fn reported_from_wire(end: u64) -> Option<u64> {
    end.checked_sub(1)
}

/// Version byte of these calls and replies. It stays the same for all later versions.
const VERSION_BYTE: u8 = CallVersion::ROSTERS.0 as u8;

/// Returns whether `bytes` are a call or reply of version 7 or later.
#[must_use]
pub fn is_current(bytes: &[u8]) -> bool {
    bytes.first() == Some(&VERSION_BYTE)
}

/// Encodes a call or reply.
#[must_use]
pub fn encode_current<T: Message>(value: &T) -> Vec<u8> {
    let mut bytes = vec![VERSION_BYTE];
    bytes.extend_from_slice(&value.encode_to_vec());
    bytes
}

/// Decodes bytes that [`encode_current`] returned, also if a later release did.
///
/// # Errors
///
/// Returns [`FrameError::TooLarge`] for more than [`MAX_FRAME_BYTES`] bytes, [`FrameError::WrongVersion`] for another
/// version byte, and [`FrameError::Malformed`] for bytes that are no message.
pub fn decode_current<T: Message + Default>(bytes: &[u8]) -> Result<T, FrameError> {
    if bytes.len() > MAX_FRAME_BYTES {
        return Err(FrameError::TooLarge(bytes.len()));
    }
    let Some((version, body)) = bytes.split_first() else { return Err(FrameError::Malformed("empty".to_owned())) };
    if *version != VERSION_BYTE {
        return Err(FrameError::WrongVersion(*version));
    }
    T::decode(body).map_err(|error| FrameError::Malformed(error.to_string()))
}
