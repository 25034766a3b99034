//! The state of the sender that heartbeats carry.

mod support;

use jayreel_fleet::{FleetEffect, Input, Output, PeerMessage};
use jayreel_scheduler::Event;
use support::{TestInstance, chat, registered};

/// Guards against heartbeats that always report 0 waiting calls.
#[test]
fn heartbeat_reports_the_queued_calls() {
    let mut instance = TestInstance::new("entry-0");
    instance.configure(|configuration| {
        let engine = configuration.endpoints.get_mut("engine-0").unwrap();
        engine.slots = 1;
    });
    instance.register(&[
        registered("entry-0", "zone-0"),
        registered("entry-1", "zone-0"),
    ]);
    instance.take_share();
    for id in 1..=3 {
        instance.apply(chat(id));
    }
    let reported: Vec<u32> = instance
        .apply_after(1_000, Input::Schedule(Event::Tick))
        .iter()
        .filter_map(|output| match output {
            Output::Fleet(FleetEffect::Send {
                message: PeerMessage::Heartbeat(heartbeat),
                ..
            }) => Some(heartbeat.waiting_calls),
            _ => None,
        })
        .collect();
    assert_eq!(reported, [2]);
}
