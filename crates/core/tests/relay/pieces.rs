//! Pieces of many requests in shared calls, against a model of the targets that make them.

use std::collections::BTreeMap;
use std::sync::Arc;

use wasabipier_core::clock::Moment;
use wasabipier_core::names::{DcName, TargetName};
use wasabipier_core::relay::document::BatchSpec;
use wasabipier_core::relay::pieces::{
    CallPlan, PieceFailure, PieceJob, PieceOutcome, PieceQueue, PieceResult, PieceSource, PieceTicket,
};
use wasabipier_core::relay::targets::{TargetRegistry, TargetView};

use crate::fixtures::{at, entry, millis};

/// Coaches of the users' first site: 12 pieces a call, 150 ms a call and 11 ms a piece.
fn spec() -> BatchSpec {
    BatchSpec {
        slots: 1,
        max_pieces: 12,
        call_time: millis(150),
        piece_time: millis(11),
        storage_bytes: 2_200_000,
        result_ttl: millis(4_000),
    }
}

fn job(request: usize, segment: u32, rank: u8) -> PieceJob {
    PieceJob {
        request: Arc::from(format!("request-{request}")),
        stage: 0,
        segment,
        source: PieceSource::Content(Arc::from("key")),
        deadline: at(1_000_000),
        objective: at(1_000_000),
        time_needed: millis(238),
        rank,
        wanted_in: None,
        result_bytes: 60_000,
        remote_bytes: 60_000,
    }
}

fn targets(count: usize) -> TargetRegistry {
    let mut book = TargetRegistry::default();
    for number in 0..count {
        let dc = ["khomas-a", "khomas-b", "khomas-c"][number % 3];
        book.upsert(entry(&format!("i-{number}"), "coaches", dc), at(0));
    }
    book
}

fn open(book: &TargetRegistry) -> Vec<&TargetView> {
    book.iter().collect()
}

/// Requests of several pieces against targets with little room, in virtual time.
struct StageWorld {
    spec: BatchSpec,
    queue: PieceQueue,
    book: TargetRegistry,
    calls: Vec<(Moment, CallPlan)>,
    kept: BTreeMap<TargetName, usize>,
    owners: BTreeMap<PieceTicket, usize>,
    made: BTreeMap<usize, Vec<PieceResult>>,
    frees: Vec<(Moment, usize)>,
    refused: usize,
    done: BTreeMap<usize, Moment>,
}

impl StageWorld {
    /// Results of one target that fit into its room.
    const ROOM: usize = 36;
    /// Time for which a request keeps its results, once all are there: the next stage or the engine works on them.
    const HOLD_MS: u64 = 300;
    const PIECES: u32 = 8;

    fn new(target_count: usize) -> Self {
        Self {
            spec: spec(),
            queue: PieceQueue::default(),
            book: targets(target_count),
            calls: Vec::new(),
            kept: BTreeMap::new(),
            owners: BTreeMap::new(),
            made: BTreeMap::new(),
            frees: Vec::new(),
            refused: 0,
            done: BTreeMap::new(),
        }
    }

    fn ask(&mut self, request: usize, rank: u8, now: Moment) {
        for segment in 0..Self::PIECES {
            let ticket = self.queue.push(job(request, segment, rank), now);
            self.owners.insert(ticket, request);
        }
    }

    fn step(&mut self, now: Moment) {
        let (ended, running) = std::mem::take(&mut self.calls).into_iter().partition(|(end, _)| *end <= now);
        self.calls = running;
        for (_, plan) in ended {
            self.end_call(&plan, now);
        }
        let (due, later) = std::mem::take(&mut self.frees).into_iter().partition(|(at, _)| *at <= now);
        self.frees = later;
        for (_, request) in due {
            self.free(request);
        }
        while let Some(plan) = self.queue.plan(&self.spec.clone(), &open(&self.book), now) {
            let took = self.spec.call_time + self.spec.piece_time * plan.pieces.len() as u32;
            self.calls.push((now + took, plan));
        }
    }

    fn end_call(&mut self, plan: &CallPlan, now: Moment) {
        let mut ends: Vec<PieceOutcome> = Vec::new();
        for (ticket, _) in &plan.pieces {
            let kept = self.kept.entry(plan.target.clone()).or_default();
            if *kept >= Self::ROOM {
                self.refused += 1;
                ends.push(Err(PieceFailure::NoRoom));
                continue;
            }
            *kept += 1;
            let handle = Arc::from(format!("{}/{}", plan.target, ticket.0));
            ends.push(Ok(PieceResult { handle, dc: DcName::new("khomas-a") }));
        }
        for (ticket, end) in self.queue.finish(&self.spec.clone(), plan, ends, now) {
            let request = self.owners[&ticket];
            let results = self.made.entry(request).or_default();
            results.extend(end.ok());
            if results.len() == Self::PIECES as usize {
                self.done.insert(request, now);
                self.frees.push((now + millis(Self::HOLD_MS), request));
            }
        }
    }

