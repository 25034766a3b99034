//! Dispatch of calls depending on the models that engines have loaded.

use jayreel_model::RefusalReason;
use jayreel_scheduler::Event;
use jayreel_scheduler::event::CallOperation;

use crate::harness::{Harness, MODEL, chat, dispatched_to, refused};

fn loaded(endpoint: &str, models: &[&str]) -> Event {
    Event::ModelsReported {
        endpoint: endpoint.to_string(),
        loaded: models.iter().map(|model| model.to_string()).collect(),
    }
}

/// A call must go to the engine that has loaded its model, not to one that is only configured
/// for it and would reject the call.
#[test]
fn call_goes_to_the_engine_that_has_loaded_the_model() {
    let mut harness = Harness::simple(&[4, 4]);
    harness.apply(loaded("w0", &["other"]));
    harness.apply(loaded("w1", &[MODEL]));
    for id in 1..=3 {
        assert_eq!(dispatched_to(&harness.arrive(chat(id, "a"))), [(id, "w1")]);
    }
}

/// Engines that report no models must still receive calls for their configured models.
#[test]
fn engine_without_a_report_counts_as_configured() {
    let mut harness = Harness::simple(&[4]);
    assert_eq!(dispatched_to(&harness.arrive(chat(1, "a"))), [(1, "w0")]);
}

/// While an engine is loading a model, calls for it must wait instead of being refused with
/// 404, and must be dispatched when the model is loaded.
#[test]
fn call_waits_for_the_load_of_its_model() {
    let mut harness = Harness::simple(&[4]);
    harness.apply(loaded("w0", &[]));
    let effects = harness.arrive(chat(1, "a"));
    assert_eq!(
        (dispatched_to(&effects), refused(&effects)),
        (vec![], vec![])
    );
    assert_eq!(
        dispatched_to(&harness.apply(loaded("w0", &[MODEL]))),
        [(1, "w0")]
    );
}

/// A model that is loaded but no longer configured must not be served.
#[test]
fn loaded_model_that_is_not_configured_is_not_found() {
    let mut harness = Harness::simple(&[4]);
    harness.apply(loaded("w0", &[MODEL, "old"]));
    let mut call = chat(1, "a");
    if let CallOperation::Chat { model, .. } = &mut call.operation {
        *model = "old".to_string();
    }
    let refusals = refused(&harness.arrive(call));
    assert_eq!(refusals[0].1, RefusalReason::NotFound);
}

/// Calls must be able to use the name of an adapter in place of a model name.
#[test]
fn call_may_name_an_adapter() {
    let mut harness = Harness::simple(&[4]);
    harness.reconfigure(|configuration| {
        let worker = configuration.endpoints.get_mut("w0").unwrap();
        worker.adapters.insert("tuned".into(), MODEL.into());
    });
    let mut call = chat(1, "a");
    if let CallOperation::Chat { model, .. } = &mut call.operation {
        *model = "tuned".to_string();
    }
    assert_eq!(dispatched_to(&harness.arrive(call)), [(1, "w0")]);
}

/// A cancelled call must count as a user of its model until the endpoint has stopped it.
/// Otherwise a model version could be unloaded while a call still uses it.
#[test]
fn call_counts_as_use_until_the_endpoint_has_stopped() {
    let mut harness = Harness::simple(&[4]);
    harness.arrive(chat(1, "a"));
    let by_ms = harness.now_ms;
    harness.arrive(chat(2, "a"));
    let has_call =
        |harness: &Harness| harness.scheduler.has_call_dispatched_by("w0", MODEL, by_ms);
    assert!(has_call(&harness));
    harness.caller_gone(1);
    assert!(has_call(&harness), "the endpoint may still run it");
    harness.finish(1);
    assert!(!has_call(&harness), "the other call came later");
}
