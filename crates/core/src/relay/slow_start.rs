//! Limits on the calls in flight at targets that start, recover or have turned cold.
//!
//! The limit holds for the calls of all nodes together. It follows from the number of calls at which the target's answers
//! keep to the usual time: an answer on time raises the limit to a quarter above that number, a late one lowers it in proportion
//! to the lateness. It applies to targets that state their work time only. A choice prefers targets with room under
//! their limits; a limit refuses no call.

mod recording;

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use crate::clock::Moment;
use crate::names::{ServiceName, TargetName};

pub use recording::AnswerTiming;

/// Why a limit started or fell.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display, strum::IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
pub enum LimitCause {
    /// The target is new, or has started again.
    NewTarget,
    /// The target's data centre was opened.
    DcOpened,
    /// A call failed.
    Failure,
    /// The target rejected a call for lack of room.
    Full,
    /// Answers were late.
    Late,
    /// Answers were on time, or nothing was late for long.
    OnTime,
    /// The target states its work time no longer.
    NoLoad,
}

/// What happened to a limit.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display, strum::IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
pub enum LimitStep {
    /// The target got a limit.
    Started,
    /// The limit fell.
    Fell,
    /// The target has no limit any longer.
    Ended,
}

/// A change of a target's limit, for the log.
#[derive(Clone, Debug, PartialEq)]
pub struct LimitChange {
    /// The target.
    pub target: TargetName,
    /// What happened.
    pub step: LimitStep,
    /// Why it happened.
    pub cause: LimitCause,
    /// Limit in calls of all nodes after the change; 0 if there is none.
    pub limit: f64,
    /// Number of calls of all nodes at the target that the decision is based on.
    pub concurrency: u32,
    /// Time of the answer that the decision is based on, as a multiple of the usual one, or 0.
    pub relative_time: f64,
    /// Age of the load that the target stated last, if it has stated any.
    pub load_age: Option<Duration>,
}

/// An answer as evidence about the load that its target can take.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct TimedAnswer {
    /// When the call was sent.
    pub sent_at: Moment,
    /// Time until the first part, as a multiple of the usual time for the work.
    pub relative_time: f64,
    /// Number of calls of all nodes at the target.
    pub concurrency: u32,
}

/// The limit of one target, as one node estimates it, and the target's usual pace.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct StartLimiter {
    limit: Option<f64>,
    /// Time of the target's answers at low load, as a multiple of the service's usual time. A target that is always slow
    /// has a pace above 1 and is not limited for it.
    pace: f64,
    /// When the limit last started or fell. Calls that were sent before are no evidence about it.
    changed_at: Moment,
    /// Number of answers in a row that were on time while the limit was as large as the slots.
    on_time_at_slots: u32,
    consecutive_late: u32,
    /// Number of calls and relative time of the last late answer.
    last_late: Option<(f64, f64)>,
}

impl Default for StartLimiter {
    fn default() -> Self {
        Self {
            limit: None,
            pace: 1.0,
            changed_at: Moment::default(),
            on_time_at_slots: 0,
            consecutive_late: 0,
            last_late: None,
        }
    }
}

impl StartLimiter {
    /// First limit in calls of all nodes: the smallest number at which answers follow each other without a pause.
    pub const INITIAL_LIMIT: f64 = 2.0;
    /// Relative time up to which an answer is on time. Answers differ by some per cent without any load.
    const ON_TIME_RATIO: f64 = 1.2;
    /// Relative time above which an answer is late.
    const LATE_RATIO: f64 = 1.5;
    /// Factor by which a lowered limit exceeds the calls that the target would serve on time. Without it, the target is idle
    /// until the next answers raise the limit.
    const FALL_HEADROOM: f64 = 1.3;
    /// Factor by which a limit exceeds the number of calls at which answers are on time.
    const GROWTH_FACTOR: f64 = 1.25;
    /// Calls by which a limit grows besides, so that a limit of one call grows to two.
    const GROWTH_STEP: f64 = 0.75;
    /// Weight of the newest answer in the pace.
    const PACE_WEIGHT: f64 = 0.3;
    /// Number of calls up to which the time of an answer shows the target's pace rather than its load.
    const PACE_CONCURRENCY: u32 = 2;
    /// Ratio of calls below which two late answers show whether the time depends on the calls.
    const FEWER_CALLS_RATIO: f64 = 0.8;
    /// Ratio of times above which it does not.
    const SAME_TIME_RATIO: f64 = 0.9;
    /// Number of late answers in a row at which a target without a limit counts as having turned cold. One or two
    /// are common at sound targets.
    const COLD_AFTER_LATE: u32 = 3;
    /// Number of answers on time, at a limit as large as the slots, after which the limit ends.
    const END_AFTER_ON_TIME: u32 = 8;
    /// Time without late answers and failures after which the limit ends, also where few calls show the target's room.
    const QUIET_TIME: Duration = Duration::from_secs(30);

