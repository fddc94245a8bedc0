//! Metrics of a node: the core's counters, published through `metrics` as Prometheus text.

use metrics::{counter, gauge};
use metrics_exporter_prometheus::{PrometheusBuilder, PrometheusHandle};
use strum::IntoEnumIterator;
use wasabipier_core::burn::BurnWindow;
use wasabipier_core::prelude::Blackboard;

/// Installs the metrics recorder of this process and returns the handle that renders it. If the process has a recorder
/// already, that one stays in use and the returned handle renders nothing.
#[must_use]
pub fn install_recorder() -> PrometheusHandle {
    let recorder = PrometheusBuilder::new().build_recorder();
    let handle = recorder.handle();
    // A process has one global recorder. Installing a second one fails.
    let _ = metrics::set_global_recorder(recorder);
    handle
}

/// Sets the metrics to the current state of the core.
pub fn publish(board: &Blackboard) {
    let counts = board.counters;
    let totals = [
        ("wasabipier_requests_accepted_total", counts.accepted),
        ("wasabipier_requests_refused_total", counts.refused),
        ("wasabipier_requests_done_total", counts.done),
        ("wasabipier_requests_not_run_total", counts.not_run),
        ("wasabipier_requests_unknown_total", counts.unknown),
        ("wasabipier_requests_in_time_total", counts.in_time),
        ("wasabipier_requests_harmful_total", counts.harmful_refused),
        ("wasabipier_attempts_total", counts.attempts),
        ("wasabipier_retries_total", counts.retries),
        ("wasabipier_retries_denied_total", counts.retries_denied),
        ("wasabipier_stray_results_total", counts.stray_results),
        ("wasabipier_permits_borrowed_total", counts.borrowed_permits),
        ("wasabipier_store_writes_total", counts.store_writes),
        ("wasabipier_store_reads_total", counts.store_reads),
        ("wasabipier_charges_total", counts.charges),
        ("wasabipier_hedges_total", counts.hedges),
        ("wasabipier_requests_displaced_total", counts.displaced),
        ("wasabipier_attempts_silent_total", counts.silent_attempts),
        ("wasabipier_peer_messages_total", counts.peer_messages),
    ];
    for (name, value) in totals {
        counter!(name).absolute(value);
    }
    gauge!("wasabipier_requests_open").set(board.requests.len() as f64);
    gauge!("wasabipier_document_revision").set(board.document.revision.0 as f64);
    gauge!("wasabipier_peers_alive").set(board.members.alive().count() as f64);
    gauge!("wasabipier_seats_held").set(board.permits.seats().len() as f64);
    for (target, view) in board.targets.iter() {
        gauge!("wasabipier_target_limit", "target" => target.to_string()).set(f64::from(view.warmth.limit()));
    }
    publish_burn(board);
}

/// Sets the burn-rate metrics of this node. The number of subjects in each scope is bounded.
fn publish_burn(board: &Blackboard) {
    for row in board.burn.rows(board.now) {
        let (scope, name) = (row.subject.scope.to_string(), row.subject.name.to_string());
        let labels = [("scope", scope), ("name", name)];
        gauge!("wasabipier_error_budget_left", &labels).set(row.counts(BurnWindow::Days30).budget_left());
        for window in BurnWindow::iter().filter(|window| *window != BurnWindow::Days30) {
            let [scope, name] = labels.clone();
            let labels = [scope, name, ("window", window.to_string())];
            gauge!("wasabipier_burn_rate", &labels).set(row.counts(window).burn_rate());
        }
    }
}
