//! Changes of the models that an engine serves.
//!
//! An operator changes the endpoint record, and the instance that is responsible for the
//! engine sends it orders to load and unload models.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;

use jayreel_standin::{EngineSettings, Faults};
use serde_json::{Value, json};
use test_case::test_case;

use crate::util::caller::{Caller, Response};
use crate::util::fleet::{ALPHA_KEY, Fleet};
use crate::util::operator::operate;
use crate::util::wait_until;

/// How long the simulated engine takes to load a model.
const LOAD_MS: u64 = 500;

/// Starts two instances and an engine that loads models by order. `checks_fencing` says
/// whether the engine rejects orders with an older fencing number.
fn start_fleet(checks_fencing: bool) -> Fleet {
    let engine = EngineSettings {
        models: vec!["test-model".to_string()],
        reports_models: true,
        load_ms: LOAD_MS,
        checks_fencing,
        ..EngineSettings::default()
    };
    let fleet =
        Fleet::with_settings(2, engine, &[("endpoints", "load_interval_ms", "100")]);
    fleet.wait_connected();
    fleet
}

/// Changes the endpoint record of the engine and returns its new version.
fn change_endpoint(fleet: &Fleet, options: &[&str]) -> u64 {
    let mut args = vec!["endpoint", "change", "engine-0"];
    args.extend(options);
    let outcome = operate(fleet.admin(0), &args);
    assert_eq!(outcome.code, 0, "{outcome:?}");
    outcome.json["version"].as_u64().unwrap()
}

/// Sends a chat completion for `model`.
fn chat_with_model(caller: &Caller, to: SocketAddr, model: &str) -> Response {
    let message = json!({ "role": "user", "content": "hello" });
    let body = json!({ "model": model, "max_tokens": 8, "messages": [message] });
    let path = "/v1/chat/completions";
    caller
        .send(to, "POST", path, &[], &body.to_string())
        .unwrap()
}

/// The models and adapters that the engine has loaded, as `MODEL:VERSION` and
/// `ADAPTER@MODEL`.
fn loaded(fleet: &Fleet) -> Vec<String> {
    let report = fleet.engine.models();
    let names = |list: &str, text: fn(&Value) -> String| -> Vec<String> {
        let entries = report[list].as_array().unwrap().iter();
        let loaded = entries.filter(|entry| entry["state"] == "loaded");
        loaded.map(text).collect()
    };
    let mut all = names("models", |one| {
        let version = one["version"].as_str().unwrap_or("any");
        format!("{}:{version}", one["model"].as_str().unwrap())
    });
    all.extend(names("adapters", |one| {
        let (adapter, model) = (one["adapter"].as_str(), one["model"].as_str());
        format!("{}@{}", adapter.unwrap(), model.unwrap())
    }));
    all
}

// Guards against a model that an operator adds to an endpoint and the engine never loads,
// against calls that reach the engine before the load is complete, and against orders whose
// fencing number is not the revision of the endpoint record.
#[test]
fn engine_loads_and_unloads_what_the_operator_names() {
    let fleet = start_fleet(true);
    let caller = Caller::new(ALPHA_KEY);
    let options = ["--model", "test-model", "--model", "second-model"];
    let adapter = ["--adapter", "tuned=second-model"];
    let added = change_endpoint(&fleet, &[&options[..], &adapter].concat());
    for (index, model) in ["second-model", "tuned", "test-model"].iter().enumerate() {
        let response = chat_with_model(&caller, fleet.callers(index % 2), model);
        assert_eq!(response.status, 200, "{model}: {response:?}");
    }
    let all = ["test-model:any", "second-model:any", "tuned@second-model"];
    assert_eq!(loaded(&fleet), all);
    let orders = fleet.engine.orders();
    assert!(!orders.is_empty());
    let is_fenced = orders.iter().all(|(fencing, _)| *fencing == added);
    assert!(is_fenced, "{added}: {orders:?}");
    let removed = change_endpoint(&fleet, &["--model", "test-model"]);
    wait_until("the second model is unloaded", || {
        loaded(&fleet) == ["test-model:any"]
    });
    assert_eq!(fleet.engine.models()["fencing"], removed);
    assert_eq!(
        chat_with_model(&caller, fleet.callers(0), "second-model").status,
        404
    );
}

// Guards against a delayed order that overrides newer ones for good: it belongs to an older
// revision of the endpoint record, reaches the engine after the orders of the newer revision,
// and the engine ignores fencing numbers.
#[test]
fn late_order_of_an_older_record_does_not_stay_in_force() {
    let fleet = start_fleet(false);
    fleet.engine.faults().set(Faults {
        lose_requests: 1,
        late_ms: 3_000,
        lose_path: "/orders".to_string(),
        ..Faults::default()
    });
    let older = change_endpoint(&fleet, &["--model-version", "test-model=1"]);
    wait_until("the first order is lost", || {
        fleet.engine.faults().get().lose_requests == 0
    });
    let newer = change_endpoint(&fleet, &["--model-version", "test-model=2"]);
    wait_until("the lost order arrives", || {
        let orders = fleet.engine.orders();
        orders.iter().any(|(fencing, _)| *fencing == older)
    });
    wait_until("only the newer version is loaded", || {
        loaded(&fleet) == ["test-model:2"] && fleet.engine.models()["fencing"] == newer
    });
}

// Guards against calls that fail while an engine replaces the version of their model.
#[test_case(true; "fencing is checked")]
#[test_case(false; "fencing is ignored")]
fn version_changes_without_a_failed_call(checks_fencing: bool) {
    let fleet = start_fleet(checks_fencing);
    let caller = Caller::new(ALPHA_KEY);
    let done = AtomicBool::new(false);
    thread::scope(|scope| {
        let calls: Vec<_> = (0..2)
            .map(|index| {
                let (fleet, caller, done) = (&fleet, &caller, &done);
                scope.spawn(move || {
                    let mut statuses = Vec::new();
                    while !done.load(Ordering::SeqCst) {
                        let response =
                            chat_with_model(caller, fleet.callers(index), "test-model");
                        statuses.push(response.status);
                    }
                    statuses
                })
            })
            .collect();
        for version in ["1", "2"] {
            let option = format!("test-model={version}");
            change_endpoint(&fleet, &["--model-version", &option]);
            let only = [format!("test-model:{version}")];
            wait_until("only the new version is loaded", || loaded(&fleet) == only);
        }
        done.store(true, Ordering::SeqCst);
        for calls in calls {
            let statuses = calls.join().unwrap();
            assert!(!statuses.is_empty());
            assert!(statuses.iter().all(|status| *status == 200), "{statuses:?}");
        }
    });
}
