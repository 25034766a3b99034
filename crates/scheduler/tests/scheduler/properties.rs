//! Property tests: random sequences of events, checked against a reference model.

use std::collections::{BTreeMap, BTreeSet};

use jayreel_model::{EndpointKind, EndpointState, Ran, RefusalReason, RequestId};
use jayreel_scheduler::effect::Dispatch;
use jayreel_scheduler::event::{CallArrived, CallOperation, LoadReport, TokenUsage};
use jayreel_scheduler::{Effect, Event, PolicySettings};
use proptest::collection::vec;
use proptest::prelude::*;
use proptest::test_runner::{RngAlgorithm, RngSeed, TestRunner};
use test_case::test_case;

use crate::harness::{Harness, chat, configuration, endpoint, key, route, service};

const CUSTOMERS: [&str; 3] = ["a", "b", "c"];
const ENDPOINTS: [&str; 5] = ["w0", "w1", "w2", "s0", "s1"];
const PROGRAM: u64 = 1;

#[derive(Clone, Copy, Debug, PartialEq)]
enum Phase {
    /// Arrived, or waiting for a retry.
    Waiting,
    Dispatched,
    Sent,
    ResponseStarted,
    /// Refused while the endpoint may still be working.
    Cancelled,
    Ended,
}

/// State of one call in the reference model.
#[derive(Clone, Debug)]
struct TrackedCall {
    call: CallArrived,
    phase: Phase,
    endpoint: Option<String>,
    /// Whether a byte of any attempt may have reached an endpoint.
    ever_sent: bool,
    repeatable: bool,
    open: bool,
    in_program: bool,
    outcomes: u32,
}

/// Reference model: the state of all calls as derived from events and effects alone.
struct ReferenceModel {
    harness: Harness,
    calls: BTreeMap<u64, TrackedCall>,
    withdrawn: BTreeSet<&'static str>,
    leaving: BTreeSet<String>,
    token: String,
    next_id: u64,
}

/// A random operation: kind, and two parameters whose meaning depends on the kind.
type Operation = (u8, u16, u16);

impl ReferenceModel {
    fn new(policies: PolicySettings) -> ReferenceModel {
        let mut configuration = configuration(&CUSTOMERS, &[1, 2, 3]);
        for name in ["s0", "s1"] {
            let mut plain = endpoint("records-office", 2);
            plain.kind = EndpointKind::PlainService;
            configuration.endpoints.insert(name.to_string(), plain);
        }
        let routes = &mut configuration.routes;
        routes.insert("file".to_string(), route("/file", false, false));
        routes.insert("read".to_string(), route("/read", true, false));
        routes.insert("open".to_string(), route("/open", false, true));
        let mut harness = Harness::new(configuration, policies);
        let token = harness.open_program(PROGRAM, None);
        ReferenceModel {
            harness,
            calls: BTreeMap::new(),
            withdrawn: BTreeSet::new(),
            leaving: BTreeSet::new(),
            token,
            next_id: PROGRAM + 1,
        }
    }

    fn run(&mut self, operations: Vec<Operation>) {
        for operation in operations {
            self.execute(operation);
        }
        self.run_to_completion();
    }

    fn execute(&mut self, (kind, a, b): Operation) {
        let customer = CUSTOMERS[usize::from(a) % CUSTOMERS.len()];
        let endpoint = ENDPOINTS[usize::from(a) % ENDPOINTS.len()].to_string();
        match kind {
            0..=49 => self.arrive(customer, b),
            50..=59 => self.advance(a, Phase::Dispatched, Phase::Sent),
            60..=67 => self.advance(a, Phase::Sent, Phase::ResponseStarted),
            68..=89 => self.finish(a, b),
            90..=101 => self.fail(a, b),
            102..=109 => self.caller_gone(a),
            110..=119 => {
                self.harness.now_ms += u64::from(b) % 20_000;
                self.apply(Event::Tick, None);
            }
            120..=123 => self.set_state(&endpoint, b),
            124 => self.withdraw(customer, b),
            125 => self.replay_old_configuration(),
            126 => self.set_leaving(endpoint, b),
            _ => self.report(endpoint, a, b),
        }
    }

    fn arrive(&mut self, customer: &'static str, kind: u16) {
        let id = self.next_id;
        self.next_id += 1;
        let (call, repeatable) = match kind % 8 {
            0 => (service(id, customer, "/file/x"), false),
            1 => (service(id, customer, "/read"), true),
            2 => (service(id, customer, "/open"), false),
            3 => (service(id, customer, "/filex"), false),
            4 | 5 => (self.program_call(id, customer), true),
            _ => (chat(id, customer), true),
        };
        let tracked = TrackedCall {
            open: kind % 8 == 2,
            in_program: call.program.is_some(),
            call: call.clone(),
            phase: Phase::Waiting,
            endpoint: None,
            ever_sent: false,
            repeatable,
            outcomes: 0,
        };
        self.calls.insert(id, tracked);
        self.apply(Event::CallArrived(Box::new(call)), None);
    }

