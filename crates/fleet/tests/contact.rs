//! The age of the store contact that an instance reports to its peers.

mod support;

use jayreel_fleet::{
    FleetEffect, FleetEvent, FleetSettings, Input, Output, PeerMessage, Reducer,
};
use jayreel_programs::TokenKey;
use jayreel_scheduler::SchedulerSettings;
use support::{heartbeat, incarnation};

fn reducer() -> Reducer {
    let own = incarnation("entry-0");
    let scheduler = SchedulerSettings::new(own.clone(), "zone-0", 7);
    let fleet = FleetSettings::new(own, "zone-0", "127.0.0.1:1", TokenKey::derive("t"));
    Reducer::new(scheduler, fleet, 0)
}

/// The age of the store contact in the answer to a heartbeat.
fn reported_age_ms(reducer: &mut Reducer, now_ms: u64) -> Option<u64> {
    let event = FleetEvent::PeerMessage {
        from: "entry-1".to_string(),
        message: PeerMessage::Heartbeat(heartbeat("entry-1", None)),
    };
    let outputs = reducer.apply(now_ms, Input::Fleet(event));
    let age_ms = outputs.iter().find_map(|output| match output {
        Output::Fleet(FleetEffect::Send {
            message: PeerMessage::HeartbeatAnswer(answer),
            ..
        }) => Some(answer.store_contact_age_ms),
        _ => None,
    });
    age_ms.expect("an answer to the heartbeat")
}

// Guards against two instances that both wait for a store that does not answer and report a
// recent contact to each other. They would accept withdrawn keys without end (G7).
#[test]
fn reported_contact_age_grows_while_the_store_is_silent() {
    let mut reducer = reducer();
    assert_eq!(reported_age_ms(&mut reducer, 500), None);
    reducer.apply(1_000, Input::Fleet(FleetEvent::StoreContactAge(Some(40))));
    assert_eq!(reported_age_ms(&mut reducer, 1_000), Some(40));
    assert_eq!(reported_age_ms(&mut reducer, 7_000), Some(6_040));
}
