//! Prefixes of log lines, one for each part of the node.

/// Starting and stopping.
pub const NODE: &str = "node:";
/// Callers' edge.
pub const CALLERS: &str = "callers:";
/// Targets' edge.
pub const TARGETS: &str = "targets:";
/// Peers' edge.
pub const PEERS: &str = "peers:";
/// Table service's edge.
pub const STORE: &str = "store:";
/// VM list's edge.
pub const PLATFORM: &str = "platform:";
/// Orders to engines.
pub const ORDERS: &str = "orders:";
/// Charge ledger.
pub const LEDGER: &str = "ledger:";
/// Operators' edge.
pub const OPERATORS: &str = "operators:";
