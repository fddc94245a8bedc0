//! The document: the configuration of the relay that operators promote, with its routes, services, organisations and
//! limits. A node checks a document when it reads it.

use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;
use std::time::Duration;

use crate::names::{OrgName, ServiceName};

/// Whether a request may be retried, and whether its answer is a stream.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "kebab-case")]
pub enum RetryPolicy {
    /// The request may run any number of times.
    Idempotent,
    /// The request runs at most once.
    #[default]
    AtMostOnce,
    /// The request runs at most once and is answered with a stream of events.
    Stream,
    /// The request is answered with a stream of events that another target can continue.
    ResumableStream,
}

impl RetryPolicy {
    /// Returns whether the request may be sent again after a byte of it may have been sent.
    #[must_use]
    pub fn is_retryable(self) -> bool {
        matches!(self, Self::Idempotent | Self::ResumableStream)
    }

    /// Returns whether the answer is a stream of events.
    #[must_use]
    pub fn is_stream(self) -> bool {
        matches!(self, Self::Stream | Self::ResumableStream)
    }
}

/// A preparation stage of a route: work on pieces of the request, whose results the final call or other stages need.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StageSpec {
    /// Service that processes the pieces of the stage.
    pub service: ServiceName,
    /// Indexes, within the route, of the stages whose results this stage needs.
    pub input_stages: Vec<usize>,
    /// Approximate size of the result of one piece in bytes.
    pub result_bytes: u64,
}

/// A service of a route with its share of the requests.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WeightedService {
    /// Name of the service.
    pub service: ServiceName,
    /// Share of the route's requests, relative to the weights of its other services. 0 means none.
    pub weight: u32,
}

/// A route: which requests it matches and how they are handled.
#[derive(Clone, Debug, PartialEq)]
pub struct RelayRoute {
    /// Name for logs and metrics.
    pub name: Arc<str>,
    /// Host that requests must name, without a port. If it is in lower case, requests may name it in any case.
    pub host: Arc<str>,
    /// Prefix that the paths of requests must have. It ends with a slash.
    pub prefix: Arc<str>,
    /// Whether requests may be retried, and the type of their answers.
    pub retry_policy: RetryPolicy,
    /// Services that requests are distributed to at random, by weight.
    pub services: Vec<WeightedService>,
    /// Maximum number of attempts of a request that may have run at a target.
    pub max_attempts: u32,
    /// Maximum time from the arrival of a request to its answer.
    pub timeout: Duration,
    /// Latency objective: the time from the arrival of a request within which its answer is worth the full price.
    pub objective: Duration,
    /// Priority rank of requests whose organisation has none. 0 is the most urgent.
    pub rank: u8,
    /// Whether requests need no API key.
    pub public: bool,
    /// Preparation stages. They refer to each other by their index in this list.
    pub stages: Vec<StageSpec>,
}

impl Default for RelayRoute {
    fn default() -> Self {
        Self {
            name: Arc::from(""),
            host: Arc::from(""),
            prefix: Arc::from("/"),
            retry_policy: RetryPolicy::AtMostOnce,
            services: Vec::new(),
            max_attempts: 1,
            timeout: Duration::from_secs(10),
            objective: Duration::from_secs(1),
            rank: 0,
            public: false,
            stages: Vec::new(),
        }
    }
}

/// How the targets of a stage service process pieces.
#[derive(Clone, Debug, PartialEq)]
pub struct BatchSpec {
    /// Maximum number of calls that a target gets at once.
    pub slots: u32,
    /// Maximum number of pieces in a call.
    pub max_pieces: usize,
    /// Fixed time of a call, whatever its number of pieces.
    pub fixed_call_time: Duration,
    /// Additional time of a call for each piece.
    pub piece_time: Duration,
    /// Maximum total size in bytes of the results that a target can store.
    pub storage_bytes: u64,
    /// Time after which a target drops a result, unless it is freed before.
    pub result_ttl: Duration,
}

impl Default for BatchSpec {
    fn default() -> Self {
        Self {
            slots: 1,
            max_pieces: 1,
            fixed_call_time: Duration::from_millis(100),
            piece_time: Duration::from_millis(10),
            storage_bytes: u64::MAX,
            result_ttl: Duration::from_secs(4),
        }
    }
}

/// How many targets of a service the nodes may order.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ScalingSpec {
    /// Minimum number of targets in a data centre.
    pub min_targets: u32,
    /// Maximum number of targets in a data centre. It is not below `min_targets`.
    pub max_targets: u32,
    /// Time from an order until a new target serves.
    pub boot_time: Duration,
}

/// Settings of a service.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct RelayService {
    /// Requests per second that a cold target can take from all nodes together. 0 means no limit.
    pub cold_rate: f64,
    /// Time for which a target is cold after its start.
    pub warm_up: Duration,
    /// Path at which targets tell of their health, if they do.
    pub health_path: Option<Arc<str>>,
    /// Batch settings if the targets process pieces of stages, otherwise `None`.
    pub batch: Option<BatchSpec>,
    /// Whether the targets are engines, which process prompts.
    pub has_engines: bool,
    /// Limits within which the nodes order the number of targets, or `None` if it is fixed.
    pub scaling: Option<ScalingSpec>,
}

/// Largest head of a request in bytes that nodes read, whatever the document allows.
pub const MAX_REQUEST_HEAD_BYTES: usize = 1024 * 1024;

/// Limits on the size of requests and on the time for which connections may be silent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CallerLimits {
    /// Maximum size of a request's head in bytes.
    pub max_header_bytes: usize,
    /// Maximum size of a request's body in bytes.
    pub max_body_bytes: usize,
    /// Maximum time for the head of a request to arrive.
    pub header_timeout: Duration,
    /// Maximum time for which a caller's connection may be idle.
    pub idle_timeout: Duration,
}

