//! Takes data centres and targets out, and brings them back: one key of the document.

use wasabipier_core::document::{Admission, Document};
use wasabipier_core::names::{DcName, TargetName};
use wasabipier_wire::caller::PromoteCall;
use wasabipier_wire::document::parse_document;

use crate::cli::PlaceKind;
use crate::client::NodeClient;
use crate::edit;
use crate::exit::CtlError;
use crate::output::say;
use crate::promote;

/// Sets the admission of a data centre or target and waits until it is in force everywhere.
///
/// # Errors
///
/// The document does not name it, or the change was not accepted or is not in force in time.
pub fn set(
    client: &NodeClient,
    kind: PlaceKind,
    name: &str,
    admission: Admission,
    author: &str,
) -> Result<(), CtlError> {
    let document = client.document()?;
    let content = parse_document(&document.text).map_err(CtlError::Faulty)?;
    if current(&content, kind, name)? == admission {
        say!("revision {}: {kind} {name} is {admission} already; nothing was changed", document.revision);
        return Ok(());
    }
    let section = format!("{kind} {name}");
    let text = edit::set(&document.text, &section, "admission", &admission.to_string());
    let text = text.ok_or_else(|| unknown(&content, kind, name))?;
    let changed = parse_document(&text).map_err(CtlError::Faulty)?;
    let call = PromoteCall { seen: document.revision, author: author.to_owned(), text };
    let nodes = promote::accept(client, &call)?;
    match admission {
        Admission::Out => {
            say!("{kind} {name} is out: no node of {nodes} sends new work there");
            warn_of_closed(&changed);
        }
        Admission::Open => say!("{kind} {name} is back: its targets take work again in steps"),
    }
    Ok(())
}

/// Names the services whose targets are all out.
fn warn_of_closed(document: &Document) {
    for service in document.services.keys() {
        let mut targets = document.targets.values().filter(|target| target.service == *service);
        if !targets.any(|target| document.admits(target)) {
            say!("service {service} has no target left that takes work: its calls fail until one is brought back");
        }
    }
}

fn current(document: &Document, kind: PlaceKind, name: &str) -> Result<Admission, CtlError> {
    let found = match kind {
        PlaceKind::DataCentre => document.dcs.get(&DcName::new(name)).map(|spec| spec.admission),
        PlaceKind::Target => document.targets.get(&TargetName::new(name)).map(|spec| spec.admission),
    };
    found.ok_or_else(|| unknown(document, kind, name))
}

fn unknown(document: &Document, kind: PlaceKind, name: &str) -> CtlError {
    let known: Vec<String> = match kind {
        PlaceKind::DataCentre => document.dcs.keys().map(ToString::to_string).collect(),
        PlaceKind::Target => document.targets.keys().map(ToString::to_string).collect(),
    };
    CtlError::NoSuchPlace { kind, name: name.to_owned(), known: known.join(", ") }
}
