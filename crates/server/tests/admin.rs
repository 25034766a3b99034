//! The server and the paths of the administration API, and the metrics.

mod support;

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};

use jayreel_model::{ClassOfService, KeyHash, RefusalReason};
use jayreel_server::{
    AdminError, AdminErrorKind, AdminHandler, AdminKey, AdminOperation, AdminRequest,
    AdminResource, AdminResponse, AdminServer, AdminSettings, ExpectedVersion, Metrics,
    ServerSettings,
};
use prometheus::Registry;
use support::{Client, Response, TIMEOUT};
use test_case::test_case;

/// Records requests. Returns version 7, or a version mismatch for the profile `taken`.
#[derive(Default)]
struct Recorder(Mutex<Vec<AdminRequest>>);

impl AdminHandler for Recorder {
    fn handle(&self, request: AdminRequest) -> Result<AdminResponse, AdminError> {
        let taken = AdminOperation::Put(AdminResource::Profiles, "taken".to_string());
        let refuse = request.operation == taken;
        self.0.lock().expect("no panic").push(request);
        match refuse {
            true => Err(AdminError::new(AdminErrorKind::VersionMismatch, "newer")),
            false => Ok(AdminResponse {
                status: 200,
                version: Some(7),
                body: b"{}".to_vec(),
            }),
        }
    }
}

fn start(open_metrics: bool, registry: Registry) -> (AdminServer, Arc<Recorder>) {
    let recorder = Arc::new(Recorder::default());
    let key = |name: &str, key: &str| AdminKey {
        name: name.to_string(),
        hash: KeyHash::of_key(key),
    };
    let settings = AdminSettings {
        keys: vec![key("anna", "first"), key("binh", "second")],
        open_metrics,
        limits: ServerSettings {
            linger_ms: 100,
            max_body_bytes: 1_000,
            ..ServerSettings::default()
        },
    };
    let address = "127.0.0.1:0".parse().expect("an address");
    let server = AdminServer::start(address, settings, registry, recorder.clone())
        .expect("the server starts");
    (server, recorder)
}

fn send_request(address: SocketAddr, line: &str, headers: &str, body: &str) -> Response {
    let mut client = Client::connect(address);
    let length = body.len();
    client.send(format!(
        "{line} HTTP/1.1\r\nhost: x\r\ncontent-length: {length}\r\n{headers}\r\n{body}"
    ));
    client.read_response().expect("a response")
}

const KEY: &str = "authorization: Bearer second\r\n";

/// Guards against handling requests without a valid operator key.
#[test_case(""; "no key")]
#[test_case("authorization: Bearer third\r\n"; "unknown key")]
#[test_case("authorization: Basic second\r\n"; "other scheme")]
fn valid_key_is_required(headers: &str) {
    let (server, recorder) = start(false, Registry::new());
    for line in ["GET /admin/v1/status", "GET /metrics", "GET /nothing"] {
        let response = send_request(server.address(), line, headers, "");
        assert_eq!(response.status, 401, "{line}");
        assert_eq!(response.header("www-authenticate"), Some("Bearer"));
    }
    assert!(recorder.0.lock().expect("no panic").is_empty());
    server.close(Some(TIMEOUT));
}

/// Guards against losing the expected version of a change, so that concurrent changes could
/// overwrite each other.
#[test]
fn expected_version_reaches_the_handler() {
    let (server, recorder) = start(false, Registry::new());
    let put = "PUT /admin/v1/profiles/fast";
    let headers = format!("{KEY}if-match: \"41\"\r\n");
    let response = send_request(server.address(), put, &headers, "{\"a\":1}");
    assert_eq!(
        (response.status, response.header("etag")),
        (200, Some("\"7\""))
    );
    let headers = format!("{KEY}if-none-match: *\r\n");
    send_request(server.address(), put, &headers, "{}");
    let requests = recorder.0.lock().expect("no panic").clone();
    assert_eq!(requests[0].operator, "binh");
    assert_eq!(requests[0].expected, Some(ExpectedVersion::Is(41)));
    assert_eq!(requests[0].body, b"{\"a\":1}");
    assert_eq!(requests[1].expected, Some(ExpectedVersion::Absent));
    let mismatch =
        send_request(server.address(), "PUT /admin/v1/profiles/taken", KEY, "{}");
    assert_eq!(mismatch.status, 412);
    assert!(mismatch.text().contains("\"code\":\"version_mismatch\""));
    server.close(Some(TIMEOUT));
}

/// Guards against treating a malformed condition as no condition.
#[test_case("if-match: 41"; "no quotes")]
#[test_case("if-match: *"; "any")]
#[test_case("if-match: \"+1\""; "sign")]
#[test_case("if-match: \"-1\""; "negative")]
#[test_case("if-match: \"1\"\r\nif-none-match: *"; "both")]
#[test_case("if-none-match: \"1\""; "other than a version")]
fn malformed_condition_is_refused(header: &str) {
    let (server, recorder) = start(false, Registry::new());
    let headers = format!("{KEY}{header}\r\n");
    let line = "DELETE /admin/v1/routes/a";
    assert_eq!(
        send_request(server.address(), line, &headers, "").status,
        400
    );
    assert!(recorder.0.lock().expect("no panic").is_empty());
    server.close(Some(TIMEOUT));
}

