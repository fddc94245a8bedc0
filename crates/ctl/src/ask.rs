//! Asks as a caller does.

use std::io::{BufRead, BufReader, Write};

use wasabipier_wire::caller::{
    AddressesReply, DEADLINE_HEADER, FinalReply, ORGANISATION_HEADER, REQUEST_HEADER, TokenReply,
};

use crate::cli::{AskArgs, CtlArgs};
use crate::client::no_answer;
use crate::exit::{CtlError, ExitKind};

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
    let mut done = false;
    for line in BufReader::new(response.body_mut().as_reader()).lines() {
        let line = line.map_err(|error| CtlError::NoAnswer { place: url.clone(), detail: error.to_string() })?;
        done |= print_line(&line);
    }
    Ok(if done { ExitKind::Success } else { ExitKind::Failure })
}

/// Prints one line of an answer; tells whether it says that the request was done.
fn print_line(line: &str) -> bool {
    if let Ok(token) = serde_json::from_str::<TokenReply>(line) {
        print!("{}", token.token);
        let _ = std::io::stdout().flush();
        return false;
    }
    println!("\n{line}");
    serde_json::from_str::<FinalReply>(line).is_ok_and(|reply| reply.outcome == "done")
}
