//! Time spans and limits of the core's decisions, with their defaults.

use std::time::Duration;

/// Time spans and limits of the core's decisions.
#[derive(Clone, Debug, PartialEq)]
pub struct Tuning {
    /// Interval of heartbeats to peers.
    pub heartbeat_every: Duration,
    /// Maximum number of peers with which a node connects to all of them. With more peers, it connects to those of its
    /// own data centre and to a few of every other data centre.
    pub full_mesh_up_to: usize,
    /// Number of peers of every other data centre to which a node of a large environment connects.
    pub links_across: usize,
    /// Silence after which a peer counts as dead.
    pub peer_dead_after: Duration,
    /// Interval at which one node of a data centre reads the document's row.
    pub document_read_every: Duration,
    /// Time without an answer of the table service and without a message of any peer after which a node accepts no new
    /// work.
    pub isolated_after: Duration,
    /// Maximum duration of one call at a target.
    pub longest_call: Duration,
    /// Silence between two tokens of a stream after which its attempt is cancelled.
    pub stream_idle_timeout: Duration,
    /// Silence before the first token of a stream after which its attempt is cancelled.
    pub first_token_silence: Duration,
    /// Whether requests that are likely to miss their deadline are refused at once.
    pub early_refusal: bool,
    /// Whether unusually slow calls get a second attempt beside them.
    pub hedging: bool,
    /// Retry backoff after the first attempt of a stage, before jitter. It doubles with each further attempt.
    pub retry_base_delay: Duration,
    /// Time for which a prefix is assumed to stay in a target's cache.
    pub prefix_kept: Duration,
    /// Load above that of the least loaded target, as a share of the limit, up to which a cached prefix decides the
    /// choice.
    pub prefix_slack: f64,
    /// Maximum number of attempts of one stage.
    pub most_attempts: u32,
    /// Maximum number of requests queued for one service.
    pub queue_bound: usize,
    /// Retries and hedges allowed, as a share of recent requests.
    pub retry_share: f64,
    /// Maximum number of unused retries that the retry budget saves up.
    pub retry_burst: f64,
    /// Time for which a target must serve at one step of its ramp before the next step.
    pub ramp_step: Duration,
    /// Number of calls that must succeed at one step of a target's ramp before the next step.
    pub ramp_calls: u32,
    /// Factor by which a latency must exceed the usual one to count as slow.
    pub slow_factor: f64,
    /// Time without a success or a warm report of a target after which it counts as cold.
    pub belief_for: Duration,
    /// Time without a successful call after which a target counts as cold.
    pub idle_cold_after: Duration,
    /// Number of targets that are compared for one choice.
    pub choices: usize,
    /// Whether targets take turns regardless of their load; a baseline for measurements.
    pub round_robin: bool,
    /// Time within which a borrowed permit must be used.
    pub lend_for: Duration,
    /// Number of targets that one content must have crashed before it is refused.
    pub harmful_after: usize,
    /// Time for which ended requests are kept for callers that ask again.
    pub keep_ended: Duration,
    /// Time for which callers may keep a list of addresses.
    pub addresses_kept: Duration,
    /// Duration of a controller's lease.
    pub lease_length: Duration,
    /// Pause between two events after which other nodes may have taken over what this node held.
    pub pause_limit: Duration,
}

impl Default for Tuning {
    fn default() -> Self {
        Self {
            heartbeat_every: Duration::from_millis(500),
            full_mesh_up_to: 64,
            links_across: 1,
            peer_dead_after: Duration::from_secs(5),
            document_read_every: Duration::from_secs(1),
            isolated_after: Duration::from_secs(5),
            longest_call: Duration::from_secs(6),
            stream_idle_timeout: Duration::from_secs(1),
            first_token_silence: Duration::from_secs(2),
            early_refusal: true,
            hedging: true,
            retry_base_delay: Duration::from_millis(20),
            prefix_kept: Duration::from_mins(1),
            prefix_slack: 0.5,
            most_attempts: 3,
            queue_bound: 400,
            retry_share: 0.1,
            retry_burst: 10.0,
            ramp_step: Duration::from_secs(1),
            ramp_calls: 3,
            slow_factor: 3.0,
            belief_for: Duration::from_secs(5),
            idle_cold_after: Duration::from_mins(1),
            choices: 4,
            round_robin: false,
            lend_for: Duration::from_millis(500),
            harmful_after: 2,
            keep_ended: Duration::from_mins(1),
            addresses_kept: Duration::from_secs(3),
            lease_length: Duration::from_secs(10),
            pause_limit: Duration::from_secs(10),
        }
    }
}
