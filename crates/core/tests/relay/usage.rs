//! Metering against a simple model of the fleet, the store and the platform.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use proptest::prelude::*;
use wasabipier_core::clock::WallTime;
use wasabipier_core::names::{InstanceId, NodeName, OrgName};
use wasabipier_core::relay::duties::DutyTimes;
use wasabipier_core::relay::usage::reports::{UsageReporter, UsageStep};
use wasabipier_core::relay::usage::{CountOutcome, OrgCounts, TrueClock, UpdateScope, UsageTable, UsageUpdate};

use crate::fixtures::{at, config, millis};

/// Wall time at the moment 0 of the simulated time, in the middle of a window.
const EPOCH_MS: u64 = 1_767_225_602_000;
const WINDOW_MS: u64 = 5_000;
const TICK_MS: u64 = 50;
const NODE_COUNT: usize = 20;

fn clock_at(ms: u64) -> TrueClock {
    TrueClock::new(WallTime(EPOCH_MS + ms), at(ms))
}

fn table(node: &str, instance: u64, ms: u64) -> UsageTable {
    UsageTable::new(NodeName::new(node), InstanceId(instance), clock_at(ms), &DutyTimes::default(), at(ms))
}

fn window_of(ms: u64) -> u64 {
    (EPOCH_MS + ms) / WINDOW_MS
}

fn encode(counts: &OrgCounts) -> Arc<[u8]> {
    let text: Vec<String> = counts.iter().map(|(org, count)| format!("{org}={count}")).collect();
    Arc::from(text.join(",").as_bytes())
}

fn decode(content: &[u8]) -> BTreeMap<String, u64> {
    let text = std::str::from_utf8(content).expect("text");
    let pairs = text.split(',').filter_map(|pair| pair.split_once('='));
    pairs.map(|(org, count)| (org.to_owned(), count.parse().expect("a number"))).collect()
}

/// A fault of the simulated fleet.
#[derive(Clone, Debug)]
enum Fault {
    /// The process of the holder, or of another candidate, ends and starts again after this time.
    EndCandidate(usize, u64),
    /// The lease goes to another candidate.
    MoveDuty,
    /// The store does not answer for this time.
    StoreAway(u64),
    /// The platform's interface does not answer for this time.
    PlatformAway(u64),
    /// The store loses the newest rows.
    StoreRestored(usize),
}

/// A message or call that has not arrived yet.
#[derive(Clone, Debug)]
enum Parcel {
    Update(usize, usize, UsageUpdate, UpdateScope),
    Confirmation(usize, NodeName, UpdateScope, Option<u64>),
    Write { from: (usize, u64), call: u64, fence: u64, window: u64, content: Arc<[u8]>, removed: Option<u64> },
    Report { from: (usize, u64), call: u64, fence: u64, window: u64, content: Arc<[u8]> },
}

struct Member {
    table: UsageTable,
    reporter: UsageReporter,
    instance: u64,
    down_until: u64,
    /// The call whose answer the reporter waits for, and when it gives up.
    open_call: Option<(u64, u64)>,
}

struct Fleet {
    now: u64,
    random: fastrand::Rng,
    members: Vec<Member>,
    parcels: Vec<(u64, Parcel)>,
    rows: BTreeMap<u64, Arc<[u8]>>,
    store_away_until: u64,
    platform_away_until: u64,
    /// Holder, its instance, its fencing token and when its lease begins.
    duty: (usize, u64, u64, u64),
    seen_fence: u64,
    call_count: u64,
    accepted: BTreeMap<u64, BTreeSet<Arc<[u8]>>>,
    began: BTreeMap<u64, BTreeMap<&'static str, u64>>,
    is_faulty: bool,
}

impl Fleet {
    fn new(seed: u64) -> Self {
        let member = |index: usize| Member {
            table: table(&name(index), 1, 0),
            reporter: UsageReporter::default(),
            instance: 1,
            down_until: 0,
            open_call: None,
        };
        Self {
            now: 0,
            random: fastrand::Rng::with_seed(seed),
            members: (0..NODE_COUNT).map(member).collect(),
            parcels: Vec::new(),
            rows: BTreeMap::new(),
            store_away_until: 0,
            platform_away_until: 0,
            duty: (0, 1, 1, 0),
            seen_fence: 0,
            call_count: 0,
            accepted: BTreeMap::new(),
            began: BTreeMap::new(),
            is_faulty: true,
        }
    }

