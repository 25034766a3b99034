//! The orders to engines from the instance that is responsible for them.

mod support;

use jayreel_fleet::{FleetEffect, FleetEvent, Input, OrderAnswer, Output};
use jayreel_model::{EngineOrder, RequestId};
use jayreel_scheduler::Event;
use support::engine::{TestEngine, load, unload};
use support::{TestInstance, chat, engine, registered};
use test_case::test_case;

/// Longer than the time between two comparisons of the engines with their records.
const STEP_MS: u64 = 300;
/// Longer than the longest delay before an order is sent again.
const LONG_MS: u64 = 61_000;

/// An instance whose configuration wants the engine to load this version of `model`, in an
/// endpoint record with this store revision.
fn instance_with_version(
    name: &str,
    checks_fencing: bool,
    version: &str,
    revision: u64,
) -> TestInstance {
    let mut instance = TestInstance::new(name);
    want(&mut instance, version, revision);
    instance.configure(|configuration| {
        let engine = configuration.endpoints.get_mut("engine-0").unwrap();
        engine.checks_fencing = checks_fencing;
    });
    instance
}

/// Changes the wanted version of `model`, and with it the revision of the endpoint record.
fn want(instance: &mut TestInstance, version: &str, revision: u64) {
    instance.configure(|configuration| {
        let engine = configuration.endpoints.get_mut("engine-0").unwrap();
        engine.versions.insert("model".into(), version.into());
        let revisions = &mut configuration.endpoint_revisions;
        revisions.insert("engine-0".into(), revision);
    });
}

/// The instance receives the report of `engine-0`.
fn report(instance: &mut TestInstance, engine: &TestEngine) {
    report_of(instance, "engine-0", engine);
}

fn report_of(instance: &mut TestInstance, endpoint: &str, engine: &TestEngine) {
    let event = FleetEvent::ModelsReported {
        endpoint: endpoint.to_string(),
        sent_at_ms: instance.now_ms + 1,
        models: engine.report.clone(),
    };
    instance.apply_after(2, Input::Fleet(event));
}

/// The orders, with their fencing numbers, that the instance sends at a tick `ms` later.
fn orders(instance: &mut TestInstance, ms: u64) -> Vec<(u64, EngineOrder)> {
    let outputs = instance.apply_after(ms, Input::Schedule(Event::Tick));
    let orders = outputs.into_iter().filter_map(|output| match output {
        Output::Fleet(FleetEffect::SendOrder { fencing, order, .. }) => {
            Some((fencing, order))
        }
        _ => None,
    });
    orders.collect()
}

fn answer(instance: &mut TestInstance, fencing: u64, answer: OrderAnswer) {
    let endpoint = "engine-0".to_string();
    instance.apply(Input::Fleet(FleetEvent::OrderAnswered {
        endpoint,
        fencing,
        answer,
    }));
}

/// Lets the engine report and carry out the orders of the instance for 20 rounds, which is
/// more than any change needs. Returns all orders.
fn settle(
    instance: &mut TestInstance,
    engine: &mut TestEngine,
) -> Vec<(u64, EngineOrder)> {
    let mut all = Vec::new();
    for _ in 0..20 {
        report(instance, engine);
        for (fencing, order) in orders(instance, STEP_MS) {
            let taken = engine.submit(fencing, &order);
            answer(instance, fencing, taken);
            all.push((fencing, order));
        }
        engine.finish_loads();
    }
    all
}

/// Guards against models that are never loaded, against a second order for the same load,
/// and against orders without the revision of their record.
#[test]
fn missing_version_is_loaded_with_one_order() {
    let mut instance = instance_with_version("entry-0", true, "2", 12);
    let mut engine = TestEngine::with_version(true, "2");
    engine.report.models.clear();
    report(&mut instance, &engine);
    assert_eq!(orders(&mut instance, STEP_MS), [(12, load("2"))]);
    report(&mut instance, &engine);
    assert_eq!(orders(&mut instance, STEP_MS), [], "no answer yet");
    let taken = engine.submit(12, &load("2"));
    answer(&mut instance, 12, taken);
    assert_eq!(
        orders(&mut instance, STEP_MS),
        [],
        "no report since the answer"
    );
    report(&mut instance, &engine);
    assert_eq!(orders(&mut instance, LONG_MS), [], "the engine is loading");
    engine.finish_loads();
    assert_eq!(settle(&mut instance, &mut engine), []);
    assert_eq!(engine.versions(), ["2"]);
}

