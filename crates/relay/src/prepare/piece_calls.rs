//! Calls to the nodes that batch pieces. If the node that batches the pieces of a service is silent, another one is asked,
//! and the first results count.

use std::future::poll_fn;
use std::net::SocketAddr;
use std::pin::Pin;
use std::task::Poll;
use std::time::Duration;

use spdlog::info;
use tokio::time::sleep;
use wasabipier_core::names::{DcName, NodeName, ServiceName};
use wasabipier_core::relay::piece_nodes::PieceScope;
use wasabipier_core::relay::pieces::{PieceFailure, PieceJob, PieceOutcome};
use wasabipier_wire::relay::{WireCall, WireReply, jobs_to_wire, outcome_from_wire};

use super::HeldResults;
use crate::batching;
use crate::clock;
use crate::log_prefixes::PEERS;
use crate::peers::{self, PeerError};
use crate::state::SharedNode;

/// Interval at which a request that waits for pieces checks whether the node that batches them is still reachable.
const LIVENESS_CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// Result of a call to a node that batches pieces: one outcome for each piece, or why the node did not answer.
type PieceReply = Result<Vec<PieceOutcome>, PeerError>;

/// A call for pieces that has not ended.
struct PieceCall {
    run: Pin<Box<dyn Future<Output = PieceReply>>>,
    /// The node that makes the pieces in calls to targets.
    batching_node: NodeName,
    /// Its address; `None` if it is this node.
    address: Option<SocketAddr>,
}

/// What happened to the open calls for pieces.
enum CallEvent {
    /// A call ended, and is no longer among them.
    Ended { call: PieceCall, reply: PieceReply, is_newest: bool },
    /// The newest call should not be waited for alone.
    Doubted,
}

/// Has pieces made by the node that batches the pieces of all nodes for a service. If that node becomes unreachable, or
/// does not reach the targets of the service any more, the next one is asked, too. Returns the first outcomes without a
/// failure, or those of the last call.
pub(super) async fn make_pieces(node: &SharedNode, service: &ServiceName, jobs: Vec<PieceJob>) -> Vec<PieceOutcome> {
    let mut calls: Vec<PieceCall> = Vec::new();
    let mut failed_nodes: Vec<NodeName> = Vec::new();
    // Why the next node is to be asked; `None` if it is not.
    let mut doubt = Some(String::new());
    loop {
        if let Some(doubt) = doubt.take() {
            let (name, address) = choose_batching_node(node, service, &jobs);
            if calls.iter().all(|call| call.batching_node != name) && !failed_nodes.contains(&name) {
                log_next_call(service, &name, &doubt);
                calls.push(start_call(node, service, &jobs, name, address));
            }
        }
        if calls.is_empty() {
            return vec![Err(PieceFailure::Failed); jobs.len()];
        }
        match next_event(node, service, &mut calls).await {
            CallEvent::Doubted => doubt = calls.last().map(|call| format!("{}: silent or cut off", call.batching_node)),
            CallEvent::Ended { call, reply: Err(error), is_newest } => {
                if let Some(address) = call.address {
                    peers::record_unreachable(node, address, &error);
                }
                doubt = is_newest.then(|| format!("{}: {error}", call.batching_node));
            }
            CallEvent::Ended { reply: Ok(outcomes), .. } if calls.is_empty() || outcomes.iter().all(Result::is_ok) => {
                return outcomes;
            }
            CallEvent::Ended { call, reply: Ok(outcomes), .. } => {
                failed_nodes.push(call.batching_node);
                let results = outcomes.into_iter().flatten().collect();
                drop(HeldResults { node: node.clone(), service: service.clone(), results });
            }
        }
    }
}

/// Logs that the batching node `name` is asked, if that is because of a `doubt` about another one.
fn log_next_call(service: &ServiceName, name: &NodeName, doubt: &str) {
    if !doubt.is_empty() {
        let (service, next) = (service.as_str(), name.as_str());
        info!("{PEERS} batching node did not make the pieces; asking the next one, too.", kv: { doubt, next, service });
    }
}

