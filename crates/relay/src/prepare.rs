//! Runs the preparation stages of a request, and holds their results until the final call has used them.
//!
//! A stage consists of pieces, which targets make from the request's content or from the results of earlier stages.
//! Each result stays at the target that made it; the request holds a handle of it.

mod piece_calls;

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use futures_util::stream::{FuturesUnordered, StreamExt};
use spdlog::{debug, info};
use tokio::task::spawn_local;
use wasabipier_core::clock::Moment;
use wasabipier_core::names::{DcName, ServiceName};
use wasabipier_core::relay::document::RelayRoute;
use wasabipier_core::relay::graph::StageGraph;
use wasabipier_core::relay::pieces::{PieceFailure, PieceJob, PieceOutcome, PieceResult, PieceSource};
use wasabipier_wire::relay::WireCall;

use crate::batching;
use crate::clock;
use crate::log_prefixes::STAGES;
use crate::ports::RequestHead;
use crate::state::SharedNode;
use piece_calls::{make_pieces, owning_peer};

/// Timeout of the call that asks a peer to free results.
const FREE_TIMEOUT: Duration = Duration::from_secs(1);

/// Results of one service that are owned by the request. They are freed at their targets when this value is dropped.
struct HeldResults {
    node: SharedNode,
    service: ServiceName,
    results: Vec<PieceResult>,
}

impl Drop for HeldResults {
    fn drop(&mut self) {
        let mut by_dc: BTreeMap<DcName, Vec<Arc<str>>> = BTreeMap::new();
        for result in self.results.drain(..) {
            by_dc.entry(result.dc).or_default().push(result.handle);
        }
        for (dc, handles) in by_dc {
            spawn_local(free_results(self.node.clone(), self.service.clone(), dc, handles));
        }
    }
}

/// The results that the final call of a request takes as inputs. They are freed when this value is dropped.
#[derive(Default)]
pub struct PreparedInputs {
    held: Vec<HeldResults>,
}

impl PreparedInputs {
    /// Returns the handles of the results, in the order of their stages and pieces.
    #[must_use]
    pub fn handles(&self) -> Vec<Arc<str>> {
        self.held.iter().flat_map(|held| held.results.iter().map(|result| result.handle.clone())).collect()
    }
}

/// Parameters for running the stages of one request.
pub struct StageRun<'a> {
    /// The node that runs the stages.
    pub node: &'a SharedNode,
    /// The head of the request.
    pub head: &'a RequestHead,
    /// The route of the request.
    pub route: &'a RelayRoute,
    /// Rank of the request; 0 is the most urgent.
    pub rank: u8,
    /// Time by which the request must be answered.
    pub deadline: Moment,
    /// Time by which the request should be answered according to its latency objective.
    pub objective: Moment,
    /// Expected time from the start of the final call to its first event.
    pub final_call: Duration,
    /// Data centre in which the final call will probably run; `None` if no target is available.
    pub wanted_in: Option<DcName>,
}

/// Inputs of a stage.
struct StageInputs {
    source: PieceSource,
    /// Bytes of results that each piece fetches; 0 for content.
    bytes: u64,
    /// Data centre that holds most of these bytes; `None` for content.
    dc: Option<DcName>,
}

/// Outcome of a stage: the results of all pieces, or the failure of one of them.
struct StageOutcome {
    stage: usize,
    results: Result<Vec<PieceResult>, PieceFailure>,
}

