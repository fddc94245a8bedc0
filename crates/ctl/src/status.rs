//! What the nodes know: revisions, seats, what is taken out, and candidate versions.

use wasabipier_core::document::{Admission, Document};
use wasabipier_wire::caller::{NodeStatus, StatusReply};
use wasabipier_wire::document::parse_document;

use crate::cli::StatusArgs;
use crate::client::NodeClient;
use crate::exit::CtlError;
use crate::output::say;
use crate::rollout;

/// Asks a node and prints what it knows.
///
/// # Errors
///
/// The node does not answer.
pub fn show(client: &NodeClient, wanted: &StatusArgs) -> Result<(), CtlError> {
    let status = client.status()?;
    if wanted.json {
        say!("{}", serde_json::to_string_pretty(&status).unwrap_or_default());
        return Ok(());
    }
    let document = client.document()?;
    let in_force = status.nodes.iter().filter(|node| node.revision >= status.revision).count();
    say!(
        "environment {}, revision {} by {}, in force at {in_force} of {} nodes",
        status.environment,
        document.revision,
        if document.author.is_empty() { "nobody" } else { &document.author },
        status.nodes.len()
    );
    print_nodes(&status.nodes);
    if let Ok(content) = parse_document(&document.text) {
        print_places(&content);
    }
    print_rollouts(&status);
    Ok(())
}

fn print_nodes(nodes: &[NodeStatus]) {
    say!("{:<16} {:<16} {:<21} {:<9} {:>8}  SEATS", "NODE", "DATA CENTRE", "ADDRESS", "STATE", "REVISION");
    for node in nodes {
        let seats: Vec<String> = node.seats.iter().map(ToString::to_string).collect();
        say!(
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

fn print_places(document: &Document) {
    say!("{:<16} {:<16} {:>7}  ADMISSION", "DATA CENTRE", "REGION", "TARGETS");
    for (name, spec) in &document.dcs {
        let targets = document.targets.values().filter(|target| target.dc == *name).count();
        say!("{:<16} {:<16} {targets:>7}  {}", name.as_str(), spec.region, spec.admission);
    }
    for (name, spec) in document.targets.iter().filter(|(_, spec)| spec.admission == Admission::Out) {
        say!("target {name} of {} in {} is out", spec.service, spec.dc);
    }
}

fn print_rollouts(status: &StatusReply) {
    for candidate in &status.rollouts {
        say!("{}", rollout::describe(candidate));
    }
}
