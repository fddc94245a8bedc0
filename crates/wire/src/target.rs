//! JSON bodies and headers that nodes exchange with targets.
//!
//! Model engines use the common completions protocol: they reply to `POST /v1/completions` with server-sent events,
//! one JSON object each, followed by `[DONE]`. Targets of all other services reply with one JSON object to
//! `POST /v1/encode`, `/v1/retrieve`, `/v1/rerank` or `/v1/call`.

use serde::{Deserialize, Serialize};
use wasabipier_core::document::{EngineSpec, ServiceKind};
use wasabipier_core::names::{AdapterName, InstanceId, ModelName, VersionName};
use wasabipier_core::outcome::{LoadReport, Usage};

/// Header with the position of the stage in the pipeline, from 0.
pub const STAGE_HEADER: &str = "x-stage";
/// Header with the number of the attempt within the request, from 1.
pub const ATTEMPT_HEADER: &str = "x-attempt";
/// Header that marks a copy of a call as shadow traffic, whose answer is discarded.
pub const SHADOW_HEADER: &str = "x-shadow";
/// Data of the last event of a stream.
pub const STREAM_END: &str = "[DONE]";

/// Returns the path that calls to a kind of service are sent to.
#[must_use]
pub fn service_path(kind: ServiceKind) -> &'static str {
    match kind {
        ServiceKind::Encode => "/v1/encode",
        ServiceKind::Retrieve => "/v1/retrieve",
        ServiceKind::Rerank => "/v1/rerank",
        ServiceKind::Generate => "/v1/completions",
        ServiceKind::Plain => "/v1/call",
    }
}

/// Body of a call to a target of any service but a model engine.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct StageCall {
    /// Body of the caller's request, as JSON.
    pub request: serde_json::Value,
    /// Answer of the previous stage; null at the first stage.
    pub previous: serde_json::Value,
}

/// Body of a call to a model engine.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct CompletionCall {
    /// Text that the engine continues.
    pub prompt: String,
    /// Requests a streamed answer; always true.
    pub stream: bool,
    /// Number of tokens that the caller has received, which is the position of the stream's first token.
    pub resume_from: u32,
    /// Time left until the deadline, in milliseconds.
    pub deadline_ms: u64,
}

/// One event of a stream: a token, or the end of the stream if a choice has a `finish_reason`.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct CompletionChunk {
    /// One choice that holds the token's text.
    pub choices: Vec<CompletionChoice>,
    /// Usage of the call, in the last event.
    #[serde(skip_serializing_if = "Option::is_none", default)]
    pub usage: Option<WireUsage>,
    /// Load of the engine, in the last event.
    #[serde(skip_serializing_if = "Option::is_none", default)]
    pub load: Option<WireLoad>,
}

/// Choice in a [`CompletionChunk`].
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct CompletionChoice {
    /// Position of the token in the whole answer, from 0.
    pub token_index: u32,
    /// Text of the token.
    pub text: String,
    /// `stop` in the last event, absent before.
    #[serde(skip_serializing_if = "Option::is_none", default)]
    pub finish_reason: Option<String>,
}

/// Reply to a [`StageCall`].
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct StageReply {
    /// Result of the stage.
    pub result: serde_json::Value,
    /// Usage of the call.
    pub usage: WireUsage,
    /// Load of the target.
    pub load: WireLoad,
}

/// A [`StageReply`] as it was received. Its result stays as it is: decoded, it can take many times the memory of its text.
#[derive(Clone, Copy, Debug, Deserialize)]
pub struct ReceivedReply<'a> {
    /// Result of the stage.
    #[serde(borrow)]
    pub result: &'a serde_json::value::RawValue,
    /// Usage of the call.
    pub usage: WireUsage,
    /// Load of the target.
    pub load: WireLoad,
}

/// Path of an engine that takes orders to load a model, as a `POST`.
pub const LOAD_ORDERS_PATH: &str = "/v1/orders";
/// Path of an engine that returns the model and adapters that it has loaded.
pub const STATE_PATH: &str = "/v1/state";

/// Order for an engine to load a model and adapters.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadOrderCall {
    /// Fencing number of the sender's lease. Engines that check it refuse a number lower than one that they have seen,
    /// with status 409.
    pub fencing: u64,
    /// Model and adapters to load.
    pub load: WireLoadSpec,
}

/// Model, adapters and role that an engine has loaded or is ordered to load.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct WireLoadSpec {
    /// Name of the model.
    pub model: String,
    /// Names of the adapters.
    pub adapters: Vec<String>,
    /// Version of the weights.
    pub version: String,
    /// Role of the engine: `both`, `prefill` or `decode`.
    pub role: String,
}

impl From<&EngineSpec> for WireLoadSpec {
    fn from(spec: &EngineSpec) -> Self {
        Self {
            model: spec.model.to_string(),
            adapters: spec.adapters.iter().map(ToString::to_string).collect(),
            version: spec.version.to_string(),
            role: spec.role.to_string(),
        }
    }
}

impl From<WireLoadSpec> for EngineSpec {
    /// Converts the spec. A role that this release does not know becomes the default role, so that the engine is
    /// ordered again.
    fn from(wire: WireLoadSpec) -> Self {
        Self {
            model: ModelName::new(wire.model),
            adapters: wire.adapters.into_iter().map(AdapterName::new).collect(),
            version: VersionName::new(wire.version),
            role: wire.role.parse().unwrap_or_default(),
        }
    }
}

/// Usage of a call.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct WireUsage {
    /// Number of tokens or items that the target read.
    pub prompt_tokens: u64,
    /// Number of tokens or items that the target produced.
    pub completion_tokens: u64,
}

impl From<WireUsage> for Usage {
    fn from(wire: WireUsage) -> Self {
        Self { input_units: wire.prompt_tokens, output_units: wire.completion_tokens }
    }
}

/// Load that a target reports.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct WireLoad {
    /// Number that identifies the run of the target's process.
    pub instance: u64,
    /// Number of calls that the target is running.
    pub in_flight: u32,
    /// Time since the target took these figures, in milliseconds.
    pub age_ms: u32,
    /// Whether the target reports itself as warm.
    pub warm: bool,
}

impl From<WireLoad> for LoadReport {
    fn from(wire: WireLoad) -> Self {
        Self { instance: InstanceId(wire.instance), in_flight: wire.in_flight, age_ms: wire.age_ms, warm: wire.warm }
    }
}
