//! The relay's document: routes, services, organisations and limits, checked by the edge that read it.

use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;
use std::time::Duration;

use crate::names::{OrgName, ServiceName};

/// What may be done again for a request.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "kebab-case")]
pub enum RepeatKind {
    /// May run any number of times.
    Idempotent,
    /// Runs at most once.
    #[default]
    AtMostOnce,
    /// A stream of events that runs at most once.
    Stream,
    /// A stream of events that another target can continue.
    ResumableStream,
}

impl RepeatKind {
    /// Whether it may be sent again after a byte of it may have left.
    #[must_use]
    pub fn is_repeatable(self) -> bool {
        matches!(self, Self::Idempotent | Self::ResumableStream)
    }

    /// Whether its answer is a stream of events.
    #[must_use]
    pub fn is_stream(self) -> bool {
        matches!(self, Self::Stream | Self::ResumableStream)
    }
}

/// One preparation stage of a route.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StageSpec {
    /// Service that makes its pieces.
    pub service: ServiceName,
    /// Positions of the stages whose results it needs.
    pub after: Vec<usize>,
    /// Approximate size of one result in bytes.
    pub result_bytes: u64,
}

/// A service that a route leads to, with its share of the requests.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WeightedService {
    /// The service.
    pub service: ServiceName,
    /// Its weight among those of the route.
    pub weight: u32,
}

/// One route.
#[derive(Clone, Debug, PartialEq)]
pub struct RelayRoute {
    /// Its name, for logs and metrics.
    pub name: Arc<str>,
    /// Host that callers name.
    pub host: Arc<str>,
    /// Beginning of the path, with a slash at its end.
    pub prefix: Arc<str>,
    /// What may be repeated.
    pub kind: RepeatKind,
    /// Where its requests go.
    pub services: Vec<WeightedService>,
    /// Most targets that may run one request.
    pub most_attempts: u32,
    /// Longest time that a request may wait for its answer.
    pub timeout: Duration,
    /// Time within which an answer is worth its full price.
    pub objective: Duration,
    /// Urgency; 0 is the most urgent.
    pub rank: u8,
    /// Whether no key is needed.
    pub public: bool,
    /// Preparation stages by position.
    pub stages: Vec<StageSpec>,
}

impl Default for RelayRoute {
    fn default() -> Self {
        Self {
            name: Arc::from(""),
            host: Arc::from(""),
            prefix: Arc::from("/"),
            kind: RepeatKind::AtMostOnce,
            services: Vec::new(),
            most_attempts: 1,
            timeout: Duration::from_secs(10),
            objective: Duration::from_secs(1),
            rank: 0,
            public: false,
            stages: Vec::new(),
        }
    }
}

/// How the targets of a stage service work on pieces.
#[derive(Clone, Debug, PartialEq)]
pub struct BatchSpec {
    /// Calls that a target works on at once.
    pub slots: u32,
    /// Most pieces of a call.
    pub most_pieces: usize,
    /// Time of a call, whatever it holds.
    pub call_time: Duration,
    /// Further time for each piece.
    pub piece_time: Duration,
    /// Bytes of results that a target can keep.
    pub room_bytes: u64,
    /// Time after which a target drops a result.
    pub keep_for: Duration,
}

impl Default for BatchSpec {
    fn default() -> Self {
        Self {
            slots: 1,
            most_pieces: 1,
            call_time: Duration::from_millis(100),
            piece_time: Duration::from_millis(10),
            room_bytes: u64::MAX,
            keep_for: Duration::from_secs(4),
        }
    }
}

/// One service.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct RelayService {
    /// Requests per second that a cold target bears, over all nodes; 0 means that cold targets need no care.
    pub cold_rate: f64,
    /// Set if its targets make pieces of stages.
    pub batch: Option<BatchSpec>,
}

/// Bounds on what callers may send.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ClientLimits {
    /// Bytes of a request's head.
    pub header_bytes: usize,
    /// Bytes of a request's body.
    pub body_bytes: usize,
    /// Time for a head to arrive.
    pub header_within: Duration,
    /// Time that a connection may stay idle.
    pub idle_within: Duration,
}

impl Default for ClientLimits {
    /// What holds until a document says otherwise: small enough for a VM of 160 MB.
    fn default() -> Self {
        Self {
            header_bytes: 16 * 1024,
            body_bytes: 4 * 1024 * 1024,
            header_within: Duration::from_secs(3),
            idle_within: Duration::from_secs(15),
        }
    }
}

/// One organisation with its keys.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct KeyHolder {
    /// Its name, which targets are told.
    pub org: OrgName,
    /// Keys that its callers show.
    pub keys: Vec<Arc<str>>,
    /// Urgency of its requests, in place of their routes'.
    pub rank: Option<u8>,
}

/// The whole document.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct RelayDocument {
    /// Counts up with each change.
    pub version: u64,
    /// Routes.
    pub routes: Vec<RelayRoute>,
    /// Services by name.
    pub services: BTreeMap<ServiceName, RelayService>,
    /// Bounds for callers.
    pub limits: ClientLimits,
    /// Organisations; none at all means that no key is asked for.
    pub holders: Vec<KeyHolder>,
}

/// Why a document cannot be used.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum DocumentFault {
    /// Stages of a route wait for each other, or for one that is not there.
    #[error("stages of route `{0}` can never all start: have each one follow only stages that are there before it")]
    StageCycle(Arc<str>),
}

impl RelayDocument {
    /// Checks what would keep requests from ever ending.
    ///
    /// # Errors
    ///
    /// The first fault.
    pub fn check(&self) -> Result<(), DocumentFault> {
        match self.routes.iter().find(|route| !all_can_start(&route.stages)) {
            Some(route) => Err(DocumentFault::StageCycle(route.name.clone())),
            None => Ok(()),
        }
    }
}

/// Whether every stage can start once those that it follows are done.
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
    /// Bounds for callers.
    pub limits: ClientLimits,
    /// Routes by host, longest prefix first.
    routes: HashMap<Arc<str>, Vec<Arc<RelayRoute>>>,
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

    /// The route of `host` with the longest prefix that begins `path`.
    #[must_use]
    pub fn route(&self, host: &str, path: &str) -> Option<&Arc<RelayRoute>> {
        let name = host.rsplit_once(':').map_or(host, |(name, _)| name);
        let list = self.routes.get(name).or_else(|| self.routes.get(name.to_ascii_lowercase().as_str()))?;
        list.iter().find(|route| path.starts_with(&*route.prefix))
    }

    /// Who holds `key`, and the urgency of its requests.
    #[must_use]
    pub fn holder(&self, key: &str) -> Option<&(OrgName, Option<u8>)> {
        self.holders.get(key)
    }

    /// Whether any organisation is known, so that keys are asked for.
    #[must_use]
    pub fn asks_keys(&self) -> bool {
        !self.holders.is_empty()
    }
}
