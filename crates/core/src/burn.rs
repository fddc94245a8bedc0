//! Burn rates of service-level objectives: good and bad events per subject, and the error budget of the objectives.
//!
//! Each event adds the error budget of its own objective. So subjects that mix objectives (an organisation, a data
//! centre) and objectives that change are counted correctly, and the counts of all nodes can be summed.

pub mod latency;
pub mod scoring;
pub mod series;

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use crate::burn::latency::{Latencies, LatencyCount};
use crate::burn::series::BurnSeries;
use crate::clock::Moment;

/// Name of the subject that sums up all subjects of a scope beyond `MAX_SUBJECTS`.
pub const OTHER: &str = "other";
/// Limit of subjects of one scope that are counted separately.
pub const MAX_SUBJECTS: usize = 256;

/// Kind of a subject.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, strum::Display, strum::EnumString)]
#[strum(serialize_all = "kebab-case")]
pub enum BurnScope {
    /// All requests of the environment.
    Environment,
    /// Requests of one organisation.
    Organisation,
    /// Requests to one pipeline, or to one service directly.
    Route,
    /// Calls to one service, whatever the route.
    Stage,
    /// Calls to the targets of one data centre.
    DataCentre,
}

/// Subject for which events are counted, such as one organisation or one route.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct BurnSubject {
    /// Kind of the subject.
    pub scope: BurnScope,
    /// Name of the subject within its scope, or `OTHER`.
    pub name: Arc<str>,
}

/// Length of a period up to now over which events are summed.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, strum::Display, strum::EnumString, strum::EnumIter,
)]
pub enum BurnWindow {
    /// Five minutes.
    #[strum(serialize = "5m")]
    Minutes5,
    /// Half an hour.
    #[strum(serialize = "30m")]
    Minutes30,
    /// An hour.
    #[strum(serialize = "1h")]
    Hour,
    /// Six hours.
    #[strum(serialize = "6h")]
    Hours6,
    /// Thirty days, the period of the error budget.
    #[strum(serialize = "30d")]
    Days30,
}

impl BurnWindow {
    /// Returns the length of the window.
    #[must_use]
    pub fn length(self) -> Duration {
        match self {
            Self::Minutes5 => Duration::from_mins(5),
            Self::Minutes30 => Duration::from_mins(30),
            Self::Hour => Duration::from_hours(1),
            Self::Hours6 => Duration::from_hours(6),
            Self::Days30 => Duration::from_hours(30 * 24),
        }
    }
}

/// Multi-window alert: the long window shows that the burn is significant, the short one that it still goes on.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display, strum::EnumIter)]
#[strum(serialize_all = "kebab-case")]
pub enum BurnAlert {
    /// Spending at a rate that uses up a fiftieth of the 30-day budget in one hour.
    Fast,
    /// Spending at a rate that uses up a twentieth of the 30-day budget in six hours.
    Slow,
}

impl BurnAlert {
    /// Returns the short and the long window, in this order.
    #[must_use]
    pub fn windows(self) -> [BurnWindow; 2] {
        match self {
            Self::Fast => [BurnWindow::Minutes5, BurnWindow::Hour],
            Self::Slow => [BurnWindow::Minutes30, BurnWindow::Hours6],
        }
    }

    /// Returns the burn rate that both windows have to reach for the alert to be raised.
    #[must_use]
    pub fn threshold(self) -> f64 {
        match self {
            Self::Fast => 14.4,
            Self::Slow => 6.0,
        }
    }
}

/// Numbers of events over a period.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct EventCounts {
    /// Events that meet the objective.
    pub good: u64,
    /// Other events.
    pub bad: u64,
    /// Error budget: bad events that the objectives allow, in millionths of an event.
    pub budget_micros: u64,
}

impl EventCounts {
    /// Units of `budget_micros` per event.
    const MICROS_PER_EVENT: f64 = 1_000_000.0;

    /// Returns the counts of one event under an objective (share of events that should be good, 0 to 1).
    #[must_use]
    pub fn for_event(good: bool, objective: f64) -> Self {
        let budget_micros = ((1.0 - objective) * Self::MICROS_PER_EVENT).round() as u64;
        Self { good: u64::from(good), bad: u64::from(!good), budget_micros }
    }

