//! The tail of the distribution of a version's call durations, as observed at this node.

use std::time::Duration;

/// A histogram of call durations in which old calls count less and less.
#[derive(Clone, Debug)]
pub struct LatencyTail {
    /// Number of calls in each bucket.
    buckets: [u32; Self::BUCKET_COUNT],
    /// Sum of all buckets.
    total: u32,
}

impl Default for LatencyTail {
    fn default() -> Self {
        Self { buckets: [0; Self::BUCKET_COUNT], total: 0 }
    }
}

impl LatencyTail {
    /// Number of buckets. The first begins at 0 ms and ends at 1.15 ms; the last holds all calls from about ten
    /// minutes.
    const BUCKET_COUNT: usize = 96;
    /// Ratio of the upper to the lower bound of a bucket.
    const BUCKET_BOUND_RATIO: f64 = 1.15;
    /// Minimum number of calls from which the tail is derived.
    const MIN_CALLS: u32 = 20;
    /// Number of counted calls at which all buckets are halved.
    const MAX_CALLS: u32 = 4_000;
    /// Quantile of the durations above which a call is slow, that is, in the tail.
    const TAIL_QUANTILE: f64 = 0.95;

    /// Records the duration of one call.
    pub fn record(&mut self, took: Duration) {
        if self.total >= Self::MAX_CALLS {
            self.buckets.iter_mut().for_each(|bucket| *bucket /= 2);
            self.total = self.buckets.iter().sum();
        }
        self.buckets[Self::bucket_index(took)] += 1;
        self.total += 1;
    }

    /// Returns whether a call of duration `took` is slow, that is, in a bucket above that of the 95th percentile.
    /// Returns `None` while fewer than `MIN_CALLS` calls are counted.
    #[must_use]
    pub fn is_slow(&self, took: Duration) -> Option<bool> {
        let tail_bucket = self.tail_bucket_index()?;
        Some(Self::bucket_index(took) > tail_bucket)
    }

    /// Returns the index of the bucket that holds the quantile. Calls in higher buckets are slow.
    fn tail_bucket_index(&self) -> Option<usize> {
        if self.total < Self::MIN_CALLS {
            return None;
        }
        let calls_up_to_quantile = (f64::from(self.total) * Self::TAIL_QUANTILE).ceil() as u32;
        let mut sum = 0;
        self.buckets.iter().position(|bucket| {
            sum += bucket;
            sum >= calls_up_to_quantile
        })
    }

    /// Returns the index of the bucket that counts calls of duration `took`.
    fn bucket_index(took: Duration) -> usize {
        let millis = took.as_secs_f64() * 1000.0;
        let index = millis.max(1.0).log(Self::BUCKET_BOUND_RATIO) as usize;
        index.min(Self::BUCKET_COUNT - 1)
    }
}
