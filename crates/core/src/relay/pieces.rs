//! Batches the pieces of many requests into shared calls to the targets of a stage service.
//!
//! A piece is one unit of work of a preparation stage, such as one segment of the request's content. A call has a fixed
//! cost independent of its number of pieces. A free target gets pending pieces at once. While all targets are busy,
//! pieces accumulate, so that the batches grow with the load.

mod queue;

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use crate::clock::Moment;
use crate::names::{DcName, ServiceName, TargetName};

pub use queue::PieceQueue;

/// Input of a piece.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PieceSource {
    /// Content of the request itself, by its key.
    Content(Arc<str>),
    /// Results of earlier stages, by their handles.
    Results(Arc<[Arc<str>]>),
}

/// A piece to be processed, with what its scheduling depends on.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PieceJob {
    /// Identifier of the request.
    pub request: Arc<str>,
    /// Index of the stage within the route.
    pub stage: u32,
    /// Index of the piece within the stage of its request.
    pub segment: u32,
    /// Input of the piece.
    pub source: PieceSource,
    /// When the request must be answered.
    pub deadline: Moment,
    /// When the request should be answered: after this time the answer is worth less.
    pub objective: Moment,
    /// Estimated time from the start of the piece's call to the answer of its request.
    pub time_needed: Duration,
    /// Priority rank of the request. 0 is the most urgent.
    pub rank: u8,
    /// Data centre in which the result will be needed, or `None` if it is not known.
    pub wanted_in: Option<DcName>,
    /// Approximate size of the result in bytes.
    pub result_bytes: u64,
    /// Bytes that are sent between data centres if the piece is processed in another one than `wanted_in`: the inputs
    /// of the piece, and the result once for each piece that uses it.
    pub remote_bytes: u64,
}

impl PieceJob {
    /// Safety margin as a fraction of the time that the request still needs. Without a margin, any further wait would
    /// make a request late whose piece is started at the last moment.
    pub(super) const MARGIN_RATIO: f64 = 0.5;

    /// Returns whether the request can be answered by its objective, with the margin, if the piece is started at `now`.
    fn is_on_time(&self, now: Moment) -> bool {
        now + self.time_needed + self.time_needed.mul_f64(Self::MARGIN_RATIO) <= self.objective
    }

    /// Maximum delay past the objective with which a request is still started, as a fraction of the time between
    /// objective and deadline. Late pieces are queued behind those that can be on time. For the caller, a retry is
    /// better than a wait until the deadline.
    const LATE_START_RATIO: f64 = 0.3;

    /// Returns whether the request would be answered after its deadline if the piece were started at `now`.
    fn is_deadline_unreachable(&self, now: Moment) -> bool {
        now + self.time_needed > self.deadline
    }

    /// Returns whether the piece is too late to be the first of its stage to be started.
    fn is_too_late_to_start(&self, now: Moment) -> bool {
        let allowance = self.deadline.since(self.objective).mul_f64(Self::LATE_START_RATIO);
        self.is_deadline_unreachable(now) || now + self.time_needed > self.objective + allowance
    }
}

/// Availability of the targets in a data centre, for pieces whose results are needed there.
#[derive(Clone, Copy, Debug)]
struct DcWait {
    /// Time until a target is free for another such piece, behind those that are pending.
    wait: Duration,
    /// Largest free result storage of a single target in bytes.
    free_storage_bytes: u64,
    /// Number of targets.
    target_count: usize,
}

/// Expected wait of a piece that arrives now, until a call with the piece starts.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct QueueWait {
    /// Wait if the piece can be on time and so is processed before late pieces of its rank.
    pub on_time: Duration,
    /// Wait if the piece is late and so is processed after pieces of its rank that can be on time.
    pub late: Duration,
}

/// Why a piece was not processed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "kebab-case")]
pub enum PieceFailure {
    /// The request could no longer be answered in time.
    Late,
    /// An input no longer exists at the target that stored it.
    InputsGone,
    /// The target had no storage left for the result.
    NoRoom,
    /// The target failed or is unreachable.
    Failed,
}

/// Location of a piece's result.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PieceResult {
    /// Identifier of the result at the target that stores it.
    pub handle: Arc<str>,
    /// Data centre of that target.
    pub dc: DcName,
}

/// Outcome of a piece: the location of its result, or why there is none.
pub type PieceOutcome = Result<PieceResult, PieceFailure>;

/// Identifier of a piece within its queue. Tickets count up in the order of arrival, from 1.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct PieceTicket(pub u64);

/// A call to be sent, with a batch of pieces.
#[derive(Clone, Debug)]
pub struct CallPlan {
    /// Target of the call.
    pub target: TargetName,
    /// Pieces in the order in which the call lists them.
    pub pieces: Vec<(PieceTicket, PieceJob)>,
}

/// Piece queues by service.
#[derive(Clone, Debug, Default)]
pub struct PieceTable {
    queues: BTreeMap<ServiceName, PieceQueue>,
}

impl PieceTable {
    /// Returns the queue of `service`. Creates it if there is none.
    pub fn queue_mut(&mut self, service: &ServiceName) -> &mut PieceQueue {
        self.queues.entry(service.clone()).or_default()
    }

    /// Returns the queue of `service`, or `None` if it was never created.
    #[must_use]
    pub fn get(&self, service: &ServiceName) -> Option<&PieceQueue> {
        self.queues.get(service)
    }

    /// Returns the number of pending pieces of each service that this node has batched pieces of.
    pub fn pending_counts(&self) -> impl Iterator<Item = (&ServiceName, usize)> {
        self.queues.iter().map(|(service, queue)| (service, queue.len()))
    }

    /// Returns the services that have pending pieces.
    #[must_use]
    pub fn services_with_pending_pieces(&self) -> Vec<ServiceName> {
        self.queues.iter().filter(|(_, queue)| !queue.is_empty()).map(|(service, _)| service.clone()).collect()
    }
}
