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
use jayreel_scheduler::effect::Reply;
use jayreel_scheduler::event::{CallArrived, CallOperation};
use jayreel_scheduler::{Effect, Event, SchedulerSettings};
use support::{engine, heartbeat, incarnation};

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
