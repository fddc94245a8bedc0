//! Prefixes of log lines, one for each component of the node.

/// Prefix of the decision thread, and of the start and stop of the node.
pub const NODE: &str = "node:";
/// Prefix of the callers' edge.
pub const CALLERS: &str = "callers:";
/// Prefix of the targets' edge.
pub const TARGETS: &str = "targets:";
/// Prefix of the peers' edge.
pub const PEERS: &str = "peers:";
/// Prefix of the edge to the table service.
pub const STORE: &str = "store:";
/// Prefix of the reader of the VM list.
pub const PLATFORM: &str = "platform:";
/// Prefix of load orders to engines.
pub const ORDERS: &str = "orders:";
/// Prefix of the ledger's edge, which writes charges.
pub const LEDGER: &str = "ledger:";
/// Prefix of operators' requests.
pub const OPERATORS: &str = "operators:";
