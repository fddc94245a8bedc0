//! Listeners for callers' requests, readiness checks, address queries and metrics.

use std::convert::Infallible;
use std::net::IpAddr;

use bytes::Bytes;
use http::header::{CONNECTION, HeaderValue};
use http::{Request, Response, StatusCode, Version};
use hyper::body::Incoming;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use spdlog::{debug, warn};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::spawn_local;
use tokio::time::sleep;
use wasabipier_core::message::NodeState;
use wasabipier_core::names::DcName;
use wasabipier_core::relay::caller_addresses::AddressQuery;
use wasabipier_core::relay::document::MAX_REQUEST_HEAD_BYTES;

use crate::body::AnswerBody;
use crate::buffer_memory::HeadMemory;
use crate::caller_stream::{CallerStream, UnframedMark};
use crate::clock;
use crate::head_timer::{GuardedBody, HeadSignal, ReadTimeouts, TimedStream};
use crate::log_prefixes::CALLERS;
use crate::ports::{ListenKind, ListenerRequest, RefusalKind, RefusalNotice};
use crate::request;
use crate::sockets;
use crate::state::SharedNode;

/// Delay after a failed accept, for instance without free file descriptors, before the next one.
const ACCEPT_RETRY_INTERVAL: std::time::Duration = std::time::Duration::from_millis(50);
/// Maximum number of header fields of a request. A head of 64 KB holds as many fields of 16 bytes.
const MAX_HEAD_FIELDS: usize = 4 * 1024;

/// Serves the connections of a listener until the node ends.
pub async fn serve_listener(node: SharedNode, kind: ListenKind, listener: TcpListener) {
    loop {
        match listener.accept().await {
            Ok((stream, caller)) => {
                spawn_local(serve_connection(node.clone(), kind, stream, caller.ip()));
            }
            Err(error) => {
                warn!("{CALLERS} connection could not be accepted: {error}; check the VM's limit on open files.");
                sleep(ACCEPT_RETRY_INTERVAL).await;
            }
        }
    }
}

async fn serve_connection(node: SharedNode, kind: ListenKind, stream: TcpStream, caller: IpAddr) {
    // A caller may pause its reading.
    let prepared = sockets::detect_silent_peer(&stream).and_then(|()| sockets::allow_paused_reader(&stream));
    if let Err(error) = prepared {
        debug!("{CALLERS} connection closed before it was served: {error}.");
        return;
    }
    let signal = HeadSignal::default();
    let pending_write = node.unwritten_answers.begin_connection();
    let timed_node = node.clone();
    let current_timeouts = move || {
        let limits = timed_node.board.borrow().index.caller_limits;
        ReadTimeouts { head: limits.header_timeout, idle: limits.idle_timeout }
    };
    let unframed = UnframedMark::default();
    let stream = CallerStream::new(stream, unframed.clone());
    let head = HeadMemory::new(&node.request_memory);
    let timed = TimedStream::new(stream, signal.clone(), head, pending_write, Box::new(current_timeouts));
    let service = service_fn(move |request: Request<Incoming>| {
        let (node, guard, unframed) = (node.clone(), signal.record_head_read(), unframed.clone());
        let knows_chunks = request.version() >= Version::HTTP_11;
        async move {
            let response = answer_request(node, kind, caller, request).await;
            unframed.set(!knows_chunks && matches!(response.body(), AnswerBody::Stream(_)));
            Ok::<_, Infallible>(response.map(|body| GuardedBody { body, guard }))
        }
    });
    let mut builder = hyper::server::conn::http1::Builder::new();
    // `TimedStream` has the timeouts. The limit on heads in force is checked by admission: a connection outlasts documents.
    builder
        .timer(TokioTimer::new())
        .header_read_timeout(None)
        .max_buf_size(MAX_REQUEST_HEAD_BYTES)
        .max_headers(MAX_HEAD_FIELDS);
    if let Err(error) = builder.serve_connection(TokioIo::new(timed), service).await {
        debug!("{CALLERS} connection failed: {error}.");
    }
}

async fn answer_request(
    node: SharedNode,
    kind: ListenKind,
    caller: IpAddr,
    request: Request<Incoming>,
) -> Response<AnswerBody> {
    let (parts, body) = request.into_parts();
    let mut response = match node.platform.read_request(kind, &parts) {
        ListenerRequest::Relay(head) => request::serve(node.clone(), *head, parts, body).await,
        ListenerRequest::Ready => {
            status_response(if is_ready(&node) { StatusCode::OK } else { StatusCode::SERVICE_UNAVAILABLE })
        }
        ListenerRequest::Addresses(dc) => addresses_response(&node, caller, dc),
        ListenerRequest::Metrics => Response::new(AnswerBody::whole(Bytes::from(node.metrics.render()))),
        ListenerRequest::Unknown => status_response(StatusCode::NOT_FOUND),
        ListenerRequest::Malformed(reason) => {
            debug!("{CALLERS} malformed request refused: {reason}.");
            let notice = RefusalNotice { kind: RefusalKind::Malformed, retry_after: None };
            node.platform.refusal_response(notice).map(AnswerBody::whole)
        }
    };
    if node.is_leaving() {
        response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
    }
    response
}

fn status_response(status: StatusCode) -> Response<AnswerBody> {
    let mut response = Response::new(AnswerBody::Whole(None));
    *response.status_mut() = status;
    response
}

fn is_ready(node: &SharedNode) -> bool {
    node.board.borrow().state == NodeState::Serving
}

fn addresses_response(node: &SharedNode, caller: IpAddr, dc: Option<DcName>) -> Response<AnswerBody> {
    let query = AddressQuery { host: caller, dc, max_count: node.platform.max_addresses() };
    let addresses = node.board.borrow().addresses_for(&query, clock::now());
    if addresses.is_empty() {
        return status_response(StatusCode::SERVICE_UNAVAILABLE);
    }
    node.platform.addresses_response(&addresses, node.times.address_cache_time).map(AnswerBody::whole)
}
