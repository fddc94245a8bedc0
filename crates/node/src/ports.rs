//! Traits through which the decision thread reaches its edges.

use std::net::SocketAddr;

use wasabipier_core::action::LoadOrder;
use wasabipier_core::prelude::*;

/// Sends attempts to targets.
pub trait TargetPort {
    /// Sends an attempt. Its events come back as inputs.
    fn send(&mut self, order: AttemptRequest);
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
    /// Sends an operation. Its reply comes back as an input.
    fn send(&mut self, ticket: StoreTicket, op: StoreOp);
}

/// Sends orders to engines and asks for their state.
pub trait OrderPort {
    /// Asks a target what it has loaded. The answer comes back as an input.
    fn inspect(&mut self, target: TargetName, address: SocketAddr);
    /// Sends an order, unless it is no longer valid. The reply comes back as an input.
    fn send_order(&mut self, order: LoadOrder);
}

/// Writes charges to the ledger.
pub trait LedgerPort {
    /// Adds a charge line to the next write.
    fn append(&mut self, line: ChargeLine);
    /// Writes all pending lines and waits for the result, for a bounded time.
    fn flush(&mut self);
}