    fn free(&mut self, request: usize) {
        let results = self.made.remove(&request).unwrap_or_default();
        let handles: Vec<Arc<str>> = results.into_iter().map(|result| result.handle).collect();
        for handle in &handles {
            let (target, _) = handle.split_once('/').expect("handles name their target");
            *self.kept.entry(TargetName::new(target)).or_default() -= 1;
        }
        self.queue.forget_results(&handles);
    }
}

/// Pattern: a burst of requests with several pieces each, against targets with room for few results. Requests
/// that were begun halfway must not hold up each other.
#[test]
fn a_burst_against_little_room_is_worked_off_at_full_rate() {
    let mut world = StageWorld::new(5);
    let burst = 120;
    for request in 0..burst {
        world.ask(request, 1, at(0));
    }

    for ms in 0..60_000 {
        world.step(at(ms));
        if world.done.len() == burst {
            break;
        }
    }

    assert_eq!(world.done.len(), burst);
    assert_eq!(world.refused, 0, "no call is made for which there is no room");
    // 960 pieces at 12 a call and 282 ms on 5 targets take 4.5 s; holding results costs some of the room.
    let last = world.done.values().max().copied().unwrap_or_default();
    assert!(last.since(at(0)) < millis(9_000), "{:?}", last.since(at(0)));
}

/// Pattern: less urgent requests fill the queue before urgent ones come.
#[test]
fn urgent_pieces_go_before_others_that_wait_longer() {
    let mut world = StageWorld::new(2);
    for request in 0..30 {
        world.ask(request, 2, at(0));
    }
    for request in 100..110 {
        world.ask(request, 0, at(1));
    }

    for ms in 0..30_000 {
        world.step(at(ms));
    }

    let urgent_end = (100..110).map(|request| world.done[&request]).max().unwrap_or_default();
    let earlier = (0..30).filter(|request| world.done[request] < urgent_end).count();
    // The calls that ran when they came, and what those had begun.
    assert!(earlier <= 6, "{earlier} less urgent requests were done first");
}

#[test]
fn a_free_target_gets_what_waits_at_once_and_calls_fill_while_all_are_busy() {
    let (mut queue, book) = (PieceQueue::default(), targets(1));
    queue.push(job(1, 0, 0), at(0));
    let first = queue.plan(&spec(), &open(&book), at(0)).expect("the target is free");
    assert_eq!(first.pieces.len(), 1);
    for request in 2..8 {
        queue.push(job(request, 0, 0), at(10));
    }
    assert!(queue.plan(&spec(), &open(&book), at(20)).is_none());

    let end = Ok(PieceResult { handle: Arc::from("i-0/1"), dc: DcName::new("khomas-a") });
    queue.finish(&spec(), &first, vec![end], at(160));

    let second = queue.plan(&spec(), &open(&book), at(160)).expect("the target is free again");
    assert_eq!(second.pieces.len(), 6);
}

#[test]
fn a_target_without_room_rests_until_a_result_is_freed() {
    let (mut queue, book) = (PieceQueue::default(), targets(1));
    let ticket = queue.push(job(1, 0, 0), at(0));
    let plan = queue.plan(&spec(), &open(&book), at(0)).expect("the target is free");

    let told = queue.finish(&spec(), &plan, vec![Err(PieceFailure::NoRoom)], at(5));

    assert!(told.is_empty(), "the piece waits again");
    assert!(queue.plan(&spec(), &open(&book), at(10)).is_none());
    let again = queue.plan(&spec(), &open(&book), at(200)).expect("room may have come back");
    assert_eq!(again.pieces[0].0, ticket);
}

#[test]
fn a_piece_that_keeps_failing_is_given_up() {
    let (mut queue, book) = (PieceQueue::default(), targets(1));
    queue.push(job(1, 0, 0), at(0));
    let mut told = Vec::new();
    for round in 0..3 {
        let plan = queue.plan(&spec(), &open(&book), at(round)).expect("the piece waits");
        told = queue.finish(&spec(), &plan, vec![Err(PieceFailure::Failed)], at(round));
    }

    assert_eq!(told.len(), 1);
    assert_eq!(told[0].1, Err(PieceFailure::Failed));
    assert!(queue.is_empty());
}

#[test]
fn pieces_stay_in_the_data_centre_of_their_inputs_unless_the_wait_there_is_long() {
    let (mut queue, book) = (PieceQueue::default(), targets(3));
    let near =
        |request| PieceJob { wanted_in: Some(DcName::new("khomas-a")), remote_bytes: 1_000_000, ..job(request, 0, 0) };
    queue.push(near(1), at(0));
    let first = queue.plan(&spec(), &open(&book), at(0)).expect("targets are free");
    assert_eq!(first.target, TargetName::new("i-0"));

    queue.push(near(2), at(100));
    assert!(queue.plan(&spec(), &open(&book), at(100)).is_none(), "61 ms are left there, a megabyte is worth 100");

    for request in 3..40 {
        queue.push(near(request), at(101));
    }
    let moved = queue.plan(&spec(), &open(&book), at(101)).expect("the queue there is long");
    assert_ne!(moved.target, TargetName::new("i-0"));
}

