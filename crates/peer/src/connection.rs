//! One TCP connection with capnp-rpc on it.

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

/// Longest time for the tasks of a closed connection to end.
const END_LIMIT: Duration = Duration::from_secs(1);

const WORD_BYTES: usize = 8;

/// Closes a connection, and tells whether it is closed. Cheap to clone.
#[derive(Clone, Debug)]
pub(crate) struct Closer {
    socket: Rc<StdStream>,
    closed: Rc<watch::Sender<bool>>,
}

impl Closer {
    /// Shuts the socket down, so that all tasks that use it end.
    pub(crate) fn close(&self) {
        // The socket may already be shut down by the other end.
        let _ = self.socket.shutdown(Shutdown::Both);
        self.closed.send_replace(true);
    }

    pub(crate) fn is_closed(&self) -> bool {
        *self.closed.borrow()
    }

    /// Waits until the connection is closed.
    pub(crate) async fn closed(&self) {
        let mut receiver = self.closed.subscribe();
        // The sender lives as long as `self`.
        let _ = receiver.wait_for(|closed| *closed).await;
    }
}

/// Starts capnp-rpc on a socket. Returns when the tasks run.
pub(crate) fn start_rpc(
    stream: TcpStream,
    side: Side,
    bootstrap: Option<capnp::capability::Client>,
) -> capnp::Result<(RpcSystem<Side>, Closer)> {
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
        Closer {
            socket,
            closed: Rc::new(closed),
        },
    ))
}

/// Runs a connection until it ends or is closed.
pub(crate) async fn drive(mut system: RpcSystem<Side>, closer: Closer) {
    let result = tokio::select! {
        result = &mut system => Some(result),
        () = closer.closed() => None,
    };
    closer.close();
    let result = match result {
        Some(result) => result,
        // The system sees the end of the closed socket and cancels what runs on it. Dropping
        // it before would leave calls that keep each other alive.
        None => timeout(END_LIMIT, system).await.unwrap_or(Ok(())),
    };
    match result {
        Ok(()) => log::debug!("event=peer_connection_ended"),
        Err(err) => log::debug!("event=peer_connection_failed error={err:?}"),
    }
}

/// A connection that this instance dialled, after the challenge.
#[derive(Clone)]
pub(crate) struct Connection {
    pub(crate) session: session::Client,
    pub(crate) incarnation: Incarnation,
    pub(crate) closer: Closer,
}

/// Dials a peer and proves knowledge of the secret on both sides. Without a name any
/// instance of the fleet is accepted.
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
    let (mut system, closer) = start_rpc(stream, Side::Client, None)
        .map_err(|err| disconnected(err.to_string()))?;
    let bootstrap: peer::Client = system.bootstrap(Side::Server);
    spawn_local(drive(system, closer.clone()));
    let challenge = timeout(
        Duration::from_millis(deadlines.call_ms),
        authenticate(shared, name, &bootstrap),
    );
    let (session, incarnation) = match challenge.await {
        Ok(Ok(done)) => done,
        Ok(Err(failure)) => {
            closer.close();
            return Err(failure);
        }
        Err(_) => {
            closer.close();
            return Err(timed_out("no answer to the challenge within the deadline"));
        }
    };
    spawn_local(ping(shared.clone(), session.clone(), closer.clone()));
    Ok(Connection {
        session,
        incarnation,
        closer,
    })
}

async fn authenticate(
    shared: &Rc<Shared>,
    name: Option<&str>,
    bootstrap: &peer::Client,
) -> Result<(session::Client, Incarnation), PeerFailure> {
    let nonce = new_nonce();
    let mut request = bootstrap.hello_request();
    request.get().set_instance(shared.own.instance.as_str());
    request.get().set_nonce(&nonce);
    let response = request.send().promise.await.map_err(failed)?;
    let hello = response.get().map_err(failed)?;
    let incarnation = read_incarnation(hello.get_incarnation()).map_err(failed)?;
    let acceptor_nonce = hello.get_nonce().map_err(failed)?;
    let challenge = Challenge {
        dialer: shared.own.instance.clone(),
        dialer_nonce: nonce,
        acceptor: incarnation.to_string(),
        acceptor_nonce: acceptor_nonce
            .try_into()
            .map_err(|_| failed(invalid("expected a nonce of 32 bytes")))?,
    };
    let proof = hello.get_proof().map_err(failed)?;
    let is_proved = challenge.is_proved(&shared.secret, Role::Acceptor, proof);
    let is_expected = name.is_none_or(|name| incarnation.instance == name);
    if !is_proved || !is_expected {
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
        .map_err(failed)?;
    Ok((session, incarnation))
}

/// Tells which instance of the fleet accepts peers at an address.
pub(crate) async fn discover(shared: Rc<Shared>, address: SocketAddr) {
    match dial(&shared, None, address).await {
        Ok(connection) => {
            connection.closer.close();
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

/// Closes the connection when a ping is not answered in time.
async fn ping(shared: Rc<Shared>, session: session::Client, closer: Closer) {
    let interval = Duration::from_millis(shared.deadlines.ping_interval_ms);
    let deadline = Duration::from_millis(shared.deadlines.call_ms);
    while !closer.is_closed() {
        let answer = session.ping_request().send().promise;
        match timeout(deadline, answer).await {
            Ok(Ok(_)) => sleep(interval).await,
            _ => closer.close(),
        }
    }
}

fn failed(err: capnp::Error) -> PeerFailure {
    disconnected(format!("the challenge failed: {err}"))
}

fn disconnected(message: String) -> PeerFailure {
    PeerFailure::before(PeerFailureKind::Disconnected, message)
}

fn timed_out(message: &str) -> PeerFailure {
    PeerFailure::before(PeerFailureKind::Timeout, message)
}

fn unauthenticated(message: &str) -> PeerFailure {
    PeerFailure::before(PeerFailureKind::Authentication, message)
}
