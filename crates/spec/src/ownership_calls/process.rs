//! Steps of the processes.

use std::rc::Rc;

use jayreel_model::{Incarnation, Profile, Ran, RequestId};
use jayreel_programs::ownership::decide;
use jayreel_programs::{
    Admission, CallParams, Decision, DeferredAdmission, OwnerLiveness, OwnerLookup,
    OwnerStatus, OwnershipView, ProgramEffects,
};

use super::model::{CallsModel, Fault};
use super::world::{Message, PendingCall, Response, Stage, State};
use crate::ownership::{Step, incarnation, process};

/// How long a registration must have been absent before the process is taken over.
pub(super) const TAKEOVER_DELAY_MS: u64 = 5_000;

/// The view that a process has of the liveness of all others, which may be wrong. All
/// registrations count as absent for long enough for a takeover.
pub(super) struct FixedLiveness(pub(super) OwnerLiveness);

impl OwnerLookup for FixedLiveness {
    fn owner(&self, _incarnation: &Incarnation) -> OwnerStatus {
        OwnerStatus {
            liveness: self.0,
            registration_absent_ms: Some(TAKEOVER_DELAY_MS),
        }
    }
}

impl CallsModel {
    /// A call arrives at process `at`. There is one step for each view of the owner's liveness.
    pub(super) fn receive(
        &self,
        state: &State,
        request: usize,
        at: usize,
        forwarder: Option<usize>,
        steps: &mut Vec<(Step, State)>,
    ) {
        for liveness in [OwnerLiveness::Alive, OwnerLiveness::Dead] {
            let owners = FixedLiveness(liveness);
            let own = incarnation(at);
            let view = OwnershipView {
                own: &own,
                takeovers: &state.processes[at].takeovers,
                owners: &owners,
                takeover_delay_ms: TAKEOVER_DELAY_MS,
            };
            let mut next = state.clone();
            match decide(view, &incarnation(0), forwarder.is_some()) {
                Decision::Serve => {
                    self.serve(&mut next, request, at, forwarder);
                    steps.push((Step::new("serve", at, request), next));
                    return;
                }
                Decision::Forward { to } => {
                    self.forward(state, request, at, process(&to), steps);
                }
                // A claim is a separate step. The caller has to repeat the call after it.
                Decision::ClaimTakeover { .. } | Decision::Refuse(_) => {
                    self.respond(&mut next, request, forwarder, Response::NotRun);
                    steps.push((Step::new("refuse", at, request), next));
                }
            }
        }
    }

    /// Forwards a call to `to`, or refuses it if there is no connection.
    fn forward(
        &self,
        state: &State,
        request: usize,
        at: usize,
        to: usize,
        steps: &mut Vec<(Step, State)>,
    ) {
        let mut next = state.clone();
        self.respond(&mut next, request, None, Response::NotRun);
        steps.push((Step::new("cannot connect", at, request), next));
        let mut next = state.clone();
        next.process(at).pending_calls.insert(PendingCall {
            request,
            stage: Stage::Forwarded,
            forwarder: None,
            was_retried: false,
        });
        next.messages.insert(Message::Call {
            request,
            at: to,
            forwarder: Some(at),
        });
        steps.push((Step::new("forward", at, request), next));
    }

    /// The responsible process admits a call.
    fn serve(
        &self,
        state: &mut State,
        request: usize,
        at: usize,
        forwarder: Option<usize>,
    ) {
        let params = self.params(state, request, at);
        let programs = Rc::make_mut(&mut state.process(at).programs);
        let admission = match programs.resolve(0, self.token(), &Profile::default()) {
            Ok(program) => programs.admit(0, program, params),
            Err(refusal) => Admission::Refuse(refusal),
        };
        let call = PendingCall {
            request,
            stage: Stage::Waiting,
            forwarder,
            was_retried: false,
        };
        state.process(at).pending_calls.insert(call);
        self.resolve(state, at, request, admission);
    }

    /// The call as the product sees it.
    fn params(&self, state: &State, request: usize, at: usize) -> CallParams {
        let sent_request = state.requests[request];
        let epoch = match self.fault {
            Fault::NoEpochCheck => Some(at),
            _ => sent_request.epoch,
        };
        CallParams {
            request_id: RequestId(request as u64),
            repeatable: self.repeatable,
            turn: u32::try_from(sent_request.action)
                .ok()
                .filter(|_| self.names_turns),
            epoch: epoch.map(incarnation),
            idempotency_key: self
                .has_idempotency_key
                .then(|| format!("action-{}", sent_request.action)),
            prompt_bound_tokens: 0,
            max_tokens: 0,
        }
    }

    /// Applies the admission decision on a pending call.
    fn resolve(&self, state: &mut State, at: usize, request: usize, response: Admission) {
        let mut pending_calls = state.processes[at].pending_calls.iter().copied();
        let Some(call) = pending_calls.find(|call| call.request == request) else {
            return;
        };
        match response {
            Admission::Run { .. } => state.set_stage(at, call, Stage::Admitted),
            Admission::Wait => {}
            Admission::NeedsGrant => unreachable!("calls in this model use no tokens"),
            Admission::Refuse(refusal) => {
                state.process(at).pending_calls.remove(&call);
                let response = match refusal.ran {
                    Ran::No => Response::NotRun,
                    Ran::Yes => Response::Done,
                    Ran::Unknown => Response::Unknown(Some(at)),
                };
                self.respond(state, request, call.forwarder, response);
            }
        }
    }

