//! Targets: the entries that they register in the store, and their behaviour as this node observed it.

mod grants;

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::net::SocketAddr;
use std::time::Duration;

use crate::clock::Moment;
use crate::names::{DcName, NodeName, ServiceName, TargetName, VersionName};
use crate::relay::fleet::sum_loads;
use crate::relay::members::TargetLoad;
use crate::relay::restarts::ProcessState;
use crate::relay::slow_start::{LimitCause, LimitChange, StartLimiter};
use crate::relay::store_version::StoreVersion;
use crate::relay::target_load::LoadHistory;

use self::grants::GrantedLoad;

/// The entry that a target registers in the store.
#[derive(Clone, Debug, PartialEq)]
pub struct TargetEntry {
    /// Identifier of the target. No two targets have the same one at the same time.
    pub target: TargetName,
    /// Start of the target's process in Unix milliseconds, if the entry has it. Another start time means another
    /// incarnation.
    pub incarnation: Option<u64>,
    /// Service that the target provides.
    pub service: ServiceName,
    /// Address on which the target listens.
    pub address: SocketAddr,
    /// Data centre of the target.
    pub dc: DcName,
    /// Version of the target's software.
    pub version: VersionName,
    /// Maximum number of requests that the target runs at once.
    pub slots: u32,
    /// Whether the target is about to stop and must get no new work.
    pub leaving: bool,
    /// Time for which the target remains cold after the entry was received. A cold target has started recently and can
    /// take little load only.
    pub cold_time: Duration,
    /// Number that the target increases with each entry of an incarnation, if the entry has it.
    pub sequence: Option<u64>,
    /// Store version of the entry's row.
    pub row_version: StoreVersion,
}

impl TargetEntry {
    pub(super) fn is_same_incarnation(&self, other: &Self) -> bool {
        (self.incarnation, self.address) == (other.incarnation, other.address)
    }
}

/// What an entry changed in the registry.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EntryEffect {
    /// The target is new, or has another incarnation or address than before.
    NewTarget,
    /// The target was known.
    Updated,
    /// Nothing: the target has said the same or something newer before the store was restored.
    Outdated,
}

/// The last entry of a target that has been removed, and the store version at which its row was gone.
#[derive(Clone, Debug)]
struct RemovedTarget {
    entry: TargetEntry,
    removed_in: StoreVersion,
}

/// Returns whether `entry` is only what the store was restored with, where `known` was read before and its row was gone
/// at `removed_in`, if it was. What the target has said since in the same incarnation has a higher sequence number, and
/// later incarnations have started later.
fn is_restored_entry(entry: &TargetEntry, known: &TargetEntry, removed_in: Option<StoreVersion>) -> bool {
    let last_version = removed_in.map_or(known.row_version, |removed_in| removed_in.max(known.row_version));
    if entry.row_version.era <= last_version.era {
        return false;
    }
    let incarnations = entry.incarnation.zip(known.incarnation);
    if incarnations.is_some_and(|(restored, known)| restored < known) {
        return true;
    }
    let is_later_statement = match (entry.sequence, known.sequence) {
        (Some(sequence), Some(known_sequence)) => sequence > known_sequence,
        _ => !known.leaving && removed_in.is_none(),
    };
    entry.is_same_incarnation(known) && !is_later_statement
}

/// Outcome of a call, as evidence about its target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallResult {
    /// The target answered correctly. The value is the time until the first byte of the answer.
    Good(Duration),
    /// The target answered with a failure.
    Faulty,
    /// The target answered that the call is at fault. It says nothing about the target alone, but about its version if
    /// other versions accept such calls.
    Declined,
    /// The target sent bytes that are no answer to the call.
    Garbled,
    /// The target reported that it is full.
    Full,
    /// The connection broke while the target ran the call.
    Broken,
    /// The target could not be reached.
    Unreachable,
    /// Another target has the address.
    Replaced,
    /// No evidence about the target: the caller left or the deadline came too early.
    Unknown,
}

