//! Prefixes of log lines, one for each area of the node.

/// Prefix of lines about the start, stop and settings of the node.
pub const NODE: &str = "node:";
/// Prefix of lines about connections of callers.
pub const CALLERS: &str = "callers:";
/// Prefix of lines about requests of callers.
pub const REQUEST: &str = "request:";
/// Prefix of lines about preparation stages and their pieces.
pub const STAGES: &str = "stages:";
/// Prefix of lines about targets and calls to them.
pub const TARGETS: &str = "targets:";
/// Prefix of lines about connections and calls between nodes.
pub const PEERS: &str = "peers:";
/// Prefix of lines about the rollouts of versions.
pub const ROLLOUTS: &str = "rollouts:";
/// Prefix of lines about the store and the copies of its tables.
pub const STORE: &str = "store:";
/// Prefix of lines about the duties of one node at a time.
pub const DUTIES: &str = "duties:";
