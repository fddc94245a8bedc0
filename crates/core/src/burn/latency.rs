//! Latencies as a histogram, in milliseconds.

use std::time::Duration;

use hdrhistogram::Histogram;

/// Longest latency that is told apart, in milliseconds.
const LONGEST_MS: u64 = 600_000;
/// Decimal digits that are kept.
const DIGITS: u8 = 2;

/// How often a latency came.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LatencyCount {
    /// The latency in milliseconds, to two digits.
    pub ms: u64,
    /// How often it came.
    pub count: u64,
}

/// Latencies by how often they came.
#[derive(Clone, Debug)]
pub struct Latencies {
    histogram: Histogram<u64>,
}

impl Default for Latencies {
    fn default() -> Self {
        // It grows with the longest latency that came.
        Self { histogram: Histogram::new(DIGITS).expect("two digits are within what the library keeps") }
    }
}

impl Latencies {
    /// Adds one.
    pub fn record(&mut self, took: Duration) {
        let ms = took.as_millis().min(u128::from(LONGEST_MS));
        // It cannot fail: the histogram grows to hold the value.
        let _ = self.histogram.record(ms as u64);
    }

    /// Adds those of another histogram.
    pub fn add(&mut self, counts: &[LatencyCount]) {
        for count in counts {
            let _ = self.histogram.record_n(count.ms.min(LONGEST_MS), count.count);
        }
    }

    /// All of them, shortest first.
    #[must_use]
    pub fn counts(&self) -> Vec<LatencyCount> {
        let recorded = self.histogram.iter_recorded();
        recorded
            .map(|value| LatencyCount { ms: value.value_iterated_to(), count: value.count_since_last_iteration() })
            .collect()
    }

    /// The latency that a share of them did not exceed, in milliseconds; none without any.
    #[must_use]
    pub fn quantile_ms(&self, share: f64) -> Option<u64> {
        (!self.histogram.is_empty()).then(|| self.histogram.value_at_quantile(share))
    }
}
