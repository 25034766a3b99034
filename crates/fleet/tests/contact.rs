//! What an instance tells its peers of its contact with the store.

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

/// The age that the answer to a heartbeat carries.
fn told_age_ms(reducer: &mut Reducer, now_ms: u64) -> Option<u64> {
    let event = FleetEvent::PeerMessage {
        from: "entry-1".to_string(),
        message: PeerMessage::Heartbeat(heartbeat("entry-1", None)),
    };
    let outputs = reducer.apply(now_ms, Input::Fleet(event));
    let answers = outputs.iter().find_map(|output| match output {
        Output::Fleet(FleetEffect::Send {
            message: PeerMessage::HeartbeatAnswer(answer),
            ..
        }) => Some(answer.store_contact_age_ms),
        _ => None,
    });
    answers.expect("an answer")
}

// Guards against two instances that keep each other's contact fresh while both wait for a
// silent store, so that withdrawn keys are accepted without end (G7).
#[test]
fn told_contact_age_grows_without_news_of_the_store() {
    let mut reducer = reducer();
    assert_eq!(told_age_ms(&mut reducer, 500), None);
    reducer.apply(1_000, Input::Fleet(FleetEvent::StoreContactAge(Some(40))));
    assert_eq!(told_age_ms(&mut reducer, 1_000), Some(40));
    assert_eq!(told_age_ms(&mut reducer, 7_000), Some(6_040));
}
