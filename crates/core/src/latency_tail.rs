//! The tail of a version's call times, as observed at this node.

use std::time::Duration;

/// A histogram of call times that forgets slowly.
#[derive(Clone, Debug)]
pub struct LatencyTail {
    buckets: [u32; Self::BUCKETS],
    total: u32,
}

impl Default for LatencyTail {
    fn default() -> Self {
        Self { buckets: [0; Self::BUCKETS], total: 0 }
    }
}

impl LatencyTail {
    const BUCKETS: usize = 96;
    /// Ratio of a bucket's bounds.
    const GROWTH: f64 = 1.15;
    /// Calls before the tail is known.
    const LEAST_CALLS: u32 = 20;
    /// Calls after which all buckets are halved.
    const MOST_CALLS: u32 = 4_000;
    /// Share of calls within the bound.
    const QUANTILE: f64 = 0.95;

    /// Notes one call.
    pub fn note(&mut self, took: Duration) {
        if self.total >= Self::MOST_CALLS {
            self.buckets.iter_mut().for_each(|bucket| *bucket /= 2);
            self.total = self.buckets.iter().sum();
        }
        self.buckets[Self::bucket(took)] += 1;
        self.total += 1;
    }

    /// Whether a call is slower than the tail; none while the tail is not known.
    #[must_use]
    pub fn is_slow(&self, took: Duration) -> Option<bool> {
        let bound = self.bound()?;
        Some(Self::bucket(took) > bound)
    }

    fn bound(&self) -> Option<usize> {
        if self.total < Self::LEAST_CALLS {
            return None;
        }
        let within = (f64::from(self.total) * Self::QUANTILE).ceil() as u32;
        let mut sum = 0;
        self.buckets.iter().position(|bucket| {
            sum += bucket;
            sum >= within
        })
    }

    fn bucket(took: Duration) -> usize {
        let millis = took.as_secs_f64() * 1000.0;
        let index = millis.max(1.0).log(Self::GROWTH) as usize;
        index.min(Self::BUCKETS - 1)
    }
}
