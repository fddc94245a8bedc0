//! The budget for retries and hedges: a share of recent requests, accumulated up to a maximum.

/// A token bucket that first attempts fill and that retries and hedges drain, at one token each.
#[derive(Clone, Debug, PartialEq)]
pub struct RetryBudget {
    tokens_per_request: f64,
    max_tokens: f64,
    tokens: f64,
}

impl RetryBudget {
    /// Returns a full budget that earns `tokens_per_request` with each first attempt and holds at most `max_tokens`.
    #[must_use]
    pub fn new(tokens_per_request: f64, max_tokens: f64) -> Self {
        Self { tokens_per_request, max_tokens, tokens: max_tokens }
    }

    /// Adds the tokens that one first attempt earns, up to the maximum.
    pub fn earn(&mut self) {
        self.tokens = (self.tokens + self.tokens_per_request).min(self.max_tokens);
    }

    /// Returns whether the budget covers one retry or hedge.
    #[must_use]
    pub fn is_affordable(&self) -> bool {
        self.tokens >= 1.0
    }

    /// Takes one token from the budget if there is one, and returns whether there was.
    pub fn spend(&mut self) -> bool {
        if !self.is_affordable() {
            return false;
        }
        self.tokens -= 1.0;
        true
    }
}
