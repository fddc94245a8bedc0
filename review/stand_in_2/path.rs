//! Paths from one node to the servers, which can be cut for this node alone.

use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use crate::node::free_address;

struct State {
    is_cut: bool,
    is_server_up: bool,
    listener: Option<TcpListener>,
    open: Vec<TcpStream>,
}

/// A proxy before one server. While it is cut or the server is down, it refuses connections. When it is cut, those that were
/// open are ended.
#[derive(Clone)]
pub struct Path {
    pub address: SocketAddr,
    state: Arc<Mutex<State>>,
}

impl Path {
    pub fn start(server: SocketAddr) -> Self {
        let state = State { is_cut: false, is_server_up: true, listener: None, open: Vec::new() };
        let path = Self { address: free_address(), state: Arc::new(Mutex::new(state)) };
        path.adjust();
        let served = path.clone();
        thread::spawn(move || {
            loop {
                let accepted =
                    served.state.lock().expect("no thread panics").listener.as_ref().map(TcpListener::accept);
                match accepted {
                    Some(Ok((stream, _))) => served.pass(stream, server),
                    _ => thread::sleep(Duration::from_millis(1)),
                }
            }
        });
        path
    }

    /// Opens or closes the listener, as the state of path and server demands.
    fn adjust(&self) {
        let mut state = self.state.lock().expect("no thread panics");
        if state.is_cut || !state.is_server_up {
            state.listener = None;
            return;
        }
        while state.listener.is_none() {
            state.listener = TcpListener::bind(self.address).ok();
            match &state.listener {
                Some(listener) => drop(listener.set_nonblocking(true)),
                None => thread::sleep(Duration::from_millis(5)),
            }
        }
    }

    /// Passes the bytes of both sides on. The end of one side ends the other.
    fn pass(&self, stream: TcpStream, server: SocketAddr) {
        let _ = stream.set_nonblocking(false);
        let Ok(to) = TcpStream::connect(server) else { return };
        let (Ok(stream_copy), Ok(to_copy)) = (stream.try_clone(), to.try_clone()) else { return };
        let copies = stream.try_clone().into_iter().chain(to.try_clone());
        self.state.lock().expect("no thread panics").open.extend(copies);
        for (mut from, mut into) in [(stream, to), (to_copy, stream_copy)] {
            let _ = from.set_nodelay(true);
            thread::spawn(move || {
                let _ = std::io::copy(&mut from, &mut into);
                let _ = into.shutdown(Shutdown::Both);
                let _ = from.shutdown(Shutdown::Both);
            });
        }
    }

    pub fn set_server_up(&self, is_up: bool) {
        self.state.lock().expect("no thread panics").is_server_up = is_up;
        self.adjust();
    }

    pub fn set_cut(&self, is_cut: bool) {
        self.state.lock().expect("no thread panics").is_cut = is_cut;
        self.adjust();
        if is_cut {
            for stream in self.state.lock().expect("no thread panics").open.drain(..) {
                let _ = stream.shutdown(Shutdown::Both);
            }
        }
    }
}
