//! Orders the number of targets of services that can be scaled, while this node has the duty.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

use spdlog::{info, warn};
use tokio::task::spawn_local;
use tokio::time::sleep;
use wasabipier_core::clock::Moment;
use wasabipier_core::relay::autoscale::{
    Autoscaler, FleetLoad, LoadEvidence, OrderOutcome, OrderTable, ScaleOrder, ScalePlan, ScaleSubject,
};
use wasabipier_core::relay::duties::{DutyKind, HeldDuty};

use crate::clock;
use crate::duty_link::{DutyError, DutyLink};
use crate::http_link::LinkError;
use crate::log_prefixes::DUTIES;
use crate::metering;
use crate::ports::{DutyHolder, DutyReply};
use crate::state::SharedNode;

/// Interval at which loads are read and numbers are decided.
const DECISION_INTERVAL: Duration = Duration::from_millis(500);
/// Interval at which due orders are looked for.
const ORDER_INTERVAL: Duration = Duration::from_millis(100);

/// What the deciding and the sending task share.
#[derive(Debug, Default)]
struct ScalingState {
    autoscaler: Autoscaler,
    orders: OrderTable,
    /// Last plans, with the loads that they rest on.
    plans: BTreeMap<ScaleSubject, ScalePlan>,
    evidence: LoadEvidence,
    decided_at: Moment,
}

/// Starts to follow the loads and to order targets, if the settings name the duty.
pub fn start(node: &SharedNode) {
    let Some(settings) = node.duties.as_ref().filter(|settings| settings.kinds.contains(&DutyKind::Autoscale)) else {
        return;
    };
    let link = DutyLink::new(node, DutyKind::Autoscale, settings);
    let state = Rc::new(RefCell::new(ScalingState::default()));
    spawn_local(decide_counts(node.clone(), state.clone()));
    spawn_local(send_orders(node.clone(), state, link));
}

/// Decides the numbers of targets until the node ends. Candidates follow the loads before they have the duty. Other nodes
/// are not told the loads, and forget what they knew.
async fn decide_counts(node: SharedNode, state: Rc<RefCell<ScalingState>>) {
    loop {
        let now = clock::now();
        let held = node.board.borrow().duties.held(DutyKind::Autoscale, now);
        let fleet = {
            let board = node.board.borrow();
            let follows_loads = held.is_some() || board.is_scaling_candidate(&board.identity.node, now);
            if follows_loads { board.fleet_load(now) } else { FleetLoad::default() }
        };
        state.borrow_mut().update(&fleet, held, now);
        sleep(DECISION_INTERVAL).await;
    }
}

impl ScalingState {
    /// Decides by the loads of `fleet`, and publishes the numbers. Without the duty, no number is desired.
    fn update(&mut self, fleet: &FleetLoad, held: Option<HeldDuty>, now: Moment) {
        if held.is_some_and(|held| self.orders.begin_term(held.fence)) {
            self.autoscaler.begin_term();
        }
        let plans = self.autoscaler.decide(fleet, now).into_iter();
        let plans: BTreeMap<ScaleSubject, ScalePlan> = plans.map(|plan| (plan.subject.clone(), plan)).collect();
        for subject in self.plans.keys().filter(|subject| !plans.contains_key(subject)) {
            metering::publish_scaling(subject.service.as_str(), subject.dc.as_str(), f64::NAN, f64::NAN);
        }
        for (subject, plan) in &plans {
            if held.is_some() {
                self.orders.set_count(subject, plan.desired, now);
            }
            let desired = held.map_or(f64::NAN, |_| f64::from(plan.desired));
            let present = f64::from(plan.basis.present);
            metering::publish_scaling(subject.service.as_str(), subject.dc.as_str(), desired, present);
        }
        self.orders.retain(|subject| plans.contains_key(subject));
        (self.plans, self.evidence, self.decided_at) = (plans, fleet.evidence, now);
    }
}

