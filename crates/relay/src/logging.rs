//! Logs: structured lines on standard output, written by a thread of their own, dropped when it lags.

use std::cell::Cell;
use std::num::NonZero;
use std::sync::Arc;

use spdlog::sink::{AsyncPoolSink, OverflowPolicy, StdStream, StdStreamSink};
use spdlog::{LevelFilter, Logger, ThreadPool};
use wasabipier_core::clock::Moment;

/// Lines that may wait to be written; at some 200 bytes each they take half a megabyte.
const LINES_WAITING: NonZero<usize> = NonZero::new(2_048).unwrap();

/// Sends this process's log lines through a bounded queue that never blocks.
///
/// # Errors
///
/// The machine refuses the thread.
pub fn install() -> Result<(), spdlog::Error> {
    let stream = StdStreamSink::builder().std_stream(StdStream::Stdout).build_arc()?;
    let pool = Arc::new(ThreadPool::builder().capacity(LINES_WAITING).build()?);
    let sink = AsyncPoolSink::builder()
        .sink(stream)
        .thread_pool(pool)
        .overflow_policy(OverflowPolicy::DropIncoming)
        .build_arc()?;
    let logger = Logger::builder().sink(sink).level_filter(LevelFilter::All).build_arc()?;
    spdlog::set_default_logger(logger);
    Ok(())
}

/// Lets a bounded number of lines a second through; says how many it kept back.
#[derive(Debug, Default)]
pub struct LinePace {
    second: Cell<u64>,
    lines: Cell<u32>,
    dropped: Cell<u64>,
}

impl LinePace {
    /// Lines of one kind in a second; a node serves some hundred requests a second at the most.
    const MOST_LINES: u32 = 400;

    /// Whether a line may be written now.
    pub fn admits(&self, now: Moment) -> bool {
        let second = now.0 / 1_000;
        if self.second.replace(second) != second {
            self.lines.set(0);
            let dropped = self.dropped.take();
            if dropped > 0 {
                spdlog::warn!("{} {dropped} lines were left out in the last busy second.", crate::part::NODE);
            }
        }
        self.lines.set(self.lines.get().saturating_add(1));
        let admitted = self.lines.get() <= Self::MOST_LINES;
        if !admitted {
            self.dropped.set(self.dropped.get() + 1);
        }
        admitted
    }
}
