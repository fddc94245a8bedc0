//! Simulated behaviour of targets and engines: runs, load orders, cancellations and crashes.

use crate::fixtures::{self, CRASHING_BODY, TOKEN_COUNT};
use crate::oracle::RunStart;
use crate::targets::{Run, RunFault};
use crate::world::{ScheduledEvent, World};
use wasabipier_core::action::LoadOrder;
use wasabipier_core::document::Admission;
use wasabipier_core::event::OrderReply;
use wasabipier_core::prelude::*;

impl World {
    /// Sends an attempt of the node `index` to its target, with a random fault unless one is forced.
    pub fn send_attempt(&mut self, index: usize, request: &AttemptRequest) {
        let instance = self.nodes[index].instance;
        let fail = |kind, sent| {
            ScheduledEvent::NodeEvent(
                index,
                Some(instance),
                Event::Attempt(request.attempt, AttemptEvent::Failed { kind, sent }),
            )
        };
        let fault = self.forced_fault.unwrap_or_else(|| RunFault::sample(self.fault_percent, &mut self.rng));
        let Some(target) = self.targets.get_mut(&request.target) else { return };
        if target.unreachable_until > self.now {
            return self.schedule(1, fail(FailureKind::Unreachable, false));
        }
        if fault == RunFault::Full {
            return self.schedule(2, fail(FailureKind::Full, true));
        }
        let run = self.counter;
        target.runs.insert(run, Run { node: index, instance, attempt: request.attempt });
        let running = target.runs.len();
        self.record_start(index, request, running);
        self.schedule_run(index, request, run, fault);
    }

    /// Reports the start of a run to the oracle. `running` is the number of runs at the target including this one.
    fn record_start(&mut self, index: usize, request: &AttemptRequest, running: usize) {
        let node = &self.nodes[index];
        let record = node.core.as_ref().and_then(|core| core.board().requests.get(&request.key));
        let Some(record) = record else {
            self.oracle.violations.push(format!("{} is sent, but its node has no record of the request", request.key));
            return;
        };
        let start = RunStart {
            started_at: self.now,
            node: index,
            instance: node.instance,
            key: request.key.clone(),
            goal: fixtures::goal_of(&record.route),
            body: request.body.clone(),
            stage: request.stage,
            attempt_number: request.attempt_number,
            target: request.target.clone(),
        };
        let (last_disturbed_at, out_since) = (node.last_disturbed_at, self.out_since(&request.target));
        let harmful_since = self.harmful_since(&start.goal);
        self.oracle.check_start(start, running, last_disturbed_at, out_since, harmful_since);
    }

    /// Returns the earliest time since which a node without disturbance knows that the crashing content of `goal` is
    /// harmful.
    fn harmful_since(&self, goal: &Goal) -> Option<u64> {
        let known_since = self.nodes.iter().filter(|node| node.core.is_some()).filter_map(|node| {
            let since = node.harmful_content.get(&fixtures::crashing_fingerprint(goal))?;
            Some(node.last_disturbed_at.max(*since))
        });
        known_since.min()
    }

    /// Returns the time since which all accepted documents exclude the target or its data centre from new work.
    fn out_since(&self, target: &TargetName) -> Option<u64> {
        let is_out = |document: &Document| {
            let spec = &document.targets[target];
            spec.admission == Admission::Out || document.dcs[&spec.dc].admission == Admission::Out
        };
        let trailing = self.table.documents.iter().rev().take_while(|(_, document)| is_out(&document.content));
        trailing.last().map(|(accepted, _)| *accepted)
    }

