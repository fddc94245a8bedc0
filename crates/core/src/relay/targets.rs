//! Targets as they register themselves, and what this node has seen of them.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::Duration;

use crate::clock::Moment;
use crate::names::{DcName, NodeName, ServiceName, TargetName, VersionName};
use crate::relay::fleet::sum_loads;
use crate::relay::members::TargetLoad;

/// A target's own entry.
#[derive(Clone, Debug, PartialEq)]
pub struct TargetEntry {
    /// Its id, which no other target has at the same time.
    pub target: TargetName,
    /// Start of its process in Unix milliseconds: another start is another incarnation.
    pub incarnation: Option<u64>,
    /// The service that it carries.
    pub service: ServiceName,
    /// Where it listens.
    pub address: SocketAddr,
    /// Where it stands.
    pub dc: DcName,
    /// Version of its software.
    pub version: VersionName,
    /// Requests that it runs at once.
    pub slots: u32,
    /// Whether it will leave and must get no new work.
    pub leaving: bool,
    /// Time for which it still bears little load.
    pub cold_for: Duration,
}

/// What became of a call, as far as it speaks for its target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallResult {
    /// It answered as it should, after this time to the first byte.
    Good(Duration),
    /// It answered with a failure or with bytes that are no answer.
    Faulty,
    /// It said that it is full.
    Full,
    /// Its connection broke while it ran the call, or it stayed silent.
    Broken,
    /// It could not be reached.
    Unreachable,
    /// Another target has its address.
    Replaced,
    /// Says nothing of the target: the caller left or the deadline came early.
    Unknown,
}

/// A target and what was seen of it.
#[derive(Clone, Debug)]
pub struct TargetView {
    /// Its entry.
    pub entry: TargetEntry,
    /// Calls of this node in flight.
    pub in_flight: u32,
    /// Prompt tokens of this node's calls that have not answered yet.
    pub unread_tokens: u32,
    /// Calls of other nodes in flight, as last told.
    pub others_in_flight: u32,
    /// Prompt tokens of other nodes' calls, as last told.
    pub others_unread: u32,
    /// Usual time to the first byte of an answer in milliseconds; 0 until one came.
    pub usual_ms: f64,
    /// Share of recent calls that failed, 0 to 1.
    pub fault_share: f64,
    /// Until when it gets no calls if others can take them.
    pub resting_until: Moment,
    /// Until when it is cold.
    pub cold_until: Moment,
    /// When this node last called it while it was cold.
    pub last_cold_call: Option<Moment>,
    faults_in_row: u32,
    /// When an entry that vanished stops counting.
    remove_at: Option<Moment>,
}

impl TargetView {
    /// Weight of the newest call in averages: about the last six calls count.
    const NEWEST: f64 = 0.3;
    /// Rest after the first failure in a row; each further one doubles it.
    const FIRST_REST: Duration = Duration::from_millis(250);
    /// Longest rest: a target that is back is found within this time.
    const LONGEST_REST: Duration = Duration::from_secs(2);

    fn new(entry: TargetEntry, now: Moment) -> Self {
        Self {
            cold_until: now + entry.cold_for,
            entry,
            in_flight: 0,
            unread_tokens: 0,
            others_in_flight: 0,
            others_unread: 0,
            usual_ms: 0.0,
            fault_share: 0.0,
            resting_until: Moment::default(),
            last_cold_call: None,
            faults_in_row: 0,
            remove_at: None,
        }
    }

    /// Calls in flight from all nodes, as far as known.
    #[must_use]
    pub fn load(&self) -> u32 {
        self.in_flight + self.others_in_flight
    }

    /// Whether it is cold.
    #[must_use]
    pub fn is_cold(&self, now: Moment) -> bool {
        now < self.cold_until
    }

    fn learn(&mut self, result: CallResult, now: Moment) {
        match result {
            CallResult::Good(took) => self.learn_good(took),
            CallResult::Faulty => self.fault_share += (1.0 - self.fault_share) * Self::NEWEST,
            CallResult::Broken => {
                self.fault_share += (1.0 - self.fault_share) * Self::NEWEST;
                self.rest(now);
            }
            CallResult::Unreachable | CallResult::Full | CallResult::Replaced => self.rest(now),
            CallResult::Unknown => {}
        }
    }

    fn learn_good(&mut self, took: Duration) {
        let ms = took.as_secs_f64() * 1e3;
        self.usual_ms = if self.usual_ms == 0.0 { ms } else { self.usual_ms + (ms - self.usual_ms) * Self::NEWEST };
        self.fault_share *= 1.0 - Self::NEWEST;
        self.faults_in_row = 0;
    }

    fn rest(&mut self, now: Moment) {
        let rest = Self::FIRST_REST * 2_u32.pow(self.faults_in_row.min(4));
        self.faults_in_row += 1;
        self.resting_until = now + rest.min(Self::LONGEST_REST);
    }
}

/// Targets by id.
#[derive(Clone, Debug, Default)]
pub struct TargetBook {
    views: BTreeMap<TargetName, TargetView>,
    by_service: BTreeMap<ServiceName, BTreeSet<TargetName>>,
    loads: BTreeMap<NodeName, Vec<TargetLoad>>,
}

