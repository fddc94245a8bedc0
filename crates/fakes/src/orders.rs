//! Load orders that an engine's stand-in receives, and the model that it has loaded.

use std::sync::{Mutex, PoisonError};

use tiny_http::Request;
use wasabipier_wire::target::{LoadOrderCall, WireLoadSpec};

use crate::server::{read_json, reply};

/// Load orders of one engine.
#[derive(Debug, Default)]
pub struct LoadOrders {
    state: Mutex<OrderState>,
}

#[derive(Debug, Default)]
struct OrderState {
    loaded: WireLoadSpec,
    /// Highest fencing number of the orders carried out.
    highest_fencing: u64,
    checks_fencing: bool,
    carried_out: Vec<LoadOrderCall>,
}

impl LoadOrders {
    /// Sets whether the engine refuses an order whose fencing number is below the highest one, with status 409. By
    /// default the engine carries each order out.
    pub fn set_fencing_check(&self, checks: bool) {
        self.lock().checks_fencing = checks;
    }

    /// Returns the orders carried out so far, oldest first.
    #[must_use]
    pub fn carried_out(&self) -> Vec<LoadOrderCall> {
        self.lock().carried_out.clone()
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, OrderState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Answers a request with what is loaded.
    pub fn reply_loaded(&self, request: Request) {
        let loaded = self.lock().loaded.clone();
        reply(request, 200, &loaded);
    }

    /// Carries an order out, or refuses the order for its old fencing number.
    pub fn handle_order(&self, mut request: Request) {
        let call: LoadOrderCall = match read_json(&mut request) {
            Ok(call) => call,
            Err(error) => return reply(request, 400, &serde_json::json!({ "error": error })),
        };
        let mut state = self.lock();
        if state.checks_fencing && call.fencing < state.highest_fencing {
            let highest_fencing = state.highest_fencing;
            drop(state);
            return reply(
                request,
                409,
                &serde_json::json!({ "error": "old fencing number", "highest": highest_fencing }),
            );
        }
        state.highest_fencing = state.highest_fencing.max(call.fencing);
        state.loaded = call.load.clone();
        state.carried_out.push(call);
        drop(state);
        reply(request, 200, &serde_json::json!({}));
    }
}
