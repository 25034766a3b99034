//! The first minutes of an instance: what it must not do before it has read the
//! registrations, how it gets into contact with discovered peers, and when it is ready.

mod support;

use std::sync::Arc;

use jayreel_fleet::{
    FleetEffect, FleetEvent, FleetSettings, Input, Output, PeerMessage, Reducer,
    RegisteredInstance,
};
use jayreel_model::{
    Configuration, Customer, CustomerKey, Endpoint, EndpointKind, KeyHash, Profile, Ran,
    RequestId, Route,
};
use jayreel_programs::TokenKey;
use jayreel_quota::home_weights::HomeRecord;
use jayreel_scheduler::effect::Reply;
use jayreel_scheduler::event::{CallArrived, CallOperation};
use jayreel_scheduler::{Effect, Event, SchedulerSettings};
use support::{engine, heartbeat, incarnation, registered};

const MINUTE_MS: u64 = 60_000;

fn configuration() -> Configuration {
    let customer = Customer {
        rate_mreq_per_s: 1_000_000,
        burst_mreq: 1_000_000,
        weight: 1,
    };
    let key = CustomerKey {
        customer: "alpha".into(),
        withdrawn: false,
    };
    let route = Route {
        path_prefix: "/orders".into(),
        group: "orders".into(),
        repeatable: false,
        open: false,
    };
    let service = Endpoint {
        kind: EndpointKind::PlainService,
        group: "orders".into(),
        models: Vec::new(),
        ..engine()
    };
    Configuration {
        revision: 1,
        customers: [("alpha".into(), customer)].into(),
        keys: [(KeyHash::of_key("key"), key)].into(),
        profiles: [("default".into(), Profile::default())].into(),
        endpoint_revisions: Default::default(),
        endpoints: [("engine-0".into(), engine()), ("orders-0".into(), service)].into(),
        routes: [("orders".into(), route)].into(),
    }
}

/// The reducer of `entry-0`, which has a configuration and has read no registrations.
fn reducer() -> Reducer {
    reducer_of("entry-0")
}

fn reducer_of(instance: &str) -> Reducer {
    let own = incarnation(instance);
    let scheduler = SchedulerSettings::new(own.clone(), "zone-0", 7);
    let fleet = FleetSettings::new(own, "zone-0", "127.0.0.1:1", TokenKey::derive("t"));
    let mut reducer = Reducer::new(scheduler, fleet, 0);
    let event = Event::ConfigurationChanged(Arc::new(configuration()));
    reducer.apply(0, Input::Schedule(event));
    reducer
}

fn tick(reducer: &mut Reducer, now_ms: u64) -> Vec<Output> {
    reducer.apply(now_ms, Input::Schedule(Event::Tick))
}

fn arrived(id: u64, operation: CallOperation) -> CallArrived {
    CallArrived {
        request_id: RequestId(id),
        key: Some(KeyHash::of_key("key")),
        profile: None,
        program: None,
        parent: None,
        turn: None,
        epoch: None,
        idempotency_key: None,
        was_forwarded: false,
        operation,
    }
}

fn order(id: u64) -> CallArrived {
    let path = "/orders".to_string();
    arrived(id, CallOperation::Service { path })
}

fn call(reducer: &mut Reducer, now_ms: u64, call: CallArrived) -> Vec<Output> {
    let event = Event::CallArrived(Box::new(call));
    reducer.apply(now_ms, Input::Schedule(event))
}

/// Whether an endpoint may have run the call, as its refusal states.
fn refused_ran(outputs: &[Output]) -> Ran {
    let refused = outputs.iter().find_map(|output| match output {
        Output::Schedule(Effect::Refuse { refusal, .. }) => Some(refusal.ran),
        _ => None,
    });
    refused.unwrap_or_else(|| panic!("not refused: {outputs:?}"))
}

fn lists_tags(output: &Output) -> bool {
    matches!(output, Output::Fleet(FleetEffect::ListCacheTags { .. }))
}

// Guards against an instance that releases cache in use: before it has read the
// registrations it cannot tell which owners of cache tags are gone.
#[test]
fn cache_sweep_waits_for_the_registrations() {
    let mut reducer = reducer();
    for now_ms in (0..2 * MINUTE_MS).step_by(50) {
        let outputs = tick(&mut reducer, now_ms);
        assert!(!outputs.iter().any(lists_tags), "{outputs:?}");
    }
    let event = FleetEvent::RegistrationsRead {
        sent_at_ms: 2 * MINUTE_MS,
        registered: vec![RegisteredInstance {
            incarnation: incarnation("entry-0"),
            availability_zone: "zone-0".to_string(),
            peer_address: "127.0.0.1:1".to_string(),
            leaving: false,
        }],
        own_lease: Some(1),
    };
    reducer.apply(2 * MINUTE_MS, Input::Fleet(event));
    let outputs = tick(&mut reducer, 3 * MINUTE_MS);
    assert!(outputs.iter().any(lists_tags), "{outputs:?}");
}

