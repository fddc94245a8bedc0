//! The service-level burn report: counts of all nodes, added up and shown.

mod picture;
mod report;
mod text;

use std::collections::BTreeMap;
use std::fs;
use std::thread;

use wasabipier_core::burn::{BurnRow, BurnSubject};
use wasabipier_wire::burn::BurnReply;
use wasabipier_wire::caller::NodeStatus;

use crate::burn::report::{BurnReport, NodeCover, SilentNode};
use crate::cli::{BurnArgs, CtlArgs, PROGRAM};
use crate::client::NodeClient;
use crate::exit::{CtlError, ExitKind};
use crate::output::{self, say};

/// Nodes that are asked at once.
const ASKED_AT_ONCE: usize = 32;

/// Asks every node and shows the report.
///
/// # Errors
///
/// No node answers, or the picture cannot be written.
pub fn show(args: &CtlArgs, wanted: &BurnArgs) -> Result<ExitKind, CtlError> {
    let report = gather(&NodeClient::new(args)?)?;
    if let Some(path) = &wanted.svg {
        let picture = picture::draw(&report);
        fs::write(path, picture).map_err(|source| CtlError::Unwritable { path: path.clone(), source })?;
        say!("{}: written", path.display());
    }
    if wanted.json {
        say!("{}", report.json());
    } else if wanted.svg.is_none() {
        output::write(format_args!("{}", text::table(&report)));
    }
    for node in &report.silent_nodes {
        eprintln!(
            "{PROGRAM}: no answer from {} at {}, so its counts are missing; ask again, or look at its log",
            node.node, node.address
        );
    }
    Ok(if report.silent_nodes.is_empty() { ExitKind::Success } else { ExitKind::Partial })
}

fn gather(client: &NodeClient) -> Result<BurnReport, CtlError> {
    let status = client.status()?;
    let mut report = BurnReport { revision: status.revision, ..BurnReport::default() };
    let mut sums: BTreeMap<BurnSubject, BurnRow> = BTreeMap::new();
    for nodes in status.nodes.chunks(ASKED_AT_ONCE) {
        for (node, reply) in nodes.iter().zip(ask(client, nodes)) {
            match reply {
                Ok(reply) => add(&mut report, &mut sums, &reply)?,
                Err(_) => report.silent_nodes.push(SilentNode::from(node)),
            }
        }
    }
    report.rows = sums.values().map(Into::into).collect();
    Ok(report)
}

/// Asks nodes at once; gives their replies in the nodes' order.
fn ask(client: &NodeClient, nodes: &[NodeStatus]) -> Vec<Result<BurnReply, CtlError>> {
    thread::scope(|scope| {
        let threads: Vec<_> = nodes.iter().map(|node| scope.spawn(|| client.at(node.caller_address).burn())).collect();
        threads.into_iter().map(|thread| thread.join().unwrap_or(Err(CtlError::Unknown))).collect()
    })
}

fn add(report: &mut BurnReport, sums: &mut BTreeMap<BurnSubject, BurnRow>, reply: &BurnReply) -> Result<(), CtlError> {
    report.environment.clone_from(&reply.environment);
    report.nodes.push(NodeCover { node: reply.node.clone(), covers_s: reply.covers_s });
    for wire in &reply.rows {
        let row = BurnRow::try_from(wire)?;
        match sums.get_mut(&row.subject) {
            Some(sum) => sum.merge(&row),
            None => {
                sums.insert(row.subject.clone(), row);
            }
        }
    }
    Ok(())
}
