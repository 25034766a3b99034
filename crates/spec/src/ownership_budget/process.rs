//! Steps of the processes.

use std::rc::Rc;

use jayreel_model::{Incarnation, Profile, RequestId};
use jayreel_programs::ownership::decide;
use jayreel_programs::{
    Admission, BudgetRecord, CallParams, Decision, OwnerLiveness, OwnerLookup,
    OwnerStatus, OwnershipView, ProgramEffects, Usage,
};

use super::world::{BudgetModel, Fault, Process, State, Stored, Write, token};
use crate::ownership::{Step, incarnation, process};

/// Number of every request, since a process has only one at a time.
const REQUEST: RequestId = RequestId(0);

/// An [`OwnerLookup`] that reports every process as dead and unregistered, so that a process
/// may claim the takeover of any other.
struct AllDead;

impl OwnerLookup for AllDead {
    fn owner(&self, _incarnation: &Incarnation) -> OwnerStatus {
        OwnerStatus {
            liveness: OwnerLiveness::Dead,
            registration_absent_ms: Some(0),
        }
    }
}

impl BudgetModel {
    pub(super) fn process_steps(
        &self,
        state: &State,
        at: usize,
        steps: &mut Vec<(Step, State)>,
    ) {
        match self.decide(state, at) {
            Decision::Serve => self.call(state, at, steps),
            Decision::ClaimTakeover { of } => self.claim(state, at, process(&of), steps),
            Decision::Forward { .. } | Decision::Refuse(_) => {}
        }
        self.write(state, at, steps);
        self.read_back(state, at, steps);
        self.read_takeover_records(state, at, steps);
        if at == 1
            && self.fault == Fault::ReadBeforeClaim
            && state.processes[at].grants_before_claim.is_none()
        {
            let mut next = state.clone();
            next.process(at).grants_before_claim = Some(state.stored.clone());
            steps.push((Step::new("read grants early", at, 0), next));
        }
        if self.has_handover && at == 0 {
            self.hand_over(state, steps);
        }
    }

    fn decide(&self, state: &State, at: usize) -> Decision {
        let own = incarnation(at);
        let view = OwnershipView {
            own: &own,
            takeovers: &state.processes[at].takeovers,
            owners: &AllDead,
            takeover_delay_ms: 0,
        };
        decide(view, &incarnation(0), false)
    }

    /// A process that considers itself responsible admits a call.
    fn call(&self, state: &State, at: usize, steps: &mut Vec<(Step, State)>) {
        let mut next = state.clone();
        let process_state = next.process(at);
        let Ok(program) = process_state
            .programs
            .resolve(0, token(), &Profile::default())
        else {
            return;
        };
        let params = CallParams {
            request_id: REQUEST,
            repeatable: true,
            turn: None,
            epoch: None,
            idempotency_key: None,
            prompt_bound_tokens: 0,
            max_tokens: 1,
        };
        match process_state.programs.admit(0, program, params) {
            Admission::Run { max_tokens, .. } => process_state.spend(max_tokens),
            Admission::NeedsGrant => {}
            // `Wait` means that an earlier call waits for a grant already.
            Admission::Refuse(_) | Admission::Wait => return,
        }
        steps.push((Step::new("call", at, 0), next));
    }

    /// The process writes the grants that it needs to the store.
    fn write(&self, state: &State, at: usize, steps: &mut Vec<(Step, State)>) {
        let mut next = state.clone();
        let process_state = next.process(at);
        let Some(record) = process_state.programs.next_budget_record() else {
            return;
        };
        let record = Rc::new(record);
        process_state.pending = Some(record.clone());
        let expected_version = process_state.known_version;
        if self.fault == Fault::SpendBeforeRecord {
            process_state.on_record_written(&record);
        }
        next.send_write(Write {
            by: at,
            expected_version,
            record,
        });
        steps.push((Step::new("write grants", at, 0), next));
    }

    /// After a write got a response, or its response was lost, the process reads what is stored.
    fn read_back(&self, state: &State, at: usize, steps: &mut Vec<(Step, State)>) {
        let Some(pending) = &state.processes[at].pending else {
            return;
        };
        let stored = &state.stored[at];
        let mut next = state.clone();
        let process_state = next.process(at);
        process_state.pending = None;
        process_state.known_version = stored.version;
        if stored.record.as_ref() == Some(pending) {
            process_state.on_record_written(pending);
        } else {
            let effects = process_state.programs.budget_record_failed();
            process_state.apply_effects(&effects);
        }
        steps.push((Step::new("read grants back", at, 0), next));
    }

