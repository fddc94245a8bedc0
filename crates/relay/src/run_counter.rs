//! Counts callers' requests that targets began to run, for metering. A request is counted once, whatever the number of its
//! attempts.

use std::cell::Cell;
use std::rc::Rc;

use wasabipier_core::clock::Moment;
use wasabipier_core::names::OrgName;
use wasabipier_core::relay::steps::AttemptEnd;
use wasabipier_core::relay::usage::CountOutcome;

use crate::clock;
use crate::metering;
use crate::state::SharedNode;

/// Counts one request of a caller.
pub struct RunCounter {
    node: SharedNode,
    org: OrgName,
    /// Streams are counted at their first event, other requests at an answer or when their outcome is unknown.
    is_stream: bool,
    is_counted: Cell<bool>,
}

impl RunCounter {
    /// Returns a counter for a request of `org`, or `None` if the request is not to be counted.
    #[must_use]
    pub fn new(node: &SharedNode, org: Option<&OrgName>, is_stream: bool) -> Option<Rc<Self>> {
        let org = org.filter(|_| node.board.borrow().usage.is_some())?.clone();
        Some(Rc::new(Self { node: node.clone(), org, is_stream, is_counted: Cell::new(false) }))
    }

    /// Counts the request, which began to run at `began_at`, unless it has been counted.
    fn count(&self, began_at: Moment) {
        if self.is_counted.replace(true) {
            return;
        }
        let mut board = self.node.board.borrow_mut();
        let Some(usage) = &mut board.usage else { return };
        match usage.count(&self.org, began_at, clock::now()) {
            CountOutcome::Counted => {}
            CountOutcome::TooManyOrgs => metering::record_uncounted_request("orgs"),
            CountOutcome::TooLate => metering::record_uncounted_request("late"),
        }
    }
}

/// One attempt of a request. When the guard is dropped and the target may have run the request, the request is counted,
/// except for a stream without an event.
pub struct RunGuard {
    counter: Option<Rc<RunCounter>>,
    /// When the request was sent; `None` if the target did not run it.
    sent_at: Cell<Option<Moment>>,
}

impl RunGuard {
    /// Creates the guard of an attempt that has not been sent. It has no effect without a counter.
    #[must_use]
    pub fn new(counter: Option<Rc<RunCounter>>) -> Self {
        Self { counter, sent_at: Cell::new(None) }
    }

    /// Records that the request is being sent.
    pub fn record_sent(&self) {
        self.sent_at.set(Some(clock::now()));
    }

    /// Records how the attempt failed.
    pub fn record_end(&self, end: AttemptEnd) {
        match end {
            AttemptEnd::NotSent
            | AttemptEnd::NotRun
            | AttemptEnd::InputsGone
            | AttemptEnd::Harmful
            | AttemptEnd::Limited => self.sent_at.set(None),
            AttemptEnd::Lost | AttemptEnd::Garbled | AttemptEnd::Failed => {}
        }
    }

    /// Counts a stream whose first event has arrived.
    pub fn record_first_event(&self) {
        if let Some(counter) = &self.counter {
            counter.count(clock::now());
        }
    }
}

impl Drop for RunGuard {
    fn drop(&mut self) {
        if let Some(counter) = self.counter.as_ref().filter(|counter| !counter.is_stream)
            && let Some(sent_at) = self.sent_at.get()
        {
            counter.count(sent_at);
        }
    }
}
