//! What the processes do.

use std::rc::Rc;

use jayreel_model::{Incarnation, Profile, Ran, RequestId};
use jayreel_programs::ownership::decide;
use jayreel_programs::{
    Admission, CallParams, Decision, DeferredAdmission, OwnerLiveness, OwnerLookup,
    OwnerStatus, OwnershipView, ProgramEffects,
};

use super::model::{CallsModel, Fault};
use super::world::{Answer, Held, Message, Stage, State};
use crate::ownership::{Step, incarnation, process};

pub(super) const TAKEOVER_DELAY_MS: u64 = 5_000;

/// What a process believes of all others. Any belief may be wrong, and the registration of
/// any process may have lapsed.
pub(super) struct Belief(pub(super) OwnerLiveness);

impl OwnerLookup for Belief {
    fn owner(&self, _incarnation: &Incarnation) -> OwnerStatus {
        OwnerStatus {
            liveness: self.0,
            registration_absent_ms: Some(TAKEOVER_DELAY_MS),
        }
    }
}

impl CallsModel {
    /// A call arrives. There is one step for each belief about its owner.
    pub(super) fn receive(
        &self,
        state: &State,
        request: usize,
        at: usize,
        via: Option<usize>,
        steps: &mut Vec<(Step, State)>,
    ) {
        for liveness in [OwnerLiveness::Alive, OwnerLiveness::Dead] {
            let belief = Belief(liveness);
            let own = incarnation(at);
            let view = OwnershipView {
                own: &own,
                takeovers: &state.processes[at].takeovers,
                owners: &belief,
                takeover_delay_ms: TAKEOVER_DELAY_MS,
            };
            let mut next = state.clone();
            match decide(view, &incarnation(0), via.is_some()) {
                Decision::Serve => {
                    self.serve(&mut next, request, at, via);
                    steps.push((Step::new("serve", at, request), next));
                    return;
                }
                Decision::Forward { to } => {
                    self.forward(state, request, at, process(&to), steps);
                }
                // Claims are steps of their own, and the caller asks again.
                Decision::ClaimTakeover { .. } | Decision::Refuse(_) => {
                    self.answer(&mut next, request, via, Answer::NotRun);
                    steps.push((Step::new("refuse", at, request), next));
                }
            }
        }
    }

    fn forward(
        &self,
        state: &State,
        request: usize,
        at: usize,
        to: usize,
        steps: &mut Vec<(Step, State)>,
    ) {
        let mut next = state.clone();
        self.answer(&mut next, request, None, Answer::NotRun);
        steps.push((Step::new("cannot connect", at, request), next));
        let mut next = state.clone();
        next.process(at).held.insert(Held {
            request,
            stage: Stage::Forwarded,
            via: None,
            was_retried: false,
        });
        next.messages.insert(Message::Call {
            request,
            at: to,
            via: Some(at),
        });
        steps.push((Step::new("forward", at, request), next));
    }

    fn serve(&self, state: &mut State, request: usize, at: usize, via: Option<usize>) {
        let facts = self.facts(state, request, at);
        let programs = Rc::make_mut(&mut state.process(at).programs);
        let admission = match programs.resolve(0, self.token(), &Profile::default()) {
            Ok(program) => programs.admit(0, program, facts),
            Err(refusal) => Admission::Refuse(refusal),
        };
        let held = Held {
            request,
            stage: Stage::Waiting,
            via,
            was_retried: false,
        };
        state.process(at).held.insert(held);
        self.resolve(state, at, request, admission);
    }

    fn facts(&self, state: &State, request: usize, at: usize) -> CallParams {
        let one = state.requests[request];
        let epoch = match self.fault {
            Fault::NoEpochCheck => Some(at),
            _ => one.epoch,
        };
        CallParams {
            request_id: RequestId(request as u64),
            repeatable: self.repeatable,
            turn: u32::try_from(one.action).ok().filter(|_| self.turns),
            epoch: epoch.map(incarnation),
            idempotency_key: self.keyed.then(|| format!("action-{}", one.action)),
            prompt_bound_tokens: 0,
            max_tokens: 0,
        }
    }

    /// Acts on the answer to a call that is held.
    fn resolve(&self, state: &mut State, at: usize, request: usize, answer: Admission) {
        let held = state.processes[at].held.iter();
        let Some(held) = held.copied().find(|one| one.request == request) else {
            return;
        };
        match answer {
            Admission::Run { .. } => state.set_stage(at, held, Stage::Decided),
            Admission::Wait => {}
            Admission::NeedsGrant => unreachable!("the calls cost no tokens"),
            Admission::Refuse(refusal) => {
                state.process(at).held.remove(&held);
                let answer = match refusal.ran {
                    Ran::No => Answer::NotRun,
                    Ran::Yes => Answer::Done,
                    Ran::Unknown => Answer::Unknown(Some(at)),
                };
                self.answer(state, request, held.via, answer);
            }
        }
    }

