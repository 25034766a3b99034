//! Responses to callers, including aborted ones and callers that disconnect early.

mod support;

use std::sync::mpsc::{Receiver, Sender, channel};
use std::sync::{Arc, Mutex};

use jayreel_model::RequestId;
use jayreel_server::{
    CallerServer, IncomingRequest, RequestHandler, Responder, ResponderClosed,
    ServerSettings,
};
use support::{Client, Fixture, TIMEOUT, get, wait_until};
use test_case::test_case;

fn headers(list: &[(&str, &str)]) -> Vec<(String, String)> {
    list.iter()
        .map(|(name, value)| (name.to_string(), value.to_string()))
        .collect()
}

/// Guards against chunks that are lost or reordered between the threads, and against
/// forwarding hop-by-hop headers of the endpoint to the caller.
#[test]
fn streamed_response_arrives_complete() {
    let fixture = Fixture::start(ServerSettings::default());
    let mut client = fixture.connect();
    client.send(get("/x", ""));
    let mut responder = fixture.next_request().responder;
    let head = headers(&[("x-a", "1"), ("connection", "close"), ("keep-alive", "9")]);
    responder.head(200, &head).expect("the caller waits");
    let mut expected = Vec::new();
    let responding = std::thread::spawn(move || {
        for number in 0..1_000 {
            let chunk = format!("chunk {number};");
            responder.chunk(chunk.as_bytes()).expect("the caller reads");
        }
        responder.close();
    });
    for number in 0..1_000 {
        expected.extend_from_slice(format!("chunk {number};").as_bytes());
    }
    let response = client.read_response().expect("a response");
    responding.join().expect("no panic");
    assert!(response.complete);
    assert!(response.body == expected, "chunks are lost or reordered");
    assert_eq!(response.header("x-a"), Some("1"));
    assert_eq!(response.header("connection"), None);
    assert_eq!(response.header("keep-alive"), None);
}

/// Guards against an aborted response that looks complete to the caller.
#[test]
fn aborted_response_is_incomplete() {
    let fixture = Fixture::start(ServerSettings::default());
    for drop_responder in [false, true] {
        let mut client = fixture.connect();
        client.send(get("/x", ""));
        let mut responder = fixture.next_request().responder;
        responder.head(200, &[]).expect("the caller waits");
        responder.chunk(b"first").expect("the caller waits");
        match drop_responder {
            true => drop(responder),
            false => responder.abort(),
        }
        match client.read_response() {
            Some(response) => assert!(!response.complete, "{response:?}"),
            None => assert!(client.is_closed()),
        }
    }
    let handler = fixture.handler.clone();
    fixture.server.close();
    assert_eq!(handler.disconnected(), Vec::new());
}

/// Guards against an HTTP/1.0 caller that treats an aborted response as complete. Without
/// chunked encoding the end of the connection ends the body, so only a reset shows that the
/// response is incomplete.
#[test]
fn aborted_response_resets_http_1_0_connection() {
    let fixture = Fixture::start(ServerSettings::default());
    let mut client = fixture.connect();
    client.send("GET /x HTTP/1.0\r\n\r\n");
    let mut responder = fixture.next_request().responder;
    responder.head(200, &[]).expect("the caller waits");
    responder.chunk(b"first").expect("the caller waits");
    responder.abort();
    let mut rest = Vec::new();
    let outcome = std::io::Read::read_to_end(&mut client.stream, &mut rest);
    let kind = outcome
        .expect_err("the end looks like a complete response")
        .kind();
    assert_eq!(kind, std::io::ErrorKind::ConnectionReset);
}

/// Guards against a caller that waits forever because the responder was dropped without a
/// response.
#[test]
fn dropped_responder_closes_the_connection() {
    let fixture = Fixture::start(ServerSettings::default());
    let mut client = fixture.connect();
    client.send(get("/x", ""));
    drop(fixture.next_request());
    assert!(client.is_closed());
}

/// Guards against calls that continue after their caller has disconnected, and against
/// reporting the same disconnect twice.
#[test]
fn disconnect_is_reported_once() {
    let fixture = Fixture::start(ServerSettings::default());
    let mut client = fixture.connect();
    client.send(get("/x", ""));
    let waiting = fixture.next_request();
    drop(client);
    wait_until("a disconnect is reported", || {
        fixture.handler.disconnected() == [waiting.id]
    });
    let mut client = fixture.connect();
    client.send(get("/y", ""));
    let mut streaming = fixture.next_request();
    streaming
        .responder
        .head(200, &[])
        .expect("the caller waits");
    streaming
        .responder
        .chunk(b"first")
        .expect("the caller waits");
    drop(client);
    let both = [waiting.id, streaming.id];
    wait_until("a second disconnect is reported", || {
        fixture.handler.disconnected() == both
    });
    assert!(streaming.responder.chunk(b"x").is_err());
    let handler = fixture.handler.clone();
    fixture.server.close();
    drop(waiting);
    drop(streaming);
    assert_eq!(handler.disconnected(), both);
}

