//! Keeps to the limits that targets name on their requests: records them, and gets permits for limited targets.

use std::time::Duration;

use spdlog::{debug, info};
use wasabipier_core::clock::Moment;
use wasabipier_core::names::TargetName;
use wasabipier_core::relay::rate_limits::{PermitAnswer, PermitRequest, RequestRate};
use wasabipier_wire::relay::{WireCall, WireReply, permit_from_wire};

use crate::clock;
use crate::log_prefixes::TARGETS;
use crate::metering;
use crate::peers::{self, PeerError};
use crate::state::SharedNode;

/// Timeout of the keeper's answer. It is below the shortest latency objectives.
const PERMIT_TIMEOUT: Duration = Duration::from_millis(60);
/// Number of keepers that are asked if connections to them fail.
const MAX_KEEPERS: usize = 2;
/// Time after which a caller may retry if no keeper has answered. Another node is the keeper then.
const NO_KEEPER_PAUSE: Duration = Duration::from_millis(500);

/// Records the limit that an answer of `target` named, or that it named none. `called_at` is the time of the call.
pub fn record_answer(node: &SharedNode, target: &TargetName, rate: Option<RequestRate>, called_at: Moment) {
    let now = clock::now();
    let (known, new) = {
        let mut board = node.board.borrow_mut();
        let known = board.rate_limits.rate(target);
        board.rate_limits.record_answer(target, rate, called_at, now);
        (known, board.rate_limits.rate(target))
    };
    if known == new {
        return;
    }
    if node.log_limiter.allows(now) {
        let per_second = new.map_or(-1.0, RequestRate::per_second);
        info!("{TARGETS} limit on requests changed.", kv: { target = target.as_str(), per_second });
    }
    // Other changes come with the next regular heartbeat.
    if known.is_none() || new.is_none() {
        node.heartbeat_now.notify_one();
    }
}

/// Asks the keeper of the service's limits for a permit.
pub async fn request_permit(node: &SharedNode, request: &PermitRequest) -> PermitAnswer {
    let answer = ask_keepers(node, request).await;
    metering::record_permit(request.service.as_str(), matches!(answer, PermitAnswer::Granted(_)));
    answer
}

async fn ask_keepers(node: &SharedNode, request: &PermitRequest) -> PermitAnswer {
    for _ in 0..MAX_KEEPERS {
        let address = {
            let mut board = node.board.borrow_mut();
            let now = clock::now();
            let keeper = board.limit_keeper(&request.service, now).clone();
            match board.members.get(&keeper) {
                Some(view) if keeper != board.identity.node => view.heartbeat.peer_address,
                _ => return board.take_permit(request, now),
            }
        };
        match node.peers.call(address, &WireCall::Permit(request.into()), PERMIT_TIMEOUT).await {
            Ok(WireReply::Permit(answer)) => return permit_from_wire(answer),
            // The timeout is too short to tell whether the keeper is alive.
            Ok(_) | Err(PeerError::Timeout) => break,
            Err(error) => {
                debug!("{TARGETS} no permit from {address}: {error}.");
                peers::record_unreachable(node, address, &error);
            }
        }
    }
    PermitAnswer::Denied(NO_KEEPER_PAUSE)
}