    fn is_up(&self, index: usize) -> bool {
        self.now >= self.members[index].down_until
    }

    fn candidates(&self) -> Vec<usize> {
        (0..NODE_COUNT).filter(|index| self.is_up(*index)).take(3).collect()
    }

    /// Sends a parcel, which may be lost, late or repeated.
    fn send(&mut self, parcel: &Parcel) {
        let copies = match self.random.u32(..10) {
            0 if self.is_faulty => 0,
            1 if self.is_faulty => 2,
            _ => 1,
        };
        for _ in 0..copies {
            let max_delay = if self.is_faulty && self.random.u32(..20) == 0 { 2_000 } else { 100 };
            self.parcels.push((self.now + self.random.u64(1..=max_delay), parcel.clone()));
        }
    }

    fn apply_fault(&mut self, fault: &Fault) {
        match fault {
            Fault::EndCandidate(choice, down_ms) => {
                let candidates = self.candidates();
                let index = candidates[choice % candidates.len()];
                let (down_until, instance) = (self.now + down_ms, self.members[index].instance + 1);
                let table = table(&name(index), instance, down_until);
                let reporter = UsageReporter::default();
                self.members[index] = Member { table, reporter, instance, down_until, open_call: None };
            }
            Fault::MoveDuty => self.move_duty(0),
            Fault::StoreAway(ms) => self.store_away_until = self.now + ms,
            Fault::PlatformAway(ms) => self.platform_away_until = self.now + ms,
            Fault::StoreRestored(count) => {
                for _ in 0..*count {
                    self.rows.pop_last();
                }
                self.move_duty(0);
            }
        }
    }

    fn move_duty(&mut self, pause: u64) {
        let candidates = self.candidates();
        let next = candidates[self.random.usize(..candidates.len())];
        self.duty = (next, self.members[next].instance, self.duty.2 + 1, self.now + pause);
    }

    fn tick(&mut self) {
        self.now += TICK_MS;
        let (holder, instance, ..) = self.duty;
        if self.members[holder].instance != instance {
            self.move_duty(4_000);
        } else if !self.candidates().contains(&holder) {
            self.move_duty(1_000);
        }
        for index in 0..NODE_COUNT {
            if self.is_up(index) {
                self.count_requests(index);
                self.tell(index);
            }
        }
        self.act();
        let (due, later) = std::mem::take(&mut self.parcels).into_iter().partition(|(arrives, _)| *arrives <= self.now);
        self.parcels = later;
        let due: Vec<(u64, Parcel)> = due;
        for (_, parcel) in due {
            self.deliver(parcel);
        }
    }

    fn count_requests(&mut self, index: usize) {
        let requests = [("big", self.random.u64(0..=2)), ("small", u64::from(self.random.u32(..4) == 0))];
        for (org, count) in requests {
            *self.began.entry(window_of(self.now)).or_default().entry(org).or_default() += count;
            for _ in 0..count {
                let outcome = self.members[index].table.count(&OrgName::new(org), at(self.now), at(self.now));
                assert_eq!(outcome, CountOutcome::Counted);
            }
        }
    }

    fn tell(&mut self, index: usize) {
        let candidates = self.candidates();
        let now = at(self.now);
        let others: Vec<(NodeName, InstanceId)> = candidates
            .iter()
            .filter(|other| **other != index)
            .map(|other| (NodeName::new(name(*other)), InstanceId(self.members[*other].instance)))
            .collect();
        let table = &mut self.members[index].table;
        assert!(table.maintain(candidates.contains(&index), now).is_empty());
        let due: Vec<NodeName> = table.take_due(&others, now).into_iter().cloned().collect();
        let up = (0..NODE_COUNT).filter(|other| self.is_up(*other));
        let live = up.map(|other| (NodeName::new(name(other)), InstanceId(self.members[other].instance))).collect();
        for other in candidates {
            if due.contains(&NodeName::new(name(other))) {
                let (update, scope) = self.members[index].table.update_for(&NodeName::new(name(other)), &live);
                self.send(&Parcel::Update(index, other, update, scope));
            }
        }
    }