#[test]
fn late_and_cancelled_pieces_leave_the_queue() {
    let mut queue = PieceQueue::default();
    let late = queue.push(PieceJob { deadline: at(50), ..job(1, 0, 0) }, at(0));
    let left = queue.push(job(2, 0, 0), at(0));

    assert_eq!(queue.take_expired(at(50)), [late]);
    queue.cancel(left);

    assert!(queue.is_empty());
}

/// Pattern: a large urgent request waits for room that smaller, less urgent ones would take piece by piece.
#[test]
fn room_that_an_urgent_stage_waits_for_is_not_given_to_others() {
    let (mut queue, book) = (PieceQueue::default(), targets(1));
    let large = |request, segment, rank| PieceJob { result_bytes: 500_000, ..job(request, segment, rank) };
    for segment in 0..3 {
        queue.push(large(1, segment, 0), at(0));
    }
    let first = queue.plan(&spec(), &open(&book), at(0)).expect("the target is free");
    let made = |ticket: PieceTicket| {
        Ok(PieceResult { handle: Arc::from(format!("i-0/{}", ticket.0)), dc: DcName::new("khomas-a") })
    };
    let ends = first.pieces.iter().map(|(ticket, _)| made(*ticket)).collect();
    queue.finish(&spec(), &first, ends, at(200));

    // 0.7 MB are free. The urgent stage needs 1 MB, the other ones 0.5 MB and almost nothing.
    queue.push(large(2, 0, 0), at(200));
    queue.push(large(2, 1, 0), at(200));
    queue.push(large(3, 0, 2), at(200));
    queue.push(PieceJob { result_bytes: 8_000, ..job(4, 0, 2) }, at(200));

    let second = queue.plan(&spec(), &open(&book), at(200)).expect("small results need no room");
    let requests: Vec<&str> = second.pieces.iter().map(|(_, job)| &*job.request).collect();
    assert_eq!(requests, ["request-4"]);

    queue.forget_results(&[Arc::from("i-0/1")]);
    let ends = second.pieces.iter().map(|(ticket, _)| made(*ticket)).collect();
    queue.finish(&spec(), &second, ends, at(400));
    let third = queue.plan(&spec(), &open(&book), at(400)).expect("room came back");
    assert_eq!(third.pieces.len(), 2);
    assert_eq!(&*third.pieces[0].1.request, "request-2");
}

/// Pattern: targets make far fewer pieces than full calls would bring, since results find no room.
#[test]
fn the_expected_wait_follows_what_is_really_made() {
    let (mut queue, book) = (PieceQueue::default(), targets(1));
    for request in 0..100 {
        queue.push(job(request, 0, 0), at(0));
    }
    let full = queue.expected_wait(&spec(), 1, 0, at(0)).late;
    for round in 0..10_u64 {
        let plan = queue.plan(&spec(), &open(&book), at(round * 200)).expect("the target is free");
        // One piece of a call is made, the others wait again.
        let ends: Vec<PieceOutcome> = plan
            .pieces
            .iter()
            .enumerate()
            .map(|(place, (ticket, _))| match place {
                0 => Ok(PieceResult { handle: Arc::from(format!("i-0/{}", ticket.0)), dc: DcName::new("khomas-a") }),
                _ => Err(PieceFailure::NoRoom),
            })
            .collect();
        queue.finish(&spec(), &plan, ends, at(round * 200 + 40));
    }

    let measured = queue.expected_wait(&spec(), 1, 0, at(2_000)).late;

    assert!(full < millis(2_500), "{full:?}");
    // 90 pieces at five a second.
    assert!((millis(12_000)..millis(25_000)).contains(&measured), "{measured:?}");
}

/// Pattern: more urgent requests than a target can serve, beside less urgent ones. Those that are late make way for
/// what can still be on time, but not for what is much less urgent.
#[test]
fn late_requests_make_way_for_the_next_urgency_only() {
    let (mut queue, book) = (PieceQueue::default(), targets(1));
    let narrow = BatchSpec { max_pieces: 1, ..spec() };
    let due = |request, rank, objective_ms| PieceJob { objective: at(objective_ms), ..job(request, 0, rank) };
    queue.push(due(1, 2, 5_000), at(0));
    queue.push(due(2, 0, 100), at(0));
    queue.push(due(3, 1, 5_000), at(0));
    queue.push(due(4, 0, 5_000), at(0));

    let mut order = Vec::new();
    for round in 0..4_u64 {
        let now = at(300 * round);
        let plan = queue.plan(&narrow, &open(&book), now).expect("the target is free");
        order.push(plan.pieces[0].1.request.to_string());
        let end = Ok(PieceResult { handle: Arc::from(format!("i-0/{round}")), dc: DcName::new("khomas-a") });
        queue.finish(&narrow, &plan, vec![end], now + millis(200));
    }

    assert_eq!(order, ["request-4", "request-3", "request-2", "request-1"]);
}
