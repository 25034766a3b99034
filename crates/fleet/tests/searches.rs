//! The checks of all programs for idle ones and for needed grants. They run only after some
//! events, because each visits every program.

mod support;

use std::sync::Arc;

use jayreel_fleet::{FleetEffect, FleetEvent, FleetSettings, Input, Output, Reducer};
use jayreel_model::{Configuration, Customer, CustomerKey, KeyHash, Profile, RequestId};
use jayreel_programs::TokenKey;
use jayreel_scheduler::effect::Reply;
use jayreel_scheduler::event::{CallArrived, CallOperation};
use jayreel_scheduler::{Effect, Event, SchedulerSettings};
use support::{engine, incarnation};

const IDLE_MS: u64 = 60_000;
/// Longest time between the end of a program's idle time and the check that closes it: the
/// interval of the checks and one tick.
const CHECK_DELAY_MS: u64 = 300;
const BUDGET_TOKENS: u64 = 100_000;

fn reducer() -> Reducer {
    let own = incarnation("entry-0");
    let scheduler = SchedulerSettings::new(own.clone(), "zone-0", 7);
    let fleet = FleetSettings::new(own, "zone-0", "127.0.0.1:1", TokenKey::derive("t"));
    let mut reducer = Reducer::new(scheduler, fleet, 0);
    let event = Event::ConfigurationChanged(Arc::new(configuration()));
    reducer.apply(0, Input::Schedule(event));
    reducer
}

fn configuration() -> Configuration {
    let mut configuration = Configuration {
        revision: 1,
        ..Configuration::default()
    };
    let customer = Customer {
        rate_mreq_per_s: 1_000_000,
        burst_mreq: 1_000_000,
        weight: 1,
    };
    configuration.customers.insert("alpha".into(), customer);
    let key = CustomerKey {
        customer: "alpha".into(),
        withdrawn: false,
    };
    configuration.keys.insert(KeyHash::of_key("key"), key);
    let profile = Profile {
        budget_tokens: BUDGET_TOKENS,
        idle_timeout_ms: IDLE_MS,
        ..Profile::default()
    };
    configuration.profiles.insert("default".into(), profile);
    configuration.endpoints.insert("engine-0".into(), engine());
    configuration
}

fn arrived(id: u64, program: Option<&str>, operation: CallOperation) -> Input {
    Input::Schedule(Event::CallArrived(Box::new(CallArrived {
        request_id: RequestId(id),
        key: Some(KeyHash::of_key("key")),
        profile: None,
        program: program.map(str::to_string),
        parent: None,
        turn: None,
        epoch: None,
        idempotency_key: None,
        was_forwarded: false,
        operation,
    })))
}

/// Opens a program and returns its token.
fn open(reducer: &mut Reducer) -> String {
    let budget_tokens = None;
    let operation = CallOperation::OpenProgram { budget_tokens };
    let outputs = reducer.apply(0, arrived(1, None, operation));
    let token = outputs.iter().find_map(|output| match output {
        Output::Schedule(Effect::Reply {
            reply: Reply::ProgramOpened { token, .. },
            ..
        }) => Some(token.clone()),
        _ => None,
    });
    token.unwrap_or_else(|| panic!("no program was opened: {outputs:?}"))
}

/// Tries to close the program. Returns false if it has ended already.
fn close(reducer: &mut Reducer, now_ms: u64, token: &str) -> bool {
    let token = token.to_string();
    let outputs = reducer.apply(
        now_ms,
        arrived(2, None, CallOperation::CloseProgram { token }),
    );
    outputs.iter().any(|output| {
        let reply = Reply::ProgramClosed;
        matches!(output, Output::Schedule(Effect::Reply { reply: r, .. }) if *r == reply)
    })
}

/// Guards against programs that stay open after their idle time because no check for idle
/// programs runs.
#[test]
fn an_idle_program_ends_soon_after_its_idle_time() {
    let mut early = reducer();
    let token = open(&mut early);
    early.apply(IDLE_MS - 1, Input::Schedule(Event::Tick));
    assert!(close(&mut early, IDLE_MS - 1, &token));

    let mut late = reducer();
    let token = open(&mut late);
    for now_ms in (IDLE_MS - 1..=IDLE_MS + CHECK_DELAY_MS).step_by(50) {
        late.apply(now_ms, Input::Schedule(Event::Tick));
    }
    assert!(!close(&mut late, IDLE_MS + CHECK_DELAY_MS, &token));
}

/// Guards against a call that waits for a grant although no write of the budget record is
/// requested.
#[test]
fn a_call_beyond_the_first_tranche_requests_a_grant_at_once() {
    let mut reducer = reducer();
    let token = open(&mut reducer);
    let operation = CallOperation::Chat {
        model: "model".to_string(),
        max_tokens: Some(8),
        prompt_bound_tokens: BUDGET_TOKENS / 2,
        prefix_hashes: Vec::new(),
    };
    let outputs = reducer.apply(10, arrived(3, Some(&token), operation));
    let writes_budget =
        |output: &Output| matches!(output, Output::Fleet(FleetEffect::WriteBudget(_)));
    assert!(outputs.iter().any(writes_budget), "{outputs:?}");
}

/// Guards against a call that waits for a grant and gets no decision when the write of the
/// grant fails. Events of the fleet do not cause a tick, so the scheduler must be notified
/// directly.
#[test]
fn a_failed_grant_refuses_the_waiting_call_at_once() {
    let mut reducer = reducer();
    let token = open(&mut reducer);
    let operation = CallOperation::Chat {
        model: "model".to_string(),
        max_tokens: Some(8),
        prompt_bound_tokens: BUDGET_TOKENS / 2,
        prefix_hashes: Vec::new(),
    };
    let outputs = reducer.apply(10, arrived(3, Some(&token), operation));
    let record = outputs.into_iter().find_map(|output| match output {
        Output::Fleet(FleetEffect::WriteBudget(record)) => Some(record),
        _ => None,
    });
    let event = FleetEvent::BudgetWritten {
        record: record.unwrap(),
        confirmed: false,
    };
    let outputs = reducer.apply(20, Input::Fleet(event));
    let refused = |output: &Output| match output {
        Output::Schedule(Effect::Refuse { request_id, .. }) => {
            *request_id == RequestId(3)
        }
        _ => false,
    };
    assert!(outputs.iter().any(refused), "{outputs:?}");
}
