//! Accepts connections of peers, authenticates them and closes silent ones.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;

use capnp_rpc::rpc_twoparty_capnp::Side;
use tokio::net::{TcpListener, TcpStream};
use tokio::task::spawn_local;
use tokio::time::{Instant, sleep};

use crate::auth::{Challenge, Role, new_nonce};
use crate::codec::{invalid, read_text};
use crate::connection::{CloseHandle, drive, start_rpc};
use crate::peer_capnp::peer;
use crate::runtime::Shared;
use crate::session::SessionServer;

/// Maximum number of open accepted connections. Further ones are closed at once. A fleet of the target size has
/// 690 instances, and each of them dials this one once.
const MAX_CONNECTIONS: usize = 2_048;

/// Pause after a failed accept. Running out of file descriptors makes accept fail at once,
/// so a loop without a pause would spin.
const ACCEPT_PAUSE: Duration = Duration::from_millis(100);

/// Accepts connections until the task is dropped.
pub(crate) async fn accept(shared: Rc<Shared>, listener: TcpListener) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) if shared.accepted_count.get() >= MAX_CONNECTIONS => {
                drop(stream);
            }
            Ok((stream, _)) => {
                spawn_local(serve(shared.clone(), stream));
            }
            Err(err) => {
                log::warn!("event=peer_accept_failed error={err}");
                sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}

/// Runs one accepted connection until it ends.
async fn serve(shared: Rc<Shared>, stream: TcpStream) {
    shared.accepted_count.set(shared.accepted_count.get() + 1);
    let state = Rc::new(AcceptedState {
        challenge: RefCell::new(None),
        is_authenticated: Cell::new(false),
        last_ping: Cell::new(Instant::now()),
    });
    let server = PeerServer {
        shared: shared.clone(),
        state: state.clone(),
    };
    let client: peer::Client = capnp_rpc::new_client(server);
    match start_rpc(stream, Side::Server, Some(client.client)) {
        Ok((system, close_handle)) => {
            shared
                .accepted_close_handles
                .borrow_mut()
                .push(close_handle.clone());
            spawn_local(close_when_silent(
                shared.clone(),
                state,
                close_handle.clone(),
            ));
            drive(system, close_handle).await;
        }
        Err(err) => log::warn!("event=peer_socket_failed error={err}"),
    }
    shared
        .accepted_close_handles
        .borrow_mut()
        .retain(|close_handle| !close_handle.is_closed());
    shared.accepted_count.set(shared.accepted_count.get() - 1);
}

/// Closes a connection that does not authenticate in time or stops sending pings.
async fn close_when_silent(
    shared: Rc<Shared>,
    state: Rc<AcceptedState>,
    close_handle: CloseHandle,
) {
    while !close_handle.is_closed() {
        let timeout_ms = match state.is_authenticated.get() {
            true => shared.deadlines.silence_ms,
            false => shared.deadlines.call_ms,
        };
        let end = state.last_ping.get() + Duration::from_millis(timeout_ms);
        if end <= Instant::now() {
            log::info!("event=peer_connection_silent");
            close_handle.close();
        }
        tokio::select! {
            () = tokio::time::sleep_until(end) => {}
            () = close_handle.closed() => {}
        }
    }
}

/// State of an accepted connection.
pub(crate) struct AcceptedState {
    /// Set by `hello` and removed by `login`.
    challenge: RefCell<Option<Challenge>>,
    is_authenticated: Cell<bool>,
    /// Time of the last ping. Until the first one, of the login or the connection.
    pub(crate) last_ping: Cell<Instant>,
}

/// The bootstrap interface of an accepted connection.
struct PeerServer {
    shared: Rc<Shared>,
    state: Rc<AcceptedState>,
}

impl peer::Server for PeerServer {
    async fn hello(
        self: Rc<Self>,
        params: peer::HelloParams,
        mut results: peer::HelloResults,
    ) -> capnp::Result<()> {
        let params = params.get()?;
        let nonce = params.get_nonce()?;
        let challenge = Challenge {
            dialer: read_text(params.get_instance())?,
            dialer_nonce: nonce
                .try_into()
                .map_err(|_| invalid("expected a nonce of 32 bytes"))?,
            acceptor: self.shared.own.to_string(),
            acceptor_nonce: new_nonce(),
        };
        let proof = challenge.proof(&self.shared.secret, Role::Acceptor);
        let mut results = results.get();
        results.set_incarnation(challenge.acceptor.as_str());
        results.set_nonce(&challenge.acceptor_nonce);
        results.set_proof(&proof);
        self.state.challenge.replace(Some(challenge));
        Ok(())
    }

    async fn login(
        self: Rc<Self>,
        params: peer::LoginParams,
        mut results: peer::LoginResults,
    ) -> capnp::Result<()> {
        let proof = params.get()?.get_proof()?;
        // Removing the challenge allows only one attempt for each nonce.
        let challenge = self.state.challenge.take();
        let secret = &self.shared.secret;
        let valid = challenge
            .filter(|challenge| challenge.is_proof_valid(secret, Role::Dialer, proof));
        let Some(challenge) = valid else {
            log::warn!("event=peer_login_refused");
            return Err(invalid("the proof is wrong"));
        };
        self.state.is_authenticated.set(true);
        self.state.last_ping.set(Instant::now());
        let session =
            SessionServer::new(self.shared.clone(), self.state.clone(), challenge.dialer);
        results.get().set_session(capnp_rpc::new_client(session));
        Ok(())
    }
}
