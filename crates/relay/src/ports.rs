//! The interface to the platform's names and formats for callers, targets and the store.
//!
//! An implementation only translates. It contains no thresholds, no retries and no choice of targets.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::{Method, Request, Response, StatusCode, Uri};
use wasabipier_core::fenced_lease::FencedRow;
use wasabipier_core::names::{DcName, NodeName, OrgName, ServiceName, TargetName};
use wasabipier_core::relay::board::OrderChange;
use wasabipier_core::relay::brittle::RejectTolerance;
use wasabipier_core::relay::choice::PromptSpec;
use wasabipier_core::relay::pieces::{PieceFailure, PieceJob};
use wasabipier_core::relay::rate_limits::RequestRate;
use wasabipier_core::relay::rollout::{RolloutRecord, RolloutWrite};
use wasabipier_core::relay::rows::{OwnTable, RowBatch, RowWrite, SharedRow, TableId};
use wasabipier_core::relay::store_version::StoreVersion;
use wasabipier_core::relay::suspect_row::{SuspectRow, SuspectRowWrite};
use wasabipier_core::relay::target_load::LoadNotice;
use wasabipier_core::relay::targets::TargetEntry;

/// Purpose of a listener.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "kebab-case")]
pub enum ListenKind {
    /// Serves callers' requests.
    Callers,
    /// Reports whether this node is ready.
    Ready,
    /// Reports the addresses that callers may use.
    Addresses,
    /// Reports the metrics.
    Metrics,
}

/// The decoded head of a caller's request.
#[derive(Clone, Debug)]
pub struct RequestHead {
    /// Id of the request. It is new for each attempt of the caller.
    pub request: Arc<str>,
    /// Host that the request names.
    pub host: String,
    /// The caller's key, if the request has one.
    pub key: Option<String>,
    /// Time that the caller waits for the answer, counted from the sending of the request; `None` if not stated.
    pub time_left: Option<Duration>,
    /// The prompt, if the request generates text.
    pub prompt: Option<PromptSpec>,
    /// Number of pieces of each preparation stage. A piece is the unit of a stage's work.
    pub pieces: Vec<u32>,
    /// Key of the content that stages without predecessors process, if the request names one.
    pub piece_key: Option<Arc<str>>,
    /// Id of the last event of a stream that the caller already has.
    pub last_event: Option<u64>,
}

/// Decoded request that arrived at one of the listeners.
#[derive(Clone, Debug)]
pub enum ListenerRequest {
    /// A request to relay.
    Relay(Box<RequestHead>),
    /// A query whether this node is ready.
    Ready,
    /// A query for the addresses that callers may use, with the data centre that it names.
    Addresses(Option<DcName>),
    /// A query for the metrics.
    Metrics,
    /// A request that the listener does not serve.
    Unknown,
    /// A malformed head. The text says what is wrong, for the log.
    Malformed(&'static str),
}

/// Reasons why a caller gets no answer from a target.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, strum::Display)]
#[strum(serialize_all = "kebab-case")]
pub enum RefusalKind {
    /// The head or body is malformed.
    Malformed,
    /// The head is larger than allowed.
    HeadTooLarge,
    /// The body is larger than allowed.
    TooLarge,
    /// The body did not arrive in time.
    TooSlow,
    /// No route matches.
    NoRoute,
    /// The key is missing or unknown.
    UnknownKey,
    /// The request has not run; the caller may retry.
    NotRun,
    /// The outcome is unknown: the request may have run.
    Unknown,
    /// The deadline passed before an answer arrived.
    TimedOut,
}

/// A refusal, which [`PlatformPort::refusal_response`] encodes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RefusalNotice {
    /// Reason of the refusal.
    pub kind: RefusalKind,
    /// Delay after which the caller should retry, if a retry can help.
    pub retry_after: Option<Duration>,
}

