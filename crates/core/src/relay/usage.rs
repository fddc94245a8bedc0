//! Metering: counts of the requests that began to run, by organisation and window of time, what nodes tell each other of
//! them, and the reports that the holder of the duty makes ([`reports`]).

pub mod reports;

use std::collections::btree_map::Entry;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use crate::clock::{Moment, WallTime};
use crate::names::{InstanceId, NodeName, OrgName};
use crate::relay::duties::DutyTimes;

/// Numbers of requests by organisation.
pub type OrgCounts = BTreeMap<OrgName, u64>;

/// Wall clock that is read once and then advances with the node's clock, so that a later step of the wall clock does not
/// move windows.
#[derive(Clone, Copy, Debug)]
pub struct TrueClock {
    read: WallTime,
    read_at: Moment,
}

impl TrueClock {
    /// Creates a clock from the wall clock's time at `now`.
    #[must_use]
    pub fn new(wall: WallTime, now: Moment) -> Self {
        Self { read: wall, read_at: now }
    }

    /// Returns the time since the Unix epoch at `at`.
    #[must_use]
    pub fn since_epoch(&self, at: Moment) -> Duration {
        let read = Duration::from_millis(self.read.0);
        (read + at.since(self.read_at)).saturating_sub(at.until(self.read_at))
    }
}

/// Windows of time, which are numbered from the Unix epoch on.
#[derive(Clone, Copy, Debug)]
pub struct WindowClock {
    clock: TrueClock,
    length: Duration,
}

impl WindowClock {
    /// Returns the number of the window that contains `at`.
    #[must_use]
    pub fn window_at(&self, at: Moment) -> u64 {
        (self.clock.since_epoch(at).as_millis() / self.length.as_millis()) as u64
    }

    /// Returns the time since the end of `window`, or zero if it has not ended.
    #[must_use]
    pub fn age(&self, window: u64, now: Moment) -> Duration {
        let end_ms = (u128::from(window) + 1) * self.length.as_millis();
        Duration::from_millis(self.clock.since_epoch(now).as_millis().saturating_sub(end_ms) as u64)
    }
}

/// Run of a node's process.
pub type NodeRun = (NodeName, InstanceId);

/// What a node tells a candidate. Counts are cumulative, so that an update can be lost, repeated and overtaken.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct UsageUpdate {
    /// The newest window that the node knows as reported. All windows before it are done, too.
    pub reported: Option<u64>,
    /// Counts of the node, and of nodes that have ended and told it theirs.
    pub runs: Vec<RunCounts>,
}

/// Counts of one run of a node.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RunCounts {
    /// The run that counted.
    pub run: NodeRun,
    /// Its counts so far, by window. A window without requests is told with no counts once it has ended.
    pub windows: Vec<(u64, OrgCounts)>,
}

/// What an update tells, for the confirmation.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct UpdateScope {
    /// Number of the last change of the node's own counts.
    change: u64,
    /// Ended runs whose counts are told.
    ended_runs: Vec<NodeRun>,
}

/// Whether a request was counted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CountOutcome {
    /// It is counted.
    Counted,
    /// Its window has as many organisations as are counted, and this is another one.
    TooManyOrgs,
    /// Its window has been reported, or its counts are no longer told.
    TooLate,
}

/// What is known of the counts of one window.
#[derive(Clone, Debug, Default)]
struct WindowCounts {
    /// Counts by node and instance, while they may grow.
    by_node: BTreeMap<NodeRun, OrgCounts>,
    /// Sum of the counts, and number of nodes that sent some, of a window that was closed to save memory.
    closed: Option<(OrgCounts, usize)>,
}

impl WindowCounts {
    /// Returns the counts of all nodes together.
    fn sum(&self) -> OrgCounts {
        let mut sum = self.closed.as_ref().map(|(sum, _)| sum.clone()).unwrap_or_default();
        for (org, count) in self.by_node.values().flatten() {
            *sum.entry(org.clone()).or_default() += count;
        }
        sum
    }

    fn node_count(&self) -> usize {
        let nodes: BTreeSet<&NodeName> = self.by_node.keys().map(|(node, _)| node).collect();
        self.closed.as_ref().map_or(0, |(_, count)| *count) + nodes.len()
    }

    /// Replaces the counts of the nodes by their sum. Counts that are told later are ignored.
    fn close(&mut self) {
        if self.closed.is_none() {
            self.closed = Some((self.sum(), self.node_count()));
            self.by_node.clear();
        }
    }

