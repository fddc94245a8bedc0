//! Progress of a request's preparation stages: which of them may start, and which results are no longer needed.

use std::collections::BTreeSet;

use crate::relay::document::StageSpec;

/// Progress of one stage, in the order in which a stage passes through the states.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum StageState {
    Waiting,
    Running,
    Done,
    /// Done, with results that no other stage needs any more.
    Released,
}

/// The stages of one request with their progress.
#[derive(Clone, Debug)]
pub struct StageGraph {
    stages: Vec<StageSpec>,
    piece_counts: Vec<u32>,
    states: Vec<StageState>,
}

impl StageGraph {
    /// Creates the stages of a request, none of them started. `pieces` holds the number of pieces of each stage by
    /// index. A stage without a count or with a count of 0 counts as done.
    #[must_use]
    pub fn new(stages: Vec<StageSpec>, pieces: &[u32]) -> Self {
        let piece_counts: Vec<u32> =
            (0..stages.len()).map(|index| pieces.get(index).copied().unwrap_or_default()).collect();
        let first_state = |count: &u32| if *count == 0 { StageState::Done } else { StageState::Waiting };
        Self { states: piece_counts.iter().map(first_state).collect(), piece_counts, stages }
    }

    /// Returns the number of pieces of a stage.
    #[must_use]
    pub fn pieces(&self, stage: usize) -> u32 {
        self.piece_counts[stage]
    }

    /// Returns the settings of a stage.
    #[must_use]
    pub fn spec(&self, stage: usize) -> &StageSpec {
        &self.stages[stage]
    }

    /// Marks every stage that can start now as running. Returns their indexes.
    pub fn start_ready(&mut self) -> Vec<usize> {
        let ready: Vec<usize> = (0..self.stages.len()).filter(|stage| self.is_ready(*stage)).collect();
        for stage in &ready {
            self.states[*stage] = StageState::Running;
        }
        ready
    }

    fn is_ready(&self, stage: usize) -> bool {
        let is_done = |index: &usize| self.states.get(*index).is_none_or(|state| *state >= StageState::Done);
        let has_inputs = self.stages[stage].after.iter().all(is_done);
        self.states[stage] == StageState::Waiting
            && has_inputs
            && (!self.is_final_stage(stage) || self.are_inner_stages_done())
    }

    /// Returns whether no other stage needs the results of a stage, so that only the final call does.
    fn is_final_stage(&self, stage: usize) -> bool {
        self.dependent_stages(stage).next().is_none()
    }

    /// Returns whether all stages that others depend on are done. Final stages start no sooner: their results would
    /// occupy storage at their targets until the final call fetches them.
    fn are_inner_stages_done(&self) -> bool {
        (0..self.stages.len()).all(|index| self.is_final_stage(index) || self.states[index] >= StageState::Done)
    }

    /// Records that all pieces of a stage are done. Returns the indexes of the stages whose results are not needed any
    /// more from now on.
    pub fn finish(&mut self, stage: usize) -> Vec<usize> {
        self.states[stage] = StageState::Done;
        let unneeded: Vec<usize> = (0..self.stages.len()).filter(|index| self.is_unneeded(*index)).collect();
        for index in &unneeded {
            self.states[*index] = StageState::Released;
        }
        unneeded
    }

    /// Returns whether a stage has results, and all stages that need them are done. Results that the final call needs
    /// are never unneeded.
    fn is_unneeded(&self, stage: usize) -> bool {
        let mut dependents = self.dependent_stages(stage).peekable();
        self.states[stage] == StageState::Done
            && self.piece_counts[stage] > 0
            && dependents.peek().is_some()
            && dependents.all(|dependent| self.states[dependent] >= StageState::Done)
    }

    /// Returns how many times each result of a stage will be fetched: once for each piece of the stages that depend on
    /// it, or once for the final call if there are none.
    #[must_use]
    pub fn dependent_pieces(&self, stage: usize) -> u32 {
        self.dependent_stages(stage).map(|dependent| self.piece_counts[dependent]).sum::<u32>().max(1)
    }

    /// Returns the indexes of the stages that need the results of a stage.
    pub fn dependent_stages(&self, stage: usize) -> impl Iterator<Item = usize> + '_ {
        (0..self.stages.len()).filter(move |index| self.stages[*index].after.contains(&stage))
    }

    /// Returns whether all stages are done.
    #[must_use]
    pub fn is_done(&self) -> bool {
        self.states.iter().all(|state| *state >= StageState::Done)
    }

    /// Returns the indexes of the stages whose results the final call needs: those that no other stage depends on.
    /// Stages without pieces are included.
    #[must_use]
    pub fn final_stages(&self) -> Vec<usize> {
        let needed: BTreeSet<usize> = self.stages.iter().flat_map(|stage| stage.after.iter().copied()).collect();
        (0..self.stages.len()).filter(|index| !needed.contains(index)).collect()
    }
}

impl PartialOrd for StageState {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some((*self as u8).cmp(&(*other as u8)))
    }
}