    /// Lets the holder act.
    fn act(&mut self) {
        let (holder, instance, fence, begins) = self.duty;
        let (now, store_is_away) = (at(self.now), self.now < self.store_away_until);
        let member = &mut self.members[holder];
        if let Some((_, gives_up)) = member.open_call {
            if self.now < gives_up {
                return;
            }
            member.open_call = None;
            member.reporter.record_failure(now);
        }
        // Without the store, no lease is renewed.
        if self.now < begins || member.instance != instance || store_is_away {
            return;
        }
        let Some(step) = member.reporter.next_step(&member.table, fence, now) else { return };
        self.call_count += 1;
        let (from, call) = ((holder, instance), self.call_count);
        let parcel = match step {
            UsageStep::ReadRows => {
                let rows = self.rows.clone().into_iter().collect();
                member.reporter.record_rows(&member.table, fence, rows, now);
                return;
            }
            UsageStep::Fix(draft) => {
                let content = draft.content.unwrap_or_else(|| encode(&draft.counts));
                Parcel::Write { from, call, fence, window: draft.window, content, removed: draft.expired }
            }
            UsageStep::Send { window, content } => Parcel::Report { from, call, fence, window, content },
        };
        member.open_call = Some((call, self.now + 800));
        self.send(&parcel);
    }

    fn deliver(&mut self, parcel: Parcel) {
        let now = at(self.now);
        match parcel {
            Parcel::Update(from, to, update, scope) if self.is_up(to) => {
                let table = &mut self.members[to].table;
                table.apply(update, now);
                let reported = table.reported();
                self.send(&Parcel::Confirmation(from, NodeName::new(name(to)), scope, reported));
            }
            Parcel::Confirmation(to, candidate, scope, reported) if self.is_up(to) => {
                self.members[to].table.record_confirmed(&candidate, scope, reported);
            }
            Parcel::Write { from, call, fence, window, content, removed } if self.now >= self.store_away_until => {
                let is_new = !self.rows.contains_key(&window);
                let row = self.rows.entry(window).or_insert(content).clone();
                if let Some(removed) = removed.filter(|_| is_new) {
                    self.rows.remove(&removed);
                }
                self.answer(from, call, |member| member.reporter.record_fixed(&member.table, fence, window, row));
            }
            Parcel::Report { from, call, fence, window, content } if self.now >= self.platform_away_until => {
                if fence < self.seen_fence {
                    return;
                }
                self.seen_fence = fence;
                self.accepted.entry(window).or_default().insert(content);
                self.answer(from, call, |member| member.reporter.record_accepted(&mut member.table, window));
            }
            _ => {}
        }
    }

    /// Gives the answer of a call to the member that waits for it, unless the answer is lost.
    fn answer(&mut self, (index, instance): (usize, u64), call: u64, record: impl FnOnce(&mut Member)) {
        let is_lost = self.is_faulty && self.random.u32(..10) == 0;
        let member = &mut self.members[index];
        let is_awaited = member.instance == instance && member.open_call.is_some_and(|(open, _)| open == call);
        if is_awaited && !is_lost {
            member.open_call = None;
            record(member);
        }
    }
}

fn name(index: usize) -> String {
    format!("edge-{index:02}")
}

fn faults() -> impl Strategy<Value = Vec<(u64, Fault)>> {
    let fault = prop_oneof![
        4 => (0..3usize, 500..9_000u64).prop_map(|(choice, down_ms)| Fault::EndCandidate(choice, down_ms)),
        2 => Just(Fault::MoveDuty),
        1 => (1_000..70_000u64).prop_map(Fault::StoreAway),
        1 => (1_000..40_000u64).prop_map(Fault::PlatformAway),
    ];
    // A fault every four seconds or later, so that the counts of one ended node at a time are lost.
    prop::collection::vec((4_000..20_000u64, fault), 1..8)
}

/// Returns the fleet after it ran with `faults`, each after its pause, and then without any.
fn run_fleet(seed: u64, faults: &[(u64, Fault)]) -> Fleet {
    let mut fleet = Fleet::new(seed);
    for (pause, fault) in faults {
        let until = fleet.now + pause;
        while fleet.now < until {
            fleet.tick();
        }
        fleet.apply_fault(fault);
    }
    fleet.is_faulty = false;
    let until = fleet.now.max(fleet.store_away_until).max(fleet.platform_away_until) + 30_000;
    while fleet.now < until {
        fleet.tick();
    }
    fleet
}