    /// Process `at` claims the takeover of process `of`.
    fn claim(&self, state: &State, at: usize, of: usize, steps: &mut Vec<(Step, State)>) {
        let mut next = state.clone();
        let is_applied = next.apply_claim(of, at, self.fault);
        if is_applied && self.fault == Fault::ClaimWithoutCompare {
            // Since the store does not compare, the claimant considers its claim successful.
            self.learn_takeovers(&mut next, at);
        }
        steps.push((Step::new("claim", at, of), next));
    }

    /// Process `at` reads the takeover records if there are new ones.
    fn read_takeover_records(
        &self,
        state: &State,
        at: usize,
        steps: &mut Vec<(Step, State)>,
    ) {
        let known = &state.processes[at].takeovers;
        let is_new = |of: usize| known.successor(&incarnation(of)).is_none();
        if state.takeover_records().iter().any(|(of, _)| is_new(*of)) {
            let mut next = state.clone();
            self.learn_takeovers(&mut next, at);
            steps.push((Step::new("read records", at, 0), next));
        }
    }

    /// Process `at` reads the takeover records and then the grants of all predecessors, which
    /// it charges to the budget. It stops serving if it was taken over itself.
    fn learn_takeovers(&self, state: &mut State, at: usize) {
        let own = incarnation(at);
        let records = state.takeover_records();
        let stored = state.stored.clone();
        let process_state = state.process(at);
        for (of, record) in records {
            process_state.takeovers.learn(incarnation(of), &record);
        }
        let stored = process_state
            .grants_before_claim
            .as_ref()
            .unwrap_or(&stored)
            .clone();
        for predecessor in process_state.takeovers.predecessors(&own) {
            let grants = self.grants_as_read(&stored, process(&predecessor));
            process_state.programs.adopt(predecessor, grants);
        }
        if process_state.takeovers.successor(&own).is_some() {
            let effects = process_state.programs.supersede();
            process_state.apply_effects(&effects);
        }
    }

    /// The stored grants of process `of` as a successor reads them.
    fn grants_as_read(&self, stored: &[Stored], of: usize) -> Option<BudgetRecord> {
        let record = stored[of].record.as_deref().cloned();
        match self.fault {
            Fault::ChargeKnownSpending => record.map(|record| BudgetRecord {
                is_final: true,
                live: record.live.iter().map(|grant| (grant.0, 0)).collect(),
                ..record
            }),
            Fault::IgnoreSuccessorRecords => record.filter(|_| of == 0),
            _ => record,
        }
    }

    /// Process 0 exports its programs and names process 1 as its successor, in one transaction.
    fn hand_over(&self, state: &State, steps: &mut Vec<(Step, State)>) {
        let is_successful = state.successors[0].is_none()
            && state.stored[0].version == state.processes[0].known_version;
        let to = 1;
        let mut next = state.clone();
        let Some(handover) = next.process(0).programs.export() else {
            return;
        };
        if is_successful {
            next.successors[0] = Some(to);
            next.stored[0].version += 1;
            next.stored[0].record = Some(Rc::new(handover.record.clone()));
            next.handover = Some((to, Rc::new(handover)));
        }
        steps.push((Step::new("hand over", 0, to), next));
    }
}

impl Process {
    /// A call runs, uses `tokens` and ends.
    fn spend(&mut self, tokens: u64) {
        self.spent_tokens += tokens;
        let usage = Usage {
            generated_tokens: tokens,
            ..Usage::default()
        };
        let effects = self.programs.finish(0, REQUEST, Some(usage));
        self.apply_effects(&effects);
    }

    /// The process learns that `record` is stored.
    fn on_record_written(&mut self, record: &BudgetRecord) {
        let effects = self.programs.budget_record_written(record);
        self.apply_effects(&effects);
    }

    /// Runs the deferred calls that were admitted by a change of the programs.
    fn apply_effects(&mut self, effects: &ProgramEffects) {
        for resolved in &effects.resolved {
            if let Admission::Run { max_tokens, .. } = resolved.admission {
                self.spend(max_tokens);
            }
        }
    }
}
