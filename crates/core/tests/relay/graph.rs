//! Tests of the order in which the preparation stages of a request run, and of the check of that order in documents.

use wasabipier_core::names::ServiceName;
use wasabipier_core::relay::document::{DocumentFault, RelayDocument, RelayRoute, StageSpec};
use wasabipier_core::relay::graph::StageGraph;

/// Returns a stage that needs the results of the stages at the indexes `after`.
fn stage(after: &[usize]) -> StageSpec {
    StageSpec { service: ServiceName::new("clubs"), after: after.to_vec(), result_bytes: 10 }
}

#[test]
fn a_stage_starts_once_all_stages_that_it_needs_are_done() {
    let mut graph = StageGraph::new(vec![stage(&[]), stage(&[]), stage(&[0, 1])], &[1, 2, 3]);

    assert_eq!(graph.start_ready(), [0, 1]);
    assert_eq!(graph.start_ready(), [0; 0]);
    assert_eq!(graph.finish(0), [0; 0]);
    assert_eq!(graph.start_ready(), [0; 0]);
    assert_eq!(graph.finish(1), [0; 0]);
    assert_eq!(graph.start_ready(), [2]);
    assert_eq!(graph.finish(2), [0, 1], "results are released once all stages that need them are done");
    assert!(graph.is_done());
    assert_eq!(graph.final_stages(), [2]);
}

#[test]
fn a_stage_without_pieces_is_skipped() {
    let mut graph = StageGraph::new(vec![stage(&[]), stage(&[]), stage(&[1])], &[0, 1]);

    assert_eq!(graph.start_ready(), [1]);
    graph.finish(1);

    assert!(graph.is_done(), "the third stage has no pieces");
    assert_eq!(graph.final_stages(), [0, 2]);
}

#[test]
fn results_of_the_last_stages_are_kept_for_the_final_call() {
    let mut graph = StageGraph::new(vec![stage(&[]), stage(&[])], &[1, 1]);
    graph.start_ready();

    assert_eq!(graph.finish(0), [0; 0]);
    assert_eq!(graph.finish(1), [0; 0]);
    assert_eq!(graph.final_stages(), [0, 1]);
}

/// Guards against storage that is occupied for too long: a large result that only the final call needs is stored at its
/// target while a long chain of other stages runs.
#[test]
fn a_stage_that_only_the_final_call_needs_starts_after_all_inner_stages() {
    let mut graph = StageGraph::new(vec![stage(&[]), stage(&[]), stage(&[1]), stage(&[2])], &[2, 1, 8, 16]);

    assert_eq!(graph.start_ready(), [1]);
    graph.finish(1);
    assert_eq!(graph.start_ready(), [2]);
    graph.finish(2);
    assert_eq!(graph.start_ready(), [0, 3]);
}

#[test]
fn a_document_with_circular_or_missing_stage_dependencies_is_refused() {
    let document = |stages: Vec<StageSpec>| RelayDocument {
        routes: vec![RelayRoute { stages, ..RelayRoute::default() }],
        ..RelayDocument::default()
    };

    assert_eq!(document(vec![stage(&[1]), stage(&[]), stage(&[0, 1])]).check(), Ok(()));
    for stages in [vec![stage(&[0])], vec![stage(&[1]), stage(&[0])], vec![stage(&[]), stage(&[7])]] {
        assert!(matches!(document(stages).check(), Err(DocumentFault::StageCycle(_))));
    }
}
