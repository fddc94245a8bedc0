//! What an engine's stand-in has loaded, and the orders that it gets.

use std::sync::{Mutex, PoisonError};

use tiny_http::Request;
use wasabipier_wire::target::{OrderCall, WireLoadSpec};

use crate::server::{read_json, reply};

/// Orders of one engine.
#[derive(Debug, Default)]
pub struct OrderBook {
    state: Mutex<OrderState>,
}

#[derive(Debug, Default)]
struct OrderState {
    loaded: WireLoadSpec,
    highest: u64,
    checks_fencing: bool,
    carried_out: Vec<OrderCall>,
}

impl OrderBook {
    /// Whether an old fencing number is refused from now on.
    pub fn check_fencing(&self, checks: bool) {
        self.lock().checks_fencing = checks;
    }

    /// Orders carried out so far, in their order.
    #[must_use]
    pub fn carried_out(&self) -> Vec<OrderCall> {
        self.lock().carried_out.clone()
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, OrderState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Tells what is loaded.
    pub fn tell(&self, request: Request) {
        let loaded = self.lock().loaded.clone();
        reply(request, 200, &loaded);
    }

    /// Takes an order.
    pub fn take(&self, mut request: Request) {
        let call: OrderCall = match read_json(&mut request) {
            Ok(call) => call,
            Err(error) => return reply(request, 400, &serde_json::json!({ "error": error })),
        };
        let mut state = self.lock();
        if state.checks_fencing && call.fencing < state.highest {
            let highest = state.highest;
            drop(state);
            return reply(request, 409, &serde_json::json!({ "error": "old fencing number", "highest": highest }));
        }
        state.highest = state.highest.max(call.fencing);
        state.loaded = call.load.clone();
        state.carried_out.push(call);
        drop(state);
        reply(request, 200, &serde_json::json!({}));
    }
}
