//! Load driver for tests: sends requests at given times, through callers that run on a thread each and use the
//! addresses that nodes list. A request waits if all callers are busy when it is due.

use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

use crate::test_caller::{TestAnswer, TestCaller, TestRequest};

/// Request of a schedule.
#[derive(Clone, Debug)]
pub struct ScheduledRequest {
    /// Time from the start of the load at which the request is due.
    pub due: Duration,
    /// Request to send.
    pub request: TestRequest,
}

/// Request of a schedule that has ended, with its answer and times.
#[derive(Clone, Debug)]
pub struct LoadRecord {
    /// Time from the start of the load at which the request was due.
    pub due: Duration,
    /// Request that was sent.
    pub request: TestRequest,
    /// Answer that the caller received; the default if there was none.
    pub answer: TestAnswer,
    /// Time from when the request was due to the end of its answer, including any wait for a free caller.
    pub response_time: Duration,
}

#[derive(Debug)]
struct LoadState {
    schedule: Vec<ScheduledRequest>,
    /// Position in the schedule of the request that the next free caller sends.
    next_index: AtomicUsize,
    records: Mutex<Vec<LoadRecord>>,
}

/// Load that runs in the background.
#[derive(Debug)]
pub struct TestLoad {
    state: Arc<LoadState>,
    threads: Vec<JoinHandle<()>>,
}

impl TestLoad {
    /// Starts the load. The number of `callers` is the most requests in flight at once; `schedule` is sent in
    /// the given order.
    #[must_use]
    pub fn start(callers: Vec<TestCaller>, schedule: Vec<ScheduledRequest>) -> Self {
        let state = Arc::new(LoadState { schedule, next_index: AtomicUsize::new(0), records: Mutex::default() });
        let started = Instant::now();
        let spawn = |caller| {
            let state = state.clone();
            thread::spawn(move || state.run(caller, started))
        };
        Self { threads: callers.into_iter().map(spawn).collect(), state: state.clone() }
    }

    /// Returns the number of requests that have ended so far, with or without an answer.
    #[must_use]
    pub fn ended_count(&self) -> usize {
        self.state.records.lock().unwrap_or_else(PoisonError::into_inner).len()
    }

    /// Starts no more requests, waits for those in flight and returns the records of all that were sent.
    #[must_use]
    pub fn stop(self) -> Vec<LoadRecord> {
        self.state.next_index.store(self.state.schedule.len(), Ordering::SeqCst);
        self.finish()
    }

    /// Waits until all requests of the schedule have ended and returns their records, in order of their ends.
    #[must_use]
    pub fn finish(self) -> Vec<LoadRecord> {
        for thread in self.threads {
            let _ = thread.join();
        }
        std::mem::take(&mut *self.state.records.lock().unwrap_or_else(PoisonError::into_inner))
    }
}

impl LoadState {
    /// Sends the next requests of the schedule through `caller` until none is left.
    fn run(&self, mut caller: TestCaller, started: Instant) {
        while let Some(ScheduledRequest { due, request }) =
            self.schedule.get(self.next_index.fetch_add(1, Ordering::SeqCst))
        {
            thread::sleep(due.saturating_sub(started.elapsed()));
            let answer = caller.ask(request);
            let response_time = started.elapsed().saturating_sub(*due);
            let record = LoadRecord { due: *due, request: request.clone(), answer, response_time };
            self.records.lock().unwrap_or_else(PoisonError::into_inner).push(record);
        }
    }
}
