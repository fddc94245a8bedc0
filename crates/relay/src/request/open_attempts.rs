//! Attempts of one request that are open at once. If a target is silent, another one is asked, and the first answer counts.

use std::future::poll_fn;
use std::pin::Pin;
use std::task::Poll;
use std::time::Duration;

use spdlog::info;
use wasabipier_core::names::TargetName;
use wasabipier_core::relay::steps::{AttemptEnd, NextStep};
use wasabipier_core::relay::targets::TargetEntry;

use super::RelayRequest;
use super::choice::ChosenTarget;
use super::target_attempt::{AttemptResult, FailedAttempt, TargetAttempt};
use crate::attempt::CallGuard;
use crate::blame;
use crate::call_progress::CallProgress;
use crate::clock;
use crate::limits::PermittedTarget;
use crate::load_exchange;
use crate::log_prefixes::REQUEST;
use crate::ports::TargetRequest;
use crate::run_counter::RunGuard;

/// An attempt that has not ended.
struct OpenAttempt {
    run: Pin<Box<dyn Future<Output = AttemptResult>>>,
    entry: TargetEntry,
    /// Time without progress after which the attempt counts as silent; `None` if it does not, or already counts so.
    silence_timeout: Option<Duration>,
}

/// What happened to the open attempts of a request.
enum AttemptEvent {
    /// An attempt ended, and is no longer among them.
    Ended(AttemptResult),
    /// The newest attempt is silent.
    Silent,
    /// The older attempts have been open beside the newest one for as long as they may.
    OverlapEnded,
}

/// Waits for the next event of `attempts`. `progress` is that of the newest one.
async fn next_event(
    attempts: &mut Vec<OpenAttempt>,
    progress: &CallProgress,
    max_overlap: Option<Duration>,
) -> AttemptEvent {
    let silence_timeout = attempts.last().and_then(|attempt| attempt.silence_timeout);
    let max_overlap = max_overlap.filter(|_| attempts.len() > 1);
    let next_end = poll_fn(|cx| {
        for (index, attempt) in attempts.iter_mut().enumerate() {
            if let Poll::Ready(result) = attempt.run.as_mut().poll(cx) {
                return Poll::Ready((index, result));
            }
        }
        Poll::Pending
    });
    tokio::select! {
        biased;
        (index, result) = next_end => {
            drop(attempts.remove(index));
            AttemptEvent::Ended(result)
        }
        () = async { progress.wait_for_silence(silence_timeout.unwrap_or_default()).await }, if silence_timeout.is_some() => {
            AttemptEvent::Silent
        }
        () = async { progress.wait_after_send(max_overlap.unwrap_or_default()).await }, if max_overlap.is_some() => {
            AttemptEvent::OverlapEnded
        }
    }
}

impl RelayRequest {
    /// Sends the request to a target, and to more if it is silent. Returns the first answer, or the last failure, which
    /// is not counted yet. Streams continue after `last_event`.
    pub(super) async fn try_target(&mut self, last_event: Option<u64>) -> AttemptResult {
        let held_count = self.tally.open_count;
        let mut attempts = vec![self.begin_attempt(last_event).await?];
        let retry_policy = self.admitted.grant.route.retry_policy;
        let max_overlap = self.node.board.borrow().tuning.silence_timeouts.max_overlap(retry_policy);
        let progress = self.progress.clone();
        loop {
            let is_extended = match next_event(&mut attempts, &progress, max_overlap).await {
                AttemptEvent::Ended(Err(failed)) if !attempts.is_empty() => {
                    self.tally.open_count = held_count + attempts.len() as u32;
                    self.decide_next_step(failed.end) == NextStep::Again
                }
                AttemptEvent::Ended(result) => {
                    self.tally.record_abandoned(attempts.len() as u32);
                    self.tally.open_count = held_count;
                    return result;
                }
                AttemptEvent::Silent => {
                    let Some(attempt) = attempts.last_mut() else { continue };
                    attempt.silence_timeout = None;
                    let target = attempt.entry.target.clone();
                    self.decide_on_silence(&target) == NextStep::Again
                }
                AttemptEvent::OverlapEnded => {
                    let abandoned = attempts.len() - 1;
                    attempts.drain(..abandoned);
                    self.tally.record_abandoned(abandoned as u32);
                    false
                }
            };
            if is_extended {
                // The attempts that are open go on if no further one can begin.
                attempts.extend(self.begin_attempt(last_event).await.ok());
            }
            self.has_attempt_in_flight = true;
            self.tally.open_count = held_count + attempts.len() as u32 - 1;
        }
    }