    /// Returns the limit in calls of all nodes, or `None` if the target has no limit.
    #[must_use]
    pub fn limit(&self) -> Option<f64> {
        self.limit
    }

    /// Starts a limit, or lowers it to the first limit.
    pub fn start(&mut self, now: Moment) -> LimitStep {
        let step = if self.limit.is_some() { LimitStep::Fell } else { LimitStep::Started };
        self.set_limit(Self::INITIAL_LIMIT.min(self.limit.unwrap_or(f64::INFINITY)), now);
        step
    }

    /// Records that the target rejected a call for lack of room while `concurrency` calls were there.
    pub fn record_full(&mut self, concurrency: u32, now: Moment) -> Option<LimitStep> {
        let step = if self.limit.is_some() { LimitStep::Fell } else { LimitStep::Started };
        let limit = (f64::from(concurrency) / Self::GROWTH_FACTOR).max(1.0);
        let is_lower = self.limit.is_none_or(|old| limit < old);
        is_lower.then(|| {
            self.set_limit(limit, now);
            step
        })
    }

    fn set_limit(&mut self, limit: f64, now: Moment) {
        (self.limit, self.changed_at) = (Some(limit), now);
        (self.on_time_at_slots, self.consecutive_late) = (0, 0);
    }

    /// Records an answer of the target, which runs `slots` calls at once.
    pub fn record_answer(&mut self, answer: TimedAnswer, slots: u32, now: Moment) -> Option<LimitStep> {
        let (concurrency, slots) = (f64::from(answer.concurrency.max(1)), f64::from(slots.max(1)));
        let shows_pace = answer.relative_time < self.pace || answer.concurrency <= Self::PACE_CONCURRENCY;
        let relative_time = answer.relative_time / self.pace;
        if shows_pace {
            self.pace = (self.pace + (answer.relative_time - self.pace) * Self::PACE_WEIGHT).max(1.0);
        }
        let Some(limit) = self.limit else {
            // More calls than slots wait for each other also at a warm target.
            let is_late = relative_time > Self::LATE_RATIO * (concurrency / slots).max(1.0);
            self.consecutive_late = if is_late { self.consecutive_late + 1 } else { 0 };
            let has_turned_cold = self.consecutive_late >= Self::COLD_AFTER_LATE;
            return has_turned_cold.then(|| {
                self.set_limit((concurrency / relative_time).max(1.0), now);
                LimitStep::Started
            });
        };
        if answer.sent_at < self.changed_at {
            return None;
        }
        if relative_time > Self::LATE_RATIO {
            // A time that stays the same with fewer calls shows the target's pace, not its load.
            let is_pace = self.last_late.is_some_and(|(calls, time)| {
                concurrency < calls * Self::FEWER_CALLS_RATIO && answer.relative_time > time * Self::SAME_TIME_RATIO
            });
            self.last_late = Some((concurrency, answer.relative_time));
            if is_pace {
                self.pace = answer.relative_time;
                return None;
            }
            let lower = (concurrency / relative_time * Self::FALL_HEADROOM).max(1.0);
            let has_fallen = lower < limit;
            self.set_limit(lower.min(limit), now);
            return has_fallen.then_some(LimitStep::Fell);
        }
        if relative_time <= Self::ON_TIME_RATIO {
            let raised = (concurrency * Self::GROWTH_FACTOR + Self::GROWTH_STEP).min(slots);
            self.limit = Some(limit.max(raised));
            self.on_time_at_slots = if limit >= slots { self.on_time_at_slots + 1 } else { 0 };
        } else {
            self.on_time_at_slots = 0;
        }
        let is_warm = self.on_time_at_slots >= Self::END_AFTER_ON_TIME;
        (is_warm || now.since(self.changed_at) >= Self::QUIET_TIME).then(|| {
            self.limit = None;
            self.consecutive_late = 0;
            LimitStep::Ended
        })
    }
}