/// Guards against a second order to an engine while the first one has no answer, no report
/// shows its effect, or the engine is still loading.
#[test]
fn orders_go_out_one_at_a_time() {
    let mut instance = instance_with_version("entry-0", true, "2", 12);
    instance.configure(|configuration| {
        let engine = configuration.endpoints.get_mut("engine-0").unwrap();
        engine.models.push("other".into());
    });
    let mut engine = TestEngine::with_version(true, "2");
    engine.report.models.clear();
    report(&mut instance, &engine);
    assert_eq!(orders(&mut instance, STEP_MS), [(12, load("2"))]);
    report(&mut instance, &engine);
    assert_eq!(orders(&mut instance, STEP_MS), [], "no answer yet");
    let taken = engine.submit(12, &load("2"));
    answer(&mut instance, 12, taken);
    assert_eq!(
        orders(&mut instance, STEP_MS),
        [],
        "no report since the answer"
    );
    report(&mut instance, &engine);
    assert_eq!(orders(&mut instance, STEP_MS), [], "the engine is loading");
    engine.finish_loads();
    report(&mut instance, &engine);
    let other = EngineOrder::LoadModel {
        model: "other".to_string(),
        version: None,
    };
    assert_eq!(orders(&mut instance, STEP_MS), [(12, other)]);
}

/// Guards against an old version that is unloaded although the new one could not be loaded.
#[test]
fn old_version_stays_while_the_new_one_fails_to_load() {
    let mut instance = instance_with_version("entry-0", true, "2", 12);
    let engine = TestEngine::with_version(true, "1");
    report(&mut instance, &engine);
    assert_eq!(orders(&mut instance, STEP_MS), [(12, load("2"))]);
    answer(&mut instance, 12, OrderAnswer::Failed);
    for _ in 0..4 {
        report(&mut instance, &engine);
        assert_eq!(orders(&mut instance, STEP_MS), []);
    }
}

/// Guards against a late order from the previously responsible instance whose effect is not
/// reverted, at engines that check the fencing number and at those that ignore it.
#[test_case(true, &load("1"), &[]; "checked")]
#[test_case(false, &load("1"), &[(12, unload("1"))]; "ignored load of an old version")]
#[test_case(false, &unload("2"), &[(12, load("2"))]; "ignored unload of the new version")]
fn late_order_of_the_previous_instance_is_reverted(
    checks_fencing: bool,
    late: &EngineOrder,
    expected: &[(u64, EngineOrder)],
) {
    let mut instance = instance_with_version("entry-0", checks_fencing, "2", 12);
    let mut engine = TestEngine::with_version(checks_fencing, "1");
    let change = [(12, load("2")), (12, unload("1"))];
    assert_eq!(settle(&mut instance, &mut engine), change);
    engine.submit(10, late);
    engine.finish_loads();
    let corrections = settle(&mut instance, &mut engine);
    assert_eq!(corrections[..expected.len()], *expected);
    assert_eq!(engine.versions(), ["2"]);
    assert_eq!(engine.report.fencing, 12);
}

/// Guards against a late order whose effect does not show in the report of an engine that
/// ignores the fencing number. The newest order is sent again, so that it arrives last.
#[test]
fn overtaken_order_is_repeated() {
    let mut instance = instance_with_version("entry-0", false, "2", 12);
    let mut engine = TestEngine::with_version(false, "1");
    settle(&mut instance, &mut engine);
    engine.submit(
        10,
        &EngineOrder::SetRole {
            role: "decode".to_string(),
        },
    );
    assert_eq!(settle(&mut instance, &mut engine), [(12, unload("1"))]);
    assert_eq!(engine.report.fencing, 12);
}

/// Guards against a newly responsible instance that orders a load which is already in
/// progress, and against one that does not repeat an order which never reached the engine.
#[test_case(true; "the load goes on")]
#[test_case(false; "the load was lost")]
fn responsible_instance_is_replaced_during_a_load(goes_on: bool) {
    let mut old = instance_with_version("entry-0", true, "2", 12);
    let mut engine = TestEngine::with_version(true, "1");
    report(&mut old, &engine);
    assert_eq!(orders(&mut old, STEP_MS), [(12, load("2"))]);
    if goes_on {
        engine.submit(12, &load("2"));
    }
    let mut new = instance_with_version("entry-1", true, "2", 12);
    report(&mut new, &engine);
    let ordered = orders(&mut new, STEP_MS);
    if goes_on {
        assert_eq!(ordered, []);
        engine.finish_loads();
        assert_eq!(settle(&mut new, &mut engine), [(12, unload("1"))]);
    } else {
        assert_eq!(ordered, [(12, load("2"))]);
    }
}

