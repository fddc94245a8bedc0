//! Looks charges up in the ledger, which nodes write to the platform's object store.

use std::net::SocketAddr;

use serde::de::DeserializeOwned;
use wasabipier_wire::answer::LedgerLine;
use wasabipier_wire::platform::ObjectsReply;

use crate::cli::{ChargesArgs, CtlArgs};
use crate::client::{NodeClient, agent};
use crate::exit::CtlError;
use crate::ledger_time::utc;
use crate::output::say;

/// Prints the charges of a request, a line each.
///
/// # Errors
///
/// The object store gives no answer.
pub fn show(args: &CtlArgs, wanted: &ChargesArgs) -> Result<(), CtlError> {
    let platform = match wanted.platform {
        Some(platform) => platform,
        None => NodeClient::new(args)?.status()?.platform,
    };
    let mut lines = find(platform, wanted)?;
    lines.sort_by_key(|line| (line.charge.attempt, line.at_ms));
    if wanted.json {
        say!("{}", serde_json::to_string_pretty(&lines).unwrap_or_default());
        return Ok(());
    }
    for line in &lines {
        print_line(line);
    }
    let name = format!("{}/{} in environment {}", wanted.organisation, wanted.request, wanted.environment);
    match lines.len() {
        0 => say!("no charges of {name}; nodes write them within seconds of the work"),
        1 => say!("1 charge of {name}"),
        count => say!("{count} charges of {name}"),
    }
    Ok(())
}

fn find(platform: SocketAddr, wanted: &ChargesArgs) -> Result<Vec<LedgerLine>, CtlError> {
    let base = format!("http://{platform}/v1/objects");
    let list: ObjectsReply = get(&format!("{base}?prefix=ledger/{}/", wanted.environment))?;
    let mut found = Vec::new();
    for key in list.keys {
        let lines: Vec<LedgerLine> = get(&format!("{base}/{key}"))?;
        found.extend(lines.into_iter().filter(|line| is_wanted(line, wanted)));
    }
    Ok(found)
}

fn is_wanted(line: &LedgerLine, wanted: &ChargesArgs) -> bool {
    line.charge.organisation == wanted.organisation && line.charge.request == wanted.request
}

fn print_line(line: &LedgerLine) {
    let charge = &line.charge;
    say!(
        "{} node {} stage {} attempt {}: {} at {}, version {}: {} in, {} out",
        utc(line.at_ms),
        line.node,
        charge.stage,
        charge.attempt,
        charge.service,
        charge.target,
        charge.version,
        charge.input_units,
        charge.output_units
    );
}

fn get<T: DeserializeOwned>(url: &str) -> Result<T, CtlError> {
    let answer = agent().get(url).call();
    answer
        .and_then(|mut response| response.body_mut().read_json())
        .map_err(|error| CtlError::NoLedger { place: url.to_owned(), detail: error.to_string() })
}
