//! Tests of the plain service: request counts, recorded headers and injected faults.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

use jayreel_standin::{Down, Faults, PlainService, ServiceSettings};

/// Limit for reads and waits, far above what they take when the server works.
const TIMEOUT: Duration = Duration::from_secs(30);

fn start_service() -> PlainService {
    let address: SocketAddr = "127.0.0.1:0".parse().unwrap();
    PlainService::start(address, ServiceSettings::default()).unwrap()
}

/// Sends a request and returns the whole response. An injected fault that closes the
/// connection shows as an error or as an empty response.
fn send_request(
    service: &PlainService,
    head: &str,
    body: &str,
) -> std::io::Result<String> {
    let mut stream = TcpStream::connect(service.address())?;
    stream.set_read_timeout(Some(TIMEOUT))?;
    let length = body.len();
    let end = format!("host: s\r\nconnection: close\r\ncontent-length: {length}\r\n\r\n");
    write!(stream, "{head}\r\n{end}{body}")?;
    let mut text = String::new();
    stream.read_to_string(&mut text)?;
    Ok(text)
}

/// Guards against repeated requests that are counted once, and against request headers
/// that are not recorded.
#[test]
fn requests_are_counted_by_tag_or_body() {
    let service = start_service();
    let tagged = "PATCH /any/path HTTP/1.1\r\nx-request-tag: a\r\nx-other: v";
    send_request(&service, tagged, "one").unwrap();
    send_request(&service, tagged, "two").unwrap();
    send_request(&service, "POST / HTTP/1.1", "b").unwrap();
    let runs = service.runs();
    assert_eq!((runs.counts["a"], runs.counts["b"]), (2, 1));
    assert_eq!(runs.headers["x-other"], ["v"]);
    let report = send_request(&service, "GET /standin/runs HTTP/1.1", "").unwrap();
    assert!(
        report.starts_with("HTTP/1.1 200") && report.contains("\"a\":2"),
        "{report}"
    );
    service.close();
}

/// Guards against `lose_answers` dropping the request itself: it must be handled, and only
/// its response be lost.
#[test]
fn request_with_lost_response_is_handled() {
    let service = start_service();
    service.faults().set(Faults {
        lose_answers: 1,
        ..Faults::default()
    });
    let response = send_request(&service, "POST / HTTP/1.1", "x").unwrap_or_default();
    assert_eq!(response, "");
    assert_eq!(service.runs().counts["x"], 1);
    service.close();
}

/// Guards against a server that is not reachable again at its address after it refused
/// connections. Guards also against one that handles requests while it closes connections,
/// or cannot be controlled over HTTP then.
#[test]
fn recovers_on_the_same_address() {
    let service = start_service();
    let faults = r#"{"down":"refuse","down_for_ms":200}"#;
    let response =
        send_request(&service, "POST /standin/faults HTTP/1.1", faults).unwrap();
    assert!(response.starts_with("HTTP/1.1 200"), "{response}");
    let deadline = Instant::now() + TIMEOUT;
    while send_request(&service, "POST / HTTP/1.1", "x")
        .unwrap_or_default()
        .is_empty()
    {
        assert!(Instant::now() < deadline, "the service is still down");
    }
    service.faults().set(Faults {
        down: Down::Close,
        ..Faults::default()
    });
    assert_eq!(
        send_request(&service, "POST / HTTP/1.1", "y").unwrap_or_default(),
        ""
    );
    assert!(!service.runs().counts.contains_key("y"));
    let faults = send_request(&service, "GET /standin/faults HTTP/1.1", "").unwrap();
    assert!(faults.contains("\"down\":\"close\""), "{faults}");
    service.close();
}

/// Guards against misspelt fault names that are silently ignored, so that a test would run
/// without its fault.
#[test]
fn unknown_fault_is_rejected() {
    let service = start_service();
    let response =
        send_request(&service, "POST /standin/faults HTTP/1.1", r#"{"lose":1}"#).unwrap();
    assert!(response.starts_with("HTTP/1.1 400"), "{response}");
    service.close();
}