    fn program_call(&self, id: u64, customer: &str) -> CallArrived {
        CallArrived {
            program: Some(self.token.clone()),
            ..chat(id, customer)
        }
    }

    /// Picks the call with index `a`, modulo their number, among those in one of the phases.
    fn select(&self, a: u16, phases: &[Phase]) -> Option<u64> {
        let matching: Vec<u64> = self
            .calls
            .iter()
            .filter(|(_, tracked)| phases.contains(&tracked.phase))
            .map(|(id, _)| *id)
            .collect();
        let index = usize::from(a).checked_rem(matching.len())?;
        Some(matching[index])
    }

    fn advance(&mut self, a: u16, from: Phase, to: Phase) {
        let Some(id) = self.select(a, &[from]) else {
            return;
        };
        let tracked = self.calls.get_mut(&id).unwrap();
        tracked.phase = to;
        tracked.ever_sent = true;
        let request_id = RequestId(id);
        let event = match to {
            Phase::Sent => Event::CallSent { request_id },
            _ => Event::FirstToken { request_id },
        };
        self.apply(event, None);
    }

    fn finish(&mut self, a: u16, b: u16) {
        let phases = [Phase::Sent, Phase::ResponseStarted, Phase::Cancelled];
        let Some(id) = self.select(a, &phases) else {
            return;
        };
        let tracked = self.calls.get_mut(&id).unwrap();
        if tracked.phase != Phase::Cancelled {
            tracked.outcomes += 1;
        }
        tracked.phase = Phase::Ended;
        let usage = TokenUsage {
            prompt_tokens: u64::from(b),
            cached_tokens: u64::from(b / 2),
            generated_tokens: u64::from(b % 100),
        };
        let event = Event::CallFinished {
            request_id: RequestId(id),
            usage: (!b.is_multiple_of(3)).then_some(usage),
        };
        self.apply(event, None);
    }

    fn fail(&mut self, a: u16, b: u16) {
        let phases = [
            Phase::Dispatched,
            Phase::Sent,
            Phase::ResponseStarted,
            Phase::Cancelled,
        ];
        let Some(id) = self.select(a, &phases) else {
            return;
        };
        let ran = match b % 3 {
            0 => Ran::No,
            1 => Ran::Unknown,
            _ => Ran::Yes,
        };
        let reason = match b / 3 % 3 {
            0 => RefusalReason::EndpointFailed,
            1 => RefusalReason::EndpointTimeout,
            _ => RefusalReason::NotReady,
        };
        let tracked = self.calls.get_mut(&id).unwrap();
        tracked.ever_sent |= ran != Ran::No;
        if tracked.phase == Phase::Cancelled {
            tracked.phase = Phase::Ended;
        }
        let event = Event::CallFailed {
            request_id: RequestId(id),
            ran,
            reason,
            message: String::new(),
        };
        self.apply(event, Some(id));
    }

    fn caller_gone(&mut self, a: u16) {
        let phases = [
            Phase::Waiting,
            Phase::Dispatched,
            Phase::Sent,
            Phase::ResponseStarted,
        ];
        if let Some(id) = self.select(a, &phases) {
            let request_id = RequestId(id);
            self.apply(Event::CallerGone { request_id }, None);
            assert!(
                self.calls[&id].outcomes == 1,
                "call {id} outlives its caller"
            );
        }
    }

    fn set_state(&mut self, endpoint: &str, b: u16) {
        let state = match b % 4 {
            0 => EndpointState::Draining,
            1 => EndpointState::Removed,
            _ => EndpointState::Active,
        };
        self.harness.configuration.revision += 1;
        let endpoints = &mut self.harness.configuration.endpoints;
        endpoints.get_mut(endpoint).unwrap().state = state;
        self.send_configuration();
    }

    fn withdraw(&mut self, customer: &'static str, b: u16) {
        self.withdrawn.insert(customer);
        if b.is_multiple_of(2) {
            let key = key(customer);
            self.apply(Event::KeyWithdrawn { key }, None);
        } else {
            self.harness.configuration.revision += 1;
            let keys = &mut self.harness.configuration.keys;
            keys.get_mut(&key(customer)).unwrap().withdrawn = true;
            self.send_configuration();
        }
        for (id, tracked) in &self.calls {
            let affected = tracked.call.key == Some(key(customer)) && !tracked.open;
            assert!(
                !affected || tracked.outcomes == 1,
                "call {id} outlives its key"
            );
        }
    }

