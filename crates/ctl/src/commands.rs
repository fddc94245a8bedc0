//! One function for each command.

use std::fs;
use std::path::Path;
use std::thread;
use std::time::{Duration, Instant};

use wasabipier_wire::caller::{PromoteCall, StatusReply};
use wasabipier_wire::document::parse_document;

use crate::ask;
use crate::burn;
use crate::charges;
use crate::cli::{CtlArgs, CtlCommand};
use crate::client::NodeClient;
use crate::edit;
use crate::exit::{CtlError, ExitKind};

/// Time for a document to be in force everywhere.
const IN_FORCE_WITHIN: Duration = Duration::from_secs(8);
/// Interval of looks at how far it has come.
const LOOK_EVERY: Duration = Duration::from_millis(100);

/// Runs the command of the command line.
///
/// # Errors
///
/// The command failed; the error names the remedy.
pub fn run(args: &CtlArgs) -> Result<ExitKind, CtlError> {
    match &args.command {
        CtlCommand::Check(check) => {
            parse_document(&read(&check.document)?).map_err(CtlError::Faulty)?;
            println!("{}: valid", check.document.display());
        }
        CtlCommand::Promote(promote) => {
            let text = read(&promote.document)?;
            parse_document(&text).map_err(CtlError::Faulty)?;
            let client = NodeClient::new(args)?;
            let seen = match promote.seen {
                Some(seen) => seen,
                None => client.document()?.revision,
            };
            accept(&client, &PromoteCall { seen, author: promote.author.clone(), text })?;
        }
        CtlCommand::Status(_) => print_status(&NodeClient::new(args)?.status()?),
        CtlCommand::TakeOut(place) => admit(args, &place.kind, &place.name, "out")?,
        CtlCommand::BringBack(place) => admit(args, &place.kind, &place.name, "open")?,
        CtlCommand::Burn(wanted) => return burn::show(args, wanted),
        CtlCommand::Ask(ask) => return ask::print(args, ask),
        CtlCommand::Charges(wanted) => charges::print(wanted)?,
    }
    Ok(ExitKind::Success)
}

fn read(path: &Path) -> Result<String, CtlError> {
    fs::read_to_string(path).map_err(|source| CtlError::Unreadable { path: path.to_owned(), source })
}

fn admit(args: &CtlArgs, kind: &str, name: &str, admission: &str) -> Result<(), CtlError> {
    let client = NodeClient::new(args)?;
    let document = client.document()?;
    let section = format!("{kind} {name}");
    let text = edit::set(&document.text, &section, "admission", admission).ok_or(CtlError::NoSection(section))?;
    accept(&client, &PromoteCall { seen: document.revision, author: "operator".to_owned(), text })
}

fn accept(client: &NodeClient, call: &PromoteCall) -> Result<(), CtlError> {
    let revision = client.promote(call)?;
    println!("revision {revision}: accepted");
    let started = Instant::now();
    loop {
        let status = client.status()?;
        let behind: Vec<String> =
            status.nodes.iter().filter(|node| node.revision < revision).map(|node| node.node.clone()).collect();
        if behind.is_empty() {
            println!("revision {revision}: in force at {} nodes", status.nodes.len());
            return Ok(());
        }
        if started.elapsed() > IN_FORCE_WITHIN {
            return Err(CtlError::Slow { revision, behind: behind.join(", ") });
        }
        thread::sleep(LOOK_EVERY);
    }
}

fn print_status(status: &StatusReply) {
    println!("revision {}", status.revision);
    for node in &status.nodes {
        let seats: Vec<String> = node.seats.iter().map(ToString::to_string).collect();
        println!(
            "node {:<12} {:<16} {:<9} revision {} seats {}",
            node.node,
            node.data_centre,
            node.state,
            node.revision,
            seats.join(",")
        );
    }
    for rollout in &status.rollouts {
        println!(
            "version {}/{} {} step {} {}",
            rollout.service, rollout.version, rollout.state, rollout.step, rollout.reason
        );
    }
}
