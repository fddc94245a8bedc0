//! Connections that notice a silent other end.

use std::net::SocketAddr;
use std::time::Duration;

use socket2::{Domain, Protocol, Socket, TcpKeepalive, Type};
use tokio::net::{TcpListener, TcpStream};
use tokio::time::timeout;

/// Time without an acknowledgement of sent bytes after which a connection is broken: several repeats of a lost
/// packet, and less than the shortest time in which a stream of events must go on.
const UNACKNOWLEDGED: Duration = Duration::from_millis(1_200);
/// Idleness after which the other end is probed, and the pause between probes; the shortest that systems take.
const PROBE_AFTER: Duration = Duration::from_secs(1);
/// Connections that may wait to be accepted: a burst while the node is busy must not be turned away.
const BACKLOG: i32 = 1024;

/// Connects to `address`.
///
/// # Errors
///
/// The other end refuses, or does not answer within `within`.
pub async fn connect(address: SocketAddr, within: Duration) -> std::io::Result<TcpStream> {
    let stream = timeout(within, TcpStream::connect(address)).await.map_err(|_| std::io::ErrorKind::TimedOut)??;
    watch(&stream)?;
    Ok(stream)
}

/// Makes a connection break when its other end falls silent.
///
/// # Errors
///
/// The system refuses the options.
pub fn watch(stream: &TcpStream) -> std::io::Result<()> {
    stream.set_nodelay(true)?;
    let socket = socket2::SockRef::from(stream);
    let probes = TcpKeepalive::new().with_time(PROBE_AFTER).with_interval(PROBE_AFTER).with_retries(2);
    socket.set_tcp_keepalive(&probes)?;
    socket.set_tcp_user_timeout(Some(UNACKNOWLEDGED))
}

/// Listens at `address`.
///
/// # Errors
///
/// The address is taken or not this VM's.
pub fn listen(address: SocketAddr) -> std::io::Result<TcpListener> {
    let socket = Socket::new(Domain::for_address(address), Type::STREAM, Some(Protocol::TCP))?;
    socket.set_reuse_address(true)?;
    socket.set_nonblocking(true)?;
    socket.bind(&address.into())?;
    socket.listen(BACKLOG)?;
    TcpListener::from_std(socket.into())
}
