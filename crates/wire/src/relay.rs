//! Calls between relay nodes.
//!
//! Calls of version 6 are a version byte followed by a `bincode` call or reply, whose types never change any more. What a
//! heartbeat tells beyond them follows in an [`extension`], and new kinds of calls are [`current`] ones. Both are messages
//! whose unknown fields are skipped, so that nodes of any two releases from version 6 on read each other's calls. A node
//! tells the highest version that it reads with each heartbeat.

pub mod current;
pub mod extension;
mod limits;
mod rows;

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use wasabipier_core::clock::Moment;
use wasabipier_core::message::NodeState;
use wasabipier_core::names::{DcName, InstanceId, NodeName, ServiceName, TargetName};
use wasabipier_core::relay::brittle::RejectTolerance;
use wasabipier_core::relay::fleet::FleetReport;
use wasabipier_core::relay::members::{CallVersion, RelayHeartbeat, TableProof, TargetLoad};
use wasabipier_core::relay::paths::PathReport;
use wasabipier_core::relay::pieces::{PieceFailure, PieceJob, PieceOutcome, PieceResult, PieceSource, QueueWait};
use wasabipier_core::relay::prompts::PromptCacheUpdate;
use wasabipier_core::relay::rate_limits::RequestRate;
use wasabipier_core::relay::rows::TableId;
use wasabipier_core::relay::suspects::SuspectReport;

use crate::frame::{FrameError, MAX_FRAME_BYTES};
use crate::rollout::WireRolloutReport;
use crate::suspects::WireSuspect;

pub use self::limits::{WireLeaseEnd, WirePermitRequest, permit_from_wire, permit_to_wire};
use self::limits::{limits_from_wire, limits_to_wire};
pub use self::rows::{
    WireOutline, WireRow, WireRows, WireVersion, compress_chunks, decode_rows, decompress_chunks, encode_rows,
    row_batch_from_wire, version_from_wire, version_to_wire,
};

/// Version byte of the calls whose types are in this module.
const VERSION_BYTE: u8 = CallVersion::BASE.0 as u8;

/// Encoded form of [`RelayHeartbeat`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WireHeartbeat {
    node: String,
    instance: u64,
    /// Number incremented with each heartbeat of an instance.
    sequence: u64,
    dc: String,
    /// Relative strength of the node's VM.
    capacity: u32,
    caller_address: SocketAddr,
    peer_address: SocketAddr,
    /// State of the node: 0 for starting, 1 for serving, 2 for leaving.
    state: u8,
    /// Freshness of each table copy: number of the table, version, version of the last change, version of the newest row
    /// and age in milliseconds.
    proofs: Vec<(u8, WireVersion, WireVersion, WireVersion, u32)>,
    /// Version of the document in force.
    document_version: u64,
    loads: Vec<WireTargetLoad>,
    /// Prompt prefixes that targets have read.
    prompts: Vec<WirePromptKeys>,
    /// Queue waits in milliseconds, by service and rank: behind pieces that can still be on time, and behind all
    /// pieces.
    waits: Vec<(String, Vec<(u32, u32)>)>,
    /// Content that may have crashed targets.
    suspects: Vec<WireSuspect>,
    /// Limits on requests: name of the target, thousandths of a request per second or none, and age in milliseconds.
    limits: Vec<(String, Option<u32>, u32)>,
    /// Rejections that brittle targets withstand: name of the target, number per second or none, and age in
    /// milliseconds.
    brittle: Vec<(String, Option<u32>, u32)>,
    rollouts: Vec<WireRolloutReport>,
    /// Whether the node is cut off from all targets, and the number of targets that it does not reach, by service.
    paths: (bool, Vec<(String, u32)>),
}

/// Encoded form of [`TargetLoad`]: name of the target, calls in flight, and prompt tokens of calls that have not
/// answered yet.
type WireTargetLoad = (String, u32, u32);
/// Encoded form of [`PromptCacheUpdate`]: name of the target and keys of the prompt prefixes that it has read.
type WirePromptKeys = (String, Vec<u64>);

/// Target loads caused by the calls of a node and of the nodes that it reports for.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WireNodeLoads {
    node: String,
    dc: String,
    loads: Vec<WireTargetLoad>,
}

impl WireNodeLoads {
    /// Returns the encoded form of the target loads that `node` in data centre `dc` reports.
    #[must_use]
    pub fn new(node: &NodeName, dc: &DcName, loads: &[TargetLoad]) -> Self {
        Self { node: node.to_string(), dc: dc.to_string(), loads: loads_to_wire(loads) }
    }

    /// Returns the reporting node, its data centre and the load of each target.
    #[must_use]
    pub fn into_parts(self) -> (NodeName, DcName, Vec<TargetLoad>) {
        (NodeName::new(self.node), DcName::new(self.dc), loads_from_wire(self.loads))
    }
}

