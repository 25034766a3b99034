//! Valid requests of callers: how they are passed to the handler, and the form of refusals.

mod support;

use jayreel_model::{Refusal, RefusalReason};
use jayreel_server::{Operation, ServerSettings};
use support::{CHAT, Fixture, get, post};

/// Guards against forwarding a key, another credential, a hop-by-hop header or a `Jayreel-`
/// header to an endpoint.
#[test]
fn credentials_are_not_forwarded() {
    let fixture = Fixture::start(ServerSettings::default());
    let mut client = fixture.connect();
    let headers = "authorization: Bearer s3cret\r\ncookie: a=b\r\nx-api-key: k\r\n\
        jayreel-profile: fast\r\nconnection: keep-alive, x-hop\r\nx-hop: 1\r\n\
        x-copy: the s3cret again\r\nx-kept: yes\r\nte: trailers\r\n";
    client.send(post("/tools/run?a=1", headers, "body"));
    let request = fixture.next_request();
    assert_eq!(request.headers.key.as_deref(), Some("s3cret"));
    assert_eq!(request.headers.profile.as_deref(), Some("fast"));
    let kept = vec![("x-kept".to_string(), "yes".to_string())];
    assert_eq!(request.passed_headers, kept);
    assert_eq!(request.path, "/tools/run?a=1");
    assert_eq!(request.body, b"body");
    assert_eq!(request.operation, Operation::Service);
}

/// Guards against re-encoding the body, which would lose unknown fields, and against asking
/// the engine for a compressed response, which the token usage could not be read from.
#[test]
fn chat_body_is_unchanged() {
    let fixture = Fixture::start(ServerSettings::default());
    let body = r#"{ "x_new":{"a":[1]}, "model":"m","max_tokens":9,"stream":true,
        "messages":[{"role":"user","content":"hi"}] }"#;
    let headers = "accept-encoding: gzip\r\n";
    let mut client = fixture.connect();
    client.send(post("/v1/chat/completions", headers, body));
    let request = fixture.next_request();
    assert_eq!(request.body, body.as_bytes());
    assert_eq!(request.passed_headers, Vec::new());
    let Operation::ChatCompletion(params) = request.operation else {
        panic!("not a chat completion");
    };
    assert_eq!((params.model.as_str(), params.stream), ("m", true));
    assert_eq!(params.max_tokens, Some(9));
    assert_eq!(params.prompt_bound_tokens, 6 + 2 * 16);
    assert_eq!(params.prefix_hashes.len(), 1);
}

/// Guards against `Jayreel-` headers and idempotency keys that are lost or misparsed.
#[test]
fn program_headers_are_parsed() {
    let fixture = Fixture::start(ServerSettings::default());
    let headers = "jayreel-program: t1\r\njayreel-parent: t0\r\njayreel-turn: 7\r\n\
        jayreel-epoch: a.1\r\njayreel-history: 00ff\r\nidempotency-key: \"k-1\"\r\n";
    let mut client = fixture.connect();
    client.send(post("/v1/chat/completions", headers, CHAT));
    let headers = fixture.next_request().headers;
    assert_eq!(headers.program.as_deref(), Some("t1"));
    assert_eq!(headers.parent.as_deref(), Some("t0"));
    assert_eq!(headers.turn, Some(7));
    assert_eq!(headers.epoch.as_deref(), Some("a.1"));
    assert_eq!(headers.history.as_deref(), Some("00ff"));
    assert_eq!(headers.idempotency_key.as_deref(), Some("k-1"));
}

/// Guards against requests that are mapped to the wrong operation.
#[test]
fn paths_map_to_operations() {
    let fixture = Fixture::start(ServerSettings::default());
    let mut client = fixture.connect();
    client.send(post("/v1/programs", "", r#"{"budget_tokens":5}"#));
    let request = fixture.next_request();
    let budget_tokens = Some(5);
    assert_eq!(request.operation, Operation::OpenProgram { budget_tokens });
    request
        .responder
        .refuse(&Refusal::not_run(RefusalReason::NotReady, "later"));
    client.read_response().expect("a response");
    client.send("DELETE /v1/programs/abc HTTP/1.1\r\nhost: x\r\n\r\n");
    let token = "abc".to_string();
    assert_eq!(
        fixture.next_request().operation,
        Operation::CloseProgram { token }
    );
    let mut client = fixture.connect();
    client.send(get("/v1/models", ""));
    assert_eq!(fixture.next_request().operation, Operation::ListModels);
}

/// Guards against rounding `Retry-After` down to whole seconds, which makes retries come too
/// early, and against refusals whose headers or JSON body differ from the documented ones.
#[test]
fn refusal_is_encoded_as_json_error() {
    let fixture = Fixture::start(ServerSettings::default());
    let mut client = fixture.connect();
    client.send(get("/x", ""));
    let request = fixture.next_request();
    let refusal = Refusal::not_run(RefusalReason::RateExceeded, "slow down");
    request.responder.refuse(&refusal.retry_after_ms(1_001));
    let response = client.read_response().expect("a response");
    assert_eq!(response.status, 429);
    assert_eq!(response.header("retry-after"), Some("2"));
    assert_eq!(response.header("content-type"), Some("application/json"));
    let id = request.id.to_string();
    assert_eq!(response.header("jayreel-request"), Some(id.as_str()));
    let body: serde_json::Value =
        serde_json::from_slice(&response.body).expect("a JSON body");
    let expected = serde_json::json!({"error": {
        "type": "rate_limit_error", "code": "rate_exceeded", "message": "slow down",
        "request_id": id, "ran": "no",
    }});
    assert_eq!(body, expected);
}

/// Guards against losing or changing a body that is large enough to be parsed on another
/// thread.
#[test]
fn large_chat_body_is_parsed() {
    let fixture = Fixture::start(ServerSettings::default());
    let text = "word ".repeat(100_000);
    let body =
        format!(r#"{{"model":"m","messages":[{{"role":"user","content":"{text}"}}]}}"#);
    let mut client = fixture.connect();
    client.send(post("/v1/chat/completions", "", &body));
    let request = fixture.next_request();
    assert_eq!(request.body.len(), body.len());
    let Operation::ChatCompletion(params) = request.operation else {
        panic!("not a chat completion");
    };
    assert_eq!(params.prompt_bound_tokens, 500_004 + 2 * 16);
}
