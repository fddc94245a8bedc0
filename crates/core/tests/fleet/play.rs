//! What targets make of the orders that nodes send.

use crate::fixtures::{self, CRASHING, TOKENS};
use crate::oracle::Start;
use crate::targets::{Quirk, Run};
use crate::world::{Happening, World};
use wasabipier_core::action::LoadOrder;
use wasabipier_core::document::Admission;
use wasabipier_core::event::OrderReply;
use wasabipier_core::prelude::*;

impl World {
    pub fn send(&mut self, index: usize, order: &SendOrder) {
        let instance = self.nodes[index].instance;
        let fail = |kind, sent| {
            Happening::Event(index, Some(instance), Event::Attempt(order.attempt, AttemptEvent::Failed { kind, sent }))
        };
        let quirk = self.quirk.unwrap_or_else(|| Quirk::draw(self.quirk_percent, &mut self.random));
        let Some(target) = self.targets.get_mut(&order.target) else { return };
        if target.unreachable_until > self.now {
            return self.plan(1, fail(FailureKind::Unreachable, false));
        }
        if quirk == Quirk::Full {
            return self.plan(2, fail(FailureKind::Full, true));
        }
        let run = self.counter;
        target.runs.insert(run, Run { node: index, instance, attempt: order.attempt });
        let running = target.runs.len();
        self.note_start(index, order, running);
        self.play(index, order, run, quirk);
    }

    fn note_start(&mut self, index: usize, order: &SendOrder, running: usize) {
        let node = &self.nodes[index];
        let record = node.core.as_ref().and_then(|core| core.board().requests.get(&order.key));
        let Some(record) = record else {
            self.oracle.violations.push(format!("{} is sent without a record", order.key));
            return;
        };
        let start = Start {
            time: self.now,
            node: index,
            instance: node.instance,
            key: order.key.clone(),
            goal: fixtures::goal_of(&record.route),
            body: order.body.clone(),
            stage: order.stage,
            number: order.number,
            target: order.target.clone(),
        };
        let (disturbed, out_since) = (node.disturbed, self.out_since(&order.target));
        let harmful_since = self.harmful_since(&start.goal);
        self.oracle.started(start, running, disturbed, out_since, harmful_since);
    }

    /// Since when a connected node knows that the crashing content under a goal is harmful.
    fn harmful_since(&self, goal: &Goal) -> Option<u64> {
        let known = self.nodes.iter().filter(|node| node.core.is_some()).filter_map(|node| {
            let since = node.harmful.get(&fixtures::crashing(goal))?;
            Some(node.disturbed.max(*since))
        });
        known.min()
    }

    fn out_since(&self, target: &TargetName) -> Option<u64> {
        let is_out = |document: &Document| {
            let spec = &document.targets[target];
            spec.admission == Admission::Out || document.dcs[&spec.dc].admission == Admission::Out
        };
        let trailing = self.table.documents.iter().rev().take_while(|(_, document)| is_out(&document.content));
        trailing.last().map(|(accepted, _)| *accepted)
    }

    /// Plans what a target makes of a run.
    fn play(&mut self, index: usize, order: &SendOrder, run: u64, quirk: Quirk) {
        let target = order.target.clone();
        let instance = self.nodes[index].instance;
        if &*order.body == CRASHING {
            let after = self.random.u64(5..50);
            return self.plan(after, Happening::Crash(target));
        }
        let slow = self.random.u32(0..10) == 0;
        let took = if slow { self.random.u64(1_000..8_000) } else { self.random.u64(5..500) };
        let took = self.took.unwrap_or(took);
        let left = order.time_left.as_millis() as u64;
        let to_node = |event| Happening::Event(index, Some(instance), Event::Attempt(order.attempt, event));
        let silent = AttemptEvent::Failed { kind: FailureKind::Silent, sent: true };
        let ends = took.min(left);
        if took > left || quirk == Quirk::Lost {
            self.plan(ends, Happening::Drop(target, run));
            return self.plan(left + 50, to_node(silent));
        }
        if quirk == Quirk::CutOff {
            let broken = AttemptEvent::Failed { kind: FailureKind::Broken, sent: true };
            self.plan(ends / 2, to_node(broken));
            return self.plan(ends, Happening::Drop(target, run));
        }
        let service = fixtures::service_of(&order.target);
        let parts = fixtures::parts(service, &order.key, &order.body, &order.previous);
        let fresh = &parts[(order.resume_from as usize).min(parts.len())..];
        let mut events: Vec<AttemptEvent> = Vec::new();
        if service == "gen" {
            events.extend(
                fresh
                    .iter()
                    .zip(order.resume_from..TOKENS)
                    .map(|(text, index)| AttemptEvent::Token { index, text: text.clone() }),
            );
        }
        let usage = Usage { input_units: 1, output_units: fresh.len() as u64 };
        let report = self.targets[&target].report();
        events.push(if quirk == Quirk::Faulted {
            AttemptEvent::Failed { kind: FailureKind::Faulted, sent: true }
        } else {
            AttemptEvent::Finished { body: fresh.concat().into(), usage, report }
        });
        if quirk == Quirk::Reordered {
            self.random.shuffle(&mut events);
        }
        let count = events.len() as u64;
        for (event, position) in events.into_iter().zip(1..) {
            let after = ends * position / count;
            match quirk {
                Quirk::Late => self.plan(ends + 2_000 + position, to_node(event)),
                Quirk::Doubled => {
                    self.plan(after, Happening::Result(target.clone(), run, event.clone()));
                    self.plan(after + 3, to_node(event));
                }
                Quirk::Misdelivered => {
                    let stray = AttemptId(order.attempt.0 + 1_000);
                    let astray = Happening::Event(index, Some(instance), Event::Attempt(stray, event.clone()));
                    self.plan(after, astray);
                    self.plan(after, Happening::Result(target.clone(), run, event));
                }
                _ => self.plan(after, Happening::Result(target.clone(), run, event)),
            }
        }
        self.plan(ends, Happening::Drop(target, run));
    }

