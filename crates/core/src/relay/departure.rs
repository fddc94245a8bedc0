//! Decides which requests a leaving node accepts: those that end before its process does. The caller of a request that is
//! refused connects to another node at once; one whose request is cut has lost the work done so far.
//!
//! Only a deadline bounds the duration of a request. How long others took is an estimate, which fails when targets become
//! slower, as they do while many nodes leave. It decides soon after the signal only, while nearly every request ends in
//! time, and never for a request that runs at most once and is answered as a whole: at the end it would get an answer that
//! leaves its outcome open, while a stream has shown what it made.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use crate::clock::Moment;
use crate::relay::document::{RelayRoute, RetryPolicy};

/// Settings of the decision whether a leaving node accepts a request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct DepartureLimits {
    /// Time from the signal in which a request is accepted if it is expected to end in time. The platform allows a cut
    /// of what was sent up to 3 s after the signal; the rest is for a signal that this process handles late.
    pub estimate_window: Duration,
    /// Time for which the duration of a request is remembered at least; at most twice as long.
    pub memory: Duration,
    /// Factor between the longest observed duration and the bound for the next request, after many observations.
    pub longest_factor: f64,
    /// Number of observations at which the factor is larger by 1. It is larger still after fewer.
    pub few_observations: f64,
    /// Delay after which the caller of a refused request may retry at another node.
    pub retry_after: Duration,
}

impl Default for DepartureLimits {
    fn default() -> Self {
        Self {
            estimate_window: Duration::from_millis(2_500),
            memory: Duration::from_mins(1),
            longest_factor: 2.0,
            few_observations: 20.0,
            retry_after: Duration::from_millis(50),
        }
    }
}

/// What a leaving node decides about a request, and from what.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DepartureVerdict {
    /// Whether the request is accepted.
    pub is_accepted: bool,
    /// What the decision rests on.
    pub basis: DepartureBasis,
    /// Time within which the request ends, by `basis`.
    pub expected: Duration,
    /// Time until the process ends.
    pub time_left: Duration,
}

/// What tells within which time a request ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display, strum::IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
pub enum DepartureBasis {
    /// The time by which the request must be answered, which is a bound.
    Deadline,
    /// The durations of recent requests of its route, which allow an estimate.
    RecentDurations,
}

/// The signal to stop, and the end of the process that was planned then.
#[derive(Clone, Copy, Debug)]
struct PlannedDeparture {
    signalled_at: Moment,
    ends_at: Moment,
}

impl PlannedDeparture {
    /// Accepts a request if its deadline comes before the end of the process, or if `estimate`, the time that it is
    /// expected to take, does. The estimate does not count for a request that runs at most once and is answered as a whole.
    fn judge(self, route: &RelayRoute, estimate: Option<Duration>, deadline: Moment, now: Moment) -> DepartureVerdict {
        let (time_left, until_deadline) = (now.until(self.ends_at), now.until(deadline));
        let estimate = estimate.filter(|estimate| {
            route.retry_policy != RetryPolicy::AtMostOnce && until_deadline > time_left && *estimate < until_deadline
        });
        let (basis, expected) = estimate
            .map_or((DepartureBasis::Deadline, until_deadline), |estimate| (DepartureBasis::RecentDurations, estimate));
        let is_accepted = expected <= time_left && !time_left.is_zero();
        DepartureVerdict { is_accepted, basis, expected, time_left }
    }
}

/// Number and maximum of the durations of requests in one period.
#[derive(Clone, Copy, Debug, Default)]
struct PeriodSummary {
    count: u32,
    longest: Duration,
}

/// Durations of the requests of one route, in the current period and the one before it.
#[derive(Clone, Debug, Default)]
struct RouteDurations {
    period_started: Moment,
    current: PeriodSummary,
    previous: PeriodSummary,
    /// Number of open requests by the time of their arrival.
    open: BTreeMap<Moment, u32>,
}

impl RouteDurations {
    fn start_period_if_due(&mut self, memory: Duration, now: Moment) {
        let age = now.since(self.period_started);
        if age >= memory {
            self.previous = if age < memory * 2 { self.current } else { PeriodSummary::default() };
            self.current = PeriodSummary::default();
            self.period_started = now;
        }
    }

    fn is_unused(&self, memory: Duration, now: Moment) -> bool {
        self.open.is_empty() && now.since(self.period_started) >= memory * 2
    }

