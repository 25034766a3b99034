//! Property tests, with a fixed seed, that send random input to the server for callers and to
//! the path parser of the administration API.

mod support;

use jayreel_server::{AdminOperation, ServerSettings};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed, TestRunner};
use support::{Fixture, get};

fn config(cases: u32) -> Config {
    Config {
        cases,
        rng_seed: RngSeed::Fixed(20_261_204),
        failure_persistence: None,
        ..Config::default()
    }
}

/// Fragments of requests. Random sequences of them get further into the parsers than random
/// bytes.
fn part() -> impl Strategy<Value = Vec<u8>> {
    let fixed = prop::sample::select(vec![
        "GET ",
        "POST ",
        "/v1/chat/completions",
        "/../",
        "%2e%2e",
        " HTTP/1.1\r\n",
        "host: x\r\n",
        "content-length: 5\r\n",
        "transfer-encoding: chunked\r\n",
        "authorization: Bearer k\r\n",
        "jayreel-turn: ",
        "idempotency-key: \"",
        "\r\n",
        "5\r\nabcde\r\n",
        "0\r\n\r\n",
        "{\"model\":\"m\",\"messages\":[",
        "{}",
        "]}",
    ]);
    prop_oneof![
        8 => fixed.prop_map(|text| text.as_bytes().to_vec()),
        1 => prop::collection::vec(any::<u8>(), 0..8),
    ]
}

/// Guards against input that panics the thread of all connections, and against a path with
/// dot segments that reaches the handler.
#[test]
fn server_survives_random_input() {
    let fixture = Fixture::start(ServerSettings {
        head_timeout_ms: 20,
        body_idle_timeout_ms: 20,
        linger_ms: 20,
        ..ServerSettings::default()
    });
    let mut runner = TestRunner::new(config(300));
    let parts = prop::collection::vec(part(), 1..16);
    let outcome = runner.run(&parts, |parts| {
        let mut client = fixture.connect();
        // The server may respond and close before all parts are written.
        let _ = std::io::Write::write_all(&mut client.stream, &parts.concat());
        let mut probe = fixture.connect();
        probe.send(get("/healthz", ""));
        prop_assert_eq!(
            probe.read_response().map(|response| response.status),
            Some(200)
        );
        while let Some(request) = fixture.try_next_request() {
            prop_assert!(!request.path.contains("/../"), "{}", request.path);
        }
        Ok(())
    });
    outcome.expect("no input stops the server");
}

proptest! {
    #![proptest_config(config(1_000))]

    /// Guards against record names that would address another key in the store.
    #[test]
    fn admin_names_cannot_escape_their_store_prefix(
        method in prop::sample::select(vec!["GET", "PUT", "DELETE", "POST"]),
        path in "/admin/v1/(profiles|keys|instances)/[a-c./%]{0,6}(/forget)?",
    ) {
        match jayreel_server::admin::parse(method, &path) {
            Ok(AdminOperation::Get(_, name)
                | AdminOperation::Put(_, name)
                | AdminOperation::Delete(_, name)
                | AdminOperation::ForgetInstance(name)) => {
                prop_assert!(!name.contains(['/', '%']) && !name.starts_with('.'));
                prop_assert!(!name.is_empty());
            }
            Ok(other) => prop_assert!(false, "{path} is {other:?}"),
            Err(_) => {}
        }
    }
}
