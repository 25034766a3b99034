//! Graceful shutdown of the server for callers, and its limit on connections.

mod support;

use std::net::SocketAddr;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::mpsc::Receiver;
use std::sync::{Arc, RwLock};

use jayreel_server::{IncomingRequest, ServerSettings};
use support::{Client, Fixture, TIMEOUT, get, wait_until};

fn settings() -> ServerSettings {
    ServerSettings {
        closing_idle_timeout_ms: 200,
        linger_ms: 200,
        ..ServerSettings::default()
    }
}

/// Settings with an idle timeout that no caller of a test exceeds, even on a slow machine.
fn long_idle_timeout() -> ServerSettings {
    ServerSettings {
        closing_idle_timeout_ms: 20_000,
        ..ServerSettings::default()
    }
}

/// Guards against a load balancer that does not learn from `/readyz` that the instance is
/// stopping or not ready, and against health probes that are passed to the handler.
#[test]
fn readiness_probe_reflects_state() {
    let fixture = Fixture::start(settings());
    let status = |path: &str| {
        let mut client = fixture.connect();
        client.send(get(path, ""));
        client.read_response().expect("a response").status
    };
    assert_eq!((status("/healthz"), status("/readyz")), (200, 200));
    fixture.handler.set_ready(false);
    assert_eq!((status("/healthz"), status("/readyz")), (200, 503));
    fixture.handler.set_ready(true);
    fixture.server.start_drain();
    assert_eq!((status("/healthz"), status("/readyz")), (200, 503));
}

/// Guards against callers that keep their connections open during a shutdown: a request in
/// progress must get a complete response, which asks the caller to close the connection.
#[test]
fn request_in_progress_completes_during_drain() {
    let fixture = Fixture::start(long_idle_timeout());
    let mut client = fixture.connect();
    client.send(get("/x", ""));
    let mut responder = fixture.next_request().responder;
    fixture.server.start_drain();
    fixture.server.stop_accepting();
    assert!(
        !fixture
            .server
            .wait_idle(Some(std::time::Duration::from_millis(1)))
    );
    responder.head(200, &[]).expect("the caller waits");
    responder.chunk(b"late").expect("the caller waits");
    responder.close();
    let response = client.read_response().expect("a response");
    assert_eq!(response.header("connection"), Some("close"));
    assert!(response.complete && response.text() == "late");
    assert!(client.is_closed());
    assert!(fixture.server.wait_idle(Some(TIMEOUT)));
    assert_eq!(fixture.server.close(), 0);
}

/// Guards against resetting the connections in the kernel's accept queue when the listening
/// socket is closed.
#[test]
fn queued_connections_are_served() {
    let fixture = Fixture::start(long_idle_timeout());
    let mut clients: Vec<Client> = (0..50).map(|_| fixture.connect()).collect();
    fixture.server.stop_accepting();
    let address = fixture.server.address();
    let (server, handler, requests) = fixture.into_parts();
    let responding = std::thread::spawn(move || respond_to_all(&requests));
    for client in &mut clients {
        client.send(get("/x", ""));
    }
    for client in &mut clients {
        let response = client.read_response().expect("a response");
        assert!(response.complete && response.text() == "done");
    }
    std::net::TcpStream::connect(address).expect_err("the listener is open");
    assert!(server.wait_idle(Some(TIMEOUT)));
    assert_eq!(server.close(), 0);
    drop(handler);
    responding.join().expect("no panic");
}

/// Guards against a shutdown that waits for callers to close their idle connections.
#[test]
fn idle_connections_are_closed_early() {
    let fixture = Fixture::start(settings());
    let mut clients: Vec<Client> = (0..20).map(|_| fixture.connect()).collect();
    wait_until("all accepted", || fixture.server.connections() == 20);
    fixture.server.start_drain();
    fixture.server.stop_accepting();
    assert!(clients.iter_mut().all(Client::is_closed));
    assert!(fixture.server.wait_idle(Some(TIMEOUT)));
    assert_eq!(fixture.server.close(), 0);
}

/// Guards against requests that are interrupted by a shutdown under load. Callers open no new
/// connections after the drain has started, as behind a load balancer that follows the
/// readiness probe.
#[test]
fn shutdown_under_load_interrupts_no_request() {
    for _ in 0..10 {
        let fixture = Fixture::start(long_idle_timeout());
        let address = fixture.server.address();
        let (server, handler, requests) = fixture.into_parts();
        let responding = std::thread::spawn(move || respond_to_all(&requests));
        let stopping = Arc::new(RwLock::new(false));
        let complete = Arc::new(AtomicUsize::new(0));
        let callers: Vec<_> = (0..16)
            .map(|_| {
                let stopping = Arc::clone(&stopping);
                let complete = Arc::clone(&complete);
                std::thread::spawn(move || {
                    while let Some(mut client) = connect(address, &stopping) {
                        call_until_closed(&mut client, &complete);
                    }
                })
            })
            .collect();
        wait_until("load", || complete.load(Ordering::SeqCst) > 200);
        server.start_drain();
        *stopping.write().expect("no panic") = true;
        let before = complete.load(Ordering::SeqCst);
        server.stop_accepting();
        assert!(server.wait_idle(Some(TIMEOUT)));
        assert_eq!(server.close(), 0);
        for caller in callers {
            caller.join().expect("the request is not interrupted");
        }
        assert!(complete.load(Ordering::SeqCst) >= before);
        assert_eq!(handler.disconnected(), Vec::new());
        drop(handler);
        responding.join().expect("no panic");
    }
}

/// Opens a connection unless the server is stopping. Holding the read lock makes the test
/// wait for it before it closes the listening socket.
fn connect(address: SocketAddr, stopping: &RwLock<bool>) -> Option<Client> {
    let stopping = stopping.read().expect("no panic");
    (!*stopping).then(|| Client::connect(address))
}

/// Sends requests on one connection until a response has `Connection: close`.
fn call_until_closed(client: &mut Client, complete: &AtomicUsize) {
    loop {
        client.send(get("/x", ""));
        let response = client
            .read_response()
            .expect("the request is not interrupted");
        assert!(response.complete && response.text() == "done");
        complete.fetch_add(1, Ordering::SeqCst);
        if response.header("connection") == Some("close") {
            return;
        }
    }
}

fn respond_to_all(requests: &Receiver<IncomingRequest>) {
    while let Ok(mut request) = requests.recv_timeout(TIMEOUT) {
        let _ = request.responder.head(200, &[]);
        let _ = request.responder.chunk(b"do");
        let _ = request.responder.chunk(b"ne");
        request.responder.close();
    }
}

/// Guards against exceeding the limit on open connections. Further connections must wait in
/// the kernel's accept queue until another one ends.
#[test]
fn connections_are_limited() {
    let fixture = Fixture::start(ServerSettings {
        max_connections: 2,
        ..settings()
    });
    let mut first = fixture.connect();
    let second = fixture.connect();
    wait_until("both are accepted", || fixture.server.connections() == 2);
    let mut third = fixture.connect();
    third.send(get("/third", ""));
    for _ in 0..20 {
        first.send(get("/healthz", ""));
        assert_eq!(first.read_response().expect("a response").status, 200);
    }
    assert!(
        fixture.try_next_request().is_none(),
        "the third one was accepted"
    );
    assert_eq!(fixture.server.connections(), 2);
    drop(second);
    assert_eq!(fixture.next_request().path, "/third");
}