/// Guards against reporting a disconnect after a complete response. There is nothing left to
/// cancel, and it could be counted as an interrupted call.
#[test]
fn disconnect_after_complete_response_is_not_reported() {
    let fixture = Fixture::start(ServerSettings::default());
    for path in ["/whole", "/head"] {
        let mut client = fixture.connect();
        let method = if path == "/head" { "HEAD" } else { "GET" };
        client.send(format!("{method} {path} HTTP/1.1\r\nhost: x\r\n\r\n"));
        let mut responder = fixture.next_request().responder;
        let head = headers(&[("content-length", "4")]);
        responder.head(200, &head).expect("the caller waits");
        let response = match method {
            "HEAD" => client.read_response_to(method).expect("a response"),
            _ => {
                responder.chunk(b"body").expect("the caller waits");
                client.read_response_to(method).expect("a response")
            }
        };
        assert_eq!(response.header("content-length"), Some("4"));
        responder.close();
        drop(client);
    }
    let handler = fixture.handler.clone();
    wait_until("the connections end", || fixture.server.connections() == 0);
    fixture.server.close();
    assert_eq!(handler.disconnected(), Vec::new());
}

/// Guards against a caller that stops reading and blocks the responder's thread forever.
#[test]
fn caller_that_stops_reading_is_disconnected() {
    let fixture = Fixture::start(ServerSettings {
        write_timeout_ms: 50,
        ..ServerSettings::default()
    });
    let mut client = fixture.connect();
    client.send(get("/x", ""));
    let mut request = fixture.next_request();
    request.responder.head(200, &[]).expect("the caller waits");
    let chunk = vec![b'x'; 1 << 20];
    let (sender, ended) = channel();
    let id = request.id;
    std::thread::spawn(move || {
        while request.responder.chunk(&chunk).is_ok() {}
        sender.send(())
    });
    ended.recv_timeout(TIMEOUT).expect("the responder closes");
    wait_until("a disconnect is reported", || {
        fixture.handler.disconnected() == [id]
    });
    drop(client);
}

/// Stores the responder and uses it from within `caller_gone`, to check that the response
/// channel is still open at that time.
struct WritingHandler {
    responder: Mutex<Option<Responder>>,
    head_first: bool,
    submitted: Mutex<Sender<()>>,
    outcome: Mutex<Sender<Result<(), ResponderClosed>>>,
}

impl WritingHandler {
    fn start(head_first: bool) -> (CallerServer, Receiver<()>, Outcomes) {
        let (submitted, requests) = channel();
        let (outcome, outcomes) = channel();
        let handler = Arc::new(WritingHandler {
            responder: Mutex::new(None),
            head_first,
            submitted: Mutex::new(submitted),
            outcome: Mutex::new(outcome),
        });
        let address = "127.0.0.1:0".parse().expect("an address");
        let server = CallerServer::start(address, ServerSettings::default(), handler)
            .expect("the server starts");
        (server, requests, outcomes)
    }
}

type Outcomes = Receiver<Result<(), ResponderClosed>>;

impl RequestHandler for WritingHandler {
    fn submit(&self, request: IncomingRequest) {
        let mut responder = request.responder;
        if self.head_first {
            responder.head(200, &[]).expect("the caller waits");
            responder.try_chunk(b"first").expect("the caller waits");
        }
        *self.responder.lock().expect("a lock") = Some(responder);
        let _ = self.submitted.lock().expect("a lock").send(());
    }

    fn caller_gone(&self, _: RequestId) {
        let mut slot = self.responder.lock().expect("a lock");
        let responder = slot.as_mut().expect("a responder");
        let outcome = match self.head_first {
            true => responder.try_chunk(b"x").map(|_| ()),
            false => responder.head(200, &[]),
        };
        let _ = self.outcome.lock().expect("a lock").send(outcome);
    }

    fn ready(&self) -> bool {
        true
    }
}

/// Guards against closing the response channel before the disconnect is reported: a
/// responder on another thread could see the closed channel first and be dropped, and the
/// disconnect would never be reported.
#[test_case(false; "before the head")]
#[test_case(true; "in the body")]
fn disconnect_is_reported_before_channel_closes(head_first: bool) {
    let (server, requests, outcomes) = WritingHandler::start(head_first);
    let mut client = Client::connect(server.address());
    client.send(get("/x", ""));
    requests.recv_timeout(TIMEOUT).expect("a request");
    drop(client);
    assert_eq!(
        outcomes
            .recv_timeout(TIMEOUT)
            .expect("a disconnect is reported"),
        Ok(())
    );
    server.close();
}

/// Guards against `try_chunk` blocking or losing a chunk when the caller reads slowly.
#[test]
fn try_chunk_reports_a_full_queue() {
    let fixture = Fixture::start(ServerSettings::default());
    let mut client = fixture.connect();
    client.send(get("/x", ""));
    let mut responder = fixture.next_request().responder;
    responder.head(200, &[]).expect("the caller waits");
    let chunk = vec![b'x'; 1 << 20];
    let mut queued = 0;
    while responder.try_chunk(&chunk) == Ok(true) {
        queued += 1;
    }
    assert_eq!(responder.try_chunk(&chunk), Ok(false));
    responder.close();
    let response = client.read_response().expect("a response");
    assert!(response.complete);
    assert_eq!(response.body.len(), queued << 20);
}
