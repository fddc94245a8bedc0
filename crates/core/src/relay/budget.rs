//! What this node may send again: its share of a bound that holds over all nodes in a sliding window.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use crate::clock::Moment;
use crate::names::ServiceName;

/// The bound over all nodes.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RepeatBounds {
    /// Repeats per request.
    pub ratio: f64,
    /// Repeats beyond the ratio.
    pub slack: f64,
    /// Length of the window.
    pub window: Duration,
}

impl Default for RepeatBounds {
    fn default() -> Self {
        Self { ratio: 0.2, slack: 50.0, window: Duration::from_secs(10) }
    }
}

/// Part of the bound that nodes use; the rest is for requests that clocks put into another window.
const USED_PART: f64 = 0.75;

#[derive(Clone, Copy, Debug)]
struct CountSlot {
    start: Moment,
    requests: u32,
    repeats: u32,
}

/// Requests and repeats of this node by service.
#[derive(Clone, Debug, Default)]
pub struct RepeatLedger {
    services: BTreeMap<ServiceName, VecDeque<CountSlot>>,
}

impl RepeatLedger {
    const SLOT: Duration = Duration::from_millis(250);

    fn slot(&mut self, service: &ServiceName, window: Duration, now: Moment) -> &mut CountSlot {
        let slots = self.services.entry(service.clone()).or_default();
        while slots.front().is_some_and(|slot| now.since(slot.start) > window) {
            slots.pop_front();
        }
        if slots.back().is_none_or(|slot| now.since(slot.start) >= Self::SLOT) {
            slots.push_back(CountSlot { start: now, requests: 0, repeats: 0 });
        }
        let last = slots.len() - 1;
        &mut slots[last]
    }

    /// Counts a request for `service`.
    pub fn note_request(&mut self, service: &ServiceName, bounds: &RepeatBounds, now: Moment) {
        self.slot(service, bounds.window, now).requests += 1;
    }

    /// Takes one repeat, if this node's share of the bound among `nodes` holds one.
    pub fn take_repeat(&mut self, service: &ServiceName, bounds: &RepeatBounds, nodes: usize, now: Moment) -> bool {
        self.slot(service, bounds.window, now);
        let slots = &self.services[service];
        let requests: u32 = slots.iter().map(|slot| slot.requests).sum();
        let repeats: u32 = slots.iter().map(|slot| slot.repeats).sum();
        let share = bounds.ratio * f64::from(requests) + bounds.slack / nodes.max(1) as f64;
        if f64::from(repeats) + 1.0 > share * USED_PART {
            return false;
        }
        self.slot(service, bounds.window, now).repeats += 1;
        true
    }
}
