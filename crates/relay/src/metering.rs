//! Counters and latency histograms, as Prometheus text.

use std::time::Duration;

use metrics::{counter, gauge, histogram};
use metrics_exporter_prometheus::{BuildError, PrometheusBuilder, PrometheusHandle};
use wasabipier_core::clock::Moment;
use wasabipier_core::relay::board::RelayBoard;
use wasabipier_core::relay::duties::DutyChange;
use wasabipier_core::relay::rollout::RolloutChange;
use wasabipier_core::relay::slow_start::LimitChange;

/// Upper bounds of the latency buckets in seconds, from the time of a plain call to the longest deadline.
const BUCKETS: [f64; 12] = [0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 2.5, 5.0, 10.0, 20.0];

/// Installs the metrics recorder of this process, and returns the handle that renders the metrics.
///
/// # Errors
///
/// The recorder rejects the buckets.
pub fn install() -> Result<PrometheusHandle, BuildError> {
    let recorder = PrometheusBuilder::new().set_buckets(&BUCKETS)?.build_recorder();
    let handle = recorder.handle();
    // Setting a second recorder in a process fails, which is ignored: a node has one.
    let _ = metrics::set_global_recorder(recorder);
    Ok(handle)
}

/// Counts the recorded samples of histograms in their buckets. Samples take memory until then, or until the metrics are
/// rendered.
pub fn count_samples(handle: &PrometheusHandle) {
    handle.run_upkeep();
}

/// Counts a caller's request that ended with `outcome`, and records its duration.
pub fn record_request(route: &str, outcome: &str, elapsed: Duration) {
    counter!("wasabipier_relay_requests_total", "route" => route.to_owned(), "outcome" => outcome.to_owned())
        .increment(1);
    histogram!("wasabipier_relay_request_seconds", "route" => route.to_owned()).record(elapsed.as_secs_f64());
}

/// Counts a stream that was still open when the process ended.
pub fn record_cut_stream(route: &str) {
    counter!("wasabipier_relay_streams_cut_by_stop_total", "route" => route.to_owned()).increment(1);
}

/// Counts a request that a leaving node refused because it might have taken longer than the process lasts.
pub fn record_departure_refusal(route: &str) {
    counter!("wasabipier_relay_departure_refusals_total", "route" => route.to_owned()).increment(1);
}

/// Counts a request that was refused because more urgent requests that share a stage with it are refused for load.
pub fn record_rank_refusal(route: &str) {
    counter!("wasabipier_relay_rank_refusals_total", "route" => route.to_owned()).increment(1);
}

/// Counts a call to a target that ended with `outcome`, and records its duration.
pub fn record_target_call(service: &str, outcome: &str, elapsed: Duration) {
    counter!("wasabipier_relay_calls_total", "service" => service.to_owned(), "outcome" => outcome.to_owned())
        .increment(1);
    histogram!("wasabipier_relay_call_seconds", "service" => service.to_owned()).record(elapsed.as_secs_f64());
}

/// Counts a call that broke before its first event. `is_down` tells whether its target then refused connections.
pub fn record_broken_call(service: &str, is_down: bool) {
    let down = if is_down { "yes" } else { "no" };
    counter!("wasabipier_relay_broken_calls_total", "service" => service.to_owned(), "down" => down).increment(1);
}

/// Counts that the store was restored of a table.
pub fn record_store_restoration(table: &str) {
    counter!("wasabipier_relay_store_restorations_total", "table" => table.to_owned()).increment(1);
}

/// Counts content that was blamed for crashes or cleared, or a request that was refused because of its content.
pub fn record_verdict(verdict: &'static str) {
    counter!("wasabipier_relay_harmful_content_total", "verdict" => verdict).increment(1);
}

/// Counts an answer of a target of `service` that is not used because of `reason`.
pub fn record_answer_fault(service: &str, reason: &'static str) {
    counter!("wasabipier_relay_answer_faults_total", "service" => service.to_owned(), "reason" => reason).increment(1);
}

/// Counts a call between nodes, and the bytes of the call and of its reply. `side` tells whether this node sent or answered
/// it.
pub fn record_peer_call(side: &'static str, kind: &'static str, call_bytes: usize, reply_bytes: usize) {
    counter!("wasabipier_relay_peer_calls_total", "side" => side, "kind" => kind).increment(1);
    counter!("wasabipier_relay_peer_call_bytes_total", "side" => side, "kind" => kind).increment(call_bytes as u64);
    counter!("wasabipier_relay_peer_reply_bytes_total", "side" => side, "kind" => kind).increment(reply_bytes as u64);
}

