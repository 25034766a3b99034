//! Failed and cancelled calls report correctly whether the request may have run.

mod support;

use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::mpsc::channel;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use jayreel_endpoint::{
    CallObserver, CallRequest, CancelHandle, ClientSettings, EndpointClient,
    HttpEndpointClient, ResponseHead,
};
use jayreel_model::{Ran, RefusalReason};
use support::{RESULT_TIMEOUT, RecordedResponse, call, call_with, endpoint, request};
use test_case::test_case;

/// Guards against a refused connection being reported as a request that may have run.
#[test]
fn refused_connection_did_not_run() {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("an address");
    drop(listener);
    let (outcome, record) = call(&request(address));
    let failure = outcome.expect_err("nothing listens");
    assert_eq!(failure.ran, Ran::No);
    assert_eq!(failure.reason, RefusalReason::EndpointFailed);
    assert!(!record.sent);
}

/// Guards against a connection attempt without a timeout.
#[test]
fn connect_timeout_did_not_run() {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    rustix::net::listen(&listener, 0).expect("a listener with a short backlog");
    let address = listener.local_addr().expect("an address");
    let short = Duration::from_millis(50);
    let _queued: Vec<TcpStream> =
        std::iter::from_fn(|| TcpStream::connect_timeout(&address, short).ok()).collect();
    let (outcome, record) = call(&CallRequest {
        connect_timeout_ms: 50,
        ..request(address)
    });
    let failure = outcome.expect_err("the backlog is full");
    assert_eq!(failure.ran, Ran::No);
    assert_eq!(failure.reason, RefusalReason::EndpointTimeout);
    assert!(!record.sent);
}

/// Guards against a host name as the address, which would need a DNS lookup.
#[test]
fn host_name_is_rejected() {
    let address: SocketAddr = "127.0.0.1:1".parse().expect("an address");
    let (outcome, _) = call(&CallRequest {
        address: "localhost:80".to_string(),
        ..request(address)
    });
    assert_eq!(outcome.expect_err("a host name").ran, Ran::No);
}

/// Guards against a sent request being reported as not run, and against incomplete responses
/// being treated as complete ones.
#[test_case("", Ran::Unknown; "no response")]
#[test_case("HTTP/1.1 200 O", Ran::Unknown; "half a status line")]
#[test_case("HTTP/1.1 200 OK\r\ncontent-le", Ran::Unknown; "half a head")]
#[test_case("nonsense\r\n\r\n", Ran::Unknown; "not HTTP")]
#[test_case("HTTP/1.1 200 OK\r\ncontent-length: 9\r\n\r\nhalf", Ran::Yes; "half a body")]
#[test_case("HTTP/1.1 200 OK\r\ncontent-length: 9\r\n\r\n", Ran::Yes; "no body")]
#[test_case("HTTP/1.1 500 No\r\ncontent-length: 9\r\n\r\nhalf", Ran::Unknown; "half a body of an error")]
#[test_case(
    "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n4\r\nhalf\r\n", Ran::Yes;
    "no last chunk")]
#[test_case(
    "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n4\r\nha", Ran::Yes;
    "half a chunk")]
#[test_case(
    "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\nzz\r\n", Ran::Yes;
    "bad chunk size")]
#[test_case("HTTP/1.1 200 OK\r\n\r\nwhole?", Ran::Yes; "close-delimited")]
fn incomplete_response_fails_the_call(response: &'static str, ran: Ran) {
    let endpoint = endpoint(move |connection| {
        connection.read_request();
        connection.send(response);
    });
    let failure = call(&request(endpoint.address))
        .0
        .expect_err("the response is incomplete");
    assert_eq!(failure.ran, ran, "{failure:?}");
    assert_eq!(failure.reason, RefusalReason::EndpointFailed);
}

/// Sends a response byte by byte with a pause after each, until the client closes the connection.
fn drip(connection: &mut support::Connection, head: &str, pause: Duration) {
    use std::io::Write;
    connection.read_request();
    connection.send(head);
    for _ in 0..4_000 {
        if connection.stream.write_all(b":").is_err() {
            return;
        }
        std::thread::sleep(pause);
    }
}

