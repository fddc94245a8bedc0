//! Promotes a document and waits until it is in force at every node.

use std::thread;
use std::time::{Duration, Instant};

use wasabipier_wire::caller::PromoteCall;
use wasabipier_wire::document::parse_document;

use crate::cli::{PromoteArgs, TrialArgs};
use crate::client::NodeClient;
use crate::commands::read_file;
use crate::edit;
use crate::exit::CtlError;
use crate::output::print_line;
use crate::rollout;

/// Time after which a promoted document that is not in force at every node is an error.
const IN_FORCE_TIMEOUT: Duration = Duration::from_secs(8);
/// Interval at which the revisions of the nodes are polled.
const POLL_INTERVAL: Duration = Duration::from_millis(100);

/// Checks and promotes the document in a file. With `--wait`, waits until its candidates are decided.
///
/// # Errors
///
/// Returns an error if the document has faults or an unproved candidate, was not accepted, is not in force at every
/// node in time, or if a candidate was taken back.
pub fn promote(client: &NodeClient, options: &PromoteArgs) -> Result<(), CtlError> {
    let text = read_file(&options.document)?;
    let document = parse_document(&text).map_err(CtlError::InvalidDocument)?;
    rollout::check_proved(client, &document, options.unproved)?;
    let base_revision = find_base_revision(client, options.seen, &text)?;
    promote_and_wait(client, &PromoteCall { seen: base_revision, author: options.author.clone(), text })?;
    if options.wait { rollout::wait_for_candidates(client, &document) } else { Ok(()) }
}

/// Checks and promotes the document in a file with all its candidates on trial. With `--wait`, waits until they are
/// decided.
///
/// # Errors
///
/// Returns an error if the document has faults or no candidate, was not accepted, is not in force at every node in
/// time, or if a candidate was taken back.
pub fn promote_on_trial(client: &NodeClient, options: &TrialArgs) -> Result<(), CtlError> {
    let text = rollout::set_trial_only(read_file(&options.document)?)?;
    let document = parse_document(&text).map_err(CtlError::InvalidDocument)?;
    let base_revision = find_base_revision(client, options.seen, &text)?;
    promote_and_wait(client, &PromoteCall { seen: base_revision, author: options.author.clone(), text })?;
    if options.wait { rollout::wait_for_candidates(client, &document) } else { Ok(()) }
}

/// Returns the revision that a document was made from: the one given by `--seen`, else the one in its first line, else
/// the one in force.
fn find_base_revision(client: &NodeClient, from_flag: Option<u64>, text: &str) -> Result<u64, CtlError> {
    let named_revision = from_flag.or_else(|| edit::parse_revision_line(text));
    named_revision.map_or_else(|| client.fetch_document().map(|document| document.revision), Ok)
}

/// Promotes a document, waits until it is in force at every node and returns the number of nodes. A node counts if the
/// node that is asked knows it.
///
/// # Errors
///
/// Returns an error if the document was not accepted, is not in force at every node within [`IN_FORCE_TIMEOUT`], or if
/// the node that is asked does not answer.
pub fn promote_and_wait(client: &NodeClient, call: &PromoteCall) -> Result<usize, CtlError> {
    let revision = client.promote(call)?;
    print_line!("revision {revision}: accepted");
    let started = Instant::now();
    loop {
        let status = client.fetch_status()?;
        let behind: Vec<&str> =
            status.nodes.iter().filter(|node| node.revision < revision).map(|node| node.node.as_str()).collect();
        if behind.is_empty() {
            let node_count = status.nodes.len();
            print_line!("revision {revision}: in force at {node_count} of {node_count} nodes");
            return Ok(node_count);
        }
        if started.elapsed() > IN_FORCE_TIMEOUT {
            return Err(CtlError::NotInForce { revision, behind: behind.join(", ") });
        }
        thread::sleep(POLL_INTERVAL);
    }
}
