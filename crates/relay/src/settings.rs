//! Settings of a relaying node.

use std::net::SocketAddr;
use std::time::Duration;

use wasabipier_core::blackboard::Identity;
use wasabipier_core::relay::board::RelayTuning;
use wasabipier_core::relay::duties::{DutyKind, DutyTimes};

/// Timeouts, intervals and the cache time of addresses.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RelayTimes {
    /// Timeout for connecting to a target. It does not wait for the retransmission of a lost first packet, since
    /// another target can be asked.
    pub connect_timeout: Duration,
    /// Maximum time for which the store is asked to hold a call for changes until one occurs (long poll).
    pub store_poll_wait: Duration,
    /// Usual timeout for the beginning of the answer to a store call. The timeout of a long poll is this time plus the
    /// time for which the store may hold the call. Answers take 4 ms, and up to 60 times as long when the store is slow.
    pub store_answer_timeout: Duration,
    /// Minimum regular interval of heartbeats between nodes. It grows with the number of peers. It is also the first
    /// backoff after a failed heartbeat.
    pub heartbeat_interval: Duration,
    /// Time for which callers may cache an answer with addresses.
    pub address_cache_time: Duration,
    /// Time from SIGTERM after which the platform may kill the process. The node ends before it.
    pub stop_timeout: Duration,
}

impl Default for RelayTimes {
    fn default() -> Self {
        Self {
            connect_timeout: Duration::from_millis(300),
            store_poll_wait: Duration::from_millis(1_500),
            store_answer_timeout: Duration::from_millis(800),
            heartbeat_interval: Duration::from_millis(400),
            address_cache_time: Duration::from_secs(2),
            stop_timeout: Duration::from_secs(8),
        }
    }
}

/// Addresses that a node listens at or connects to.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RelayAddresses {
    /// Listening address for callers' requests.
    pub callers: SocketAddr,
    /// Listening address for readiness checks, if any.
    pub ready: Option<SocketAddr>,
    /// Listening address for queries of the addresses that callers may use, if any.
    pub addresses: Option<SocketAddr>,
    /// Listening address for metrics, if any.
    pub metrics: Option<SocketAddr>,
    /// Listening address for peers.
    pub peers: SocketAddr,
    /// Address of the store.
    pub store: SocketAddr,
    /// Addresses of peers that are called first to discover other nodes.
    pub seeds: Vec<SocketAddr>,
}

/// Duties of the nodes, and the platform's interface for them.
#[derive(Clone, Debug, PartialEq)]
pub struct DutySettings {
    /// Address of the interface.
    pub address: SocketAddr,
    /// Duties that the nodes have.
    pub kinds: Vec<DutyKind>,
    /// Maximum number of calls per second of all nodes together.
    pub max_calls_per_s: f64,
    /// Lengths of leases and windows, and when reports are due.
    pub times: DutyTimes,
}

/// All settings of a relaying node.
#[derive(Clone, Debug)]
pub struct RelaySettings {
    /// Name, instance, data centre and addresses by which other nodes know the node.
    pub identity: Identity,
    /// Addresses of the node, its peers and the store.
    pub addresses: RelayAddresses,
    /// Thresholds and weights of the decisions, the only settings that are reloaded while the node runs.
    pub tuning: RelayTuning,
    /// Timeouts, intervals and the cache time of addresses.
    pub times: RelayTimes,
    /// Duties of the nodes; `None` if the platform asks for none.
    pub duties: Option<DutySettings>,
}

/// Source of the settings, which may change while the node runs.
pub trait SettingsSource {
    /// Returns the current settings.
    ///
    /// # Errors
    ///
    /// Returns a description of all faults in the settings. The node then keeps the settings that it has.
    fn read(&self) -> Result<RelaySettings, String>;
}
