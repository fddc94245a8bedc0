//! Prefixes of log lines, one for each part of the node.

/// Starting, stopping, settings.
pub const NODE: &str = "node:";
/// Callers' connections.
pub const CALLERS: &str = "callers:";
/// What happens to a request.
pub const REQUEST: &str = "request:";
/// Preparation stages.
pub const STAGES: &str = "stages:";
/// Targets.
pub const TARGETS: &str = "targets:";
/// Peers.
pub const PEERS: &str = "peers:";
/// The store and the tables read from it.
pub const STORE: &str = "store:";
