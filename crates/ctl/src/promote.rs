//! Promotes a document and waits until it is in force everywhere.

use std::thread;
use std::time::{Duration, Instant};

use wasabipier_wire::caller::PromoteCall;
use wasabipier_wire::document::parse_document;

use crate::cli::{PromoteArgs, TrialArgs};
use crate::client::NodeClient;
use crate::commands::read;
use crate::edit;
use crate::exit::CtlError;
use crate::output::say;
use crate::rollout;

/// Time for a document to be in force everywhere.
const IN_FORCE_WITHIN: Duration = Duration::from_secs(8);
/// Interval of looks at how far it has come.
const LOOK_EVERY: Duration = Duration::from_millis(100);

/// Checks and promotes the document of a file.
///
/// # Errors
///
/// It has faults, was not accepted, or is not in force everywhere in time.
pub fn promote(client: &NodeClient, wanted: &PromoteArgs) -> Result<(), CtlError> {
    let text = read(&wanted.document)?;
    let document = parse_document(&text).map_err(CtlError::Faulty)?;
    rollout::check_proved(client, &document, wanted.unproved)?;
    let seen = seen(client, wanted.seen, &text)?;
    accept(client, &PromoteCall { seen, author: wanted.author.clone(), text })?;
    if wanted.wait { rollout::wait(client, &document) } else { Ok(()) }
}

/// Checks and promotes the document of a file with all its candidates on trial.
///
/// # Errors
///
/// It has faults or no candidate, was not accepted, or a candidate was taken back.
pub fn try_out(client: &NodeClient, wanted: &TrialArgs) -> Result<(), CtlError> {
    let text = rollout::on_trial(read(&wanted.document)?)?;
    let document = parse_document(&text).map_err(CtlError::Faulty)?;
    let seen = seen(client, wanted.seen, &text)?;
    accept(client, &PromoteCall { seen, author: wanted.author.clone(), text })?;
    if wanted.wait { rollout::wait(client, &document) } else { Ok(()) }
}

/// The revision that a document was made from: as told, as printed in it, or the one in force.
fn seen(client: &NodeClient, told: Option<u64>, text: &str) -> Result<u64, CtlError> {
    let seen = told.or_else(|| edit::stamped(text));
    seen.map_or_else(|| client.document().map(|document| document.revision), Ok)
}

/// Has a document accepted and waits until it is in force everywhere; gives the number of nodes.
///
/// # Errors
///
/// It was not accepted, or is not in force everywhere in time.
pub fn accept(client: &NodeClient, call: &PromoteCall) -> Result<usize, CtlError> {
    let revision = client.promote(call)?;
    say!("revision {revision}: accepted");
    let started = Instant::now();
    loop {
        let status = client.status()?;
        let behind: Vec<&str> =
            status.nodes.iter().filter(|node| node.revision < revision).map(|node| node.node.as_str()).collect();
        if behind.is_empty() {
            let count = status.nodes.len();
            say!("revision {revision}: in force at {count} of {count} nodes");
            return Ok(count);
        }
        if started.elapsed() > IN_FORCE_WITHIN {
            return Err(CtlError::Slow { revision, behind: behind.join(", ") });
        }
        thread::sleep(LOOK_EVERY);
    }
}