    fn entry_count(&self) -> usize {
        let closed = self.closed.as_ref().map_or(0, |(sum, _)| sum.len());
        closed + self.by_node.values().map(OrgCounts::len).sum::<usize>()
    }
}

/// What a candidate of the duty has been told.
#[derive(Clone, Debug)]
struct ToldState {
    /// Run of the candidate's process. A new one knows nothing.
    instance: InstanceId,
    /// Number of the last change that it confirmed.
    confirmed: u64,
    /// Ended runs whose counts it confirmed.
    ended_runs: BTreeSet<NodeRun>,
    sent_at: Moment,
}

/// Requests that began to run, as this node counted them and as others told it.
#[derive(Clone, Debug)]
pub struct UsageTable {
    node: NodeName,
    instance: InstanceId,
    clock: WindowClock,
    report_timeout: Duration,
    windows: BTreeMap<u64, WindowCounts>,
    /// The newest window that is known as reported.
    reported: Option<u64>,
    /// Number of changes of this node's own counts, and the last change of each window.
    change: u64,
    window_changes: BTreeMap<u64, u64>,
    /// The newest window whose final counts were to be told.
    last_final: u64,
    told: BTreeMap<NodeName, ToldState>,
    /// Since when this node is a candidate, so that others tell it what they count.
    candidate_since: Option<Moment>,
}

impl UsageTable {
    /// Time from the end of a window after which it is reported, so that the counts of all nodes have arrived.
    pub const SETTLE_TIME: Duration = Duration::from_secs(3);
    /// Maximum number of organisations that a node counts in a window. Others are not counted.
    pub const MAX_ORGS: usize = 10_000;
    /// Interval at which changed counts are told, and after which an update without an answer is repeated.
    const TELL_INTERVAL: Duration = Duration::from_secs(1);
    /// Time from the end of a window after which its counts are told once more, by when most requests that began in it are
    /// counted.
    const FINAL_DELAY: Duration = Duration::from_millis(300);
    /// Time from the end of a window for which requests are counted in it.
    const COUNT_AGE: Duration = Duration::from_secs(30);
    /// Maximum number of counts that are told in one call, so that it fits a frame.
    const MAX_TOLD_COUNTS: usize = 20_000;
    /// Maximum number of counts that are kept, which bounds the memory during an outage of the store. Beyond it, the oldest
    /// windows are closed, and if that does not suffice, dropped.
    const MAX_COUNTS: usize = 1_000_000;
    /// Maximum number of windows that are kept.
    const MAX_WINDOWS: u64 = 1_000;
    /// Time from which on a new candidate has been told the counts of all live nodes: they tell once a second.
    const LEARN_TIME: Duration = Duration::from_secs(2);

    /// Creates the table of the `instance` of `node`.
    #[must_use]
    pub fn new(node: NodeName, instance: InstanceId, clock: TrueClock, times: &DutyTimes, now: Moment) -> Self {
        let clock = WindowClock { clock, length: times.window_length.max(Duration::from_millis(1)) };
        Self {
            node,
            instance,
            clock,
            report_timeout: times.report_timeout,
            windows: BTreeMap::new(),
            reported: None,
            change: 0,
            window_changes: BTreeMap::new(),
            last_final: clock.window_at(now).saturating_sub(1),
            told: BTreeMap::new(),
            candidate_since: None,
        }
    }

    /// Returns the windows of this node's clock.
    #[must_use]
    pub fn clock(&self) -> WindowClock {
        self.clock
    }

    /// Counts a request of `org` that began to run at `began_at`.
    pub fn count(&mut self, org: &OrgName, began_at: Moment, now: Moment) -> CountOutcome {
        let window = self.clock.window_at(began_at);
        if self.is_done(window) || self.clock.age(window, now) > Self::COUNT_AGE {
            return CountOutcome::TooLate;
        }
        let counts = self.windows.entry(window).or_default();
        if counts.closed.is_some() {
            return CountOutcome::TooLate;
        }
        let counts = counts.by_node.entry((self.node.clone(), self.instance)).or_default();
        let is_full = counts.len() >= Self::MAX_ORGS;
        match counts.entry(org.clone()) {
            Entry::Vacant(_) if is_full => return CountOutcome::TooManyOrgs,
            entry => *entry.or_default() += 1,
        }
        self.record_change(window);
        CountOutcome::Counted
    }

    fn record_change(&mut self, window: u64) {
        self.change += 1;
        self.window_changes.insert(window, self.change);
    }