/// Guards against an endpoint that sends a byte now and then, each within the timeout, and so never
/// ends a call.
#[test_case("HTTP/1.1 200 OK\r\nA: ", Ran::Unknown; "in the head")]
#[test_case("HTTP/1.1 200 OK\r\ncontent-length: 90000\r\n\r\n", Ran::Yes; "in the body")]
fn dripping_endpoint_times_out(head: &'static str, ran: Ran) {
    let endpoint = endpoint(move |connection| {
        drip(connection, head, Duration::from_millis(40));
    });
    let (outcome, _) = call(&CallRequest {
        progress_timeout_ms: 200,
        ..request(endpoint.address)
    });
    let failure = outcome.expect_err("the endpoint makes no progress");
    assert_eq!(failure.ran, ran);
    assert_eq!(failure.reason, RefusalReason::EndpointTimeout);
    endpoint.report();
}

/// Guards against a slow but sound stream that is cut: small events, each well within the timeout,
/// for several times as long.
#[test]
fn slow_events_are_received_to_the_end() {
    let endpoint = endpoint(|connection| {
        connection.read_request();
        connection.send("HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n");
        for _ in 0..35 {
            connection.send("9\r\ndata: x\n\n\r\n");
            std::thread::sleep(Duration::from_millis(150));
        }
        connection.send("0\r\n\r\n");
    });
    let (outcome, record) = call(&CallRequest {
        progress_timeout_ms: 2_000,
        ..request(endpoint.address)
    });
    assert_eq!(outcome, Ok(()));
    assert_eq!(record.body.len(), 35 * "data: x\n\n".len());
}

/// Guards against a silent endpoint that blocks a call forever, and against silence being
/// treated as the end of a response.
#[test_case("", Ran::Unknown; "before the head")]
#[test_case("HTTP/1.1 200 OK\r\nconte", Ran::Unknown; "in the head")]
#[test_case("HTTP/1.1 200 OK\r\ncontent-length: 9\r\n\r\nhalf", Ran::Yes; "in the body")]
fn silent_endpoint_times_out(response: &'static str, ran: Ran) {
    let endpoint = endpoint(move |connection| {
        connection.read_request();
        connection.send(response);
        connection.wait_closed()
    });
    let (outcome, _) = call(&CallRequest {
        progress_timeout_ms: 50,
        ..request(endpoint.address)
    });
    let failure = outcome.expect_err("the endpoint is silent");
    assert_eq!(failure.ran, ran);
    assert_eq!(failure.reason, RefusalReason::EndpointTimeout);
    endpoint.report();
}

/// Guards against an endpoint that does not read the request and blocks the call forever.
#[test]
fn endpoint_that_does_not_read_times_out() {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let (outcome, _) = call(&CallRequest {
        body: vec![b'x'; 32 << 20],
        progress_timeout_ms: 50,
        ..request(listener.local_addr().expect("an address"))
    });
    let failure = outcome.expect_err("the endpoint does not read");
    assert_eq!(failure.ran, Ran::Unknown);
    assert_eq!(failure.reason, RefusalReason::EndpointTimeout);
}

/// Guards against a response head of unlimited size, and against one that exceeds the buffer
/// being treated as a closed connection.
#[test]
fn too_large_head_fails_the_call() {
    let endpoint = endpoint(|connection| {
        connection.read_request();
        let value = "v".repeat(100_000);
        connection.send(&format!(
            "HTTP/1.1 200 OK\r\nx-long: {value}\r\ncontent-length: 0\r\n\r\n"
        ));
    });
    let failure = call(&request(endpoint.address))
        .0
        .expect_err("the head is too large");
    assert_eq!(failure.ran, Ran::Unknown);
}

/// Guards against close-delimited responses failing although the settings accept them.
#[test]
fn close_delimited_response_completes_if_accepted() {
    let endpoint = endpoint(|connection| {
        connection.read_request();
        connection.send("HTTP/1.0 200 OK\r\n\r\nwhole");
    });
    let client = HttpEndpointClient::new(&ClientSettings {
        accept_close_delimited: true,
        ..ClientSettings::default()
    });
    let (outcome, record) = call_with(&client, &request(endpoint.address));
    assert_eq!(outcome, Ok(()));
    assert_eq!(record.body, b"whole");
}

/// Cancels its call once the connection is established, before a byte is sent. The test stores
/// the handle here.
#[derive(Default)]
struct CancelOnSent(Arc<Mutex<Option<Box<dyn CancelHandle>>>>);

impl CallObserver for CancelOnSent {
    fn sent(&mut self) {
        let handle = self.0.lock().expect("no panic");
        handle.as_ref().expect("a handle").cancel();
    }