/// A target with its observed behaviour.
#[derive(Clone, Debug)]
pub struct TargetView {
    /// Registered entry.
    pub entry: TargetEntry,
    /// Number of this node's calls in flight.
    pub in_flight: u32,
    /// Total prompt tokens of this node's calls that the engine has not processed yet.
    pub pending_prompt_tokens: u32,
    /// Number of other nodes' calls in flight, as last reported.
    pub others_in_flight: u32,
    /// Total prompt tokens of other nodes' calls that the engine has not processed yet, as last reported.
    pub others_pending_prompt_tokens: u32,
    /// Calls and unread prompt tokens of this node's open grants.
    granted: GrantedLoad,
    /// The same of other hubs' grants, as last reported.
    others_granted: GrantedLoad,
    /// Sum of the unread prompt tokens of this node's grants, each of which decays from its time on, and the time of the sum.
    recent_tokens: (f64, Moment),
    /// Moving average of the time to the first byte of an answer in milliseconds. 0 before the first answer.
    pub average_first_byte_ms: f64,
    /// Moving average of the fraction of calls that failed at the target, 0 to 1. Only results `Faulty`,
    /// `Garbled` and `Broken` count as failures.
    pub failure_ratio: f64,
    /// Time until which the target gets no calls if other targets can take them.
    pub backoff_until: Moment,
    /// Time until which the target is cold.
    pub cold_until: Moment,
    /// Whether the target may have started again since it wrote the entry, and counts as cold.
    is_entry_unproven: bool,
    /// When this node last called the target while it was cold.
    pub last_cold_call: Option<Moment>,
    consecutive_failures: u32,
    /// Time until which the target wants no calls from this node, as it has said.
    pub declines_until: Moment,
    /// Whether an answer has shown that the target leaves. Its entry may be from before.
    has_said_leaving: bool,
    /// Load that the target stated, if it states its work time.
    pub(super) load: Option<LoadHistory>,
    /// What is known of the target's process beside its entry.
    pub(super) process: ProcessState,
    /// Whether this node checks now whether the process has ended.
    pub(super) is_process_checked: bool,
    /// Limit on the calls in flight while the target starts or recovers.
    pub(super) limiter: StartLimiter,
    /// When the target is to be removed, if its entry is gone from the store, and the store version at which it was.
    removal: Option<(Moment, StoreVersion)>,
}

impl TargetView {
    /// Weight of the newest call in moving averages. The averages reflect about the last six calls.
    const NEWEST_CALL_WEIGHT: f64 = 0.3;
    /// Backoff after the first call in a row that causes one. Each further such call doubles the backoff.
    const MIN_BACKOFF: Duration = Duration::from_millis(250);
    /// Maximum backoff. A target that recovers gets calls again within this time.
    const MAX_BACKOFF: Duration = Duration::from_secs(2);

    fn new(entry: TargetEntry, now: Moment) -> Self {
        Self {
            cold_until: now + entry.cold_time,
            is_entry_unproven: false,
            entry,
            in_flight: 0,
            pending_prompt_tokens: 0,
            others_in_flight: 0,
            others_pending_prompt_tokens: 0,
            granted: GrantedLoad::default(),
            others_granted: GrantedLoad::default(),
            recent_tokens: (0.0, now),
            average_first_byte_ms: 0.0,
            failure_ratio: 0.0,
            backoff_until: Moment::default(),
            last_cold_call: None,
            consecutive_failures: 0,
            declines_until: Moment::default(),
            has_said_leaving: false,
            load: None,
            process: ProcessState::default(),
            is_process_checked: false,
            limiter: StartLimiter::default(),
            removal: None,
        }
    }

    /// Returns whether the target takes calls from this node: it is not leaving and has not said that it wants none now.
    #[must_use]
    pub fn takes_calls(&self, now: Moment) -> bool {
        !self.entry.leaving && self.declines_until <= now
    }

    /// Returns whether the target is cold at `now`.
    #[must_use]
    pub fn is_cold(&self, now: Moment) -> bool {
        self.is_entry_unproven || now < self.cold_until
    }

    /// Forgets what calls to an earlier process of the target have shown, and counts the new one as cold for `warm_up`.
    pub(super) fn record_restart(&mut self, warm_up: Duration, now: Moment) {
        self.process = ProcessState::Restarted;
        self.cold_until = self.cold_until.max(now + warm_up);
        (self.average_first_byte_ms, self.failure_ratio) = (0.0, 0.0);
        (self.consecutive_failures, self.backoff_until) = (0, Moment::default());
    }

