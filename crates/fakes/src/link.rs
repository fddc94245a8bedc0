//! TCP proxy in front of a server, which can cut, freeze or refuse connections.

use std::collections::BTreeMap;
use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread;
use std::time::Duration;

/// State shared by the threads of a link.
#[derive(Debug, Default)]
struct LinkState {
    /// Connections with a number below this one are frozen.
    frozen_before: AtomicU64,
    /// Number of connections opened so far, which is the number of the next connection.
    opened_count: AtomicU64,
    /// Number of connections that are open now.
    open_count: AtomicU64,
    /// Whether new connections are refused.
    is_refusing: AtomicBool,
    /// Sockets to the client and the server of each open connection, by the connection's number.
    streams: Mutex<BTreeMap<u64, [TcpStream; 2]>>,
}

/// TCP proxy in front of a server.
#[derive(Clone, Debug)]
pub struct FaultyLink {
    address: SocketAddr,
    server: SocketAddr,
    state: Arc<LinkState>,
}

impl FaultyLink {
    const BUFFER_BYTES: usize = 16 * 1024;

    /// Listens at `listen` (port 0 for any free port) and forwards connections to `server`.
    ///
    /// # Errors
    ///
    /// Fails if `listen` cannot be bound.
    pub fn start(listen: SocketAddr, server: SocketAddr) -> std::io::Result<Self> {
        let listener = TcpListener::bind(listen)?;
        let link = Self { address: listener.local_addr()?, server, state: Arc::default() };
        link.serve(listener);
        Ok(link)
    }

    /// Starts the thread that accepts connections until they are refused.
    fn serve(&self, listener: TcpListener) {
        let link = self.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                if link.state.is_refusing.load(Ordering::SeqCst) {
                    // Without a listener the kernel refuses connections, as for a process that has died.
                    return;
                }
                accept(&link.state, stream, link.server);
            }
        });
    }

    /// Returns the address at which the link listens.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns the number of connections that still forward bytes from the client to the server.
    #[must_use]
    pub fn open_connections(&self) -> u64 {
        self.state.open_count.load(Ordering::SeqCst)
    }

    /// Shuts all open connections down at both ends.
    pub fn cut(&self) {
        let mut streams = self.state.streams.lock().unwrap_or_else(PoisonError::into_inner);
        for stream in std::mem::take(&mut *streams).into_values().flatten() {
            let _ = stream.shutdown(Shutdown::Both);
        }
    }

    /// Drops all further bytes of the connections that are open now, which stay open and never recover. New connections
    /// work.
    pub fn freeze(&self) {
        let opened = self.state.opened_count.load(Ordering::SeqCst);
        self.state.frozen_before.store(opened, Ordering::SeqCst);
    }

    /// Sets whether new connections are refused.
    ///
    /// # Panics
    ///
    /// Panics if another socket has been bound to the address while connections were refused.
    pub fn set_refusing(&self, refusing: bool) {
        let was_refusing = self.state.is_refusing.swap(refusing, Ordering::SeqCst);
        match (was_refusing, refusing) {
            // The listener's thread checks the flag only after a connection: this one makes it check.
            (false, true) => drop(TcpStream::connect(self.address)),
            (true, false) => self.serve(TcpListener::bind(self.address).expect("the address should still be free")),
            _ => {}
        }
    }

    /// Cuts all connections and refuses new ones for `outage`, like a process that restarts.
    pub fn crash(&self, outage: Duration) {
        self.set_refusing(true);
        self.cut();
        let link = self.clone();
        thread::spawn(move || {
            thread::sleep(outage);
            link.set_refusing(false);
        });
    }
}

/// Opens a connection to `server` for a client and forwards both directions, on a thread each.
fn accept(state: &Arc<LinkState>, client: TcpStream, server: SocketAddr) {
    let Ok(upstream) = TcpStream::connect(server) else { return };
    let number = state.opened_count.fetch_add(1, Ordering::SeqCst);
    state.open_count.fetch_add(1, Ordering::SeqCst);
    let _ = client.set_nodelay(true);
    let _ = upstream.set_nodelay(true);
    let clones = [client.try_clone(), client.try_clone(), upstream.try_clone(), upstream.try_clone()];
    let [Ok(client_handle), Ok(client_writer), Ok(upstream_handle), Ok(upstream_writer)] = clones else { return };
    state.streams.lock().unwrap_or_else(PoisonError::into_inner).insert(number, [client_handle, upstream_handle]);
    let (request_state, reply_state) = (state.clone(), state.clone());
    thread::spawn(move || {
        forward(&request_state, number, client, upstream_writer);
        request_state.streams.lock().unwrap_or_else(PoisonError::into_inner).remove(&number);
        request_state.open_count.fetch_sub(1, Ordering::SeqCst);
    });
    thread::spawn(move || forward(&reply_state, number, upstream, client_writer));
}

/// Copies bytes of connection `number` from `source` to `destination` until one of them is closed.
fn forward(state: &LinkState, number: u64, mut source: TcpStream, mut destination: TcpStream) {
    let mut buffer = vec![0; FaultyLink::BUFFER_BYTES];
    loop {
        let count = match source.read(&mut buffer) {
            Ok(0) | Err(_) => break,
            Ok(count) => count,
        };
        if number < state.frozen_before.load(Ordering::SeqCst) {
            // Bytes of a frozen connection are dropped, and neither end receives an error.
            continue;
        }
        if destination.write_all(&buffer[..count]).is_err() {
            // One end has closed the connection: the other end must learn of this instead of writing on.
            let _ = source.shutdown(Shutdown::Both);
            break;
        }
    }
    if number >= state.frozen_before.load(Ordering::SeqCst) {
        let _ = destination.shutdown(Shutdown::Write);
    }
}
