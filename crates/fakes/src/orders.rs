//! Orders to load a model that the stand-in of an engine receives, and the model that it has loaded.

use std::sync::{Mutex, PoisonError};

use tiny_http::Request;
use wasabipier_wire::target::{LoadOrderCall, WireLoadSpec};

use crate::server::{read_json, reply};

/// Load orders that one engine has received, and what it has loaded.
#[derive(Debug, Default)]
pub struct LoadOrders {
    state: Mutex<OrderState>,
}

#[derive(Debug, Default)]
struct OrderState {
    /// Model that the last executed order names; the default before the first one.
    loaded: WireLoadSpec,
    /// Highest fencing number of the executed orders. Fencing numbers grow with each lease of a node to send orders, so
    /// that an order with a lower number comes from a former holder.
    highest_fencing: u64,
    checks_fencing: bool,
    executed_orders: Vec<LoadOrderCall>,
}

impl LoadOrders {
    /// Sets whether the engine refuses an order whose fencing number is below the highest one, with status 409. By
    /// default the engine executes every order.
    pub fn set_fencing_check(&self, enabled: bool) {
        self.lock().checks_fencing = enabled;
    }

    /// Returns the orders executed so far, oldest first.
    #[must_use]
    pub fn executed_orders(&self) -> Vec<LoadOrderCall> {
        self.lock().executed_orders.clone()
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, OrderState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Answers a request for the loaded model.
    pub fn reply_loaded(&self, request: Request) {
        let loaded = self.lock().loaded.clone();
        reply(request, 200, &loaded);
    }

    /// Executes an order and answers with status 200. Refuses an order with an old fencing number, if the check is
    /// enabled.
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
        state.executed_orders.push(call);
        drop(state);
        reply(request, 200, &serde_json::json!({}));
    }
}
