//! Traits through which the decision thread reaches its edges. An edge is the part of a node that does the I/O with one
//! kind of party: callers, targets, peers, the table service, engines or the ledger.

use std::net::SocketAddr;

use wasabipier_core::action::LoadOrder;
use wasabipier_core::prelude::*;

/// Sends attempts to targets.
pub trait TargetPort {
    /// Sends an attempt. The events of the attempt come back as inputs of the decision thread.
    fn send(&mut self, request: AttemptRequest);
    /// Cancels an attempt and closes its connection, which tells the target to stop.
    fn cancel(&mut self, attempt: AttemptId);
}

/// Sends messages to peers.
pub trait PeerPort {
    /// Opens a connection to a peer and keeps it open until `disconnect`.
    fn connect(&mut self, node: NodeName, address: SocketAddr);
    /// Closes the connection to a peer.
    fn disconnect(&mut self, node: &NodeName);
    /// Sends a message, or drops it if the peer cannot be reached.
    fn send(&mut self, node: &NodeName, message: PeerMessage);
}

/// Sends operations to the table service.
pub trait StorePort {
    /// Sends an operation. The reply comes back, with the ticket, as an input of the decision thread.
    fn send(&mut self, ticket: StoreTicket, op: StoreOp);
}

/// Sends load orders to engines and asks which model they have loaded.
pub trait LoadOrderPort {
    /// Asks a target what it has loaded. The answer comes back as an input of the decision thread.
    fn fetch_loaded(&mut self, target: TargetName, address: SocketAddr);
    /// Sends an order, unless its validity has expired by then. The reply comes back as an input of the decision
    /// thread.
    fn send_order(&mut self, order: LoadOrder);
}

/// Writes charges to the ledger.
pub trait LedgerPort {
    /// Adds a charge line to the next write.
    fn append(&mut self, line: ChargeLine);
    /// Writes all pending lines and waits a bounded time for the end of the write.
    fn flush(&mut self);
}
