//! A small load driver: requests at given times, each asked by a caller that keeps to the addresses it was given.

use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

use crate::test_caller::{TestAnswer, TestAsk, TestCaller};

/// A request and when it is due, from the start of the load.
#[derive(Clone, Debug)]
pub struct DueAsk {
    /// When.
    pub due: Duration,
    /// What.
    pub ask: TestAsk,
}

/// What became of a request.
#[derive(Clone, Debug)]
pub struct LoadRecord {
    /// When it was due.
    pub due: Duration,
    /// The request.
    pub ask: TestAsk,
    /// The answer.
    pub answer: TestAnswer,
    /// Time from when it was due to the end of its answer.
    pub took: Duration,
}

#[derive(Debug)]
struct LoadState {
    schedule: Vec<DueAsk>,
    next: AtomicUsize,
    records: Mutex<Vec<LoadRecord>>,
}

/// A load that runs.
#[derive(Debug)]
pub struct TestLoad {
    state: Arc<LoadState>,
    threads: Vec<JoinHandle<()>>,
}

impl TestLoad {
    /// Starts to ask; `callers` bounds how many requests can be open at once.
    #[must_use]
    pub fn start(callers: Vec<TestCaller>, schedule: Vec<DueAsk>) -> Self {
        let state = Arc::new(LoadState { schedule, next: AtomicUsize::new(0), records: Mutex::default() });
        let started = Instant::now();
        let spawn = |caller| {
            let state = state.clone();
            thread::spawn(move || state.run(caller, started))
        };
        Self { threads: callers.into_iter().map(spawn).collect(), state: state.clone() }
    }

    /// Requests that have been answered so far.
    #[must_use]
    pub fn answered(&self) -> usize {
        self.state.records.lock().unwrap_or_else(PoisonError::into_inner).len()
    }

    /// Starts no more requests, waits for those under way and gives all that became of them.
    #[must_use]
    pub fn stop(self) -> Vec<LoadRecord> {
        self.state.next.store(self.state.schedule.len(), Ordering::SeqCst);
        self.finish()
    }

    /// Waits until all requests have been answered.
    #[must_use]
    pub fn finish(self) -> Vec<LoadRecord> {
        for thread in self.threads {
            let _ = thread.join();
        }
        std::mem::take(&mut *self.state.records.lock().unwrap_or_else(PoisonError::into_inner))
    }
}

impl LoadState {
    fn run(&self, mut caller: TestCaller, started: Instant) {
        while let Some(DueAsk { due, ask }) = self.schedule.get(self.next.fetch_add(1, Ordering::SeqCst)) {
            thread::sleep(due.saturating_sub(started.elapsed()));
            let answer = caller.ask(ask);
            let took = started.elapsed().saturating_sub(*due);
            let record = LoadRecord { due: *due, ask: ask.clone(), answer, took };
            self.records.lock().unwrap_or_else(PoisonError::into_inner).push(record);
        }
    }
}