// Guards against two instances that both run a call with the same idempotency key, because
// one of them does not know which instance is responsible for the key.
#[test]
fn keyed_call_is_refused_as_not_run() {
    let mut reducer = reducer();
    for (id, now_ms) in [(1, 0), (2, 20 * MINUTE_MS)] {
        let keyed = CallArrived {
            idempotency_key: Some("one".to_string()),
            ..order(id)
        };
        assert_eq!(refused_ran(&call(&mut reducer, now_ms, keyed)), Ran::No);
    }
}

/// The outputs for a call with an idempotency key and without a program.
fn keyed_order(reducer: &mut Reducer, now_ms: u64, id: u64) -> Vec<Output> {
    let keyed = CallArrived {
        idempotency_key: Some("one".to_string()),
        ..order(id)
    };
    call(reducer, now_ms, keyed)
}

fn read_registrations(reducer: &mut Reducer, now_ms: u64, names: &[&str]) {
    let event = FleetEvent::RegistrationsRead {
        sent_at_ms: now_ms,
        registered: names
            .iter()
            .map(|name| registered(name, "zone-0"))
            .collect(),
        own_lease: Some(1),
    };
    reducer.apply(now_ms, Input::Fleet(event));
}

/// The instance reads the record, which names `entry-0` as the founder of the fleet.
fn read_founder(reducer: &mut Reducer, now_ms: u64) {
    let record = HomeRecord {
        founder: Some(incarnation("entry-0")),
        ..HomeRecord::default()
    };
    let event = FleetEvent::HomeWeightsRead {
        sent_at_ms: now_ms - 50,
        record,
        version: 1,
    };
    reducer.apply(now_ms, Input::Fleet(event));
}

fn is_forwarded_to_founder(outputs: &[Output]) -> bool {
    outputs.iter().any(|output| match output {
        Output::Schedule(Effect::Forward { to, .. }) => *to == incarnation("entry-0"),
        _ => false,
    })
}

// Guards against an instance that reads the registrations before the founder of the fleet
// has registered, and the record that the founder creates after it. It took the founder for
// gone and answered a first call with `unknown` until its next read of the registrations.
#[test]
fn founder_that_registers_after_the_read_is_not_taken_for_gone() {
    let mut reducer = reducer_of("entry-1");
    read_registrations(&mut reducer, 100, &["entry-1"]);
    read_founder(&mut reducer, 200);
    let outputs = keyed_order(&mut reducer, 300, 1);
    assert_eq!(
        refused_ran(&outputs),
        Ran::No,
        "the founder has no address yet"
    );
    read_registrations(&mut reducer, 2_100, &["entry-0", "entry-1"]);
    assert!(is_forwarded_to_founder(&keyed_order(
        &mut reducer,
        2_200,
        2
    )));
    read_registrations(&mut reducer, 4_100, &["entry-1"]);
    let outputs = keyed_order(&mut reducer, 4_200, 3);
    assert_eq!(refused_ran(&outputs), Ran::Unknown, "the founder is gone");
}

/// The keys that the founder hands to `entry-1` when it stops at `now_ms`.
fn handover_of_founder(now_ms: u64) -> Vec<PeerMessage> {
    let mut founder = reducer_of("entry-0");
    let created = FleetEvent::HomeWeightsWritten {
        version: 0,
        accepted: true,
    };
    founder.apply(150, Input::Fleet(created));
    read_founder(&mut founder, 200);
    read_registrations(&mut founder, now_ms - 100, &["entry-0", "entry-1"]);
    let outputs = founder.apply(now_ms, Input::Fleet(FleetEvent::StopStarted));
    let messages = outputs.into_iter().filter_map(|output| match output {
        Output::Fleet(FleetEffect::Send { to, message }) if to == "entry-1" => {
            Some(message)
        }
        _ => None,
    });
    messages
        .filter(|message| matches!(message, PeerMessage::KeyedHandover(_)))
        .collect()
}

// Guards against a successor that has never seen the founder registered, because the founder
// registered after its first read of the registrations and stopped before the second one. It
// answered all calls with an idempotency key with `unknown` for 911 s (G11, G13).
#[test]
fn successor_that_never_saw_the_founder_uses_its_handover() {
    let mut reducer = reducer_of("entry-1");
    read_registrations(&mut reducer, 100, &["entry-1"]);
    read_founder(&mut reducer, 200);
    let messages = handover_of_founder(1_300);
    assert_eq!(messages.len(), 1);
    for message in messages {
        let from = "entry-0".to_string();
        reducer.apply(
            1_400,
            Input::Fleet(FleetEvent::PeerMessage { from, message }),
        );
    }
    read_registrations(&mut reducer, 2_100, &["entry-1"]);
    let outputs = keyed_order(&mut reducer, 2_200, 1);
    let is_refused =
        |output: &Output| matches!(output, Output::Schedule(Effect::Refuse { .. }));
    assert!(!outputs.iter().any(is_refused), "{outputs:?}");
}

