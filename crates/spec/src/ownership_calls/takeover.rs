//! Steps of takeover, handover and restart.

use std::collections::BTreeSet;
use std::rc::Rc;

use jayreel_programs::ownership::decide;
use jayreel_programs::{Decision, Handover, OwnerLiveness, OwnershipView, Takeovers};

use super::model::{CallsModel, Fault};
use super::process::{FixedLiveness, TAKEOVER_DELAY_MS};
use super::world::{Message, Process, State};
use crate::ownership::{Step, incarnation, process};

impl CallsModel {
    /// Process `at` reads the takeover records, adopts the programs of its predecessors, and
    /// stops serving if it was taken over itself.
    pub(super) fn read_takeover_records(
        &self,
        state: &State,
        at: usize,
        steps: &mut Vec<(Step, State)>,
    ) {
        let own = incarnation(at);
        let records = state.takeover_records();
        let known = &state.processes[at].takeovers;
        let is_new = |of: usize| known.successor(&incarnation(of)).is_none();
        if !records.iter().any(|(of, _)| is_new(*of)) {
            return;
        }
        let mut next = state.clone();
        let reader = next.process(at);
        for (of, record) in records {
            reader.takeovers.learn(incarnation(of), &record);
        }
        for predecessor in reader.takeovers.predecessors(&own) {
            Rc::make_mut(&mut reader.programs).adopt(predecessor, None);
        }
        if reader.takeovers.successor(&own).is_some() {
            let effects = Rc::make_mut(&mut reader.programs).supersede();
            self.apply_effects(&mut next, at, effects);
        }
        steps.push((Step::new("read records", at, 0), next));
    }

    /// Process `at` claims the takeover of the responsible process, and the store applies the
    /// claim at once. A delayed claim has the effect of one that is made later.
    pub(super) fn claim(&self, state: &State, at: usize, steps: &mut Vec<(Step, State)>) {
        let own = incarnation(at);
        let view = OwnershipView {
            own: &own,
            takeovers: &state.processes[at].takeovers,
            owners: &FixedLiveness(OwnerLiveness::Dead),
            takeover_delay_ms: TAKEOVER_DELAY_MS,
        };
        if let Decision::ClaimTakeover { of } = decide(view, &incarnation(0), false) {
            let of = process(&of);
            let mut next = state.clone();
            next.apply_claim(of, at);
            steps.push((Step::new("claim", at, of), next));
        }
    }

    /// Process 0 exports its programs and names process 1 as its successor in one transaction.
    /// If it has a successor already, it only stops.
    pub(super) fn hand_over(&self, state: &State, steps: &mut Vec<(Step, State)>) {
        let mut next = state.clone();
        let exported = Rc::make_mut(&mut next.process(0).programs).export();
        if let Some(handover) = exported {
            if next.successors[0].is_none() {
                next.apply_claim(0, 1);
                next.handover = Some(Rc::new(handover));
                next.messages.insert(Message::Handover);
            }
            steps.push((Step::new("hand over", 0, 1), next));
        }
    }

    /// Process 1 imports the handover.
    pub(super) fn import(&self, state: &mut State) {
        let Some(handover) = state.handover.clone() else {
            return;
        };
        let fresh = self.programs(1);
        let programs = &mut state.process(1).programs;
        if self.fault == Fault::HandoverReplaces {
            *programs = fresh;
        }
        Rc::make_mut(programs).import(0, Handover::clone(&handover));
    }

    /// Process 0 crashes, and process 2 starts under its name.
    pub(super) fn restart(&self, state: &State, steps: &mut Vec<(Step, State)>) {
        if self.processes < 3 || state.processes[2].is_running {
            return;
        }
        let mut next = state.clone();
        *next.process(0) = Process {
            is_running: false,
            programs: self.programs(0),
            takeovers: Takeovers::default(),
            pending_calls: BTreeSet::new(),
        };
        next.process(2).is_running = true;
        steps.push((Step::new("restart", 2, 0), next));
    }
}