/// The parts from which [`PlatformPort::target_request`] builds the request to a target.
#[derive(Clone, Debug)]
pub struct TargetRequest<'a> {
    /// The caller's method.
    pub method: &'a Method,
    /// The caller's path and query.
    pub uri: &'a Uri,
    /// The caller's headers.
    pub headers: &'a http::HeaderMap,
    /// The caller's complete body.
    pub body: Bytes,
    /// The target of the request. No other target may run it.
    pub target: &'a TargetEntry,
    /// Organisation on whose behalf the request runs.
    pub org: Option<&'a OrgName>,
    /// Time left until the deadline.
    pub time_left: Duration,
    /// Priority rank among the requests of the target; 0 is the most urgent.
    pub rank: u8,
    /// Id of the last event that the caller already has.
    pub last_event: Option<u64>,
    /// Handles of the results that the request uses as inputs.
    pub inputs: &'a [Arc<str>],
}

/// What a target's answer states about whether the request has run.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "kebab-case")]
pub enum RunClaim {
    /// The target does not state that the request has not run.
    #[default]
    MayHaveRun,
    /// The target did not run the request.
    NotRun,
    /// The target did not run the request, because inputs no longer exist.
    InputsGone,
    /// The answering target is not the one that the request named, and did not run the request.
    Misdirected,
}

/// The decoded head of a target's answer.
#[derive(Clone, Debug, Default)]
pub struct AnswerHead {
    /// Name of the target that answers, if it states it.
    pub target: Option<TargetName>,
    /// Id of the request as the target echoes it, if it does.
    pub request: Option<String>,
    /// Whether the answer carries a signature of the target. The signature itself is not verified.
    pub is_signed: bool,
    /// Whether the body has a content encoding, such as a compression that an intermediary applied.
    pub is_encoded: bool,
    /// What the target states about whether the request has run.
    pub claim: RunClaim,
    /// Time for which the target remains cold, if it states one.
    pub cold_time: Option<Duration>,
    /// Requests per second that the target takes from all nodes together, if it states a limit.
    pub rate_limit: Option<RequestRate>,
    /// Number of calls that the target can reject in a second without a crash, if it states that it is brittle.
    pub reject_tolerance: Option<RejectTolerance>,
    /// Time for which the target wants no calls from this node, if it refused the call and states one.
    pub declined_time: Option<Duration>,
    /// What the target states of its load.
    pub load: LoadNotice,
    /// Whether the target states that it leaves.
    pub is_leaving: bool,
    /// Time for which the target keeps an idle connection, if it states one.
    pub idle_timeout: Option<Duration>,
}

/// Reasons why an answer of the store cannot be used.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum StoreFault {
    /// The requested change history no longer exists, so that the whole table must be read.
    #[error("the history is gone; reading the whole table")]
    HistoryGone,
    /// The store refused the call.
    #[error("the store refused the call with status {0}; trying again later")]
    Refused(u16),
    /// The answer cannot be decoded.
    #[error("the store's answer cannot be read; trying again later")]
    Malformed,
}

/// A page of a table, in order of keys.
#[derive(Clone, Debug, Default)]
pub struct RowPage {
    /// The rows of the page.
    pub batch: RowBatch,
    /// Key after which the next page starts; `None` on the last page.
    pub next: Option<Arc<str>>,
}

/// The store's reply to the write of a rollout's state.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RolloutReply {
    /// The write took effect and gave the row this store version.
    Written(StoreVersion),
    /// The row has another version than the write requires; it holds this record.
    Conflict(RolloutRecord),
}

/// The store's reply to a conditional write of a row.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RowReply {
    /// The write took effect and gave the row this store version.
    Written(StoreVersion),
    /// The row has another version than the write requires, and nothing was written.
    Conflict {
        /// Era of the store that replied.
        era: u64,
        /// The current row; `None` if it does not exist.
        row: Option<SharedRow>,
    },
}

/// The store's reply to the write of the row of content which crashes targets.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum SuspectRowReply {
    /// The write took effect and gave the row this store version.
    Written(StoreVersion),
    /// The row has another version than the write requires, and this content.
    Conflict(SuspectRow),
}

