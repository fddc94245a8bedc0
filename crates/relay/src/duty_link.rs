//! Calls of duties to the platform's interface for them.

use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http::Request;
use spdlog::warn;
use tokio::time::{Instant, sleep_until, timeout};
use wasabipier_core::relay::duties::{DutyKind, HeldDuty};

use crate::clock;
use crate::duties;
use crate::http_link::{HttpLink, LinkError};
use crate::log_prefixes::DUTIES;
use crate::metering;
use crate::ports::DutyReply;
use crate::settings::DutySettings;
use crate::state::SharedNode;

/// Timeout for the whole answer to a call. Answers are short; a call that is given up is repeated.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(1);
/// Factor by which the holders of all duties together stay below the rate that the platform takes. Calls that were delayed
/// on the way may arrive closer together than they were sent.
const RATE_SAFETY_FACTOR: f64 = 1.25;

/// Reasons why a call of a duty has no reply.
#[derive(Debug, thiserror::Error)]
pub enum DutyError {
    /// The lease ended before the call could be sent. It was not sent.
    #[error("the right to act has ended")]
    RightEnded,
    /// There is no answer. Except after [`LinkError::Connect`], the call may be carried out later.
    #[error("{0}")]
    Link(#[from] LinkError),
}

/// A connection to the platform's interface, for the calls of one duty.
pub struct DutyLink {
    node: SharedNode,
    kind: DutyKind,
    link: HttpLink,
    /// Minimum interval between two calls.
    interval: Duration,
    /// Earliest time of the next call.
    next_call_at: Instant,
}

impl DutyLink {
    /// Creates a link for the calls of a duty that connects on first use. Each duty gets an equal share of the rate.
    #[must_use]
    pub fn new(node: &SharedNode, kind: DutyKind, settings: &DutySettings) -> Self {
        let rate = settings.max_calls_per_s / (settings.kinds.len().max(1) as f64 * RATE_SAFETY_FACTOR);
        // A rate that gives no valid interval is a fault of the settings. One call a second harms no platform.
        let interval = Duration::try_from_secs_f64(rate.recip()).unwrap_or(Duration::from_secs(1));
        Self {
            node: node.clone(),
            kind,
            link: HttpLink::new(settings.address, Rc::default()),
            interval,
            next_call_at: Instant::now(),
        }
    }

    /// Sends a request that carries the fencing token of `duty`, as soon as the rate allows it. The lease is checked right
    /// before the request is sent. If the platform has seen a higher fencing token, the right to act ends at once.
    ///
    /// # Errors
    ///
    /// Returns why there is no reply. The call may have been carried out, or may be later, unless it was not sent.
    pub async fn call(&mut self, duty: HeldDuty, request: Request<Bytes>) -> Result<DutyReply, DutyError> {
        let reply = self.exchange(duty, request).await;
        let outcome = match &reply {
            Ok(reply) => reply.to_string(),
            Err(DutyError::RightEnded) => "not-sent".to_owned(),
            Err(DutyError::Link(_)) => "failed".to_owned(),
        };
        metering::record_duty_call(&self.kind.to_string(), &outcome);
        if matches!(reply, Ok(DutyReply::Fenced)) {
            self.end_right(duty);
        }
        reply
    }

    async fn exchange(&mut self, duty: HeldDuty, request: Request<Bytes>) -> Result<DutyReply, DutyError> {
        sleep_until(self.next_call_at).await;
        self.link.open().await?;
        let held = self.node.board.borrow().duties.held(self.kind, clock::now());
        if held.is_none_or(|held| held.fence != duty.fence) {
            return Err(DutyError::RightEnded);
        }
        self.next_call_at = Instant::now() + self.interval;
        let answer = timeout(ANSWER_TIMEOUT, self.link.exchange_at_once(request, ANSWER_TIMEOUT)).await;
        let response = answer.unwrap_or(Err(LinkError::Timeout))?;
        Ok(self.node.platform.read_duty_reply(response.status()))
    }

    /// Ends the right under the refused fencing token, unless the node has a higher one by now.
    fn end_right(&self, duty: HeldDuty) {
        let (kind, fence) = (self.kind.to_string(), duty.fence);
        warn!("{DUTIES} the platform has seen a higher fencing token.", kv: { duty = kind.as_str(), fence });
        let mut board = self.node.board.borrow_mut();
        if board.duties.held(self.kind, clock::now()).is_some_and(|held| held.fence == duty.fence) {
            board.duties.end_right(self.kind);
        }
        drop(board);
        duties::report_changes(&self.node);
    }
}
