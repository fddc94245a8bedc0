//! Queues of requests that wait for a target.
//!
//! Requests are ordered by priority, then fairly between organisations, then by earliest deadline.

use std::collections::{BTreeMap, BTreeSet};
use std::ops::Bound;

use crate::clock::Moment;
use crate::event::Priority;
use crate::names::{OrgName, RequestKey, ServiceName};

/// A request in a queue.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct QueuedRequest {
    /// The request's deadline.
    pub deadline: Moment,
    /// The request's key.
    pub key: RequestKey,
}

/// The requests of one organisation at one priority.
///
/// Virtual time counts the calls of an organisation divided by its weight, in millionths.
#[derive(Clone, Debug, Default)]
struct OrgQueue {
    /// Virtual time at which the organisation's next call starts.
    virtual_time: u64,
    requests: BTreeSet<QueuedRequest>,
}

/// The request that a full queue gives up first, for a new request that outranks it.
#[derive(Clone, Debug, PartialEq)]
pub struct DisplacementCandidate {
    /// The request's priority.
    pub priority: Priority,
    /// The queued request.
    pub request: QueuedRequest,
    /// Number of queued requests of the request's organisation at this priority, divided by the organisation's weight.
    pub weighted_length: f64,
}

/// The requests of one priority, served by start-time fair queuing over organisations.
#[derive(Clone, Debug, Default)]
struct PriorityLevel {
    /// Virtual time at which the last call that was taken started.
    virtual_time: u64,
    org_queues: BTreeMap<OrgName, OrgQueue>,
    /// Organisations with queued requests, in order of virtual time.
    order: BTreeSet<(u64, OrgName)>,
}

impl PriorityLevel {
    const VIRTUAL_TIME_PER_CALL: f64 = 1_000_000.0;

    fn push(&mut self, request: QueuedRequest) {
        let org = request.key.org.clone();
        let org_queue = self.org_queues.entry(org.clone()).or_default();
        if org_queue.requests.is_empty() {
            org_queue.virtual_time = org_queue.virtual_time.max(self.virtual_time);
            self.order.insert((org_queue.virtual_time, org));
        }
        org_queue.requests.insert(request);
    }

    fn peek(&self) -> Option<&QueuedRequest> {
        let (_, org) = self.order.first()?;
        self.org_queues.get(org)?.requests.first()
    }

    fn pop(&mut self, weight: impl Fn(&OrgName) -> f64) -> Option<QueuedRequest> {
        let (time, org) = self.order.pop_first()?;
        let org_queue = self.org_queues.get_mut(&org)?;
        let request = org_queue.requests.pop_first();
        self.virtual_time = time;
        org_queue.virtual_time = time + (Self::VIRTUAL_TIME_PER_CALL / weight(&org).max(0.001)) as u64;
        if org_queue.requests.is_empty() {
            // An empty queue is kept until its virtual time has passed, so that an organisation gains no share by
            // emptying its queue and filling it again.
            self.drop_expired_org_queues();
        } else {
            self.order.insert((org_queue.virtual_time, org));
        }
        request
    }

    /// Drops empty queues whose virtual time has passed, once there are many empty ones.
    fn drop_expired_org_queues(&mut self) {
        let time = self.virtual_time;
        if self.org_queues.len() > 2 * self.order.len() + 16 {
            self.org_queues.retain(|_, org_queue| !org_queue.requests.is_empty() || org_queue.virtual_time > time);
        }
    }

    /// Returns the number of an organisation's requests divided by the organisation's weight.
    fn weighted_length(&self, org: &OrgName, weight: impl Fn(&OrgName) -> f64) -> f64 {
        self.org_queues.get(org).map_or(0.0, |org_queue| org_queue.requests.len() as f64 / weight(org).max(0.001))
    }

    /// Returns the request with the latest deadline of the organisation with the most requests for its weight, and that
    /// organisation's weighted length.
    fn displacement_candidate(&self, weight: impl Fn(&OrgName) -> f64) -> Option<(f64, QueuedRequest)> {
        let lengths = self.order.iter().map(|(_, org)| (self.weighted_length(org, &weight), org));
        let (length, org) = lengths.max_by(|left, right| left.0.total_cmp(&right.0).then(left.1.cmp(right.1)))?;
        let request = self.org_queues.get(org)?.requests.last()?;
        Some((length, request.clone()))
    }