    /// Schedules the events of a run, with `fault` applied, and its end at the target.
    ///
    /// A crashing body crashes the target instead.
    fn schedule_run(&mut self, index: usize, request: &AttemptRequest, run: u64, fault: RunFault) {
        let target = request.target.clone();
        let instance = self.nodes[index].instance;
        if &*request.body == CRASHING_BODY {
            let delay_ms = self.rng.u64(5..50);
            return self.schedule(delay_ms, ScheduledEvent::CrashTarget(target));
        }
        let is_slow = self.rng.u32(0..10) == 0;
        let duration_ms = if is_slow { self.rng.u64(1_000..8_000) } else { self.rng.u64(5..500) };
        let duration_ms = self.forced_duration_ms.unwrap_or(duration_ms);
        let time_left_ms = request.time_left.as_millis() as u64;
        let to_node = |event| ScheduledEvent::NodeEvent(index, Some(instance), Event::Attempt(request.attempt, event));
        let silent = AttemptEvent::Failed { kind: FailureKind::Silent, sent: true };
        let end_after_ms = duration_ms.min(time_left_ms);
        if duration_ms > time_left_ms || fault == RunFault::Lost {
            self.schedule(end_after_ms, ScheduledEvent::EndRun(target, run));
            return self.schedule(time_left_ms + 50, to_node(silent));
        }
        if fault == RunFault::ConnectionBroken {
            let broken = AttemptEvent::Failed { kind: FailureKind::Broken, sent: true };
            self.schedule(end_after_ms / 2, to_node(broken));
            return self.schedule(end_after_ms, ScheduledEvent::EndRun(target, run));
        }
        let service = fixtures::service_of(&request.target);
        let parts = fixtures::answer_parts(service, &request.key, &request.body, &request.previous);
        let remaining_parts = &parts[(request.resume_from as usize).min(parts.len())..];
        let mut events: Vec<AttemptEvent> = Vec::new();
        if service == "gen" {
            events.extend(
                remaining_parts
                    .iter()
                    .zip(request.resume_from..TOKEN_COUNT)
                    .map(|(text, index)| AttemptEvent::Token { index, text: text.clone() }),
            );
        }
        let usage = Usage { input_units: 1, output_units: remaining_parts.len() as u64 };
        let report = self.targets[&target].load_report();
        events.push(if fault == RunFault::Faulted {
            AttemptEvent::Failed { kind: FailureKind::Faulted, sent: true }
        } else {
            AttemptEvent::Finished { body: remaining_parts.concat().into(), usage, report }
        });
        if fault == RunFault::Reordered {
            self.rng.shuffle(&mut events);
        }
        let count = events.len() as u64;
        for (event, position) in events.into_iter().zip(1..) {
            let delay_ms = end_after_ms * position / count;
            match fault {
                RunFault::Late => self.schedule(end_after_ms + 2_000 + position, to_node(event)),
                RunFault::Duplicated => {
                    self.schedule(delay_ms, ScheduledEvent::TargetResult(target.clone(), run, event.clone()));
                    self.schedule(delay_ms + 3, to_node(event));
                }
                RunFault::Misdelivered => {
                    let other_attempt = AttemptId(request.attempt.0 + 1_000);
                    let misdelivered =
                        ScheduledEvent::NodeEvent(index, Some(instance), Event::Attempt(other_attempt, event.clone()));
                    self.schedule(delay_ms, misdelivered);
                    self.schedule(delay_ms, ScheduledEvent::TargetResult(target.clone(), run, event));
                }
                _ => self.schedule(delay_ms, ScheduledEvent::TargetResult(target.clone(), run, event)),
            }
        }
        self.schedule(end_after_ms, ScheduledEvent::EndRun(target, run));
    }

    /// Delivers an event of a run to the node that started the run, unless the run has ended.
    pub fn deliver_result(&mut self, target: &TargetName, run: u64, event: AttemptEvent) {
        let Some(target) = self.targets.get(target) else { return };
        let Some(run) = target.runs.get(&run).cloned() else { return };
        let event = Event::Attempt(run.attempt, event);
        self.schedule(1, ScheduledEvent::NodeEvent(run.node, Some(run.instance), event));
    }

