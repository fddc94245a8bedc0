//! Counters of the core's decisions, which the node publishes as metrics.

/// Counters since the start of the node. Their values never decrease.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counters {
    /// Requests accepted.
    pub accepted: u64,
    /// Requests refused before any work, except those whose id was used before for other content.
    pub refused: u64,
    /// Requests that ended as done.
    pub done: u64,
    /// Requests that ended as not run.
    pub not_run: u64,
    /// Requests that ended as unknown.
    pub unknown: u64,
    /// Attempts sent to targets, retries and hedges included.
    pub attempts: u64,
    /// Retries scheduled, with or without a backoff.
    pub retries: u64,
    /// Retries that the retry budget did not allow.
    pub retries_denied: u64,
    /// Tokens that the request already had, and tokens, results and failures of attempts that this node no longer waits
    /// for. A failure that frees the permit of a cancelled attempt is not counted.
    pub stray_results: u64,
    /// Permits borrowed from peers.
    pub borrowed: u64,
    /// Write operations sent to the table service.
    pub store_writes: u64,
    /// Read operations sent to the table service.
    pub store_reads: u64,
    /// Charge lines created.
    pub charges: u64,
    /// Messages sent to peers, heartbeats included. No code counts them yet, so the value is always 0.
    pub messages: u64,
    /// Requests that ended as done within their deadline.
    pub in_time: u64,
    /// Hedges sent: second attempts of a stage while a slow first one still runs.
    pub hedges: u64,
    /// Requests that lost their place in a full queue to another request.
    pub displaced: u64,
    /// Attempts cancelled because they made no progress in time or reached the end of their time.
    pub silent_attempts: u64,
    /// Requests refused, or ended while they waited, because their content crashes targets.
    pub harmful_refused: u64,
}
