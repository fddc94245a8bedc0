//! JSON towards the platform's table service, object store and VM list.
//!
//! `POST /v1/batch` does operations in order, each under its own condition, or all or none if
//! `atomic`. Objects are `PUT` and `GET` at `/v1/objects/KEY` and listed at `/v1/objects?prefix=`.
//! `GET /v1/vms` gives the VM list.

use serde::{Deserialize, Serialize};

/// Operations for the table service.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct BatchCall {
    /// Operations.
    pub operations: Vec<TableOp>,
    /// Whether one condition that does not hold undoes all.
    pub atomic: bool,
}

/// One operation.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "op", rename_all = "kebab-case")]
pub enum TableOp {
    /// Write if the row's version is `expected`; null means that there must be no row.
    Write {
        /// Row.
        key: String,
        /// Condition.
        expected: Option<u64>,
        /// Value.
        value: serde_json::Value,
    },
    /// Read.
    Read {
        /// Row.
        key: String,
    },
}

/// Results, one for each operation.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct BatchReply {
    /// In the order of the operations.
    pub results: Vec<TableResult>,
}

/// One result.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "result", rename_all = "kebab-case")]
pub enum TableResult {
    /// The write took effect.
    Written {
        /// New version.
        version: u64,
    },
    /// The condition did not hold.
    Conflict {
        /// The row as it is.
        row: Option<TableRow>,
    },
    /// The row as read.
    Read {
        /// The row, or null.
        row: Option<TableRow>,
    },
}

/// A row.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct TableRow {
    /// Version.
    pub version: u64,
    /// Value.
    pub value: serde_json::Value,
}

/// The VM list.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct VmsReply {
    /// VMs.
    pub vms: Vec<WireVm>,
}

/// One VM.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WireVm {
    /// Node on it.
    pub node: String,
    /// Data centre.
    pub data_centre: String,
    /// Address for callers.
    pub caller_address: std::net::SocketAddr,
    /// Address for peers.
    pub peer_address: std::net::SocketAddr,
    /// `live` or `leaving`.
    pub state: String,
}

/// Keys in the object store.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ObjectsReply {
    /// Keys under the prefix, in order.
    pub keys: Vec<String>,
}
