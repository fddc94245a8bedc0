//! A TCP link that forwards bytes, and can cut, freeze or refuse connections.

use std::collections::BTreeMap;
use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread;
use std::time::Duration;

/// State shared by a link's threads.
#[derive(Debug, Default)]
struct LinkState {
    /// Connections opened before this count are frozen.
    frozen_before: AtomicU64,
    opened: AtomicU64,
    open: AtomicU64,
    refusing: AtomicBool,
    streams: Mutex<BTreeMap<u64, [TcpStream; 2]>>,
}

/// A TCP link in front of a server.
#[derive(Clone, Debug)]
pub struct FaultyLink {
    address: SocketAddr,
    server: SocketAddr,
    state: Arc<LinkState>,
}

impl FaultyLink {
    const BUFFER_BYTES: usize = 16 * 1024;

    /// Listens at `listen` (port 0 for any) and forwards to `server`.
    ///
    /// # Errors
    ///
    /// The address cannot be bound.
    pub fn start(listen: SocketAddr, server: SocketAddr) -> std::io::Result<Self> {
        let listener = TcpListener::bind(listen)?;
        let link = Self { address: listener.local_addr()?, server, state: Arc::default() };
        link.serve(listener);
        Ok(link)
    }

    fn serve(&self, listener: TcpListener) {
        let link = self.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                if link.state.refusing.load(Ordering::SeqCst) {
                    // Without a listener the kernel refuses connections itself, as it does for a dead process.
                    return;
                }
                accept(&link.state, stream, link.server);
            }
        });
    }

    /// Where it listens.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Connections that are open at both ends.
    #[must_use]
    pub fn open_connections(&self) -> u64 {
        self.state.open.load(Ordering::SeqCst)
    }

    /// Breaks all connections that are open.
    pub fn cut(&self) {
        let mut streams = self.state.streams.lock().unwrap_or_else(PoisonError::into_inner);
        for stream in std::mem::take(&mut *streams).into_values().flatten() {
            let _ = stream.shutdown(Shutdown::Both);
        }
    }

    /// Lets connections that are open go silent for good; new ones work.
    pub fn freeze(&self) {
        let opened = self.state.opened.load(Ordering::SeqCst);
        self.state.frozen_before.store(opened, Ordering::SeqCst);
    }

    /// Refuses new connections, or accepts them again.
    ///
    /// # Panics
    ///
    /// The address was taken by something else meanwhile.
    pub fn refuse(&self, refusing: bool) {
        let before = self.state.refusing.swap(refusing, Ordering::SeqCst);
        match (before, refusing) {
            // The listener's thread sees the change with this connection.
            (false, true) => drop(TcpStream::connect(self.address)),
            (true, false) => self.serve(TcpListener::bind(self.address).expect("the address is still free")),
            _ => {}
        }
    }

    /// Cuts everything and refuses connections for `span`, like a process that restarts.
    pub fn crash(&self, span: Duration) {
        self.refuse(true);
        self.cut();
        let link = self.clone();
        thread::spawn(move || {
            thread::sleep(span);
            link.refuse(false);
        });
    }
}

fn accept(state: &Arc<LinkState>, client: TcpStream, server: SocketAddr) {
    let Ok(upstream) = TcpStream::connect(server) else { return };
    let number = state.opened.fetch_add(1, Ordering::SeqCst);
    state.open.fetch_add(1, Ordering::SeqCst);
    let _ = client.set_nodelay(true);
    let _ = upstream.set_nodelay(true);
    let ends = [client.try_clone(), client.try_clone(), upstream.try_clone(), upstream.try_clone()];
    let [Ok(keep_client), Ok(client_out), Ok(keep_upstream), Ok(upstream_out)] = ends else { return };
    state.streams.lock().unwrap_or_else(PoisonError::into_inner).insert(number, [keep_client, keep_upstream]);
    let (to, back) = (state.clone(), state.clone());
    thread::spawn(move || {
        forward(&to, number, client, upstream_out);
        to.streams.lock().unwrap_or_else(PoisonError::into_inner).remove(&number);
        to.open.fetch_sub(1, Ordering::SeqCst);
    });
    thread::spawn(move || forward(&back, number, upstream, client_out));
}

fn forward(state: &LinkState, number: u64, mut from: TcpStream, mut to: TcpStream) {
    let mut buffer = vec![0; FaultyLink::BUFFER_BYTES];
    loop {
        let count = match from.read(&mut buffer) {
            Ok(0) | Err(_) => break,
            Ok(count) => count,
        };
        if number < state.frozen_before.load(Ordering::SeqCst) {
            // Bytes of a frozen connection vanish; neither end is told.
            continue;
        }
        if to.write_all(&buffer[..count]).is_err() {
            // The one end is gone: the other must not go on writing to nobody.
            let _ = from.shutdown(Shutdown::Both);
            break;
        }
    }
    if number >= state.frozen_before.load(Ordering::SeqCst) {
        let _ = to.shutdown(Shutdown::Write);
    }
}