/// The holder of a duty, as it names itself in a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DutyHolder<'a> {
    /// Name of the node.
    pub node: &'a NodeName,
    /// Fencing token of its lease.
    pub fence: u64,
}

/// The platform's reply to a call of a duty.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "kebab-case")]
pub enum DutyReply {
    /// The call was carried out.
    Accepted,
    /// The platform has seen a higher fencing token.
    Fenced,
    /// The platform did not carry out the call; it may be repeated later.
    Refused,
}

/// Translates between a relaying node and the platform that it runs on.
pub trait PlatformPort {
    /// Decodes the head of a request that arrived at a listener of the given kind.
    fn read_request(&self, kind: ListenKind, head: &http::request::Parts) -> ListenerRequest;
    /// Returns the response that refuses a request.
    fn refusal_response(&self, notice: RefusalNotice) -> Response<Bytes>;
    /// Returns the maximum number of addresses that callers read in an answer.
    fn max_addresses(&self) -> usize;
    /// Returns the response that lists `addresses`, which callers may cache for `keep_for`.
    fn addresses_response(&self, addresses: &[SocketAddr], keep_for: Duration) -> Response<Bytes>;
    /// Removes headers of a target's answer that concern only the connection to the target.
    fn remove_connection_headers(&self, headers: &mut http::HeaderMap);

