//! Requests and responses are forwarded unchanged.

mod support;

use jayreel_endpoint::CallRequest;
use support::{call, endpoint, request};
use test_case::test_case;

/// A complete response.
const OK: &str = "HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok";

/// Guards against headers that ureq adds, credentials that reach an endpoint, and bodies that
/// are dropped with some methods.
#[test_case("GET", b"", &[]; "get")]
#[test_case("GET", b"query", &["content-length: 5"]; "get with a body")]
#[test_case("POST", b"", &["content-length: 0"]; "post without a body")]
#[test_case("POST", b"abc", &["content-length: 3"]; "post")]
#[test_case("DELETE", b"abc", &["content-length: 3"]; "delete with a body")]
#[test_case("PATCH", b"abc", &["content-length: 3"]; "patch")]
#[test_case("OPTIONS", b"", &[]; "options")]
#[test_case("PROPFIND", b"abc", &["content-length: 3"]; "non-standard method")]
fn request_is_forwarded_unchanged(method: &str, body: &[u8], framing: &[&str]) {
    let endpoint = endpoint(|connection| {
        let request = connection.read_request();
        connection.send(OK);
        request
    });
    let header = |name: &str, value: &str| (name.to_string(), value.to_string());
    let (outcome, record) = call(&CallRequest {
        method: method.to_string(),
        path: "/a%20b?c=d&e".to_string(),
        headers: vec![header("x-a", "1"), header("Authorization", "Bearer k")],
        body: body.to_vec(),
        ..request(endpoint.address)
    });
    assert_eq!(outcome, Ok(()));
    assert!(record.sent);
    let text = endpoint.report().expect("a request");
    let (head, sent) = text.split_once("\r\n\r\n").expect("a head");
    let mut lines: Vec<String> = head.lines().map(str::to_lowercase).collect();
    let first = format!("{method} /a%20b?c=d&e HTTP/1.1").to_lowercase();
    assert_eq!(lines.remove(0), first);
    lines.sort();
    let mut expected = vec![format!("host: {}", endpoint.address), "x-a: 1".to_string()];
    expected.extend(framing.iter().map(|line| line.to_string()));
    expected.sort();
    assert_eq!(lines, expected);
    assert_eq!(sent.as_bytes(), body);
}

/// Guards against a response that ureq decodes or acts on, such as a redirect.
#[test]
fn response_is_forwarded_unchanged() {
    let endpoint = endpoint(|connection| {
        connection.read_request();
        connection.send(
            "HTTP/1.1 302 Found\r\nlocation: /elsewhere\r\ncontent-encoding: gzip\r\n\
             transfer-encoding: chunked\r\nconnection: close, x-hop\r\nx-hop: 1\r\n\
             set-cookie: a\r\nset-cookie: b\r\n\r\n3\r\nnot\r\n5\r\n gzip\r\n0\r\n\r\n",
        );
        connection.wait_closed()
    });
    let (outcome, record) = call(&request(endpoint.address));
    assert_eq!(outcome, Ok(()));
    assert_eq!(record.status(), 302);
    assert_eq!(record.body, b"not gzip");
    let names: Vec<&str> = record
        .head
        .iter()
        .flat_map(|head| &head.headers)
        .map(|(name, _)| name.as_str())
        .collect();
    let expected = ["location", "content-encoding", "set-cookie", "set-cookie"];
    assert_eq!(names, expected);
    assert_eq!(endpoint.report(), 0, "the redirect was followed");
}

/// Guards against an error response that is reported as a failed call. The caller would not see
/// its body.
#[test]
fn error_response_is_forwarded() {
    let endpoint = endpoint(|connection| {
        connection.read_request();
        connection
            .send("HTTP/1.1 503 Busy\r\nretry-after: 3\r\ncontent-length: 4\r\n\r\nwait");
    });
    let (outcome, record) = call(&request(endpoint.address));
    assert_eq!(outcome, Ok(()));
    assert_eq!(
        (record.status(), record.body.as_slice()),
        (503, &b"wait"[..])
    );
    assert_eq!(record.header("retry-after"), Some("3"));
}

/// Guards against waiting for a body that such a response does not have.
#[test_case("HEAD", "HTTP/1.1 200 OK\r\ncontent-length: 9\r\n\r\n"; "head")]
#[test_case("GET", "HTTP/1.1 204 No Content\r\n\r\n"; "no content")]
#[test_case("GET", "HTTP/1.1 304 Not Modified\r\ncontent-length: 9\r\n\r\n"; "not modified")]
fn response_without_body(method: &str, response: &'static str) {
    let endpoint = endpoint(move |connection| {
        connection.read_request();
        connection.send(response);
        connection.wait_closed()
    });
    let (outcome, record) = call(&CallRequest {
        method: method.to_string(),
        body: Vec::new(),
        ..request(endpoint.address)
    });
    assert_eq!(outcome, Ok(()));
    assert_eq!(record.body, b"");
}

/// Guards against a 1xx response that is treated as the final one.
#[test_case("HTTP/1.1 100 Continue\r\n\r\n"; "continue")]
#[test_case("HTTP/1.1 103 Early Hints\r\nlink: </a>\r\n\r\n"; "early hints")]
fn interim_response_is_skipped(interim: &'static str) {
    let endpoint = endpoint(move |connection| {
        connection.read_request();
        connection.send(interim);
        connection.send(OK);
    });
    let (outcome, record) = call(&request(endpoint.address));
    assert_eq!(outcome, Ok(()));
    assert_eq!((record.status(), record.body.as_slice()), (200, &b"ok"[..]));
}

/// Guards against bodies that are truncated at the size of a buffer, in either direction.
#[test]
fn large_bodies_are_forwarded() {
    let endpoint = endpoint(|connection| {
        let request = connection.read_request().expect("a request");
        let body = "y".repeat(3_000_000);
        let length = body.len();
        connection.send(&format!(
            "HTTP/1.1 200 OK\r\ncontent-length: {length}\r\n\r\n{body}"
        ));
        request.len()
    });
    let (outcome, record) = call(&CallRequest {
        body: vec![b'x'; 200_000],
        ..request(endpoint.address)
    });
    assert_eq!(outcome, Ok(()));
    assert_eq!(record.body.len(), 3_000_000);
    assert!(endpoint.report() > 200_000);
}