impl TargetBook {
    /// Takes an entry in; tells whether it is of another incarnation than the one known.
    pub fn upsert(&mut self, entry: TargetEntry, now: Moment) -> bool {
        let kept = self.views.remove(&entry.target);
        if let Some(old) = &kept {
            self.unindex(&old.entry.service.clone(), &entry.target);
        }
        self.by_service.entry(entry.service.clone()).or_default().insert(entry.target.clone());
        let same = kept.filter(|old| old.entry.incarnation == entry.incarnation && old.entry.address == entry.address);
        let is_new = same.is_none();
        let view = match same {
            Some(old) => {
                let cold_until = now + entry.cold_for;
                TargetView { entry, cold_until, remove_at: None, ..old }
            }
            None => TargetView::new(entry, now),
        };
        self.views.insert(view.entry.target.clone(), view);
        is_new
    }

    fn unindex(&mut self, service: &ServiceName, target: &TargetName) {
        if let Some(names) = self.by_service.get_mut(service) {
            names.remove(target);
        }
    }

    /// Notes that an entry is gone; the target counts as gone at `at`, unless its entry comes back before.
    pub fn vanish(&mut self, target: &TargetName, at: Moment) {
        if let Some(view) = self.views.get_mut(target) {
            view.remove_at.get_or_insert(at);
        }
    }

    /// Removes what has vanished; gives back the ids.
    pub fn sweep(&mut self, now: Moment) -> Vec<TargetName> {
        let due = |view: &TargetView| view.remove_at.is_some_and(|at| at <= now);
        let gone: Vec<_> = self.views.values().filter(|view| due(view)).map(|view| view.entry.clone()).collect();
        for entry in &gone {
            self.views.remove(&entry.target);
            self.unindex(&entry.service, &entry.target);
        }
        gone.into_iter().map(|entry| entry.target).collect()
    }

    /// One target.
    #[must_use]
    pub fn get(&self, target: &TargetName) -> Option<&TargetView> {
        self.views.get(target)
    }

    /// One target, to change.
    pub fn get_mut(&mut self, target: &TargetName) -> Option<&mut TargetView> {
        self.views.get_mut(target)
    }

    /// Targets of a service.
    pub fn of<'a>(&'a self, service: &ServiceName) -> impl Iterator<Item = &'a TargetView> {
        let names = self.by_service.get(service).into_iter().flatten();
        names.filter_map(|name| self.views.get(name))
    }

    /// All targets.
    pub fn iter(&self) -> impl Iterator<Item = &TargetView> {
        self.views.values()
    }

    /// Counts a call that starts.
    pub fn start_call(&mut self, target: &TargetName, tokens: u32, now: Moment) {
        if let Some(view) = self.views.get_mut(target) {
            view.in_flight += 1;
            view.unread_tokens += tokens;
            if view.is_cold(now) {
                view.last_cold_call = Some(now);
            }
        }
    }

    /// Counts that a call's prompt was read.
    pub fn prompt_read(&mut self, target: &TargetName, tokens: u32) {
        if let Some(view) = self.views.get_mut(target) {
            view.unread_tokens = view.unread_tokens.saturating_sub(tokens);
        }
    }

    /// Counts a call that ended.
    pub fn end_call(&mut self, target: &TargetName, result: CallResult, now: Moment) {
        if let Some(view) = self.views.get_mut(target) {
            view.in_flight = view.in_flight.saturating_sub(1);
            view.learn(result, now);
        }
    }

    /// Notes what a target says of its cold start.
    pub fn learn_cold(&mut self, target: &TargetName, cold_for: Duration, now: Moment) {
        if let Some(view) = self.views.get_mut(target) {
            view.cold_until = now + cold_for;
        }
    }

    /// This node's work in flight.
    #[must_use]
    pub fn own_loads(&self) -> Vec<TargetLoad> {
        let busy = self.views.values().filter(|view| view.in_flight > 0);
        busy.map(|view| TargetLoad {
            target: view.entry.target.clone(),
            in_flight: view.in_flight,
            unread_tokens: view.unread_tokens,
        })
        .collect()
    }

    /// What some peers have in flight together, as last told.
    #[must_use]
    pub fn loads_of(&self, nodes: &BTreeSet<&NodeName>) -> Vec<TargetLoad> {
        sum_loads(nodes.iter().filter_map(|node| self.loads.get(*node)).flatten())
    }

    /// Peers whose loads are known.
    #[must_use]
    pub fn load_sources(&self) -> Vec<NodeName> {
        self.loads.iter().filter(|(_, loads)| !loads.is_empty()).map(|(node, _)| node.clone()).collect()
    }

    /// Takes in what a peer has in flight; an empty list clears it.
    pub fn learn_loads(&mut self, node: &NodeName, loads: Vec<TargetLoad>) {
        let old = self.loads.insert(node.clone(), loads.clone()).unwrap_or_default();
        for load in old {
            if let Some(view) = self.views.get_mut(&load.target) {
                view.others_in_flight = view.others_in_flight.saturating_sub(load.in_flight);
                view.others_unread = view.others_unread.saturating_sub(load.unread_tokens);
            }
        }
        for load in loads {
            if let Some(view) = self.views.get_mut(&load.target) {
                view.others_in_flight += load.in_flight;
                view.others_unread += load.unread_tokens;
            }
        }
    }
}
