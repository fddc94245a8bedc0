//! Shows the state of the nodes with their revisions and seats, all data centres, the targets that are taken out, and
//! the candidate versions. A seat is the right of a node to a fixed share of every target's concurrency limit.

use wasabipier_core::document::{Admission, Document};
use wasabipier_wire::caller::{NodeStatus, StatusReply};
use wasabipier_wire::document::parse_document;

use crate::cli::StatusArgs;
use crate::client::NodeClient;
use crate::exit::CtlError;
use crate::output::print_line;
use crate::rollout;

/// Fetches the status from a node and prints it as text or JSON. The text has a table of all data centres, but names
/// only those targets that are taken out.
///
/// # Errors
///
/// Returns an error if the node does not answer or refuses the key.
pub fn show(client: &NodeClient, options: &StatusArgs) -> Result<(), CtlError> {
    let status = client.fetch_status()?;
    if options.json {
        print_line!("{}", serde_json::to_string_pretty(&status).unwrap_or_default());
        return Ok(());
    }
    let document = client.fetch_document()?;
    let in_force_count = status.nodes.iter().filter(|node| node.revision >= status.revision).count();
    print_line!(
        "environment {}, revision {} by {}, in force at {in_force_count} of {} nodes",
        status.environment,
        document.revision,
        if document.author.is_empty() { "nobody" } else { &document.author },
        status.nodes.len()
    );
    print_nodes(&status.nodes);
    if let Ok(content) = parse_document(&document.text) {
        print_admissions(&content);
    }
    print_rollouts(&status);
    Ok(())
}

fn print_nodes(nodes: &[NodeStatus]) {
    print_line!("{:<16} {:<16} {:<21} {:<9} {:>8}  SEATS", "NODE", "DATA CENTRE", "ADDRESS", "STATE", "REVISION");
    for node in nodes {
        let seats: Vec<String> = node.seats.iter().map(ToString::to_string).collect();
        print_line!(
            "{:<16} {:<16} {:<21} {:<9} {:>8}  {}",
            node.node,
            node.data_centre,
            node.caller_address.to_string(),
            node.state,
            node.revision,
            if seats.is_empty() { "none".to_owned() } else { seats.join(",") }
        );
    }
}

fn print_admissions(document: &Document) {
    print_line!("{:<16} {:<16} {:>7}  ADMISSION", "DATA CENTRE", "REGION", "TARGETS");
    for (name, spec) in &document.dcs {
        let target_count = document.targets.values().filter(|target| target.dc == *name).count();
        print_line!("{:<16} {:<16} {target_count:>7}  {}", name.as_str(), spec.region, spec.admission);
    }
    for (name, spec) in document.targets.iter().filter(|(_, spec)| spec.admission == Admission::Out) {
        print_line!("target {name} of {} in {} is out", spec.service, spec.dc);
    }
}

fn print_rollouts(status: &StatusReply) {
    for rollout in &status.rollouts {
        print_line!("{}", rollout::describe_rollout(rollout));
    }
}
