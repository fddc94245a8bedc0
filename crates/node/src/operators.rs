//! Operators' calls: the document, its promotion, and what the node knows.

use std::sync::Arc;
use std::sync::mpsc;
use std::time::Duration;

use spdlog::info;
use tiny_http::{Method, Request};
use wasabipier_core::prelude::*;
use wasabipier_wire::caller::{PromoteCall, PromoteReply};
use wasabipier_wire::row::parse_accepted_document;

use crate::callers::{CallError, CallerEdge, header, refuse, reply};
use crate::input::{NodeInput, Question};
use crate::part::OPERATORS;

/// Time for a promotion to be accepted or refused.
const PROMOTE_WITHIN: Duration = Duration::from_secs(30);

/// Serves an operator's call.
pub fn serve(edge: &CallerEdge, request: Request, action: &str) {
    let given = header(&request, "Authorization").unwrap_or_default();
    if !edge.operator_key.matches(given.trim_start_matches("Bearer ")) {
        info!("{OPERATORS} a call without the right key was refused.");
        return refuse(request, &CallError::NoKey);
    }
    match (request.method(), action) {
        (Method::Get, "status") => edge.look(request, Question::Status),
        (Method::Get, "burn") => edge.look(request, Question::Burn),
        (Method::Get, "document") => edge.look(request, Question::Document),
        (Method::Post, "promote") => promote(edge, request),
        _ => refuse(request, &CallError::NoSuchPath),
    }
}

fn promote(edge: &CallerEdge, mut request: Request) {
    let body = match edge.body(&mut request) {
        Ok(body) => body,
        Err(error) => return refuse(request, &error),
    };
    let call: PromoteCall = match serde_json::from_str(&body) {
        Ok(call) => call,
        Err(error) => return refuse(request, &CallError::NotJson(error.to_string())),
    };
    let nonce = Nonce(fastrand::u64(1..));
    let answer = match parse_accepted_document(call.seen + 1, nonce, &call.author, &call.text) {
        Ok(document) => ask(edge, document),
        Err(faults) => PromoteReply::Invalid { faults },
    };
    info!("{OPERATORS} {} promoted on revision {}: {answer:?}.", call.author, call.seen);
    reply(request, 200, &answer);
}

fn ask(edge: &CallerEdge, document: AcceptedDocument) -> PromoteReply {
    let (sender, receiver) = mpsc::channel();
    if edge.inputs.send(NodeInput::Promote(Arc::new(document), sender)).is_err() {
        return PromoteReply::NotAccepted;
    }
    match receiver.recv_timeout(PROMOTE_WITHIN) {
        Ok(PromoteAnswer::Accepted(revision)) => PromoteReply::Accepted { revision: revision.0 },
        Ok(PromoteAnswer::Conflict { revision, author }) => {
            PromoteReply::Conflict { revision: revision.0, author: author.to_string() }
        }
        Ok(PromoteAnswer::NotAccepted) => PromoteReply::NotAccepted,
        Ok(PromoteAnswer::Unknown) | Err(_) => PromoteReply::Unknown,
    }
}