    pub(super) fn follow(
        &self,
        state: &mut State,
        at: usize,
        transition: ProgramEffects,
    ) {
        for DeferredAdmission {
            request_id,
            admission,
        } in transition.resolved
        {
            let request = usize::try_from(request_id.0).expect("a small number");
            self.resolve(state, at, request, admission);
        }
    }

    /// The endpoint's answer arrives.
    pub(super) fn finish(&self, state: &mut State, at: usize, request: usize) {
        let held = state.processes[at].held.iter();
        let sent = |one: &Held| one.request == request && one.stage == Stage::Sent;
        let Some(held) = held.copied().find(sent) else {
            return;
        };
        state.process(at).held.remove(&held);
        self.answer(state, request, held.via, Answer::Done);
        let programs = Rc::make_mut(&mut state.process(at).programs);
        let transition = programs.finish(0, RequestId(request as u64), None);
        self.follow(state, at, transition);
    }

    pub(super) fn process_steps(
        &self,
        state: &State,
        at: usize,
        steps: &mut Vec<(Step, State)>,
    ) {
        self.read_records(state, at, steps);
        self.claim(state, at, steps);
        if self.has_handover && at == 0 {
            self.hand_over(state, steps);
        }
        for held in &state.processes[at].held {
            match held.stage {
                Stage::Waiting => {}
                Stage::Decided => self.dispatch(state, at, *held, steps),
                Stage::Sent => self.lose_result(state, at, *held, steps),
                Stage::Forwarded => self.break_forward(state, at, *held, steps),
            }
        }
    }

    fn dispatch(
        &self,
        state: &State,
        at: usize,
        held: Held,
        steps: &mut Vec<(Step, State)>,
    ) {
        let request = held.request;
        let endpoint = Message::Endpoint { request, by: at };
        let mut next = state.clone();
        next.set_stage(at, held, Stage::Sent);
        next.messages.insert(endpoint);
        steps.push((Step::new("dispatch", at, request), next));
        let mut next = state.clone();
        next.process(at).held.remove(&held);
        if self.fault == Fault::DispatchAfterDeadline {
            next.messages.insert(endpoint);
        }
        self.answer(&mut next, request, held.via, Answer::NotRun);
        self.fail(&mut next, at, request, Ran::No);
        steps.push((Step::new("too late to dispatch", at, request), next));
    }

    fn lose_result(
        &self,
        state: &State,
        at: usize,
        held: Held,
        steps: &mut Vec<(Step, State)>,
    ) {
        let request = held.request;
        let mut next = state.clone();
        next.process(at).held.remove(&held);
        self.answer(&mut next, request, held.via, Answer::Unknown(None));
        let ran = match self.fault {
            Fault::ForgetUnknown => Ran::No,
            _ => Ran::Unknown,
        };
        self.fail(&mut next, at, request, ran);
        steps.push((Step::new("endpoint connection breaks", at, request), next));
    }

    fn break_forward(
        &self,
        state: &State,
        at: usize,
        held: Held,
        steps: &mut Vec<(Step, State)>,
    ) {
        let request = held.request;
        let mut next = state.clone();
        next.process(at).held.remove(&held);
        let answer = match self.fault {
            Fault::NotRunAfterSending => Answer::NotRun,
            _ => Answer::Unknown(None),
        };
        self.answer(&mut next, request, None, answer);
        steps.push((Step::new("forwarding breaks", at, request), next));
        if self.fault != Fault::RetryAfterSending || held.was_retried {
            return;
        }
        let mut next = state.clone();
        next.process(at).held.remove(&held);
        next.process(at).held.insert(Held {
            was_retried: true,
            ..held
        });
        for to in (0..self.processes).filter(|to| *to != at) {
            next.messages.insert(Message::Call {
                request,
                at: to,
                via: Some(at),
            });
        }
        steps.push((Step::new("forward again", at, request), next));
    }

    fn fail(&self, state: &mut State, at: usize, request: usize, ran: Ran) {
        let programs = Rc::make_mut(&mut state.process(at).programs);
        let transition = programs.fail(0, RequestId(request as u64), ran);
        self.follow(state, at, transition);
    }
}

impl State {
    fn set_stage(&mut self, at: usize, held: Held, stage: Stage) {
        let all = &mut self.process(at).held;
        all.remove(&held);
        all.insert(Held { stage, ..held });
    }
}
