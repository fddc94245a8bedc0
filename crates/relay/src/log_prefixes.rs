//! Prefixes of log lines, one for each area of the node.

/// Start, stop and settings of the node.
pub const NODE: &str = "node:";
/// Connections of callers.
pub const CALLERS: &str = "callers:";
/// Events of requests.
pub const REQUEST: &str = "request:";
/// Preparation stages.
pub const STAGES: &str = "stages:";
/// Targets and calls to them.
pub const TARGETS: &str = "targets:";
/// Connections and calls between nodes.
pub const PEERS: &str = "peers:";
/// The store and the copies of its tables.
pub const STORE: &str = "store:";
