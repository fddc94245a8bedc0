//! Oracle that records calls, runs and answers of the simulation and checks the fleet's guarantees.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use wasabipier_core::prelude::*;

use crate::fixtures::{CRASHING_BODY, expected_answer, is_at_most_once};

/// Maximum time until a change is known to all connected nodes.
const PROPAGATION_LIMIT_MS: u64 = 3_000;
/// Minimum time for which a node remembers the outcome of a request.
const OUTCOME_RETENTION_MS: u64 = 58_000;
/// Maximum time after a limit was last used for which a call that started under it can still run.
const LIMIT_WINDOW_MS: u64 = 9_000;

/// A caller's call, with what the caller has received. Times are in milliseconds of the simulation.
#[derive(Clone, Debug)]
pub struct Call {
    pub node: usize,
    pub instance: InstanceId,
    pub key: RequestKey,
    pub goal: Goal,
    pub body: Arc<str>,
    pub asked_at: u64,
    /// Concatenated texts of the tokens received so far.
    pub tokens: String,
    /// Index that the next token should have.
    pub next_token: u32,
    pub answer: Option<FinalAnswer>,
    pub is_disconnected: bool,
}

/// The start of a run at a target, by an attempt of a node.
#[derive(Clone, Debug)]
pub struct RunStart {
    pub started_at: u64,
    pub node: usize,
    pub instance: InstanceId,
    pub key: RequestKey,
    pub goal: Goal,
    pub body: Arc<str>,
    pub stage: u32,
    pub attempt_number: u32,
    pub target: TargetName,
}

/// Recorded events of the simulation and the violations found in them.
#[derive(Debug, Default)]
pub struct Oracle {
    pub calls: BTreeMap<CallId, Call>,
    pub starts: Vec<RunStart>,
    pub violations: Vec<String>,
    /// Documents whose promotion was requested, with the answer once it is known.
    pub promotions: BTreeMap<CallId, (Arc<AcceptedDocument>, Option<PromoteAnswer>)>,
    /// Times at which callers were told that an at-most-once request did not run, by key, goal and body of the request.
    /// Answers that apply to one call only are left out.
    told_not_run_at: BTreeMap<(RequestKey, String, Arc<str>), u64>,
    /// Number of charge lines by instance, request, stage, attempt and target.
    charge_counts: BTreeMap<String, usize>,
    /// Limits of each target, with the time at which a node last used each.
    limits: BTreeMap<TargetName, BTreeMap<u32, u64>>,
}

impl Oracle {
    /// Adds a violation that was found at the time `now`.
    fn record_violation(&mut self, now: u64, message: &str) {
        self.violations.push(format!("{now} ms: {message}"));
    }

    /// Records that a node uses `limit` for a target now.
    pub fn record_limit(&mut self, target: &TargetName, limit: u32, now: u64) {
        self.limits.entry(target.clone()).or_default().insert(limit, now);
    }

    /// Records and checks the start of a run at a target.
    ///
    /// `running` is the number of runs at the target including this one. `connected_since` is the time since which the
    /// node is not disturbed by a fault. `out_since` and `harmful_since` are the times since which the node could have
    /// learned that the target is taken out or that the content is harmful.
    pub fn check_start(
        &mut self,
        start: RunStart,
        running: usize,
        connected_since: u64,
        out_since: Option<u64>,
        harmful_since: Option<u64>,
    ) {
        let now = start.started_at;
        let limits_in_use = self.limits.get(&start.target).into_iter().flatten();
        let limit = limits_in_use
            .filter(|(_, last_seen_at)| **last_seen_at + LIMIT_WINDOW_MS >= now)
            .map(|(limit, _)| *limit)
            .max();
        if running > limit.unwrap_or(0) as usize {
            self.record_violation(now, &format!("{running} calls run at {}, above the limit {limit:?}", start.target));
        }
        if out_since.is_some_and(|since| now > since.max(connected_since) + PROPAGATION_LIMIT_MS) {
            self.record_violation(
                now,
                &format!("{} gets new work although it is out since {out_since:?}", start.target),
            );
        }
        if &*start.body == CRASHING_BODY
            && harmful_since.is_some_and(|since| now > since.max(connected_since) + PROPAGATION_LIMIT_MS)
        {
            self.record_violation(now, &format!("{:?} starts again although it crashed two targets", start.goal));
        }
        if is_at_most_once(&start.goal) {
            self.check_at_most_once_start(&start);
        }
        self.starts.push(start);
    }