/// Guards against a load order that is sent again only because its answer was lost, and
/// against one that is not sent again although the engine never received it.
#[test_case(true; "it took effect")]
#[test_case(false; "it did not arrive")]
fn answer_is_lost(took_effect: bool) {
    let mut instance = instance_with_version("entry-0", true, "2", 12);
    let mut engine = TestEngine::with_version(true, "2");
    engine.report.models.clear();
    report(&mut instance, &engine);
    assert_eq!(orders(&mut instance, STEP_MS), [(12, load("2"))]);
    if took_effect {
        engine.submit(12, &load("2"));
    }
    answer(&mut instance, 12, OrderAnswer::Failed);
    report(&mut instance, &engine);
    assert_eq!(
        orders(&mut instance, STEP_MS),
        [],
        "the retry delay has not passed"
    );
    report(&mut instance, &engine);
    let repeated = orders(&mut instance, LONG_MS);
    match took_effect {
        true => assert_eq!(repeated, []),
        false => assert_eq!(repeated, [(12, load("2"))]),
    }
}

/// Guards against an instance with an old endpoint record that keeps reverting the orders
/// of an instance with a newer one.
#[test_case(true; "refused by the engine")]
#[test_case(false; "seen in the report")]
fn instance_with_the_older_record_stops_sending_orders(checks_fencing: bool) {
    let mut instance = instance_with_version("entry-0", checks_fencing, "1", 10);
    let mut engine = TestEngine::with_version(checks_fencing, "2");
    if checks_fencing {
        report(&mut instance, &engine);
        assert_eq!(orders(&mut instance, STEP_MS), [(10, load("1"))]);
        engine.submit(12, &load("2"));
        let refused = engine.submit(10, &load("1"));
        answer(&mut instance, 10, refused);
        // An engine that does not report the fencing number of its last order.
        engine.report.fencing = 0;
    } else {
        engine.submit(12, &load("2"));
    }
    report(&mut instance, &engine);
    assert_eq!(orders(&mut instance, LONG_MS), []);
    want(&mut instance, "3", 13);
    report(&mut instance, &engine);
    assert_eq!(orders(&mut instance, LONG_MS), [(13, load("3"))]);
}

/// Guards against a version that is unloaded before the new one is loaded or while a call
/// still uses it, and against one that is never unloaded because new calls keep arriving.
#[test]
fn version_is_changed_under_traffic() {
    let mut instance = instance_with_version("entry-0", true, "2", 12);
    instance.register(&[registered("entry-0", "zone-0")]);
    instance.take_share();
    let mut engine = TestEngine::with_version(true, "1");
    instance.apply(chat(1));
    report(&mut instance, &engine);
    assert_eq!(orders(&mut instance, STEP_MS), [(12, load("2"))]);
    let taken = engine.submit(12, &load("2"));
    answer(&mut instance, 12, taken);
    report(&mut instance, &engine);
    assert_eq!(
        orders(&mut instance, STEP_MS),
        [],
        "the new version is loading"
    );
    engine.finish_loads();
    report(&mut instance, &engine);
    for _ in 0..4 {
        assert_eq!(
            orders(&mut instance, STEP_MS),
            [],
            "a call uses the old version"
        );
    }
    instance.apply(chat(2));
    let request_id = RequestId(1);
    let usage = None;
    let finished = Event::CallFinished { request_id, usage };
    instance.apply(Input::Schedule(finished));
    assert_eq!(orders(&mut instance, STEP_MS), [(12, unload("1"))]);
}

/// Guards against orders to engines that have not reported, and against orders that follow
/// from records without a known revision.
#[test]
fn nothing_is_ordered_without_a_report_or_a_revision() {
    let mut instance = instance_with_version("entry-0", true, "2", 12);
    assert_eq!(orders(&mut instance, LONG_MS), []);
    instance.configure(|configuration| configuration.endpoint_revisions.clear());
    report(&mut instance, &TestEngine::default());
    assert_eq!(orders(&mut instance, LONG_MS), []);
}

