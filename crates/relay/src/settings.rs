//! What a relaying node starts with.

use std::net::SocketAddr;
use std::time::Duration;

use wasabipier_core::blackboard::Identity;
use wasabipier_core::relay::board::RelayTuning;

/// Times of the edges.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RelayTimes {
    /// Time for a connection to a target: a lost first packet is not waited for where another target can be asked.
    pub connect_within: Duration,
    /// Time for which the store may hold a call for changes.
    pub store_wait: Duration,
    /// Time beyond that for its answer; source: its answers take 4 ms, and up to 60 times as long when it is slow.
    pub store_slack: Duration,
    /// Interval of heartbeats between nodes.
    pub heartbeat_every: Duration,
    /// Time for which callers may keep an answer with addresses.
    pub addresses_kept: Duration,
    /// Time between the signal to stop and the end, at most.
    pub stop_within: Duration,
}

impl Default for RelayTimes {
    fn default() -> Self {
        Self {
            connect_within: Duration::from_millis(300),
            store_wait: Duration::from_millis(1_500),
            store_slack: Duration::from_millis(800),
            heartbeat_every: Duration::from_millis(400),
            addresses_kept: Duration::from_secs(2),
            stop_within: Duration::from_secs(8),
        }
    }
}

/// Addresses of a node.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RelayAddresses {
    /// Callers' requests.
    pub callers: SocketAddr,
    /// Whether it is ready.
    pub ready: Option<SocketAddr>,
    /// Which addresses callers may use.
    pub addresses: Option<SocketAddr>,
    /// Metrics.
    pub metrics: Option<SocketAddr>,
    /// Peers.
    pub peers: SocketAddr,
    /// The store.
    pub store: SocketAddr,
    /// Peers to ask first for others.
    pub seeds: Vec<SocketAddr>,
}

/// Everything that a relaying node starts with.
#[derive(Clone, Debug)]
pub struct RelaySettings {
    /// Who it is.
    pub identity: Identity,
    /// Where it listens and whom it asks.
    pub addresses: RelayAddresses,
    /// Bounds of the decisions.
    pub tuning: RelayTuning,
    /// Times of the edges.
    pub times: RelayTimes,
}

/// Reads the settings again: they may change while the node runs.
pub trait SettingsSource {
    /// The settings as they are now.
    ///
    /// # Errors
    ///
    /// Every fault in them; the node goes on with what it has.
    fn read(&self) -> Result<RelaySettings, String>;
}
