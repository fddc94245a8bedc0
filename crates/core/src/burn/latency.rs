//! Histogram of latencies in milliseconds.

use std::time::Duration;

use hdrhistogram::Histogram;

/// Longest latency in milliseconds that the histogram distinguishes; longer ones are recorded as this one.
const MAX_LATENCY_MS: u64 = 600_000;
/// Number of significant decimal digits that are kept.
const SIGNIFICANT_DIGITS: u8 = 2;

/// Number of requests or calls that had a latency.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LatencyCount {
    /// Latency in milliseconds, to two significant digits.
    pub ms: u64,
    /// Number of requests or calls.
    pub count: u64,
}

/// Histogram of latencies.
#[derive(Clone, Debug)]
pub struct Latencies {
    histogram: Histogram<u64>,
}

impl Default for Latencies {
    fn default() -> Self {
        // The histogram grows with the longest latency recorded.
        Self { histogram: Histogram::new(SIGNIFICANT_DIGITS).expect("two digits are within what the library keeps") }
    }
}

impl Latencies {
    /// Records one latency, rounded down to milliseconds and limited to the maximum.
    pub fn record(&mut self, took: Duration) {
        let ms = took.as_millis().min(u128::from(MAX_LATENCY_MS));
        // Recording cannot fail: the histogram grows to hold the value.
        let _ = self.histogram.record(ms as u64);
    }

    /// Adds the counts of another histogram; latencies above the maximum are recorded as the maximum.
    pub fn add(&mut self, counts: &[LatencyCount]) {
        for count in counts {
            let _ = self.histogram.record_n(count.ms.min(MAX_LATENCY_MS), count.count);
        }
    }

    /// Returns the counts of all recorded latencies, shortest first.
    #[must_use]
    pub fn counts(&self) -> Vec<LatencyCount> {
        let recorded = self.histogram.iter_recorded();
        recorded
            .map(|value| LatencyCount { ms: value.value_iterated_to(), count: value.count_since_last_iteration() })
            .collect()
    }

    /// Returns the quantile at `share` (0 to 1) in milliseconds; `None` if no latency was recorded.
    #[must_use]
    pub fn quantile_ms(&self, share: f64) -> Option<u64> {
        (!self.histogram.is_empty()).then(|| self.histogram.value_at_quantile(share))
    }
}
