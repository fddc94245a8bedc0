//! Which nodes are named to callers that ask for addresses.
//!
//! An answer names a bounded number of nodes. In a fleet with more nodes, answers to different callers name different
//! ones, so that all nodes get callers, and answers to the same caller name the same ones, so that it keeps its
//! connections.

use std::net::{IpAddr, SocketAddr};

use crate::clock::Moment;
use crate::message::NodeState;
use crate::names::{DcName, NodeName};
use crate::relay::board::RelayBoard;
use crate::relay::members::rendezvous_weight;

/// What a query for addresses tells of its caller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AddressQuery {
    /// Host of the caller.
    pub host: IpAddr,
    /// Data centre of the caller, or the one closest to it, if the query names it.
    pub dc: Option<DcName>,
    /// Maximum number of addresses in the answer.
    pub max_count: usize,
}

/// A node that may be named to callers.
struct NamedNode<'a> {
    node: &'a NodeName,
    dc: &'a DcName,
    caller_address: SocketAddr,
    is_cut_off: bool,
}

impl RelayBoard {
    /// Fraction of an answer for nodes of the caller's data centre. The others remain if that data centre is lost.
    const LOCAL_RATIO: f64 = 0.75;

    /// Returns the addresses for callers of the nodes that accept new work, including this one. Nodes that are cut off
    /// from all targets are left out if they are not more than half of all.
    #[must_use]
    pub fn addresses(&self, now: Moment) -> Vec<SocketAddr> {
        self.named_nodes(now).iter().map(|named| named.caller_address).collect()
    }

    /// Returns up to `max_count` of the `addresses`, chosen for the caller. If there are more, most are in its data
    /// centre, and some are elsewhere.
    #[must_use]
    pub fn addresses_for(&self, query: &AddressQuery, now: Moment) -> Vec<SocketAddr> {
        let mut named = self.named_nodes(now);
        if named.len() > query.max_count {
            let host = query.host.to_string();
            named.sort_by_cached_key(|named| rendezvous_weight(&host, named.node.as_str()));
            let is_local = |named: &NamedNode<'_>| query.dc.as_ref() == Some(named.dc);
            let (mut local, mut remote): (Vec<_>, Vec<_>) = named.into_iter().partition(is_local);
            let local_count = (query.max_count as f64 * Self::LOCAL_RATIO) as usize;
            let spare = local.split_off(local_count.min(local.len()));
            remote.extend(spare);
            local.extend(remote);
            named = local;
        }
        named.into_iter().take(query.max_count).map(|named| named.caller_address).collect()
    }

    fn named_nodes(&self, now: Moment) -> Vec<NamedNode<'_>> {
        let own = (self.state == NodeState::Serving).then_some(NamedNode {
            node: &self.identity.node,
            dc: &self.identity.dc,
            caller_address: self.identity.caller_address,
            is_cut_off: self.paths.is_cut_off(),
        });
        let peers = self.members.serving(now).map(|view| NamedNode {
            node: &view.heartbeat.node,
            dc: &view.heartbeat.dc,
            caller_address: view.heartbeat.caller_address,
            is_cut_off: view.heartbeat.paths.is_cut_off,
        });
        let (cut_off, connected): (Vec<_>, Vec<_>) = own.into_iter().chain(peers).partition(|named| named.is_cut_off);
        let is_few = cut_off.len() <= connected.len();
        connected.into_iter().chain(cut_off.into_iter().filter(|_| !is_few)).collect()
    }
}
