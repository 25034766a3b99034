//! A TCP relay that can silence or close the connections through it.

use std::io::{ErrorKind, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

/// Read timeout of the copying threads.
const READ_TIMEOUT: Duration = Duration::from_millis(10);

/// The two sockets of a relayed connection.
struct RelayedConnection {
    sockets: [TcpStream; 2],
    is_frozen: Arc<AtomicBool>,
}

#[derive(Default)]
struct State {
    connections: Mutex<Vec<RelayedConnection>>,
    accepted: AtomicUsize,
    /// Whether new connections start frozen.
    freezes_new: AtomicBool,
    is_closed: AtomicBool,
}

/// Relays connections to its own port to the target address.
pub struct Relay {
    address: SocketAddr,
    state: Arc<State>,
}

impl Relay {
    pub fn start(target: SocketAddr) -> Relay {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let address = listener.local_addr().expect("bound");
        let state = Arc::new(State::default());
        let shared = state.clone();
        thread::spawn(move || accept(&listener, target, &shared));
        Relay { address, state }
    }

    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Number of connections accepted so far, including closed ones.
    pub fn accepted(&self) -> usize {
        self.state.accepted.load(Ordering::SeqCst)
    }

    /// Keeps the current connections open but drops all their data. New connections work.
    pub fn freeze(&self) {
        for connection in self.state.connections.lock().expect("not poisoned").iter() {
            connection.is_frozen.store(true, Ordering::SeqCst);
        }
    }

    /// Sets whether new connections are accepted but drop all their data.
    pub fn freeze_new(&self, freezes: bool) {
        self.state.freezes_new.store(freezes, Ordering::SeqCst);
    }

    /// Closes the current connections.
    pub fn close_connections(&self) {
        for connection in self
            .state
            .connections
            .lock()
            .expect("not poisoned")
            .drain(..)
        {
            for socket in connection.sockets {
                // Fails if the connection is already closed.
                let _ = socket.shutdown(Shutdown::Both);
            }
        }
    }
}

impl Drop for Relay {
    fn drop(&mut self) {
        self.close_connections();
        self.state.is_closed.store(true, Ordering::SeqCst);
        // Wakes the accepting thread, so that it sees the flag.
        let _ = TcpStream::connect(self.address);
    }
}

fn accept(listener: &TcpListener, target: SocketAddr, state: &Arc<State>) {
    for inner in listener.incoming() {
        if state.is_closed.load(Ordering::SeqCst) {
            return;
        }
        let (Ok(inner), Ok(outer)) = (inner, TcpStream::connect(target)) else {
            continue;
        };
        let is_frozen = state.freezes_new.load(Ordering::SeqCst);
        let is_frozen = Arc::new(AtomicBool::new(is_frozen));
        copy(&inner, &outer, &is_frozen);
        copy(&outer, &inner, &is_frozen);
        let connection = RelayedConnection {
            sockets: [inner, outer],
            is_frozen,
        };
        state
            .connections
            .lock()
            .expect("not poisoned")
            .push(connection);
        state.accepted.fetch_add(1, Ordering::SeqCst);
    }
}

/// Starts a thread that copies one direction of a connection.
fn copy(from: &TcpStream, to: &TcpStream, is_frozen: &Arc<AtomicBool>) {
    let mut from = from.try_clone().expect("a socket");
    let mut to = to.try_clone().expect("a socket");
    let is_frozen = is_frozen.clone();
    from.set_read_timeout(Some(READ_TIMEOUT))
        .expect("a timeout");
    thread::spawn(move || {
        let mut buffer = [0; 16 * 1_024];
        loop {
            let count = match from.read(&mut buffer) {
                Ok(0) => break,
                Ok(count) => count,
                Err(err) if err.kind() == ErrorKind::WouldBlock => continue,
                Err(_) => break,
            };
            // A frozen connection loses what it reads, so it can never be thawed.
            if !is_frozen.load(Ordering::SeqCst)
                && to.write_all(&buffer[..count]).is_err()
            {
                break;
            }
        }
        if !is_frozen.load(Ordering::SeqCst) {
            let _ = to.shutdown(Shutdown::Both);
        }
    });
}