    fn record_result(&mut self, result: CallResult, now: Moment) {
        match result {
            CallResult::Good(first_byte_time) => {
                self.record_success(first_byte_time.div_f64(self.work_time_ratio(now)));
            }
            CallResult::Faulty => self.record_failure(),
            CallResult::Broken | CallResult::Garbled => {
                self.record_failure();
                self.back_off(now);
            }
            CallResult::Unreachable | CallResult::Full | CallResult::Replaced => self.back_off(now),
            CallResult::Declined | CallResult::Unknown => {}
        }
    }

    fn record_success(&mut self, first_byte_time: Duration) {
        let ms = first_byte_time.as_secs_f64() * 1e3;
        self.average_first_byte_ms = if self.average_first_byte_ms == 0.0 {
            ms
        } else {
            self.average_first_byte_ms + (ms - self.average_first_byte_ms) * Self::NEWEST_CALL_WEIGHT
        };
        self.failure_ratio *= 1.0 - Self::NEWEST_CALL_WEIGHT;
        self.consecutive_failures = 0;
    }

    fn record_failure(&mut self) {
        self.failure_ratio += (1.0 - self.failure_ratio) * Self::NEWEST_CALL_WEIGHT;
    }

    fn back_off(&mut self, now: Moment) {
        let backoff = Self::MIN_BACKOFF * 2_u32.pow(self.consecutive_failures.min(4));
        self.consecutive_failures += 1;
        self.backoff_until = now + backoff.min(Self::MAX_BACKOFF);
    }
}

/// Known targets by identifier.
#[derive(Clone, Debug, Default)]
pub struct TargetRegistry {
    views: BTreeMap<TargetName, TargetView>,
    by_service: BTreeMap<ServiceName, BTreeSet<TargetName>>,
    /// Last reported loads, by the peer that reported them.
    peer_loads: BTreeMap<NodeName, Vec<TargetLoad>>,
    /// Last reported loads of grants, by the hub that gave them.
    peer_grants: BTreeMap<NodeName, Vec<TargetLoad>>,
    /// Targets that were removed last. The store may come back with their entries.
    removed: BTreeMap<TargetName, RemovedTarget>,
    /// Changes of limits that were not logged yet, oldest first.
    pub(super) limit_changes: VecDeque<LimitChange>,
}

impl TargetRegistry {
    /// Maximum time for which a target can decline calls with one answer.
    const MAX_DECLINE_TIME: Duration = Duration::from_mins(5);
    /// Maximum number of removed targets that are remembered.
    const MAX_REMOVED: usize = 2_000;

    /// Inserts or updates an entry. The observed behaviour of a new incarnation is reset.
    pub fn upsert(&mut self, entry: TargetEntry, now: Moment) -> EntryEffect {
        if self.is_outdated(&entry) {
            return EntryEffect::Outdated;
        }
        self.removed.remove(&entry.target);
        let known = self.views.remove(&entry.target);
        if let Some(old) = &known {
            self.unindex(&old.entry.service.clone(), &entry.target);
        }
        self.by_service.entry(entry.service.clone()).or_default().insert(entry.target.clone());
        let stated_load = known.as_ref().is_some_and(|old| old.load.is_some());
        let same_incarnation = known.filter(|old| old.entry.is_same_incarnation(&entry));
        let effect = if same_incarnation.is_some() { EntryEffect::Updated } else { EntryEffect::NewTarget };
        let view = match same_incarnation {
            Some(old) => {
                let stated = now + entry.cold_time;
                // The entry of a process that has ended says nothing of the one that has started since.
                let is_stale = old.process != ProcessState::Registered;
                let cold_until = if is_stale { stated.max(old.cold_until) } else { stated };
                let entry = TargetEntry { leaving: entry.leaving || old.has_said_leaving, ..entry };
                TargetView { entry, cold_until, is_entry_unproven: false, removal: None, ..old }
            }
            None => TargetView::new(entry, now),
        };
        let (target, service) = (view.entry.target.clone(), view.entry.service.clone());
        self.views.insert(target.clone(), view);
        if effect == EntryEffect::NewTarget && (stated_load || self.states_work_time(&service)) {
            self.start_limit(&target, LimitCause::NewTarget, now);
        }
        effect
    }