// Guards against an instance that has run for long without the record, and takes the founder
// for registered although others may have become responsible since it left.
#[test]
fn settled_instance_waits_for_a_read_that_is_newer_than_the_record() {
    let mut reducer = reducer_of("entry-1");
    tick(&mut reducer, 0);
    read_registrations(&mut reducer, 20 * MINUTE_MS, &["entry-1"]);
    read_founder(&mut reducer, 20 * MINUTE_MS + 50);
    let outputs = keyed_order(&mut reducer, 20 * MINUTE_MS + 100, 1);
    assert_eq!(refused_ran(&outputs), Ran::No);
}

// Guards against a takeover of programs whose owner is not gone but unknown to this
// instance.
#[test]
fn programs_of_an_unknown_owner_are_not_taken_over() {
    let budget_tokens = None;
    let open = arrived(1, CallOperation::OpenProgram { budget_tokens });
    let opened = call(&mut reducer_of("entry-1"), 0, open);
    let token = opened.iter().find_map(|output| match output {
        Output::Schedule(Effect::Reply {
            reply: Reply::ProgramOpened { token, .. },
            ..
        }) => Some(token.clone()),
        _ => None,
    });
    let mut reducer = reducer();
    for (id, now_ms) in [(2, 0), (3, 20 * MINUTE_MS)] {
        let next = CallArrived {
            program: token.clone(),
            ..order(id)
        };
        let outputs = call(&mut reducer, now_ms, next);
        assert_eq!(refused_ran(&outputs), Ran::No);
        let claims = |output: &Output| {
            matches!(output, Output::Fleet(FleetEffect::ClaimTakeover { .. }))
        };
        assert!(!outputs.iter().any(claims), "{outputs:?}");
    }
}

/// Peers that get a heartbeat when `entry-0` and `entry-1` are discovered.
fn heartbeat_receivers(reducer: &mut Reducer, now_ms: u64) -> Vec<String> {
    let names = ["entry-0", "entry-1"].map(str::to_string);
    let event = FleetEvent::PeersDiscovered(names.to_vec());
    let outputs = reducer.apply(now_ms, Input::Fleet(event));
    outputs
        .into_iter()
        .filter_map(|output| match output {
            Output::Fleet(FleetEffect::Send {
                to,
                message: PeerMessage::Heartbeat(_),
            }) => Some(to),
            _ => None,
        })
        .collect()
}

// Guards against a discovered peer that never learns of this instance, and against more
// than one heartbeat a second to a known peer.
#[test]
fn discovered_peers_get_heartbeats_until_they_answer() {
    let mut reducer = reducer();
    assert_eq!(
        heartbeat_receivers(&mut reducer, 1),
        ["entry-1"],
        "all except itself"
    );
    assert_eq!(
        heartbeat_receivers(&mut reducer, 2),
        ["entry-1"],
        "it has not answered"
    );
    let answer = PeerMessage::HeartbeatAnswer(heartbeat("entry-1", None));
    let event = FleetEvent::PeerMessage {
        from: "entry-1".to_string(),
        message: answer,
    };
    reducer.apply(3, Input::Fleet(event));
    assert!(heartbeat_receivers(&mut reducer, 4).is_empty());
}

/// Whether an instance with a live peer is ready when both last had contact with the store
/// `contact_age_ms` ago.
fn is_ready(contact_age_ms: u64) -> bool {
    let mut reducer = reducer();
    let contact = FleetEvent::StoreContactAge(Some(contact_age_ms));
    reducer.apply(1, Input::Fleet(contact));
    let answer = heartbeat("entry-1", Some(contact_age_ms));
    for message in [
        PeerMessage::Heartbeat(answer.clone()),
        PeerMessage::HeartbeatAnswer(answer),
    ] {
        let from = "entry-1".to_string();
        reducer.apply(2, Input::Fleet(FleetEvent::PeerMessage { from, message }));
    }
    reducer.is_ready(3)
}

// Guards against an instance that starts during an outage of the store and is not ready
// until its end, and against a new fleet that is ready before any instance has a share of
// the rates, which none could get during an outage.
#[test]
fn instance_with_a_live_peer_is_ready_only_while_the_store_does_not_answer() {
    assert!(is_ready(60_000));
    assert!(!is_ready(10));
}