    /// Returns those of `candidates`, other nodes with the runs of their processes, that are to be told this node's counts
    /// now. Expects that they are told at once.
    pub fn take_due<'a>(&mut self, candidates: &'a [(NodeName, InstanceId)], now: Moment) -> Vec<&'a NodeName> {
        let ended = self.clock.window_at(now - Self::FINAL_DELAY).saturating_sub(1);
        let is_final = ended > self.last_final;
        if is_final {
            for window in (self.last_final + 1..=ended).rev() {
                if self.is_done(window) || self.clock.age(window, now) > Self::COUNT_AGE {
                    break;
                }
                let counts = self.windows.entry(window).or_default();
                counts.by_node.entry((self.node.clone(), self.instance)).or_default();
                self.record_change(window);
            }
            self.last_final = ended;
        }
        self.told.retain(|node, told| candidates.contains(&(node.clone(), told.instance)));
        let due = candidates.iter().filter(|(node, instance)| {
            let is_due = self.told.get(node).is_none_or(|told| {
                told.confirmed < self.change && (is_final || now.since(told.sent_at) >= Self::TELL_INTERVAL)
            });
            if is_due {
                let new = ToldState { instance: *instance, confirmed: 0, ended_runs: BTreeSet::new(), sent_at: now };
                self.told.entry(node.clone()).or_insert(new).sent_at = now;
            }
            is_due
        });
        due.map(|(node, _)| node).collect()
    }

    /// Returns what this node tells a candidate now, and what to confirm when it has answered: its counts of the windows that
    /// have changed since the last update that the candidate confirmed. If this node is a candidate itself, it also tells the
    /// counts of runs that are not in `live`, since these do not tell a new candidate any more.
    #[must_use]
    pub fn update_for(&self, candidate: &NodeName, live: &BTreeSet<NodeRun>) -> (UsageUpdate, UpdateScope) {
        let own = (self.node.clone(), self.instance);
        let told = self.told.get(candidate);
        let confirmed = told.map_or(0, |told| told.confirmed);
        let mut changed: Vec<(u64, u64)> =
            self.window_changes.iter().map(|(window, change)| (*change, *window)).collect();
        changed.retain(|(change, _)| *change > confirmed);
        changed.sort_unstable();
        let (mut windows, mut told_count, mut change) = (Vec::new(), 0, self.change);
        for (index, (_, window)) in changed.iter().enumerate() {
            let Some(counts) = self.windows.get(window).and_then(|counts| counts.by_node.get(&own)) else { continue };
            told_count += counts.len();
            if told_count > Self::MAX_TOLD_COUNTS && index > 0 {
                change = changed[index - 1].0;
                break;
            }
            windows.push((*window, counts.clone()));
        }
        let mut ended: BTreeMap<&NodeRun, Vec<(u64, OrgCounts)>> = BTreeMap::new();
        if self.candidate_since.is_some() {
            for (window, counts) in &self.windows {
                let runs = counts.by_node.iter().filter(|(run, _)| **run != own && !live.contains(run));
                for (run, counts) in runs.filter(|(run, _)| told.is_none_or(|told| !told.ended_runs.contains(run))) {
                    ended.entry(run).or_default().push((*window, counts.clone()));
                }
            }
        }
        ended.retain(|_, windows| {
            told_count += windows.iter().map(|(_, counts)| counts.len()).sum::<usize>();
            told_count <= Self::MAX_TOLD_COUNTS
        });
        let ended_runs = ended.keys().map(|run| (*run).clone()).collect();
        let ended = ended.into_iter().map(|(run, windows)| RunCounts { run: run.clone(), windows });
        let runs = std::iter::once(RunCounts { run: own, windows }).chain(ended).collect();
        (UsageUpdate { reported: self.reported, runs }, UpdateScope { change, ended_runs })
    }

    /// Records that a candidate confirmed an update, and that it knows the windows up to `reported` as reported.
    pub fn record_confirmed(&mut self, candidate: &NodeName, scope: UpdateScope, reported: Option<u64>) {
        if let Some(told) = self.told.get_mut(candidate) {
            told.confirmed = told.confirmed.max(scope.change);
            told.ended_runs.extend(scope.ended_runs);
        }
        self.record_reported(reported);
    }

    /// Applies what another node told. Counts never fall.
    pub fn apply(&mut self, update: UsageUpdate, now: Moment) {
        self.record_reported(update.reported);
        let newest = self.clock.window_at(now) + 1;
        let told = update.runs.into_iter().flat_map(|counts| {
            let run = counts.run;
            counts.windows.into_iter().map(move |(window, counts)| (run.clone(), window, counts))
        });
        for (run, window, counts) in told {
            if self.is_done(window) || window > newest || window + Self::MAX_WINDOWS < newest {
                continue;
            }
            let known = self.windows.entry(window).or_default();
            if known.closed.is_some() {
                continue;
            }
            let known = known.by_node.entry(run).or_default();
            for (org, count) in counts.into_iter().take(Self::MAX_ORGS) {
                if known.len() < Self::MAX_ORGS || known.contains_key(&org) {
                    let known = known.entry(org).or_default();
                    *known = count.max(*known);
                }
            }
        }
    }

    /// Records that the windows up to `reported` are done.
    pub fn record_reported(&mut self, reported: Option<u64>) {
        if reported > self.reported {
            self.reported = reported;
            self.windows.retain(|window, _| Some(*window) > reported);
            self.window_changes.retain(|window, _| Some(*window) > reported);
        }
    }

    /// Returns the time from the end of a window by which its report is due.
    #[must_use]
    pub fn report_timeout(&self) -> Duration {
        self.report_timeout
    }

    /// Returns the newest window that is known as reported.
    #[must_use]
    pub fn reported(&self) -> Option<u64> {
        self.reported
    }

    /// Returns whether a window is known as reported.
    #[must_use]
    pub fn is_done(&self, window: u64) -> bool {
        self.reported.is_some_and(|reported| window <= reported)
    }

    /// Sets whether this node is a candidate, and closes or drops old windows if too much is kept. Returns the windows that
    /// are dropped.
    pub fn maintain(&mut self, is_candidate: bool, now: Moment) -> Vec<u64> {
        self.candidate_since = if is_candidate { self.candidate_since.or(Some(now)) } else { None };
        let mut kept: usize = self.windows.values().map(WindowCounts::entry_count).sum();
        let oldest_open = self.clock.window_at(now - Self::COUNT_AGE);
        for (_, counts) in self.windows.range_mut(..oldest_open) {
            if kept <= Self::MAX_COUNTS {
                break;
            }
            kept -= counts.entry_count();
            counts.close();
            kept += counts.entry_count();
        }
        let mut dropped = Vec::new();
        while kept > Self::MAX_COUNTS || self.windows.len() as u64 > Self::MAX_WINDOWS {
            let Some((window, counts)) = self.windows.pop_first() else { break };
            self.window_changes.remove(&window);
            kept -= counts.entry_count();
            dropped.push(window);
        }
        dropped
    }

    /// Returns the oldest window that may be reported now, if any. It is later than `fixed`, the newest window whose content
    /// the store has held. A node that has just become a candidate waits until others have told it their counts.
    fn next_settled(&self, fixed: Option<u64>, now: Moment) -> Option<u64> {
        let listens_since = self.candidate_since.filter(|since| now.since(*since) >= Self::LEARN_TIME)?;
        let newest = self.clock.window_at(now - Self::SETTLE_TIME).checked_sub(1)?;
        let after = self.reported.max(fixed).map_or(0, |done| done + 1);
        // A window that no node told of ended before all nodes that are alive began, unless this node has listened since.
        let first = self.clock.window_at(listens_since).max(newest.saturating_sub(Self::MAX_WINDOWS)).max(after);
        let first_with_counts = self.windows.range(after..).next().map(|(window, _)| *window);
        Some(first_with_counts.map_or(first, |window| window.min(first))).filter(|window| *window <= newest)
    }

    /// Returns the counts of all nodes in `window`.
    fn sum(&self, window: u64) -> OrgCounts {
        self.windows.get(&window).map(WindowCounts::sum).unwrap_or_default()
    }

    /// Returns the number of nodes that told their counts of `window`, and the number of `live` nodes that did not. The
    /// latter is 0 for a window that is too old to be told of.
    #[must_use]
    pub fn node_counts<'a>(&self, window: u64, live: impl Iterator<Item = &'a NodeName>) -> (usize, usize) {
        let Some(counts) = self.windows.get(&window) else { return (0, live.count()) };
        let told: BTreeSet<&NodeName> = counts.by_node.keys().map(|(node, _)| node).collect();
        let silent = live.filter(|node| counts.closed.is_none() && !told.contains(node)).count();
        (counts.node_count(), silent)
    }
}
