//! Loads of calls that hubs have granted, and what hubs learn from how these calls end.

use std::time::Duration;

use super::{CallResult, TargetRegistry, TargetView};
use crate::clock::Moment;
use crate::names::{NodeName, TargetName};
use crate::relay::members::TargetLoad;
use crate::relay::placement::GrantEnd;

/// Load of calls that hubs have granted.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) struct GrantedLoad {
    in_flight: u32,
    pending_prompt_tokens: u32,
}

impl GrantedLoad {
    fn add(&mut self, in_flight: u32, tokens: u32) {
        self.in_flight += in_flight;
        self.pending_prompt_tokens += tokens;
    }

    fn subtract(&mut self, in_flight: u32, tokens: u32) {
        self.in_flight = self.in_flight.saturating_sub(in_flight);
        self.pending_prompt_tokens = self.pending_prompt_tokens.saturating_sub(tokens);
    }
}

impl TargetView {
    /// Time constant with which the tokens of grants decay.
    const RECENT_TIME: Duration = Duration::from_secs(5);

    /// Returns the fraction of the last seconds that the prompts which this node has granted take the engine to read.
    #[must_use]
    pub fn recent_busy_ratio(&self, tokens_per_ms: f64, now: Moment) -> f64 {
        self.decayed_tokens(now) / (Self::RECENT_TIME.as_secs_f64() * 1e3 * tokens_per_ms)
    }

    fn decayed_tokens(&self, now: Moment) -> f64 {
        let (tokens, at) = self.recent_tokens;
        tokens * (-now.since(at).as_secs_f64() / Self::RECENT_TIME.as_secs_f64()).exp()
    }

    /// Returns the number of calls in flight: this node's and those that other nodes last reported, or those that hubs
    /// have granted if these are more. Each call is in one report, and in one grant at most.
    #[must_use]
    pub fn total_in_flight(&self) -> u32 {
        let granted = self.granted.in_flight + self.others_granted.in_flight;
        granted.max(self.in_flight + self.others_in_flight)
    }

    /// Returns the total prompt tokens that the engine has not processed yet, counted as by [`Self::total_in_flight`].
    #[must_use]
    pub fn total_pending_tokens(&self) -> u32 {
        let granted = self.granted.pending_prompt_tokens + self.others_granted.pending_prompt_tokens;
        granted.max(self.pending_prompt_tokens + self.others_pending_prompt_tokens)
    }
}

impl TargetRegistry {
    /// Replaces the loads of the grants that another hub reported by `loads`. An empty list clears them.
    pub fn set_peer_grants(&mut self, hub: &NodeName, loads: Vec<TargetLoad>) {
        let old = self.peer_grants.remove(hub).unwrap_or_default();
        for load in old {
            if let Some(view) = self.views.get_mut(&load.target) {
                view.others_granted.subtract(load.in_flight, load.pending_prompt_tokens);
            }
        }
        for load in &loads {
            if let Some(view) = self.views.get_mut(&load.target) {
                view.others_granted.add(load.in_flight, load.pending_prompt_tokens);
            }
        }
        if !loads.is_empty() {
            self.peer_grants.insert(hub.clone(), loads);
        }
    }

    /// Returns the hubs whose last report contains grants.
    #[must_use]
    pub fn peers_with_grants(&self) -> Vec<NodeName> {
        self.peer_grants.keys().cloned().collect()
    }

    /// Records that this node has granted a call, for which the target has to process `tokens` prompt tokens.
    pub fn record_grant(&mut self, target: &TargetName, tokens: u32, now: Moment) {
        if let Some(view) = self.views.get_mut(target) {
            view.granted.add(1, tokens);
            view.recent_tokens = (view.decayed_tokens(now) + f64::from(tokens), now);
            if view.is_cold(now) {
                view.last_cold_call = Some(now);
            }
        }
    }

    /// Records that the engine has processed `tokens` prompt tokens of a granted call.
    pub fn record_granted_prompt_read(&mut self, target: &TargetName, tokens: u32) {
        if let Some(view) = self.views.get_mut(target) {
            view.granted.subtract(0, tokens);
        }
    }

    /// Records the end of a granted call, of whose prompt the engine has not processed `tokens`.
    pub fn record_grant_end(&mut self, target: &TargetName, tokens: u32) {
        if let Some(view) = self.views.get_mut(target) {
            view.granted.subtract(1, tokens);
        }
    }

    /// Records how a call of another node ended, which this node has granted.
    pub fn record_reported_end(&mut self, target: &TargetName, end: GrantEnd, now: Moment) {
        let Some(view) = self.views.get_mut(target) else { return };
        match end {
            GrantEnd::Unknown => {}
            GrantEnd::Good => {
                view.failure_ratio *= 1.0 - TargetView::NEWEST_CALL_WEIGHT;
                view.consecutive_failures = 0;
            }
            GrantEnd::Faulty => view.record_failure(),
            GrantEnd::Broken | GrantEnd::Unreachable => {
                view.record_failure();
                view.back_off(now);
            }
            GrantEnd::Full => view.back_off(now),
        }
        let result = match end {
            GrantEnd::Unknown | GrantEnd::Good => return,
            GrantEnd::Faulty => CallResult::Faulty,
            GrantEnd::Broken | GrantEnd::Unreachable => CallResult::Broken,
            GrantEnd::Full => CallResult::Full,
        };
        self.record_limit_result(target, result, now);
    }
}
