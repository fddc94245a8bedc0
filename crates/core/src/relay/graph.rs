//! Progress of a request's preparation stages: which of them may start, and which results are no longer needed.

use std::collections::BTreeSet;

use crate::relay::document::StageSpec;

/// Progress of one stage. The order of the variants is the order in which a stage passes through them.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum StageState {
    Waiting,
    Running,
    Done,
    Released,
}

/// The stages of one request with their progress.
#[derive(Clone, Debug)]
pub struct StageGraph {
    stages: Vec<StageSpec>,
    pieces: Vec<u32>,
    states: Vec<StageState>,
}

impl StageGraph {
    /// Creates the stages of a request. `pieces` is the number of pieces by stage index. A stage without a count or
    /// with a count of 0 is skipped.
    #[must_use]
    pub fn new(stages: Vec<StageSpec>, pieces: &[u32]) -> Self {
        let pieces: Vec<u32> = (0..stages.len()).map(|at| pieces.get(at).copied().unwrap_or_default()).collect();
        let first_state = |count: &u32| if *count == 0 { StageState::Done } else { StageState::Waiting };
        Self { states: pieces.iter().map(first_state).collect(), pieces, stages }
    }

    /// Returns the number of pieces of a stage.
    #[must_use]
    pub fn pieces(&self, stage: usize) -> u32 {
        self.pieces[stage]
    }

    /// Returns the settings of a stage.
    #[must_use]
    pub fn spec(&self, stage: usize) -> &StageSpec {
        &self.stages[stage]
    }

    /// Starts every stage whose inputs are complete. Returns their indexes.
    pub fn start_ready(&mut self) -> Vec<usize> {
        let ready: Vec<usize> = (0..self.stages.len()).filter(|stage| self.is_ready(*stage)).collect();
        for stage in &ready {
            self.states[*stage] = StageState::Running;
        }
        ready
    }

    fn is_ready(&self, stage: usize) -> bool {
        let done = |at: &usize| self.states.get(*at).is_none_or(|state| *state >= StageState::Done);
        let has_inputs = self.stages[stage].after.iter().all(done);
        self.states[stage] == StageState::Waiting
            && has_inputs
            && (!self.is_final_stage(stage) || self.are_inner_stages_done())
    }

    /// Returns whether only the final call needs the results of a stage.
    fn is_final_stage(&self, stage: usize) -> bool {
        self.dependent_stages(stage).next().is_none()
    }

    /// Returns whether all stages that others depend on are done. Final stages start no sooner: their results would
    /// occupy storage at their targets until the final call fetches them.
    fn are_inner_stages_done(&self) -> bool {
        (0..self.stages.len()).all(|at| self.is_final_stage(at) || self.states[at] >= StageState::Done)
    }

    /// Records that all pieces of a stage are done. Returns the stages whose results are no longer needed.
    pub fn finish(&mut self, stage: usize) -> Vec<usize> {
        self.states[stage] = StageState::Done;
        let unneeded: Vec<usize> = (0..self.stages.len()).filter(|at| self.is_unneeded(*at)).collect();
        for at in &unneeded {
            self.states[*at] = StageState::Released;
        }
        unneeded
    }

    fn is_unneeded(&self, stage: usize) -> bool {
        let mut dependents = self.dependent_stages(stage).peekable();
        self.states[stage] == StageState::Done
            && self.pieces[stage] > 0
            && dependents.peek().is_some()
            && dependents.all(|dependent| self.states[dependent] >= StageState::Done)
    }

    /// Returns the number of pieces that will fetch each result of a stage, or 1 for the final call if no stage depends
    /// on it.
    #[must_use]
    pub fn dependent_pieces(&self, stage: usize) -> u32 {
        self.dependent_stages(stage).map(|dependent| self.pieces[dependent]).sum::<u32>().max(1)
    }

    /// Returns the stages that need the results of a stage.
    pub fn dependent_stages(&self, stage: usize) -> impl Iterator<Item = usize> + '_ {
        (0..self.stages.len()).filter(move |at| self.stages[*at].after.contains(&stage))
    }

    /// Returns whether all stages are done.
    #[must_use]
    pub fn is_done(&self) -> bool {
        self.states.iter().all(|state| *state >= StageState::Done)
    }

    /// Returns the stages whose results the final call needs: those that no other stage depends on.
    #[must_use]
    pub fn final_stages(&self) -> Vec<usize> {
        let followed: BTreeSet<usize> = self.stages.iter().flat_map(|stage| stage.after.iter().copied()).collect();
        (0..self.stages.len()).filter(|at| !followed.contains(at)).collect()
    }
}

impl PartialOrd for StageState {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some((*self as u8).cmp(&(*other as u8)))
    }
}
