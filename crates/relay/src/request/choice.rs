//! Chooses the target of an attempt, within the limits that targets name on their requests.

use std::collections::BTreeMap;

use wasabipier_core::names::DcName;
use wasabipier_core::relay::brittle::LeaseId;
use wasabipier_core::relay::choice::CallRequirements;
use wasabipier_core::relay::rate_limits::PermitRequest;
use wasabipier_core::relay::steps::AttemptEnd;
use wasabipier_core::relay::targets::TargetEntry;

use super::{RETRY_AFTER, RelayRequest};
use crate::admission::Rejection;
use crate::clock;
use crate::limits::{self, PermittedTarget};
use crate::placement::{self, GrantGuard, PlacedCall};

/// Maximum number of limited targets for which a permit is asked at once.
const MAX_LIMITED_TARGETS: usize = 16;

/// The target of an attempt.
pub(super) struct ChosenTarget {
    /// The target, which may be called now.
    pub(super) permitted: PermittedTarget,
    /// Grant of the hub that chose it.
    pub(super) grant: Option<GrantGuard>,
}

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
        let requirements = self.requirements(&no_inputs, only_unlimited);
        self.node.board.borrow_mut().choose(&requirements, clock::now())
    }

    fn requirements<'a>(&'a self, no_inputs: &'a BTreeMap<DcName, u64>, only_unlimited: bool) -> CallRequirements<'a> {
        CallRequirements {
            service: &self.admitted.service,
            avoid: &self.tried_targets,
            prompt: self.head.prompt.as_ref(),
            input_bytes_by_dc: self.inputs.as_ref().map_or(no_inputs, |(_, bytes)| bytes),
            only_unlimited,
        }
    }

    /// Chooses a target apart from limits on requests. The hub of a large fleet chooses that of a prompt.
    async fn place_call(&self) -> Option<PlacedCall> {
        if self.head.prompt.is_none() {
            return self.choose_target(false).map(|entry| PlacedCall { entry, grant: None });
        }
        let no_inputs = BTreeMap::new();
        let hold_time = clock::now().until(self.admitted.deadline);
        placement::place_call(&self.node, &self.requirements(&no_inputs, false), hold_time).await
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

    /// Chooses a target, and gets a permit for it if it names a limit on its requests or is brittle. If the target takes
    /// no more, one without a limit is chosen, or any limited one that still takes requests.
    pub(super) async fn choose_target_within_limits(&mut self) -> Result<ChosenTarget, AttemptEnd> {
        let Some(PlacedCall { entry, grant }) = self.place_call().await else {
            let decline_time = self.node.board.borrow_mut().decline_time(&self.admitted.service, clock::now());
            if decline_time.is_zero() {
                return Err(AttemptEnd::NotRun);
            }
            self.limit_pause = decline_time;
            return Err(AttemptEnd::Limited);
        };
        let service = self.admitted.service.clone();
        let limited = self.node.board.borrow().target_limits(&service, &entry.target);
        let Some(limited) = limited else {
            return Ok(ChosenTarget { permitted: PermittedTarget { entry, room: None }, grant });
        };
        let now = clock::now();
        let mut permit_request = PermitRequest {
            service,
            rank: self.admitted.grant.rank,
            targets: vec![limited],
            lease: LeaseId(self.node.board.borrow_mut().random.u64(..)),
            hold_time: now.until(self.admitted.deadline),
        };
        let pause = match limits::request_permit(&self.node, &permit_request).await {
            Ok(permitted) => {
                return permitted.map(|permitted| ChosenTarget { permitted, grant }).ok_or(AttemptEnd::NotRun);
            }
            Err(pause) => pause,
        };
        drop(grant);
        if let Some(entry) = self.choose_target(true) {
            return Ok(ChosenTarget { permitted: PermittedTarget { entry, room: None }, grant: None });
        }
        let mut targets =
            self.node.board.borrow_mut().limited_targets(&permit_request.service, MAX_LIMITED_TARGETS, clock::now());
        targets.retain(|limited| !self.tried_targets.contains(&limited.target));
        permit_request.targets = targets;
        permit_request.lease = LeaseId(self.node.board.borrow_mut().random.u64(..));
        match limits::request_permit(&self.node, &permit_request).await {
            Ok(permitted) => {
                permitted.map(|permitted| ChosenTarget { permitted, grant: None }).ok_or(AttemptEnd::NotRun)
            }
            Err(other_pause) => {
                self.limit_pause = pause.min(other_pause);
                Err(AttemptEnd::Limited)
            }
        }
    }
}