proptest! {
    #![proptest_config(config(24))]

    /// Guards against windows that are lost, reported twice with different counts, or short by more than the counts of
    /// ended nodes that nobody had been told, while candidates end, messages and answers are lost, repeated and reordered,
    /// the holder changes, and the store or the platform is away, also for longer than counts are told.
    #[test]
    fn each_window_is_reported_once_with_what_began(seed in any::<u64>(), faults in faults()) {
        let fleet = run_fleet(seed, &faults);

        let newest = window_of(fleet.now - 5_000) - 1;
        for (window, began) in fleet.began.range(..=newest) {
            let accepted = fleet.accepted.get(window).cloned().unwrap_or_default();
            prop_assert_eq!(accepted.len(), 1, "window {} of {:?}", window, faults);
            let reported = decode(accepted.first().expect("one"));
            for (org, began) in began {
                let reported = reported.get(*org).copied().unwrap_or_default();
                let is_close = reported <= *began && reported as f64 >= 0.95 * *began as f64;
                prop_assert!(is_close, "window {} {}: {} of {}", window, org, reported, began);
            }
        }
    }

    /// Guards against a second report of a window after the store lost its row: what was reported is known to the nodes, and
    /// what was only written is written again.
    #[test]
    fn a_restored_store_leads_to_no_second_report(seed in any::<u64>(), count in 1..12usize) {
        let fleet = run_fleet(seed, &[(40_000, Fault::StoreRestored(count)), (9_000, Fault::MoveDuty)]);

        let contents: Vec<usize> = fleet.accepted.values().map(BTreeSet::len).collect();
        prop_assert!(contents.iter().all(|count| *count == 1), "{:?}", contents);
    }
}

/// Guards against windows that move when the wall clock is stepped, and against counting in the window of the answer.
#[test]
fn a_request_counts_in_the_window_in_which_it_began() {
    let mut usage = table("edge-01", 1, 0);
    let org = OrgName::new("bozi300");

    let outcome = usage.count(&org, at(2_999), at(6_500));

    assert_eq!(outcome, CountOutcome::Counted);
    let (update, _) = usage.update_for(&NodeName::new("edge-02"), &BTreeSet::new());
    assert_eq!(update.runs[0].windows, [(EPOCH_MS / WINDOW_MS, [(org.clone(), 1)].into())]);
    assert_eq!(usage.count(&org, at(2_999), at(40_000)), CountOutcome::TooLate);
    usage.record_reported(Some(window_of(7_000)));
    assert_eq!(usage.count(&org, at(7_000), at(9_000)), CountOutcome::TooLate);
    assert_eq!(clock_at(500).since_epoch(at(400)), millis(EPOCH_MS + 400));
}

/// Guards against memory that grows with the organisations that callers name.
#[test]
fn a_window_counts_a_bounded_number_of_organisations() {
    let mut usage = table("edge-01", 1, 0);
    let org = |number: usize| OrgName::new(format!("org-{number}"));

    let counted = (0..UsageTable::MAX_ORGS + 5).map(|number| usage.count(&org(number), at(0), at(0)));

    assert_eq!(counted.filter(|outcome| *outcome == CountOutcome::TooManyOrgs).count(), 5);
    assert_eq!(usage.count(&org(3), at(0), at(0)), CountOutcome::Counted);
}

/// Guards against a candidate that is told once a tick, or not again after a lost update.
#[test]
fn candidates_are_told_once_a_second_and_at_the_end_of_a_window() {
    let mut usage = table("edge-01", 1, 0);
    let candidates = [(NodeName::new("edge-02"), InstanceId(1))];
    let mut told = Vec::new();

    for ms in (0..8_000).step_by(100) {
        if ms == 200 || ms == 2_500 {
            usage.count(&OrgName::new("bozi300"), at(ms), at(ms));
        }
        if !usage.take_due(&candidates, at(ms)).is_empty() {
            told.push(ms);
            let (_, scope) = usage.update_for(&candidates[0].0, &BTreeSet::new());
            // The confirmation of the update at 1,000 ms is lost.
            if ms != 1_000 {
                usage.record_confirmed(&candidates[0].0, scope, None);
            }
        }
    }

    assert_eq!(told, [0, 1_000, 2_000, 3_000, 3_300]);
}