/// Encoded form of [`FleetReport`], in which a hub reports other nodes.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct WireFleetReport {
    /// Heartbeats of other nodes, each with its age in milliseconds.
    members: Vec<(WireHeartbeat, u32)>,
    loads: Vec<WireTargetLoad>,
    prompts: Vec<WirePromptKeys>,
}

/// Piece jobs of one stage of a request that differ only in their `segment`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WireJobs {
    request: String,
    /// Position of the stage in the route.
    stage: u32,
    /// Position of each piece within the stage.
    segments: Vec<u32>,
    /// Key of the content that the pieces process, or `None` if they process results.
    content: Option<String>,
    /// Handles of the results that the pieces process; empty if they process content.
    results: Vec<String>,
    /// Time left until the deadline of the request, in milliseconds.
    left_ms: u32,
    /// Time left until the latency objective of the request, in milliseconds.
    aim_ms: u32,
    /// Estimated time from the start of a piece's call to the answer of its request, in milliseconds.
    needs_ms: u32,
    /// Priority rank; 0 is the most urgent.
    rank: u8,
    /// Data centre in which the results will be needed, if it is known.
    wanted_in: Option<String>,
    /// Approximate size of the result of one piece, in bytes.
    result_bytes: u64,
    /// Bytes to be sent between data centres if a piece is not made in `wanted_in`.
    remote_bytes: u64,
}

/// Encoded form of [`PieceOutcome`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum WirePieceOutcome {
    /// The piece was made. Holds the handle of the result and the data centre of the target that made it.
    Made(String, String),
    /// The piece was not made. Holds the index of the reason in `FAILURES`.
    Failed(u8),
}

/// A call from one relay node to another.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, strum::IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
pub enum WireCall {
    /// Sends the caller's state and, if the caller is a hub, the state of other nodes, and asks for the same.
    Heartbeat(Box<WireHeartbeat>, WireFleetReport),
    /// Sends the target loads of the caller and of the nodes that it reports for, and asks for those of the peer.
    Work(WireNodeLoads),
    /// Asks for the changes of a shared table after a version.
    Rows {
        /// Number of the table, see [`table_number`].
        table: u8,
        /// Store version of the caller's copy.
        have: WireVersion,
    },
    /// Asks for chunks of rows that the peer has described.
    Chunks {
        /// Number of the table.
        table: u8,
        /// Hashes of the chunks.
        hashes: Vec<u64>,
    },
    /// Asks the node that batches the pieces of a service to have pieces made.
    Pieces {
        /// Name of the service.
        service: String,
        /// Jobs of the pieces.
        jobs: Vec<WireJobs>,
    },
    /// Asks the keeper of a service's limits for a permit.
    Permit(WirePermitRequest),
    /// Reports to the keeper of a service's limits that calls with leases have ended.
    LeaseEnds(Vec<WireLeaseEnd>),
    /// Releases results that are not needed any more.
    Free {
        /// Name of the service that made the results.
        service: String,
        /// Handles of the results.
        handles: Vec<String>,
    },
}

/// Reply to a [`WireCall`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum WireReply {
    /// State of the peer, peer addresses of the nodes that it knows, and in a large fleet the state of other nodes.
    Heartbeat(Box<WireHeartbeat>, Vec<SocketAddr>, WireFleetReport),
    /// Target loads that the peer knows of.
    Work(WireNodeLoads),
    /// Changes of a shared table, from the peer's copy.
    Rows {
        /// Rows that changed after the caller's version, or all rows of the table.
        rows: WireRows,
        /// Whether `rows` holds all rows of the table.
        whole: bool,
        /// Store version of the peer's copy.
        version: WireVersion,
        /// Time since the peer requested this state, in milliseconds.
        age_ms: u32,
    },
    /// The first of the chunks that were asked for and that the peer has, as [`compress_chunks`] returns them.
    Chunks(Vec<u8>),
    /// The target that may get a request, or the time in milliseconds after which one may.
    Permit(Result<String, u32>),
    /// Outcome of each piece, in the order of the jobs.
    Pieces(Vec<WirePieceOutcome>),
    /// The call was handled and has no result, or the peer has no copy of the table.
    Done,
}

/// Encodes a call or reply as a version byte followed by its `bincode` bytes.
#[must_use]
pub fn encode<T: Serialize>(value: &T) -> Vec<u8> {
    let mut bytes = vec![VERSION_BYTE];
    // Encoding fails only for types that bincode does not support, and none of the encoded types is one.
    if let Ok(body) = bincode::serde::encode_to_vec(value, bincode::config::standard()) {
        bytes.extend_from_slice(&body);
    }
    bytes
}

