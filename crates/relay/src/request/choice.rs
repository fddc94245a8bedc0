//! Chooses the target of an attempt, within the limits that targets name on their requests.

use std::collections::BTreeMap;

use wasabipier_core::relay::choice::CallRequirements;
use wasabipier_core::relay::rate_limits::{PermitAnswer, PermitRequest};
use wasabipier_core::relay::steps::AttemptEnd;
use wasabipier_core::relay::targets::TargetEntry;

use super::{RETRY_AFTER, RelayRequest};
use crate::admission::Rejection;
use crate::clock;
use crate::limits;

/// Maximum number of limited targets for which a permit is asked at once.
const MAX_LIMITED_TARGETS: usize = 16;

impl RelayRequest {
    /// Returns whether a target of the service has not been tried for this request.
    pub(super) fn has_untried_target(&self) -> bool {
        let board = self.node.board.borrow();
        let now = clock::now();
        let mut targets = board.targets.of(&self.admitted.service).filter(|view| view.takes_calls(now));
        targets.any(|view| !self.tried_targets.contains(&view.entry.target))
    }

    /// Chooses a target apart from limits on requests. With `only_unlimited`, it is one that names none.
    pub(super) fn choose_target(&self, only_unlimited: bool) -> Option<TargetEntry> {
        let no_inputs = BTreeMap::new();
        let requirements = CallRequirements {
            service: &self.admitted.service,
            avoid: &self.tried_targets,
            prompt: self.head.prompt.as_ref(),
            input_bytes_by_dc: self.inputs.as_ref().map_or(&no_inputs, |(_, bytes)| bytes),
            only_unlimited,
        };
        self.node.board.borrow_mut().choose(&requirements, clock::now())
    }

    /// Rejects a request that no target took.
    pub(super) fn reject_untaken(&self) -> Rejection {
        let decline_time = self.node.board.borrow_mut().decline_time(&self.admitted.service, clock::now());
        Rejection::not_run("no target took it", decline_time.max(RETRY_AFTER))
    }

    /// Rejects a request that no target takes within its limit.
    pub(super) fn reject_for_limits(&self) -> Rejection {
        Rejection::not_run("targets are at their limits", self.limit_pause)
    }

    /// Chooses a target, and gets a permit for it if it names a limit on its requests. If the target takes no more, one
    /// without a limit is chosen, or any limited one that still takes requests.
    pub(super) async fn choose_target_within_limits(&mut self) -> Result<TargetEntry, AttemptEnd> {
        let Some(entry) = self.choose_target(false) else {
            let decline_time = self.node.board.borrow_mut().decline_time(&self.admitted.service, clock::now());
            if decline_time.is_zero() {
                return Err(AttemptEnd::NotRun);
            }
            self.limit_pause = decline_time;
            return Err(AttemptEnd::Limited);
        };
        let rate = self.node.board.borrow().rate_limits.rate(&entry.target);
        let Some(rate) = rate else { return Ok(entry) };
        let service = self.admitted.service.clone();
        let mut permit_request =
            PermitRequest { service, rank: self.admitted.grant.rank, targets: vec![(entry.target.clone(), rate)] };
        if let PermitAnswer::Granted(_) = limits::request_permit(&self.node, &permit_request).await {
            return Ok(entry);
        }
        if let Some(unlimited) = self.choose_target(true) {
            return Ok(unlimited);
        }
        let mut targets =
            self.node.board.borrow_mut().limited_targets(&permit_request.service, MAX_LIMITED_TARGETS, clock::now());
        targets.retain(|(target, _)| !self.tried_targets.contains(target));
        permit_request.targets = targets;
        match limits::request_permit(&self.node, &permit_request).await {
            PermitAnswer::Granted(target) => {
                let board = self.node.board.borrow();
                board.targets.get(&target).map(|view| view.entry.clone()).ok_or(AttemptEnd::NotRun)
            }
            PermitAnswer::Denied(pause) => {
                self.limit_pause = pause;
                Err(AttemptEnd::Limited)
            }
        }
    }
}
