//! Runs the command of the command line.

use std::fs;
use std::path::Path;

use wasabipier_core::document::{Admission, Document};
use wasabipier_wire::document::parse_document;

use crate::cli::{CtlArgs, CtlCommand};
use crate::client::NodeClient;
use crate::exit::{CtlError, ExitKind};
use crate::output::{self, say};
use crate::{admission, ask, burn, charges, edit, promote, status};

/// Runs the command of the command line.
///
/// # Errors
///
/// The command failed; the error names the remedy.
pub fn run(args: &CtlArgs) -> Result<ExitKind, CtlError> {
    match &args.command {
        CtlCommand::Check(check) => check_document(&check.document)?,
        CtlCommand::Document(_) => print_document(&NodeClient::new(args)?)?,
        CtlCommand::Trial(wanted) => promote::try_out(&NodeClient::new(args)?, wanted)?,
        CtlCommand::Promote(wanted) => promote::promote(&NodeClient::new(args)?, wanted)?,
        CtlCommand::Status(wanted) => status::show(&NodeClient::new(args)?, wanted)?,
        CtlCommand::TakeOut(place) => {
            admission::set(&NodeClient::new(args)?, place.kind, &place.name, Admission::Out, &place.author)?;
        }
        CtlCommand::BringBack(place) => {
            admission::set(&NodeClient::new(args)?, place.kind, &place.name, Admission::Open, &place.author)?;
        }
        CtlCommand::Burn(wanted) => return burn::show(args, wanted),
        CtlCommand::Charges(wanted) => charges::show(args, wanted)?,
        CtlCommand::Ask(wanted) => return ask::print(args, wanted),
    }
    Ok(ExitKind::Success)
}

/// Text of a file.
///
/// # Errors
///
/// It cannot be read.
pub fn read(path: &Path) -> Result<String, CtlError> {
    fs::read_to_string(path).map_err(|source| CtlError::Unreadable { path: path.to_owned(), source })
}

fn check_document(path: &Path) -> Result<(), CtlError> {
    let document = parse_document(&read(path)?).map_err(CtlError::Faulty)?;
    say!("{}: valid: {}", path.display(), summary(&document));
    Ok(())
}

fn summary(document: &Document) -> String {
    format!(
        "environment {} with {} data centres, {} organisations, {} services, {} targets, {} pipelines",
        document.environment,
        document.dcs.len(),
        document.orgs.len(),
        document.services.len(),
        document.targets.len(),
        document.pipelines.len()
    )
}

fn print_document(client: &NodeClient) -> Result<(), CtlError> {
    let document = client.document()?;
    output::write(format_args!("{}", edit::stamp(&document.text, document.revision)));
    Ok(())
}
