//! Steps of the instances, the registrations and the handover.

use std::collections::BTreeMap;
use std::rc::Rc;

use jayreel_model::{Incarnation, Ran, RequestId};
use jayreel_programs::{KeyedAdmission, KeyedCalls};

use super::{
    CUSTOMER, DISPATCH_MS, FOUNDER, Fault, HandoverModel, INSTANCE_B, KEYS, Message,
    NAMES, START_MS, State, founder_only, new_instance, process, settled_founder,
};
use crate::ownership::Step;

type Steps = Vec<(Step, State)>;

/// An instance reads the registrations. A process that has just started and does not find the
/// founder takes it for registered at its first read, because it may have registered or left
/// around that read.
pub(super) fn read_registrations(state: &State, at: usize, steps: &mut Steps) {
    // A read by a retired founder has no effect on the handover.
    let is_retired = at == FOUNDER && state.has_retired;
    if state.has_read[at] || at < state.next_reader || is_retired {
        return;
    }
    let mut next = state.clone();
    next.has_read[at] = true;
    next.next_reader = at;
    let is_first_read = at == INSTANCE_B && state.b_assumes_founder;
    next.b_assumes_founder &= at != INSTANCE_B;
    let processes = match is_first_read {
        true => founder_only(),
        false => state.processes(),
    };
    let lease = state.is_registered[at].then_some(state.leases[at]);
    next.instance(at)
        .registrations_read(state.now_ms, processes, lease);
    steps.push((Step::new("read registrations", at, 0), next));
}

impl HandoverModel {
    /// Whether the steps of an instance are searched.
    pub(super) fn is_active(&self, at: usize) -> bool {
        self.b_may_leave || NAMES[at] != "a"
    }

    /// Advances the time by one tick. Admitted calls beyond the dispatch deadline are dropped
    /// and reported as not run.
    pub(super) fn pass_time(&self, state: &State, steps: &mut Steps) {
        if state.now_ms >= START_MS + self.ticks {
            return;
        }
        let mut next = state.clone();
        next.now_ms += 1;
        next.has_read = [false; 3];
        next.next_reader = 0;
        next.has_admitted_call = false;
        next.has_run_call = false;
        let now_ms = next.now_ms;
        let is_overdue = |admitted_ms: u64| now_ms - admitted_ms > DISPATCH_MS;
        for (at, _) in state.admitted.iter().filter(|call| is_overdue(call.1)) {
            next.instance(*at).finish(now_ms, RequestId(0), Ran::No);
        }
        next.admitted.retain(|call| !is_overdue(call.1));
        steps.push((Step::new("tick", 0, 0), next));
    }

    /// The registration of an instance lapses or returns.
    pub(super) fn change_registration(
        &self,
        state: &State,
        at: usize,
        steps: &mut Steps,
    ) {
        if state.changes >= self.changes {
            return;
        }
        let mut next = state.clone();
        next.changes += 1;
        next.next_reader = 0;
        next.is_registered[at] = !state.is_registered[at];
        next.leases[at] += i64::from(next.is_registered[at]);
        let step = Step::new("registration changes", at, 0);
        steps.push((step, next));
    }

    /// `b` restarts without memory and without its admitted calls.
    pub(super) fn restart(&self, state: &State, steps: &mut Steps) {
        if state.restarts >= self.restarts {
            return;
        }
        let at = INSTANCE_B;
        let mut next = state.clone();
        next.restarts += 1;
        next.numbers[at] += 1;
        next.b_assumes_founder = true;
        next.has_read[at] = false;
        next.next_reader = 0;
        next.instances[at] = Rc::new(new_instance(at, next.numbers[at]));
        next.admitted.retain(|call| call.0 != at);
        steps.push((Step::new("restart", at, 0), next));
    }