    /// Removes a request and returns whether it was queued.
    fn remove(&mut self, request: &QueuedRequest) -> bool {
        let Some(org_queue) = self.org_queues.get_mut(&request.key.org) else { return false };
        let was_queued = org_queue.requests.remove(request);
        if was_queued && org_queue.requests.is_empty() {
            self.order.remove(&(org_queue.virtual_time, request.key.org.clone()));
        }
        was_queued
    }
}

/// The queue of one service, by priority.
#[derive(Clone, Debug, Default)]
pub struct ServiceQueue {
    /// Requests of each priority, by the priority's number.
    levels: [PriorityLevel; 3],
    /// Number of queued requests of all priorities.
    len: usize,
}

impl ServiceQueue {
    /// Adds a request at a priority.
    pub fn push(&mut self, priority: Priority, request: QueuedRequest) {
        self.levels[priority as usize].push(request);
        self.len += 1;
    }

    /// Returns the request that [`ServiceQueue::pop`] would take next.
    #[must_use]
    pub fn peek(&self) -> Option<&QueuedRequest> {
        self.levels.iter().find_map(PriorityLevel::peek)
    }

    /// Removes and returns the next request, or returns `None` if the queue is empty.
    ///
    /// `weight` returns an organisation's weight, by which the organisation shares the calls of one priority.
    pub fn pop(&mut self, weight: impl Fn(&OrgName) -> f64) -> Option<QueuedRequest> {
        let request = self.levels.iter_mut().find_map(|level| level.pop(&weight))?;
        self.len -= 1;
        Some(request)
    }

    /// Removes a request at a priority, if it is queued.
    pub fn remove(&mut self, priority: Priority, request: &QueuedRequest) {
        if self.levels[priority as usize].remove(request) {
            self.len -= 1;
        }
    }

    /// Returns the request to give up first for a new request, or `None` if the queue is empty.
    ///
    /// Of the requests of the lowest priority that has any, it is the one with the latest deadline of the organisation
    /// with the most requests for its weight.
    #[must_use]
    pub fn displacement_candidate(&self, weight: impl Fn(&OrgName) -> f64) -> Option<DisplacementCandidate> {
        const PRIORITIES: [Priority; 3] = [Priority::Batch, Priority::Normal, Priority::Interactive];
        PRIORITIES.into_iter().find_map(|priority| {
            let (weighted_length, request) = self.levels[priority as usize].displacement_candidate(&weight)?;
            Some(DisplacementCandidate { priority, request, weighted_length })
        })
    }

    /// Returns the number of an organisation's requests at one priority, divided by the organisation's weight.
    #[must_use]
    pub fn weighted_length(&self, priority: Priority, org: &OrgName, weight: impl Fn(&OrgName) -> f64) -> f64 {
        self.levels[priority as usize].weighted_length(org, weight)
    }

    /// Returns the number of queued requests.
    #[must_use]
    pub fn len(&self) -> usize {
        self.len
    }

    /// Returns whether the queue is empty.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.len == 0
    }
}

/// The queues of all services.
#[derive(Clone, Debug, Default)]
pub struct QueueTable {
    queues: BTreeMap<ServiceName, ServiceQueue>,
}

impl QueueTable {
    /// Returns the queue of a service, created if missing.
    pub fn queue_mut(&mut self, service: &ServiceName) -> &mut ServiceQueue {
        self.queues.entry(service.clone()).or_default()
    }

    /// Returns the number of requests that wait for a service.
    #[must_use]
    pub fn len_of(&self, service: &ServiceName) -> usize {
        self.queues.get(service).map_or(0, ServiceQueue::len)
    }

    /// Returns the first service after `previous`, by name, with queued requests; the first of all for `None`.
    #[must_use]
    pub fn next_busy(&self, previous: Option<&ServiceName>) -> Option<ServiceName> {
        let start = previous.map_or(Bound::Unbounded, Bound::Excluded);
        let mut following = self.queues.range((start, Bound::Unbounded));
        following.find(|(_, queue)| !queue.is_empty()).map(|(service, _)| service.clone())
    }
}
