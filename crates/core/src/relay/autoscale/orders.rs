//! Which orders are to be sent when.

use std::collections::BTreeMap;
use std::time::Duration;

use super::ScaleSubject;
use crate::clock::Moment;

/// An order that is to be sent.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ScaleOrder {
    /// What is ordered.
    pub subject: ScaleSubject,
    /// Number of targets.
    pub count: u32,
    /// Fencing token of the lease under which the order was given.
    pub fence: u64,
    /// Number of earlier attempts without success.
    pub failures: u32,
}

/// How the sending of an order ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "kebab-case")]
pub enum OrderOutcome {
    /// The platform accepted the order.
    Accepted,
    /// The platform did not carry out the order.
    Refused,
    /// No answer arrived. The order may still be carried out.
    Unanswered,
}

#[derive(Clone, Debug)]
struct OrderState {
    count: u32,
    due_at: Moment,
    failures: u32,
    is_sending: bool,
    /// Whether an order without an answer may be carried out after a newer one.
    may_be_overtaken: bool,
}

/// The number that is ordered for each subject, and when it is sent next.
#[derive(Clone, Debug, Default)]
pub struct OrderTable {
    fence: u64,
    states: BTreeMap<ScaleSubject, OrderState>,
}

impl OrderTable {
    /// Interval at which orders are repeated, since nothing can be read back.
    const REPEAT_INTERVAL: Duration = Duration::from_secs(10);
    /// The same after an order without an answer. It may be carried out seconds later and replace a newer one.
    const OVERTAKEN_INTERVAL: Duration = Duration::from_secs(3);
    /// Pause after the first failure in a row. Each further one doubles it.
    const MIN_BACKOFF: Duration = Duration::from_millis(250);
    const MAX_BACKOFF: Duration = Duration::from_secs(4);

    /// Begins to order under another lease. Everything is ordered anew. Returns whether the lease is another one.
    pub fn begin_term(&mut self, fence: u64) -> bool {
        let is_new = self.fence != fence;
        if is_new {
            *self = Self { fence, states: BTreeMap::new() };
        }
        is_new
    }

    /// Returns whether the orders are given under the lease with this fencing token.
    #[must_use]
    pub fn is_term(&self, fence: u64) -> bool {
        self.fence == fence
    }

    /// Sets the number of targets to be ordered. Another number than before is due at once, or after the backoff.
    pub fn set_count(&mut self, subject: &ScaleSubject, count: u32, now: Moment) {
        let new_state = OrderState { count, due_at: now, failures: 0, is_sending: false, may_be_overtaken: false };
        let state = self.states.entry(subject.clone()).or_insert(new_state);
        if state.count != count {
            state.count = count;
            if state.failures == 0 {
                state.due_at = now;
            }
        }
    }

    /// Removes the orders of subjects for which `is_scaled` is not true.
    pub fn retain(&mut self, is_scaled: impl Fn(&ScaleSubject) -> bool) {
        self.states.retain(|subject, _| is_scaled(subject));
    }

    /// Returns the order that has been due for longest, if any is. At most one of each subject is sent at a time; the outcome
    /// is to be recorded.
    pub fn next_due(&mut self, now: Moment) -> Option<ScaleOrder> {
        let due = self.states.iter_mut().filter(|(_, state)| !state.is_sending && state.due_at <= now);
        let (subject, state) = due.min_by_key(|(_, state)| state.due_at)?;
        state.is_sending = true;
        Some(ScaleOrder { subject: subject.clone(), count: state.count, fence: self.fence, failures: state.failures })
    }

    /// Records how the sending of an order ended. Outcomes of orders under an earlier lease are ignored.
    pub fn record(&mut self, order: &ScaleOrder, outcome: OrderOutcome, now: Moment) {
        let Some(state) = self.states.get_mut(&order.subject).filter(|_| order.fence == self.fence) else { return };
        state.is_sending = false;
        state.may_be_overtaken |= outcome == OrderOutcome::Unanswered;
        if outcome == OrderOutcome::Accepted {
            state.failures = 0;
            let was_overtaken = std::mem::take(&mut state.may_be_overtaken);
            let pause = if was_overtaken { Self::OVERTAKEN_INTERVAL } else { Self::REPEAT_INTERVAL };
            state.due_at = if state.count == order.count { now + pause } else { now };
            return;
        }
        let backoff = Self::MIN_BACKOFF * 2_u32.pow(state.failures.min(4));
        state.failures = state.failures.saturating_add(1);
        state.due_at = now + backoff.min(Self::MAX_BACKOFF);
    }
}
