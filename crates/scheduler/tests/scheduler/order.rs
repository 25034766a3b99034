//! Order of a customer's waiting calls.

use jayreel_model::ClassOfService;
use jayreel_scheduler::PolicySettings;
use jayreel_scheduler::event::{CallArrived, TokenUsage};
use jayreel_scheduler::settings::OrderKind;
use test_case::test_case;

use crate::harness::{
    Harness, chat, configuration, dispatched_to, dispatches, profile_with,
};

const LARGE: TokenUsage = TokenUsage {
    prompt_tokens: 100_000,
    cached_tokens: 0,
    generated_tokens: 1_000,
};

/// A harness with one slot and with profiles for the interactive and the batch class.
fn harness(order: OrderKind) -> Harness {
    let mut configuration = configuration(&["a"], &[1]);
    let classes = [
        ("interactive", ClassOfService::Interactive),
        ("batch", ClassOfService::Batch),
    ];
    for (name, class) in classes {
        let profile = profile_with(|profile| {
            profile.class = class;
            profile.max_wait_ms = 1_000_000;
        });
        configuration.profiles.insert(name.to_string(), profile);
    }
    let policies = PolicySettings {
        order,
        order_quantum_tokens: 4_000,
        ..PolicySettings::default()
    };
    Harness::new(configuration, policies)
}

fn call(id: u64, program: &str) -> CallArrived {
    CallArrived {
        program: Some(program.to_string()),
        ..chat(id, "a")
    }
}

fn of_class(id: u64, profile: &str) -> CallArrived {
    CallArrived {
        profile: Some(profile.to_string()),
        ..chat(id, "a")
    }
}

/// A program with little attained service must not wait behind one with much of it. The
/// service of sub-agents must be included.
#[test_case(false; "the program itself")]
#[test_case(true; "a sub-agent")]
fn program_with_least_attained_service_runs_first(by_sub_agent: bool) {
    let mut harness = harness(OrderKind::LeastAttainedService);
    let large = harness.open_program(1, None);
    let worker = match by_sub_agent {
        true => harness.open_program(2, Some(&large)),
        false => large.clone(),
    };
    harness.arrive(call(3, &worker));
    harness.finish_with(3, Some(LARGE));
    let small = harness.open_program(4, None);
    harness.arrive(chat(5, "a"));
    harness.arrive(call(6, &large));
    harness.arrive(call(7, &small));
    assert_eq!(dispatched_to(&harness.finish(5)), [(7, "w0")]);
    assert_eq!(dispatched_to(&harness.finish(7)), [(6, "w0")]);
}

/// The first-come-first-served baseline must not depend on attained service.
#[test]
fn first_come_first_served_ignores_attained_service() {
    let mut harness = harness(OrderKind::FirstComeFirstServed);
    let large = harness.open_program(1, None);
    harness.arrive(call(3, &large));
    harness.finish_with(3, Some(LARGE));
    harness.arrive(chat(5, "a"));
    harness.arrive(call(6, &large));
    harness.arrive(chat(7, "a"));
    assert_eq!(dispatched_to(&harness.finish(5)), [(6, "w0")]);
}

/// The start of a program must be the arrival of its first call, not of its latest one.
#[test]
fn oldest_program_runs_first() {
    let mut harness = harness(OrderKind::OldestProgram);
    let old = harness.open_program(1, None);
    harness.arrive(call(2, &old));
    harness.finish_with(2, Some(LARGE));
    harness.arrive(chat(3, "a"));
    harness.arrive(chat(4, "a"));
    harness.arrive(call(5, &old));
    assert_eq!(dispatched_to(&harness.finish(3)), [(5, "w0")]);
}

/// The scheduling class must determine the order in the queue and the priority at the engine.
#[test]
fn urgent_class_runs_first() {
    let mut harness = harness(OrderKind::LeastAttainedService);
    harness.arrive(chat(1, "a"));
    harness.arrive(of_class(2, "batch"));
    harness.arrive(of_class(3, "interactive"));
    let first = harness.finish(1);
    let second = harness.finish(3);
    assert_eq!(dispatched_to(&first), [(3, "w0")]);
    assert_eq!(dispatched_to(&second), [(2, "w0")]);
    assert!(dispatches(&first)[0].priority < dispatches(&second)[0].priority);
}

/// A call of a large program and a batch call must eventually run, even while interactive
/// calls arrive faster than they can be served.
#[test]
fn ageing_prevents_starvation() {
    let mut harness = harness(OrderKind::LeastAttainedService);
    let large = harness.open_program(1, None);
    harness.arrive(call(2, &large));
    harness.finish_with(2, Some(LARGE));
    let mut running = 3;
    harness.arrive(of_class(running, "interactive"));
    harness.arrive(call(4, &large));
    harness.arrive(of_class(5, "batch"));
    let mut served = Vec::new();
    for id in 6..200 {
        harness.now_ms += 100;
        harness.arrive(of_class(2 * id, "interactive"));
        harness.arrive(of_class(2 * id + 1, "interactive"));
        running = dispatched_to(&harness.finish(running))[0].0;
        served.push(running);
    }
    assert!(!served[..20].contains(&4), "urgent calls come first");
    assert!(served.contains(&4) && served.contains(&5), "{served:?}");
}
