//! Takes data centres and targets out, and brings them back, by setting the `admission` key in the document. A data
//! centre or target that is out gets no new calls.

use wasabipier_core::document::{Admission, Document};
use wasabipier_core::names::{DcName, TargetName};
use wasabipier_wire::caller::PromoteCall;
use wasabipier_wire::document::parse_document;

use crate::cli::PlaceKind;
use crate::client::NodeClient;
use crate::edit;
use crate::exit::CtlError;
use crate::output::print_line;
use crate::promote;

/// Sets the admission of a data centre or target and waits until the change is in force at every node. Changes nothing
/// if the document in force has this admission already.
///
/// # Errors
///
/// Returns an error if the document has no such name, or if the change was not accepted or is not in force in time.
pub fn set_admission(
    client: &NodeClient,
    kind: PlaceKind,
    name: &str,
    admission: Admission,
    author: &str,
) -> Result<(), CtlError> {
    let document = client.fetch_document()?;
    let content = parse_document(&document.text).map_err(CtlError::InvalidDocument)?;
    if current_admission(&content, kind, name)? == admission {
        print_line!("revision {}: {kind} {name} is {admission} already; nothing was changed", document.revision);
        return Ok(());
    }
    let section = format!("{kind} {name}");
    let text = edit::set_key(&document.text, &section, "admission", &admission.to_string());
    let text = text.ok_or_else(|| unknown_place_error(&content, kind, name))?;
    let changed_content = parse_document(&text).map_err(CtlError::InvalidDocument)?;
    let call = PromoteCall { seen: document.revision, author: author.to_owned(), text };
    let node_count = promote::promote_and_wait(client, &call)?;
    match admission {
        Admission::Out => {
            print_line!("{kind} {name} is out: no node of {node_count} sends new work there");
            print_services_without_targets(&changed_content);
        }
        Admission::Open => print_line!("{kind} {name} is back: its targets take work again in steps"),
    }
    Ok(())
}

/// Prints a line for each service whose targets are all out.
fn print_services_without_targets(document: &Document) {
    for service in document.services.keys() {
        let mut targets = document.targets.values().filter(|target| target.service == *service);
        if !targets.any(|target| document.admits(target)) {
            print_line!(
                "service {service} has no target left that takes work: its calls fail until one is brought back"
            );
        }
    }
}

fn current_admission(document: &Document, kind: PlaceKind, name: &str) -> Result<Admission, CtlError> {
    let found = match kind {
        PlaceKind::DataCentre => document.dcs.get(&DcName::new(name)).map(|spec| spec.admission),
        PlaceKind::Target => document.targets.get(&TargetName::new(name)).map(|spec| spec.admission),
    };
    found.ok_or_else(|| unknown_place_error(document, kind, name))
}

fn unknown_place_error(document: &Document, kind: PlaceKind, name: &str) -> CtlError {
    let known: Vec<String> = match kind {
        PlaceKind::DataCentre => document.dcs.keys().map(ToString::to_string).collect(),
        PlaceKind::Target => document.targets.keys().map(ToString::to_string).collect(),
    };
    CtlError::NoSuchPlace { kind, name: name.to_owned(), known: known.join(", ") }
}
