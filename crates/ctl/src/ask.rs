//! Asks as a caller does.

use std::io::{BufRead, BufReader};

use wasabipier_wire::caller::{
    AddressesReply, DEADLINE_HEADER, FinalReply, ORGANISATION_HEADER, REQUEST_HEADER, TokenReply,
};

use crate::cli::{AskArgs, CtlArgs};
use crate::client::no_answer;
use crate::exit::{CtlError, ExitKind};
use crate::output::{self, say};

/// Asks and prints the answer as it comes.
///
/// # Errors
///
/// No node answers.
pub fn print(args: &CtlArgs, ask: &AskArgs) -> Result<ExitKind, CtlError> {
    let agent = ureq::Agent::config_builder().http_status_as_error(false).build().new_agent();
    let url = format!("http://{}/v1/addresses", args.node);
    let known = agent.get(&url).call().and_then(|mut response| response.body_mut().read_json::<AddressesReply>());
    let known = known.map_err(|error| no_answer(&url, &error))?;
    // The first address is the node that was asked; another one shows that any will do.
    let address = known.addresses.last().cloned().unwrap_or_else(|| args.node.to_string());
    let url = format!("http://{address}/v1/{}", ask.goal);
    let mut response = agent
        .post(&url)
        .header(ORGANISATION_HEADER, &ask.organisation)
        .header(REQUEST_HEADER, &ask.request)
        .header(DEADLINE_HEADER, ask.deadline_ms.to_string())
        .send(&ask.body)
        .map_err(|error| no_answer(&url, &error))?;
    say!("{address} answers {}:", response.status().as_u16());
    let mut printer = AnswerPrinter::default();
    for line in BufReader::new(response.body_mut().as_reader()).lines() {
        let line = line.map_err(|error| CtlError::NoAnswer { place: url.clone(), detail: error.to_string() })?;
        printer.print(&line);
    }
    Ok(if printer.done { ExitKind::Success } else { ExitKind::Failure })
}

/// Prints an answer line by line: tokens as running text, the end as it came.
#[derive(Debug, Default)]
struct AnswerPrinter {
    streaming: bool,
    done: bool,
}

impl AnswerPrinter {
    fn print(&mut self, line: &str) {
        if let Ok(token) = serde_json::from_str::<TokenReply>(line) {
            output::write(format_args!("{}", token.token));
            self.streaming = true;
            return;
        }
        if self.streaming {
            say!("");
        }
        say!("{line}");
        self.done |= serde_json::from_str::<FinalReply>(line).is_ok_and(|reply| reply.outcome == "done");
    }
}
