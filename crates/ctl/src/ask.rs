//! Sends a request the way a caller does.

use std::io::{BufRead, BufReader};

use wasabipier_wire::caller::{
    AddressesReply, DEADLINE_HEADER, FinalReply, ORGANISATION_HEADER, REQUEST_ID_HEADER, TokenReply,
};

use crate::cli::{AskArgs, CtlArgs};
use crate::client::call_error;
use crate::exit::{CtlError, ExitKind};
use crate::output::{self, print_line};

/// Fetches the addresses from the node, sends the request to the last of them and prints the answer while it arrives.
/// Returns [`ExitKind::Failure`] if the answer does not end with the outcome `done`.
///
/// # Errors
///
/// Returns [`CtlError::CallFailed`] if a node does not answer or the answer breaks off.
pub fn send_request(args: &CtlArgs, ask: &AskArgs) -> Result<ExitKind, CtlError> {
    let agent = ureq::Agent::config_builder().http_status_as_error(false).build().new_agent();
    let url = format!("http://{}/v1/addresses", args.node);
    let reply = agent.get(&url).call().and_then(|mut response| response.body_mut().read_json::<AddressesReply>());
    let reply = reply.map_err(|error| call_error(&url, &error))?;
    // The first address is usually the node that was asked. Using the last one shows that any node takes the request.
    let address = reply.addresses.last().cloned().unwrap_or_else(|| args.node.to_string());
    let url = format!("http://{address}/v1/{}", ask.goal);
    let mut response = agent
        .post(&url)
        .header(ORGANISATION_HEADER, &ask.organisation)
        .header(REQUEST_ID_HEADER, &ask.request)
        .header(DEADLINE_HEADER, ask.deadline_ms.to_string())
        .send(&ask.body)
        .map_err(|error| call_error(&url, &error))?;
    print_line!("{address} answers {}:", response.status().as_u16());
    let mut printer = AnswerPrinter::default();
    for line in BufReader::new(response.body_mut().as_reader()).lines() {
        let line = line.map_err(|error| CtlError::CallFailed { url: url.clone(), detail: error.to_string() })?;
        printer.print(&line);
    }
    Ok(if printer.is_done { ExitKind::Success } else { ExitKind::Failure })
}

/// Prints an answer line by line: the tokens joined as text, all other lines unchanged.
#[derive(Debug, Default)]
struct AnswerPrinter {
    /// Whether a token was printed, so that a line that is no token needs a line break before it.
    has_printed_token: bool,
    /// Whether the answer ended with the outcome `done`.
    is_done: bool,
}

impl AnswerPrinter {
    fn print(&mut self, line: &str) {
        if let Ok(token) = serde_json::from_str::<TokenReply>(line) {
            output::print(format_args!("{}", token.token));
            self.has_printed_token = true;
            return;
        }
        if self.has_printed_token {
            print_line!("");
        }
        print_line!("{line}");
        self.is_done |= serde_json::from_str::<FinalReply>(line).is_ok_and(|reply| reply.outcome == "done");
    }
}
