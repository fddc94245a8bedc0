//! HTTP server that each stand-in runs on.

use std::net::SocketAddr;
use std::sync::Arc;
use std::thread;

use serde::Serialize;
use serde::de::DeserializeOwned;
use tiny_http::{Header, Method, Request, Response, Server};

use crate::faults::{FaultSettings, FaultSwitch};
use crate::link::FaultyLink;

/// Behaviour of one kind of stand-in.
pub trait FakeHandler: Send + Sync + 'static {
    /// Answers a call to any path but `POST /faults` and `GET /stats`, which the server answers itself.
    fn handle(&self, request: Request);

    /// Returns the counters of the stand-in, for `/stats`.
    fn stats(&self) -> serde_json::Value;

    /// Returns the injected faults of the stand-in.
    fn faults(&self) -> &FaultSwitch;
}

/// HTTP server and link of a stand-in that runs on threads of this process.
#[derive(Clone, Debug)]
pub struct FakeServer {
    /// Link through which clients reach the server.
    pub link: FaultyLink,
    server: ServerHandle,
}

/// HTTP server behind the link, with a `Debug` implementation, which `Server` lacks.
#[derive(Clone)]
struct ServerHandle(Arc<Server>);

impl std::fmt::Debug for ServerHandle {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("ServerHandle")
    }
}

impl FakeServer {
    /// Number of threads that handle calls, which is the most calls handled at once.
    const WORKER_THREADS: usize = 32;

    /// Starts a stand-in that listens at `listen` (port 0 for any free port), with the handler that `create_handler`
    /// builds from the link.
    ///
    /// # Errors
    ///
    /// Fails if `listen` or a loopback address for the server behind the link cannot be bound.
    pub fn start<H: FakeHandler>(
        listen: SocketAddr,
        create_handler: impl FnOnce(FaultyLink) -> H,
    ) -> std::io::Result<(Self, Arc<H>)> {
        let server = Server::http("127.0.0.1:0").map_err(std::io::Error::other)?;
        let server_address =
            server.server_addr().to_ip().ok_or_else(|| std::io::Error::other("the server listens at no IP address"))?;
        let link = FaultyLink::start(listen, server_address)?;
        let handler = Arc::new(create_handler(link.clone()));
        let server = Arc::new(server);
        for _ in 0..Self::WORKER_THREADS {
            let (server, handler) = (server.clone(), handler.clone());
            thread::spawn(move || {
                while let Ok(request) = server.recv() {
                    dispatch(&*handler, request);
                }
            });
        }
        Ok((Self { link, server: ServerHandle(server) }, handler))
    }

    /// Breaks all connections, refuses new ones and ends the worker threads.
    pub fn stop(&self) {
        self.link.set_refusing(true);
        self.link.cut();
        for _ in 0..Self::WORKER_THREADS {
            self.server.0.unblock();
        }
    }

    /// Returns the address at which clients reach the stand-in.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.link.address()
    }
}

/// Answers `POST /faults` and `GET /stats`, and passes all other calls to the handler.
fn dispatch(handler: &dyn FakeHandler, mut request: Request) {
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

/// Parses the body of a call as JSON.
///
/// # Errors
///
/// Returns the parser's message if the body is not JSON of type `T`.
pub fn read_json<T: DeserializeOwned>(request: &mut Request) -> Result<T, String> {
    serde_json::from_reader(request.as_reader()).map_err(|error| error.to_string())
}

/// Answers a call with a status and a JSON body. An error of the connection is ignored, since the client is gone then.
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

/// Returns the value of a call's header, or an empty text if the header is missing.
#[must_use]
pub fn header_value(request: &Request, name: &str) -> String {
    let found = request.headers().iter().find(|header| header.field.as_str().as_str().eq_ignore_ascii_case(name));
    found.map(|header| header.value.to_string()).unwrap_or_default()
}
