//! Checks what the platform sees of the holders of a duty, in true time.

use std::collections::BTreeMap;

/// A node in one run of its process.
pub type VmName = (String, u64);

/// A time for which one node acted without another between.
#[derive(Clone, Debug)]
struct Tenure {
    node: String,
    /// Time in milliseconds of the last call.
    last_call_ms: u64,
}

/// Collects violations of the guarantees of a duty.
#[derive(Debug)]
pub struct DutyOracle {
    lease_ms: u64,
    /// Node that sent each fencing token.
    senders: BTreeMap<u64, VmName>,
    /// Tenures of the nodes, the last two.
    tenures: Vec<Tenure>,
    /// Latest time at which the holders of each era's row changed, and the holders before and now.
    row_changes: BTreeMap<u64, (u64, String, String)>,
    /// Highest fencing token that was refused.
    refused_fence: u64,
    /// Highest fencing token sent.
    pub last_fence: u64,
    /// Descriptions of violations.
    pub violations: Vec<String>,
}

impl DutyOracle {
    pub fn new(lease_ms: u64) -> Self {
        Self {
            lease_ms,
            senders: BTreeMap::new(),
            tenures: Vec::new(),
            row_changes: BTreeMap::new(),
            refused_fence: 0,
            last_fence: 0,
            violations: Vec::new(),
        }
    }

    /// Checks a call that a node sends.
    pub fn record_call(&mut self, vm: &VmName, fence: u64, time_ms: u64) {
        let sender = self.senders.entry(fence).or_insert_with(|| vm.clone());
        if sender != vm {
            self.violations.push(format!("{sender:?} and {vm:?} sent the token {fence}"));
        }
        if fence < self.last_fence || fence <= self.refused_fence {
            self.violations.push(format!("{vm:?} sent {fence} after {} at {time_ms} ms", self.last_fence));
        }
        self.last_fence = self.last_fence.max(fence);
        match self.tenures.last_mut() {
            Some(last) if last.node == vm.0 => last.last_call_ms = time_ms,
            _ => self.begin_tenure(&vm.0, time_ms),
        }
    }

    fn begin_tenure(&mut self, node: &str, time_ms: u64) {
        if let [before, _] = self.tenures.as_slice() {
            if before.node == node && time_ms < before.last_call_ms + self.lease_ms {
                self.violations.push(format!("{before:?} had the duty again at {time_ms} ms"));
            }
            self.tenures.remove(0);
        }
        self.tenures.push(Tenure { node: node.to_owned(), last_call_ms: time_ms });
    }

    /// Checks a write that took effect in the row of an era.
    pub fn record_row(&mut self, era: u64, holder: &str, time_ms: u64) {
        let (changed_at, before, now) = self.row_changes.entry(era).or_default();
        if now == holder {
            return;
        }
        if before == holder && time_ms < *changed_at + self.lease_ms {
            self.violations.push(format!("{holder} followed {now} in its row at {time_ms} ms, after {changed_at} ms"));
        }
        (*changed_at, *before, *now) = (time_ms, std::mem::take(now), holder.to_owned());
    }

    /// Checks the number of nodes that may act at a time.
    pub fn record_holders(&mut self, holders: &[VmName], time_ms: u64) {
        if holders.len() > 1 {
            self.violations.push(format!("{holders:?} may act at {time_ms} ms"));
        }
    }

    /// Records that the platform refused the last fencing token.
    pub fn record_refusal(&mut self) {
        self.refused_fence = self.last_fence;
    }
}