    fn replay_old_configuration(&mut self) {
        let mut old = configuration(&CUSTOMERS, &[9, 9, 9]);
        old.revision = 1;
        self.apply(Event::ConfigurationChanged(old.into()), None);
    }

    fn send_configuration(&mut self) {
        let configuration = self.harness.configuration.clone();
        self.apply(Event::ConfigurationChanged(configuration.into()), None);
    }

    fn set_leaving(&mut self, endpoint: String, b: u16) {
        match b % 3 {
            0 => self.leaving.insert(endpoint),
            _ => self.leaving.remove(&endpoint),
        };
        let names = self.leaving.clone();
        self.apply(Event::EndpointsLeaving { names }, None);
    }

    fn report(&mut self, endpoint: String, a: u16, b: u16) {
        let event = match a % 4 {
            0 => Event::FleetChanged {
                live_instances: u32::from(b % 9),
                position: u32::from(b % 7),
            },
            1 => Event::ProbeFinished {
                endpoint,
                healthy: b.is_multiple_of(2),
            },
            _ => Event::LoadReported {
                endpoint,
                report: LoadReport {
                    running: u32::from(b % 6),
                    waiting: u32::from(b % 2),
                    age_ms: u64::from(b % 900),
                },
            },
        };
        self.apply(event, None);
    }

    /// Applies an event and checks its effects. `failed` is the call that the event
    /// reports as failed.
    fn apply(&mut self, event: Event, failed: Option<u64>) {
        let effects = self.harness.apply(event);
        if let Some(id) = failed {
            self.end_attempt(id, &effects);
        }
        for effect in &effects {
            match effect {
                Effect::Dispatch(dispatch) => self.check_dispatch(dispatch),
                Effect::Refuse {
                    request_id,
                    refusal,
                } => self.check_refusal(request_id.0, refusal.ran, failed),
                Effect::Cancel { request_id } => self.check_cancel(request_id.0),
                Effect::Reply { .. } | Effect::Forward { .. } => {
                    panic!("unexpected {effect:?}")
                }
                _ => {}
            }
        }
    }

    /// Records that an attempt failed. A call that is not refused waits for a retry.
    fn end_attempt(&mut self, id: u64, effects: &[Effect]) {
        let refusal = |effect: &Effect| match effect {
            Effect::Refuse { request_id, .. } => request_id.0 == id,
            _ => false,
        };
        let tracked = self.calls.get_mut(&id).unwrap();
        tracked.endpoint = None;
        if tracked.phase == Phase::Ended || effects.iter().any(refusal) {
            return;
        }
        assert!(
            tracked.phase != Phase::ResponseStarted,
            "call {id} is retried after its response has started"
        );
        assert!(
            tracked.repeatable || !tracked.ever_sent,
            "non-repeatable call {id} may run twice"
        );
        tracked.phase = Phase::Waiting;
    }

    fn check_dispatch(&mut self, dispatch: &Dispatch) {
        let id = dispatch.request_id.0;
        let name = &dispatch.endpoint;
        let in_flight = self.in_flight(name);
        let endpoint = &self.harness.configuration.endpoints[name];
        let tracked = &self.calls[&id];
        assert_eq!(tracked.phase, Phase::Waiting, "call {id} is dispatched");
        assert_eq!(endpoint.state, EndpointState::Active, "call {id} to {name}");
        assert!(
            !self.leaving.contains(name),
            "call {id} to {name}, which is being shut down"
        );
        assert!(in_flight < endpoint.slots, "{name} has no free slot");
        let serves = match &tracked.call.operation {
            CallOperation::Chat { model, .. } => endpoint.models.contains(model),
            _ => endpoint.group == "records-office",
        };
        assert!(serves, "call {id} to {name}, which does not serve it");
        let owner = |customer: &&str| tracked.call.key == Some(key(customer));
        let withdrawn = self.withdrawn.iter().any(owner);
        assert!(tracked.open || !withdrawn, "call {id} of a withdrawn key");
        let program_busy = tracked.in_program
            && self.calls.values().any(|other| {
                other.in_program && !matches!(other.phase, Phase::Waiting | Phase::Ended)
            });
        assert!(
            !program_busy,
            "call {id} runs concurrently with a call of its program"
        );
        let tracked = self.calls.get_mut(&id).unwrap();
        tracked.phase = Phase::Dispatched;
        tracked.endpoint = Some(name.clone());
    }

    fn in_flight(&self, name: &str) -> u32 {
        let here = |tracked: &&TrackedCall| {
            tracked.endpoint.as_deref() == Some(name)
                && !matches!(tracked.phase, Phase::Waiting | Phase::Ended)
        };
        self.calls.values().filter(here).count() as u32
    }