    fn summarize(&self, memory: Duration, now: Moment) -> PeriodSummary {
        let mut durations = self.clone();
        durations.start_period_if_due(memory, now);
        let oldest_age = self.open.keys().next().map_or(Duration::ZERO, |started| now.since(*started));
        let longest = durations.current.longest.max(durations.previous.longest).max(oldest_age);
        PeriodSummary { count: durations.current.count + durations.previous.count, longest }
    }
}

/// The planned end of this node's process, and how long requests recently took.
#[derive(Clone, Debug, Default)]
pub struct DepartureGate {
    limits: DepartureLimits,
    routes: BTreeMap<Arc<str>, RouteDurations>,
    departure: Option<PlannedDeparture>,
}

impl DepartureGate {
    /// Creates the gate of a node that is not leaving.
    #[must_use]
    pub fn new(limits: DepartureLimits) -> Self {
        Self { limits, ..Self::default() }
    }

    /// Records at `now` that the process will end at `ends_at` at the latest. The first call is the signal to stop; later
    /// ones can only bring the end forward.
    pub fn plan_end(&mut self, ends_at: Moment, now: Moment) {
        let planned = self.departure.unwrap_or(PlannedDeparture { signalled_at: now, ends_at });
        self.departure = Some(PlannedDeparture { ends_at: planned.ends_at.min(ends_at), ..planned });
    }

    /// Returns the delay after which the caller of a refused request may retry.
    #[must_use]
    pub fn retry_after(&self) -> Duration {
        self.limits.retry_after
    }

    /// Records that a request of the route `route`, which arrived at `started`, was accepted.
    pub fn record_start(&mut self, route: &Arc<str>, started: Moment) {
        if !self.routes.contains_key(route) {
            let memory = self.limits.memory;
            self.routes.retain(|_, durations| !durations.is_unused(memory, started));
        }
        let new_route = || RouteDurations { period_started: started, ..RouteDurations::default() };
        let durations = self.routes.entry(route.clone()).or_insert_with(new_route);
        *durations.open.entry(started).or_default() += 1;
    }

    /// Records that an accepted request ended, and observes its duration if it was answered. The duration of a request
    /// that failed or whose caller left does not tell how long an answer takes.
    pub fn record_end(&mut self, route: &str, started: Moment, is_answered: bool, now: Moment) {
        let Some(durations) = self.routes.get_mut(route) else { return };
        if let Some(count) = durations.open.get_mut(&started) {
            *count -= 1;
            if *count == 0 {
                durations.open.remove(&started);
            }
        }
        if is_answered {
            durations.start_period_if_due(self.limits.memory, now);
            durations.current.count += 1;
            durations.current.longest = durations.current.longest.max(now.since(started));
        }
    }

    /// Decides whether a request that must be answered by `deadline` is accepted: if it ends before the process. Returns
    /// `None` at a node that is not leaving, which accepts every request.
    #[must_use]
    pub fn check(&self, route: &RelayRoute, deadline: Moment, now: Moment) -> Option<DepartureVerdict> {
        let departure = self.departure?;
        let is_early = now.since(departure.signalled_at) < self.limits.estimate_window;
        let estimate = is_early.then(|| self.expected_duration(route, now)).flatten();
        Some(departure.judge(route, estimate, deadline, now))
    }

    /// Decides whether a request that was accepted, and may have waited since, is sent to a target; it can still be refused
    /// as not run. It needs the time until its deadline, or as much as the longest recent one of its route if it arrived,
    /// at `started`, after the signal, and its latency objective if it arrived before. Returns `None` at a node that is not
    /// leaving.
    #[must_use]
    pub fn check_waited(
        &self,
        route: &RelayRoute,
        started: Moment,
        deadline: Moment,
        now: Moment,
    ) -> Option<DepartureVerdict> {
        let departure = self.departure?;
        let observed = self.routes.get(&route.name).filter(|_| started >= departure.signalled_at);
        let longest = observed.map(|durations| durations.summarize(self.limits.memory, now).longest);
        let usual = longest.unwrap_or_default().max(route.objective);
        Some(departure.judge(route, Some(usual), deadline, now))
    }

    /// Returns an upper bound of the duration of the next request of a route, or `None` if none was observed. The fewer
    /// requests were observed, the further their longest one may be from the longest possible one.
    fn expected_duration(&self, route: &RelayRoute, now: Moment) -> Option<Duration> {
        let observed = self.routes.get(&route.name)?.summarize(self.limits.memory, now);
        let factor = self.limits.longest_factor + self.limits.few_observations / f64::from(observed.count);
        // A request that takes as long as its latency objective is an ordinary one, whether it was observed or not.
        (observed.count > 0).then(|| observed.longest.max(route.objective).mul_f64(factor))
    }
}
