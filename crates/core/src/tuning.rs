//! Time spans and limits of the core's decisions, with their defaults.

use std::time::Duration;

/// Time spans and limits of the core's decisions.
#[derive(Clone, Debug, PartialEq)]
pub struct Tuning {
    /// Interval of heartbeats to peers.
    pub heartbeat_interval: Duration,
    /// Maximum number of peers with which a node connects to all of them. With more peers, it connects to those of its
    /// own data centre and to a few of every other data centre.
    pub max_full_mesh_peers: usize,
    /// Number of peers of every other data centre to which a node of a large environment connects.
    pub links_per_remote_dc: usize,
    /// Silence after which a peer counts as dead.
    pub peer_timeout: Duration,
    /// Interval at which one node of a data centre reads the document's row.
    pub document_read_interval: Duration,
    /// Time without an answer of the table service and without a message of any peer after which a node accepts no new
    /// work.
    pub isolation_timeout: Duration,
    /// Maximum duration of one call at a target.
    pub max_call_duration: Duration,
    /// Silence between two tokens of a stream after which its attempt is cancelled.
    pub stream_idle_timeout: Duration,
    /// Silence before the first token of a stream after which its attempt is cancelled.
    pub first_token_timeout: Duration,
    /// Whether requests that are likely to miss their deadline are refused at once.
    pub early_refusal: bool,
    /// Whether unusually slow calls get a second attempt beside them.
    pub hedging: bool,
    /// Retry backoff after the first attempt of a stage, before jitter. It doubles with each further attempt.
    pub retry_base_delay: Duration,
    /// Time for which a prefix is assumed to stay in a target's cache.
    pub prefix_ttl: Duration,
    /// Load above that of the least loaded target, as a share of the limit, up to which a cached prefix decides the
    /// choice.
    pub prefix_slack: f64,
    /// Maximum number of attempts of one stage.
    pub max_attempts: u32,
    /// Maximum number of requests queued for one service.
    pub max_queue_length: usize,
    /// Retries and hedges allowed, as a share of recent requests.
    pub retry_ratio: f64,
    /// Maximum number of unused retries that the retry budget saves up.
    pub retry_burst: f64,
    /// Time for which a target must serve at one step of its ramp before the next step.
    pub ramp_step_duration: Duration,
    /// Number of calls that must succeed at one step of a target's ramp before the next step.
    pub ramp_calls: u32,
    /// Factor by which a latency must exceed the usual one to count as slow.
    pub slow_factor: f64,
    /// Time without a success or a warm report of a target after which it counts as cold.
    pub warmth_timeout: Duration,
    /// Time without a successful call after which a target counts as cold.
    pub idle_cold_after: Duration,
    /// Number of targets that are compared for one choice.
    pub sampled_targets: usize,
    /// Whether targets take turns regardless of their load; a baseline for measurements.
    pub round_robin: bool,
    /// Time within which a borrowed permit must be used.
    pub borrowed_permit_timeout: Duration,
    /// Number of targets that one content must have crashed before it is refused.
    pub harmful_crash_limit: usize,
    /// Time for which ended requests are kept for callers that ask again.
    pub ended_ttl: Duration,
    /// Time for which callers may keep a list of addresses.
    pub addresses_ttl: Duration,
    /// Duration of a controller's lease.
    pub lease_length: Duration,
    /// Pause between two events after which other nodes may have taken over what this node held.
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
