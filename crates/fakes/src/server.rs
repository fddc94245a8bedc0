//! The HTTP server under each stand-in.

use std::net::SocketAddr;
use std::sync::Arc;
use std::thread;

use serde::Serialize;
use serde::de::DeserializeOwned;
use tiny_http::{Header, Method, Request, Response, Server};

use crate::faults::{FaultSettings, FaultSwitch};
use crate::link::FaultyLink;

/// What a stand-in does with calls.
pub trait FakeHandler: Send + Sync + 'static {
    /// Handles a call; `/faults` and `/stats` are handled before.
    fn handle(&self, request: Request);

    /// What the stand-in saw, for `/stats`.
    fn stats(&self) -> serde_json::Value;

    /// Its faults.
    fn faults(&self) -> &FaultSwitch;
}

/// A stand-in that runs on threads of this process.
#[derive(Clone, Debug)]
pub struct FakeServer {
    /// The link in front of it.
    pub link: FaultyLink,
    inner: ServerHandle,
}

/// The server behind the link.
#[derive(Clone)]
struct ServerHandle(Arc<Server>);

impl std::fmt::Debug for ServerHandle {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("ServerHandle")
    }
}

impl FakeServer {
    const WORKERS: usize = 32;

    /// Starts a stand-in at `listen` (port 0 for any); `make` gets its link.
    ///
    /// # Errors
    ///
    /// An address cannot be bound.
    pub fn start<H: FakeHandler>(
        listen: SocketAddr,
        make: impl FnOnce(FaultyLink) -> H,
    ) -> std::io::Result<(Self, Arc<H>)> {
        let inner = Server::http("127.0.0.1:0").map_err(std::io::Error::other)?;
        let server = inner.server_addr().to_ip().ok_or_else(|| std::io::Error::other("no IP address"))?;
        let link = FaultyLink::start(listen, server)?;
        let handler = Arc::new(make(link.clone()));
        let inner = Arc::new(inner);
        for _ in 0..Self::WORKERS {
            let (inner, handler) = (inner.clone(), handler.clone());
            thread::spawn(move || {
                while let Ok(request) = inner.recv() {
                    serve(&*handler, request);
                }
            });
        }
        Ok((Self { link, inner: ServerHandle(inner) }, handler))
    }

    /// Ends its threads.
    pub fn stop(&self) {
        self.link.refuse(true);
        self.link.cut();
        for _ in 0..Self::WORKERS {
            self.inner.0.unblock();
        }
    }

    /// Where it listens.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.link.address()
    }
}

fn serve(handler: &dyn FakeHandler, mut request: Request) {
    match (request.method(), request.url()) {
        (Method::Post, "/faults") => match read_json::<FaultSettings>(&mut request) {
            Ok(settings) => {
                handler.faults().set(settings);
                reply(request, 200, &serde_json::json!({}));
            }
            Err(error) => reply(request, 400, &serde_json::json!({ "error": error })),
        },
        (Method::Get, "/stats") => reply(request, 200, &handler.stats()),
        _ => handler.handle(request),
    }
}

/// The body of a call.
///
/// # Errors
///
/// It is not JSON of that type.
pub fn read_json<T: DeserializeOwned>(request: &mut Request) -> Result<T, String> {
    serde_json::from_reader(request.as_reader()).map_err(|error| error.to_string())
}

/// Answers a call with JSON.
pub fn reply(request: Request, status: u16, body: &impl Serialize) {
    let text = serde_json::to_string(body).unwrap_or_default();
    let response = Response::from_string(text).with_status_code(status);
    let header = Header::from_bytes("content-type", "application/json");
    let response = match header {
        Ok(header) => response.with_header(header),
        Err(()) => response,
    };
    let _ = request.respond(response);
}

/// Value of a header, or empty.
#[must_use]
pub fn header(request: &Request, name: &str) -> String {
    let found = request.headers().iter().find(|header| header.field.as_str().as_str().eq_ignore_ascii_case(name));
    found.map(|header| header.value.to_string()).unwrap_or_default()
}
