//! Mean and steady growth of a load.

use std::collections::VecDeque;
use std::time::Duration;

use crate::clock::Moment;

/// Loads of the last seconds, the oldest first.
#[derive(Clone, Debug, Default)]
pub struct LoadTrend {
    samples: VecDeque<(Moment, f64)>,
}

impl LoadTrend {
    /// Minimum time between two samples, which bounds their number.
    const MIN_INTERVAL: Duration = Duration::from_millis(100);

    /// Records the load at `now`, and removes samples that are older than `keep_time`.
    pub fn record(&mut self, load: f64, keep_time: Duration, now: Moment) {
        if self.samples.back().is_some_and(|(at, _)| now.since(*at) < Self::MIN_INTERVAL) {
            return;
        }
        self.samples.push_back((now, load));
        while self.samples.front().is_some_and(|(at, _)| now.since(*at) > keep_time) {
            self.samples.pop_front();
        }
    }

    /// Returns the mean load of the last `time`. 0 without samples.
    #[must_use]
    pub fn mean(&self, time: Duration, now: Moment) -> f64 {
        let recent = self.samples.iter().filter(|(at, _)| now.since(*at) < time);
        let (count, sum) = recent.fold((0_u32, 0.0), |(count, sum), (_, load)| (count + 1, sum + load));
        sum / f64::from(count.max(1))
    }

    /// Returns the growth of the load per second over the last `time`: the lower one of its two halves, and at least 0. A
    /// burst grows in one half only, and is no trend. Returns 0 while the samples cover less than the time.
    #[must_use]
    pub fn growth_per_s(&self, time: Duration, now: Moment) -> f64 {
        let half = time / 2;
        let covers_time = self.samples.front().is_some_and(|(at, _)| now.since(*at) >= time.mul_f64(0.9));
        if !covers_time {
            return 0.0;
        }
        let is_recent = |at: &Moment| now.since(*at) < half;
        let newer = slope_per_s(self.samples.iter().filter(|(at, _)| is_recent(at)));
        let older = slope_per_s(self.samples.iter().filter(|(at, _)| !is_recent(at)));
        newer.min(older).max(0.0)
    }
}

/// Returns the slope per second of the line with the least squared distance from `samples`.
fn slope_per_s<'a>(samples: impl Iterator<Item = &'a (Moment, f64)> + Clone) -> f64 {
    let Some((first, _)) = samples.clone().next() else { return 0.0 };
    let points = samples.map(|(at, load)| (at.since(*first).as_secs_f64(), *load));
    let count = points.clone().count() as f64;
    let mean_time = points.clone().map(|(time, _)| time).sum::<f64>() / count;
    let mean_load = points.clone().map(|(_, load)| load).sum::<f64>() / count;
    let variance: f64 = points.clone().map(|(time, _)| (time - mean_time).powi(2)).sum();
    let covariance: f64 = points.map(|(time, load)| (time - mean_time) * (load - mean_load)).sum();
    if variance > 0.0 { covariance / variance } else { 0.0 }
}
