//! The document of an environment: what operators want the system to be.
//!
//! Source: the INI text that `wasabipierctl promote` writes to the table service. The wire package
//! parses and checks it; this is its checked form, shared unchanged by everything in a node.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use crate::names::{
    AdapterName, DcName, ModelName, Nonce, OrgName, PipelineName, ServiceName, TargetName, VersionName,
};

/// A count of accepted changes of an environment's document; it only grows.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Revision(pub u64);

/// Whether operators let work go to a data centre or a target.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, strum::Display, strum::EnumString)]
#[strum(serialize_all = "kebab-case")]
pub enum Admission {
    /// New work may go there.
    #[default]
    Open,
    /// No new work; running work ends.
    Out,
}

/// What a service does for a pipeline, or that it stands beside them.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, strum::Display, strum::EnumString)]
#[strum(serialize_all = "kebab-case")]
pub enum ServiceKind {
    /// Turns text into vectors.
    Encode,
    /// Finds passages.
    Retrieve,
    /// Orders passages.
    Rerank,
    /// Generates a stream of tokens.
    Generate,
    /// A plain service, called once and answered once.
    #[default]
    Plain,
}

/// One service: a pool of targets that do the same work.
#[derive(Clone, Debug, PartialEq)]
pub struct ServiceSpec {
    /// What the service does.
    pub kind: ServiceKind,
    /// Whether a call may be sent again after a byte of it may have left.
    pub repeatable: bool,
    /// Deadline of a direct call that names none.
    pub deadline: Duration,
    /// Calls in flight that a cold target bears, over all nodes.
    pub cold_limit: u32,
    /// Calls in flight that a warm target bears, over all nodes.
    pub warm_limit: u32,
    /// Share of calls that shall end well within their deadline.
    pub objective: f64,
    /// The version that carries the traffic.
    pub stable: VersionName,
    /// A version on trial for promotion, if any.
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

/// A version that shall take over from the stable one.
#[derive(Clone, Debug, PartialEq)]
pub struct CandidateSpec {
    /// The version.
    pub version: VersionName,
    /// Time from acceptance of the document by which it carries all traffic or is taken back.
    pub finish_within: Duration,
    /// Largest share of traffic that it gets before it has proved itself, 0 to 1.
    pub first_share: f64,
    /// Whether it gets no more than the first share, to be proved or taken back.
    pub trial_only: bool,
    /// Counts up when operators try a version again that was taken back.
    pub attempt: u32,
}

/// One target.
#[derive(Clone, Debug, PartialEq)]
pub struct TargetSpec {
    /// The service that it carries.
    pub service: ServiceName,
    /// The version that it runs.
    pub version: VersionName,
    /// Where it stands.
    pub dc: DcName,
    /// Where it listens, by IP number.
    pub address: SocketAddr,
    /// Whether new work may go there.
    pub admission: Admission,
    /// Whether it refuses orders with an old fencing number.
    pub checks_fencing: bool,
    /// What it shall have loaded; none: it is not ordered about.
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

/// What an engine shall have loaded, and as what it shall serve.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LoadSpec {
    /// The model.
    pub model: ModelName,
    /// Adapters, by name.
    pub adapters: Vec<AdapterName>,
    /// Version of the weights.
    pub version: VersionName,
    /// Its part in serving.
    pub role: EngineRole,
}

/// The part that an engine takes in serving.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, strum::Display, strum::EnumString)]
#[strum(serialize_all = "kebab-case")]
pub enum EngineRole {
    /// Reads prompts and makes tokens.
    #[default]
    Both,
    /// Reads prompts only, and exports its cache.
    Prefill,
    /// Makes tokens only, from an imported cache.
    Decode,
}

/// One pipeline.
#[derive(Clone, Debug, PartialEq)]
pub struct PipelineSpec {
    /// Its stages in order.
    pub stages: Vec<ServiceName>,
    /// Longest deadline that a caller may ask for, and the default.
    pub deadline: Duration,
    /// Share of requests that shall be answered within their deadline.
    pub objective: f64,
}

/// One data centre.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct DcSpec {
    /// Region it belongs to.
    pub region: Arc<str>,
    /// Whether new work may go to its targets.
    pub admission: Admission,
}

/// One organisation.
#[derive(Clone, Debug, PartialEq)]
pub struct OrgSpec {
    /// Weight in fair queuing; an organisation of weight 2 gets twice the share of weight 1.
    pub weight: f64,
}

impl Default for OrgSpec {
    fn default() -> Self {
        Self { weight: 1.0 }
    }
}

/// The whole document, checked.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Document {
    /// Name of the environment.
    pub environment: Arc<str>,
    /// Most node instances that may serve at once; each target's limit is split into this many shares.
    pub seats: u32,
    /// Loads from the weight store that all targets together may start in a minute.
    pub loads_per_minute: u32,
    /// Data centres by name.
    pub dcs: BTreeMap<DcName, DcSpec>,
    /// Organisations by name; others are refused.
    pub orgs: BTreeMap<OrgName, OrgSpec>,
    /// Services by name.
    pub services: BTreeMap<ServiceName, ServiceSpec>,
    /// Targets by name.
    pub targets: BTreeMap<TargetName, TargetSpec>,
    /// Pipelines by name.
    pub pipelines: BTreeMap<PipelineName, PipelineSpec>,
}

impl Document {
    /// Whether new work may go to `target`, as far as operators say.
    #[must_use]
    pub fn admits(&self, target: &TargetSpec) -> bool {
        let dc_open = self.dcs.get(&target.dc).is_some_and(|dc| dc.admission == Admission::Open);
        dc_open && target.admission == Admission::Open
    }
}

/// A document that was accepted, with its revision and source text.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct AcceptedDocument {
    /// Revision under which it was accepted.
    pub revision: Revision,
    /// Marks this promotion, so that a lost answer can be settled by a read.
    pub nonce: Nonce,
    /// Who promoted it.
    pub author: Arc<str>,
    /// The INI text, passed on unchanged.
    pub text: Arc<str>,
    /// The checked content.
    pub content: Document,
}
