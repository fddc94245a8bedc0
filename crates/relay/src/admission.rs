//! Admits requests: reads the body within its limits, checks access, and refuses requests under overload.

use std::time::Duration;

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::{Body, Incoming};
use spdlog::info;
use tokio::time::timeout;
use wasabipier_core::clock::Moment;
use wasabipier_core::names::{Fingerprint, ServiceName, stable_hash};
use wasabipier_core::relay::access::{AccessClaim, AccessDenial, AccessGrant, RequestSize};
use wasabipier_core::relay::board::{ContentVerdict, RelayBoard};
use wasabipier_core::relay::departure::DepartureVerdict;
use wasabipier_core::relay::document::RelayRoute;
use wasabipier_core::relay::overload::{LoadRefusal, RequestPlan, refuse_for_load};
use wasabipier_core::relay::suspects::{HarmfulContent, SuspectKey, suspect_keys};

use crate::blame;
use crate::buffer_memory::{BodyBuffer, BufferOverflow};
use crate::clock;
use crate::log_prefixes::REQUEST;
use crate::metering;
use crate::ports::{RefusalKind, RequestHead};
use crate::state::SharedNode;

/// The refusal of a request, by admission or after failed attempts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Rejection {
    /// Kind of refusal that is reported to the caller.
    pub kind: RefusalKind,
    /// Reason for the log.
    pub reason: &'static str,
    /// Delay after which the caller should retry, if a retry can help.
    pub retry_after: Option<Duration>,
}

impl Rejection {
    /// Creates a rejection of a request that has not run and can be retried after `retry_after`.
    #[must_use]
    pub fn not_run(reason: &'static str, retry_after: Duration) -> Self {
        Self { kind: RefusalKind::NotRun, reason, retry_after: Some(retry_after) }
    }

    /// Creates a rejection of a request that has not run and whose content crashes targets, so that a retry is useless.
    #[must_use]
    pub fn harmful() -> Self {
        Self::new(RefusalKind::NotRun, "content crashes targets")
    }

    fn new(kind: RefusalKind, reason: &'static str) -> Self {
        Self { kind, reason, retry_after: None }
    }
}

/// A request that passed admission.
#[derive(Debug)]
pub struct AdmittedRequest {
    /// Route, organisation and priority rank of the request.
    pub grant: AccessGrant,
    /// Service of the final call.
    pub service: ServiceName,
    /// The complete body.
    pub body: Bytes,
    /// Content that is suspected if a target crashes: the shared parts of the prompt, and the hash of host, URI,
    /// organisation and body, by which requests with the same content are recognised whatever their ids.
    pub keys: Vec<SuspectKey>,
    /// Harmful content that runs once, as a trial.
    pub trial: Option<HarmfulContent>,
    /// Time at which the request arrived.
    pub started: Moment,
    /// Time by which the request must be answered.
    pub deadline: Moment,
}

/// Delay after which a caller may retry at a node without a document, the configuration that operators promote, or
/// without targets. Both arrive from the store
/// within a second, and another node may have them already.
const RETRY_AFTER: Duration = Duration::from_millis(300);