impl Default for CallerLimits {
    /// Returns the limits in force until a document sets others. They are small enough for a VM of 160 MB.
    fn default() -> Self {
        Self {
            max_header_bytes: 16 * 1024,
            max_body_bytes: 4 * 1024 * 1024,
            header_timeout: Duration::from_secs(3),
            idle_timeout: Duration::from_secs(15),
        }
    }
}

/// An organisation with its API keys.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct KeyHolder {
    /// Name of the organisation, which is sent to targets.
    pub org: OrgName,
    /// API keys that the organisation's callers use.
    pub keys: Vec<Arc<str>>,
    /// Priority rank of the organisation's requests. `None` means the rank of the route.
    pub rank: Option<u8>,
}

/// A document as operators write it.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct RelayDocument {
    /// Version number, which increases with each change.
    pub version: u64,
    /// Routes. For a request, the one with the longest matching prefix applies.
    pub routes: Vec<RelayRoute>,
    /// Services by name.
    pub services: BTreeMap<ServiceName, RelayService>,
    /// Limits on callers' requests and connections.
    pub caller_limits: CallerLimits,
    /// Organisations with their API keys. `None` if the document does not restrict access: then no request needs a key. An
    /// empty list, or organisations without keys, grant access to public routes only.
    pub holders: Option<Vec<KeyHolder>>,
}

/// Why a document is invalid.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum DocumentFault {
    /// Some stages of a route depend on each other in a cycle, or on a stage that does not exist.
    #[error("stages of route `{0}` can never all start: have each one follow only stages that are there before it")]
    StageCycle(Arc<str>),
}

impl RelayDocument {
    /// Checks that all stages of each route can start. Requests of a route with other stages would never end.
    ///
    /// # Errors
    ///
    /// Returns the fault of the first invalid route.
    pub fn check(&self) -> Result<(), DocumentFault> {
        match self.routes.iter().find(|route| !all_can_start(&route.stages)) {
            Some(route) => Err(DocumentFault::StageCycle(route.name.clone())),
            None => Ok(()),
        }
    }
}

/// Returns whether every stage can start, given that a stage starts once all stages whose results it needs are done.
fn all_can_start(stages: &[StageSpec]) -> bool {
    let mut done = vec![false; stages.len()];
    for _ in stages {
        for (index, stage) in stages.iter().enumerate() {
            let has_inputs = stage.input_stages.iter().all(|other| done.get(*other).copied().unwrap_or_default());
            done[index] = done[index] || has_inputs;
        }
    }
    done.into_iter().all(|done| done)
}

/// Organisation and its priority rank by API key.
type KeyTable = HashMap<Arc<str>, (OrgName, Option<u8>)>;

/// The content of a document, with lookup tables for routes and API keys.
#[derive(Clone, Debug, Default)]
pub struct DocumentIndex {
    /// Version of the document. 0 means that there is no document.
    pub version: u64,
    /// Services by name.
    pub services: BTreeMap<ServiceName, RelayService>,
    /// Limits on callers' requests and connections.
    pub caller_limits: CallerLimits,
    /// Routes by host, longest prefix first.
    routes: HashMap<Arc<str>, Vec<Arc<RelayRoute>>>,
    /// Holders of API keys; `None` if no request needs a key.
    holders: Option<KeyTable>,
}

impl DocumentIndex {
    /// Builds the lookup tables of a document.
    #[must_use]
    pub fn new(document: RelayDocument) -> Self {
        let mut routes: HashMap<Arc<str>, Vec<Arc<RelayRoute>>> = HashMap::new();
        for route in document.routes {
            routes.entry(route.host.clone()).or_default().push(Arc::new(route));
        }
        for host_routes in routes.values_mut() {
            host_routes.sort_by_key(|route| std::cmp::Reverse(route.prefix.len()));
        }
        let keys_of = |holder: KeyHolder| {
            let (org, rank) = (holder.org, holder.rank);
            holder.keys.into_iter().map(move |key| (key, (org.clone(), rank)))
        };
        Self {
            version: document.version,
            services: document.services,
            caller_limits: document.caller_limits,
            routes,
            holders: document.holders.map(|holders| holders.into_iter().flat_map(keys_of).collect()),
        }
    }

    /// Returns the routes of all hosts.
    pub fn routes(&self) -> impl Iterator<Item = &RelayRoute> {
        self.routes.values().flatten().map(AsRef::as_ref)
    }

    /// Returns the route of `host` with the longest prefix that matches `path`, or `None` if there is none. A port in
    /// `host` is ignored. A host that no route has is looked up in lower case too.
    #[must_use]
    pub fn route(&self, host: &str, path: &str) -> Option<&Arc<RelayRoute>> {
        let name = host.rsplit_once(':').map_or(host, |(name, _)| name);
        let host_routes = self.routes.get(name).or_else(|| self.routes.get(name.to_ascii_lowercase().as_str()))?;
        host_routes.iter().find(|route| path.starts_with(&*route.prefix))
    }

    /// Returns the organisation that holds the API key `key`, and the organisation's priority rank if it has one.
    /// Returns `None` if no organisation holds the key.
    #[must_use]
    pub fn holder(&self, key: &str) -> Option<&(OrgName, Option<u8>)> {
        self.holders.as_ref()?.get(key)
    }

    /// Returns whether requests need a key, also if there is no key that any of them could have.
    #[must_use]
    pub fn requires_keys(&self) -> bool {
        self.holders.is_some()
    }
}
