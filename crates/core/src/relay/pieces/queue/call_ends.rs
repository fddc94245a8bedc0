//! What happens to the pieces of a call when it ends, or when its target is silent.

use std::time::Duration;

use super::PieceQueue;
use crate::clock::Moment;
use crate::relay::document::BatchSpec;
use crate::relay::pieces::{CallPlan, PieceFailure, PieceOutcome, PieceTicket};

impl PieceQueue {
    /// Time for which a silent target counts as busy. Sound targets may be silent for about that long.
    const SILENT_BUSY_TIME: Duration = Duration::from_secs(1);

    /// Queues the pieces of a call to a silent target for other targets, as far as they may be started again. The call
    /// stays open, and the first result of a piece counts. Returns the number of queued pieces.
    pub fn queue_silent(&mut self, plan: &CallPlan, now: Moment) -> usize {
        let usage = self.usages.entry(plan.target.clone()).or_default();
        usage.busy_until = usage.busy_until.max(now + Self::SILENT_BUSY_TIME);
        let may_start_again = |(ticket, _): &&(PieceTicket, _)| {
            let piece = self.running.get(ticket);
            piece.is_some_and(|piece| piece.attempts < Self::MAX_ATTEMPTS && !piece.job.is_deadline_unreachable(now))
        };
        let tickets: Vec<PieceTicket> = plan.pieces.iter().filter(may_start_again).map(|(ticket, _)| *ticket).collect();
        for ticket in &tickets {
            if let Some(piece) = self.running.remove(ticket) {
                self.enqueue(*ticket, piece);
            }
        }
        tickets.len()
    }

    /// Returns whether a request still waits for a piece of a call.
    #[must_use]
    pub fn is_used(&self, plan: &CallPlan) -> bool {
        plan.pieces.iter().any(|(ticket, _)| self.running.contains_key(ticket) || self.positions.contains_key(ticket))
    }

    /// Handles the end of a call. `outcomes` holds the outcomes of the call's pieces in the order of `plan`. A missing
    /// outcome counts as failed. Failed pieces are queued again while they may be retried, or wait for the other calls that
    /// are open for them. Returns the final outcomes, to be reported to the requests. A piece that another call or no
    /// request waits for any more is among them: its result has to be freed.
    pub fn finish(
        &mut self,
        spec: &BatchSpec,
        plan: &CallPlan,
        outcomes: Vec<PieceOutcome>,
        now: Moment,
    ) -> Vec<(PieceTicket, PieceOutcome)> {
        let usage = self.usages.entry(plan.target.clone()).or_default();
        usage.in_flight = usage.in_flight.saturating_sub(1);
        let bytes: u64 = plan.pieces.iter().map(|(_, job)| job.result_bytes).sum();
        usage.reserved_bytes = usage.reserved_bytes.saturating_sub(bytes);
        let completed = outcomes.iter().filter(|outcome| outcome.is_ok()).count() as u32;
        usage.record_call_end(completed == 0 && outcomes.contains(&Err(PieceFailure::Failed)), now);
        if outcomes.contains(&Err(PieceFailure::NoRoom)) {
            usage.full_until = now + Self::FULL_BACKOFF;
        }
        for ((_, job), outcome) in plan.pieces.iter().zip(&outcomes) {
            if let Ok(result) = outcome {
                usage.stored_results.insert(result.handle.clone(), (job.result_bytes, now + spec.result_ttl));
            }
        }
        self.record_completions(completed, now);
        let mut reported = Vec::new();
        let outcomes = outcomes.into_iter().chain(std::iter::repeat(Err(PieceFailure::Failed)));
        for ((ticket, job), outcome) in plan.pieces.iter().zip(outcomes) {
            let position = self.positions.get(ticket).copied();
            let piece = match position {
                Some(position) => self.dequeue(position),
                None => self.running.remove(ticket),
            };
            let Some(mut piece) = piece else {
                // The piece was cancelled or made by another call meanwhile. The receiver of this outcome frees the result.
                reported.push((*ticket, outcome));
                continue;
            };
            // A newer call that is not silent decides whether the piece is started again.
            let has_newer_call =
                position.is_none() && piece.open_at.last().is_some_and(|target| *target != plan.target);
            piece.open_at.retain(|target| *target != plan.target);
            if outcome == Err(PieceFailure::NoRoom) {
                // The target did not start the piece, so this does not count as an attempt.
                piece.attempts -= 1;
            }
            let is_retryable = matches!(outcome, Err(PieceFailure::NoRoom | PieceFailure::Failed));
            let may_start_again = piece.attempts < Self::MAX_ATTEMPTS && !job.is_deadline_unreachable(now);
            if is_retryable && may_start_again && !has_newer_call {
                self.enqueue(*ticket, piece);
            } else if outcome.is_err() && !piece.open_at.is_empty() {
                self.running.insert(*ticket, piece);
            } else {
                reported.push((*ticket, outcome));
            }
        }
        reported
    }
}
