//! Counters of the core's decisions, which the node publishes as metrics.

/// Counters since the start of the node. Their values never decrease.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counters {
    /// Requests accepted.
    pub accepted: u64,
    /// Requests refused before any work.
    pub refused: u64,
    /// Requests that ended as done.
    pub done: u64,
    /// Requests that ended as not run.
    pub not_run: u64,
    /// Requests that ended as unknown.
    pub unknown: u64,
    /// Attempts sent.
    pub attempts: u64,
    /// Retries queued.
    pub retries: u64,
    /// Retries that the retry budget did not allow.
    pub retries_denied: u64,
    /// Results and tokens that no running attempt expected.
    pub stray_results: u64,
    /// Permits borrowed from peers.
    pub borrowed: u64,
    /// Write operations sent to the table service.
    pub store_writes: u64,
    /// Read operations sent to the table service.
    pub store_reads: u64,
    /// Charge lines created.
    pub charges: u64,
    /// Messages sent to peers, heartbeats included.
    pub messages: u64,
    /// Requests that ended as done within their deadline.
    pub in_time: u64,
    /// Hedges sent: second attempts beside slow ones.
    pub hedges: u64,
    /// Requests that lost their place in a full queue to another request.
    pub displaced: u64,
    /// Attempts cancelled because they made no progress.
    pub silent_attempts: u64,
    /// Requests refused because of harmful content.
    pub harmful_refused: u64,
}