impl StageRun<'_> {
    /// Runs the stages. Returns the results of the final stages, and the bytes of the results by data centre.
    ///
    /// # Errors
    ///
    /// Returns the failure of a piece. The results that were made are freed.
    pub async fn run(&self) -> Result<(PreparedInputs, BTreeMap<DcName, u64>), PieceFailure> {
        let mut graph = StageGraph::new(self.route.stages.clone(), &self.head.pieces);
        let mut held: BTreeMap<usize, HeldResults> = BTreeMap::new();
        let mut running = FuturesUnordered::new();
        while !graph.is_done() {
            for stage in graph.start_ready() {
                let inputs = self.collect_inputs(&graph, stage, &held);
                running.push(self.run_stage(&graph, stage, &inputs));
            }
            let Some(outcome) = running.next().await else { return Err(PieceFailure::Failed) };
            let service = graph.spec(outcome.stage).service.clone();
            held.insert(outcome.stage, HeldResults { node: self.node.clone(), service, results: outcome.results? });
            for unneeded in graph.finish(outcome.stage) {
                held.remove(&unneeded);
            }
        }
        drop(running);
        let final_stages = graph.final_stages();
        let mut bytes = BTreeMap::new();
        for (stage, held) in &held {
            for result in &held.results {
                *bytes.entry(result.dc.clone()).or_default() += graph.spec(*stage).result_bytes;
            }
        }
        let held = final_stages.into_iter().filter_map(|stage| held.remove(&stage)).collect();
        Ok((PreparedInputs { held }, bytes))
    }

    /// Returns the expected time from the start of a stage to the first event of the answer, without any queueing.
    fn time_needed(&self, graph: &StageGraph, stage: usize) -> Duration {
        let rest = graph
            .dependent_stages(stage)
            .map(|dependent| self.time_needed(graph, dependent))
            .max()
            .unwrap_or(self.final_call);
        let board = self.node.board.borrow();
        let spec = board.service(&graph.spec(stage).service).and_then(|service| service.batch.as_ref());
        let pieces = graph.piece_count(stage);
        let call_time = spec
            .filter(|_| pieces > 0)
            .map_or(Duration::ZERO, |spec| spec.fixed_call_time + spec.piece_time * pieces.min(spec.max_pieces as u32));
        call_time + rest
    }

    fn collect_inputs(&self, graph: &StageGraph, stage: usize, held: &BTreeMap<usize, HeldResults>) -> StageInputs {
        let after = &graph.spec(stage).input_stages;
        if after.is_empty() {
            let key = self.head.piece_key.clone().unwrap_or_default();
            return StageInputs { source: PieceSource::Content(key), bytes: 0, dc: None };
        }
        let mut handles: Vec<Arc<str>> = Vec::new();
        let mut bytes_by_dc: BTreeMap<&DcName, u64> = BTreeMap::new();
        for (stage, held) in after.iter().filter_map(|stage| Some((*stage, held.get(stage)?))) {
            for result in &held.results {
                handles.push(result.handle.clone());
                *bytes_by_dc.entry(&result.dc).or_default() += graph.spec(stage).result_bytes;
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
    ) -> impl Future<Output = StageOutcome> + use<'s> {
        let spec = graph.spec(stage);
        // A stage preferably runs in the data centre of its inputs, and a final stage without inputs in that of the
        // final call, which fetches the results. The first stage of a longer chain runs wherever a target is free.
        let is_last = graph.dependent_stages(stage).next().is_none();
        let wanted_in = inputs.dc.clone().or_else(|| self.wanted_in.clone().filter(|_| is_last));
        let time_needed = self.time_needed(graph, stage);
        let job = |segment| PieceJob {
            request: self.head.request.clone(),
            stage: stage as u32,
            segment,
            source: inputs.source.clone(),
            deadline: self.deadline,
            objective: self.objective,
            time_needed,
            rank: self.rank,
            wanted_in: wanted_in.clone(),
            result_bytes: spec.result_bytes,
            remote_bytes: inputs.bytes + spec.result_bytes * u64::from(graph.fetches_per_result(stage)),
        };
        let jobs: Vec<PieceJob> = (0..graph.piece_count(stage)).map(job).collect();
        let service = spec.service.clone();
        async move {
            let started = clock::now();
            let outcomes = make_pieces(self.node, &service, jobs).await;
            let results = self.collect_results(&service, outcomes);
            if self.node.log_limiter.allows(started) {
                let outcome = results.as_ref().map_or_else(ToString::to_string, |made| format!("{} made", made.len()));
                let (id, took) = (&*self.head.request, clock::now().since(started).as_millis() as u64);
                info!("{STAGES} stage ended.", kv: { id, stage, service = service.as_str(), outcome = outcome.as_str(), took_ms = took });
            }
            StageOutcome { stage, results }
        }
    }
}

impl StageRun<'_> {
    /// Returns the results of a stage. If one piece failed, the results of the others are freed.
    fn collect_results(
        &self,
        service: &ServiceName,
        outcomes: Vec<PieceOutcome>,
    ) -> Result<Vec<PieceResult>, PieceFailure> {
        let failure = outcomes.iter().find_map(|outcome| outcome.as_ref().err().copied());
        let results: Vec<PieceResult> = outcomes.into_iter().filter_map(Result::ok).collect();
        let Some(failure) = failure else { return Ok(results) };
        drop(HeldResults { node: self.node.clone(), service: service.clone(), results });
        Err(failure)
    }
}

/// Frees results of a data centre at the node that batched their pieces.
async fn free_results(node: SharedNode, service: ServiceName, dc: DcName, handles: Vec<Arc<str>>) {
    let Some((_, address)) = owning_peer(&node, &service, &dc) else {
        return batching::free_results_locally(&node, &service, &handles);
    };
    let call =
        WireCall::Free { service: service.to_string(), handles: handles.iter().map(ToString::to_string).collect() };
    if let Err(error) = node.peers.call(address, &call, FREE_TIMEOUT).await {
        debug!("{STAGES} batching node did not answer; freeing results directly: {error}.");
        batching::free_results_locally(&node, &service, &handles);
    }
}
