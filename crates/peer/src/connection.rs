//! One TCP connection that carries capnp-rpc: dialing, the dialer's side of authentication,
//! and closing.

use std::net::{Shutdown, SocketAddr, TcpStream as StdStream};
use std::rc::Rc;
use std::time::Duration;

use capnp::message::ReaderOptions;
use capnp_rpc::RpcSystem;
use capnp_rpc::rpc_twoparty_capnp::Side;
use capnp_rpc::twoparty::VatNetwork;
use jayreel_model::Incarnation;
use tokio::net::TcpStream;
use tokio::sync::watch;
use tokio::task::spawn_local;
use tokio::time::{sleep, timeout};
use tokio_util::compat::{TokioAsyncReadCompatExt as _, TokioAsyncWriteCompatExt as _};

use crate::auth::{Challenge, Role, new_nonce};
use crate::codec::{MAX_MESSAGE_BYTES, invalid, read_incarnation};
use crate::error::{PeerFailure, PeerFailureKind};
use crate::message::PeerEvent;
use crate::peer_capnp::{peer, session};
use crate::runtime::Shared;

/// Maximum wait for the RPC system of a closed connection to finish.
const SHUTDOWN_TIMEOUT: Duration = Duration::from_secs(1);

/// Size of a Cap'n Proto word, the unit of the traversal limit.
const WORD_BYTES: usize = 8;

/// Closes a connection and reports whether this instance has closed it or seen it end.
/// Cheap to clone.
#[derive(Clone, Debug)]
pub(crate) struct CloseHandle {
    socket: Rc<StdStream>,
    closed: Rc<watch::Sender<bool>>,
}

impl CloseHandle {
    /// Shuts down the socket, which ends all tasks that use it.
    pub(crate) fn close(&self) {
        // Fails if the other end has already closed the connection.
        let _ = self.socket.shutdown(Shutdown::Both);
        self.closed.send_replace(true);
    }

    pub(crate) fn is_closed(&self) -> bool {
        *self.closed.borrow()
    }

    /// Waits until the connection is closed.
    pub(crate) async fn closed(&self) {
        let mut receiver = self.closed.subscribe();
        // Cannot fail: `self` keeps the sender alive.
        let _ = receiver.wait_for(|closed| *closed).await;
    }
}

/// Sets up capnp-rpc on a socket. The returned system makes no progress until it is polled
/// by [`drive`]. `bootstrap` is the interface that the other end gets first.
pub(crate) fn start_rpc(
    stream: TcpStream,
    side: Side,
    bootstrap: Option<capnp::capability::Client>,
) -> capnp::Result<(RpcSystem<Side>, CloseHandle)> {
    stream.set_nodelay(true)?;
    let stream = stream.into_std()?;
    let socket = Rc::new(stream.try_clone()?);
    let (reader, writer) = TcpStream::from_std(stream)?.into_split();
    let mut options = ReaderOptions::new();
    options.traversal_limit_in_words(Some(MAX_MESSAGE_BYTES / WORD_BYTES));
    let network = VatNetwork::new(
        futures::io::BufReader::new(reader.compat()),
        futures::io::BufWriter::new(writer.compat_write()),
        side,
        options,
    );
    let system = RpcSystem::new(Box::new(network), bootstrap);
    let (closed, _) = watch::channel(false);
    Ok((
        system,
        CloseHandle {
            socket,
            closed: Rc::new(closed),
        },
    ))
}

/// Runs a connection until it ends or is closed.
pub(crate) async fn drive(mut system: RpcSystem<Side>, close_handle: CloseHandle) {
    let result = tokio::select! {
        result = &mut system => Some(result),
        () = close_handle.closed() => None,
    };
    close_handle.close();
    let result = match result {
        Some(result) => result,
        // Polled until it reads the end of the closed socket and cancels its calls. If it were
        // dropped earlier, calls that hold references to each other would leak.
        None => timeout(SHUTDOWN_TIMEOUT, system).await.unwrap_or(Ok(())),
    };
    match result {
        Ok(()) => log::debug!("event=peer_connection_ended"),
        Err(err) => log::debug!("event=peer_connection_failed error={err:?}"),
    }
}

/// A dialed and authenticated connection.
#[derive(Clone)]
pub(crate) struct Connection {
    pub(crate) session: session::Client,
    /// The incarnation that accepted the connection.
    pub(crate) incarnation: Incarnation,
    pub(crate) close_handle: CloseHandle,
}

