//! Looks up charges in the ledger, which the nodes write to the object store of the platform. A charge says what one
//! attempt of a request used at a target.

use std::net::SocketAddr;

use serde::de::DeserializeOwned;
use wasabipier_wire::answer::LedgerLine;
use wasabipier_wire::platform::ObjectsReply;

use crate::cli::{ChargesArgs, CtlArgs};
use crate::client::{NodeClient, new_agent};
use crate::exit::CtlError;
use crate::ledger_time::format_utc;
use crate::output::print_line;

/// Prints the charges of a request, one line each or as JSON, ordered by attempt and time.
///
/// # Errors
///
/// Returns an error if the object store does not answer, or if the node that is asked for its address does not.
pub fn show(args: &CtlArgs, options: &ChargesArgs) -> Result<(), CtlError> {
    let platform = match options.platform {
        Some(platform) => platform,
        None => NodeClient::new(args)?.fetch_status()?.platform,
    };
    let mut lines = find_charges(platform, options)?;
    lines.sort_by_key(|line| (line.charge.attempt, line.at_ms));
    if options.json {
        print_line!("{}", serde_json::to_string_pretty(&lines).unwrap_or_default());
        return Ok(());
    }
    for line in &lines {
        print_charge(line);
    }
    let name = format!("{}/{} in environment {}", options.organisation, options.request, options.environment);
    match lines.len() {
        0 => print_line!("no charges of {name}; nodes write them within seconds of the work"),
        1 => print_line!("1 charge of {name}"),
        count => print_line!("{count} charges of {name}"),
    }
    Ok(())
}

fn find_charges(platform: SocketAddr, options: &ChargesArgs) -> Result<Vec<LedgerLine>, CtlError> {
    let base = format!("http://{platform}/v1/objects");
    let listing: ObjectsReply = get_json(&format!("{base}?prefix=ledger/{}/", options.environment))?;
    let mut found = Vec::new();
    for key in listing.keys {
        let lines: Vec<LedgerLine> = get_json(&format!("{base}/{key}"))?;
        found.extend(lines.into_iter().filter(|line| is_for_request(line, options)));
    }
    Ok(found)
}

fn is_for_request(line: &LedgerLine, options: &ChargesArgs) -> bool {
    line.charge.organisation == options.organisation && line.charge.request == options.request
}

fn print_charge(line: &LedgerLine) {
    let charge = &line.charge;
    print_line!(
        "{} node {} stage {} attempt {}: {} at {}, version {}: {} in, {} out",
        format_utc(line.at_ms),
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

fn get_json<T: DeserializeOwned>(url: &str) -> Result<T, CtlError> {
    let answer = new_agent().get(url).call();
    answer
        .and_then(|mut response| response.body_mut().read_json())
        .map_err(|error| CtlError::LedgerReadFailed { url: url.to_owned(), detail: error.to_string() })
}
