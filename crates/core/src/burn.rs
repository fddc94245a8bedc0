//! Service-level burn: good and bad events per subject, and the error budget that objectives allow.
//!
//! Each event brings the budget of its own objective along, so that subjects which mix objectives (an
//! organisation, a data centre) and objectives that change are counted right, and counts of nodes add up.

pub mod latency;
pub mod scoring;
pub mod series;

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use crate::burn::latency::{Latencies, LatencyCount};
use crate::burn::series::BurnSeries;
use crate::clock::Moment;

/// Name under which subjects beyond the bound of their scope are summed.
pub const OTHER: &str = "other";
/// Subjects of one scope that are counted apart.
pub const MOST_SUBJECTS: usize = 256;

/// What a subject is.
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

/// What events are counted for.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct BurnSubject {
    /// What it is.
    pub scope: BurnScope,
    /// Its name.
    pub name: Arc<str>,
}

/// A span of time up to now, over which events are summed.
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
    /// Thirty days: the period of the error budget.
    #[strum(serialize = "30d")]
    Days30,
}

impl BurnWindow {
    /// Its length.
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

/// A pair of windows that are judged together: the long one shows that it matters, the short one that it lasts.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display, strum::EnumIter)]
#[strum(serialize_all = "kebab-case")]
pub enum BurnAlert {
    /// Two hundredths of the budget in an hour.
    Fast,
    /// A twentieth of the budget in six hours.
    Slow,
}

impl BurnAlert {
    /// The short and the long window.
    #[must_use]
    pub fn windows(self) -> [BurnWindow; 2] {
        match self {
            Self::Fast => [BurnWindow::Minutes5, BurnWindow::Hour],
            Self::Slow => [BurnWindow::Minutes30, BurnWindow::Hours6],
        }
    }

    /// Burn rate from which both windows raise it.
    #[must_use]
    pub fn threshold(self) -> f64 {
        match self {
            Self::Fast => 14.4,
            Self::Slow => 6.0,
        }
    }
}

/// Events over some time.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct EventCounts {
    /// Events as the objective wants them.
    pub good: u64,
    /// Other events.
    pub bad: u64,
    /// Bad events that the objectives allow, in millionths of an event.
    pub budget_micros: u64,
}

impl EventCounts {
    /// Millionths in one event.
    const EVENT: f64 = 1_000_000.0;

    /// One event under an objective.
    #[must_use]
    pub fn one(good: bool, objective: f64) -> Self {
        let budget_micros = ((1.0 - objective) * Self::EVENT).round() as u64;
        Self { good: u64::from(good), bad: u64::from(!good), budget_micros }
    }

    /// Adds other events.
    pub fn add(&mut self, other: Self) {
        self.good += other.good;
        self.bad += other.bad;
        self.budget_micros += other.budget_micros;
    }

    /// All events.
    #[must_use]
    pub fn events(&self) -> u64 {
        self.good + self.bad
    }

    /// How many times faster than allowed the budget is spent; 0 without events.
    #[must_use]
    pub fn burn_rate(&self) -> f64 {
        if self.bad == 0 {
            return 0.0;
        }
        self.bad as f64 * Self::EVENT / (self.budget_micros.max(1)) as f64
    }

    /// Share of the error budget that is left; negative if more than all is spent.
    #[must_use]
    pub fn budget_left(&self) -> f64 {
        1.0 - self.burn_rate()
    }
}

/// What is reported of one subject.
#[derive(Clone, Debug, PartialEq)]
pub struct BurnRow {
    /// The subject.
    pub subject: BurnSubject,
    /// Events by window.
    pub windows: BTreeMap<BurnWindow, EventCounts>,
    /// Latencies of the last one to two hours.
    pub latencies: Vec<LatencyCount>,
}

impl BurnRow {
    /// Events of a window.
    #[must_use]
    pub fn counts(&self, window: BurnWindow) -> EventCounts {
        self.windows.get(&window).copied().unwrap_or_default()
    }

    /// Whether both windows of an alert are at its threshold.
    #[must_use]
    pub fn raises(&self, alert: BurnAlert) -> bool {
        alert.windows().into_iter().all(|window| self.counts(window).burn_rate() >= alert.threshold())
    }

    /// Adds what another node counted of the same subject.
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

/// One event that is counted.
#[derive(Clone, Copy, Debug)]
pub struct BurnEvent {
    /// Whether it is as the objective wants it.
    pub good: bool,
    /// Share of events that shall be good.
    pub objective: f64,
    /// How long it took, if it ran.
    pub took: Option<Duration>,
}

/// What this node counted, by subject.
#[derive(Clone, Debug, Default)]
pub struct BurnTable {
    series: BTreeMap<BurnSubject, BurnSeries>,
}

impl BurnTable {
    /// Counts an event.
    pub fn count(&mut self, scope: BurnScope, name: Arc<str>, event: BurnEvent, now: Moment) {
        let subject = self.bounded(BurnSubject { scope, name }, now);
        self.series.entry(subject).or_default().count(event, now);
    }

    /// The subject itself, or the one that stands for all beyond the bound.
    fn bounded(&mut self, subject: BurnSubject, now: Moment) -> BurnSubject {
        if self.series.contains_key(&subject) || self.subjects(subject.scope) < MOST_SUBJECTS {
            return subject;
        }
        self.series.retain(|_, series| series.is_recent(now));
        if self.subjects(subject.scope) < MOST_SUBJECTS {
            return subject;
        }
        BurnSubject { scope: subject.scope, name: Arc::from(OTHER) }
    }

    fn subjects(&self, scope: BurnScope) -> usize {
        self.series.keys().filter(|subject| subject.scope == scope && &*subject.name != OTHER).count()
    }

    /// What is to be reported, by subject.
    #[must_use]
    pub fn rows(&self, now: Moment) -> Vec<BurnRow> {
        self.series.iter().map(|(subject, series)| series.row(subject, now)).collect()
    }
}
