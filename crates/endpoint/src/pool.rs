//! Pool of idle connections for repeatable requests.

use std::collections::HashMap;
use std::net::{SocketAddr, TcpStream};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

/// Idle connections by endpoint address. The most recently used one is reused first.
#[derive(Debug)]
pub(crate) struct SocketPool {
    idle: Mutex<HashMap<SocketAddr, Vec<IdleSocket>>>,
    max_idle_per_endpoint: usize,
    max_idle_age: Duration,
}

#[derive(Debug)]
struct IdleSocket {
    socket: Arc<TcpStream>,
    /// When the connection was put into the pool.
    since: Instant,
}

impl SocketPool {
    pub(crate) fn new(
        max_idle_per_endpoint: usize,
        max_idle_age: Duration,
    ) -> SocketPool {
        SocketPool {
            idle: Mutex::new(HashMap::new()),
            max_idle_per_endpoint,
            max_idle_age,
        }
    }

    /// Takes an idle connection that the endpoint has not closed as far as the kernel knows.
    /// Drops the expired and unusable ones that it finds first.
    pub(crate) fn take(&self, address: SocketAddr) -> Option<Arc<TcpStream>> {
        while let Some(candidate) = self.pop(address) {
            let is_fresh = candidate.since.elapsed() < self.max_idle_age;
            if is_fresh && is_open_and_idle(&candidate.socket) {
                return Some(candidate.socket);
            }
        }
        None
    }

    /// Adds a connection whose last response is complete, and drops all expired ones. If the
    /// endpoint already has the maximum number of idle connections, the new one is closed.
    pub(crate) fn put(&self, address: SocketAddr, socket: Arc<TcpStream>) {
        let since = Instant::now();
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        idle.retain(|_, sockets| {
            sockets.retain(|entry| entry.since.elapsed() < self.max_idle_age);
            !sockets.is_empty()
        });
        let sockets = idle.entry(address).or_default();
        if sockets.len() < self.max_idle_per_endpoint {
            sockets.push(IdleSocket { socket, since });
        }
    }

    fn pop(&self, address: SocketAddr) -> Option<IdleSocket> {
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        idle.get_mut(&address)?.pop()
    }
}

/// Whether the connection is open and has no unread bytes, which no request asked for. If so,
/// the socket is left in blocking mode.
fn is_open_and_idle(socket: &TcpStream) -> bool {
    if socket.set_nonblocking(true).is_err() {
        return false;
    }
    let peeked = socket.peek(&mut [0; 1]);
    let is_idle =
        matches!(peeked, Err(error) if error.kind() == std::io::ErrorKind::WouldBlock);
    is_idle && socket.set_nonblocking(false).is_ok()
}
