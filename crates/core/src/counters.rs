//! Counts of what the decisions did, published as metrics by the node.

/// Counts since the node started; they only grow.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counters {
    /// Requests accepted.
    pub accepted: u64,
    /// Requests refused before any work.
    pub refused: u64,
    /// Requests done.
    pub done: u64,
    /// Requests that ended as not run.
    pub not_run: u64,
    /// Requests that ended as unknown.
    pub unknown: u64,
    /// Attempts sent.
    pub attempts: u64,
    /// Attempts that were retries.
    pub retries: u64,
    /// Retries that the budget did not allow.
    pub retries_denied: u64,
    /// Results and tokens that no attempt waited for.
    pub stray_results: u64,
    /// Permits borrowed from peers.
    pub borrowed: u64,
    /// Operations sent to the table service that write.
    pub store_writes: u64,
    /// Operations sent to the table service that read.
    pub store_reads: u64,
    /// Charge lines made.
    pub charges: u64,
    /// Heartbeats and other messages sent to peers.
    pub messages: u64,
    /// Done requests that the caller got within its deadline.
    pub in_time: u64,
    /// Second attempts beside slow ones.
    pub hedges: u64,
    /// Requests that gave up their place in a full queue.
    pub displaced: u64,
    /// Attempts that were given up because nothing came from them.
    pub silent_attempts: u64,
    /// Requests whose content was refused as harmful.
    pub harmful_refused: u64,
}
