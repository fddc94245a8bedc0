//! Progress of a request's preparation stages: which may start, and whose results nobody needs any more.

use std::collections::BTreeSet;

use crate::relay::document::StageSpec;

/// Where one stage stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum StageState {
    Waiting,
    Running,
    Done,
    Released,
}

/// The stages of one request.
#[derive(Clone, Debug)]
pub struct StageGraph {
    stages: Vec<StageSpec>,
    pieces: Vec<u32>,
    states: Vec<StageState>,
}

impl StageGraph {
    /// `pieces` counts the pieces of each stage; a missing count or 0 leaves the stage out.
    #[must_use]
    pub fn new(stages: Vec<StageSpec>, pieces: &[u32]) -> Self {
        let pieces: Vec<u32> = (0..stages.len()).map(|at| pieces.get(at).copied().unwrap_or_default()).collect();
        let first_state = |count: &u32| if *count == 0 { StageState::Done } else { StageState::Waiting };
        Self { states: pieces.iter().map(first_state).collect(), pieces, stages }
    }

    /// Pieces of a stage.
    #[must_use]
    pub fn pieces(&self, stage: usize) -> u32 {
        self.pieces[stage]
    }

    /// A stage's settings.
    #[must_use]
    pub fn spec(&self, stage: usize) -> &StageSpec {
        &self.stages[stage]
    }

    /// Starts every stage whose inputs are there, and names them.
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
        self.states[stage] == StageState::Waiting && has_inputs && (!self.is_last(stage) || self.are_others_done())
    }

    /// Whether only the final call needs the results of a stage.
    fn is_last(&self, stage: usize) -> bool {
        self.users(stage).next().is_none()
    }

    /// Whether all stages that others follow are done. Results for the final call are made no sooner: they would
    /// take up room at their makers until the final call fetches them.
    fn are_others_done(&self) -> bool {
        (0..self.stages.len()).all(|at| self.is_last(at) || self.states[at] >= StageState::Done)
    }

    /// Notes that all pieces of a stage are made; names the stages whose results are not needed any more.
    pub fn finish(&mut self, stage: usize) -> Vec<usize> {
        self.states[stage] = StageState::Done;
        let unneeded: Vec<usize> = (0..self.stages.len()).filter(|at| self.is_unneeded(*at)).collect();
        for at in &unneeded {
            self.states[*at] = StageState::Released;
        }
        unneeded
    }

    fn is_unneeded(&self, stage: usize) -> bool {
        let mut users = self.users(stage).peekable();
        self.states[stage] == StageState::Done
            && self.pieces[stage] > 0
            && users.peek().is_some()
            && users.all(|user| self.states[user] >= StageState::Done)
    }

    /// Pieces that will fetch each result of a stage; the final call if no stage follows.
    #[must_use]
    pub fn user_pieces(&self, stage: usize) -> u32 {
        self.users(stage).map(|user| self.pieces[user]).sum::<u32>().max(1)
    }

    /// Stages that need the results of a stage.
    pub fn users(&self, stage: usize) -> impl Iterator<Item = usize> + '_ {
        (0..self.stages.len()).filter(move |at| self.stages[*at].after.contains(&stage))
    }

    /// Whether all stages are done.
    #[must_use]
    pub fn is_done(&self) -> bool {
        self.states.iter().all(|state| *state >= StageState::Done)
    }

    /// Stages whose results the final call needs: those that no other stage follows.
    #[must_use]
    pub fn last_stages(&self) -> Vec<usize> {
        let followed: BTreeSet<usize> = self.stages.iter().flat_map(|stage| stage.after.iter().copied()).collect();
        (0..self.stages.len()).filter(|at| !followed.contains(at)).collect()
    }
}

impl PartialOrd for StageState {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some((*self as u8).cmp(&(*other as u8)))
    }
}