    /// Adds the counts of `other`.
    pub fn add(&mut self, other: Self) {
        self.good += other.good;
        self.bad += other.bad;
        self.budget_micros += other.budget_micros;
    }

    /// Returns the number of all events.
    #[must_use]
    pub fn events(&self) -> u64 {
        self.good + self.bad
    }

    /// Returns the burn rate: how many times faster than allowed the budget is spent; 0 without bad events.
    #[must_use]
    pub fn burn_rate(&self) -> f64 {
        if self.bad == 0 {
            return 0.0;
        }
        self.bad as f64 * Self::MICROS_PER_EVENT / (self.budget_micros.max(1)) as f64
    }

    /// Returns the share of the period's error budget that is left, at most 1; negative if it is overspent.
    #[must_use]
    pub fn budget_left(&self) -> f64 {
        1.0 - self.burn_rate()
    }
}

/// Event counts and latencies of one subject.
#[derive(Clone, Debug, PartialEq)]
pub struct BurnRow {
    /// Subject whose events are counted.
    pub subject: BurnSubject,
    /// Events by window.
    pub windows: BTreeMap<BurnWindow, EventCounts>,
    /// Histogram of the latencies of the current hourly interval and the one before, shortest first. Only an event ends
    /// an interval, so without events older latencies stay.
    pub latencies: Vec<LatencyCount>,
}

impl BurnRow {
    /// Returns the counts of a window; zero counts if the window is missing.
    #[must_use]
    pub fn counts(&self, window: BurnWindow) -> EventCounts {
        self.windows.get(&window).copied().unwrap_or_default()
    }

    /// Returns whether both windows of an alert have reached its threshold.
    #[must_use]
    pub fn raises(&self, alert: BurnAlert) -> bool {
        alert.windows().into_iter().all(|window| self.counts(window).burn_rate() >= alert.threshold())
    }

    /// Adds the counts of the same subject from another node.
    pub fn merge(&mut self, other: &Self) {
        for (window, counts) in &other.windows {
            self.windows.entry(*window).or_default().add(*counts);
        }
        let mut latencies = Latencies::default();
        latencies.add(&self.latencies);
        latencies.add(&other.latencies);
        self.latencies = latencies.counts();
    }
}

/// A request or call that ended, or a request that was refused, as it is counted.
#[derive(Clone, Copy, Debug)]
pub struct BurnEvent {
    /// Whether the event meets the objective.
    pub good: bool,
    /// Objective: share of events that should be good, 0 to 1.
    pub objective: f64,
    /// Time from the arrival of the request or the start of the call to its end; `None` if it was refused.
    pub took: Option<Duration>,
}

/// Events counted on this node, by subject.
#[derive(Clone, Debug, Default)]
pub struct BurnTable {
    series: BTreeMap<BurnSubject, BurnSeries>,
}

impl BurnTable {
    /// Counts an event for a subject, or for `OTHER` if the scope already has `MAX_SUBJECTS` other subjects.
    pub fn count(&mut self, scope: BurnScope, name: Arc<str>, event: BurnEvent, now: Moment) {
        let subject = self.limit_subject(BurnSubject { scope, name }, now);
        self.series.entry(subject).or_default().count(event, now);
    }

    /// Returns `subject` itself, or the one named `OTHER` if the limit of its scope is reached.
    ///
    /// Subjects without events within the budget period are dropped before the limit applies.
    fn limit_subject(&mut self, subject: BurnSubject, now: Moment) -> BurnSubject {
        if self.series.contains_key(&subject) || self.subject_count(subject.scope) < MAX_SUBJECTS {
            return subject;
        }
        self.series.retain(|_, series| series.has_recent_events(now));
        if self.subject_count(subject.scope) < MAX_SUBJECTS {
            return subject;
        }
        BurnSubject { scope: subject.scope, name: Arc::from(OTHER) }
    }

    fn subject_count(&self, scope: BurnScope) -> usize {
        self.series.keys().filter(|subject| subject.scope == scope && &*subject.name != OTHER).count()
    }

    /// Returns the counts of all subjects in the windows up to `now`, ordered by subject.
    #[must_use]
    pub fn rows(&self, now: Moment) -> Vec<BurnRow> {
        self.series.iter().map(|(subject, series)| series.row(subject, now)).collect()
    }
}
