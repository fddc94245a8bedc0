//! The relay's document: routes, services, organisations and limits, with the checks that a node runs on reading it.

use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;
use std::time::Duration;

use crate::names::{OrgName, ServiceName};

/// Whether a request may be retried, and whether its answer is a stream.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "kebab-case")]
pub enum RetryPolicy {
    /// May run any number of times.
    Idempotent,
    /// Runs at most once.
    #[default]
    AtMostOnce,
    /// Runs at most once and answers with a stream of events.
    Stream,
    /// Answers with a stream of events that another target can continue.
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

/// One preparation stage of a route.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StageSpec {
    /// Service that processes the pieces of the stage.
    pub service: ServiceName,
    /// Indexes of the stages whose results this stage needs.
    pub after: Vec<usize>,
    /// Approximate size of one result in bytes.
    pub result_bytes: u64,
}

/// A service of a route with its share of the requests.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WeightedService {
    /// Name of the service.
    pub service: ServiceName,
    /// Weight relative to the other services of the route.
    pub weight: u32,
}

/// A route: which requests it matches and how they are handled.
#[derive(Clone, Debug, PartialEq)]
pub struct RelayRoute {
    /// Name for logs and metrics.
    pub name: Arc<str>,
    /// Host that callers name.
    pub host: Arc<str>,
    /// Path prefix, with a slash at its end.
    pub prefix: Arc<str>,
    /// Whether requests may be retried, and the type of their answers.
    pub kind: RetryPolicy,
    /// Services that requests are distributed to.
    pub services: Vec<WeightedService>,
    /// Maximum number of targets that may run one request.
    pub max_attempts: u32,
    /// Maximum time until a request is answered.
    pub timeout: Duration,
    /// Latency objective: the time within which an answer is worth its full price.
    pub objective: Duration,
    /// Priority rank. 0 is the most urgent.
    pub rank: u8,
    /// Whether requests need no key.
    pub public: bool,
    /// Preparation stages. They refer to each other by index.
    pub stages: Vec<StageSpec>,
}

impl Default for RelayRoute {
    fn default() -> Self {
        Self {
            name: Arc::from(""),
            host: Arc::from(""),
            prefix: Arc::from("/"),
            kind: RetryPolicy::AtMostOnce,
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
    /// Number of calls that a target processes at once.
    pub slots: u32,
    /// Maximum number of pieces in a call.
    pub max_pieces: usize,
    /// Fixed time of a call, whatever its number of pieces.
    pub call_time: Duration,
    /// Additional time of a call for each piece.
    pub piece_time: Duration,
    /// Bytes of results that a target can store.
    pub storage_bytes: u64,
    /// Time after which a target drops a result.
    pub result_ttl: Duration,
}

impl Default for BatchSpec {
    fn default() -> Self {
        Self {
            slots: 1,
            max_pieces: 1,
            call_time: Duration::from_millis(100),
            piece_time: Duration::from_millis(10),
            storage_bytes: u64::MAX,
            result_ttl: Duration::from_secs(4),
        }
    }
}

/// Settings of a service.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct RelayService {
    /// Requests per second that a cold target can take from all nodes together. 0 means no limit.
    pub cold_rate: f64,
    /// Batch settings, if the targets process pieces of stages.
    pub batch: Option<BatchSpec>,
}

/// Limits on what callers may send.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ClientLimits {
    /// Maximum size of a request's head in bytes.
    pub header_bytes: usize,
    /// Maximum size of a request's body in bytes.
    pub body_bytes: usize,
    /// Maximum time for a head to arrive.
    pub header_timeout: Duration,
    /// Maximum time for which a connection may be idle.
    pub idle_timeout: Duration,
}