    /// Chooses a target and prepares an attempt at it.
    async fn begin_attempt(&mut self, last_event: Option<u64>) -> Result<OpenAttempt, FailedAttempt> {
        if let Some(content) = self.find_harmful_content() {
            blame::log_refused(&self.node, &self.head.request, &content);
            return Err(AttemptEnd::Harmful.into());
        }
        let ChosenTarget { permitted: PermittedTarget { entry, room }, grant } =
            self.choose_target_within_limits().await?;
        self.tried_targets.push(entry.target.clone());
        let (unread_tokens, tokens_ahead) = match &grant {
            Some(grant) => grant.tokens(),
            None => self.record_prompt(&entry),
        };
        self.log_choice(&entry, unread_tokens, tokens_ahead, grant.is_some());
        let is_granted = grant.is_some();
        let guard = CallGuard::new(&self.node, &entry, &self.admitted.grant.route.name, unread_tokens);
        let guard = guard.with_room(room).with_grant(grant);
        if unread_tokens > 0 && !is_granted {
            load_exchange::notify_hub(&self.node);
        }
        let silence_timeout = self.first_part_timeout(&entry, unread_tokens + tokens_ahead);
        self.has_attempt_in_flight = true;
        self.progress.record_start();
        let inputs = self.inputs.as_ref().map(|(inputs, _)| inputs.handles()).unwrap_or_default();
        let request = self.node.platform.target_request(&TargetRequest {
            method: &self.parts.method,
            uri: &self.parts.uri,
            headers: &self.parts.headers,
            body: self.admitted.body.clone(),
            target: &entry,
            org: self.admitted.grant.org.as_ref(),
            time_left: clock::now().until(self.admitted.deadline),
            rank: self.admitted.grant.rank,
            last_event,
            inputs: &inputs,
        });
        let attempt = TargetAttempt {
            node: self.node.clone(),
            id: self.head.request.clone(),
            keys: self.admitted.keys.clone(),
            started: self.admitted.started,
            is_stream: self.admitted.grant.route.retry_policy.is_stream(),
            is_proven: self.is_proven,
            last_event,
            entry: entry.clone(),
            guard,
            progress: self.progress.clone(),
            run: RunGuard::new(self.run_counter.clone()),
        };
        Ok(OpenAttempt { run: Box::pin(attempt.run(request)), entry, silence_timeout })
    }

    /// Records that a target is silent, and decides whether the request is sent to another one, too.
    pub(super) fn decide_on_silence(&mut self, target: &TargetName) -> NextStep {
        let route = &self.admitted.grant.route;
        let (retry_policy, max_attempts) = (route.retry_policy, route.max_attempts);
        let now = clock::now();
        self.node.pool.close_idle(target);
        let is_suspected = !self.is_proven && self.node.board.borrow().suspects.is_nearly_harmful(&self.admitted.keys);
        let is_possible =
            !is_suspected && self.tally.wants_second_attempt(retry_policy, max_attempts) && self.has_untried_target();
        let mut board = self.node.board.borrow_mut();
        board.targets.record_silence(target, now);
        board.paths.record_doubt(target);
        let affordable = is_possible && board.try_take_retry(&self.admitted.service, now);
        drop(board);
        let step = self.tally.decide_on_silence(retry_policy, max_attempts, affordable);
        if self.node.log_limiter.allows(now) {
            let (id, target, step) = (&*self.head.request, target.as_str(), step.to_string());
            let took_ms = now.since(self.admitted.started).as_millis() as u64;
            info!("{REQUEST} target is silent.", kv: { id, target, is_possible, affordable, step = step.as_str(), took_ms });
        }
        step
    }
}
