//! Tests of loading and unloading models and adapters in the engine by order.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

use jayreel_standin::{Engine, EngineSettings};
use serde_json::{Value, json};
use test_case::test_case;

/// Limit for reads and waits, far above what they take when the engine works.
const TIMEOUT: Duration = Duration::from_secs(60);

/// Starts an engine that reports its models and has loaded `m`, without a known version.
fn start_engine(settings: EngineSettings) -> Engine {
    let address: SocketAddr = "127.0.0.1:0".parse().unwrap();
    Engine::start(
        address,
        EngineSettings {
            models: vec!["m".to_string()],
            reports_models: true,
            ..settings
        },
    )
    .unwrap()
}

/// Sends a request and returns the status and the JSON of its response.
fn send_request(engine: &Engine, method: &str, path: &str, body: &Value) -> (u16, Value) {
    let mut stream = TcpStream::connect(engine.address()).unwrap();
    stream.set_read_timeout(Some(TIMEOUT)).unwrap();
    let body = body.to_string();
    let length = body.len();
    write!(
        stream,
        "{method} {path} HTTP/1.1\r\nhost: e\r\nconnection: close\r\n\
         content-length: {length}\r\n\r\n{body}"
    )
    .unwrap();
    let mut text = String::new();
    stream.read_to_string(&mut text).unwrap();
    let status = text.split(' ').nth(1).unwrap().parse().unwrap();
    let body = text.split_once("\r\n\r\n").unwrap().1;
    (status, serde_json::from_str(body).unwrap())
}

/// Sends an order about a version of `m` and returns the status.
fn submit_order(engine: &Engine, fencing: u64, kind: &str, version: &str) -> u16 {
    let order = json!({ "kind": kind, "model": "m", "version": version });
    let body = json!({ "fencing": fencing, "order": order });
    send_request(engine, "POST", "/orders", &body).0
}

/// Sends a completion call for `model` and returns the status.
fn complete(engine: &Engine, model: &str) -> u16 {
    let message = json!({ "role": "user", "content": "x" });
    let body = json!({ "model": model, "messages": [message], "max_tokens": 1 });
    send_request(engine, "POST", "/v1/chat/completions", &body).0
}

/// The versions of all models in the report.
fn reported_versions(engine: &Engine) -> Vec<Value> {
    let report = send_request(engine, "GET", "/models", &Value::Null).1;
    let models = report["models"].as_array().unwrap();
    models
        .iter()
        .map(|model| model["version"].clone())
        .collect()
}

/// Guards against an engine that accepts calls before their model is completely loaded.
/// Other tests would then not notice a call that is sent too early.
#[test]
fn calls_are_rejected_until_loaded() {
    let engine = start_engine(EngineSettings {
        load_ms: 300,
        ..EngineSettings::default()
    });
    let adapter = json!({ "kind": "load_adapter", "model": "m", "adapter": "a" });
    let body = json!({ "fencing": 1, "order": adapter });
    assert_eq!(send_request(&engine, "POST", "/orders", &body).0, 200);
    let state = || engine.models()["adapters"][0]["state"].clone();
    assert_eq!(state(), "loading");
    assert_eq!(complete(&engine, "a"), 404);
    let deadline = Instant::now() + TIMEOUT;
    while state() != "loaded" {
        assert!(Instant::now() < deadline, "the adapter was not loaded");
        std::thread::sleep(Duration::from_millis(10));
    }
    assert_eq!(complete(&engine, "a"), 200);
    engine.close();
}

/// Guards against an engine that hides the effect of an order with an old fencing number:
/// with fencing checks it must reject the order, without them apply and report it.
#[test_case(true, 409, &["3"], 8; "checked")]
#[test_case(false, 200, &["3", "1"], 5; "ignored")]
fn order_with_old_fencing_number(
    checks_fencing: bool,
    status: u16,
    versions: &[&str],
    last_fencing: u64,
) {
    let engine = start_engine(EngineSettings {
        checks_fencing,
        ..EngineSettings::default()
    });
    let unload = json!({ "kind": "unload_model", "model": "m", "version": null });
    let body = json!({ "fencing": 7, "order": unload });
    assert_eq!(send_request(&engine, "POST", "/orders", &body).0, 200);
    assert_eq!(complete(&engine, "m"), 404);
    assert_eq!(submit_order(&engine, 8, "load_model", "3"), 200);
    assert_eq!(submit_order(&engine, 5, "load_model", "1"), status);
    assert_eq!(reported_versions(&engine), versions);
    assert_eq!(engine.models()["fencing"], last_fencing);
    assert_eq!(complete(&engine, "m"), 200);
    engine.close();
}