    /// Returns the HTTP request that sends `request` to its target.
    fn target_request(&self, request: &TargetRequest<'_>) -> Request<Bytes>;
    /// Decodes the head of a target's answer.
    fn read_answer(&self, status: StatusCode, headers: &http::HeaderMap) -> AnswerHead;
    /// Returns a request with the id `call` that has a target make the pieces of `jobs`. Each job is paired with the time
    /// left until its deadline.
    fn pieces_request(&self, target: &TargetEntry, call: &str, jobs: &[(&PieceJob, Duration)]) -> Request<Bytes>;
    /// Decodes the outcomes of `count` pieces, with a result handle for each piece that was made. Returns `None` if the
    /// body is malformed.
    fn read_pieces(&self, body: &[u8], count: usize) -> Option<Vec<Result<Arc<str>, PieceFailure>>>;
    /// Returns a request with the id `call` that frees the results with these handles at the target that holds them.
    fn free_request(&self, target: &TargetEntry, call: &str, handles: &[Arc<str>]) -> Request<Bytes>;
    /// Returns a request for the health of a target at `path`, or `None` if the path is malformed. In its answer the target
    /// names itself, and states how long it remains cold.
    fn health_request(&self, target: &TargetEntry, path: &str) -> Option<Request<Bytes>>;
    /// Returns the address of the target that holds a result, or `None` if the handle is malformed.
    fn result_address(&self, handle: &str) -> Option<SocketAddr>;

    /// Returns a request for the changes of a table after store version `after`, which the store may hold for `wait`.
    fn changes_request(&self, table: TableId, after: StoreVersion, wait: Duration) -> Request<Bytes>;
    /// Returns a request for the page of a table that follows the key `after`, or for the first page.
    fn rows_request(&self, table: TableId, after: Option<&str>) -> Request<Bytes>;
    /// Decodes rows of a table: a page of the whole table if `whole` is set, otherwise changes.
    ///
    /// # Errors
    ///
    /// Returns why the store's answer cannot be used.
    fn read_rows(&self, response: &Response<Bytes>, whole: bool) -> Result<RowPage, StoreFault>;
    /// Decodes an operator's order, such as a new configuration. Returns `None` if the row does not concern relaying
    /// nodes.
    ///
    /// # Errors
    ///
    /// Returns a description of what is wrong with the row.
    fn read_order(&self, row: &SharedRow) -> Result<Option<OrderChange>, String>;
    /// Returns whether a row of orders holds the document, also if the row was deleted or is malformed.
    fn is_document(&self, row: &SharedRow) -> bool;
    /// Decodes the entry with which a target registers itself.
    ///
    /// # Errors
    ///
    /// Returns a description of what is wrong with the entry.
    fn read_target(&self, row: &SharedRow) -> Result<TargetEntry, String>;
    /// Returns the name of the target that a row describes, also if the row was deleted or is malformed.
    fn target_name(&self, row: &SharedRow) -> TargetName;
    /// Returns a request that writes the state of a rollout on condition that its row has the expected version.
    fn rollout_request(&self, write: &RolloutWrite) -> Request<Bytes>;
    /// Decodes the reply to a write of a rollout's state.
    ///
    /// # Errors
    ///
    /// Returns why the store's answer cannot be used.
    fn read_rollout_reply(&self, response: &Response<Bytes>) -> Result<RolloutReply, StoreFault>;
    /// Returns a request for the rows of a table of the nodes' own, which [`Self::read_rows`] decodes. A table has at most
    /// one page of rows.
    fn own_rows_request(&self, table: OwnTable) -> Request<Bytes>;
    /// Returns a request that writes a row on condition that it has the expected version.
    fn row_write_request(&self, write: &RowWrite) -> Request<Bytes>;
    /// Decodes the reply to a conditional write of a row.
    ///
    /// # Errors
    ///
    /// Returns why the store's answer cannot be used. A write that was refused has not taken effect.
    fn read_row_reply(&self, response: &Response<Bytes>) -> Result<RowReply, StoreFault>;
    /// Returns a request that writes a node's address into the store, for other nodes to read.
    fn announce_request(&self, node: &str, address: SocketAddr) -> Request<Bytes>;
    /// Returns a request for the addresses that nodes have written into the store.
    fn announced_addresses_request(&self) -> Request<Bytes>;
    /// Decodes the addresses that nodes have written into the store. Returns none if the body is malformed.
    fn read_announced_addresses(&self, body: &[u8]) -> Vec<SocketAddr>;

    /// Returns a request that writes into the store that an era of it is settled, unless it holds that already.
    /// [`Self::read_row_reply`] decodes the reply.
    fn settled_era_request(&self, era: u64) -> Request<Bytes>;
    /// Decodes from the response that lists the addresses of nodes whether the store's present era is settled. Returns the
    /// version at which that was written.
    fn read_settled_era(&self, response: &Response<Bytes>) -> Option<StoreVersion>;

    /// Returns a request that writes the row of content which crashes targets. [`Self::read_suspect_row_reply`] decodes the
    /// reply.
    fn suspect_row_request(&self, write: &SuspectRowWrite) -> Request<Bytes>;
    /// Decodes the row of content which crashes targets from the response that lists the addresses of nodes. `None` if there
    /// is none, or none that can be decoded.
    fn read_suspect_row(&self, response: &Response<Bytes>) -> Option<SuspectRow>;
    /// Decodes the reply to a write of that row.
    ///
    /// # Errors
    ///
    /// Returns why the store's answer cannot be used.
    fn read_suspect_row_reply(&self, response: &Response<Bytes>) -> Result<SuspectRowReply, StoreFault>;

    /// Encodes the content of the row of a duty's lease.
    fn encode_lease(&self, row: &FencedRow) -> Arc<[u8]>;
    /// Decodes the content of the row of a duty's lease.
    ///
    /// # Errors
    ///
    /// Returns a description of what is wrong with the content.
    fn read_lease(&self, value: &[u8]) -> Result<FencedRow, String>;
    /// Returns a request that reports the requests that began to run in a window of metering. `report` has been encoded by
    /// [`Self::encode_usage`].
    fn usage_request(&self, holder: DutyHolder<'_>, report: Bytes) -> Request<Bytes>;
    /// Encodes the number of requests of each organisation in the window with the number `window`.
    fn encode_usage(&self, window: u64, counts: &BTreeMap<OrgName, u64>) -> Bytes;
    /// Returns a request that orders the number of targets of a service in a data centre.
    fn scale_request(&self, holder: DutyHolder<'_>, service: &ServiceName, dc: &DcName, count: u32) -> Request<Bytes>;
    /// Decodes the reply to a call of a duty.
    fn read_duty_reply(&self, status: StatusCode) -> DutyReply;
}