/// Connects to a peer and authenticates in both directions. If `name` is given, an instance
/// with another name is rejected.
pub(crate) async fn dial(
    shared: &Rc<Shared>,
    name: Option<&str>,
    address: SocketAddr,
) -> Result<Connection, PeerFailure> {
    let deadlines = shared.deadlines;
    let connect = timeout(
        Duration::from_millis(deadlines.connect_ms),
        TcpStream::connect(address),
    );
    let stream = match connect.await {
        Ok(Ok(stream)) => stream,
        Ok(Err(err)) => return Err(disconnected(format!("cannot connect: {err}"))),
        Err(_) => return Err(timed_out("no connection within the deadline")),
    };
    let (mut system, close_handle) = start_rpc(stream, Side::Client, None)
        .map_err(|err| disconnected(err.to_string()))?;
    let bootstrap: peer::Client = system.bootstrap(Side::Server);
    spawn_local(drive(system, close_handle.clone()));
    let handshake = timeout(
        Duration::from_millis(deadlines.call_ms),
        authenticate(shared, name, &bootstrap),
    );
    let (session, incarnation) = match handshake.await {
        Ok(Ok(authenticated)) => authenticated,
        Ok(Err(failure)) => {
            close_handle.close();
            return Err(failure);
        }
        Err(_) => {
            close_handle.close();
            return Err(timed_out("no answer to the challenge within the deadline"));
        }
    };
    spawn_local(ping(shared.clone(), session.clone(), close_handle.clone()));
    Ok(Connection {
        session,
        incarnation,
        close_handle,
    })
}

/// Runs the dialer's side of the handshake. The acceptor's proof is checked first, so that
/// this instance sends its own proof only to a member of the fleet.
async fn authenticate(
    shared: &Rc<Shared>,
    name: Option<&str>,
    bootstrap: &peer::Client,
) -> Result<(session::Client, Incarnation), PeerFailure> {
    let nonce = new_nonce();
    let mut request = bootstrap.hello_request();
    request.get().set_instance(shared.own.instance.as_str());
    request.get().set_nonce(&nonce);
    let response = request.send().promise.await.map_err(handshake_failed)?;
    let hello = response.get().map_err(handshake_failed)?;
    let incarnation =
        read_incarnation(hello.get_incarnation()).map_err(handshake_failed)?;
    let acceptor_nonce = hello.get_nonce().map_err(handshake_failed)?;
    let challenge = Challenge {
        dialer: shared.own.instance.clone(),
        dialer_nonce: nonce,
        acceptor: incarnation.to_string(),
        acceptor_nonce: acceptor_nonce
            .try_into()
            .map_err(|_| handshake_failed(invalid("expected a nonce of 32 bytes")))?,
    };
    let proof = hello.get_proof().map_err(handshake_failed)?;
    let is_proof_valid = challenge.is_proof_valid(&shared.secret, Role::Acceptor, proof);
    let is_expected = name.is_none_or(|name| incarnation.instance == name);
    if !is_proof_valid || !is_expected {
        return Err(unauthenticated("the peer did not prove its identity"));
    }
    let mut request = bootstrap.login_request();
    request
        .get()
        .set_proof(&challenge.proof(&shared.secret, Role::Dialer));
    let response = request
        .send()
        .promise
        .await
        .map_err(|_| unauthenticated("the peer refused the challenge"))?;
    let session = response
        .get()
        .and_then(|login| login.get_session())
        .map_err(handshake_failed)?;
    Ok((session, incarnation))
}

/// Connects to an address to find out which instance accepts peers there, and emits
/// [`PeerEvent::Discovered`].
pub(crate) async fn discover(shared: Rc<Shared>, address: SocketAddr) {
    match dial(&shared, None, address).await {
        Ok(connection) => {
            connection.close_handle.close();
            shared.emit(PeerEvent::Discovered {
                address,
                incarnation: connection.incarnation,
            });
        }
        Err(failure) => {
            log::info!("event=seed_unreachable address={address} error={failure}");
        }
    }
}

/// Pings the peer at intervals and closes the connection if a response is late.
async fn ping(shared: Rc<Shared>, session: session::Client, close_handle: CloseHandle) {
    let interval = Duration::from_millis(shared.deadlines.ping_interval_ms);
    let deadline = Duration::from_millis(shared.deadlines.call_ms);
    while !close_handle.is_closed() {
        let response = session.ping_request().send().promise;
        match timeout(deadline, response).await {
            Ok(Ok(_)) => sleep(interval).await,
            _ => close_handle.close(),
        }
    }
}

fn handshake_failed(err: capnp::Error) -> PeerFailure {
    disconnected(format!("the challenge failed: {err}"))
}

fn disconnected(message: String) -> PeerFailure {
    PeerFailure::not_reached(PeerFailureKind::Disconnected, message)
}

fn timed_out(message: &str) -> PeerFailure {
    PeerFailure::not_reached(PeerFailureKind::Timeout, message)
}

fn unauthenticated(message: &str) -> PeerFailure {
    PeerFailure::not_reached(PeerFailureKind::Authentication, message)
}
