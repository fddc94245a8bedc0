//! Calls between relaying nodes: a version byte, then a call or reply in `bincode`.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use wasabipier_core::clock::Moment;
use wasabipier_core::message::NodeState;
use wasabipier_core::names::{DcName, InstanceId, NodeName, ServiceName, TargetName};
use wasabipier_core::relay::fleet::FleetReport;
use wasabipier_core::relay::members::{RelayHeartbeat, TableProof, TargetLoad};
use wasabipier_core::relay::pieces::{PieceFailure, PieceJob, PieceOutcome, PieceResult, PieceSource, QueueWait};
use wasabipier_core::relay::prompts::PromptCacheUpdate;
use wasabipier_core::relay::rows::{RowBatch, SharedRow, SharedTable};

use crate::frame::{FrameError, MOST_FRAME_BYTES};

/// Version of the calls; nodes of different versions do not talk.
const CALL_VERSION: u8 = 2;

/// A node's heartbeat.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WireHeartbeat {
    node: String,
    instance: u64,
    sequence: u64,
    dc: String,
    capacity: u32,
    caller_address: SocketAddr,
    peer_address: SocketAddr,
    state: u8,
    proofs: Vec<(u8, u64, u64, u32)>,
    loads: Vec<WireLoad>,
    prompts: Vec<WirePrompt>,
    waits: Vec<(String, Vec<(u32, u32)>)>,
}

/// A target, its calls in flight and its unread prompt tokens.
type WireLoad = (String, u32, u32);
/// A target and keys of prompts.
type WirePrompt = (String, Vec<u64>);

/// Work in flight of a node and of those that it speaks for.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WireWork {
    node: String,
    dc: String,
    loads: Vec<WireLoad>,
}

impl WireWork {
    /// Work that `node` in `dc` tells.
    #[must_use]
    pub fn new(node: &NodeName, dc: &DcName, loads: &[TargetLoad]) -> Self {
        Self { node: node.to_string(), dc: dc.to_string(), loads: loads_to_wire(loads) }
    }

    /// Who told it, the data centre, and the work.
    #[must_use]
    pub fn read(self) -> (NodeName, DcName, Vec<TargetLoad>) {
        (NodeName::new(self.node), DcName::new(self.dc), loads_from_wire(self.loads))
    }
}

/// What a hub tells of other nodes.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct WireNews {
    members: Vec<(WireHeartbeat, u32)>,
    loads: Vec<WireLoad>,
    prompts: Vec<WirePrompt>,
}

/// A row of a shared table.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WireRow {
    key: String,
    version: u64,
    value: Option<Vec<u8>>,
}

/// Pieces of one stage of a request to be made; they differ in nothing but their positions.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WireJobs {
    request: String,
    stage: u32,
    segments: Vec<u32>,
    content: Option<String>,
    results: Vec<String>,
    left_ms: u32,
    aim_ms: u32,
    needs_ms: u32,
    rank: u8,
    wanted_in: Option<String>,
    result_bytes: u64,
    remote_bytes: u64,
}

/// How a piece ended.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum WirePieceEnd {
    /// Made: its handle and its maker's data centre.
    Made(String, String),
    /// Not made.
    Failed(u8),
}

/// What a node asks of another.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum WireCall {
    /// Tells how it is and, if it is a hub, how others are, and asks the same.
    Heartbeat(Box<WireHeartbeat>, WireNews),
    /// Tells work in flight, and asks the same.
    Work(WireWork),
    /// Asks for a shared table, if the peer's copy is newer than this version.
    Rows {
        /// The table.
        table: u8,
        /// Version that the asker has.
        have: u64,
    },
    /// Asks the gatherer of a service for pieces.
    Pieces {
        /// The service.
        service: String,
        /// The pieces.
        jobs: Vec<WireJobs>,
    },
    /// Gives results up.
    Free {
        /// The service that made them.
        service: String,
        /// Their handles.
        handles: Vec<String>,
    },
    /// Content that brought down a target.
    Harmful {
        /// The content.
        content: u64,
        /// The target.
        target: String,
    },
}

/// The answer to a call.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum WireReply {
    /// How the peer is, addresses of the nodes that it knows, and how these are in a large fleet.
    Heartbeat(Box<WireHeartbeat>, Vec<SocketAddr>, WireNews),
    /// Work in flight as the peer knows it.
    Work(WireWork),
    /// A shared table as the peer has it, and its age in milliseconds.
    Rows {
        /// Rows that changed since the asker's version, or all.
        rows: Vec<WireRow>,
        /// Whether these are all rows.
        whole: bool,
        /// The store's version.
        version: u64,
        /// Time since this state was asked for.
        age_ms: u32,
    },
    /// How each piece ended.
    Pieces(Vec<WirePieceEnd>),
    /// Done.
    Done,
}

/// Encodes a call or reply.
#[must_use]
pub fn encode<T: Serialize>(value: &T) -> Vec<u8> {
    let mut bytes = vec![CALL_VERSION];
    // Only types that cannot be encoded fail, and these are fixed.
    if let Ok(body) = bincode::serde::encode_to_vec(value, bincode::config::standard()) {
        bytes.extend_from_slice(&body);
    }
    bytes
}

