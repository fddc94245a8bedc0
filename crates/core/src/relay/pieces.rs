//! Gathers the pieces of many requests into shared calls to the targets of a stage service.
//!
//! A call costs the same fixed time whatever it holds. A free target gets what waits at once; while
//! all are busy, pieces gather, so that calls fill up as load grows.

mod queue;

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use crate::clock::Moment;
use crate::names::{DcName, ServiceName, TargetName};

pub use queue::PieceQueue;

/// What a piece is made of.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PieceSource {
    /// The request's own content, by its key.
    Content(Arc<str>),
    /// Results of earlier stages, by their handles.
    Results(Arc<[Arc<str>]>),
}

/// A piece to be made.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PieceJob {
    /// Id of the request.
    pub request: Arc<str>,
    /// Position of the stage.
    pub stage: u32,
    /// Position of the piece within the stage.
    pub segment: u32,
    /// What it is made of.
    pub source: PieceSource,
    /// When its request must be answered.
    pub deadline: Moment,
    /// When its request should be answered.
    pub objective: Moment,
    /// Time from the start of its call to the answer of its request, as far as it is known before.
    pub needs: Duration,
    /// Urgency of its request.
    pub rank: u8,
    /// Data centre in which its result will be needed.
    pub wanted_in: Option<DcName>,
    /// Approximate size of its result.
    pub result_bytes: u64,
    /// Bytes that go between data centres if it is made elsewhere: its inputs, and its result for each user.
    pub remote_bytes: u64,
}

impl PieceJob {
    /// Part of what a request needs that is kept as a margin: at its last moment it would be late by the next wait.
    const MARGIN_PART: f64 = 0.5;

    /// Whether its request can still be answered by its objective.
    fn is_on_time(&self, now: Moment) -> bool {
        now + self.needs + self.needs.mul_f64(Self::MARGIN_PART) <= self.objective
    }

    /// Part of the time between objective and deadline for which a late piece waits to be begun. What is late goes
    /// behind what can be on time; its caller does better to come back than to wait for the rest of its time.
    const LATE_PART: f64 = 0.3;

    /// Whether its request cannot be answered by its deadline any more.
    fn is_lost(&self, now: Moment) -> bool {
        now + self.needs > self.deadline
    }

    /// Whether it is so late that it is not begun any more.
    fn is_given_up(&self, now: Moment) -> bool {
        let spare = self.deadline.since(self.objective).mul_f64(Self::LATE_PART);
        self.is_lost(now) || now + self.needs > self.objective + spare
    }
}

/// What pieces that want to be made in a data centre find there.
#[derive(Clone, Copy, Debug)]
struct DcWait {
    /// Time until a target is free for them.
    wait: Duration,
    /// Most room at one target.
    room: u64,
    targets: usize,
}

/// How long a piece waits that comes now.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct QueueWait {
    /// Behind pieces that can still be on time.
    pub on_time: Duration,
    /// Behind all pieces.
    pub late: Duration,
}

/// Why a piece was not made.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "kebab-case")]
pub enum PieceFailure {
    /// Its request's time was over.
    Late,
    /// An input is gone.
    InputsGone,
    /// The target had no room for the result.
    NoRoom,
    /// The target failed, or is not to be reached.
    Failed,
}

/// A piece that was made.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PieceResult {
    /// Names the result at its maker.
    pub handle: Arc<str>,
    /// Data centre of the maker.
    pub dc: DcName,
}

/// How a piece ended.
pub type PieceEnd = Result<PieceResult, PieceFailure>;

/// Ties an end to its job.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct PieceTicket(pub u64);

/// A call to be made.
#[derive(Clone, Debug)]
pub struct CallPlan {
    /// The target.
    pub target: TargetName,
    /// The pieces, in the order of the call.
    pub pieces: Vec<(PieceTicket, PieceJob)>,
}

/// Queues by service.
#[derive(Clone, Debug, Default)]
pub struct PieceTable {
    queues: BTreeMap<ServiceName, PieceQueue>,
}

impl PieceTable {
    /// The queue of a service.
    pub fn of(&mut self, service: &ServiceName) -> &mut PieceQueue {
        self.queues.entry(service.clone()).or_default()
    }

    /// The queue of a service, if it was ever used.
    #[must_use]
    pub fn get(&self, service: &ServiceName) -> Option<&PieceQueue> {
        self.queues.get(service)
    }

    /// Services with pieces that wait.
    #[must_use]
    pub fn busy(&self) -> Vec<ServiceName> {
        self.queues.iter().filter(|(_, queue)| !queue.is_empty()).map(|(service, _)| service.clone()).collect()
    }
}