/// Guards against bodies of unlimited size on the administration listener.
#[test]
fn large_body() {
    let (server, _recorder) = start(false, Registry::new());
    let body = "x".repeat(1_001);
    let line = "PUT /admin/v1/routes/a";
    assert_eq!(send_request(server.address(), line, KEY, &body).status, 413);
    server.close(Some(TIMEOUT));
}

/// Guards against paths that map to an operation other than the documented one.
#[test]
fn paths_map_to_operations() {
    let parse = jayreel_server::admin::parse;
    let name = || "a-1".to_string();
    let kinds = [
        ("customers", AdminResource::Customers),
        ("endpoints", AdminResource::Endpoints),
        ("keys", AdminResource::Keys),
        ("profiles", AdminResource::Profiles),
        ("routes", AdminResource::Routes),
    ];
    for (kind, resource) in kinds {
        let list = format!("/admin/v1/{kind}");
        let one = format!("/admin/v1/{kind}/a-1");
        assert_eq!(parse("GET", &list), Ok(AdminOperation::List(resource)));
        let get = AdminOperation::Get(resource, name());
        assert_eq!(parse("GET", &one), Ok(get));
        let put = AdminOperation::Put(resource, name());
        assert_eq!(parse("PUT", &one), Ok(put));
        let delete = AdminOperation::Delete(resource, name());
        assert_eq!(parse("DELETE", &one), Ok(delete));
    }
    assert_eq!(
        parse("POST", "/admin/v1/keys"),
        Ok(AdminOperation::IssueKey)
    );
    let forget = AdminOperation::ForgetInstance(name());
    assert_eq!(parse("POST", "/admin/v1/instances/a-1/forget"), Ok(forget));
    assert_eq!(parse("GET", "/admin/v1/status"), Ok(AdminOperation::Status));
}

/// Guards against names that would address another key in the store, and against methods that
/// a path does not support.
#[test_case("GET", "/admin/v1/profiles/..", AdminErrorKind::Invalid; "dots")]
#[test_case("GET", "/admin/v1/profiles/a%2Fb", AdminErrorKind::Invalid; "encoded")]
#[test_case("GET", "/admin/v1/profiles/", AdminErrorKind::Invalid; "empty name")]
#[test_case("GET", "/admin/v1/profiles/a/b", AdminErrorKind::NotFound; "too deep")]
#[test_case("GET", "/admin/v1/nothing", AdminErrorKind::NotFound; "unknown kind")]
#[test_case("GET", "/status", AdminErrorKind::NotFound; "no prefix")]
#[test_case("PUT", "/admin/v1/profiles", AdminErrorKind::MethodNotAllowed; "list")]
#[test_case("PATCH", "/admin/v1/keys/a", AdminErrorKind::MethodNotAllowed; "record")]
#[test_case("GET", "/admin/v1/instances/a/forget", AdminErrorKind::MethodNotAllowed; "get")]
fn invalid_path_is_refused(method: &str, path: &str, kind: AdminErrorKind) {
    let error = jayreel_server::admin::parse(method, path).expect_err("it is accepted");
    assert_eq!(error.kind, kind);
}

/// Guards against a new time series for each unknown customer name, and against series that
/// remain after their customer is removed.
#[test]
fn metrics_have_bounded_labels() {
    let registry = Registry::new();
    let metrics = Metrics::new(&registry).expect("the names are free");
    metrics.set_customers(["acme", "zeta"]);
    let class = ClassOfService::Interactive;
    for number in 0..100 {
        let name = format!("stranger-{number}");
        metrics.observe_call(&name, class, 10);
        metrics.count_refusal(RefusalReason::InvalidKey, Some(&name));
    }
    metrics.observe_waiting("acme", class, 1);
    metrics.observe_first_token("acme", class, 360);
    metrics.observe_call("zeta", class, 1_500);
    metrics.observe_program("acme", class, 60_000);
    metrics.count_refusal(RefusalReason::RateExceeded, Some("zeta"));
    metrics.set_running_calls(3);
    metrics.set_waiting_calls(4);
    let (server, _recorder) = start(true, registry);
    let text = send_request(server.address(), "GET /metrics", "", "").text();
    for line in [
        "jayreel_call_seconds_count{class=\"interactive\",customer=\"(other)\"} 100",
        "jayreel_call_seconds_sum{class=\"interactive\",customer=\"zeta\"} 1.5",
        "jayreel_call_first_token_seconds_bucket{class=\"interactive\",\
         customer=\"acme\",le=\"0.36\"} 1",
        "jayreel_program_seconds_sum{class=\"interactive\",customer=\"acme\"} 60",
        "jayreel_refusals_total{customer=\"(other)\",reason=\"invalid_key\"} 100",
        "jayreel_refusals_total{customer=\"zeta\",reason=\"rate_exceeded\"} 1",
        "jayreel_running_calls 3",
        "jayreel_waiting_calls 4",
    ] {
        assert!(text.contains(line), "no line {line} in {text}");
    }
    assert!(!text.contains("stranger"), "{text}");
    metrics.set_customers(["acme"]);
    let text = send_request(server.address(), "GET /metrics", "", "").text();
    assert!(text.contains("acme") && !text.contains("zeta"), "{text}");
    server.close(Some(TIMEOUT));
}