    /// Records that a target may have started again since it wrote its entry, until it writes another one.
    pub(super) fn doubt_entry(&mut self, target: &TargetName) {
        if let Some(view) = self.views.get_mut(target) {
            view.is_entry_unproven = true;
        }
    }

    /// Records that all entries are those that the targets wrote last.
    pub(super) fn trust_entries(&mut self) {
        self.views.values_mut().for_each(|view| view.is_entry_unproven = false);
    }

    /// Returns whether an entry is one of before the store was restored, and says nothing new.
    fn is_outdated(&self, entry: &TargetEntry) -> bool {
        if let Some(view) = self.views.get(&entry.target) {
            return is_restored_entry(entry, &view.entry, view.removal.map(|(_, removed_in)| removed_in));
        }
        let removed = self.removed.get(&entry.target);
        removed.is_some_and(|removed| is_restored_entry(entry, &removed.entry, Some(removed.removed_in)))
    }

    fn unindex(&mut self, service: &ServiceName, target: &TargetName) {
        if let Some(names) = self.by_service.get_mut(service) {
            names.remove(target);
        }
    }

    /// Schedules the removal of a target, whose entry is gone from the store since the version `removed_in`, at the time
    /// `at`. An earlier schedule remains in force. An `upsert` of the target cancels it.
    pub fn schedule_removal(&mut self, target: &TargetName, removed_in: StoreVersion, at: Moment) {
        if let Some(view) = self.views.get_mut(target) {
            view.removal.get_or_insert((at, removed_in));
        }
    }

    /// Removes the targets whose scheduled removal is due. Returns their identifiers.
    pub fn remove_due(&mut self, now: Moment) -> Vec<TargetName> {
        let due = self.views.values().filter_map(|view| {
            let (_, removed_in) = view.removal.filter(|(at, _)| *at <= now)?;
            Some(RemovedTarget { entry: view.entry.clone(), removed_in })
        });
        let due: Vec<RemovedTarget> = due.collect();
        let names: Vec<TargetName> = due.iter().map(|removed| removed.entry.target.clone()).collect();
        for removed in due {
            self.views.remove(&removed.entry.target);
            self.unindex(&removed.entry.service, &removed.entry.target);
            self.removed.insert(removed.entry.target.clone(), removed);
        }
        while self.removed.len() > Self::MAX_REMOVED {
            let oldest = self.removed.iter().min_by_key(|(_, removed)| removed.removed_in);
            let Some(oldest) = oldest.map(|(target, _)| target.clone()) else { break };
            self.removed.remove(&oldest);
        }
        names
    }

    /// Returns a target, or `None` if it is unknown.
    #[must_use]
    pub fn get(&self, target: &TargetName) -> Option<&TargetView> {
        self.views.get(target)
    }

    /// Returns a target for changes, or `None` if it is unknown.
    pub fn get_mut(&mut self, target: &TargetName) -> Option<&mut TargetView> {
        self.views.get_mut(target)
    }

    /// Returns the target of `entry` for changes, or `None` if it is unknown or another incarnation of it is known. What
    /// one process has shown or said does not hold for the next one.
    pub(super) fn incarnation_mut(&mut self, entry: &TargetEntry) -> Option<&mut TargetView> {
        self.views.get_mut(&entry.target).filter(|view| view.entry.is_same_incarnation(entry))
    }

