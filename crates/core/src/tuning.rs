//! Times and bounds that the decisions use; each has a default and a unit.

use std::time::Duration;

/// Times and bounds of the core's decisions.
#[derive(Clone, Debug, PartialEq)]
pub struct Tuning {
    /// Interval of heartbeats to peers.
    pub heartbeat_every: Duration,
    /// Peers up to which a node is connected to all; beyond that to its data centre and a few of each other.
    pub full_mesh_up_to: usize,
    /// Peers of each other data centre that a node of a large environment chooses.
    pub links_across: usize,
    /// Silence after which a peer is taken for dead.
    pub peer_dead_after: Duration,
    /// Interval at which one node of a data centre reads the document's row.
    pub document_read_every: Duration,
    /// Time without store and without peers after which a node takes no new work.
    pub isolated_after: Duration,
    /// Longest time that one call at a target may last.
    pub longest_call: Duration,
    /// Silence between two tokens of a stream after which its attempt is given up.
    pub stream_silence: Duration,
    /// Silence before the first token of a stream after which its attempt is given up.
    pub first_token_silence: Duration,
    /// Whether requests that are likely to miss their deadline are refused at once.
    pub early_refusal: bool,
    /// Whether unusually slow calls get a second attempt beside them.
    pub hedging: bool,
    /// Delay before the second retry of a stage, doubled with each, before jitter.
    pub retry_delay: Duration,
    /// Time for which a prefix is taken to stay in a target's cache.
    pub prefix_kept: Duration,
    /// Load above that of the best target, as a share of the limit, up to which a cached prefix decides.
    pub prefix_slack: f64,
    /// Most attempts of one stage.
    pub most_attempts: u32,
    /// Most requests queued for one service.
    pub queue_bound: usize,
    /// Retries and hedges allowed as a share of recent requests.
    pub retry_share: f64,
    /// Retries that may be saved up.
    pub retry_burst: f64,
    /// Time that a target must serve at one step of its ramp before the next.
    pub ramp_step: Duration,
    /// Calls that must go well at one step of a target's ramp before the next.
    pub ramp_calls: u32,
    /// Latency above the usual, as a factor, at which a call counts as slow.
    pub slow_factor: f64,
    /// Time without a good word of a target after which it is taken for cold.
    pub belief_for: Duration,
    /// Idleness after which a target is taken for cold.
    pub idle_cold_after: Duration,
    /// Targets that are looked at for one choice.
    pub choices: usize,
    /// Whether targets take turns, whatever their load: a baseline to measure against.
    pub round_robin: bool,
    /// Time within which a borrowed permit must be used.
    pub lend_for: Duration,
    /// Targets that one content may bring down before it is refused.
    pub harmful_after: usize,
    /// Time that ended requests are kept for callers that ask again.
    pub keep_ended: Duration,
    /// Time that callers may keep an answer with addresses.
    pub addresses_kept: Duration,
    /// Length of a controller's lease.
    pub lease_length: Duration,
    /// Pause between two events after which others may have taken over what this node held.
    pub pause_bound: Duration,
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
            stream_silence: Duration::from_secs(1),
            first_token_silence: Duration::from_secs(2),
            early_refusal: true,
            hedging: true,
            retry_delay: Duration::from_millis(20),
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
            pause_bound: Duration::from_secs(10),
        }
    }
}