    /// Checks that an at-most-once request neither runs twice nor runs after its callers were told that it did not.
    fn check_at_most_once_start(&mut self, start: &RunStart) {
        let is_repeated = self.starts.iter().any(|earlier| {
            earlier.key == start.key
                && (earlier.stage == start.stage || earlier.instance != start.instance)
                && is_at_most_once(&earlier.goal)
        });
        if is_repeated {
            self.record_violation(start.started_at, &format!("{} runs twice", start.key));
        }
        let has_same_content =
            |call: &&Call| call.key == start.key && call.goal == start.goal && call.body == start.body;
        let last_asked_at = self.calls.values().filter(has_same_content).map(|call| call.asked_at).max();
        let key_and_content = (start.key.clone(), format!("{:?}", start.goal), start.body.clone());
        if self.told_not_run_at.get(&key_and_content).is_some_and(|told_at| Some(*told_at) >= last_asked_at) {
            self.record_violation(
                start.started_at,
                &format!("{} starts after its caller was told that it did not run", start.key),
            );
        }
    }

    /// Records and checks a part of an answer to a caller.
    ///
    /// `may_have_claim` says whether the request's claim row exists, or the table service had a fault during the call.
    pub fn check_answer(&mut self, id: CallId, part: AnswerPart, now: u64, may_have_claim: bool) {
        let Some(call) = self.calls.get_mut(&id) else {
            return self.record_violation(now, "answer to an unknown call");
        };
        if call.answer.is_some() {
            let message = format!("{} is answered after its final answer", call.key);
            return self.record_violation(now, &message);
        }
        match part {
            AnswerPart::Token { index, text } => {
                let is_out_of_order = index != call.next_token;
                call.next_token += 1;
                call.tokens.push_str(&text);
                if is_out_of_order {
                    let message = format!("{}: token {index} out of order", call.key);
                    self.record_violation(now, &message);
                }
            }
            AnswerPart::Final(answer) => {
                call.answer = Some(*answer.clone());
                let call = call.clone();
                let violation = self.find_violation(&call, &answer, now, may_have_claim);
                if let Some(message) = violation {
                    self.record_violation(
                        now,
                        &format!("{} asked at {} as {id}: {message}: {answer:?}", call.key, call.node),
                    );
                }
            }
        }
    }

