//! Stand-in for a target that streams nothing: of an encoder, retriever, reranker or plain service.

use std::thread;

use tiny_http::Request;
use wasabipier_wire::target::{StageCall, StageReply, WireUsage};

use crate::faults::FaultSwitch;
use crate::link::FaultyLink;
use crate::server::{FakeHandler, header_value, read_json, reply};
use crate::target::{TargetSettings, TargetState};

/// Handler of a target that streams nothing: answers each call with one JSON body.
#[derive(Debug)]
pub struct FakeService {
    /// Load, faults and counters of the target.
    pub state: TargetState,
}

impl FakeService {
    /// Creates a cold target.
    #[must_use]
    pub fn new(settings: TargetSettings, link: FaultyLink) -> Self {
        Self { state: TargetState::new(settings, link) }
    }
}

impl FakeHandler for FakeService {
    fn handle(&self, mut request: Request) {
        let path = request.url().to_owned();
        if path == "/v1/load" {
            return reply(request, 200, &self.state.load());
        }
        let call: StageCall = match read_json(&mut request) {
            Ok(call) => call,
            Err(error) => return reply(request, 400, &serde_json::json!({ "error": error })),
        };
        let content = call.request.to_string();
        let Some(request) = self.state.begin_call(request, &content) else { return };
        thread::sleep(self.state.current_work_duration());
        self.state.record_run(&request);
        let answer = StageReply {
            result: compute_result(&path, &call, &request),
            usage: WireUsage { prompt_tokens: content.len() as u64 / 4, completion_tokens: 1 },
            load: self.state.load(),
        };
        self.state.end_call();
        if self.state.faults.get().lose_answers {
            // Keeps the connection open, so that the node waits for an answer that never comes.
            std::mem::forget(request.into_writer());
            return;
        }
        reply(request, 200, &answer);
    }

    fn stats(&self) -> serde_json::Value {
        self.state.stats()
    }

    fn faults(&self) -> &FaultSwitch {
        &self.state.faults
    }
}

/// Returns the result of a call to `path`. A path that is not of an encoder, retriever or reranker is that of a plain
/// service, whose result has the call's body and request id.
fn compute_result(path: &str, call: &StageCall, request: &Request) -> serde_json::Value {
    match path {
        "/v1/encode" => {
            let request_sum: u64 = call.request.to_string().bytes().map(u64::from).sum();
            serde_json::json!({ "vector": [request_sum % 97, request_sum % 89, request_sum % 83] })
        }
        "/v1/retrieve" => serde_json::json!({ "passages": ["opening hours", "coaches", "lanes at dusk"] }),
        "/v1/rerank" => {
            let mut passages = call.previous["passages"].as_array().cloned().unwrap_or_default();
            passages.reverse();
            serde_json::json!({ "passages": passages })
        }
        _ => serde_json::json!({ "accepted": call.request, "reference": header_value(request, "x-request-id") }),
    }
}
