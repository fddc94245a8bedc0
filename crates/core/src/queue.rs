//! Requests that wait for a target: by urgency, fair between organisations, earliest deadline first.

use std::collections::{BTreeMap, BTreeSet};
use std::ops::Bound;

use crate::clock::Moment;
use crate::event::Priority;
use crate::names::{OrgName, RequestKey, ServiceName};

/// A request in a queue.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Waiting {
    /// When its deadline is.
    pub deadline: Moment,
    /// Which it is.
    pub key: RequestKey,
}

/// One organisation's place in a level: virtual time in millionths of a call at weight 1.
#[derive(Clone, Debug, Default)]
struct OrgLane {
    time: u64,
    waiting: BTreeSet<Waiting>,
}

/// The request that a queue can best do without.
#[derive(Clone, Debug, PartialEq)]
pub struct WorstWaiting {
    /// Its urgency.
    pub priority: Priority,
    /// The request.
    pub waiting: Waiting,
    /// Requests of its organisation in the queue, over the organisation's weight.
    pub lane_load: f64,
}

/// Requests of one urgency, served by start-time fair queuing over organisations.
#[derive(Clone, Debug, Default)]
struct Level {
    time: u64,
    lanes: BTreeMap<OrgName, OrgLane>,
    order: BTreeSet<(u64, OrgName)>,
}

impl Level {
    const CALL: f64 = 1_000_000.0;

    fn push(&mut self, waiting: Waiting) {
        let org = waiting.key.org.clone();
        let lane = self.lanes.entry(org.clone()).or_default();
        if lane.waiting.is_empty() {
            lane.time = lane.time.max(self.time);
            self.order.insert((lane.time, org));
        }
        lane.waiting.insert(waiting);
    }

    fn peek(&self) -> Option<&Waiting> {
        let (_, org) = self.order.first()?;
        self.lanes.get(org)?.waiting.first()
    }

    fn pop(&mut self, weight: impl Fn(&OrgName) -> f64) -> Option<Waiting> {
        let (time, org) = self.order.pop_first()?;
        let lane = self.lanes.get_mut(&org)?;
        let waiting = lane.waiting.pop_first();
        self.time = time;
        lane.time = time + (Self::CALL / weight(&org).max(0.001)) as u64;
        if lane.waiting.is_empty() {
            // A lane is kept until its virtual time has passed, so that leaving and coming back gains nothing.
            self.drop_passed_lanes();
        } else {
            self.order.insert((lane.time, org));
        }
        waiting
    }

    fn drop_passed_lanes(&mut self) {
        let time = self.time;
        if self.lanes.len() > 2 * self.order.len() + 16 {
            self.lanes.retain(|_, lane| !lane.waiting.is_empty() || lane.time > time);
        }
    }

    fn lane_load(&self, org: &OrgName, weight: impl Fn(&OrgName) -> f64) -> f64 {
        self.lanes.get(org).map_or(0.0, |lane| lane.waiting.len() as f64 / weight(org).max(0.001))
    }

    /// The latest deadline of the organisation with the most requests for its weight.
    fn worst(&self, weight: impl Fn(&OrgName) -> f64) -> Option<(f64, Waiting)> {
        let loads = self.order.iter().map(|(_, org)| (self.lane_load(org, &weight), org));
        let (load, org) = loads.max_by(|one, other| one.0.total_cmp(&other.0).then(one.1.cmp(other.1)))?;
        let waiting = self.lanes.get(org)?.waiting.last()?;
        Some((load, waiting.clone()))
    }

    fn remove(&mut self, waiting: &Waiting) -> bool {
        let Some(lane) = self.lanes.get_mut(&waiting.key.org) else { return false };
        let removed = lane.waiting.remove(waiting);
        if removed && lane.waiting.is_empty() {
            self.order.remove(&(lane.time, waiting.key.org.clone()));
        }
        removed
    }
}

/// The queue of one service.
#[derive(Clone, Debug, Default)]
pub struct ServiceQueue {
    levels: [Level; 3],
    len: usize,
}

impl ServiceQueue {
    /// Adds a request.
    pub fn push(&mut self, priority: Priority, waiting: Waiting) {
        self.levels[priority as usize].push(waiting);
        self.len += 1;
    }

    /// The request that would be taken next.
    #[must_use]
    pub fn peek(&self) -> Option<&Waiting> {
        self.levels.iter().find_map(Level::peek)
    }

    /// Takes the next request; `weight` gives an organisation's share.
    pub fn pop(&mut self, weight: impl Fn(&OrgName) -> f64) -> Option<Waiting> {
        let waiting = self.levels.iter_mut().find_map(|level| level.pop(&weight))?;
        self.len -= 1;
        Some(waiting)
    }

    /// Removes a request that need not wait any more.
    pub fn remove(&mut self, priority: Priority, waiting: &Waiting) {
        if self.levels[priority as usize].remove(waiting) {
            self.len -= 1;
        }
    }

    /// The request to give up for a better one: of the least urgent, the latest of the heaviest organisation.
    #[must_use]
    pub fn worst(&self, weight: impl Fn(&OrgName) -> f64) -> Option<WorstWaiting> {
        const PRIORITIES: [Priority; 3] = [Priority::Batch, Priority::Normal, Priority::Interactive];
        PRIORITIES.into_iter().find_map(|priority| {
            let (lane_load, waiting) = self.levels[priority as usize].worst(&weight)?;
            Some(WorstWaiting { priority, waiting, lane_load })
        })
    }

    /// Requests of an organisation at one urgency, over the organisation's weight.
    #[must_use]
    pub fn lane_load(&self, priority: Priority, org: &OrgName, weight: impl Fn(&OrgName) -> f64) -> f64 {
        self.levels[priority as usize].lane_load(org, weight)
    }

    /// Requests that wait.
    #[must_use]
    pub fn len(&self) -> usize {
        self.len
    }

    /// Whether none waits.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.len == 0
    }
}

/// Queues by service.
#[derive(Clone, Debug, Default)]
pub struct QueueTable {
    queues: BTreeMap<ServiceName, ServiceQueue>,
}

impl QueueTable {
    /// The queue of a service.
    pub fn of(&mut self, service: &ServiceName) -> &mut ServiceQueue {
        self.queues.entry(service.clone()).or_default()
    }

    /// Requests that wait for a service.
    #[must_use]
    pub fn len_of(&self, service: &ServiceName) -> usize {
        self.queues.get(service).map_or(0, ServiceQueue::len)
    }

    /// The first service after `previous` with requests that wait.
    #[must_use]
    pub fn next_busy(&self, previous: Option<&ServiceName>) -> Option<ServiceName> {
        let start = previous.map_or(Bound::Unbounded, Bound::Excluded);
        let mut later = self.queues.range((start, Bound::Unbounded));
        later.find(|(_, queue)| !queue.is_empty()).map(|(service, _)| service.clone())
    }
}