    /// Returns the targets that provide `service`.
    pub fn of<'a>(&'a self, service: &ServiceName) -> impl Iterator<Item = &'a TargetView> {
        let names = self.by_service.get(service).into_iter().flatten();
        names.filter_map(|name| self.views.get(name))
    }

    /// Returns the services of which targets are or were known.
    pub fn services(&self) -> impl Iterator<Item = &ServiceName> {
        self.by_service.keys()
    }

    /// Returns all targets.
    pub fn iter(&self) -> impl Iterator<Item = &TargetView> {
        self.views.values()
    }

    /// Records the start of a call by this node, for which the target has to process `tokens` prompt tokens.
    pub fn record_call_start(&mut self, target: &TargetName, tokens: u32, now: Moment) {
        if let Some(view) = self.views.get_mut(target) {
            view.in_flight += 1;
            view.pending_prompt_tokens += tokens;
            if view.is_cold(now) {
                view.last_cold_call = Some(now);
            }
        }
    }

    /// Records that the engine has processed `tokens` prompt tokens of a call.
    pub fn record_prompt_processed(&mut self, target: &TargetName, tokens: u32) {
        if let Some(view) = self.views.get_mut(target) {
            view.pending_prompt_tokens = view.pending_prompt_tokens.saturating_sub(tokens);
        }
    }

    /// Records the end of a call by this node. Does not change `pending_prompt_tokens`.
    pub fn record_call_end(&mut self, target: &TargetName, result: CallResult, now: Moment) {
        if let Some(view) = self.views.get_mut(target) {
            view.in_flight = view.in_flight.saturating_sub(1);
            view.record_result(result, now);
        }
        self.record_limit_result(target, result, now);
    }

    /// Records that a target has been silent for so long that others get its calls first. The call goes on.
    pub fn record_silence(&mut self, target: &TargetName, now: Moment) {
        if let Some(view) = self.views.get_mut(target) {
            view.record_failure();
            view.back_off(now);
        }
        self.record_limit_result(target, CallResult::Broken, now);
    }

    /// Records that the target of `entry` reported at `now` to remain cold for `cold_time`.
    pub fn record_cold_time(&mut self, entry: &TargetEntry, cold_time: Duration, now: Moment) {
        if let Some(view) = self.incarnation_mut(entry) {
            view.cold_until = now + cold_time;
        }
    }

    /// Records that the target of `entry` said at `now` that it wants no calls from this node for `pause`. A time that it
    /// has named before stands if it ends later.
    pub fn record_decline(&mut self, entry: &TargetEntry, pause: Duration, now: Moment) {
        if let Some(view) = self.incarnation_mut(entry) {
            view.declines_until = view.declines_until.max(now + pause.min(Self::MAX_DECLINE_TIME));
        }
    }

    /// Records that the target of `entry` said in an answer that it leaves. Returns whether that is news.
    pub fn record_leaving(&mut self, entry: &TargetEntry) -> bool {
        let Some(view) = self.incarnation_mut(entry) else { return false };
        let is_news = !view.entry.leaving;
        (view.entry.leaving, view.has_said_leaving) = (true, true);
        is_news
    }

    /// Returns the load that this node's calls in flight put on each target. Targets without calls are left out.
    #[must_use]
    pub fn own_loads(&self) -> Vec<TargetLoad> {
        let busy = self.views.values().filter(|view| view.in_flight > 0);
        busy.map(|view| TargetLoad {
            target: view.entry.target.clone(),
            in_flight: view.in_flight,
            pending_prompt_tokens: view.pending_prompt_tokens,
        })
        .collect()
    }

    /// Returns the total load of the peers `nodes` by target, as last reported.
    #[must_use]
    pub fn sum_peer_loads(&self, nodes: &BTreeSet<&NodeName>) -> Vec<TargetLoad> {
        sum_loads(nodes.iter().filter_map(|node| self.peer_loads.get(*node)).flatten())
    }

    /// Returns the peers whose last report contains load.
    #[must_use]
    pub fn peers_with_load(&self) -> Vec<NodeName> {
        self.peer_loads.iter().filter(|(_, loads)| !loads.is_empty()).map(|(node, _)| node.clone()).collect()
    }

    /// Replaces the loads that a peer reported by `loads`. An empty list clears them.
    pub fn set_peer_loads(&mut self, node: &NodeName, loads: Vec<TargetLoad>) {
        let old = self.peer_loads.insert(node.clone(), loads.clone()).unwrap_or_default();
        for load in old {
            if let Some(view) = self.views.get_mut(&load.target) {
                view.others_in_flight = view.others_in_flight.saturating_sub(load.in_flight);
                view.others_pending_prompt_tokens =
                    view.others_pending_prompt_tokens.saturating_sub(load.pending_prompt_tokens);
            }
        }
        for load in loads {
            if let Some(view) = self.views.get_mut(&load.target) {
                view.others_in_flight += load.in_flight;
                view.others_pending_prompt_tokens += load.pending_prompt_tokens;
            }
        }
    }

    /// Returns the load that the peer `node` reported last for `target`.
    #[must_use]
    pub fn peer_load(&self, node: &NodeName, target: &TargetName) -> Option<&TargetLoad> {
        self.peer_loads.get(node)?.iter().find(|load| load.target == *target)
    }
}
