//! The retry budget: limits the retries of all nodes together in a sliding window. Each node uses its share on its own.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use crate::clock::Moment;
use crate::names::ServiceName;

/// Limit on the retries of all nodes for one service within a sliding window.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryLimits {
    /// Retries allowed for each request of the window.
    pub ratio: f64,
    /// Retries allowed per window in addition to those by `ratio`. The nodes share them equally.
    pub slack: f64,
    /// Length of the sliding window.
    pub window: Duration,
}

impl Default for RetryLimits {
    fn default() -> Self {
        Self { ratio: 0.2, slack: 50.0, window: Duration::from_secs(10) }
    }
}

/// Fraction of the limit that nodes use. The rest covers requests that nodes count in different windows because their
/// clocks differ.
const USABLE_RATIO: f64 = 0.75;

/// Requests and retries of one service that began in one time slot of the window.
#[derive(Clone, Copy, Debug)]
struct CountSlot {
    start: Moment,
    requests: u32,
    retries: u32,
}

/// Numbers of requests and retries of this node within the window, by service.
#[derive(Clone, Debug, Default)]
pub struct RetryLedger {
    services: BTreeMap<ServiceName, VecDeque<CountSlot>>,
}

impl RetryLedger {
    /// Minimum length of a time slot. Requests and retries are counted by slot.
    const SLOT_LENGTH: Duration = Duration::from_millis(250);

    /// Returns the slot of `service` for `now`. Creates it if necessary, and drops the slots that are older than the
    /// window.
    fn current_slot(&mut self, service: &ServiceName, window: Duration, now: Moment) -> &mut CountSlot {
        let slots = self.services.entry(service.clone()).or_default();
        while slots.front().is_some_and(|slot| now.since(slot.start) > window) {
            slots.pop_front();
        }
        if slots.back().is_none_or(|slot| now.since(slot.start) >= Self::SLOT_LENGTH) {
            slots.push_back(CountSlot { start: now, requests: 0, retries: 0 });
        }
        let last = slots.len() - 1;
        &mut slots[last]
    }

    /// Counts a request for `service`.
    pub fn record_request(&mut self, service: &ServiceName, limits: &RetryLimits, now: Moment) {
        self.current_slot(service, limits.window, now).requests += 1;
    }

    /// Counts a retry for `service` if this node's share of the limit allows one. Returns whether it does. The share
    /// follows from the node's own requests and from `node_count`, the number of nodes that share `slack`.
    pub fn try_take_retry(
        &mut self,
        service: &ServiceName,
        limits: &RetryLimits,
        node_count: usize,
        now: Moment,
    ) -> bool {
        self.current_slot(service, limits.window, now);
        let slots = &self.services[service];
        let requests: u32 = slots.iter().map(|slot| slot.requests).sum();
        let retries: u32 = slots.iter().map(|slot| slot.retries).sum();
        let share = limits.ratio * f64::from(requests) + limits.slack / node_count.max(1) as f64;
        if f64::from(retries) + 1.0 > share * USABLE_RATIO {
            return false;
        }
        self.current_slot(service, limits.window, now).retries += 1;
        true
    }
}