/// Decodes bytes that [`encode`] returned.
///
/// # Errors
///
/// Returns [`FrameError::TooLarge`] for more than [`MAX_FRAME_BYTES`] bytes, [`FrameError::WrongVersion`] for another
/// version, and [`FrameError::Malformed`] for bytes that do not decode to a `T`.
pub fn decode<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, FrameError> {
    decode_bounded::<T, MAX_FRAME_BYTES>(bytes)
}

fn decode_bounded<T: DeserializeOwned, const MAX_BYTES: usize>(bytes: &[u8]) -> Result<T, FrameError> {
    decode_with_rest::<T, MAX_BYTES>(bytes).map(|(value, _)| value)
}

/// Does the same as [`decode`], and returns the bytes after the value, too.
fn decode_with_rest<T: DeserializeOwned, const MAX_BYTES: usize>(bytes: &[u8]) -> Result<(T, &[u8]), FrameError> {
    if bytes.len() > MAX_BYTES {
        return Err(FrameError::TooLarge(bytes.len()));
    }
    let Some((version, body)) = bytes.split_first() else { return Err(FrameError::Malformed("empty".to_owned())) };
    if *version != VERSION_BYTE {
        return Err(FrameError::WrongVersion(*version));
    }
    let config = bincode::config::standard().with_limit::<MAX_BYTES>();
    let (value, length) =
        bincode::serde::decode_from_slice(body, config).map_err(|error| FrameError::Malformed(error.to_string()))?;
    Ok((value, &body[length..]))
}

/// Returns the number that stands for `table` in calls.
#[must_use]
pub fn table_number(table: TableId) -> u8 {
    match table {
        TableId::Orders => 0,
        TableId::Targets => 1,
    }
}

/// Returns the table that `number` stands for in calls, or `None` for an unknown number.
#[must_use]
pub fn table_from_number(number: u8) -> Option<TableId> {
    [TableId::Orders, TableId::Targets].into_iter().find(|table| table_number(*table) == number)
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
                .map(|proof| {
                    let [version, changed, newest_row] =
                        [proof.version, proof.last_change_version, proof.newest_row_version].map(version_to_wire);
                    (table_number(proof.table), version, changed, newest_row, proof.age_ms)
                })
                .collect(),
            document_version: heartbeat.document_version,
            loads: loads_to_wire(&heartbeat.loads),
            prompts: prompts_to_wire(&heartbeat.prompts),
            waits: heartbeat.waits.iter().map(|(service, waits)| (service.to_string(), waits_to_wire(waits))).collect(),
            suspects: heartbeat.suspects.iter().map(WireSuspect::from).collect(),
            limits: limits_to_wire(&heartbeat.limits, |rate| rate.0),
            brittle: limits_to_wire(&heartbeat.brittle, |tolerance| tolerance.0),
            rollouts: heartbeat.rollouts.iter().map(WireRolloutReport::from).collect(),
            paths: paths_to_wire(&heartbeat.paths),
        }
    }
}

impl From<WireHeartbeat> for RelayHeartbeat {
    fn from(heartbeat: WireHeartbeat) -> Self {
        let proofs = heartbeat.proofs.into_iter().filter_map(|(table, version, changed, newest_row, age_ms)| {
            Some(TableProof {
                table: table_from_number(table)?,
                version: version_from_wire(version),
                last_change_version: version_from_wire(changed),
                newest_row_version: version_from_wire(newest_row),
                age_ms,
            })
        });
        let waits =
            heartbeat.waits.into_iter().map(|(service, waits)| (ServiceName::new(service), waits_from_wire(&waits)));
        Self {
            node: NodeName::new(heartbeat.node),
            instance: InstanceId(heartbeat.instance),
            sequence: heartbeat.sequence,
            call_version: CallVersion::BASE,
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
            document_version: heartbeat.document_version,
            settled_from: None,
            loads: loads_from_wire(heartbeat.loads),
            prompts: prompts_from_wire(heartbeat.prompts),
            waits: waits.collect(),
            suspects: heartbeat.suspects.into_iter().map(SuspectReport::from).collect(),
            limits: limits_from_wire(heartbeat.limits, RequestRate),
            brittle: limits_from_wire(heartbeat.brittle, RejectTolerance),
            rollouts: heartbeat.rollouts.into_iter().filter_map(WireRolloutReport::into_report).collect(),
            paths: paths_from_wire(heartbeat.paths),
        }
    }
}

fn paths_to_wire(report: &PathReport) -> (bool, Vec<(String, u32)>) {
    let unreached = report.unreached.iter().map(|(service, count)| (service.to_string(), *count));
    (report.is_cut_off, unreached.collect())
}

fn paths_from_wire((is_cut_off, unreached): (bool, Vec<(String, u32)>)) -> PathReport {
    let unreached = unreached.into_iter().map(|(service, count)| (ServiceName::new(service), count));
    PathReport { is_cut_off, unreached: unreached.collect() }
}

