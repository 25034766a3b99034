//! What the processes do.

use std::rc::Rc;

use jayreel_model::{Incarnation, Profile, RequestId};
use jayreel_programs::ownership::decide;
use jayreel_programs::{
    Admission, BudgetRecord, CallParams, Decision, OwnerLiveness, OwnerLookup,
    OwnerStatus, OwnershipView, ProgramEffects, Usage,
};

use super::world::{BudgetModel, Fault, Process, State, Stored, Write, token};
use crate::ownership::{Step, incarnation, process};

/// Every process has one call at a time.
const CALL: RequestId = RequestId(0);

/// Reports every process as dead and unregistered.
struct Dead;

impl OwnerLookup for Dead {
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
        self.read_records(state, at, steps);
        if at == 1
            && self.fault == Fault::ReadBeforeClaim
            && state.processes[at].early.is_none()
        {
            let mut next = state.clone();
            next.process(at).early = Some(state.stored.clone());
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
            owners: &Dead,
            takeover_delay_ms: 0,
        };
        decide(view, &incarnation(0), false)
    }

    fn call(&self, state: &State, at: usize, steps: &mut Vec<(Step, State)>) {
        let mut next = state.clone();
        let one = next.process(at);
        let Ok(program) = one.programs.resolve(0, token(), &Profile::default()) else {
            return;
        };
        let facts = CallParams {
            request_id: CALL,
            repeatable: true,
            turn: None,
            epoch: None,
            idempotency_key: None,
            prompt_bound_tokens: 0,
            max_tokens: 1,
        };
        match one.programs.admit(0, program, facts) {
            Admission::Run { max_tokens, .. } => one.spend(max_tokens),
            Admission::NeedsGrant => {}
            // Waiting means that another call waits for a grant.
            Admission::Refuse(_) | Admission::Wait => return,
        }
        steps.push((Step::new("call", at, 0), next));
    }

    fn write(&self, state: &State, at: usize, steps: &mut Vec<(Step, State)>) {
        let mut next = state.clone();
        let one = next.process(at);
        let Some(record) = one.programs.next_budget_record() else {
            return;
        };
        let record = Rc::new(record);
        one.pending = Some(record.clone());
        let expected_version = one.known_version;
        if self.fault == Fault::SpendBeforeRecord {
            one.recorded(&record);
        }
        next.send_write(Write {
            by: at,
            expected_version,
            record,
        });
        steps.push((Step::new("write grants", at, 0), next));
    }

    /// The write was answered, or its answer was lost: the process reads what is stored.
    fn read_back(&self, state: &State, at: usize, steps: &mut Vec<(Step, State)>) {
        let Some(pending) = &state.processes[at].pending else {
            return;
        };
        let stored = &state.stored[at];
        let mut next = state.clone();
        let one = next.process(at);
        one.pending = None;
        one.known_version = stored.version;
        if stored.record.as_ref() == Some(pending) {
            one.recorded(pending);
        } else {
            let transition = one.programs.budget_record_failed();
            one.follow(&transition);
        }
        steps.push((Step::new("read grants back", at, 0), next));
    }

    fn claim(&self, state: &State, at: usize, of: usize, steps: &mut Vec<(Step, State)>) {
        let mut next = state.clone();
        let is_applied = next.apply_claim(of, at, self.fault);
        if is_applied && self.fault == Fault::ClaimWithoutCompare {
            // Without a comparison the claimant takes the answer for its success.
            self.learn(&mut next, at);
        }
        steps.push((Step::new("claim", at, of), next));
    }

    fn read_records(&self, state: &State, at: usize, steps: &mut Vec<(Step, State)>) {
        let known = &state.processes[at].takeovers;
        let is_new = |of: usize| known.successor(&incarnation(of)).is_none();
        if state.records().iter().any(|(of, _)| is_new(*of)) {
            let mut next = state.clone();
            self.learn(&mut next, at);
            steps.push((Step::new("read records", at, 0), next));
        }
    }

    /// Reads the takeover records, then the grants of all predecessors.
    fn learn(&self, state: &mut State, at: usize) {
        let own = incarnation(at);
        let records = state.records();
        let stored = state.stored.clone();
        let one = state.process(at);
        for (of, record) in records {
            one.takeovers.learn(incarnation(of), &record);
        }
        let stored = one.early.as_ref().unwrap_or(&stored).clone();
        for predecessor in one.takeovers.predecessors(&own) {
            let grants = self.grants(&stored, process(&predecessor));
            one.programs.adopt(predecessor, grants);
        }
        if one.takeovers.successor(&own).is_some() {
            let transition = one.programs.supersede();
            one.follow(&transition);
        }
    }

    fn grants(&self, stored: &[Stored], of: usize) -> Option<BudgetRecord> {
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

    /// The owner exports its programs and names a successor, in one transaction.
    fn hand_over(&self, state: &State, steps: &mut Vec<(Step, State)>) {
        let is_written = state.successors[0].is_none()
            && state.stored[0].version == state.processes[0].known_version;
        let to = 1;
        let mut next = state.clone();
        let Some(handover) = next.process(0).programs.export() else {
            return;
        };
        if is_written {
            next.successors[0] = Some(to);
            next.stored[0].version += 1;
            next.stored[0].record = Some(Rc::new(handover.record.clone()));
            next.handover = Some((to, Rc::new(handover)));
        }
        steps.push((Step::new("hand over", 0, to), next));
    }
}

impl Process {
    /// A call runs and ends.
    fn spend(&mut self, tokens: u64) {
        self.spent_tokens += tokens;
        let usage = Usage {
            generated_tokens: tokens,
            ..Usage::default()
        };
        let transition = self.programs.finish(0, CALL, Some(usage));
        self.follow(&transition);
    }

    fn recorded(&mut self, record: &BudgetRecord) {
        let transition = self.programs.budget_record_written(record);
        self.follow(&transition);
    }

    fn follow(&mut self, transition: &ProgramEffects) {
        for resolved in &transition.resolved {
            if let Admission::Run { max_tokens, .. } = resolved.admission {
                self.spend(max_tokens);
            }
        }
    }
}
