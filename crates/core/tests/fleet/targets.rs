//! Simulated targets, and the faults of their runs.

use std::collections::BTreeMap;

use wasabipier_core::document::LoadSpec;
use wasabipier_core::prelude::*;

/// A fault of one run at a target, or `None` for a run that succeeds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RunFault {
    /// The run succeeds.
    None,
    /// The answer never arrives.
    Lost,
    /// The answer arrives two seconds after the target's run ended.
    Late,
    /// Each event arrives twice.
    Duplicated,
    /// Each event also arrives under the id of an attempt that is not waiting for it.
    Misdelivered,
    /// The events of the answer arrive in random order.
    Reordered,
    /// The target reports that it is full, and does not run the call.
    Full,
    /// The target reports a failure after it ran the call.
    Faulted,
    /// The connection breaks while the target keeps running the call.
    ConnectionBroken,
}

impl RunFault {
    const FAULTS: [Self; 8] = [
        Self::Lost,
        Self::Late,
        Self::Duplicated,
        Self::Misdelivered,
        Self::Reordered,
        Self::Full,
        Self::Faulted,
        Self::ConnectionBroken,
    ];

    /// Returns a random fault with a probability of `percent`, otherwise `None`.
    pub fn sample(percent: u32, rng: &mut fastrand::Rng) -> Self {
        if rng.u32(0..100) >= percent { Self::None } else { Self::FAULTS[rng.usize(0..Self::FAULTS.len())] }
    }
}

/// A call that runs at a target, with the node and the attempt that started it.
#[derive(Clone, Debug)]
pub struct Run {
    pub node: usize,
    pub instance: InstanceId,
    pub attempt: AttemptId,
}

/// A simulated target.
#[derive(Clone, Debug)]
pub struct SimTarget {
    pub instance: InstanceId,
    /// Calls that run at the target, by number of the run.
    pub runs: BTreeMap<u64, Run>,
    /// Time until which a crash makes the target unreachable, in milliseconds of the simulation's clock.
    pub unreachable_until: u64,
    /// What the order that the target's engine accepted last asked it to load; `None` before the first order.
    pub loaded: Option<LoadSpec>,
    /// Highest fencing number among the orders that the target received.
    pub highest_fencing: u64,
}

impl SimTarget {
    /// Returns a reachable target that has run no calls and accepted no orders.
    pub fn new(instance: u64) -> Self {
        Self {
            instance: InstanceId(instance),
            runs: BTreeMap::new(),
            unreachable_until: 0,
            loaded: None,
            highest_fencing: 0,
        }
    }

    /// Returns a current load report of the target.
    pub fn load_report(&self) -> LoadReport {
        LoadReport { instance: self.instance, in_flight: self.runs.len() as u32, age_ms: 0, warm: true }
    }
}
