//! Listeners for callers, for the platform's checks, and for those who ask where to connect.

use std::convert::Infallible;

use bytes::Bytes;
use http::header::{CONNECTION, HeaderValue};
use http::{Request, Response, StatusCode};
use hyper::body::Incoming;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use spdlog::{debug, warn};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::spawn_local;
use tokio::time::sleep;
use wasabipier_core::message::NodeState;

use crate::body::AnswerBody;
use crate::clock;
use crate::head_timer::{GuardedBody, HeadSignal, TimedStream};
use crate::part::CALLERS;
use crate::ports::{CallerCall, ListenKind, RefusalKind, RefusalNotice};
use crate::request;
use crate::sockets;
use crate::state::SharedNode;

/// Pause after a connection could not be accepted.
const ACCEPT_AGAIN: std::time::Duration = std::time::Duration::from_millis(50);
/// Smallest buffer that the library takes.
const LEAST_BUFFER_BYTES: usize = 8 * 1024;

/// Serves a listener until the node ends.
pub async fn listen(node: SharedNode, kind: ListenKind, listener: TcpListener) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                spawn_local(serve(node.clone(), kind, stream));
            }
            Err(error) => {
                warn!("{CALLERS} cannot accept: {error}; check the VM's limit on open files.");
                sleep(ACCEPT_AGAIN).await;
            }
        }
    }
}

async fn serve(node: SharedNode, kind: ListenKind, stream: TcpStream) {
    if let Err(error) = sockets::watch(&stream) {
        debug!("{CALLERS} a connection was gone before it was served: {error}.");
        return;
    }
    let limits = node.board.borrow().index.limits;
    let signal = HeadSignal::default();
    let timed = TimedStream::new(stream, signal.clone(), limits.header_timeout);
    let service = service_fn(move |request| {
        let (node, guard) = (node.clone(), signal.head_read());
        async move {
            let response = answer(node, kind, request).await;
            Ok::<_, Infallible>(response.map(|body| GuardedBody { body, _guard: guard }))
        }
    });
    let mut builder = hyper::server::conn::http1::Builder::new();
    builder
        .timer(TokioTimer::new())
        .header_read_timeout(limits.idle_timeout)
        .max_buf_size(limits.header_bytes.max(LEAST_BUFFER_BYTES))
        .pipeline_flush(true);
    if let Err(error) = builder.serve_connection(TokioIo::new(timed), service).await {
        debug!("{CALLERS} a connection ended: {error}.");
    }
}

async fn answer(node: SharedNode, kind: ListenKind, request: Request<Incoming>) -> Response<AnswerBody> {
    let (parts, body) = request.into_parts();
    let mut response = match node.port.read_call(kind, &parts) {
        CallerCall::Ask(head) => request::serve(node.clone(), *head, parts, body).await,
        CallerCall::Ready => status(if is_ready(&node) { StatusCode::OK } else { StatusCode::SERVICE_UNAVAILABLE }),
        CallerCall::Addresses => addresses(&node),
        CallerCall::Metrics => Response::new(AnswerBody::whole(Bytes::from(node.metrics.render()))),
        CallerCall::Unknown => status(StatusCode::NOT_FOUND),
        CallerCall::Malformed(reason) => {
            debug!("{CALLERS} refused a malformed request: {reason}.");
            let notice = RefusalNotice { kind: RefusalKind::Malformed, retry_after: None };
            node.port.refusal(notice).map(AnswerBody::whole)
        }
    };
    if node.is_leaving() {
        response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
    }
    response
}

fn status(status: StatusCode) -> Response<AnswerBody> {
    let mut response = Response::new(AnswerBody::Whole(None));
    *response.status_mut() = status;
    response
}

fn is_ready(node: &SharedNode) -> bool {
    node.board.borrow().state == NodeState::Serving
}

fn addresses(node: &SharedNode) -> Response<AnswerBody> {
    let addresses = node.board.borrow().addresses(clock::now());
    if addresses.is_empty() {
        return status(StatusCode::SERVICE_UNAVAILABLE);
    }
    node.port.addresses(&addresses, node.times.addresses_kept).map(AnswerBody::whole)
}
