//! Finds out whether a target is down, by connections of this node and, if it has no paths, of its peers.

use std::io;
use std::time::Duration;

use futures_util::future::join_all;
use wasabipier_core::relay::refusals::RefusalEvidence;
use wasabipier_core::relay::targets::TargetEntry;

use crate::clock;
use crate::sockets;
use crate::state::SharedNode;
use crate::tunnels::{self, PeerReport};

/// Timeout of the attempts to connect that show whether a target is down. A running VM accepts or refuses a connection
/// within a round trip.
const PROBE_TIMEOUT: Duration = Duration::from_millis(100);
/// Maximum number of other targets that this node or a peer connects to, to find out whether it is partitioned.
const MAX_CONTROLS: usize = 2;

/// What attempts to connect to a target have shown.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TargetProbe {
    /// The target accepts connections.
    Up,
    /// The target did not answer in time, which may have another reason than a crash.
    Silent,
    /// This node does not reach the target.
    Missed(RefusalEvidence),
}

impl TargetProbe {
    /// Returns whether this node or a peer reaches the target.
    #[must_use]
    pub fn is_up(self) -> bool {
        self == Self::Up || self.evidence().is_reached_by_peer == Some(true)
    }

    /// Returns whether the target has crashed.
    #[must_use]
    pub fn shows_crash(self) -> bool {
        self.evidence().shows_crash()
    }

    /// Returns the evidence about a target that was missed; none otherwise.
    #[must_use]
    pub fn evidence(self) -> RefusalEvidence {
        match self {
            Self::Up | Self::Silent => RefusalEvidence::default(),
            Self::Missed(evidence) => evidence,
        }
    }
}

/// Connects to a target, and if that fails, finds out whether this node reaches others and what peers see.
pub async fn probe_target(node: &SharedNode, entry: &TargetEntry) -> TargetProbe {
    let is_refused = match connect_directly(node, entry).await {
        Ok(()) => return TargetProbe::Up,
        Err(error) => error.kind() == io::ErrorKind::ConnectionRefused,
    };
    let reaches_others = reaches_others(node, entry).await;
    let report = if reaches_others == Some(false) {
        let controls = node.board.borrow_mut().witness_controls(entry, MAX_CONTROLS, clock::now());
        tunnels::ask_peers(node, entry, &controls, PROBE_TIMEOUT).await
    } else if is_refused {
        tunnels::ask_peers(node, entry, &[], PROBE_TIMEOUT).await
    } else {
        return TargetProbe::Silent;
    };
    let PeerReport { is_reached: is_reached_by_peer, is_missed_by_witness } = report;
    TargetProbe::Missed(RefusalEvidence { is_refused, reaches_others, is_reached_by_peer, is_missed_by_witness })
}

/// Returns whether this node or a peer connects to a target.
pub async fn is_reached(node: &SharedNode, entry: &TargetEntry) -> bool {
    connect_directly(node, entry).await.is_ok()
        || tunnels::ask_peers(node, entry, &[], PROBE_TIMEOUT).await.is_reached == Some(true)
}

/// Connects to a target, unless this node counts as cut off: some partitions let connections open.
async fn connect_directly(node: &SharedNode, entry: &TargetEntry) -> io::Result<()> {
    if node.board.borrow().paths.is_cut_off() {
        return Err(io::ErrorKind::HostUnreachable.into());
    }
    sockets::connect(entry.address, PROBE_TIMEOUT).await.map(drop)
}

/// Returns whether this node reaches targets other than `missed`; `None` if there are none to try.
async fn reaches_others(node: &SharedNode, missed: &TargetEntry) -> Option<bool> {
    let controls = {
        let mut board = node.board.borrow_mut();
        if board.paths.is_cut_off() {
            return Some(false);
        }
        board.control_targets(missed, MAX_CONTROLS)
    };
    let attempts = controls.iter().map(|control| sockets::connect(control.address, PROBE_TIMEOUT));
    let connected = join_all(attempts).await;
    (!connected.is_empty()).then(|| connected.iter().any(Result::is_ok))
}
