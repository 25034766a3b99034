//! Invalid, oversized and slow requests get an error response and never reach the handler.

mod support;

use std::net::Shutdown;

use jayreel_server::ServerSettings;
use support::{CHAT, Fixture, get, post};
use test_case::test_case;

/// A small body limit and short timeouts, which are easy to exceed.
fn settings() -> ServerSettings {
    ServerSettings {
        max_body_bytes: 1_000,
        head_timeout_ms: 50,
        body_idle_timeout_ms: 50,
        ..ServerSettings::default()
    }
}

/// Sends `bytes` and checks status and error code of the response.
fn expect_error(bytes: &[u8], status: u16, code: &str) {
    let fixture = Fixture::start(settings());
    let mut client = fixture.connect();
    client.send(bytes);
    let response = client.read_response().expect("a response");
    let text = response.text();
    assert_eq!(response.status, status, "{text}");
    assert!(text.contains(&format!("\"code\":\"{code}\"")), "{text}");
    assert!(text.contains("\"ran\":\"no\""), "{text}");
    assert!(
        fixture.try_next_request().is_none(),
        "it reached the handler"
    );
    let handler = fixture.handler.clone();
    fixture.server.close();
    assert_eq!(handler.disconnected(), Vec::new());
}

fn chat(body: &str) -> String {
    post("/v1/chat/completions", "", body)
}

#[test_case("not json"; "not json")]
#[test_case(r#"{"messages":[{"role":"user"}]}"#; "no model")]
#[test_case(r#"{"model":"m"}"#; "no messages")]
#[test_case(r#"{"model":"m","messages":[]}"#; "empty messages")]
#[test_case(r#"{"model":"m","messages":[7]}"#; "message is a number")]
#[test_case(r#"{"model":"m","messages":[{}],"n":2}"#; "several choices")]
#[test_case(r#"{"model":"m","messages":[{}],"max_tokens":0}"#; "zero tokens")]
#[test_case(r#"{"model":"m","messages":[{}],"max_tokens":-1}"#; "negative tokens")]
#[test_case(r#"{"model":"m","messages":[{}],"max_tokens":1,"max_tokens":9}"#; "twice")]
fn bad_chat_body(body: &str) {
    expect_error(chat(body).as_bytes(), 400, "invalid_request");
}

#[test_case("jayreel-turn: +1"; "turn with a sign")]
#[test_case("jayreel-turn: 99999999999"; "turn out of range")]
#[test_case("jayreel-turn: 1\r\njayreel-turn: 2"; "turn twice")]
#[test_case("jayreel-profile: \u{e9}"; "profile not ASCII")]
#[test_case("jayreel-epoch:"; "empty epoch")]
#[test_case("idempotency-key: \"open"; "open quote")]
fn bad_header(header: &str) {
    let request = get("/x", &format!("{header}\r\n"));
    expect_error(request.as_bytes(), 400, "invalid_request");
}

#[test_case("Basic abc"; "other scheme")]
#[test_case("Bearer"; "no key")]
#[test_case("Bearer a b"; "two words")]
fn bad_authorization(value: &str) {
    let request = get("/x", &format!("authorization: {value}\r\n"));
    expect_error(request.as_bytes(), 401, "invalid_key");
}

#[test_case("/open/../closed"; "plain")]
#[test_case("/open/%2E%2e/closed"; "encoded dots")]
#[test_case("/open/..%2fclosed"; "encoded slash")]
#[test_case("/open/..%5Cclosed"; "encoded backslash")]
#[test_case("/open/..;/closed"; "path parameter")]
fn dot_segments(path: &str) {
    expect_error(get(path, "").as_bytes(), 400, "invalid_request");
}

/// Guards against forwarding the customer key to an endpoint as a part of the path.
#[test]
fn key_in_path() {
    let request = get("/x?key=s3cret", "authorization: Bearer s3cret\r\n");
    expect_error(request.as_bytes(), 400, "invalid_request");
}

/// Guards against header values of unlimited length.
#[test]
fn long_header() {
    let request = get("/x", &format!("jayreel-profile: {}\r\n", "p".repeat(300)));
    expect_error(request.as_bytes(), 400, "invalid_request");
}

/// Guards against a parser that silently replaces invalid UTF-8.
#[test]
fn bad_utf8() {
    let mut request = chat(CHAT).into_bytes();
    let at = request.len() - 6;
    request[at] = 0xff;
    expect_error(&request, 400, "invalid_request");
}

/// Guards against resetting the connection while the caller still sends its body, which would
/// hide the response that the body is too large.
#[test_case(&post("/x", "", &"b".repeat(1_001)); "declared")]
#[test_case("POST /x HTTP/1.1\r\nhost: x\r\ncontent-length: 99999999\r\n\r\nab"; "far")]
#[test_case(&chunked(&"b".repeat(1_001)); "chunked")]
fn large_body(request: &str) {
    expect_error(request.as_bytes(), 413, "body_too_large");
}