/// Counts a request to choose the target of a prompt, by its outcome.
pub fn record_placement(outcome: &'static str) {
    counter!("wasabipier_relay_placements_total", "outcome" => outcome).increment(1);
}

/// Counts a call to the store that ended with `outcome`.
pub fn record_store_call(outcome: &str) {
    counter!("wasabipier_relay_store_calls_total", "outcome" => outcome.to_owned()).increment(1);
}

/// Counts the bytes of a large copy of a table that is complete, and those of them that peers sent.
pub fn record_table_transfer(blob_bytes: usize, received_bytes: usize) {
    counter!("wasabipier_relay_table_copy_bytes_total").increment(blob_bytes as u64);
    counter!("wasabipier_relay_table_received_bytes_total").increment(received_bytes as u64);
}

/// Counts a request for a permit to call a limited target of `service`.
pub fn record_permit(service: &str, is_granted: bool) {
    let answer = if is_granted { "granted" } else { "denied" };
    counter!("wasabipier_relay_permits_total", "service" => service.to_owned(), "answer" => answer).increment(1);
}

/// Counts an answer whose statement of the target's load cannot be decoded.
pub fn record_malformed_load() {
    counter!("wasabipier_relay_malformed_loads_total").increment(1);
}

/// Counts that the limit of a target that starts or recovers started, fell or ended.
pub fn record_limit_change(change: &LimitChange) {
    let (step, cause): (&'static str, &'static str) = (change.step.into(), change.cause.into());
    counter!("wasabipier_relay_slow_start_changes_total", "step" => step, "cause" => cause).increment(1);
}

/// Counts that targets of `service` became brittle, or ended to be.
pub fn record_brittle_change(service: &str, is_brittle: bool) {
    let state = if is_brittle { "brittle" } else { "sound" };
    counter!("wasabipier_relay_brittle_changes_total", "service" => service.to_owned(), "state" => state).increment(1);
}

/// Counts a call to a brittle target that it rejected, at the node that leased its room.
pub fn record_brittle_rejection() {
    counter!("wasabipier_relay_brittle_rejections_total").increment(1);
}

/// Counts a connection that was opened to a target of `service`.
pub fn record_connection(service: &str) {
    counter!("wasabipier_relay_connections_total", "service" => service.to_owned()).increment(1);
}

/// Counts a request to a peer for a tunnel to a target of a service.
pub fn record_tunnel(service: &str, is_open: bool) {
    let outcome = if is_open { "open" } else { "refused" };
    counter!("wasabipier_relay_tunnels_total", "service" => service.to_owned(), "outcome" => outcome).increment(1);
}

/// Counts a peer's request for a tunnel by its reply.
pub fn record_served_tunnel(reply: &'static str) {
    counter!("wasabipier_relay_tunnels_served_total", "reply" => reply).increment(1);
}

/// Counts an attempt to connect to a target of a service that failed.
pub fn record_connect_failure(service: &str) {
    counter!("wasabipier_relay_connect_failures_total", "service" => service.to_owned()).increment(1);
}

/// Counts a change of a rollout's phase, and updates the gauge of the phase: 0 for the trial, 1 for the shift, 2 if it
/// is rolled back and 3 if it is completed.
pub fn record_rollout(change: &RolloutChange) {
    let (service, phase) = (change.order.service.to_string(), change.phase.to_string());
    gauge!("wasabipier_relay_rollout_phase", "service" => service.clone()).set(f64::from(change.phase as u8));
    counter!("wasabipier_relay_rollout_changes_total", "service" => service, "phase" => phase).increment(1);
}

/// Counts a change of a duty, and updates the gauges whether this node has the duty, and of the fencing token last seen.
pub fn record_duty_change(change: &DutyChange) {
    let (duty, event) = (change.kind.to_string(), change.event.to_string());
    let is_held = !change.time_left.is_zero();
    let fence = change.row.as_ref().map_or(0, |row| row.fence);
    gauge!("wasabipier_relay_duty_held", "duty" => duty.clone()).set(f64::from(u8::from(is_held)));
    gauge!("wasabipier_relay_duty_fence", "duty" => duty.clone()).set(fence as f64);
    counter!("wasabipier_relay_duty_changes_total", "duty" => duty, "event" => event).increment(1);
}