    pub fn deliver(&mut self, target: &TargetName, run: u64, event: AttemptEvent) {
        let Some(target) = self.targets.get(target) else { return };
        let Some(run_record) = target.runs.get(&run).cloned() else { return };
        let event = Event::Attempt(run_record.attempt, event);
        self.plan(1, Happening::Event(run_record.node, Some(run_record.instance), event));
    }

    /// Carries an order to an engine: it leaves while it is valid, and its answer may be lost.
    pub fn order(&mut self, index: usize, order: &LoadOrder) {
        let instance = self.nodes[index].instance;
        let lost = self.random.u32(0..5) == 0;
        let after = self.random.u64(0..=order.valid_for.as_millis() as u64) + self.random.u64(1..500);
        let reply = if lost { OrderReply::Lost } else { OrderReply::Accepted };
        self.plan(after, Happening::Order(index, instance, Box::new(order.clone()), reply));
    }

    /// An engine gets an order: some refuse one of an earlier holder, the others must never get one.
    pub fn ordered(&mut self, index: usize, instance: InstanceId, order: &LoadOrder, reply: OrderReply) {
        let Some(sim) = self.targets.get_mut(&order.target) else { return };
        let stale = order.fencing < sim.fencing;
        let checks = order.target.as_str() == "gen-1";
        if stale && !checks {
            let what = format!("{} gets order {} after {}", order.target, order.fencing, sim.fencing);
            self.oracle.violations.push(what);
        }
        sim.fencing = sim.fencing.max(order.fencing);
        if !stale {
            sim.loaded = Some(order.load.clone());
        }
        let reply = if stale { OrderReply::Stale } else { reply };
        let event = Event::OrderAnswered(order.target.clone(), reply);
        self.plan(1, Happening::Event(index, Some(instance), event));
    }

    /// An engine is asked what it has loaded.
    pub fn inspect(&mut self, index: usize, target: &TargetName) {
        let sim = &self.targets[target];
        let loaded = if sim.unreachable_until > self.now { None } else { sim.loaded.clone() };
        let loaded = loaded.or_else(|| fixtures::document(&[], None).targets[target].load.clone());
        let after = self.random.u64(1..200);
        let instance = self.nodes[index].instance;
        self.plan(after, Happening::Event(index, Some(instance), Event::Inspected(target.clone(), loaded)));
    }

    pub fn cancel(&mut self, index: usize, attempt: AttemptId) {
        let instance = self.nodes[index].instance;
        let found = self.targets.iter().find_map(|(target, sim)| {
            let run = sim.runs.iter().find(|(_, run)| run.instance == instance && run.attempt == attempt)?;
            Some((target.clone(), *run.0))
        });
        // Some targets hear of it late, some not at all: these stop when the time given is over.
        if let Some((target, run)) = found
            && self.random.u32(0..4) > 0
        {
            let after = self.random.u64(1..200);
            self.plan(after, Happening::Drop(target, run));
        }
    }

    /// A target goes down, and comes back as a new instance after `vacancy`.
    pub fn crash_target(&mut self, target: &TargetName, vacancy: u64) {
        let instance = InstanceId(self.next());
        let now = self.now;
        let Some(sim) = self.targets.get_mut(target) else { return };
        let runs = std::mem::take(&mut sim.runs);
        sim.instance = instance;
        sim.unreachable_until = now + vacancy;
        for run in runs.into_values() {
            let broken = AttemptEvent::Failed { kind: FailureKind::Broken, sent: true };
            let event = Event::Attempt(run.attempt, broken);
            self.plan(1, Happening::Event(run.node, Some(run.instance), event));
        }
    }
}
