//! Operators' requests: reading and promoting the document, and reading the state of the environment. The document is
//! the configuration of an environment; promoting one makes it the next revision that all nodes use.

use std::sync::Arc;
use std::sync::mpsc;
use std::time::Duration;

use spdlog::info;
use tiny_http::{Method, Request};
use wasabipier_core::prelude::*;
use wasabipier_wire::caller::{PromoteCall, PromoteReply};
use wasabipier_wire::row::parse_accepted_document;

use crate::callers::{CallerEdge, RequestError, header_value, refuse, reply};
use crate::log_prefix::OPERATORS;
use crate::node_input::{NodeInput, NodeQuery};

/// Time within which the core must accept or refuse a promotion.
const PROMOTE_TIMEOUT: Duration = Duration::from_secs(30);

/// Checks the operators' key and handles the request for `action`, the last part of the path.
pub fn handle_request(edge: &CallerEdge, request: Request, action: &str) {
    let authorization = header_value(&request, "Authorization").unwrap_or_default();
    if !edge.operator_key.matches(authorization.trim_start_matches("Bearer ")) {
        info!("{OPERATORS} request with a missing or wrong key was refused.");
        return refuse(request, &RequestError::NoKey);
    }
    match (request.method(), action) {
        (Method::Get, "status") => edge.handle_query(request, NodeQuery::Status),
        (Method::Get, "burn") => edge.handle_query(request, NodeQuery::Burn),
        (Method::Get, "document") => edge.handle_query(request, NodeQuery::Document),
        (Method::Post, "promote") => handle_promote(edge, request),
        _ => refuse(request, &RequestError::NoSuchPath),
    }
}

fn handle_promote(edge: &CallerEdge, mut request: Request) {
    let body = match edge.read_body(&mut request) {
        Ok(body) => body,
        Err(error) => return refuse(request, &error),
    };
    let call: PromoteCall = match serde_json::from_str(&body) {
        Ok(call) => call,
        Err(error) => return refuse(request, &RequestError::NotJson(error.to_string())),
    };
    let nonce = Nonce(fastrand::u64(1..));
    let answer = match parse_accepted_document(call.seen + 1, nonce, &call.author, &call.text) {
        Ok(document) => promote(edge, document),
        Err(faults) => PromoteReply::Invalid { faults },
    };
    info!("{OPERATORS} promotion by {} on revision {} ended: {answer:?}.", call.author, call.seen);
    reply(request, 200, &answer);
}

/// Passes a document to the core and waits for the result of its promotion.
fn promote(edge: &CallerEdge, document: AcceptedDocument) -> PromoteReply {
    let (sender, receiver) = mpsc::channel();
    if edge.inputs.send(NodeInput::Promote(Arc::new(document), sender)).is_err() {
        return PromoteReply::NotAccepted;
    }
    match receiver.recv_timeout(PROMOTE_TIMEOUT) {
        Ok(PromoteAnswer::Accepted(revision)) => PromoteReply::Accepted { revision: revision.0 },
        Ok(PromoteAnswer::Conflict { revision, author }) => {
            PromoteReply::Conflict { revision: revision.0, author: author.to_string() }
        }
        Ok(PromoteAnswer::NotAccepted) => PromoteReply::NotAccepted,
        Ok(PromoteAnswer::Unknown) | Err(_) => PromoteReply::Unknown,
    }
}
