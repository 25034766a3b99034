//! Answers, and callers that leave before the end of them.

mod support;

use std::sync::mpsc::{Receiver, Sender, channel};
use std::sync::{Arc, Mutex};

use jayreel_model::RequestId;
use jayreel_server::{
    CallerServer, IncomingRequest, RequestHandler, Responder, ResponderClosed,
    ServerSettings,
};
use support::{Client, Fixture, LIMIT, get, wait_until};
use test_case::test_case;

fn headers(list: &[(&str, &str)]) -> Vec<(String, String)> {
    list.iter()
        .map(|(name, value)| (name.to_string(), value.to_string()))
        .collect()
}

/// Guards against pieces that are lost or reordered between the threads, and against
/// headers of the endpoint's connection that reach the caller.
#[test]
fn streamed_answer_arrives_whole() {
    let fixture = Fixture::start(ServerSettings::default());
    let mut client = fixture.connect();
    client.send(get("/x", ""));
    let mut responder = fixture.next().responder;
    let head = headers(&[("x-a", "1"), ("connection", "close"), ("keep-alive", "9")]);
    responder.head(200, &head).expect("the caller waits");
    let mut expected = Vec::new();
    let answering = std::thread::spawn(move || {
        for number in 0..1_000 {
            let piece = format!("piece {number};");
            responder.chunk(piece.as_bytes()).expect("the caller reads");
        }
        responder.close();
    });
    for number in 0..1_000 {
        expected.extend_from_slice(format!("piece {number};").as_bytes());
    }
    let answer = client.answer().expect("an answer");
    answering.join().expect("no panic");
    assert!(answer.complete);
    assert!(answer.body == expected, "pieces are lost or reordered");
    assert_eq!(answer.header("x-a"), Some("1"));
    assert_eq!(answer.header("connection"), None);
    assert_eq!(answer.header("keep-alive"), None);
}

/// Guards against an answer that was broken off and looks complete.
#[test]
fn aborted_answer_is_incomplete() {
    let fixture = Fixture::start(ServerSettings::default());
    for drop_it in [false, true] {
        let mut client = fixture.connect();
        client.send(get("/x", ""));
        let mut responder = fixture.next().responder;
        responder.head(200, &[]).expect("the caller waits");
        responder.chunk(b"first").expect("the caller waits");
        match drop_it {
            true => drop(responder),
            false => responder.abort(),
        }
        match client.answer() {
            Some(answer) => assert!(!answer.complete, "{answer:?}"),
            None => assert!(client.is_closed()),
        }
    }
    let intake = fixture.intake.clone();
    fixture.server.close();
    assert_eq!(intake.gone(), Vec::new());
}

/// Guards against an HTTP/1.0 caller, whose answers end with the connection, that takes a
/// broken answer for a complete one. Only a reset tells them apart.
#[test]
fn aborted_answer_resets_an_old_caller() {
    let fixture = Fixture::start(ServerSettings::default());
    let mut client = fixture.connect();
    client.send("GET /x HTTP/1.0\r\n\r\n");
    let mut responder = fixture.next().responder;
    responder.head(200, &[]).expect("the caller waits");
    responder.chunk(b"first").expect("the caller waits");
    responder.abort();
    let mut rest = Vec::new();
    let outcome = std::io::Read::read_to_end(&mut client.stream, &mut rest);
    let kind = outcome
        .expect_err("the end looks like a complete answer")
        .kind();
    assert_eq!(kind, std::io::ErrorKind::ConnectionReset);
}

/// Guards against a responder that is dropped unanswered and leaves the caller waiting.
#[test]
fn dropped_responder_closes_the_connection() {
    let fixture = Fixture::start(ServerSettings::default());
    let mut client = fixture.connect();
    client.send(get("/x", ""));
    drop(fixture.next());
    assert!(client.is_closed());
}

/// Guards against calls that go on for a caller that has left, and against a second
/// notice for the same request.
#[test]
fn leaving_caller_is_reported_once() {
    let fixture = Fixture::start(ServerSettings::default());
    let mut client = fixture.connect();
    client.send(get("/x", ""));
    let waiting = fixture.next();
    drop(client);
    wait_until("a notice", || fixture.intake.gone() == [waiting.id]);
    let mut client = fixture.connect();
    client.send(get("/y", ""));
    let mut streaming = fixture.next();
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
    wait_until("a second notice", || fixture.intake.gone() == both);
    assert!(streaming.responder.chunk(b"x").is_err());
    let intake = fixture.intake.clone();
    fixture.server.close();
    drop(waiting);
    drop(streaming);
    assert_eq!(intake.gone(), both);
}

