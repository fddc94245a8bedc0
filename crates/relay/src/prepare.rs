//! Runs the preparation stages of a request.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use futures_util::stream::{FuturesUnordered, StreamExt};
use spdlog::{debug, info};
use tokio::task::spawn_local;
use tokio::time::sleep;
use wasabipier_core::clock::Moment;
use wasabipier_core::names::{DcName, NodeName, ServiceName};
use wasabipier_core::relay::document::RelayRoute;
use wasabipier_core::relay::graph::StageGraph;
use wasabipier_core::relay::pieces::{PieceFailure, PieceJob, PieceOutcome, PieceResult, PieceSource};
use wasabipier_wire::relay::{WireCall, WireReply, jobs_to_wire, outcome_from_wire};

use crate::clock;
use crate::gather;
use crate::part::{PEERS, STAGES};
use crate::peers::{self, PeerError};
use crate::ports::AskHead;
use crate::state::SharedNode;

/// Interval at which it is looked whether the peer that makes pieces still lives.
const LOOK_AGAIN: Duration = Duration::from_millis(100);
/// Time for a peer to take results back.
const FREE_WITHIN: Duration = Duration::from_secs(1);

/// Results of one service that nobody else will free.
struct HeldResults {
    node: SharedNode,
    service: ServiceName,
    results: Vec<PieceResult>,
}

impl Drop for HeldResults {
    fn drop(&mut self) {
        let handles: Vec<Arc<str>> = self.results.drain(..).map(|result| result.handle).collect();
        if !handles.is_empty() {
            spawn_local(free(self.node.clone(), self.service.clone(), handles));
        }
    }
}

/// What the final call of a request works on; freed when dropped.
#[derive(Default)]
pub struct PreparedInputs {
    held: Vec<HeldResults>,
}

impl PreparedInputs {
    /// Handles of the results, in the order of their stages and pieces.
    #[must_use]
    pub fn handles(&self) -> Vec<Arc<str>> {
        self.held.iter().flat_map(|held| held.results.iter().map(|result| result.handle.clone())).collect()
    }
}

/// A request whose stages are to be run.
pub struct StageRun<'a> {
    /// The node.
    pub node: &'a SharedNode,
    /// The request's head.
    pub head: &'a AskHead,
    /// Its route.
    pub route: &'a RelayRoute,
    /// Its urgency.
    pub rank: u8,
    /// When it must be answered.
    pub deadline: Moment,
    /// When it should be answered.
    pub objective: Moment,
    /// Usual time of the final call.
    pub final_call: Duration,
    /// Data centre in which its final call will probably run.
    pub wanted_in: Option<DcName>,
}

/// What a stage works on.
struct StageInputs {
    source: PieceSource,
    /// Bytes that each piece fetches.
    bytes: u64,
    /// Data centre that holds most of them.
    dc: Option<DcName>,
}

/// A stage that ended.
struct StageEnd {
    stage: usize,
    results: Result<Vec<PieceResult>, PieceFailure>,
}

impl StageRun<'_> {
    /// Runs the stages; gives back the results of the last ones, and their bytes by data centre.
    ///
    /// # Errors
    ///
    /// Why a piece could not be made.
    pub async fn run(&self) -> Result<(PreparedInputs, BTreeMap<DcName, u64>), PieceFailure> {
        let mut graph = StageGraph::new(self.route.stages.clone(), &self.head.pieces);
        let mut held: BTreeMap<usize, HeldResults> = BTreeMap::new();
        let mut running = FuturesUnordered::new();
        while !graph.is_done() {
            for stage in graph.start_ready() {
                let inputs = self.inputs(&graph, stage, &held);
                running.push(self.run_stage(&graph, stage, &inputs));
            }
            let Some(end) = running.next().await else { return Err(PieceFailure::Failed) };
            let service = graph.spec(end.stage).service.clone();
            held.insert(end.stage, HeldResults { node: self.node.clone(), service, results: end.results? });
            for unneeded in graph.finish(end.stage) {
                held.remove(&unneeded);
            }
        }
        drop(running);
        let last = graph.final_stages();
        let mut bytes = BTreeMap::new();
        for (stage, held) in &held {
            for result in &held.results {
                *bytes.entry(result.dc.clone()).or_default() += graph.spec(*stage).result_bytes;
            }
        }
        let held = last.into_iter().filter_map(|stage| held.remove(&stage)).collect();
        Ok((PreparedInputs { held }, bytes))
    }

    /// Time from the start of a stage to the answer, if nothing waits.
    fn needs(&self, graph: &StageGraph, stage: usize) -> Duration {
        let rest = graph.dependent_stages(stage).map(|user| self.needs(graph, user)).max().unwrap_or(self.final_call);
        let board = self.node.board.borrow();
        let spec = board.service(&graph.spec(stage).service).and_then(|service| service.batch.as_ref());
        let pieces = graph.pieces(stage);
        let work = spec
            .filter(|_| pieces > 0)
            .map_or(Duration::ZERO, |spec| spec.call_time + spec.piece_time * pieces.min(spec.max_pieces as u32));
        work + rest
    }

    fn inputs(&self, graph: &StageGraph, stage: usize, held: &BTreeMap<usize, HeldResults>) -> StageInputs {
        let after = &graph.spec(stage).after;
        if after.is_empty() {
            let key = self.head.piece_key.clone().unwrap_or_default();
            return StageInputs { source: PieceSource::Content(key), bytes: 0, dc: None };
        }
        let mut handles: Vec<Arc<str>> = Vec::new();
        let mut bytes_by_dc: BTreeMap<&DcName, u64> = BTreeMap::new();
        for (at, held) in after.iter().filter_map(|at| Some((*at, held.get(at)?))) {
            for result in &held.results {
                handles.push(result.handle.clone());
                *bytes_by_dc.entry(&result.dc).or_default() += graph.spec(at).result_bytes;
            }
        }
        let most = bytes_by_dc.iter().max_by_key(|(_, bytes)| **bytes);
        StageInputs {
            source: PieceSource::Results(handles.into()),
            bytes: bytes_by_dc.values().sum(),
            dc: most.map(|(dc, _)| (*dc).clone()),
        }
    }

    fn run_stage<'s>(
        &'s self,
        graph: &StageGraph,
        stage: usize,
        inputs: &StageInputs,
    ) -> impl Future<Output = StageEnd> + use<'s> {
        let spec = graph.spec(stage);
        // Results are made where their inputs are, or where the final call will run if it fetches them. A chain
        // begins wherever a target is free.
        let is_last = graph.dependent_stages(stage).next().is_none();
        let wanted_in = inputs.dc.clone().or_else(|| self.wanted_in.clone().filter(|_| is_last));
        let needs = self.needs(graph, stage);
        let job = |segment| PieceJob {
            request: self.head.request.clone(),
            stage: stage as u32,
            segment,
            source: inputs.source.clone(),
            deadline: self.deadline,
            objective: self.objective,
            time_needed: needs,
            rank: self.rank,
            wanted_in: wanted_in.clone(),
            result_bytes: spec.result_bytes,
            remote_bytes: inputs.bytes + spec.result_bytes * u64::from(graph.dependent_pieces(stage)),
        };
        let jobs: Vec<PieceJob> = (0..graph.pieces(stage)).map(job).collect();
        let service = spec.service.clone();
        async move {
            let started = clock::now();
            let ends = make(self.node, &service, jobs).await;
            let results = self.collect(&service, ends);
            if self.node.pace.admits(started) {
                let outcome = results.as_ref().map_or_else(ToString::to_string, |made| format!("{} made", made.len()));
                let (id, took) = (&*self.head.request, clock::now().since(started).as_millis() as u64);
                info!("{STAGES} stage ended.", kv: { id, stage, service = service.as_str(), outcome = outcome.as_str(), took_ms = took });
            }
            StageEnd { stage, results }
        }
    }
}

