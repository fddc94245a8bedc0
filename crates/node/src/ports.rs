//! Borders between the decision thread and its edges, as traits.

use std::net::SocketAddr;

use wasabipier_core::action::LoadOrder;
use wasabipier_core::prelude::*;

/// Sends attempts to targets.
pub trait TargetPort {
    /// Sends an attempt; its events come back as inputs.
    fn send(&mut self, order: AttemptRequest);
    /// Stops an attempt; its target is told by the closed connection.
    fn cancel(&mut self, attempt: AttemptId);
}

/// Talks to peers.
pub trait PeerPort {
    /// Keeps a connection to a peer from now on.
    fn connect(&mut self, node: NodeName, address: SocketAddr);
    /// Gives it up.
    fn disconnect(&mut self, node: &NodeName);
    /// Sends a message, or drops it if the peer cannot be reached.
    fn tell(&mut self, node: &NodeName, message: PeerMessage);
}

/// Does operations at the table service.
pub trait StorePort {
    /// Sends an operation; its reply comes back as an input.
    fn send(&mut self, ticket: StoreTicket, op: StoreOp);
}

/// Orders engines about.
pub trait OrderPort {
    /// Asks a target what it has loaded; its answer comes back as an input.
    fn inspect(&mut self, target: TargetName, address: SocketAddr);
    /// Sends an order, unless its time to leave has passed; its answer comes back as an input.
    fn order(&mut self, order: LoadOrder);
}

/// Keeps charges.
pub trait LedgerPort {
    /// Keeps one charge line.
    fn keep(&mut self, line: ChargeLine);
    /// Writes what is not yet written.
    fn flush(&mut self);
}
