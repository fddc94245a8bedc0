//! What retries and hedges may spend: a share of recent requests, saved up to a bound.

/// A token bucket that requests fill and retries empty.
#[derive(Clone, Debug, PartialEq)]
pub struct RetryBudget {
    share: f64,
    burst: f64,
    saved: f64,
}

impl RetryBudget {
    /// A full budget; `share` is retries per request, `burst` the most that can be saved.
    #[must_use]
    pub fn new(share: f64, burst: f64) -> Self {
        Self { share, burst, saved: burst }
    }

    /// Counts a first attempt.
    pub fn earn(&mut self) {
        self.saved = (self.saved + self.share).min(self.burst);
    }

    /// Whether there is one.
    #[must_use]
    pub fn is_affordable(&self) -> bool {
        self.saved >= 1.0
    }

    /// Takes one retry, if there is one.
    pub fn spend(&mut self) -> bool {
        if !self.is_affordable() {
            return false;
        }
        self.saved -= 1.0;
        true
    }
}