/// Decodes a call or reply.
///
/// # Errors
///
/// The bytes are of another version, too long, or no message.
pub fn decode<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, FrameError> {
    if bytes.len() > MOST_FRAME_BYTES {
        return Err(FrameError::TooLarge(bytes.len()));
    }
    let Some((version, body)) = bytes.split_first() else { return Err(FrameError::Malformed("empty".to_owned())) };
    if *version != CALL_VERSION {
        return Err(FrameError::WrongVersion(*version));
    }
    let config = bincode::config::standard().with_limit::<MOST_FRAME_BYTES>();
    let (value, _) =
        bincode::serde::decode_from_slice(body, config).map_err(|error| FrameError::Malformed(error.to_string()))?;
    Ok(value)
}

/// Number of a table in calls.
#[must_use]
pub fn table_number(table: SharedTable) -> u8 {
    match table {
        SharedTable::Orders => 0,
        SharedTable::Targets => 1,
    }
}

/// The table of a number in calls.
#[must_use]
pub fn table_of(number: u8) -> Option<SharedTable> {
    [SharedTable::Orders, SharedTable::Targets].into_iter().find(|table| table_number(*table) == number)
}

impl From<&RelayHeartbeat> for WireHeartbeat {
    fn from(heartbeat: &RelayHeartbeat) -> Self {
        Self {
            node: heartbeat.node.to_string(),
            instance: heartbeat.instance.0,
            sequence: heartbeat.sequence,
            dc: heartbeat.dc.to_string(),
            capacity: heartbeat.capacity,
            caller_address: heartbeat.caller_address,
            peer_address: heartbeat.peer_address,
            state: match heartbeat.state {
                NodeState::Starting => 0,
                NodeState::Serving => 1,
                NodeState::Leaving => 2,
            },
            proofs: heartbeat
                .proofs
                .iter()
                .map(|proof| (table_number(proof.table), proof.version, proof.changed, proof.age_ms))
                .collect(),
            loads: loads_to_wire(&heartbeat.loads),
            prompts: prompts_to_wire(&heartbeat.prompts),
            waits: heartbeat.waits.iter().map(|(service, waits)| (service.to_string(), waits_to_wire(waits))).collect(),
        }
    }
}

impl From<WireHeartbeat> for RelayHeartbeat {
    fn from(heartbeat: WireHeartbeat) -> Self {
        let proofs = heartbeat.proofs.into_iter().filter_map(|(table, version, changed, age_ms)| {
            Some(TableProof { table: table_of(table)?, version, changed, age_ms })
        });
        let waits =
            heartbeat.waits.into_iter().map(|(service, waits)| (ServiceName::new(service), waits_from_wire(&waits)));
        Self {
            node: NodeName::new(heartbeat.node),
            instance: InstanceId(heartbeat.instance),
            sequence: heartbeat.sequence,
            dc: DcName::new(heartbeat.dc),
            capacity: heartbeat.capacity,
            caller_address: heartbeat.caller_address,
            peer_address: heartbeat.peer_address,
            state: match heartbeat.state {
                1 => NodeState::Serving,
                2 => NodeState::Leaving,
                _ => NodeState::Starting,
            },
            proofs: proofs.collect(),
            loads: loads_from_wire(heartbeat.loads),
            prompts: prompts_from_wire(heartbeat.prompts),
            waits: waits.collect(),
        }
    }
}

fn loads_to_wire(loads: &[TargetLoad]) -> Vec<WireLoad> {
    loads.iter().map(|load| (load.target.to_string(), load.in_flight, load.unread_tokens)).collect()
}

fn loads_from_wire(loads: Vec<WireLoad>) -> Vec<TargetLoad> {
    let loads = loads.into_iter();
    loads
        .map(|(target, in_flight, unread_tokens)| TargetLoad {
            target: TargetName::new(target),
            in_flight,
            unread_tokens,
        })
        .collect()
}

fn prompts_to_wire(prompts: &[PromptCacheUpdate]) -> Vec<WirePrompt> {
    prompts.iter().map(|news| (news.target.to_string(), news.keys.clone())).collect()
}

fn prompts_from_wire(prompts: Vec<WirePrompt>) -> Vec<PromptCacheUpdate> {
    prompts.into_iter().map(|(target, keys)| PromptCacheUpdate { target: TargetName::new(target), keys }).collect()
}

impl From<&FleetReport> for WireNews {
    fn from(news: &FleetReport) -> Self {
        let members = news.members.iter().map(|(heartbeat, age)| (heartbeat.into(), age.as_millis() as u32));
        Self { members: members.collect(), loads: loads_to_wire(&news.loads), prompts: prompts_to_wire(&news.prompts) }
    }
}

