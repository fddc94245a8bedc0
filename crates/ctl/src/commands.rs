//! Dispatches the subcommands of the command line.

use std::fs;
use std::path::Path;

use wasabipier_core::document::{Admission, Document};
use wasabipier_wire::document::parse_document;

use crate::cli::{CtlArgs, CtlCommand};
use crate::client::NodeClient;
use crate::exit::{CtlError, ExitKind};
use crate::output::{self, print_line};
use crate::{admission, ask, burn, charges, check_relay, edit, promote, status};

/// Runs the subcommand given in `args` and returns the kind of exit.
///
/// # Errors
///
/// Returns the error of the failed subcommand. The error's message names the remedy.
pub fn run(args: &CtlArgs) -> Result<ExitKind, CtlError> {
    match &args.command {
        CtlCommand::Check(check) => check_document(&check.document)?,
        CtlCommand::CheckRelay(options) => return check_relay::check(options),
        CtlCommand::Document(_) => print_document(&NodeClient::new(args)?)?,
        CtlCommand::Trial(options) => promote::promote_on_trial(&NodeClient::new(args)?, options)?,
        CtlCommand::Promote(options) => promote::promote(&NodeClient::new(args)?, options)?,
        CtlCommand::Status(options) => status::show(&NodeClient::new(args)?, options)?,
        CtlCommand::TakeOut(place) => {
            admission::set_admission(&NodeClient::new(args)?, place.kind, &place.name, Admission::Out, &place.author)?;
        }
        CtlCommand::BringBack(place) => {
            admission::set_admission(&NodeClient::new(args)?, place.kind, &place.name, Admission::Open, &place.author)?;
        }
        CtlCommand::Burn(options) => return burn::show(args, options),
        CtlCommand::Charges(options) => charges::show(args, options)?,
        CtlCommand::Ask(options) => return ask::send_request(args, options),
    }
    Ok(ExitKind::Success)
}

/// Reads a file as text.
///
/// # Errors
///
/// Returns [`CtlError::Unreadable`] if the file cannot be read or is not UTF-8.
pub fn read_file(path: &Path) -> Result<String, CtlError> {
    fs::read_to_string(path).map_err(|source| CtlError::Unreadable { path: path.to_owned(), source })
}

fn check_document(path: &Path) -> Result<(), CtlError> {
    let document = parse_document(&read_file(path)?).map_err(CtlError::InvalidDocument)?;
    print_line!("{}: valid: {}", path.display(), format_summary(&document));
    Ok(())
}

fn format_summary(document: &Document) -> String {
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
    let document = client.fetch_document()?;
    output::print(format_args!("{}", edit::add_revision_line(&document.text, document.revision)));
    Ok(())
}
