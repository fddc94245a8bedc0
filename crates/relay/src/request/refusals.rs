//! Answers to requests that no target has answered.

use http::Response;

use super::RelayRequest;
use crate::admission::{self, Rejection};
use crate::body::AnswerBody;
use crate::clock;
use crate::metering;
use crate::ports::{RefusalKind, RefusalNotice};
use crate::state::SharedNode;

/// Reason, as it is logged, for the end of a request that is still open when the process ends.
pub(super) const PROCESS_END: &str = "process ends";

/// Why a request is given up before its run has ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum RunStop {
    /// The time by which it must be answered has come.
    Deadline,
    /// The process is about to end.
    ProcessEnd,
}

/// Returns the rejection of a request that has not been sent to a target when the process is about to end.
pub(super) fn reject_at_process_end(node: &SharedNode) -> Rejection {
    Rejection::not_run(PROCESS_END, node.board.borrow().departure.retry_after())
}

pub(super) fn build_refusal(node: &SharedNode, rejection: Rejection) -> Response<AnswerBody> {
    let notice = RefusalNotice { kind: rejection.kind, retry_after: rejection.retry_after };
    node.platform.refusal_response(notice).map(AnswerBody::whole)
}

impl RelayRequest {
    /// Rejects a request that was accepted and has waited until too little time is left before the process of this node
    /// ends. Does nothing for one that may have run.
    pub(super) fn check_time_to_run(&self) -> Result<(), Rejection> {
        let (route, now) = (&self.admitted.grant.route, clock::now());
        let board = self.node.board.borrow();
        let verdict = board.departure.check_waited(route, self.admitted.started, self.admitted.deadline, now);
        let Some(verdict) = verdict.filter(|verdict| !verdict.is_accepted && self.tally.has_not_run()) else {
            return Ok(());
        };
        if self.node.log_limiter.allows(now) {
            admission::log_departure_verdict(&self.head.request, &route.name, &verdict, self.admitted.deadline, now);
        }
        metering::record_departure_refusal(&route.name);
        Err(Rejection::not_run("node leaves", board.departure.retry_after()))
    }

    /// Returns the answer to a request that is given up before its run has ended. It claims that the request has not run
    /// only if no attempt may have run or may still be running.
    pub(super) fn reject_unfinished(&self, stop: RunStop) -> Rejection {
        let has_not_run = self.tally.has_not_run() && !self.has_attempt_in_flight;
        match stop {
            RunStop::Deadline => {
                let kind = if has_not_run { RefusalKind::NotRun } else { RefusalKind::TimedOut };
                Rejection { kind, reason: "deadline", retry_after: None }
            }
            RunStop::ProcessEnd if has_not_run => reject_at_process_end(&self.node),
            RunStop::ProcessEnd => Rejection { kind: RefusalKind::Unknown, reason: PROCESS_END, retry_after: None },
        }
    }
}