    /// Applies the decisions on deferred calls that a change of the program has caused.
    pub(super) fn apply_effects(
        &self,
        state: &mut State,
        at: usize,
        effects: ProgramEffects,
    ) {
        for DeferredAdmission {
            request_id,
            admission,
        } in effects.resolved
        {
            let request =
                usize::try_from(request_id.0).expect("request numbers are small");
            self.resolve(state, at, request, admission);
        }
    }

    /// The response of the endpoint arrives.
    pub(super) fn on_endpoint_response(
        &self,
        state: &mut State,
        at: usize,
        request: usize,
    ) {
        let mut pending_calls = state.processes[at].pending_calls.iter().copied();
        let is_sent =
            |call: &PendingCall| call.request == request && call.stage == Stage::Sent;
        let Some(call) = pending_calls.find(is_sent) else {
            return;
        };
        state.process(at).pending_calls.remove(&call);
        self.respond(state, request, call.forwarder, Response::Done);
        let programs = Rc::make_mut(&mut state.process(at).programs);
        let effects = programs.finish(0, RequestId(request as u64), None);
        self.apply_effects(state, at, effects);
    }

    pub(super) fn process_steps(
        &self,
        state: &State,
        at: usize,
        steps: &mut Vec<(Step, State)>,
    ) {
        self.read_takeover_records(state, at, steps);
        self.claim(state, at, steps);
        if self.has_handover && at == 0 {
            self.hand_over(state, steps);
        }
        for call in &state.processes[at].pending_calls {
            match call.stage {
                Stage::Waiting => {}
                Stage::Admitted => self.dispatch(state, at, *call, steps),
                Stage::Sent => self.break_endpoint_connection(state, at, *call, steps),
                Stage::Forwarded => self.break_forwarded_call(state, at, *call, steps),
            }
        }
    }

    /// Dispatches an admitted call, or refuses it after the dispatch deadline.
    fn dispatch(
        &self,
        state: &State,
        at: usize,
        call: PendingCall,
        steps: &mut Vec<(Step, State)>,
    ) {
        let request = call.request;
        let endpoint = Message::Endpoint { request, by: at };
        let mut next = state.clone();
        next.set_stage(at, call, Stage::Sent);
        next.messages.insert(endpoint);
        steps.push((Step::new("dispatch", at, request), next));
        let mut next = state.clone();
        next.process(at).pending_calls.remove(&call);
        if self.fault == Fault::DispatchAfterDeadline {
            next.messages.insert(endpoint);
        }
        self.respond(&mut next, request, call.forwarder, Response::NotRun);
        self.fail_call(&mut next, at, request, Ran::No);
        steps.push((Step::new("too late to dispatch", at, request), next));
    }

    /// The connection to the endpoint breaks, so that the outcome of the call is unknown.
    fn break_endpoint_connection(
        &self,
        state: &State,
        at: usize,
        call: PendingCall,
        steps: &mut Vec<(Step, State)>,
    ) {
        let request = call.request;
        let mut next = state.clone();
        next.process(at).pending_calls.remove(&call);
        self.respond(&mut next, request, call.forwarder, Response::Unknown(None));
        let ran = match self.fault {
            Fault::ForgetUnknown => Ran::No,
            _ => Ran::Unknown,
        };
        self.fail_call(&mut next, at, request, ran);
        steps.push((Step::new("endpoint connection breaks", at, request), next));
    }

    /// The connection to the process to which a call was forwarded breaks.
    fn break_forwarded_call(
        &self,
        state: &State,
        at: usize,
        call: PendingCall,
        steps: &mut Vec<(Step, State)>,
    ) {
        let request = call.request;
        let mut next = state.clone();
        next.process(at).pending_calls.remove(&call);
        let response = match self.fault {
            Fault::NotRunAfterSending => Response::NotRun,
            _ => Response::Unknown(None),
        };
        self.respond(&mut next, request, None, response);
        steps.push((Step::new("forwarding breaks", at, request), next));
        if self.fault != Fault::RetryAfterSending || call.was_retried {
            return;
        }
        let mut next = state.clone();
        next.process(at).pending_calls.remove(&call);
        next.process(at).pending_calls.insert(PendingCall {
            was_retried: true,
            ..call
        });
        for to in (0..self.processes).filter(|to| *to != at) {
            next.messages.insert(Message::Call {
                request,
                at: to,
                forwarder: Some(at),
            });
        }
        steps.push((Step::new("forward again", at, request), next));
    }

    fn fail_call(&self, state: &mut State, at: usize, request: usize, ran: Ran) {
        let programs = Rc::make_mut(&mut state.process(at).programs);
        let effects = programs.fail(0, RequestId(request as u64), ran);
        self.apply_effects(state, at, effects);
    }
}

impl State {
    /// Moves a pending call to another stage.
    fn set_stage(&mut self, at: usize, call: PendingCall, stage: Stage) {
        let pending_calls = &mut self.process(at).pending_calls;
        pending_calls.remove(&call);
        pending_calls.insert(PendingCall { stage, ..call });
    }
}
