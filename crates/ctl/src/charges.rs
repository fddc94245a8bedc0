//! Looks charges up in the ledger.

use wasabipier_wire::answer::WireCharge;
use wasabipier_wire::platform::ObjectsReply;

use crate::cli::ChargesArgs;
use crate::client::{agent, no_answer};
use crate::exit::CtlError;

/// Prints the charges of a request, a line each.
///
/// # Errors
///
/// The object store gives no answer.
pub fn print(wanted: &ChargesArgs) -> Result<(), CtlError> {
    let base = format!("http://{}/v1/objects", wanted.platform);
    let list: ObjectsReply = get(&format!("{base}?prefix=ledger/{}/", wanted.environment))?;
    let mut found = 0;
    for key in list.keys {
        let lines: Vec<WireCharge> = get(&format!("{base}/{key}"))?;
        for line in lines.iter().filter(|line| is_wanted(line, wanted)) {
            found += 1;
            print_line(line);
        }
    }
    println!("{found} charges of {}/{}", wanted.organisation, wanted.request);
    Ok(())
}

fn is_wanted(line: &WireCharge, wanted: &ChargesArgs) -> bool {
    line.organisation == wanted.organisation && line.request == wanted.request
}

fn print_line(line: &WireCharge) {
    println!(
        "stage {} attempt {} {} at {} version {}: {} in, {} out",
        line.stage, line.attempt, line.service, line.target, line.version, line.input_units, line.output_units
    );
}

fn get<T: serde::de::DeserializeOwned>(url: &str) -> Result<T, CtlError> {
    let answer = agent().get(url).call();
    answer.and_then(|mut response| response.body_mut().read_json()).map_err(|error| no_answer(url, &error))
}
