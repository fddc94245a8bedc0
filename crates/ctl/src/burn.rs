//! Sums the counts of all nodes to the service-level burn report and shows it. A burn rate says how fast the error
//! budget of an objective is spent: at rate 1 the budget lasts exactly as long as its period.

mod picture;
mod report;
mod text;

use std::collections::BTreeMap;
use std::fs;
use std::thread;

use wasabipier_core::burn::{BurnRow, BurnSubject};
use wasabipier_wire::burn::BurnReply;
use wasabipier_wire::caller::NodeStatus;

use crate::burn::report::{BurnReport, NodeCoverage, SilentNode};
use crate::cli::{BurnArgs, CtlArgs, PROGRAM};
use crate::client::NodeClient;
use crate::exit::{CtlError, ExitKind};
use crate::output::{self, print_line};

/// Maximum number of nodes that are called in parallel.
const MAX_PARALLEL_CALLS: usize = 32;

/// Collects the report from all nodes and shows it as table, JSON or SVG. Returns [`ExitKind::Partial`] if the counts
/// of a node could not be fetched.
///
/// # Errors
///
/// Returns an error if the node of the command line does not answer, a node has another release, or the picture cannot
/// be written.
pub fn show(args: &CtlArgs, options: &BurnArgs) -> Result<ExitKind, CtlError> {
    let report = collect_report(&NodeClient::new(args)?)?;
    if let Some(path) = &options.svg {
        let picture = picture::draw_report(&report);
        fs::write(path, picture).map_err(|source| CtlError::Unwritable { path: path.clone(), source })?;
        print_line!("{}: written", path.display());
    }
    if options.json {
        print_line!("{}", report.to_json());
    } else if options.svg.is_none() {
        output::print(format_args!("{}", text::format_table(&report)));
    }
    for node in &report.silent_nodes {
        eprintln!(
            "{PROGRAM}: no answer from {} at {}, so its counts are missing; try again, or check the node's log",
            node.node, node.address
        );
    }
    Ok(if report.silent_nodes.is_empty() { ExitKind::Success } else { ExitKind::Partial })
}

fn collect_report(client: &NodeClient) -> Result<BurnReport, CtlError> {
    let status = client.fetch_status()?;
    let mut report = BurnReport { revision: status.revision, ..BurnReport::default() };
    let mut sums: BTreeMap<BurnSubject, BurnRow> = BTreeMap::new();
    for nodes in status.nodes.chunks(MAX_PARALLEL_CALLS) {
        for (node, reply) in nodes.iter().zip(fetch_counts(client, nodes)) {
            match reply {
                Ok(reply) => add_reply(&mut report, &mut sums, &reply)?,
                Err(_) => report.silent_nodes.push(SilentNode::from(node)),
            }
        }
    }
    report.rows = sums.values().map(Into::into).collect();
    Ok(report)
}

/// Fetches the counts of `nodes` in parallel and returns the replies in the order of `nodes`.
fn fetch_counts(client: &NodeClient, nodes: &[NodeStatus]) -> Vec<Result<BurnReply, CtlError>> {
    thread::scope(|scope| {
        let threads: Vec<_> =
            nodes.iter().map(|node| scope.spawn(|| client.for_node(node.caller_address).fetch_burn_counts())).collect();
        threads.into_iter().map(|thread| thread.join().unwrap_or(Err(CtlError::Unknown))).collect()
    })
}

/// Adds the counts of one node to the sums of all nodes.
fn add_reply(
    report: &mut BurnReport,
    sums: &mut BTreeMap<BurnSubject, BurnRow>,
    reply: &BurnReply,
) -> Result<(), CtlError> {
    report.environment.clone_from(&reply.environment);
    report.nodes.push(NodeCoverage { node: reply.node.clone(), covers_s: reply.covers_s });
    for wire_row in &reply.rows {
        let row = BurnRow::try_from(wire_row)?;
        match sums.get_mut(&row.subject) {
            Some(sum) => sum.merge(&row),
            None => {
                sums.insert(row.subject.clone(), row);
            }
        }
    }
    Ok(())
}
