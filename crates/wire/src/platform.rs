//! JSON bodies that nodes exchange with the platform's table service, object store and VM list.
//!
//! `POST /v1/batch` executes operations in order, each under its own condition, or all or none of them if `atomic` is
//! set. `PUT` and `GET` of `/v1/objects/KEY` write and read an object, `GET /v1/objects?prefix=` lists keys, and
//! `GET /v1/vms` returns the VM list.

use serde::{Deserialize, Serialize};

/// Body of `POST /v1/batch`: operations for the table service.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct BatchCall {
    /// Operations in the order in which they are executed.
    pub operations: Vec<TableOp>,
    /// Whether no operation takes effect if the condition of one of them does not hold.
    pub atomic: bool,
}

/// Operation on a row.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "op", rename_all = "kebab-case")]
pub enum TableOp {
    /// Writes a row if its version is `expected`. Null requires that the row does not exist.
    Write {
        /// Key of the row.
        key: String,
        /// Version that the row must have.
        expected: Option<u64>,
        /// New value of the row.
        value: serde_json::Value,
    },
    /// Reads a row.
    Read {
        /// Key of the row.
        key: String,
    },
}

/// Reply to [`BatchCall`].
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct BatchReply {
    /// Results of the operations, in the same order.
    pub results: Vec<TableResult>,
}

/// Result of a [`TableOp`].
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "result", rename_all = "kebab-case")]
pub enum TableResult {
    /// The write took effect.
    Written {
        /// New version of the row.
        version: u64,
    },
    /// The condition did not hold, and nothing was written.
    Conflict {
        /// Current row, or null if it does not exist.
        row: Option<TableRow>,
    },
    /// The read succeeded.
    Read {
        /// Row that was read, or null if it does not exist.
        row: Option<TableRow>,
    },
}

/// Row of the table service.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct TableRow {
    /// Version of the row.
    pub version: u64,
    /// Value of the row.
    pub value: serde_json::Value,
}

/// Reply to `GET /v1/vms`: the VM list.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct VmsReply {
    /// VMs of the platform.
    pub vms: Vec<WireVm>,
}

/// VM in the VM list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WireVm {
    /// Node that runs on the VM.
    pub node: String,
    /// Data centre of the VM.
    pub data_centre: String,
    /// Address that the node accepts calls on.
    pub caller_address: std::net::SocketAddr,
    /// Address that the node accepts connections from peers on.
    pub peer_address: std::net::SocketAddr,
    /// State of the VM: `live` or `leaving`.
    pub state: String,
}

/// Reply to `GET /v1/objects?prefix=`: keys in the object store.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ObjectsReply {
    /// Keys that begin with the prefix, in ascending order.
    pub keys: Vec<String>,
}
