//! The border to whatever names and formats callers, targets and the store use.
//!
//! An implementation translates and decides nothing: no threshold, no retry, no choice.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::{Method, Request, Response, StatusCode, Uri};
use wasabipier_core::names::{OrgName, TargetName};
use wasabipier_core::relay::board::OrderChange;
use wasabipier_core::relay::choice::PromptSpec;
use wasabipier_core::relay::pieces::{PieceFailure, PieceJob};
use wasabipier_core::relay::rows::{RowBatch, SharedRow, SharedTable};
use wasabipier_core::relay::targets::TargetEntry;

/// What a listener is for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "kebab-case")]
pub enum ListenKind {
    /// Callers' requests.
    Callers,
    /// Whether this node is ready.
    Ready,
    /// Which addresses callers may use.
    Addresses,
    /// Metrics.
    Metrics,
}

/// The head of a caller's request, decoded.
#[derive(Clone, Debug)]
pub struct AskHead {
    /// Its id, which is new for each try of the caller.
    pub request: Arc<str>,
    /// Host that it names.
    pub host: String,
    /// The caller's key.
    pub key: Option<String>,
    /// Time that the caller will wait, from when it sent the request.
    pub time_left: Option<Duration>,
    /// The prompt, for generations.
    pub prompt: Option<PromptSpec>,
    /// Pieces of each preparation stage.
    pub pieces: Vec<u32>,
    /// Names the content that first stages work on.
    pub piece_key: Option<Arc<str>>,
    /// Last event that the caller has of a stream.
    pub last_event: Option<u64>,
}

/// What a caller wants.
#[derive(Clone, Debug)]
pub enum CallerCall {
    /// A request to relay.
    Ask(Box<AskHead>),
    /// Whether this node is ready.
    Ready,
    /// Addresses to use.
    Addresses,
    /// The metrics.
    Metrics,
    /// Nothing that this listener serves.
    Unknown,
    /// A head that is no proper request; says what is wrong.
    Malformed(&'static str),
}

/// Why a caller gets no answer of a target.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, strum::Display)]
#[strum(serialize_all = "kebab-case")]
pub enum RefusalKind {
    /// The head or body is no proper request.
    Malformed,
    /// The body is larger than allowed.
    TooLarge,
    /// The body did not arrive in time.
    TooSlow,
    /// No route matches.
    NoRoute,
    /// The key is missing or unknown.
    UnknownKey,
    /// It has not run; the caller may come again.
    NotRun,
    /// Its outcome is not known.
    Unknown,
    /// Its time was over before an answer came.
    TimedOut,
}

/// A refusal, to be put into the platform's form.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RefusalNotice {
    /// Why.
    pub kind: RefusalKind,
    /// When the caller should come again.
    pub retry_after: Option<Duration>,
}

/// A request to a target.
#[derive(Clone, Debug)]
pub struct ServerOrder<'a> {
    /// The caller's method.
    pub method: &'a Method,
    /// The caller's path and query.
    pub uri: &'a Uri,
    /// The caller's headers.
    pub headers: &'a http::HeaderMap,
    /// The body.
    pub body: Bytes,
    /// The target that shall run it and no other.
    pub target: &'a TargetEntry,
    /// Organisation that it is run for.
    pub org: Option<&'a OrgName>,
    /// Time left.
    pub time_left: Duration,
    /// Urgency among the requests of its target; 0 is the most urgent.
    pub rank: u8,
    /// Last event that the caller has.
    pub last_event: Option<u64>,
    /// Results that it works on.
    pub inputs: &'a [Arc<str>],
}

/// What a target says about running the request.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "kebab-case")]
pub enum RunClaim {
    /// It does not say that the request was not run.
    #[default]
    MayHaveRun,
    /// It did not run the request.
    NotRun,
    /// It did not run the request, since inputs were gone.
    InputsGone,
    /// It is not the target that was named, and did not run the request.
    Misdirected,
}