/// Counts a call of a duty to the platform that ended with `outcome`.
pub fn record_duty_call(duty: &str, outcome: &str) {
    counter!("wasabipier_relay_duty_calls_total", "duty" => duty.to_owned(), "outcome" => outcome.to_owned())
        .increment(1);
}

/// Counts a request that is missing from the reports of metering because of `reason`: `orgs` if its window has too many
/// organisations, `late` if the window was reported before the request was known to have begun.
pub fn record_uncounted_request(reason: &'static str) {
    counter!("wasabipier_relay_usage_uncounted_requests_total", "reason" => reason).increment(1);
}

/// Counts a window of metering whose report the platform accepted. `is_late` tells whether that was after it was due.
pub fn record_reported_window(is_late: bool) {
    counter!("wasabipier_relay_usage_windows_reported_total").increment(1);
    counter!("wasabipier_relay_usage_windows_late_total").increment(u64::from(is_late));
}

/// Counts windows of metering that are never reported because their counts were dropped for want of memory.
pub fn record_dropped_windows(count: usize) {
    counter!("wasabipier_relay_usage_windows_dropped_total").increment(count as u64);
}

/// Updates the gauges of a service's targets in a data centre: those that the holder of the duty desires, and those
/// that are present and not leaving. NaN where the node does not know them.
pub fn publish_scaling(service: &str, dc: &str, desired: f64, present: f64) {
    let (service, dc) = (service.to_owned(), dc.to_owned());
    gauge!("wasabipier_relay_scaling_desired_targets", "service" => service.clone(), "dc" => dc.clone()).set(desired);
    gauge!("wasabipier_relay_scaling_present_targets", "service" => service, "dc" => dc).set(present);
}

/// Counts an order of targets that ended with `outcome`.
pub fn record_scale_order(service: &str, dc: &str, outcome: &str) {
    let (service, dc, outcome) = (service.to_owned(), dc.to_owned(), outcome.to_owned());
    counter!("wasabipier_relay_scaling_orders_total", "service" => service, "dc" => dc, "outcome" => outcome)
        .increment(1);
}

/// Records how much later than planned the node's thread ran a timer, because it was busy.
pub fn record_loop_delay(delay: Duration) {
    histogram!("wasabipier_relay_loop_delay_seconds").record(delay.as_secs_f64());
}

/// Updates the gauge of the time for which the node's thread has been busy since its start.
pub fn publish_busy_time(busy: Duration) {
    gauge!("wasabipier_relay_loop_busy_seconds").set(busy.as_secs_f64());
}

/// Updates the gauges of open requests, document, peers and targets. The document's age is NaN without a document.
pub fn publish_gauges(board: &RelayBoard, open_requests: usize, now: Moment) {
    gauge!("wasabipier_relay_requests_open").set(open_requests as f64);
    gauge!("wasabipier_relay_document_version").set(board.index.version as f64);
    gauge!("wasabipier_relay_document_age_seconds")
        .set(board.document_age(now).map_or(f64::NAN, |age| age.as_secs_f64()));
    gauge!("wasabipier_relay_peers_alive").set(board.members.alive(now).count() as f64);
    gauge!("wasabipier_relay_roster_age_seconds").set(board.rosters.oldest_age(now).as_secs_f64());
    gauge!("wasabipier_relay_grants_open").set(board.grants.len() as f64);
    for (service, pending) in board.pieces.pending_counts() {
        gauge!("wasabipier_relay_pieces_pending", "service" => service.to_string()).set(pending as f64);
    }
    for watch in board.rollouts.iter() {
        let (total, candidate) = watch.call_counts();
        let service = watch.order().service.to_string();
        gauge!("wasabipier_relay_rollout_calls", "service" => service.clone()).set(total as f64);
        gauge!("wasabipier_relay_rollout_candidate_calls", "service" => service).set(candidate as f64);
    }
    gauge!("wasabipier_relay_targets_unreached").set(board.paths.failed_count() as f64);
    gauge!("wasabipier_relay_cut_off").set(f64::from(u8::from(board.paths.is_cut_off())));
    gauge!("wasabipier_relay_targets_limited").set(board.targets.limited_count() as f64);
    gauge!("wasabipier_relay_targets").set(board.targets.iter().count() as f64);
}
