//! Structured logs on standard output, written by a separate thread. Lines are dropped when it cannot keep up.

use std::cell::Cell;
use std::num::NonZero;
use std::sync::Arc;

use spdlog::sink::{AsyncPoolSink, OverflowPolicy, StdStream, StdStreamSink};
use spdlog::{LevelFilter, Logger, ThreadPool};
use wasabipier_core::clock::Moment;

/// Maximum number of lines that wait to be written. At some 200 bytes each they take half a megabyte.
const MAX_QUEUED_LINES: NonZero<usize> = NonZero::new(2_048).unwrap();

/// Installs a logger for this process that writes through a bounded queue and never blocks.
///
/// # Errors
///
/// The writer thread cannot be started.
pub fn install() -> Result<(), spdlog::Error> {
    let stream = StdStreamSink::builder().std_stream(StdStream::Stdout).build_arc()?;
    let pool = Arc::new(ThreadPool::builder().capacity(MAX_QUEUED_LINES).build()?);
    let sink = AsyncPoolSink::builder()
        .sink(stream)
        .thread_pool(pool)
        .overflow_policy(OverflowPolicy::DropIncoming)
        .build_arc()?;
    let logger = Logger::builder().sink(sink).level_filter(LevelFilter::All).build_arc()?;
    spdlog::set_default_logger(logger);
    Ok(())
}

/// Limits the number of log lines per second, and logs how many were dropped.
#[derive(Debug, Default)]
pub struct LogLimiter {
    /// Second that the counts belong to, on the node's clock.
    second: Cell<u64>,
    /// Number of lines in this second, written or dropped.
    lines: Cell<u32>,
    /// Number of dropped lines in this second.
    dropped: Cell<u64>,
}

impl LogLimiter {
    /// Maximum number of limited lines per second. A node serves at most some hundred requests per second.
    const MAX_LINES_PER_SECOND: u32 = 400;

    /// Returns whether a line may be written now, and counts the line.
    pub fn allows(&self, now: Moment) -> bool {
        let second = now.0 / 1_000;
        if self.second.replace(second) != second {
            self.lines.set(0);
            let dropped = self.dropped.take();
            if dropped > 0 {
                spdlog::warn!("{} {dropped} log lines dropped in the last busy second.", crate::log_prefixes::NODE);
            }
        }
        self.lines.set(self.lines.get().saturating_add(1));
        let is_allowed = self.lines.get() <= Self::MAX_LINES_PER_SECOND;
        if !is_allowed {
            self.dropped.set(self.dropped.get() + 1);
        }
        is_allowed
    }
}
