//! Stages in the order of what they need.

use wasabipier_core::names::ServiceName;
use wasabipier_core::relay::document::{DocumentFault, RelayDocument, RelayRoute, StageSpec};
use wasabipier_core::relay::graph::StageGraph;

fn stage(after: &[usize]) -> StageSpec {
    StageSpec { service: ServiceName::new("clubs"), after: after.to_vec(), result_bytes: 10 }
}

#[test]
fn a_stage_starts_once_all_before_it_are_done() {
    let mut graph = StageGraph::new(vec![stage(&[]), stage(&[]), stage(&[0, 1])], &[1, 2, 3]);

    assert_eq!(graph.start_ready(), [0, 1]);
    assert_eq!(graph.start_ready(), [0; 0]);
    assert_eq!(graph.finish(0), [0; 0]);
    assert_eq!(graph.start_ready(), [0; 0]);
    assert_eq!(graph.finish(1), [0; 0]);
    assert_eq!(graph.start_ready(), [2]);
    assert_eq!(graph.finish(2), [0, 1], "results are given up once every user is done");
    assert!(graph.is_done());
    assert_eq!(graph.final_stages(), [2]);
}

#[test]
fn a_stage_without_pieces_is_left_out() {
    let mut graph = StageGraph::new(vec![stage(&[]), stage(&[]), stage(&[1])], &[0, 1]);

    assert_eq!(graph.start_ready(), [1]);
    graph.finish(1);

    assert!(graph.is_done(), "the third stage has no pieces");
    assert_eq!(graph.final_stages(), [0, 2]);
}

#[test]
fn results_of_the_last_stages_stay_until_the_final_call() {
    let mut graph = StageGraph::new(vec![stage(&[]), stage(&[])], &[1, 1]);
    graph.start_ready();

    assert_eq!(graph.finish(0), [0; 0]);
    assert_eq!(graph.finish(1), [0; 0]);
    assert_eq!(graph.final_stages(), [0, 1]);
}

/// Pattern: a large result that only the final call needs takes up room at its maker while a long chain runs beside it.
#[test]
fn a_stage_for_the_final_call_starts_with_the_last_of_the_others() {
    let mut graph = StageGraph::new(vec![stage(&[]), stage(&[]), stage(&[1]), stage(&[2])], &[2, 1, 8, 16]);

    assert_eq!(graph.start_ready(), [1]);
    graph.finish(1);
    assert_eq!(graph.start_ready(), [2]);
    graph.finish(2);
    assert_eq!(graph.start_ready(), [0, 3]);
}

#[test]
fn a_document_whose_stages_wait_for_each_other_is_refused() {
    let document = |stages: Vec<StageSpec>| RelayDocument {
        routes: vec![RelayRoute { stages, ..RelayRoute::default() }],
        ..RelayDocument::default()
    };

    assert_eq!(document(vec![stage(&[1]), stage(&[]), stage(&[0, 1])]).check(), Ok(()));
    for stages in [vec![stage(&[0])], vec![stage(&[1]), stage(&[0])], vec![stage(&[]), stage(&[7])]] {
        assert!(matches!(document(stages).check(), Err(DocumentFault::StageCycle(_))));
    }
}