    /// A call arrives, and the instance admits it. Refused calls have no step, since they do not
    /// run.
    pub(super) fn admit_call(&self, state: &State, at: usize, steps: &mut Steps) {
        if state.calls >= self.calls || state.has_run_call {
            return;
        }
        let mut next = state.clone();
        let now_ms = state.now_ms;
        let request_id = RequestId(0);
        let admission = next
            .instance(at)
            .admit(now_ms, request_id, CUSTOMER, &KEYS[0], false);
        if admission == KeyedAdmission::Run {
            next.calls += 1;
            next.has_admitted_call = true;
            next.admitted.push((at, now_ms));
            next.admitted.sort_unstable();
            steps.push((Step::new("admit call", at, 0), next));
        }
    }

    /// The founder stops admitting calls.
    pub(super) fn retire(&self, state: &State, steps: &mut Steps) {
        if state.has_retired {
            return;
        }
        let mut next = state.clone();
        next.has_retired = true;
        if self.fault != Fault::NoRetirement {
            next.instance(FOUNDER).retire(state.now_ms);
        }
        steps.push((Step::new("retire", FOUNDER, 0), next));
    }

    /// The founder divides its keys among the registered instances.
    pub(super) fn export(&self, state: &State, steps: &mut Steps) {
        if !state.has_retired || state.has_exported {
            return;
        }
        let now_ms = state.now_ms;
        let mut founder = match self.fault {
            Fault::UnsettledClaim => settled_founder(now_ms),
            _ => KeyedCalls::clone(&state.instances[FOUNDER]),
        };
        founder.retire(now_ms);
        if self.fault == Fault::ExportWhileRunning {
            founder.finish(now_ms, RequestId(0), Ran::No);
        }
        let mut messages = Vec::new();
        for successors in self.successors(state) {
            let Some(parts) = founder.export(now_ms, successors, 1) else {
                return;
            };
            messages.extend(parts.into_iter().map(with_receiver));
        }
        let mut next = state.clone();
        next.has_exported = true;
        next.messages = Rc::new(messages);
        steps.push((Step::new("export keys", FOUNDER, 0), next));
    }

    /// The receivers of each export. There is one export, or several with some of the faults.
    fn successors(&self, state: &State) -> Vec<BTreeMap<String, Incarnation>> {
        let named = |at: usize, number| (NAMES[at].to_string(), process(at, number));
        let registered: Vec<usize> =
            (1..3).filter(|at| state.is_registered[*at]).collect();
        let current = registered.iter().map(|at| named(*at, state.numbers[*at]));
        match self.fault {
            Fault::EachIsSuccessor => {
                current.map(|receiver| BTreeMap::from([receiver])).collect()
            }
            Fault::SuccessorByName => {
                let later = registered
                    .iter()
                    .map(|at| named(*at, state.numbers[*at] + 1));
                vec![current.collect(), later.collect()]
            }
            _ => vec![current.collect()],
        }
    }

    /// A part of the handover reaches the process that now has the name of the receiver. With
    /// [`Fault::SuccessorByName`] only parts that name this process are delivered.
    pub(super) fn deliver(&self, state: &State, steps: &mut Steps) {
        for (index, (at, number, part)) in state.messages.iter().enumerate() {
            let is_other_process = state.numbers[*at] != *number;
            let is_dropped = is_other_process && self.fault == Fault::SuccessorByName;
            if is_dropped || !self.is_active(*at) {
                continue;
            }
            let mut part = part.clone();
            if self.fault == Fault::OnePartIsEnough {
                part.parts = 1;
            }
            let mut next = state.clone();
            next.instance(*at).import(state.now_ms, part);
            steps.push((Step::new("deliver handover part", *at, index), next));
        }
    }
}

/// Adds the index and the incarnation number of the receiver to a part.
fn with_receiver((to, part): (Incarnation, jayreel_programs::KeyedHandover)) -> Message {
    let at = NAMES.iter().position(|name| *name == to.instance);
    (
        at.expect("the receiver is one of the instances"),
        to.number,
        part,
    )
}
