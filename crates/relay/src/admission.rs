//! Takes a request in: reads its body within bounds and looks up where it may go.

use std::time::Duration;

use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt;
use hyper::body::{Body, Incoming};
use spdlog::info;
use tokio::time::timeout;
use wasabipier_core::clock::Moment;
use wasabipier_core::names::{Fingerprint, ServiceName, stable_hash};
use wasabipier_core::relay::access::{AccessClaim, AccessDenial, AccessGrant};
use wasabipier_core::relay::overload::{RequestPlan, estimate_times, refuse_for_load};

use crate::clock;
use crate::part::REQUEST;
use crate::ports::{AskHead, RefusalKind};
use crate::state::SharedNode;

/// A request that is turned away before it is tried.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Rejection {
    /// What the caller is told.
    pub kind: RefusalKind,
    /// What decided, for the log.
    pub reason: &'static str,
    /// When the caller should come again.
    pub retry_after: Option<Duration>,
}

impl Rejection {
    /// A rejection after which coming again soon may help.
    #[must_use]
    pub fn not_run(reason: &'static str, retry_after: Duration) -> Self {
        Self { kind: RefusalKind::NotRun, reason, retry_after: Some(retry_after) }
    }

    fn of(kind: RefusalKind, reason: &'static str) -> Self {
        Self { kind, reason, retry_after: None }
    }
}

/// A request that was taken in.
#[derive(Debug)]
pub struct AdmittedRequest {
    /// Route, organisation and urgency.
    pub grant: AccessGrant,
    /// Service of its final call.
    pub service: ServiceName,
    /// Its body.
    pub body: Bytes,
    /// Its content, the same under any id.
    pub content: Fingerprint,
    /// When it arrived.
    pub started: Moment,
    /// When it must be answered.
    pub deadline: Moment,
}

/// Pause before a caller comes again to a node that knows no document or no target: the store brings both
/// within a second, and another node may have them already.
const COME_AGAIN: Duration = Duration::from_millis(300);

/// Takes a request in.
///
/// # Errors
///
/// Why it is turned away; it has not run.
pub async fn admit(
    node: &SharedNode,
    head: &AskHead,
    parts: &http::request::Parts,
    body: Incoming,
) -> Result<AdmittedRequest, Rejection> {
    let started = clock::now();
    let body = read_body(node, head, body).await?;
    let claim = AccessClaim { host: &head.host, path: parts.uri.path(), key: head.key.as_deref() };
    let mut board = node.board.borrow_mut();
    let grant = board.check_access(claim, clock::now()).map_err(deny)?;
    let service = board.draw_service(&grant.route).ok_or(Rejection::not_run("route without service", COME_AGAIN))?;
    let org = grant.org.as_ref().map_or("", |org| org.as_str());
    let content =
        Fingerprint(stable_hash(&[head.host.as_bytes(), parts.uri.to_string().as_bytes(), org.as_bytes(), &body]));
    if board.is_harmful(content) {
        return Err(Rejection { kind: RefusalKind::NotRun, reason: "content brought targets down", retry_after: None });
    }
    let stages = grant.route.stages.iter().map(|stage| &stage.service);
    let mut needed = stages.zip(&head.pieces).filter(|(_, pieces)| **pieces > 0).map(|(service, _)| service);
    if !board.has_target(&service) || !needed.all(|service| board.has_target(service)) {
        return Err(Rejection::not_run("no target takes work", COME_AGAIN));
    }
    let time_left = head.time_left.map_or(grant.route.timeout, |left| left.min(grant.route.timeout));
    let final_call = board.tuning.weights.expected_first_event_time(head.prompt.as_ref());
    let plan = RequestPlan { route: &grant.route, pieces: &head.pieces, rank: grant.rank, final_call, time_left };
    let overload = board.tuning.overload;
    if let Some(pause) = refuse_for_load(&mut board, &plan, &overload, started) {
        if node.pace.admits(started) {
            let times = estimate_times(&board, &plan, started);
            let (id, route, rank) = (&*head.request, &*grant.route.name, grant.rank);
            let (on_time_ms, late_ms) = (times.on_time.as_millis() as u64, times.late.as_millis() as u64);
            let objective_ms = grant.route.objective.as_millis() as u64;
            info!("{REQUEST} refused for load.", kv: { id, route, rank, on_time_ms, late_ms, objective_ms });
        }
        return Err(Rejection::not_run("stages are busy", pause));
    }
    let bounds = board.tuning.retry_limits;
    board.retry_ledger.record_request(&service, &bounds, started);
    Ok(AdmittedRequest { service, body, content, started, deadline: started + time_left, grant })
}

fn deny(denial: AccessDenial) -> Rejection {
    match denial {
        AccessDenial::NoDocument => Rejection::not_run("no document yet", COME_AGAIN),
        AccessDenial::StaleDocument => Rejection::not_run("document may be old", COME_AGAIN),
        AccessDenial::NoRoute => Rejection::of(RefusalKind::NoRoute, "no route"),
        AccessDenial::UnknownKey => Rejection::of(RefusalKind::UnknownKey, "unknown key"),
    }
}

async fn read_body(node: &SharedNode, head: &AskHead, body: Incoming) -> Result<Bytes, Rejection> {
    if body.is_end_stream() {
        return Ok(Bytes::new());
    }
    let limits = node.board.borrow().index.limits;
    if body.size_hint().lower() > limits.body_bytes as u64 {
        return Err(Rejection::of(RefusalKind::TooLarge, "body too large"));
    }
    let within = head.time_left.unwrap_or(limits.idle_timeout);
    let read = timeout(within, collect(body, limits.body_bytes));
    read.await.unwrap_or(Err(Rejection::of(RefusalKind::TooSlow, "body too slow")))
}

async fn collect(mut body: Incoming, most_bytes: usize) -> Result<Bytes, Rejection> {
    let mut bytes = BytesMut::new();
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|_| Rejection::of(RefusalKind::Malformed, "body broke off"))?;
        if let Ok(data) = frame.into_data() {
            bytes.extend_from_slice(&data);
        }
        if bytes.len() > most_bytes {
            return Err(Rejection::of(RefusalKind::TooLarge, "body too large"));
        }
    }
    Ok(bytes.freeze())
}