    fn head(&mut self, _head: &ResponseHead) -> bool {
        panic!("the call was cancelled");
    }

    fn chunk(&mut self, _bytes: &[u8]) -> bool {
        panic!("the call was cancelled");
    }
}

/// Guards against a request being sent although it was cancelled before its first byte, and
/// against its being reported as one that may have run.
#[test]
fn cancel_before_the_first_byte() {
    let endpoint = endpoint(|connection| connection.wait_closed());
    let client = HttpEndpointClient::default();
    let mut canceller = CancelOnSent::default();
    let slot = Arc::clone(&canceller.0);
    let mut register = |handle| *slot.lock().expect("no panic") = Some(handle);
    let request = request(endpoint.address);
    let outcome = client.call(&request, &mut register, &mut canceller);
    let failure = outcome.expect_err("it was cancelled");
    assert_eq!(failure.ran, Ran::No);
    assert_eq!(failure.reason, RefusalReason::CallerGone);
    assert_eq!(endpoint.report(), 0, "bytes were sent");
}

/// Guards against a call that connects although it was already cancelled. Nothing listens at the
/// address, so a connection attempt would fail with another reason.
#[test]
fn cancel_before_connecting() {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("an address");
    drop(listener);
    let mut register = |handle: Box<dyn CancelHandle>| handle.cancel();
    let client = HttpEndpointClient::default();
    let outcome = client.call(
        &request(address),
        &mut register,
        &mut CancelOnSent::default(),
    );
    let failure = outcome.expect_err("it was cancelled");
    assert_eq!(failure.ran, Ran::No);
    assert_eq!(failure.reason, RefusalReason::CallerGone);
}

/// Guards against a cancel that does not end a blocked read in another thread.
#[test_case("", Ran::Unknown; "before the head")]
#[test_case("HTTP/1.1 200 OK\r\ncontent-length: 9\r\n\r\nhalf", Ran::Yes; "in the body")]
fn cancel_ends_a_blocked_read(response: &'static str, ran: Ran) {
    let (response_sent, wait_response_sent) = channel();
    let endpoint = endpoint(move |connection| {
        connection.read_request();
        connection.send(response);
        response_sent.send(()).expect("the test waits");
        connection.wait_closed()
    });
    let (handles, handle) = channel::<Box<dyn CancelHandle>>();
    let (sender, outcome) = channel();
    let request = CallRequest {
        // Longer than the test waits, so that only the cancel can end the read.
        progress_timeout_ms: 600_000,
        ..request(endpoint.address)
    };
    std::thread::spawn(move || {
        let mut register = |handle| handles.send(handle).expect("the test waits");
        let client = HttpEndpointClient::default();
        sender.send(client.call(
            &request,
            &mut register,
            &mut RecordedResponse::default(),
        ))
    });
    let handle = handle.recv_timeout(RESULT_TIMEOUT).expect("a handle");
    wait_response_sent
        .recv_timeout(RESULT_TIMEOUT)
        .expect("a request");
    handle.cancel();
    handle.cancel();
    let outcome = outcome
        .recv_timeout(RESULT_TIMEOUT)
        .expect("the cancel ends the call");
    let failure = outcome.expect_err("it was cancelled");
    assert_eq!(failure.reason, RefusalReason::CallerGone);
    assert!(failure.ran == ran || failure.ran == Ran::Unknown);
    endpoint.report();
}

/// Guards against an endpoint that keeps generating for a caller that has disconnected, and
/// against a cancel handle that outlives its call and keeps the connection open.
#[test]
fn observer_cancels_the_call() {
    let endpoint = endpoint(|connection| {
        connection.read_request();
        connection.send("HTTP/1.1 200 OK\r\ncontent-length: 9\r\n\r\nhalf");
        connection.wait_closed()
    });
    let mut record = RecordedResponse {
        cancel_at: Some(1),
        ..RecordedResponse::default()
    };
    let mut handles: Vec<Box<dyn CancelHandle>> = Vec::new();
    let mut register = |handle| handles.push(handle);
    let client = HttpEndpointClient::default();
    let outcome = client.call(&request(endpoint.address), &mut register, &mut record);
    let failure = outcome.expect_err("the observer cancelled it");
    assert_eq!(failure.reason, RefusalReason::CallerGone);
    assert_eq!(failure.ran, Ran::Yes);
    assert_eq!(endpoint.report(), 0);
    drop(handles);
}