impl From<WireNews> for FleetReport {
    fn from(news: WireNews) -> Self {
        let members = news.members.into_iter();
        let members = members.map(|(heartbeat, ms)| (heartbeat.into(), Duration::from_millis(u64::from(ms))));
        Self {
            members: members.collect(),
            loads: loads_from_wire(news.loads),
            prompts: prompts_from_wire(news.prompts),
        }
    }
}

fn waits_to_wire(waits: &[QueueWait]) -> Vec<(u32, u32)> {
    waits.iter().map(|wait| (wait.on_time.as_millis() as u32, wait.late.as_millis() as u32)).collect()
}

fn waits_from_wire(waits: &[(u32, u32)]) -> Vec<QueueWait> {
    let millis = |ms: u32| Duration::from_millis(u64::from(ms));
    waits.iter().map(|(on_time, late)| QueueWait { on_time: millis(*on_time), late: millis(*late) }).collect()
}

impl From<&SharedRow> for WireRow {
    fn from(row: &SharedRow) -> Self {
        Self { key: row.key.to_string(), version: row.version, value: row.value.as_ref().map(|value| value.to_vec()) }
    }
}

impl From<WireRow> for SharedRow {
    fn from(row: WireRow) -> Self {
        Self { key: row.key.into(), version: row.version, value: row.value.map(Arc::from) }
    }
}

/// A table from a peer.
#[must_use]
pub fn batch(rows: Vec<WireRow>, version: u64, whole: bool) -> RowBatch {
    RowBatch { rows: rows.into_iter().map(SharedRow::from).collect(), version, whole }
}

/// Jobs as they are sent at `now`, in the same order. Inputs of a stage are the same for each of its pieces, and are
/// sent once.
#[must_use]
pub fn jobs_to_wire(jobs: &[PieceJob], now: Moment) -> Vec<WireJobs> {
    let is_alike = |one: &PieceJob, other: &PieceJob| PieceJob { segment: one.segment, ..other.clone() } == *one;
    jobs.chunk_by(is_alike).filter_map(|alike| Some(alike_to_wire(alike.first()?, alike, now))).collect()
}

fn alike_to_wire(job: &PieceJob, alike: &[PieceJob], now: Moment) -> WireJobs {
    let (content, results) = match &job.source {
        PieceSource::Content(key) => (Some(key.to_string()), Vec::new()),
        PieceSource::Results(handles) => (None, handles.iter().map(ToString::to_string).collect()),
    };
    WireJobs {
        request: job.request.to_string(),
        stage: job.stage,
        segments: alike.iter().map(|job| job.segment).collect(),
        content,
        results,
        left_ms: now.until(job.deadline).as_millis() as u32,
        aim_ms: now.until(job.objective).as_millis() as u32,
        needs_ms: job.time_needed.as_millis() as u32,
        rank: job.rank,
        wanted_in: job.wanted_in.as_ref().map(ToString::to_string),
        result_bytes: job.result_bytes,
        remote_bytes: job.remote_bytes,
    }
}

/// Jobs as they came at `now`.
#[must_use]
pub fn jobs_from_wire(jobs: WireJobs, now: Moment) -> Vec<PieceJob> {
    let results: Vec<Arc<str>> = jobs.results.into_iter().map(Arc::from).collect();
    let source = match jobs.content {
        Some(key) => PieceSource::Content(key.into()),
        None => PieceSource::Results(results.into()),
    };
    let first = PieceJob {
        request: jobs.request.into(),
        stage: jobs.stage,
        segment: 0,
        source,
        deadline: now + Duration::from_millis(u64::from(jobs.left_ms)),
        objective: now + Duration::from_millis(u64::from(jobs.aim_ms)),
        time_needed: Duration::from_millis(u64::from(jobs.needs_ms)),
        rank: jobs.rank,
        wanted_in: jobs.wanted_in.map(DcName::new),
        result_bytes: jobs.result_bytes,
        remote_bytes: jobs.remote_bytes,
    };
    jobs.segments.into_iter().map(|segment| PieceJob { segment, ..first.clone() }).collect()
}

/// Failures by their numbers in replies.
const FAILURES: [PieceFailure; 4] =
    [PieceFailure::Late, PieceFailure::InputsGone, PieceFailure::NoRoom, PieceFailure::Failed];

/// An end as it is sent.
#[must_use]
pub fn end_to_wire(end: &PieceOutcome) -> WirePieceEnd {
    match end {
        Ok(result) => WirePieceEnd::Made(result.handle.to_string(), result.dc.to_string()),
        Err(failure) => {
            let number = FAILURES.iter().position(|other| other == failure).unwrap_or(FAILURES.len() - 1);
            WirePieceEnd::Failed(number as u8)
        }
    }
}

/// An end as it came.
///
/// # Errors
///
/// Why the piece was not made, as the peer told it.
pub fn end_from_wire(end: WirePieceEnd) -> PieceOutcome {
    match end {
        WirePieceEnd::Made(handle, dc) => Ok(PieceResult { handle: handle.into(), dc: DcName::new(dc) }),
        WirePieceEnd::Failed(number) => Err(FAILURES.get(usize::from(number)).copied().unwrap_or(PieceFailure::Failed)),
    }
}
