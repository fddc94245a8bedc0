//! Checks candidate versions before a promotion, puts them on trial and waits for their verdicts. A candidate is a new
//! version of a service that gets a growing share of the calls. A trial stops at the first share, and the candidate is
//! proved or taken back.

use std::thread;
use std::time::{Duration, Instant};

use wasabipier_core::document::{CandidateSpec, Document};
use wasabipier_core::names::ServiceName;
use wasabipier_core::store::RolloutState;
use wasabipier_wire::caller::{RolloutStatus, StatusReply};
use wasabipier_wire::document::parse_document;

use crate::client::NodeClient;
use crate::edit;
use crate::exit::CtlError;
use crate::output::print_line;

/// Interval at which the states of candidates are polled.
const POLL_INTERVAL: Duration = Duration::from_millis(200);
/// Time allowed beyond the longest `finish_within` of the candidates until all verdicts are recorded.
const RECORDING_TIMEOUT: Duration = Duration::from_mins(1);

/// Checks the candidates of a document that are not only put on trial: none may have been taken back, and each must
/// have been proved in a trial unless `allow_unproved` is set.
///
/// # Errors
///
/// Returns an error if a candidate was taken back or not proved, or if the node does not answer.
pub fn check_proved(client: &NodeClient, document: &Document, allow_unproved: bool) -> Result<(), CtlError> {
    if candidates(document).next().is_none() {
        return Ok(());
    }
    let status = client.fetch_status()?;
    let mut to_promote = candidates(document).filter(|(_, candidate)| !candidate.trial_only);
    to_promote.try_for_each(|(service, candidate)| check_candidate(&status, service, candidate, allow_unproved))
}

/// Returns the text of a document with `trial_only = yes` in the section of each service that has a candidate.
///
/// # Errors
///
/// Returns an error if the document has faults or no candidate.
pub fn set_trial_only(text: String) -> Result<String, CtlError> {
    let document = parse_document(&text).map_err(CtlError::InvalidDocument)?;
    if candidates(&document).next().is_none() {
        return Err(CtlError::NoCandidate);
    }
    candidates(&document).try_fold(text, |text, (service, _)| {
        edit::set_key(&text, &format!("service {service}"), "trial_only", "yes").ok_or(CtlError::NoCandidate)
    })
}

/// Formats the state of a candidate as one line.
#[must_use]
pub fn describe_rollout(rollout: &RolloutStatus) -> String {
    let version = format_version(rollout);
    let share = f64::from(rollout.share_permille) / 10.0;
    let trial = if rollout.trial { " on trial" } else { "" };
    let recorded = if rollout.recorded { "" } else { " (not recorded yet)" };
    let reason = if rollout.reason.is_empty() { String::new() } else { format!(": {}", rollout.reason) };
    format!("version {version}{trial} {} step {} share {share} %{reason}{recorded}", rollout.state, rollout.step)
}

fn format_version(rollout: &RolloutStatus) -> String {
    format!("{}/{} attempt {}", rollout.service, rollout.version, rollout.attempt)
}

fn candidates(document: &Document) -> impl Iterator<Item = (&ServiceName, &CandidateSpec)> {
    document.services.iter().filter_map(|(service, spec)| Some((service, spec.candidate.as_ref()?)))
}

fn parse_state(rollout: &RolloutStatus) -> RolloutState {
    rollout.state.parse().unwrap_or_default()
}

fn find_rollout<'a>(
    status: &'a StatusReply,
    service: &ServiceName,
    candidate: &CandidateSpec,
) -> Option<&'a RolloutStatus> {
    status.rollouts.iter().find(|rollout| {
        let has_same_version = rollout.service == service.as_str() && rollout.version == candidate.version.as_str();
        has_same_version && rollout.attempt == candidate.attempt
    })
}

fn check_candidate(
    status: &StatusReply,
    service: &ServiceName,
    candidate: &CandidateSpec,
    allow_unproved: bool,
) -> Result<(), CtlError> {
    let rollout = find_rollout(status, service, candidate);
    if let Some(rollout) = rollout.filter(|rollout| parse_state(rollout) == RolloutState::RolledBack) {
        return Err(taken_back_error(rollout));
    }
    let version = format!("{service}/{} attempt {}", candidate.version, candidate.attempt);
    // A candidate whose promotion is under way counts as proved, whatever else the document changes.
    let is_proved = rollout
        .is_some_and(|rollout| rollout.recorded && (!rollout.trial || parse_state(rollout) == RolloutState::Proved));
    if is_proved {
        print_line!("{version}: proved in trial or under way");
    } else if allow_unproved {
        print_line!("{version}: not proved in trial");
    } else {
        return Err(CtlError::Unproved { version });
    }
    Ok(())
}

fn taken_back_error(rollout: &RolloutStatus) -> CtlError {
    CtlError::TakenBack { version: format_version(rollout), reason: rollout.reason.clone() }
}

/// Waits until all candidates of a document are finished, or proved if they are only on trial, and prints a line for
/// each rollout.
///
/// # Errors
///
/// Returns an error if a candidate was taken back or is not decided in time, or if the node does not answer.
pub fn wait_for_candidates(client: &NodeClient, document: &Document) -> Result<(), CtlError> {
    let max_duration = candidates(document).map(|(_, candidate)| candidate.finish_within).max().unwrap_or_default();
    let started = Instant::now();
    loop {
        let status = client.fetch_status()?;
        let mut undecided = Vec::new();
        for (service, candidate) in candidates(document) {
            let rollout = find_rollout(&status, service, candidate);
            match rollout.map(|rollout| (rollout, parse_state(rollout))) {
                Some((rollout, RolloutState::RolledBack)) => return Err(taken_back_error(rollout)),
                Some((rollout, state)) if is_decided(rollout, state, candidate) => {}
                _ => undecided.push(format!("{service}/{}", candidate.version)),
            }
        }
        if undecided.is_empty() {
            status.rollouts.iter().for_each(|rollout| print_line!("{}", describe_rollout(rollout)));
            return Ok(());
        }
        if started.elapsed() > max_duration + RECORDING_TIMEOUT {
            return Err(CtlError::Undecided { versions: undecided.join(", ") });
        }
        thread::sleep(POLL_INTERVAL);
    }
}

fn is_decided(rollout: &RolloutStatus, state: RolloutState, candidate: &CandidateSpec) -> bool {
    state == RolloutState::Finished || (candidate.trial_only && rollout.trial && state == RolloutState::Proved)
}
