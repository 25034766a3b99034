//! Control requests to model engines: requests on the wire and the reading of responses.

mod support;

use jayreel_endpoint::{
    ControlError, EngineControl, EngineLoad, EngineOrder, HttpEndpointClient,
    OrderOutcome,
};
use jayreel_model::{LoadState, Ran};
use support::{Endpoint, endpoint};
use test_case::test_case;

/// An engine that gives one response and reports the request.
fn engine(status: &'static str, body: &'static str) -> Endpoint<Option<String>> {
    endpoint(move |connection| {
        let request = connection.read_request();
        let length = body.len();
        connection.send(&format!(
            "HTTP/1.1 {status}\r\ncontent-length: {length}\r\n\r\n{body}"
        ));
        request
    })
}

/// The request line of the request that the engine received.
fn request_line(engine: &Endpoint<Option<String>>) -> String {
    let request = engine.report().expect("a request");
    request.lines().next().expect("a line").to_string()
}

/// Guards against load and cache tags that are read from the wrong fields or paths.
#[test]
fn load_and_cache_tags_are_read() {
    let client = HttpEndpointClient::default();
    let loaded = engine("200 OK", r#"{"running":3,"waiting":1,"age_ms":40,"new":0}"#);
    let expected = EngineLoad {
        running: 3,
        waiting: 1,
        age_ms: 40,
    };
    assert_eq!(client.load(&loaded.address.to_string()), Ok(expected));
    let tagged = engine("200 OK", r#"{"tags":{"a.1-7":16,"b.2-8":32}}"#);
    let tags = client.cache_tags(&tagged.address.to_string());
    assert_eq!(tags, Ok(vec!["a.1-7".to_string(), "b.2-8".to_string()]));
    drop(client);
    assert_eq!(request_line(&loaded), "GET /load HTTP/1.1");
    assert_eq!(request_line(&tagged), "GET /cache HTTP/1.1");
}

/// Guards against a model that counts as loaded while the engine is still loading it.
#[test]
fn models_are_read() {
    let client = HttpEndpointClient::default();
    let engine = engine(
        "200 OK",
        r#"{"fencing":7,"models":[{"model":"m","version":"2","state":"loading"},
            {"model":"m","state":"loaded"}],
            "adapters":[{"model":"m","adapter":"a","state":"loaded"}]}"#,
    );
    let models = client.models(&engine.address.to_string()).unwrap();
    assert_eq!(models.fencing, 7);
    assert_eq!(models.models[0].version.as_deref(), Some("2"));
    assert_eq!(models.models[0].state, LoadState::Loading);
    assert_eq!(models.usable().collect::<Vec<_>>(), ["m", "a"]);
    drop(client);
    assert_eq!(request_line(&engine), "GET /models HTTP/1.1");
}

/// Guards against an unknown state that counts as loaded, and against an engine that does not
/// report models being treated as one without models.
#[test_case("404 Not Found", "{}"; "models are not reported")]
#[test_case("200 OK", r#"{"models":[{"model":"m","state":"new"}]}"#; "unknown state")]
fn bad_models_response_is_an_error(status: &'static str, body: &'static str) {
    let client = HttpEndpointClient::default();
    let engine = engine(status, body);
    assert!(client.models(&engine.address.to_string()).is_err());
}

/// Guards against a bad response being treated as an idle engine or an empty cache.
#[test_case("500 No", "{\"running\":0,\"waiting\":0,\"tags\":[]}"; "error status")]
#[test_case("200 OK", ""; "empty body")]
#[test_case("200 OK", "{}"; "missing fields")]
#[test_case("200 OK", "{\"running\":-1,\"waiting\":0,\"tags\":[1]}"; "wrong types")]
fn bad_response_is_an_error(status: &'static str, body: &'static str) {
    let client = HttpEndpointClient::default();
    let engine = engine(status, body);
    let address = engine.address.to_string();
    assert!(client.load(&address).is_err());
    assert!(client.cache_tags(&address).is_err());
}

/// Guards against a release that is retried forever for a tag that the engine no longer holds,
/// and against a failed release that counts as done.
#[test_case("204 No Content", true; "released")]
#[test_case("404 Not Found", false; "wrong path")]
#[test_case("503 Busy", false; "failed")]
fn release_succeeds_only_with_a_2xx_status(status: &'static str, is_released: bool) {
    let client = HttpEndpointClient::default();
    let engine = engine(status, "");
    let outcome = client.release_cache(&engine.address.to_string(), "a.1-7");
    assert_eq!(outcome.is_ok(), is_released);
    drop(client);
    assert_eq!(request_line(&engine), "DELETE /cache/a.1-7 HTTP/1.1");
}

/// Guards against a tag that reaches another path of the engine.
#[test]
fn tag_with_a_slash_is_rejected() {
    let client = HttpEndpointClient::default();
    let outcome = client.release_cache("127.0.0.1:1", "../orders");
    assert!(matches!(outcome, Err(ControlError::Malformed(_))));
}

/// Guards against an order without its fencing number, and against a superseded order that
/// counts as accepted.
#[test_case("202 Accepted", Ok(OrderOutcome::Accepted); "accepted")]
#[test_case("409 Conflict", Ok(OrderOutcome::Superseded); "superseded")]
#[test_case("500 No", Err(ControlError::Status(500)); "failed")]
fn order_is_fenced(status: &'static str, expected: Result<OrderOutcome, ControlError>) {
    let client = HttpEndpointClient::default();
    let engine = engine(status, "");
    let order = EngineOrder::LoadModel {
        model: "m".to_string(),
        version: Some("2".to_string()),
    };
    let outcome = client.send_order(&engine.address.to_string(), 41, &order);
    assert_eq!(outcome, expected);
    let request = engine.report().expect("a request");
    assert!(
        request.starts_with("POST /orders HTTP/1.1\r\n"),
        "{request}"
    );
    let body =
        r#"{"fencing":41,"order":{"kind":"load_model","model":"m","version":"2"}}"#;
    assert!(request.ends_with(body), "{request}");
}

/// Guards against an order that is reported as not accepted when only its response was lost.
#[test]
fn order_with_lost_response_may_have_run() {
    let engine = endpoint(|connection| connection.read_request().is_some());
    let client = HttpEndpointClient::default();
    let role = "decode".to_string();
    let order = EngineOrder::SetRole { role };
    let outcome = client.send_order(&engine.address.to_string(), 1, &order);
    let Err(ControlError::Call(failure)) = outcome else {
        panic!("expected a failed call, got {outcome:?}");
    };
    assert_eq!(failure.ran, Ran::Unknown);
}