/// What a node knows of the calls at a target with a limit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CallCounts {
    /// Number of this node's calls in flight.
    pub own: u32,
    /// Number of other nodes' calls, as the target stated it lately.
    pub stated_others: Option<u32>,
    /// Number of other nodes' calls, as these reported it.
    pub reported_others: u32,
    /// Position of this node among those that may try the target first.
    pub position: usize,
}

impl CallCounts {
    /// Number of nodes that call a target, as a multiple of the calls that others have there.
    const JOIN_FACTOR: f64 = 1.1;

    /// Returns whether one more call of this node fits under `limit`, the limit for the calls of all nodes. A node that
    /// knows the calls at the target bounds their sum. Of the others, as many nodes send one call each as the limit
    /// allows, or as the calls of other nodes show room for.
    #[must_use]
    pub fn has_room(&self, limit: f64) -> bool {
        if let Some(stated) = self.stated_others {
            return f64::from(self.own + stated.max(self.reported_others)) + 1.0 <= limit;
        }
        let others = f64::from(self.reported_others);
        let callers = limit.max(others * Self::JOIN_FACTOR);
        self.own == 0 && (self.position as f64) + 1.0 <= callers
    }
}

/// The usual time until the first part of an answer, in units of the expected time.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
struct UsualTime {
    units: f64,
    samples: u32,
}

/// Usual times by service and route, for the services whose targets state their work time.
#[derive(Clone, Debug, Default)]
pub struct UsualTimeTable {
    by_route: BTreeMap<(ServiceName, Arc<str>), UsualTime>,
}

impl UsualTimeTable {
    /// Number of answers from which the usual time is known. Until then it is the lowest time, since targets that start
    /// together with the node may all be cold.
    const MIN_SAMPLES: u32 = 8;
    /// Fraction by which one answer moves the usual time, which follows the median.
    const STEP_RATIO: f64 = 0.02;
    /// Maximum number of routes. Further ones are not timed.
    const MAX_ROUTES: usize = 10_000;

    /// Returns the usual time on a route, or `None` while few answers are known.
    #[must_use]
    pub fn get(&self, service: &ServiceName, route: &Arc<str>) -> Option<f64> {
        let usual = self.by_route.get(&(service.clone(), route.clone()))?;
        (usual.samples >= Self::MIN_SAMPLES).then_some(usual.units)
    }

    /// Records the time of an answer. Once the usual time is known, the answers of limited targets, `is_limited`, raise
    /// it no longer.
    pub fn record(&mut self, service: &ServiceName, route: &Arc<str>, units: f64, is_limited: bool) {
        let key = (service.clone(), route.clone());
        if self.by_route.len() >= Self::MAX_ROUTES && !self.by_route.contains_key(&key) {
            return;
        }
        let usual = self.by_route.entry(key).or_default();
        if usual.samples < Self::MIN_SAMPLES {
            usual.units = if usual.samples == 0 { units } else { usual.units.min(units) };
        } else if units < usual.units {
            usual.units *= 1.0 - Self::STEP_RATIO;
        } else if !is_limited {
            usual.units *= 1.0 + Self::STEP_RATIO;
        }
        usual.samples = usual.samples.saturating_add(1);
    }

    /// Removes the times of routes and services for which `is_kept` is false.
    pub fn retain(&mut self, is_kept: impl Fn(&ServiceName, &Arc<str>) -> bool) {
        self.by_route.retain(|(service, route), _| is_kept(service, route));
    }
}
