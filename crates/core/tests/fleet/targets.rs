//! Targets that run what they get, and their faults.

use std::collections::BTreeMap;

use wasabipier_core::document::LoadSpec;
use wasabipier_core::prelude::*;

/// What goes wrong with one run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Quirk {
    /// Nothing.
    None,
    /// The answer never comes.
    Lost,
    /// The answer comes seconds after the target made it.
    Late,
    /// Everything comes twice.
    Doubled,
    /// It comes once more for an attempt that does not wait.
    Misdelivered,
    /// Its parts come in another order.
    Reordered,
    /// The target says that it is full, and runs nothing.
    Full,
    /// The target fails after it ran.
    Faulted,
    /// The connection breaks while the target runs on.
    CutOff,
}

impl Quirk {
    const FAULTS: [Self; 8] = [
        Self::Lost,
        Self::Late,
        Self::Doubled,
        Self::Misdelivered,
        Self::Reordered,
        Self::Full,
        Self::Faulted,
        Self::CutOff,
    ];

    /// Draws one; `percent` of runs go wrong.
    pub fn draw(percent: u32, random: &mut fastrand::Rng) -> Self {
        if random.u32(0..100) >= percent { Self::None } else { Self::FAULTS[random.usize(0..Self::FAULTS.len())] }
    }
}

/// One run at a target.
#[derive(Clone, Debug)]
pub struct Run {
    pub node: usize,
    pub instance: InstanceId,
    pub attempt: AttemptId,
}

/// One target.
#[derive(Clone, Debug)]
pub struct SimTarget {
    pub instance: InstanceId,
    pub runs: BTreeMap<u64, Run>,
    pub unreachable_until: u64,
    /// What its engine has loaded.
    pub loaded: Option<LoadSpec>,
    /// Highest fencing number that an order to it carried.
    pub fencing: u64,
}

impl SimTarget {
    /// A target that just started.
    pub fn new(instance: u64) -> Self {
        Self { instance: InstanceId(instance), runs: BTreeMap::new(), unreachable_until: 0, loaded: None, fencing: 0 }
    }

    /// What it says of itself.
    pub fn report(&self) -> LoadReport {
        LoadReport { instance: self.instance, in_flight: self.runs.len() as u32, age_ms: 0, warm: true }
    }
}