impl Default for ClientLimits {
    /// Returns the limits in force until a document sets others. They are small enough for a VM of 160 MB.
    fn default() -> Self {
        Self {
            header_bytes: 16 * 1024,
            body_bytes: 4 * 1024 * 1024,
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
    /// API keys of its callers.
    pub keys: Vec<Arc<str>>,
    /// Priority rank of its requests, which replaces the rank of the route.
    pub rank: Option<u8>,
}

/// The whole document.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct RelayDocument {
    /// Version number, which increases with each change.
    pub version: u64,
    /// Routes.
    pub routes: Vec<RelayRoute>,
    /// Services by name.
    pub services: BTreeMap<ServiceName, RelayService>,
    /// Limits for callers.
    pub limits: ClientLimits,
    /// Organisations. If there are none, no request needs a key.
    pub holders: Vec<KeyHolder>,
}

/// Why a document is invalid.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum DocumentFault {
    /// Some stages of a route depend on each other in a cycle, or on a stage that does not exist.
    #[error("stages of route `{0}` can never all start: have each one follow only stages that are there before it")]
    StageCycle(Arc<str>),
}

impl RelayDocument {
    /// Checks the document for faults because of which requests would never end.
    ///
    /// # Errors
    ///
    /// Returns the first fault.
    pub fn check(&self) -> Result<(), DocumentFault> {
        match self.routes.iter().find(|route| !all_can_start(&route.stages)) {
            Some(route) => Err(DocumentFault::StageCycle(route.name.clone())),
            None => Ok(()),
        }
    }
}

/// Returns whether every stage starts at some time, given that a stage starts once those that it follows are done.
fn all_can_start(stages: &[StageSpec]) -> bool {
    let mut done = vec![false; stages.len()];
    for _ in stages {
        for (at, stage) in stages.iter().enumerate() {
            let follows_done = stage.after.iter().all(|other| done.get(*other).copied().unwrap_or_default());
            done[at] = done[at] || follows_done;
        }
    }
    done.into_iter().all(|done| done)
}

/// A document with its lookup tables.
#[derive(Clone, Debug, Default)]
pub struct DocumentIndex {
    /// Version of the document.
    pub version: u64,
    /// Services by name.
    pub services: BTreeMap<ServiceName, RelayService>,
    /// Limits for callers.
    pub limits: ClientLimits,
    /// Routes by host, longest prefix first.
    routes: HashMap<Arc<str>, Vec<Arc<RelayRoute>>>,
    /// Organisation and priority rank by API key.
    holders: HashMap<Arc<str>, (OrgName, Option<u8>)>,
}

impl DocumentIndex {
    /// Builds the lookup tables of a document.
    #[must_use]
    pub fn new(document: RelayDocument) -> Self {
        let mut routes: HashMap<Arc<str>, Vec<Arc<RelayRoute>>> = HashMap::new();
        for route in document.routes {
            routes.entry(route.host.clone()).or_default().push(Arc::new(route));
        }
        for list in routes.values_mut() {
            list.sort_by_key(|route| std::cmp::Reverse(route.prefix.len()));
        }
        let keys = document.holders.into_iter().flat_map(|holder| {
            let (org, rank) = (holder.org, holder.rank);
            holder.keys.into_iter().map(move |key| (key, (org.clone(), rank)))
        });
        Self {
            version: document.version,
            services: document.services,
            limits: document.limits,
            routes,
            holders: keys.collect(),
        }
    }

    /// Returns the route of `host` with the longest prefix that matches `path`. A port in `host` is ignored.
    #[must_use]
    pub fn route(&self, host: &str, path: &str) -> Option<&Arc<RelayRoute>> {
        let name = host.rsplit_once(':').map_or(host, |(name, _)| name);
        let list = self.routes.get(name).or_else(|| self.routes.get(name.to_ascii_lowercase().as_str()))?;
        list.iter().find(|route| path.starts_with(&*route.prefix))
    }

    /// Returns the organisation that holds `key`, and the priority rank of its requests if it has one.
    #[must_use]
    pub fn holder(&self, key: &str) -> Option<&(OrgName, Option<u8>)> {
        self.holders.get(key)
    }

    /// Returns whether requests need a key, which is the case if the document lists any organisation.
    #[must_use]
    pub fn requires_keys(&self) -> bool {
        !self.holders.is_empty()
    }
}
