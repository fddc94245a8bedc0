//! Opens sockets, and sets options by which unresponsive connections are detected.

use std::net::SocketAddr;
use std::time::Duration;

use socket2::{Domain, Protocol, Socket, TcpKeepalive, Type};
use tokio::net::{TcpListener, TcpStream};
use tokio::time::timeout;

/// Time without an acknowledgement after which a connection fails, for sent bytes and for keepalive probes, whose count the
/// system then ignores. Sound peers may be silent for more than a second; a connection that hangs for good must be noticed
/// within three.
const UNACKNOWLEDGED_TIMEOUT: Duration = Duration::from_millis(2_500);
/// Time without an acknowledgement of sent bytes after which a connection fails whose peer may pause. The system counts the
/// time in which a peer has no room for more bytes, too.
pub const PAUSED_READER_TIMEOUT: Duration = Duration::from_secs(30);
/// Idle time before the first keepalive probe, and the interval between probes. It is the minimum that systems accept.
/// A silence that begins right after the last answer to a probe ends the connection at the third probe that is due.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);
/// Number of keepalive probes without an answer after which a connection fails on systems that count them.
const MAX_KEEPALIVE_PROBES: u32 = 2;
/// Maximum number of connections that wait to be accepted. A burst of connections while the node is busy must not be
/// refused.
const BACKLOG: i32 = 1024;

/// Connects to `address`, and sets the options that detect an unresponsive peer.
///
/// # Errors
///
/// Returns an error if the peer refuses the connection or does not answer within `connect_timeout`.
pub async fn connect(address: SocketAddr, connect_timeout: Duration) -> std::io::Result<TcpStream> {
    let stream =
        timeout(connect_timeout, TcpStream::connect(address)).await.map_err(|_| std::io::ErrorKind::TimedOut)??;
    detect_silent_peer(&stream)?;
    Ok(stream)
}

/// Sets options by which a connection fails when its peer stops responding, and disables Nagle's algorithm.
///
/// # Errors
///
/// Returns an error if the system rejects an option.
pub fn detect_silent_peer(stream: &TcpStream) -> std::io::Result<()> {
    stream.set_nodelay(true)?;
    let socket = socket2::SockRef::from(stream);
    let probes = TcpKeepalive::new().with_time(KEEPALIVE_INTERVAL);
    let probes = probes.with_interval(KEEPALIVE_INTERVAL).with_retries(MAX_KEEPALIVE_PROBES);
    socket.set_tcp_keepalive(&probes)?;
    socket.set_tcp_user_timeout(Some(UNACKNOWLEDGED_TIMEOUT))
}

/// Lets the peer of a connection pause its reading for longer than a peer that acknowledges nothing is waited for.
///
/// # Errors
///
/// Returns an error if the system rejects the option.
pub fn allow_paused_reader(stream: &TcpStream) -> std::io::Result<()> {
    socket2::SockRef::from(stream).set_tcp_user_timeout(Some(PAUSED_READER_TIMEOUT))
}

/// Lets the system reset the connection when it is closed, also at the end of the process, instead of ending it in order.
/// A connection that was shut down before has ended in order.
///
/// # Errors
///
/// Returns an error if the system rejects the option.
pub fn reset_on_close(stream: &TcpStream) -> std::io::Result<()> {
    socket2::SockRef::from(stream).set_linger(Some(Duration::ZERO))
}

/// Opens a listener at `address`.
///
/// # Errors
///
/// Returns an error if the address is in use or does not belong to this VM.
pub fn listen(address: SocketAddr) -> std::io::Result<TcpListener> {
    let socket = Socket::new(Domain::for_address(address), Type::STREAM, Some(Protocol::TCP))?;
    socket.set_reuse_address(true)?;
    socket.set_nonblocking(true)?;
    socket.bind(&address.into())?;
    socket.listen(BACKLOG)?;
    TcpListener::from_std(socket.into())
}

#[cfg(test)]
mod tests;
