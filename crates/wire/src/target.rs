//! JSON towards targets.
//!
//! Engines speak the usual streaming protocol of model engines: `POST /v1/completions` answered by
//! server-sent events, one JSON object each, then `[DONE]`. Pools and plain services answer one JSON
//! object to `POST /v1/encode`, `/v1/retrieve`, `/v1/rerank` or `/v1/call`.

use serde::{Deserialize, Serialize};
use wasabipier_core::document::{LoadSpec, ServiceKind};
use wasabipier_core::names::{AdapterName, InstanceId, ModelName, VersionName};
use wasabipier_core::outcome::{LoadReport, Usage};

/// Header with the position of the stage.
pub const STAGE_HEADER: &str = "x-stage";
/// Header with the attempt's number within the request.
pub const ATTEMPT_HEADER: &str = "x-attempt";
/// Header that marks a copy, whose answer is dropped.
pub const SHADOW_HEADER: &str = "x-shadow";
/// Last event of a stream.
pub const STREAM_END: &str = "[DONE]";

/// Path for a kind of service.
#[must_use]
pub fn path(kind: ServiceKind) -> &'static str {
    match kind {
        ServiceKind::Encode => "/v1/encode",
        ServiceKind::Retrieve => "/v1/retrieve",
        ServiceKind::Rerank => "/v1/rerank",
        ServiceKind::Generate => "/v1/completions",
        ServiceKind::Plain => "/v1/call",
    }
}

/// A call to a pool or a plain service.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct StageCall {
    /// The caller's body.
    pub request: serde_json::Value,
    /// Answer of the stage before, or null.
    pub previous: serde_json::Value,
}

/// A call to an engine.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct CompletionCall {
    /// Text to go on from.
    pub prompt: String,
    /// Always true.
    pub stream: bool,
    /// Tokens that the caller has already; the stream starts at this one.
    pub resume_from: u32,
    /// Milliseconds left.
    pub deadline_ms: u64,
}

/// One event of a stream: a token, or with `finish_reason` its end.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct CompletionChunk {
    /// One choice with the text.
    pub choices: Vec<CompletionChoice>,
    /// What the request used, in the last event.
    #[serde(skip_serializing_if = "Option::is_none", default)]
    pub usage: Option<WireUsage>,
    /// Load, in the last event.
    #[serde(skip_serializing_if = "Option::is_none", default)]
    pub load: Option<WireLoad>,
}

/// One choice.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct CompletionChoice {
    /// Position of the token in the whole answer, from 0.
    pub token_index: u32,
    /// Its text.
    pub text: String,
    /// `stop` in the last event.
    #[serde(skip_serializing_if = "Option::is_none", default)]
    pub finish_reason: Option<String>,
}

/// Answer of a pool or a plain service.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct StageReply {
    /// The result.
    pub result: serde_json::Value,
    /// What it used.
    pub usage: WireUsage,
    /// Load.
    pub load: WireLoad,
}

/// Path of orders to engines.
pub const ORDERS_PATH: &str = "/v1/orders";
/// Path at which engines tell what they have loaded.
pub const STATE_PATH: &str = "/v1/state";

/// An order to an engine.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct OrderCall {
    /// Fencing number; engines that check it refuse a lower one than they have seen, with status 409.
    pub fencing: u64,
    /// What it shall have loaded.
    pub load: WireLoadSpec,
}

/// What an engine has, or shall have, loaded.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct WireLoadSpec {
    /// Model.
    pub model: String,
    /// Adapters.
    pub adapters: Vec<String>,
    /// Version of the weights.
    pub version: String,
    /// `both`, `prefill` or `decode`.
    pub role: String,
}

impl From<&LoadSpec> for WireLoadSpec {
    fn from(spec: &LoadSpec) -> Self {
        Self {
            model: spec.model.to_string(),
            adapters: spec.adapters.iter().map(ToString::to_string).collect(),
            version: spec.version.to_string(),
            role: spec.role.to_string(),
        }
    }
}

impl From<WireLoadSpec> for LoadSpec {
    /// A role that this version does not know counts as the default one, and is then ordered anew.
    fn from(wire: WireLoadSpec) -> Self {
        Self {
            model: ModelName::new(wire.model),
            adapters: wire.adapters.into_iter().map(AdapterName::new).collect(),
            version: VersionName::new(wire.version),
            role: wire.role.parse().unwrap_or_default(),
        }
    }
}

/// What a call used.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct WireUsage {
    /// Tokens or items read.
    pub prompt_tokens: u64,
    /// Tokens or items made.
    pub completion_tokens: u64,
}

impl From<WireUsage> for Usage {
    fn from(wire: WireUsage) -> Self {
        Self { input_units: wire.prompt_tokens, output_units: wire.completion_tokens }
    }
}

/// What a target says of its load.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct WireLoad {
    /// Run of the target's process.
    pub instance: u64,
    /// Calls running.
    pub in_flight: u32,
    /// Age of the figures in milliseconds.
    pub age_ms: u32,
    /// Whether it calls itself warm.
    pub warm: bool,
}

impl From<WireLoad> for LoadReport {
    fn from(wire: WireLoad) -> Self {
        Self { instance: InstanceId(wire.instance), in_flight: wire.in_flight, age_ms: wire.age_ms, warm: wire.warm }
    }
}