/// Reads the body of a request, and admits the request if access, targets and load allow.
///
/// # Errors
///
/// Returns the rejection of the request, which has not run.
pub async fn admit(
    node: &SharedNode,
    head: &RequestHead,
    parts: &http::request::Parts,
    body: Incoming,
) -> Result<AdmittedRequest, Rejection> {
    let started = clock::now();
    let size = RequestSize { head: head_bytes(parts), body: 0 };
    check_size(node, size, started)?;
    let body = read_body(node, head, body).await?;
    let claim = AccessClaim { host: &head.host, path: parts.uri.path(), key: head.key.as_deref() };
    let mut board = node.board.borrow_mut();
    let access = board.check_access(claim, clock::now());
    let grant = access.map_err(|denial| rejection_from_denial(denial, &board))?;
    let service = board.draw_service(&grant.route).ok_or(Rejection::not_run("route without service", RETRY_AFTER))?;
    let time_left = head.time_left.map_or(grant.route.timeout, |left| left.min(grant.route.timeout));
    check_departure(node, &board, &head.request, &grant.route, started + time_left)?;
    let org = grant.org.as_ref().map_or("", |org| org.as_str());
    let content =
        Fingerprint(stable_hash(&[head.host.as_bytes(), parts.uri.to_string().as_bytes(), org.as_bytes(), &body]));
    let keys = suspect_keys(content, head.prompt.as_ref());
    let verdict = board.admit_content(&keys, clock::now());
    let trial = match verdict {
        ContentVerdict::Allowed => None,
        ContentVerdict::Trial(content) => Some(content),
        ContentVerdict::Harmful(content) => {
            drop(board);
            blame::log_refused(node, &head.request, &content);
            return Err(Rejection::harmful());
        }
    };
    let stages = grant.route.stages.iter().map(|stage| &stage.service);
    let mut needed = stages.zip(&head.pieces).filter(|(_, pieces)| **pieces > 0).map(|(service, _)| service);
    if !board.has_target(&service) || !needed.all(|service| board.has_target(service)) {
        return Err(Rejection::not_run("no target takes work", RETRY_AFTER));
    }
    let decline_time = board.decline_time(&service, clock::now());
    if !decline_time.is_zero() {
        return Err(Rejection::not_run("targets want no calls", decline_time));
    }
    let final_call = board.tuning.weights.expected_first_event_time(head.prompt.as_ref());
    let plan = RequestPlan {
        route: &grant.route,
        pieces: &head.pieces,
        rank: grant.rank,
        final_call_duration: final_call,
        time_left,
    };
    let overload = board.tuning.overload;
    if let Some(refusal) = refuse_for_load(&mut board, &plan, &overload, started) {
        return Err(reject_for_load(node, &head.request, &plan, &refusal, started));
    }
    let bounds = board.tuning.retry_limits;
    board.retry_ledger.record_request(&service, &bounds, started);
    Ok(AdmittedRequest { service, body, keys, trial, started, deadline: started + time_left, grant })
}

/// Counts and logs a refusal for load, and returns the rejection.
fn reject_for_load(
    node: &SharedNode,
    id: &str,
    plan: &RequestPlan<'_>,
    refusal: &LoadRefusal,
    now: Moment,
) -> Rejection {
    let (route, rank, is_logged) = (&*plan.route.name, plan.rank, node.log_limiter.allows(now));
    let (on_time_ms, late_ms) = (refusal.times.on_time.as_millis() as u64, refusal.times.late.as_millis() as u64);
    let objective_ms = plan.route.objective.as_millis() as u64;
    let retry_ms = refusal.retry_after.as_millis() as u64;
    let Some(urgent) = &refusal.urgent else {
        if is_logged {
            info!("{REQUEST} refused for load.", kv: { id, route, rank, on_time_ms, late_ms, objective_ms });
        }
        return Rejection::not_run("stages are busy", refusal.retry_after);
    };
    metering::record_rank_refusal(route);
    if is_logged {
        let (urgent_rank, urgent_requests) = (urgent.rank, urgent.requests);
        let (refused_ratio, basis): (_, &str) = (urgent.refused_ratio, urgent.basis.into());
        let urgent_on_time_ms = urgent.times.on_time.as_millis() as u64;
        let urgent_objective_ms = urgent.objective.as_millis() as u64;
        info!("{REQUEST} refused because more urgent ones are.", kv: { id, route, rank, on_time_ms, urgent_rank, urgent_requests, refused_ratio, basis, urgent_on_time_ms, urgent_objective_ms, retry_ms });
    }
    Rejection::not_run("more urgent requests are refused", refusal.retry_after)
}

/// Rejects a request that may take longer than the process of a leaving node lasts.
fn check_departure(
    node: &SharedNode,
    board: &RelayBoard,
    id: &str,
    route: &RelayRoute,
    deadline: Moment,
) -> Result<(), Rejection> {
    let now = clock::now();
    let Some(verdict) = board.departure.check(route, deadline, now) else { return Ok(()) };
    if node.log_limiter.allows(now) {
        log_departure_verdict(id, &route.name, &verdict, deadline, now);
    }
    if verdict.is_accepted {
        return Ok(());
    }
    metering::record_departure_refusal(&route.name);
    Err(Rejection::not_run("node leaves", board.departure.retry_after()))
}

