//! A TCP relay whose connections can be cut or frozen.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

/// What the relay does to traffic.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Mode {
    /// Connections are closed and refused.
    Cut,
    /// Connections stay open and silent, new ones too.
    Freeze,
    /// What the target answers does not arrive.
    LoseAnswers,
    /// Each piece of traffic is late.
    Slow,
    /// Traffic passes.
    Pass,
}

struct State {
    mode: Mode,
    target: Option<SocketAddr>,
    /// Connections with an older number stay silent.
    generation: u64,
    /// Connections that were accepted.
    connections: usize,
}

/// Forwards connections to a target.
#[derive(Clone)]
pub struct Relay {
    address: SocketAddr,
    state: Arc<Mutex<State>>,
}

impl Relay {
    /// A relay that passes traffic once it has a target.
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

    /// A relay to `target`.
    pub fn to(target: SocketAddr) -> Relay {
        let relay = Relay::new();
        relay.set_target(target);
        relay
    }

    /// Where the relay listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Where new connections go.
    pub fn set_target(&self, target: SocketAddr) {
        self.state.lock().unwrap().target = Some(target);
    }

    /// Changes what happens to all connections.
    pub fn set(&self, mode: Mode) {
        self.state.lock().unwrap().mode = mode;
    }

    /// Makes the connections that are open now silent for good, without closing them.
    /// New connections work.
    pub fn silence_open_connections(&self) {
        self.state.lock().unwrap().generation += 1;
    }

    /// Connections that were accepted.
    pub fn connections(&self) -> usize {
        self.state.lock().unwrap().connections
    }

    fn mode(&self) -> Mode {
        self.state.lock().unwrap().mode
    }

    /// What happens to a connection of a generation.
    fn mode_of(&self, generation: u64) -> Mode {
        let state = self.state.lock().unwrap();
        match state.mode {
            Mode::Pass if state.generation != generation => Mode::Freeze,
            mode => mode,
        }
    }

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