    /// Returns what is wrong with a final answer, if anything.
    fn find_violation(
        &mut self,
        call: &Call,
        answer: &FinalAnswer,
        now: u64,
        may_have_claim: bool,
    ) -> Option<&'static str> {
        let has_same_content =
            |start: &&RunStart| start.key == call.key && start.goal == call.goal && start.body == call.body;
        let starts: Vec<&RunStart> = self.starts.iter().filter(has_same_content).collect();
        let is_own = |start: &&&RunStart| start.node == call.node && start.instance == call.instance;
        match answer.outcome {
            Outcome::Done => {
                let expected = expected_answer(&call.goal, &call.key, &call.body);
                let are_tokens_correct = call.tokens.is_empty() || call.tokens == expected;
                (*answer.body != *expected || !are_tokens_correct || starts.is_empty())
                    .then_some("told done, but the answer is wrong or nothing ran")
            }
            Outcome::NotRun if is_at_most_once(&call.goal) => {
                // A refusal on arrival applies to this call only; any other refusal applies to the whole request.
                use RefusalKind::{ClaimUnavailable, Harmful, NotReady, Overloaded};
                let is_call_refusal = match answer.refusal {
                    Some(NotReady | Overloaded | Harmful | ClaimUnavailable) => true,
                    Some(RefusalKind::IdReused) if self.is_reused(call) => true,
                    _ => false,
                };
                if !is_call_refusal {
                    let key_and_content = (call.key.clone(), format!("{:?}", call.goal), call.body.clone());
                    self.told_not_run_at.insert(key_and_content, now);
                }
                let is_remembered = |start: &&&RunStart| is_own(start) && start.started_at + OUTCOME_RETENTION_MS > now;
                let has_run =
                    if is_call_refusal { starts.iter().any(|start| is_remembered(&start)) } else { !starts.is_empty() };
                has_run.then_some("told not run, but it ran")
            }
            Outcome::NotRun => {
                let has_run = starts.iter().filter(is_own).any(|start| start.started_at >= call.asked_at);
                has_run.then_some("told not run, but it ran")
            }
            Outcome::Unknown if is_at_most_once(&call.goal) => {
                (starts.is_empty() && !may_have_claim).then_some("told unknown, but it cannot have run")
            }
            Outcome::Unknown => {
                (!starts.iter().any(|start| is_own(&start))).then_some("told unknown, but it cannot have run")
            }
        }
    }

    /// Returns whether the same instance accepted a call with the same request id but other content.
    fn is_reused(&self, call: &Call) -> bool {
        let is_reuse_refusal = |answer: &FinalAnswer| answer.refusal == Some(RefusalKind::IdReused);
        self.calls.values().any(|other| {
            (other.instance, &other.key) == (call.instance, &call.key)
                && (&other.goal, &other.body) != (&call.goal, &call.body)
                && !other.answer.as_ref().is_some_and(is_reuse_refusal)
        })
    }

    /// Records a charge line and checks that each line has a run of its own.
    pub fn check_charge(&mut self, instance: InstanceId, line: &ChargeLine, now: u64) {
        let runs = self.starts.iter().filter(|start| {
            (start.instance, &start.key, start.stage, start.attempt_number, &start.target)
                == (instance, &line.key, line.stage, line.attempt, &line.target)
        });
        let run_count = runs.count();
        let charge_count = self
            .charge_counts
            .entry(format!("{instance} {} {} {} {}", line.key, line.stage, line.attempt, line.target));
        let charge_count = charge_count.or_default();
        *charge_count += 1;
        if *charge_count > run_count {
            self.record_violation(now, &format!("charge without a run of its own: {line:?}"));
        }
    }

    /// Records the answer to an operator's promotion.
    pub fn record_promote_answer(&mut self, id: CallId, answer: PromoteAnswer) {
        if let Some(promotion) = self.promotions.get_mut(&id) {
            promotion.1 = Some(answer);
        }
    }

    /// Checks that the answers to promotions agree with the `accepted` documents, given with their acceptance times.
    pub fn check_promotions(&mut self, accepted: &[(u64, Arc<AcceptedDocument>)]) {
        let mut violations = Vec::new();
        let revisions: BTreeSet<Revision> = accepted.iter().map(|(_, document)| document.revision).collect();
        if revisions.len() != accepted.len() {
            violations.push("a revision was accepted twice".to_owned());
        }
        for (document, answer) in self.promotions.values() {
            let accepted_own = accepted.iter().find(|(_, other)| other.nonce == document.nonce);
            let is_consistent = match answer {
                Some(PromoteAnswer::Accepted(revision)) => {
                    accepted_own.is_some_and(|(_, own)| own.revision == *revision)
                }
                Some(PromoteAnswer::Conflict { revision, author }) => {
                    let winner = accepted.iter().find(|(_, other)| other.revision == *revision);
                    accepted_own.is_none() && winner.is_some_and(|(_, winner)| winner.author == *author)
                }
                Some(PromoteAnswer::NotAccepted) => accepted_own.is_none(),
                Some(PromoteAnswer::Unknown) | None => true,
            };
            if !is_consistent {
                violations.push(format!(
                    "promotion of revision {:?}, accepted {}, was answered {answer:?}",
                    document.revision,
                    accepted_own.is_some()
                ));
            }
        }
        for message in violations {
            self.record_violation(0, &message);
        }
    }
}
