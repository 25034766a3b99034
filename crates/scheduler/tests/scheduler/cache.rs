//! Release of the cache that programs have at engines.

use jayreel_model::{ClassOfService, EndpointState};
use jayreel_scheduler::event::CallArrived;
use jayreel_scheduler::settings::RetentionKind;
use jayreel_scheduler::{Effect, Event, PolicySettings};

use crate::harness::{Harness, chat, configuration};

fn harness(retention: RetentionKind, worker_slots: &[u32]) -> Harness {
    let policies = PolicySettings {
        retention,
        recompute_cost_ms: 10_000,
        ..PolicySettings::round_robin_baseline()
    };
    Harness::new(configuration(&["a"], worker_slots), policies)
}

fn call(id: u64, program: &str) -> CallArrived {
    CallArrived {
        program: Some(program.to_string()),
        ..chat(id, "a")
    }
}

fn released(effects: &[Effect]) -> Vec<(&str, &str)> {
    let releases = effects.iter().filter_map(|effect| match effect {
        Effect::ReleaseCache {
            endpoint,
            cache_tag,
        } => Some((endpoint.as_str(), cache_tag.as_str())),
        _ => None,
    });
    releases.collect()
}

/// Customer, class and duration of the ended root programs.
fn ended(effects: &[Effect]) -> Vec<(&str, ClassOfService, u64)> {
    let ended = effects.iter().filter_map(|effect| match effect {
        Effect::ProgramEnded {
            customer,
            class,
            lasted_ms,
        } => Some((customer.as_str(), *class, *lasted_ms)),
        _ => None,
    });
    ended.collect()
}

/// The cache of a closed program must be released at each engine that holds it (G4), but not
/// while a call of the program is still running.
#[test]
fn closed_program_is_released_at_each_engine() {
    let mut harness = harness(RetentionKind::KeepUntilEnd, &[4, 4]);
    let token = harness.open_program(1, None);
    for id in 2..=3 {
        harness.arrive(call(id, &token));
        harness.finish(id);
    }
    harness.arrive(call(4, &token));
    assert_eq!(released(&harness.close_program(5, &token)), []);
    let effects = harness.finish(4);
    assert_eq!(released(&effects), [("w0", &*token), ("w1", &*token)]);
}

/// The duration of a root program must be reported exactly once and must include the calls
/// of its sub-agents.
#[test]
fn end_of_a_root_program_is_reported_once() {
    let mut harness = harness(RetentionKind::KeepUntilEnd, &[4]);
    let token = harness.open_program(1, None);
    let child = harness.open_program(2, Some(&token));
    harness.tick_after(500);
    harness.arrive(call(3, &child));
    let started_at_ms = harness.now_ms;
    harness.finish(3);
    harness.arrive(call(4, &token));
    harness.finish(4);
    harness.tick_after(1_000);
    assert_eq!(ended(&harness.close_program(5, &child)), []);
    let lasted_ms = harness.now_ms + 1 - started_at_ms;
    let class = ClassOfService::Standard;
    let once = [("a", class, lasted_ms)];
    assert_eq!(ended(&harness.close_program(6, &token)), once);
    assert_eq!(ended(&harness.tick_after(1_000_000)), []);
}

/// The cache of a program must be released after its idle timeout, in case its caller has
/// crashed.
#[test]
fn expired_program_is_released() {
    let mut harness = harness(RetentionKind::KeepUntilEnd, &[4]);
    let token = harness.open_program(1, None);
    harness.arrive(call(2, &token));
    harness.finish(2);
    assert_eq!(released(&harness.tick_after(890_000)), []);
    assert_eq!(released(&harness.tick_after(20_000)), [("w0", &*token)]);
}

/// A release must be repeated until the engine confirms it, but not after the engine was
/// removed.
#[test]
fn release_is_repeated_until_confirmed() {
    let mut harness = harness(RetentionKind::KeepUntilEnd, &[4, 4]);
    let token = harness.open_program(1, None);
    for id in 2..=3 {
        harness.arrive(call(id, &token));
        harness.finish(id);
    }
    let both = [("w0", &*token), ("w1", &*token)];
    assert_eq!(released(&harness.close_program(5, &token)), both);
    assert_eq!(released(&harness.tick_after(2_000)), both);
    let confirm = |endpoint: &str, released| Event::CacheReleased {
        endpoint: endpoint.to_string(),
        cache_tag: token.clone(),
        released,
    };
    harness.apply(confirm("w0", true));
    harness.apply(confirm("w1", false));
    assert_eq!(released(&harness.tick_after(4_000)), both[1..]);
    harness.reconfigure(|configuration| {
        let worker = configuration.endpoints.get_mut("w1").unwrap();
        worker.state = EndpointState::Removed;
    });
    assert_eq!(released(&harness.tick_after(60_000)), []);
}

/// A release must not be repeated once the program has made another call, since the
/// repetition would drop the new cache.
#[test]
fn returning_program_cancels_pending_release() {
    let mut harness = harness(RetentionKind::ReturnHistogram, &[4]);
    let token = harness.open_program(1, None);
    harness.arrive(call(2, &token));
    harness.finish(2);
    assert_eq!(released(&harness.tick_after(10_000)), [("w0", &*token)]);
    harness.arrive(call(3, &token));
    assert_eq!(released(&harness.tick_after(5_000)), []);
}

/// Once enough pauses of a class are recorded, cache must be kept during pauses of usual
/// length and released if pauses are too long to be worth it.
#[test]
fn pause_histogram_determines_how_long_cache_is_kept() {
    let mut harness = harness(RetentionKind::ReturnHistogram, &[4]);
    let token = harness.open_program(1, None);
    let mut id = 2;
    let mut pause = |harness: &mut Harness, ms: u64| {
        harness.arrive(call(id, &token));
        harness.finish(id);
        id += 1;
        let steps = (0..ms / 100).flat_map(|_| harness.tick_after(99));
        !released(&steps.collect::<Vec<_>>()).is_empty()
    };
    for _ in 0..30 {
        pause(&mut harness, 1_500);
    }
    assert!(!pause(&mut harness, 2_000), "most pauses are this short");
    assert!(pause(&mut harness, 5_000), "few pauses are longer than 2 s");
    for _ in 0..300 {
        pause(&mut harness, 20_000);
    }
    assert!(
        pause(&mut harness, 200),
        "keeping costs more than recomputing"
    );
}
