//! Speed of calls relative to the work that they require, and the usual speeds by service and route.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use crate::latency_tail::LatencyTail;
use crate::names::ServiceName;

/// Aspect of a call whose speed is measured.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum SpeedAspect {
    /// Time until the first part of the answer.
    FirstPart,
    /// Mean pause between the events of a stream.
    EventPause,
}

/// Usual speeds of a service's calls.
#[derive(Clone, Debug, Default)]
pub struct SpeedTable {
    by_route: BTreeMap<(ServiceName, SpeedAspect, Arc<str>), LatencyTail>,
    by_service: BTreeMap<(ServiceName, SpeedAspect), LatencyTail>,
}

impl SpeedTable {
    /// Time until the first part of an answer that requires no tokens to be read.
    const BASE_TIME: Duration = Duration::from_millis(20);
    /// Factor by which a call must exceed the usual times to count as slow. Targets of one service differ in speed.
    pub const SLOW_FACTOR: f64 = 1.25;
    /// Factor while a service shifts to a candidate, whose targets have to read all prompts anew at that time.
    pub const SHIFT_SLOW_FACTOR: f64 = 2.0;
    /// Relative time of a call that takes exactly the expected time.
    const RELATIVE_UNIT: Duration = Duration::from_millis(100);

    /// Returns the time until the first part in relation to the time expected for `tokens`, as a multiple of 100 ms.
    /// `tokens` is the number of tokens that the target has to read first; it reads `tokens_per_ms`.
    #[must_use]
    pub fn relative_time(took: Duration, tokens: u32, tokens_per_ms: f64) -> Duration {
        let expected = Self::BASE_TIME.as_secs_f64() + f64::from(tokens) / tokens_per_ms / 1e3;
        Self::RELATIVE_UNIT.mul_f64(took.as_secs_f64() / expected)
    }

    /// Records the time of a call that counts as usual.
    pub fn record(&mut self, service: &ServiceName, route: &Arc<str>, aspect: SpeedAspect, took: Duration) {
        self.by_route.entry((service.clone(), aspect, route.clone())).or_default().record(took);
        self.by_service.entry((service.clone(), aspect)).or_default().record(took);
    }

    /// Returns whether a call is slower by `factor` than nearly all usual calls on its route or, while few of these are
    /// known, of its service. Returns `None` while few usual calls are known.
    #[must_use]
    pub fn is_slow(
        &self,
        service: &ServiceName,
        route: &Arc<str>,
        aspect: SpeedAspect,
        took: Duration,
        factor: f64,
    ) -> Option<bool> {
        let took = took.div_f64(factor);
        let by_route = self.by_route.get(&(service.clone(), aspect, route.clone()));
        let verdict = by_route.and_then(|tail| tail.is_slow(took));
        verdict.or_else(|| self.by_service.get(&(service.clone(), aspect))?.is_slow(took))
    }

    /// Removes the speeds of routes and services that are not in the document.
    pub fn retain(&mut self, routes: &BTreeSet<Arc<str>>, services: &BTreeSet<ServiceName>) {
        self.by_route.retain(|(service, _, route), _| routes.contains(route) && services.contains(service));
        self.by_service.retain(|(service, _), _| services.contains(service));
    }
}