/// What a target's answer says of itself.
#[derive(Clone, Debug, Default)]
pub struct AnswerHead {
    /// Id of the request that it answers.
    pub request: Option<String>,
    /// Whether the target vouches for the answer.
    pub is_signed: bool,
    /// Whether the body was changed on the way.
    pub is_encoded: bool,
    /// Whether the request was run.
    pub claim: RunClaim,
    /// Time for which the target still is cold.
    pub cold_for: Option<Duration>,
    /// Time for which the target keeps an idle connection.
    pub idle_for: Option<Duration>,
}

/// Why the store's answer brings nothing.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum StoreFault {
    /// The history that was asked for is gone: read the whole table.
    #[error("the history is gone; reading the whole table")]
    HistoryGone,
    /// The store refused the call.
    #[error("the store refused the call with status {0}; trying again later")]
    Refused(u16),
    /// The answer cannot be read.
    #[error("the store's answer cannot be read; trying again later")]
    Malformed,
}

/// A part of a table, read in order of keys.
#[derive(Clone, Debug, Default)]
pub struct RowPage {
    /// Its rows.
    pub batch: RowBatch,
    /// Key after which the next page begins, if there is one.
    pub next: Option<Arc<str>>,
}

/// Translates between the product and the platform that it runs on.
pub trait PlatformPort {
    /// Decodes the head of a request that came to a listener.
    fn read_call(&self, kind: ListenKind, head: &http::request::Parts) -> CallerCall;
    /// The answer for a refusal.
    fn refusal(&self, notice: RefusalNotice) -> Response<Bytes>;
    /// The answer with addresses.
    fn addresses(&self, addresses: &[SocketAddr], keep_for: Duration) -> Response<Bytes>;
    /// Removes headers of a target's answer that concern only the connection to it.
    fn clean_answer(&self, headers: &mut http::HeaderMap);

    /// A request to a target.
    fn server_request(&self, order: &ServerOrder<'_>) -> Request<Bytes>;
    /// Decodes the head of a target's answer.
    fn read_answer(&self, status: StatusCode, headers: &http::HeaderMap) -> AnswerHead;
    /// A call for pieces.
    fn pieces_request(&self, target: &TargetEntry, jobs: &[(&PieceJob, Duration)]) -> Request<Bytes>;
    /// Decodes the ends of `count` pieces, handles of those that were made.
    fn read_pieces(&self, body: &[u8], count: usize) -> Option<Vec<Result<Arc<str>, PieceFailure>>>;
    /// A call that gives results up.
    fn free_request(&self, target: &TargetEntry, handles: &[Arc<str>]) -> Request<Bytes>;
    /// Where the maker of a result listens.
    fn result_address(&self, handle: &str) -> Option<SocketAddr>;

    /// Asks the store for changes of a table after a version.
    fn changes_request(&self, table: SharedTable, after: u64, wait: Duration) -> Request<Bytes>;
    /// Asks the store for a page of a table.
    fn rows_request(&self, table: SharedTable, after: Option<&str>) -> Request<Bytes>;
    /// Decodes rows.
    ///
    /// # Errors
    ///
    /// Why there are none.
    fn read_rows(&self, status: StatusCode, body: &[u8], whole: bool) -> Result<RowPage, StoreFault>;
    /// Decodes what operators want; none: the row concerns no node.
    ///
    /// # Errors
    ///
    /// What is wrong with the row.
    fn read_order(&self, row: &SharedRow) -> Result<Option<OrderChange>, String>;
    /// Decodes a target's entry.
    ///
    /// # Errors
    ///
    /// What is wrong with the entry.
    fn read_target(&self, row: &SharedRow) -> Result<TargetEntry, String>;
    /// The target whose entry a row is.
    fn target_of(&self, row: &SharedRow) -> TargetName;
    /// Writes this node's address, for nodes that start later.
    fn announce_request(&self, node: &str, address: SocketAddr) -> Request<Bytes>;
    /// Asks for the addresses that nodes wrote.
    fn announced_request(&self) -> Request<Bytes>;
    /// Decodes them.
    fn read_announced(&self, body: &[u8]) -> Vec<SocketAddr>;
}
