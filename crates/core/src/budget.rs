//! The budget for retries and hedges: a share of recent requests, accumulated up to a maximum.

/// A token bucket that first attempts fill and that retries and hedges drain.
#[derive(Clone, Debug, PartialEq)]
pub struct RetryBudget {
    tokens_per_request: f64,
    max_tokens: f64,
    tokens: f64,
}

impl RetryBudget {
    /// Returns a full budget that earns `tokens_per_request` and holds at most `max_tokens`. A retry costs one token.
    #[must_use]
    pub fn new(tokens_per_request: f64, max_tokens: f64) -> Self {
        Self { tokens_per_request, max_tokens, tokens: max_tokens }
    }

    /// Adds the share of a retry that a first attempt earns.
    pub fn earn(&mut self) {
        self.tokens = (self.tokens + self.tokens_per_request).min(self.max_tokens);
    }

    /// Returns whether the budget covers a retry.
    #[must_use]
    pub fn is_affordable(&self) -> bool {
        self.tokens >= 1.0
    }

    /// Takes one retry from the budget, and returns whether the budget covered it.
    pub fn spend(&mut self) -> bool {
        if !self.is_affordable() {
            return false;
        }
        self.tokens -= 1.0;
        true
    }
}
