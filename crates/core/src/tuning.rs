//! Time spans and limits of the core's decisions, with their defaults.
//!
//! The limit of a target, in calls in flight, rises from its cold limit to its warm limit in steps that double it.
//! These steps are the target's ramp.

use std::time::Duration;

/// Time spans and limits of the core's decisions.
#[derive(Clone, Debug, PartialEq)]
pub struct Tuning {
    /// Interval of heartbeats to peers.
    pub heartbeat_interval: Duration,
    /// Maximum number of known peers up to which a node connects to all of them. A node with more peers connects to
    /// those of its own data centre and to `links_per_remote_dc` peers of every other one.
    pub max_full_mesh_peers: usize,
    /// Number of peers of every other data centre to which a node connects if it has more than `max_full_mesh_peers`.
    pub links_per_remote_dc: usize,
    /// Time without a heartbeat after which a peer counts as dead.
    pub peer_timeout: Duration,
    /// Interval at which one node of a data centre reads the document's row.
    pub document_read_interval: Duration,
    /// Time without an answer of the table service and without a message of any peer after which a node accepts no new
    /// work.
    pub isolation_timeout: Duration,
    /// Maximum duration of one call at a target.
    pub max_call_duration: Duration,
    /// Time without a further token after which the attempt of a stream is cancelled.
    pub stream_idle_timeout: Duration,
    /// Time from sending without a first token after which the attempt of a stream is cancelled.
    pub first_token_timeout: Duration,
    /// Whether requests that are likely to miss their deadline are refused at once.
    pub early_refusal: bool,
    /// Whether an unusually slow call gets a hedge: a second attempt at another target, of which the first result
    /// counts.
    pub hedging: bool,
    /// Retry backoff after the first attempt of a stage, before jitter. It doubles with each further attempt, up to 256
    /// times this value.
    pub retry_base_delay: Duration,
    /// Time for which the prefix of a prompt is assumed to stay in a target's cache.
    pub prefix_ttl: Duration,
    /// Load, as a share of the limit, by which a target that has the prompt's prefix cached may exceed the least loaded
    /// target and still be chosen.
    pub prefix_slack: f64,
    /// Maximum number of attempts of one stage of a request, hedges included.
    pub max_attempts: u32,
    /// Maximum number of requests queued for one service.
    pub max_queue_length: usize,
    /// Retries and hedges that each accepted request adds to the retry budget.
    pub retry_ratio: f64,
    /// Maximum number of unused retries and hedges in the retry budget, which starts full.
    pub retry_burst: f64,
    /// Minimum time at one step of a target's ramp before the next step.
    pub ramp_step_duration: Duration,
    /// Number of calls that must succeed at one step of a target's ramp before the next step.
    pub ramp_calls: u32,
    /// Factor by which the latency of a call must exceed the target's usual one for the call to count as slow.
    pub slow_factor: f64,
    /// Time without a successful call and without a warm report after which a target counts as cold.
    pub warmth_timeout: Duration,
    /// Time without a successful call after which a target counts as cold even if it reports itself as warm.
    pub idle_cold_after: Duration,
    /// Maximum number of targets that are compared for one call.
    pub sampled_targets: usize,
    /// Whether targets take turns regardless of their load; a baseline for measurements.
    pub round_robin: bool,
    /// Time from the request for a permit of a peer within which a call must start under the permit.
    pub borrowed_permit_timeout: Duration,
    /// Number of targets that must have crashed while they ran a request content before the content is refused.
    pub harmful_crash_limit: usize,
    /// Time for which the answers of ended requests are kept for callers that ask again, and for which recording the
    /// outcome of a claimed request is retried.
    pub ended_ttl: Duration,
    /// Time for which callers may keep a list of node addresses.
    pub addresses_ttl: Duration,
    /// Duration for which a lease is held without renewal.
    pub lease_length: Duration,
    /// Time between two events above which other nodes may have taken over what this node held, such as its seats.
    pub pause_limit: Duration,
}

impl Default for Tuning {
    fn default() -> Self {
        Self {
            heartbeat_interval: Duration::from_millis(500),
            max_full_mesh_peers: 64,
            links_per_remote_dc: 1,
            peer_timeout: Duration::from_secs(5),
            document_read_interval: Duration::from_secs(1),
            isolation_timeout: Duration::from_secs(5),
            max_call_duration: Duration::from_secs(6),
            stream_idle_timeout: Duration::from_secs(1),
            first_token_timeout: Duration::from_secs(2),
            early_refusal: true,
            hedging: true,
            retry_base_delay: Duration::from_millis(20),
            prefix_ttl: Duration::from_mins(1),
            prefix_slack: 0.5,
            max_attempts: 3,
            max_queue_length: 400,
            retry_ratio: 0.1,
            retry_burst: 10.0,
            ramp_step_duration: Duration::from_secs(1),
            ramp_calls: 3,
            slow_factor: 3.0,
            warmth_timeout: Duration::from_secs(5),
            idle_cold_after: Duration::from_mins(1),
            sampled_targets: 4,
            round_robin: false,
            borrowed_permit_timeout: Duration::from_millis(500),
            harmful_crash_limit: 2,
            ended_ttl: Duration::from_mins(1),
            addresses_ttl: Duration::from_secs(3),
            lease_length: Duration::from_secs(10),
            pause_limit: Duration::from_secs(10),
        }
    }
}