impl StageRun<'_> {
    /// The results of a stage; if one is missing, the others are given up.
    fn collect(&self, service: &ServiceName, ends: Vec<PieceOutcome>) -> Result<Vec<PieceResult>, PieceFailure> {
        let failure = ends.iter().find_map(|end| end.as_ref().err().copied());
        let results: Vec<PieceResult> = ends.into_iter().filter_map(Result::ok).collect();
        let Some(failure) = failure else { return Ok(results) };
        drop(HeldResults { node: self.node.clone(), service: service.clone(), results });
        Err(failure)
    }
}

/// Makes pieces where the pieces of all nodes meet; if that node falls silent, at the next one.
async fn make(node: &SharedNode, service: &ServiceName, jobs: Vec<PieceJob>) -> Vec<PieceOutcome> {
    while let Some((peer, address)) = gatherer(node, service) {
        let now = clock::now();
        let within = jobs.iter().map(|job| now.until(job.deadline)).max().unwrap_or_default();
        let call = WireCall::Pieces { service: service.to_string(), jobs: jobs_to_wire(&jobs, now) };
        let reply = tokio::select! {
            reply = node.peers.call(address, &call, within) => reply,
            () = falls_silent(node, &peer) => Err(PeerError::Silent),
        };
        match reply {
            Ok(WireReply::Pieces(ends)) if ends.len() == jobs.len() => {
                return ends.into_iter().map(outcome_from_wire).collect();
            }
            Ok(_) => return vec![Err(PieceFailure::Failed); jobs.len()],
            Err(error) => {
                peers::suspect(node, address, &error);
                let (peer, error) = (peer.as_str(), error.to_string());
                info!("{PEERS} gatherer did not answer; asking the next one.", kv: { peer, error = error.as_str(), service = service.as_str() });
            }
        }
    }
    gather::make_here(node, service, jobs).await
}

/// Ends when a peer does not count as alive any more.
async fn falls_silent(node: &SharedNode, peer: &NodeName) {
    loop {
        sleep(LOOK_AGAIN).await;
        let now = clock::now();
        if !node.board.borrow().members.alive(now).any(|view| view.is_reachable(now) && view.heartbeat.node == *peer) {
            return;
        }
    }
}

/// The peer that gathers for a service; none: this node.
fn gatherer(node: &SharedNode, service: &ServiceName) -> Option<(NodeName, std::net::SocketAddr)> {
    let board = node.board.borrow();
    let name = board.batching_node(service, clock::now());
    let view = board.members.get(name)?;
    Some((name.clone(), view.heartbeat.peer_address))
}

/// Gives results up where their pieces were gathered.
async fn free(node: SharedNode, service: ServiceName, handles: Vec<Arc<str>>) {
    let Some((_, address)) = gatherer(&node, &service) else { return gather::free_here(&node, &service, &handles) };
    let call =
        WireCall::Free { service: service.to_string(), handles: handles.iter().map(ToString::to_string).collect() };
    if let Err(error) = node.peers.call(address, &call, FREE_WITHIN).await {
        debug!("{STAGES} gatherer not reached; freeing results directly: {error}.");
        gather::free_here(&node, &service, &handles);
    }
}