/// Logs what a leaving node decided about the request `id`.
pub fn log_departure_verdict(id: &str, route: &str, verdict: &DepartureVerdict, deadline: Moment, now: Moment) {
    let (basis, deadline_ms): (&str, _) = (verdict.basis.into(), now.until(deadline).as_millis() as u64);
    let (expected_ms, left_ms) = (verdict.expected.as_millis() as u64, verdict.time_left.as_millis() as u64);
    if verdict.is_accepted {
        info!("{REQUEST} accepted while the node leaves.", kv: { id, route, basis, expected_ms, left_ms, deadline_ms });
    } else {
        info!("{REQUEST} refused because the node leaves.", kv: { id, route, basis, expected_ms, left_ms, deadline_ms });
    }
}

fn check_size(node: &SharedNode, size: RequestSize, now: Moment) -> Result<(), Rejection> {
    let board = node.board.borrow();
    board.check_size(size, now).map_err(|denial| rejection_from_denial(denial, &board))
}

fn rejection_from_denial(denial: AccessDenial, board: &RelayBoard) -> Rejection {
    match denial {
        AccessDenial::NoDocument => Rejection::not_run("no document yet", RETRY_AFTER),
        AccessDenial::StaleDocument => {
            let restoration_wait = board.restoration_wait(clock::now()).unwrap_or_default();
            Rejection::not_run("document may be old", restoration_wait.max(RETRY_AFTER))
        }
        AccessDenial::NoRoute => Rejection::new(RefusalKind::NoRoute, "no route"),
        AccessDenial::UnknownKey => Rejection::new(RefusalKind::UnknownKey, "unknown key"),
        AccessDenial::HeadTooLarge => Rejection::new(RefusalKind::HeadTooLarge, "head too large"),
        AccessDenial::BodyTooLarge => Rejection::new(RefusalKind::TooLarge, "body too large"),
    }
}

/// Returns the size of a head in bytes, without optional spaces.
fn head_bytes(parts: &http::request::Parts) -> usize {
    const VERSION: &str = " HTTP/1.1\r\n";
    let uri = &parts.uri;
    let uri_bytes = uri.path_and_query().map_or(0, |path| path.as_str().len())
        + uri.authority().map_or(0, |authority| authority.as_str().len())
        + uri.scheme_str().map_or(0, |scheme| scheme.len() + "://".len());
    let fields = parts.headers.iter().map(|(name, value)| name.as_str().len() + value.len() + ":\r\n".len());
    parts.method.as_str().len() + " ".len() + uri_bytes + VERSION.len() + fields.sum::<usize>() + "\r\n".len()
}

async fn read_body(node: &SharedNode, head: &RequestHead, body: Incoming) -> Result<Bytes, Rejection> {
    if body.is_end_stream() {
        return Ok(Bytes::new());
    }
    let (limits, now) = (node.board.borrow().index.caller_limits, clock::now());
    let least = RequestSize { body: usize::try_from(body.size_hint().lower()).unwrap_or(usize::MAX), head: 0 };
    check_size(node, least, now)?;
    let body_timeout = head.time_left.unwrap_or(limits.idle_timeout);
    let buffer = BodyBuffer::new(&node.request_memory, limits.max_body_bytes);
    let read = timeout(body_timeout, collect_body(node, body, buffer));
    read.await.unwrap_or(Err(Rejection::new(RefusalKind::TooSlow, "body too slow")))
}

async fn collect_body(node: &SharedNode, mut body: Incoming, mut buffer: BodyBuffer) -> Result<Bytes, Rejection> {
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|_| Rejection::new(RefusalKind::Malformed, "body broke off"))?;
        if let Ok(data) = frame.into_data() {
            buffer.push(&data).map_err(|overflow| match overflow {
                BufferOverflow::Body => reject_body(node, buffer.byte_count() + data.len()),
                BufferOverflow::Total => Rejection::not_run("bodies of requests fill the memory", RETRY_AFTER),
            })?;
        }
    }
    Ok(buffer.into_bytes())
}

/// Returns the rejection of a request whose body has exceeded its maximum with its first `body_bytes` bytes.
fn reject_body(node: &SharedNode, body_bytes: usize) -> Rejection {
    let size = RequestSize { body: body_bytes, head: 0 };
    // The limit has been raised while the body arrived.
    let raised = Rejection::not_run("limit on bodies has changed", RETRY_AFTER);
    check_size(node, size, clock::now()).err().unwrap_or(raised)
}
