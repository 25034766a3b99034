//! Guards against a client that speaks the RPC protocol and logs in without knowing the fleet
//! secret. The client here is written against the generated code, not the crate.

#[allow(missing_docs, unused, clippy::all)]
#[path = "../src/peer_capnp.rs"]
#[rustfmt::skip]
mod peer_capnp;
mod support;

use capnp_rpc::rpc_twoparty_capnp::Side;
use capnp_rpc::twoparty::VatNetwork;
use capnp_rpc::{RpcSystem, new_client};
use peer_capnp::{message, peer};
use support::{EVENT_TIMEOUT, Instance};
use test_case::test_case;
use tokio::net::TcpStream;
use tokio::task::{LocalSet, spawn_local};
use tokio_util::compat::{TokioAsyncReadCompatExt as _, TokioAsyncWriteCompatExt as _};

/// The client's own bootstrap interface, which implements no method.
struct EmptyPeer;

impl peer::Server for EmptyPeer {}

/// Opens a connection and returns the bootstrap interface of the instance.
async fn connect(b: &Instance) -> peer::Client {
    let stream = TcpStream::connect(b.address()).await.expect("connected");
    let (reader, writer) = stream.into_split();
    let network = VatNetwork::new(
        reader.compat(),
        writer.compat_write(),
        Side::Client,
        Default::default(),
    );
    let own: peer::Client = new_client(EmptyPeer);
    let mut system = RpcSystem::new(Box::new(network), Some(own.client));
    let bootstrap = system.bootstrap(Side::Server);
    spawn_local(async move { drop(system.await) });
    bootstrap
}

/// Calls `hello` and returns the acceptor's proof.
async fn hello(client: &peer::Client) -> Vec<u8> {
    let mut request = client.hello_request();
    request.get().set_instance("a");
    request.get().set_nonce(&[1; 32]);
    let response = request.send().promise.await.expect("a reply");
    let results = response.get().expect("results");
    results.get_proof().expect("a proof").to_vec()
}

/// Calls `login` and, without waiting for its reply, sends a message on the promised session.
/// Returns whether either succeeded.
async fn login_succeeds(client: &peer::Client, proof: &[u8]) -> bool {
    let mut request = client.login_request();
    request.get().set_proof(proof);
    let sent = request.send();
    let mut notify = sent.pipeline.get_session().notify_request();
    let mut message: message::Builder<'_> = notify.get().init_message();
    message.set_handover_taken(());
    let is_delivered = notify.send().promise.await.is_ok();
    sent.promise.await.is_ok() || is_delivered
}

/// Runs a login attempt against an instance. Checks that the instance emits no event.
fn run_against_instance(attempt: impl AsyncFn(&Instance) -> bool) -> bool {
    let b = Instance::start("b.1");
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .expect("a runtime");
    let result = LocalSet::new()
        .block_on(&runtime, async {
            tokio::time::timeout(EVENT_TIMEOUT, attempt(&b)).await
        })
        .expect("the attempt ends within the timeout");
    assert!(b.events.is_empty());
    result
}

#[test_case(true; "reflected proof of the acceptor")]
#[test_case(false; "proof of zeros")]
fn wrong_proof_is_rejected(reflects: bool) {
    let is_logged_in = run_against_instance(async |b| {
        let client = connect(b).await;
        let proof = hello(&client).await;
        let proof = if reflects { proof } else { vec![0; 32] };
        login_succeeds(&client, &proof).await
    });
    assert!(!is_logged_in);
}

#[test]
fn proof_from_another_connection_is_rejected() {
    let is_logged_in = run_against_instance(async |b| {
        let first = connect(b).await;
        let proof = hello(&first).await;
        let second = connect(b).await;
        hello(&second).await;
        login_succeeds(&second, &proof).await
    });
    assert!(!is_logged_in);
}

#[test]
fn login_without_hello_is_rejected() {
    assert!(!run_against_instance(async |b| login_succeeds(
        &connect(b).await,
        &[0; 32]
    )
    .await));
}