    fn check_refusal(&mut self, id: u64, ran: Ran, failed: Option<u64>) {
        let tracked = self.calls.get_mut(&id).unwrap();
        tracked.outcomes += 1;
        assert_eq!(tracked.outcomes, 1, "call {id} has a second outcome");
        let may_have_run = match tracked.phase {
            Phase::Dispatched if failed == Some(id) => tracked.ever_sent,
            Phase::Waiting => tracked.ever_sent,
            _ => true,
        };
        assert!(
            ran != Ran::No || !may_have_run,
            "call {id} in {:?} refused as not run",
            tracked.phase
        );
        tracked.phase = match tracked.phase {
            Phase::Waiting => Phase::Ended,
            _ if failed == Some(id) => Phase::Ended,
            _ => Phase::Cancelled,
        };
    }

    fn check_cancel(&self, id: u64) {
        let phase = self.calls[&id].phase;
        let running = [Phase::Dispatched, Phase::Sent, Phase::ResponseStarted];
        assert!(running.contains(&phase), "call {id} cancelled in {phase:?}");
    }

    /// Lets all calls end, and checks that each call has exactly one outcome.
    fn run_to_completion(&mut self) {
        self.apply(Event::DrainStarted, None);
        for _ in 0..200 {
            self.advance(0, Phase::Dispatched, Phase::Sent);
            self.finish(0, 1);
            self.harness.now_ms += 1_000;
            self.apply(Event::Tick, None);
        }
        while self.harness.scheduler.call_count() > 0 {
            let before = self.harness.scheduler.call_count();
            self.advance(0, Phase::Dispatched, Phase::Sent);
            self.finish(0, 1);
            assert!(
                self.harness.scheduler.call_count() < before,
                "a call is stuck"
            );
        }
        for (id, tracked) in &self.calls {
            assert_eq!(tracked.outcomes, 1, "outcomes of call {id}: {tracked:?}");
        }
    }
}

fn config(cases: u32, seed: u64) -> ProptestConfig {
    ProptestConfig {
        cases,
        failure_persistence: None,
        rng_algorithm: RngAlgorithm::ChaCha,
        rng_seed: RngSeed::Fixed(seed),
        ..ProptestConfig::default()
    }
}

/// Each call must have exactly one outcome. No call must be refused as not run after it was
/// sent (G10), retried after it was sent unless it is repeatable (G11), run concurrently with
/// a call of its program (G1), be dispatched after its cancellation, be sent to an endpoint
/// that is draining, announced for shutdown, removed or full (G12), or continue after its key
/// was withdrawn (G7) or its caller has disconnected.
#[test_case(PolicySettings::default(), 1; "default policies")]
#[test_case(PolicySettings::round_robin_baseline(), 2; "round robin")]
#[test_case(PolicySettings::fewest_outstanding_baseline(), 3; "fewest outstanding")]
fn calls_end_once_with_correct_outcome(policies: PolicySettings, seed: u64) {
    let operations = vec((0_u8..=135, any::<u16>(), any::<u16>()), 1..250);
    let mut runner = TestRunner::new(config(400, seed));
    let result = runner.run(&operations, |operations| {
        ReferenceModel::new(policies.clone()).run(operations);
        Ok(())
    });
    if let Err(error) = result {
        panic!("{error}");
    }
}

/// No slot must stay free while a call waits that could use it. Holds only for policies that
/// do not make calls wait for a cached prefix.
#[test_case(PolicySettings::round_robin_baseline(), 4; "round robin")]
#[test_case(PolicySettings { affinity_hold_ms: 0, ..PolicySettings::default() }, 5; "default policies without waiting for cached prefixes")]
fn no_slot_stays_free_while_calls_wait(policies: PolicySettings, seed: u64) {
    let operations = vec((0_u8..=2, any::<u16>(), 0_u16..3), 1..200);
    let mut runner = TestRunner::new(config(200, seed));
    let result = runner.run(&operations, |operations| {
        let mut model = ReferenceModel::new(policies.clone());
        for (kind, a, b) in operations {
            match kind {
                0 | 1 => model.arrive(CUSTOMERS[usize::from(b)], 6),
                _ => {
                    model.advance(a, Phase::Dispatched, Phase::Sent);
                    model.finish(a, 1);
                }
            }
            let waiting = model.select(0, &[Phase::Waiting]).is_some();
            let endpoints = &model.harness.configuration.endpoints;
            let free = ["w0", "w1", "w2"]
                .iter()
                .any(|name| model.in_flight(name) < endpoints[*name].slots);
            prop_assert!(!(waiting && free));
        }
        Ok(())
    });
    if let Err(error) = result {
        panic!("{error}");
    }
}