/// Sends due orders one after the other while this node has the duty, until the node ends.
async fn send_orders(node: SharedNode, state: Rc<RefCell<ScalingState>>, mut link: DutyLink) {
    loop {
        sleep(ORDER_INTERVAL).await;
        while let Some((held, order)) = next_order(&node, &state) {
            let started_at = clock::now();
            let name = node.board.borrow().identity.node.clone();
            let holder = DutyHolder { node: &name, fence: held.fence };
            let ScaleSubject { service, dc } = &order.subject;
            let request = node.platform.scale_request(holder, service, dc, order.count);
            let reply = link.call(held, request).await;
            let outcome = outcome_of(&reply);
            let now = clock::now();
            state.borrow_mut().orders.record(&order, outcome, now);
            metering::record_scale_order(service.as_str(), dc.as_str(), &outcome.to_string());
            if node.log_limiter.allows(now) {
                log_order(&state.borrow(), &order, &reply, now.since(started_at));
            }
        }
    }
}

/// Returns the next due order with the duty under which it is sent. The table of orders is that of the present lease.
fn next_order(node: &SharedNode, state: &RefCell<ScalingState>) -> Option<(HeldDuty, ScaleOrder)> {
    let now = clock::now();
    let held = node.board.borrow().duties.held(DutyKind::Autoscale, now)?;
    let mut state = state.borrow_mut();
    if !state.orders.is_term(held.fence) {
        return None;
    }
    Some((held, state.orders.next_due(now)?))
}

fn outcome_of(reply: &Result<DutyReply, DutyError>) -> OrderOutcome {
    match reply {
        Ok(DutyReply::Accepted) => OrderOutcome::Accepted,
        // The order was not carried out, or not sent. After a higher fencing token was seen, the link ends the right.
        Ok(DutyReply::Refused | DutyReply::Fenced)
        | Err(DutyError::RightEnded | DutyError::Link(LinkError::Connect(_))) => OrderOutcome::Refused,
        Err(DutyError::Link(_)) => OrderOutcome::Unanswered,
    }
}

fn log_order(state: &ScalingState, order: &ScaleOrder, reply: &Result<DutyReply, DutyError>, took: Duration) {
    let Some(plan) = state.plans.get(&order.subject) else { return };
    let ScaleSubject { service, dc } = &order.subject;
    let (service, dc, basis, evidence) = (service.as_str(), dc.as_str(), &plan.basis, &state.evidence);
    let reply = match reply {
        Ok(reply) => reply.to_string(),
        Err(error) => error.to_string(),
    };
    let (reply, is_accepted) = (reply.as_str(), reply == DutyReply::Accepted.to_string());
    let (desired, need, fence, attempt) = (order.count, plan.need, order.fence, order.failures + 1);
    let (present, leaving, closed) = (basis.present, basis.leaving, basis.is_closed);
    let (in_flight, unread_tokens, known) = (basis.in_flight, basis.unread_tokens, basis.is_load_known);
    let load = format!(
        "mean:{:.2},growth:{:.2}/s,moved:{:.2},reserve:{:.2}",
        basis.mean_load, basis.growth_per_s, basis.moved_load, basis.reserve
    );
    let load = load.as_str();
    let nodes = format!("{}/{}", evidence.live_nodes, evidence.known_nodes);
    let nodes = nodes.as_str();
    let (load_age_ms, targets_age_ms) = (evidence.load_age.as_millis() as u64, evidence.targets_age.as_millis() as u64);
    let decided_ms = clock::now().since(state.decided_at).as_millis() as u64;
    let took_ms = took.as_millis() as u64;
    if is_accepted {
        info!("{DUTIES} targets ordered.", kv: {
            service, dc, desired, need, present, leaving, closed, in_flight, unread_tokens, load, known, nodes, load_age_ms,
            targets_age_ms, decided_ms, fence, attempt, took_ms
        });
    } else {
        warn!("{DUTIES} order of targets not accepted.", kv: {
            service, dc, desired, need, present, leaving, closed, in_flight, unread_tokens, load, known, nodes, load_age_ms,
            targets_age_ms, decided_ms, fence, attempt, took_ms, reply
        });
    }
}