/// Guards against a notice for an answer that ended, which would cancel nothing or, worse,
/// be counted as a cut.
#[test]
fn complete_answer_is_never_reported() {
    let fixture = Fixture::start(ServerSettings::default());
    for path in ["/whole", "/head"] {
        let mut client = fixture.connect();
        let method = if path == "/head" { "HEAD" } else { "GET" };
        client.send(format!("{method} {path} HTTP/1.1\r\nhost: x\r\n\r\n"));
        let mut responder = fixture.next().responder;
        let head = headers(&[("content-length", "4")]);
        responder.head(200, &head).expect("the caller waits");
        let answer = match method {
            "HEAD" => client.answer_to(method).expect("an answer"),
            _ => {
                responder.chunk(b"body").expect("the caller waits");
                client.answer_to(method).expect("an answer")
            }
        };
        assert_eq!(answer.header("content-length"), Some("4"));
        responder.close();
        drop(client);
    }
    let intake = fixture.intake.clone();
    wait_until("the connections end", || fixture.server.connections() == 0);
    fixture.server.close();
    assert_eq!(intake.gone(), Vec::new());
}

/// Guards against a caller that stops reading and holds the endpoint's thread for ever.
#[test]
fn caller_that_stops_reading_is_cut() {
    let fixture = Fixture::start(ServerSettings {
        write_timeout_ms: 50,
        ..ServerSettings::default()
    });
    let mut client = fixture.connect();
    client.send(get("/x", ""));
    let mut request = fixture.next();
    request.responder.head(200, &[]).expect("the caller waits");
    let piece = vec![b'x'; 1 << 20];
    let (sender, ended) = channel();
    let id = request.id;
    std::thread::spawn(move || {
        while request.responder.chunk(&piece).is_ok() {}
        sender.send(())
    });
    ended.recv_timeout(LIMIT).expect("the responder closes");
    wait_until("a notice", || fixture.intake.gone() == [id]);
    drop(client);
}

/// Keeps the responder, and writes to it while the notice is being given.
struct WritingIntake {
    responder: Mutex<Option<Responder>>,
    head_first: bool,
    submitted: Mutex<Sender<()>>,
    outcome: Mutex<Sender<Result<(), ResponderClosed>>>,
}

impl WritingIntake {
    fn start(head_first: bool) -> (CallerServer, Receiver<()>, Outcomes) {
        let (submitted, requests) = channel();
        let (outcome, outcomes) = channel();
        let intake = Arc::new(WritingIntake {
            responder: Mutex::new(None),
            head_first,
            submitted: Mutex::new(submitted),
            outcome: Mutex::new(outcome),
        });
        let address = "127.0.0.1:0".parse().expect("an address");
        let server = CallerServer::start(address, ServerSettings::default(), intake)
            .expect("the server starts");
        (server, requests, outcomes)
    }
}

type Outcomes = Receiver<Result<(), ResponderClosed>>;

impl RequestHandler for WritingIntake {
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

/// Guards against a channel that closes before the notice is given: a responder on another
/// thread then sees the closed channel first, is dropped, and the notice is lost.
#[test_case(false; "before the head")]
#[test_case(true; "in the body")]
fn notice_comes_before_the_channel_closes(head_first: bool) {
    let (server, requests, outcomes) = WritingIntake::start(head_first);
    let mut client = Client::connect(server.address());
    client.send(get("/x", ""));
    requests.recv_timeout(LIMIT).expect("a request");
    drop(client);
    assert_eq!(outcomes.recv_timeout(LIMIT).expect("a notice"), Ok(()));
    server.close();
}

/// Guards against async tasks that block or lose a piece when the caller reads slowly.
#[test]
fn full_queue_takes_no_more_pieces() {
    let fixture = Fixture::start(ServerSettings::default());
    let mut client = fixture.connect();
    client.send(get("/x", ""));
    let mut responder = fixture.next().responder;
    responder.head(200, &[]).expect("the caller waits");
    let piece = vec![b'x'; 1 << 20];
    let mut taken = 0;
    while responder.try_chunk(&piece) == Ok(true) {
        taken += 1;
    }
    assert_eq!(responder.try_chunk(&piece), Ok(false));
    responder.close();
    let answer = client.answer().expect("an answer");
    assert!(answer.complete);
    assert_eq!(answer.body.len(), taken << 20);
}