async fn next_event(node: &SharedNode, service: &ServiceName, calls: &mut Vec<PieceCall>) -> CallEvent {
    let newest = calls.last().map(|call| (call.batching_node.clone(), call.address.is_some()));
    let next_end = poll_fn(|cx| {
        for (index, call) in calls.iter_mut().enumerate() {
            if let Poll::Ready(reply) = call.run.as_mut().poll(cx) {
                return Poll::Ready((index, reply));
            }
        }
        Poll::Pending
    });
    tokio::select! {
        biased;
        (index, reply) = next_end => {
            let call = calls.remove(index);
            CallEvent::Ended { call, reply, is_newest: index == calls.len() }
        }
        () = wait_until_doubted(node, service, newest) => CallEvent::Doubted,
    }
}

/// Starts a call to the batching node `name`, which is a peer if there is an `address`.
fn start_call(
    node: &SharedNode,
    service: &ServiceName,
    jobs: &[PieceJob],
    name: NodeName,
    address: Option<SocketAddr>,
) -> PieceCall {
    let (caller, service, jobs) = (node.clone(), service.clone(), jobs.to_vec());
    let run: Pin<Box<dyn Future<Output = PieceReply>>> = match address {
        Some(address) => Box::pin(async move { call_peer(&caller, &service, &jobs, address).await }),
        None => Box::pin(async move { Ok(batching::make_pieces_locally(&caller, &service, jobs).await) }),
    };
    PieceCall { run, batching_node: name, address }
}

async fn call_peer(node: &SharedNode, service: &ServiceName, jobs: &[PieceJob], address: SocketAddr) -> PieceReply {
    let now = clock::now();
    let time_limit = jobs.iter().map(|job| now.until(job.deadline)).max().unwrap_or_default();
    let call = WireCall::Pieces { service: service.to_string(), jobs: jobs_to_wire(jobs, now) };
    match node.peers.call(address, &call, time_limit).await? {
        WireReply::Pieces(outcomes) if outcomes.len() == jobs.len() => {
            Ok(outcomes.into_iter().map(outcome_from_wire).collect())
        }
        _ => Ok(vec![Err(PieceFailure::Failed); jobs.len()]),
    }
}

/// Waits until the batching node of the newest call, named with whether it is a peer, is a peer that is not alive and
/// reachable, or does not reach the targets of `service` while another node does.
async fn wait_until_doubted(node: &SharedNode, service: &ServiceName, newest: Option<(NodeName, bool)>) {
    let Some((name, is_peer)) = newest else { return };
    let dc = node.board.borrow().members.get(&name).map(|view| view.heartbeat.dc.clone());
    loop {
        sleep(LIVENESS_CHECK_INTERVAL).await;
        let (board, now) = (node.board.borrow(), clock::now());
        let is_reachable =
            !is_peer || board.members.alive(now).any(|view| view.is_reachable(now) && view.heartbeat.node == name);
        let is_first = if board.batches_by_dc(service, now) {
            dc.as_ref().is_none_or(|dc| board.batching_node_in(service, dc, now) == Some(&name))
        } else {
            *board.batching_node(service, now) == name
        };
        let is_taken_over = !board.node_reaches(&name, service) && !is_first;
        if !is_reachable || is_taken_over {
            return;
        }
    }
}

/// Returns the node that is to batch the pieces of `jobs`, all of one stage, and its address if it is a peer.
fn choose_batching_node(node: &SharedNode, service: &ServiceName, jobs: &[PieceJob]) -> (NodeName, Option<SocketAddr>) {
    let mut board = node.board.borrow_mut();
    let first = jobs.first();
    let scope = PieceScope {
        service,
        wanted_in: first.and_then(|job| job.wanted_in.as_ref()),
        rank: first.map_or(0, |job| job.rank),
        remote_bytes: jobs.iter().map(|job| job.remote_bytes).sum(),
    };
    let name = board.choose_batching_node(scope, clock::now());
    let address = board.members.get(&name).map(|view| view.heartbeat.peer_address);
    (name, address)
}

/// Returns the peer that batches the pieces of a service for the targets in `dc`, or `None` if this node does.
pub(super) fn owning_peer(node: &SharedNode, service: &ServiceName, dc: &DcName) -> Option<(NodeName, SocketAddr)> {
    let (board, now) = (node.board.borrow(), clock::now());
    let in_dc = board.batching_node_in(service, dc, now).filter(|_| board.batches_by_dc(service, now));
    let name = in_dc.unwrap_or_else(|| board.batching_node(service, now));
    let view = board.members.get(name)?;
    Some((name.clone(), view.heartbeat.peer_address))
}