/// Name of the order's kind, for comparisons without models and versions.
fn kind(order: &EngineOrder) -> &'static str {
    match order {
        EngineOrder::LoadAdapter { .. } => "load_adapter",
        EngineOrder::LoadModel { .. } => "load_model",
        EngineOrder::SetRole { .. } => "set_role",
        EngineOrder::UnloadAdapter { .. } => "unload_adapter",
        EngineOrder::UnloadModel { .. } => "unload_model",
    }
}

/// Guards against orders to an engine at a new address that follow from the report of the
/// engine at the old one.
#[test]
fn report_from_the_old_address_is_ignored() {
    let mut instance = instance_with_version("entry-0", true, "2", 12);
    report(&mut instance, &TestEngine::with_version(true, "1"));
    instance.configure(|configuration| {
        let engine = configuration.endpoints.get_mut("engine-0").unwrap();
        engine.address = "127.0.0.1:3".into();
    });
    assert_eq!(orders(&mut instance, LONG_MS), []);
}

/// Guards against adapters that are loaded before their model, and against models that are
/// unloaded before their adapters.
#[test]
fn adapters_are_loaded_after_their_model_and_unloaded_before_it() {
    let mut instance = TestInstance::new("entry-0");
    instance.configure(|configuration| {
        let engine = configuration.endpoints.get_mut("engine-0").unwrap();
        engine.adapters.insert("tuned".into(), "model".into());
    });
    let mut engine = TestEngine::default();
    let kinds = |orders: &[(u64, EngineOrder)]| -> Vec<_> {
        orders.iter().map(|(_, order)| kind(order)).collect()
    };
    let loads = settle(&mut instance, &mut engine);
    assert_eq!(kinds(&loads), ["load_model", "load_adapter"]);
    instance.configure(|configuration| {
        let engine = configuration.endpoints.get_mut("engine-0").unwrap();
        engine.models = vec!["other".into()];
        engine.adapters.clear();
        let revisions = &mut configuration.endpoint_revisions;
        revisions.insert("engine-0".into(), 11);
    });
    let mut kinds = kinds(&settle(&mut instance, &mut engine));
    kinds.retain(|kind| *kind != "load_model");
    assert_eq!(kinds, ["unload_adapter", "unload_model"]);
}

/// Guards against an overload of the store that holds the model weights because each
/// instance uses the whole limit on loads, and against engines that no instance may load.
#[test_case(1, 4; "one instance")]
#[test_case(3, 4; "unequal parts of the limit")]
#[test_case(7, 4; "more instances than concurrent loads")]
fn zone_loads_stay_within_the_limit(instance_count: usize, limit: usize) {
    let names: Vec<String> = (0..instance_count).map(|i| format!("entry-{i}")).collect();
    let all: Vec<_> = names.iter().map(|n| registered(n, "zone-0")).collect();
    let mut engines = vec![TestEngine::default(); 40];
    let mut instances: Vec<TestInstance> =
        names.iter().map(|name| TestInstance::new(name)).collect();
    for instance in &mut instances {
        instance.register(&all);
        instance.configure(|configuration| {
            for index in 0..40 {
                let name = format!("engine-{index}");
                configuration.endpoint_revisions.insert(name.clone(), 10);
                configuration.endpoints.insert(name, engine());
            }
        });
    }
    let mut loaded = 0;
    for _ in 0..200 {
        let mut loading = 0;
        for instance in &mut instances {
            names
                .iter()
                .for_each(|name| instance.receive_heartbeat(name));
            for (index, engine) in engines.iter().enumerate() {
                report_of(instance, &format!("engine-{index}"), engine);
            }
        }
        for instance in &mut instances {
            let outputs = instance.apply_after(STEP_MS, Input::Schedule(Event::Tick));
            for output in outputs {
                let Output::Fleet(FleetEffect::SendOrder {
                    endpoint,
                    fencing,
                    order,
                }) = output
                else {
                    continue;
                };
                loading += 1;
                let index: usize = endpoint["engine-".len()..].parse().unwrap();
                let taken = engines[index].submit(fencing, &order);
                assert_eq!(engines[index].report.models.len(), 1, "loaded twice");
                instance.apply(Input::Fleet(FleetEvent::OrderAnswered {
                    endpoint,
                    fencing,
                    answer: taken,
                }));
            }
        }
        assert!(loading <= limit, "{loading} loads at once");
        loaded += loading;
        engines.iter_mut().for_each(TestEngine::finish_loads);
    }
    assert_eq!(loaded, 40);
}