fn chunked(body: &str) -> String {
    let size = body.len();
    format!(
        "POST /x HTTP/1.1\r\nhost: x\r\ntransfer-encoding: chunked\r\n\r\n\
         {size:x}\r\n{body}\r\n0\r\n\r\n"
    )
}

/// Guards against treating a body with malformed chunk framing as complete.
#[test]
fn bad_chunking() {
    let request =
        "POST /x HTTP/1.1\r\nhost: x\r\ntransfer-encoding: chunked\r\n\r\nzz\r\n";
    expect_error(request.as_bytes(), 400, "invalid_request");
}

/// Guards against treating a truncated body as complete.
#[test]
fn truncated_body() {
    let fixture = Fixture::start(settings());
    let mut client = fixture.connect();
    client.send("POST /x HTTP/1.1\r\nhost: x\r\ncontent-length: 10\r\n\r\nabc");
    client.stream.shutdown(Shutdown::Write).expect("a shutdown");
    if let Some(response) = client.read_response() {
        assert_eq!(response.status, 400, "{}", response.text());
    }
    fixture.server.close();
}

/// Guards against request heads of unlimited size.
#[test]
fn large_head() {
    let fixture = Fixture::start(settings());
    let mut client = fixture.connect();
    let request = get("/x", &format!("x-long: {}\r\n", "v".repeat(40_000)));
    client.send(request);
    let response = client.read_response().expect("a response");
    assert_eq!(response.status, 431);
    assert!(response.complete && response.text().contains("\"ran\":\"no\""));
    assert!(
        fixture.try_next_request().is_none(),
        "it reached the handler"
    );
}

/// Guards against a response without a JSON body to a malformed head.
#[test_case("NOT A REQUEST\r\n\r\n"; "no request line")]
#[test_case("GET /x HTTP/1.1\r\nbad header\r\n\r\n"; "header without colon")]
#[test_case("GET /x HTTP/9.9\r\n\r\n"; "other version")]
#[test_case("PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n"; "preface of another protocol")]
fn malformed_head(request: &str) {
    expect_error(request.as_bytes(), 400, "invalid_request");
}

/// Guards against losing or corrupting a response when the next head on the same connection
/// is malformed.
#[test]
fn malformed_head_after_a_response() {
    let fixture = Fixture::start(settings());
    let mut client = fixture.connect();
    client.send(get("/healthz", ""));
    assert_eq!(client.read_response().expect("a response").status, 200);
    client.send("NOT A REQUEST\r\n\r\n");
    assert_eq!(client.read_response().expect("a response").status, 400);
    assert!(client.is_closed());
    fixture.server.close();
}

/// Guards against callers that occupy a connection with an unfinished head.
#[test]
fn slow_head() {
    let fixture = Fixture::start(settings());
    let mut client = fixture.connect();
    client.send("G");
    let response = client.read_response().expect("a response");
    assert_eq!(response.status, 408);
    assert!(response.complete && response.text().contains("request_timeout"));
    assert!(client.is_closed());
}

/// Guards against callers that occupy a connection with an unfinished body.
#[test]
fn slow_body() {
    let request = "POST /x HTTP/1.1\r\nhost: x\r\ncontent-length: 10\r\n\r\nabc";
    expect_error(request.as_bytes(), 408, "request_timeout");
}

/// Guards against connections that stay open without a request.
#[test]
fn idle_connection_is_closed() {
    let fixture = Fixture::start(ServerSettings {
        keep_alive_timeout_ms: 50,
        ..ServerSettings::default()
    });
    assert!(fixture.connect().is_closed());
}

/// Guards against many bodies that exhaust memory together although each is within its own
/// limit, and against reservations that are not released when a call ends.
#[test]
fn held_bodies_are_bounded() {
    let fixture = Fixture::start(ServerSettings {
        max_held_body_bytes: 1_500,
        ..settings()
    });
    let body = "b".repeat(1_000);
    let mut first = fixture.connect();
    first.send(post("/x", "", &body));
    let mut held = fixture.next_request();
    let mut second = fixture.connect();
    second.send(post("/x", "", &body));
    let response = second.read_response().expect("a response");
    assert_eq!(response.status, 503);
    assert_eq!(response.header("retry-after"), Some("1"));
    held.responder.head(200, &[]).expect("the caller waits");
    held.responder.close();
    first.read_response().expect("a response");
    first.send(post("/x", "", &body));
    fixture.next_request();
}

/// Guards against a reset that makes a caller, which is still sending, lose the response.
#[test]
fn response_reaches_a_caller_that_still_sends() {
    let fixture = Fixture::start(ServerSettings {
        linger_ms: 20_000,
        ..settings()
    });
    let mut client = fixture.connect();
    client.send(post("/x", "", &"b".repeat(16 << 20)));
    assert_eq!(client.read_response().expect("a response").status, 413);
}
