//! A TCP relay that simulates network faults: cut, silent and slow connections, and lost
//! responses.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

/// What the relay does with connections and traffic.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Mode {
    /// Open connections are closed, and new ones are closed at once.
    Cut,
    /// Connections, new ones included, stay open but pass no traffic.
    Freeze,
    /// Traffic to the target passes, traffic from it does not arrive.
    LoseAnswers,
    /// Each read of traffic is delayed by 30 ms.
    Slow,
    /// Traffic passes.
    Pass,
}

struct State {
    mode: Mode,
    target: Option<SocketAddr>,
    /// Incremented to make the open connections silent: those accepted under an older
    /// generation pass no traffic.
    generation: u64,
    /// Number of accepted connections.
    connections: usize,
}

/// Forwards connections to a target address. Clones control the same relay.
#[derive(Clone)]
pub struct Relay {
    address: SocketAddr,
    state: Arc<Mutex<State>>,
}

impl Relay {
    /// A relay without a target. Connections are closed until it has one.
    pub fn new() -> Relay {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let state = Arc::new(Mutex::new(State {
            mode: Mode::Pass,
            target: None,
            generation: 0,
            connections: 0,
        }));
        let relay = Relay { address, state };
        let accepting = relay.clone();
        thread::spawn(move || {
            for stream in listener.incoming().map_while(Result::ok) {
                let relay = accepting.clone();
                relay.state.lock().unwrap().connections += 1;
                thread::spawn(move || relay.serve(&stream));
            }
        });
        relay
    }

    /// A relay that forwards to `target`.
    pub fn to(target: SocketAddr) -> Relay {
        let relay = Relay::new();
        relay.set_target(target);
        relay
    }

    /// Address on which the relay listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Sets the target of new connections.
    pub fn set_target(&self, target: SocketAddr) {
        self.state.lock().unwrap().target = Some(target);
    }

    /// Sets the mode, for open and new connections.
    pub fn set(&self, mode: Mode) {
        self.state.lock().unwrap().mode = mode;
    }

    /// Makes the connections that are open now permanently silent without closing them. New
    /// connections pass traffic.
    pub fn silence_open_connections(&self) {
        self.state.lock().unwrap().generation += 1;
    }

    /// Number of connections accepted so far.
    pub fn connections(&self) -> usize {
        self.state.lock().unwrap().connections
    }

    fn mode(&self) -> Mode {
        self.state.lock().unwrap().mode
    }

    /// The mode of a connection that was accepted under `generation`.
    fn mode_of(&self, generation: u64) -> Mode {
        let state = self.state.lock().unwrap();
        match state.mode {
            Mode::Pass if state.generation != generation => Mode::Freeze,
            mode => mode,
        }
    }

    /// Connects to the target and copies traffic in both directions until the connection ends.
    fn serve(&self, incoming: &TcpStream) {
        while self.mode() == Mode::Freeze {
            thread::sleep(Duration::from_millis(10));
        }
        let (target, generation) = {
            let state = self.state.lock().unwrap();
            (state.target, state.generation)
        };
        let outgoing = match (self.mode(), target) {
            (Mode::Pass | Mode::LoseAnswers | Mode::Slow, Some(target)) => {
                TcpStream::connect(target)
            }
            _ => return,
        };
        let Ok(outgoing) = outgoing else { return };
        thread::scope(|scope| {
            scope.spawn(|| self.pump(incoming, &outgoing, generation, false));
            scope.spawn(|| self.pump(&outgoing, incoming, generation, true));
        });
    }

    /// Copies traffic in one direction until the connection ends or is cut. `are_answers` is
    /// set for the direction from the target.
    fn pump(
        &self,
        mut from: &TcpStream,
        mut to: &TcpStream,
        generation: u64,
        are_answers: bool,
    ) {
        from.set_read_timeout(Some(Duration::from_millis(10)))
            .unwrap();
        let mut buffer = [0; 16 * 1024];
        loop {
            match self.mode_of(generation) {
                Mode::Cut => break,
                Mode::Freeze => {
                    thread::sleep(Duration::from_millis(10));
                    continue;
                }
                Mode::LoseAnswers if are_answers => {
                    thread::sleep(Duration::from_millis(10));
                    continue;
                }
                Mode::Slow => thread::sleep(Duration::from_millis(30)),
                Mode::Pass | Mode::LoseAnswers => {}
            }
            match from.read(&mut buffer) {
                Ok(0) => {
                    let _ = to.shutdown(std::net::Shutdown::Write);
                    return;
                }
                Ok(count) if to.write_all(&buffer[..count]).is_err() => break,
                Ok(_) => {}
                Err(error) if is_timeout(&error) => {}
                Err(_) => break,
            }
        }
        let _ = from.shutdown(std::net::Shutdown::Both);
        let _ = to.shutdown(std::net::Shutdown::Both);
    }
}

fn is_timeout(error: &std::io::Error) -> bool {
    matches!(
        error.kind(),
        std::io::ErrorKind::WouldBlock | std::io::ErrorKind::TimedOut
    )
}