fn loads_to_wire(loads: &[TargetLoad]) -> Vec<WireTargetLoad> {
    loads.iter().map(|load| (load.target.to_string(), load.in_flight, load.pending_prompt_tokens)).collect()
}

fn loads_from_wire(loads: Vec<WireTargetLoad>) -> Vec<TargetLoad> {
    let loads = loads.into_iter();
    loads
        .map(|(target, in_flight, unread_tokens)| TargetLoad {
            target: TargetName::new(target),
            in_flight,
            pending_prompt_tokens: unread_tokens,
        })
        .collect()
}

fn prompts_to_wire(prompts: &[PromptCacheUpdate]) -> Vec<WirePromptKeys> {
    prompts.iter().map(|update| (update.target.to_string(), update.keys.clone())).collect()
}

fn prompts_from_wire(prompts: Vec<WirePromptKeys>) -> Vec<PromptCacheUpdate> {
    prompts.into_iter().map(|(target, keys)| PromptCacheUpdate { target: TargetName::new(target), keys }).collect()
}

impl From<&FleetReport> for WireFleetReport {
    fn from(report: &FleetReport) -> Self {
        let members = report.members.iter().map(|(heartbeat, age)| (heartbeat.into(), age.as_millis() as u32));
        Self {
            members: members.collect(),
            loads: loads_to_wire(&report.loads),
            prompts: prompts_to_wire(&report.prompts),
        }
    }
}

impl From<WireFleetReport> for FleetReport {
    fn from(report: WireFleetReport) -> Self {
        let members = report.members.into_iter();
        let members = members.map(|(heartbeat, ms)| (heartbeat.into(), Duration::from_millis(u64::from(ms))));
        Self {
            members: members.collect(),
            loads: loads_from_wire(report.loads),
            prompts: prompts_from_wire(report.prompts),
            rosters: Vec::new(),
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

/// Returns the encoded form of `jobs`, in the same order, with times relative to `now`. All pieces of a stage have the
/// same inputs, which are sent once.
#[must_use]
pub fn jobs_to_wire(jobs: &[PieceJob], now: Moment) -> Vec<WireJobs> {
    let is_same_stage = |one: &PieceJob, other: &PieceJob| PieceJob { segment: one.segment, ..other.clone() } == *one;
    jobs.chunk_by(is_same_stage).filter_map(|group| Some(job_group_to_wire(group.first()?, group, now))).collect()
}

/// Returns the encoded form of `group`, whose jobs differ from `job` only in their segment.
fn job_group_to_wire(job: &PieceJob, group: &[PieceJob], now: Moment) -> WireJobs {
    let (content, results) = match &job.source {
        PieceSource::Content(key) => (Some(key.to_string()), Vec::new()),
        PieceSource::Results(handles) => (None, handles.iter().map(ToString::to_string).collect()),
    };
    WireJobs {
        request: job.request.to_string(),
        stage: job.stage,
        segments: group.iter().map(|job| job.segment).collect(),
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

/// Decodes `jobs`, which arrived at `now`, into one job for each segment.
#[must_use]
pub fn jobs_from_wire(jobs: WireJobs, now: Moment) -> Vec<PieceJob> {
    let results: Vec<Arc<str>> = jobs.results.into_iter().map(Arc::from).collect();
    let source = match jobs.content {
        Some(key) => PieceSource::Content(key.into()),
        None => PieceSource::Results(results.into()),
    };
    let template = PieceJob {
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
    jobs.segments.into_iter().map(|segment| PieceJob { segment, ..template.clone() }).collect()
}

/// Reasons for which a piece was not made. The index of a reason is its number in replies.
const FAILURES: [PieceFailure; 4] =
    [PieceFailure::Late, PieceFailure::InputsGone, PieceFailure::NoRoom, PieceFailure::Failed];

/// Returns the encoded form of a piece's outcome.
#[must_use]
pub fn outcome_to_wire(outcome: &PieceOutcome) -> WirePieceOutcome {
    match outcome {
        Ok(result) => WirePieceOutcome::Made(result.handle.to_string(), result.dc.to_string()),
        Err(failure) => {
            let number = FAILURES.iter().position(|other| other == failure).unwrap_or(FAILURES.len() - 1);
            WirePieceOutcome::Failed(number as u8)
        }
    }
}

/// Decodes a piece's outcome. A reason that this release does not know becomes [`PieceFailure::Failed`].
///
/// # Errors
///
/// Returns the reason for which the piece was not made.
pub fn outcome_from_wire(outcome: WirePieceOutcome) -> PieceOutcome {
    match outcome {
        WirePieceOutcome::Made(handle, dc) => Ok(PieceResult { handle: handle.into(), dc: DcName::new(dc) }),
        WirePieceOutcome::Failed(number) => {
            Err(FAILURES.get(usize::from(number)).copied().unwrap_or(PieceFailure::Failed))
        }
    }
}