    /// Sends an order to an engine. The order is sent at a random time while it is valid, and its answer may be lost.
    pub fn send_load_order(&mut self, index: usize, order: &LoadOrder) {
        let instance = self.nodes[index].instance;
        let is_lost = self.rng.u32(0..5) == 0;
        let delay_ms = self.rng.u64(0..=order.valid_for.as_millis() as u64) + self.rng.u64(1..500);
        let reply = if is_lost { OrderReply::Lost } else { OrderReply::Accepted };
        self.schedule(delay_ms, ScheduledEvent::DeliverOrder(index, instance, Box::new(order.clone()), reply));
    }

    /// Handles an order of a node's instance at an engine, and answers with `reply` or that the order is stale.
    ///
    /// Engines that check fencing refuse an order of an earlier lease holder; other engines must never get one.
    pub fn receive_load_order(&mut self, index: usize, instance: InstanceId, order: &LoadOrder, reply: OrderReply) {
        let Some(sim) = self.targets.get_mut(&order.target) else { return };
        let is_stale = order.fencing < sim.highest_fencing;
        let checks_fencing = order.target.as_str() == "gen-1";
        if is_stale && !checks_fencing {
            let message = format!(
                "{} gets an order with fencing number {} after {}",
                order.target, order.fencing, sim.highest_fencing
            );
            self.oracle.violations.push(message);
        }
        sim.highest_fencing = sim.highest_fencing.max(order.fencing);
        if !is_stale {
            sim.loaded = Some(order.load.clone());
        }
        let reply = if is_stale { OrderReply::Stale } else { reply };
        let event = Event::OrderAnswered(order.target.clone(), reply);
        self.schedule(1, ScheduledEvent::NodeEvent(index, Some(instance), event));
    }

    /// Answers a node that asks what an engine has loaded.
    ///
    /// If the engine is unreachable or has accepted no order, the answer is the load in the first document.
    pub fn inspect_target(&mut self, index: usize, target: &TargetName) {
        let sim = &self.targets[target];
        let loaded = if sim.unreachable_until > self.now { None } else { sim.loaded.clone() };
        let loaded = loaded.or_else(|| fixtures::document(&[], None).targets[target].load.clone());
        let delay_ms = self.rng.u64(1..200);
        let instance = self.nodes[index].instance;
        self.schedule(
            delay_ms,
            ScheduledEvent::NodeEvent(index, Some(instance), Event::Inspected(target.clone(), loaded)),
        );
    }

    /// Ends the run of an attempt of the node `index` after a short delay, unless the cancellation is lost.
    pub fn cancel_attempt(&mut self, index: usize, attempt: AttemptId) {
        let instance = self.nodes[index].instance;
        let found = self.targets.iter().find_map(|(target, sim)| {
            let run = sim.runs.iter().find(|(_, run)| run.instance == instance && run.attempt == attempt)?;
            Some((target.clone(), *run.0))
        });
        // A quarter of the cancellations is lost: the run then ends when its time is over. The others arrive late.
        if let Some((target, run)) = found
            && self.rng.u32(0..4) > 0
        {
            let delay_ms = self.rng.u64(1..200);
            self.schedule(delay_ms, ScheduledEvent::EndRun(target, run));
        }
    }

    /// Crashes a target, which is reachable again as a new instance after `downtime_ms`.
    pub fn crash_target(&mut self, target: &TargetName, downtime_ms: u64) {
        let instance = InstanceId(self.next_number());
        let now = self.now;
        let Some(sim) = self.targets.get_mut(target) else { return };
        let runs = std::mem::take(&mut sim.runs);
        sim.instance = instance;
        sim.unreachable_until = now + downtime_ms;
        for run in runs.into_values() {
            let broken = AttemptEvent::Failed { kind: FailureKind::Broken, sent: true };
            let event = Event::Attempt(run.attempt, broken);
            self.schedule(1, ScheduledEvent::NodeEvent(run.node, Some(run.instance), event));
        }
    }
}
