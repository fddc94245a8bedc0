//! Trial and promotion of documents with candidate versions.

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
use crate::output::say;

/// Interval of looks at candidates that are waited for.
const LOOK_EVERY: Duration = Duration::from_millis(200);
/// Time beyond the set one for a verdict to be recorded.
const RECORDED_WITHIN: Duration = Duration::from_mins(1);

/// Checks that no candidate of a document was taken back, and that each was proved in trial or need not be.
///
/// # Errors
///
/// One was taken back or not proved, or the node does not answer.
pub fn check_proved(client: &NodeClient, document: &Document, unproved: bool) -> Result<(), CtlError> {
    if candidates(document).next().is_none() {
        return Ok(());
    }
    let status = client.status()?;
    let mut promoted = candidates(document).filter(|(_, candidate)| !candidate.trial_only);
    promoted.try_for_each(|(service, candidate)| check_candidate(&status, service, candidate, unproved))
}

/// The text of a document with all its candidates on trial.
///
/// # Errors
///
/// It has faults, or no candidate.
pub fn on_trial(text: String) -> Result<String, CtlError> {
    let document = parse_document(&text).map_err(CtlError::Faulty)?;
    if candidates(&document).next().is_none() {
        return Err(CtlError::NoCandidate);
    }
    candidates(&document).try_fold(text, |text, (service, _)| {
        edit::set(&text, &format!("service {service}"), "trial_only", "yes").ok_or(CtlError::NoCandidate)
    })
}

/// One line on a candidate.
#[must_use]
pub fn describe(candidate: &RolloutStatus) -> String {
    let version = name_of(candidate);
    let share = f64::from(candidate.share_permille) / 10.0;
    let trial = if candidate.trial { " on trial" } else { "" };
    let recorded = if candidate.recorded { "" } else { " (not recorded yet)" };
    let reason = if candidate.reason.is_empty() { String::new() } else { format!(": {}", candidate.reason) };
    format!("version {version}{trial} {} step {} share {share} %{reason}{recorded}", candidate.state, candidate.step)
}

fn name_of(candidate: &RolloutStatus) -> String {
    format!("{}/{} attempt {}", candidate.service, candidate.version, candidate.attempt)
}

fn candidates(document: &Document) -> impl Iterator<Item = (&ServiceName, &CandidateSpec)> {
    document.services.iter().filter_map(|(service, spec)| Some((service, spec.candidate.as_ref()?)))
}

fn state_of(candidate: &RolloutStatus) -> RolloutState {
    candidate.state.parse().unwrap_or_default()
}

fn find<'a>(status: &'a StatusReply, service: &ServiceName, candidate: &CandidateSpec) -> Option<&'a RolloutStatus> {
    status.rollouts.iter().find(|known| {
        let same_version = known.service == service.as_str() && known.version == candidate.version.as_str();
        same_version && known.attempt == candidate.attempt
    })
}

fn check_candidate(
    status: &StatusReply,
    service: &ServiceName,
    candidate: &CandidateSpec,
    unproved: bool,
) -> Result<(), CtlError> {
    let known = find(status, service, candidate);
    if let Some(known) = known.filter(|known| state_of(known) == RolloutState::RolledBack) {
        return Err(taken_back(known));
    }
    let version = format!("{service}/{} attempt {}", candidate.version, candidate.attempt);
    // One that is being promoted already stays so, whatever else the document changes.
    let proved = known.is_some_and(|known| known.recorded && (!known.trial || state_of(known) == RolloutState::Proved));
    if proved {
        say!("{version}: proved in trial or under way");
    } else if unproved {
        say!("{version}: not proved in trial");
    } else {
        return Err(CtlError::Unproved { version });
    }
    Ok(())
}

fn taken_back(candidate: &RolloutStatus) -> CtlError {
    CtlError::TakenBack { version: name_of(candidate), reason: candidate.reason.clone() }
}

/// Waits until all candidates of a document are finished or proved.
///
/// # Errors
///
/// One was taken back or is not decided in time, or the node does not answer.
pub fn wait(client: &NodeClient, document: &Document) -> Result<(), CtlError> {
    let longest = candidates(document).map(|(_, candidate)| candidate.finish_within).max().unwrap_or_default();
    let started = Instant::now();
    loop {
        let status = client.status()?;
        let mut undecided = Vec::new();
        for (service, candidate) in candidates(document) {
            let known = find(&status, service, candidate);
            match known.map(|known| (known, state_of(known))) {
                Some((known, RolloutState::RolledBack)) => return Err(taken_back(known)),
                Some((known, state)) if is_decided(known, state, candidate) => {}
                _ => undecided.push(format!("{service}/{}", candidate.version)),
            }
        }
        if undecided.is_empty() {
            status.rollouts.iter().for_each(|candidate| say!("{}", describe(candidate)));
            return Ok(());
        }
        if started.elapsed() > longest + RECORDED_WITHIN {
            return Err(CtlError::Undecided { versions: undecided.join(", ") });
        }
        thread::sleep(LOOK_EVERY);
    }
}

fn is_decided(known: &RolloutStatus, state: RolloutState, candidate: &CandidateSpec) -> bool {
    state == RolloutState::Finished || (candidate.trial_only && known.trial && state == RolloutState::Proved)
}
