//! The tail of the distribution of a version's call times, as observed at this node.

use std::time::Duration;

/// A histogram of call times in which old calls count less and less.
#[derive(Clone, Debug)]
pub struct LatencyTail {
    buckets: [u32; Self::BUCKET_COUNT],
    total: u32,
}

impl Default for LatencyTail {
    fn default() -> Self {
        Self { buckets: [0; Self::BUCKET_COUNT], total: 0 }
    }
}

impl LatencyTail {
    const BUCKET_COUNT: usize = 96;
    /// Ratio of the upper to the lower bound of a bucket.
    const BUCKET_BOUND_RATIO: f64 = 1.15;
    /// Minimum number of calls from which the tail is derived.
    const MIN_CALLS: u32 = 20;
    /// Number of counted calls at which all buckets are halved.
    const MAX_CALLS: u32 = 4_000;
    /// Share of calls that are not slow. Slower calls belong to the tail.
    const TAIL_QUANTILE: f64 = 0.95;

    /// Records the duration of one call.
    pub fn record(&mut self, took: Duration) {
        if self.total >= Self::MAX_CALLS {
            self.buckets.iter_mut().for_each(|bucket| *bucket /= 2);
            self.total = self.buckets.iter().sum();
        }
        self.buckets[Self::bucket_of(took)] += 1;
        self.total += 1;
    }

    /// Returns whether a call is slow, that is, in the tail. Returns `None` while there are too few calls to tell.
    #[must_use]
    pub fn is_slow(&self, took: Duration) -> Option<bool> {
        let tail_bucket = self.tail_bucket()?;
        Some(Self::bucket_of(took) > tail_bucket)
    }

    /// Returns the bucket that holds the quantile. Calls in higher buckets are slow.
    fn tail_bucket(&self) -> Option<usize> {
        if self.total < Self::MIN_CALLS {
            return None;
        }
        let calls_within = (f64::from(self.total) * Self::TAIL_QUANTILE).ceil() as u32;
        let mut sum = 0;
        self.buckets.iter().position(|bucket| {
            sum += bucket;
            sum >= calls_within
        })
    }

    fn bucket_of(took: Duration) -> usize {
        let millis = took.as_secs_f64() * 1000.0;
        let index = millis.max(1.0).log(Self::BUCKET_BOUND_RATIO) as usize;
        index.min(Self::BUCKET_COUNT - 1)
    }
}
