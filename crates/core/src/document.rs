//! The document of an environment: the configuration that operators want the system to have.
//!
//! The source is the INI text that `wasabipierctl promote` writes to the table service. The wire package parses and
//! validates the text; this module defines the validated form, which all parts of a node share unchanged.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use crate::names::{
    AdapterName, DcName, ModelName, Nonce, OrgName, PipelineName, ServiceName, TargetName, VersionName,
};

/// Revision number of an environment's document; 0 stands for no document. Each promotion has a higher one.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Revision(pub u64);

/// Whether operators admit new work to a data centre or a target.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, strum::Display, strum::EnumString)]
#[strum(serialize_all = "kebab-case")]
pub enum Admission {
    /// New work is admitted.
    #[default]
    Open,
    /// No new work is admitted; running work finishes.
    Out,
}

/// Role of a service in pipelines, or `Plain` for a service that belongs to none.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, strum::Display, strum::EnumString)]
#[strum(serialize_all = "kebab-case")]
pub enum ServiceKind {
    /// Turns text into vectors.
    Encode,
    /// Retrieves passages.
    Retrieve,
    /// Reranks passages.
    Rerank,
    /// Generates a stream of tokens.
    Generate,
    /// A plain service: one request, one response.
    #[default]
    Plain,
}

/// Specification of a service: a pool of targets that do the same work.
#[derive(Clone, Debug, PartialEq)]
pub struct ServiceSpec {
    /// Role of the service.
    pub kind: ServiceKind,
    /// Whether a call may be retried after some of its bytes may have been sent.
    pub repeatable: bool,
    /// Time from the arrival of a request that calls the service directly to its default deadline, which is also the
    /// latest that a caller may ask for.
    pub deadline: Duration,
    /// Maximum number of calls in flight at a cold target, summed over all nodes.
    pub cold_limit: u32,
    /// Maximum number of calls in flight at a warm target, summed over all nodes.
    pub warm_limit: u32,
    /// Objective: share of calls that should succeed within their deadline, 0 to 1.
    pub objective: f64,
    /// Version that carries the traffic.
    pub stable: VersionName,
    /// Version that is rolled out or tried, if any.
    pub candidate: Option<CandidateSpec>,
}

impl Default for ServiceSpec {
    fn default() -> Self {
        Self {
            kind: ServiceKind::Plain,
            repeatable: true,
            deadline: Duration::from_secs(6),
            cold_limit: 1,
            warm_limit: 8,
            objective: 0.99,
            stable: VersionName::new("v1"),
            candidate: None,
        }
    }
}

/// Specification of a candidate: a version that is to replace the stable one.
#[derive(Clone, Debug, PartialEq)]
pub struct CandidateSpec {
    /// Version of the candidate.
    pub version: VersionName,
    /// Time from the start of the rollout within which the candidate has to carry all traffic or pass its trial.
    /// Otherwise it is rolled back.
    pub finish_within: Duration,
    /// Share of traffic in the first step, before the candidate has passed any comparison, 0 to 1.
    pub first_share: f64,
    /// Whether the candidate never gets more than the first share, and ends as proved or rolled back.
    pub trial_only: bool,
    /// Number of the attempt, from 1; it increases when operators retry a version that was rolled back.
    pub attempt: u32,
}

/// Specification of a target: an instance of a service at one address.
#[derive(Clone, Debug, PartialEq)]
pub struct TargetSpec {
    /// Service that the target provides.
    pub service: ServiceName,
    /// Version that the target runs.
    pub version: VersionName,
    /// Data centre of the target.
    pub dc: DcName,
    /// IP address and port on which the target listens.
    pub address: SocketAddr,
    /// Whether new work is admitted.
    pub admission: Admission,
    /// Whether the target rejects orders with an outdated fencing number.
    pub checks_fencing: bool,
    /// Model, adapters and role that the target should have loaded; with `None` it gets no load orders.
    pub load: Option<LoadSpec>,
}

impl Default for TargetSpec {
    fn default() -> Self {
        Self {
            service: ServiceName::new(""),
            version: VersionName::new("v1"),
            dc: DcName::new(""),
            address: SocketAddr::from(([0, 0, 0, 0], 0)),
            admission: Admission::Open,
            checks_fencing: false,
            load: None,
        }
    }
}

/// Model, adapters and role that an engine should have loaded.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LoadSpec {
    /// Name of the model.
    pub model: ModelName,
    /// Names of the adapters that are loaded on top of the model.
    pub adapters: Vec<AdapterName>,
    /// Version of the weights.
    pub version: VersionName,
    /// Phases of a generation that the engine runs.
    pub role: EngineRole,
}

/// Phases of a generation that an engine runs: processing the prompt, generating the tokens, or both.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, strum::Display, strum::EnumString)]
#[strum(serialize_all = "kebab-case")]
pub enum EngineRole {
    /// Processes prompts and generates tokens.
    #[default]
    Both,
    /// Processes prompts only, and exports its KV cache.
    Prefill,
    /// Generates tokens only, from an imported KV cache.
    Decode,
}

/// Specification of a pipeline.
#[derive(Clone, Debug, PartialEq)]
pub struct PipelineSpec {
    /// Services of the stages, in order.
    pub stages: Vec<ServiceName>,
    /// Time from the arrival of a request to its default deadline, which is also the latest that a caller may ask for.
    pub deadline: Duration,
    /// Objective: share of requests that should be answered within their deadline, 0 to 1.
    pub objective: f64,
}

/// Specification of a data centre.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct DcSpec {
    /// Region of the data centre.
    pub region: Arc<str>,
    /// Whether new work is admitted to the targets of the data centre.
    pub admission: Admission,
}

/// Specification of an organisation.
#[derive(Clone, Debug, PartialEq)]
pub struct OrgSpec {
    /// Weight in fair queuing; weight 2 gets twice the share of weight 1.
    pub weight: f64,
}

impl Default for OrgSpec {
    fn default() -> Self {
        Self { weight: 1.0 }
    }
}

/// Validated content of a document.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Document {
    /// Name of the environment.
    pub environment: Arc<str>,
    /// Number of seats. A seat is the right to a fixed share of each target's limit. The number is also the limit of
    /// node instances that serve at the same time.
    pub seats: u32,
    /// Limit of model loads from the weight store that all targets together start per minute.
    pub loads_per_minute: u32,
    /// Data centres by name.
    pub dcs: BTreeMap<DcName, DcSpec>,
    /// Organisations by name; requests of other organisations are refused.
    pub orgs: BTreeMap<OrgName, OrgSpec>,
    /// Services by name.
    pub services: BTreeMap<ServiceName, ServiceSpec>,
    /// Targets by name.
    pub targets: BTreeMap<TargetName, TargetSpec>,
    /// Pipelines by name.
    pub pipelines: BTreeMap<PipelineName, PipelineSpec>,
}

impl Document {
    /// Returns whether operators admit new work to both `target` and its data centre.
    #[must_use]
    pub fn admits(&self, target: &TargetSpec) -> bool {
        let dc_open = self.dcs.get(&target.dc).is_some_and(|dc| dc.admission == Admission::Open);
        dc_open && target.admission == Admission::Open
    }
}

/// An accepted document with its revision and source text.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct AcceptedDocument {
    /// Revision under which the document was accepted.
    pub revision: Revision,
    /// Nonce of the promotion, by which a read tells whether a write with a lost answer took effect.
    pub nonce: Nonce,
    /// Author of the promotion.
    pub author: Arc<str>,
    /// INI source text as it was promoted.
    pub text: Arc<str>,
    /// Content of `text` after validation.
    pub content: Document,
}
