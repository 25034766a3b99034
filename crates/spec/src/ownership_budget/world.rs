//! State of the whole system, the store, and the implementation of the model.

use std::hash::{Hash, Hasher};
use std::rc::Rc;
use std::sync::LazyLock;

use jayreel_model::Profile;
use jayreel_programs::ownership::{claim_requires_absent, takeover_key};
use jayreel_programs::{
    BudgetRecord, Handover, OpenRequest, ProgramId, ProgramToken, Programs,
    ProgramsConfig, TakeoverRecord, Takeovers,
};

use crate::ownership::{Model, Step, incarnation, takeover_records};

/// Budget of the program, in tokens.
pub(super) const BUDGET_TOKENS: u64 = 3;

/// Grants one token of the budget in the first tranche.
const FIRST_TRANCHE_PERCENT: u8 = 34;

/// Number of processes.
pub(super) const PROCESSES: usize = 3;

/// A protocol rule to break, to show that the search finds the resulting violation.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Fault {
    /// No rule is broken.
    None,
    /// Grants are spent before the store has confirmed them.
    SpendBeforeRecord,
    /// A successor charges the tokens that are known to be spent instead of the whole grant.
    ChargeKnownSpending,
    /// A successor ignores the grants of processes between process 0 and itself.
    IgnoreSuccessorRecords,
    /// A successor reads the grants before it creates the takeover record.
    ReadBeforeClaim,
    /// A takeover record replaces an earlier one.
    ClaimWithoutCompare,
    /// A write of grants does not require that its sender has not been taken over.
    WriteAfterTakeover,
    /// A write of grants does not require that the stored version is the expected one.
    WriteWithoutCompare,
}

/// What a search covers.
#[derive(Clone, Copy, Debug)]
pub struct BudgetModel {
    /// Whether process 0 may stop as planned and hand over to process 1.
    pub has_handover: bool,
    /// The rule to break.
    pub fault: Fault,
}

/// The grants of one process in the store, with the version of the value. The version is 0
/// before the first write.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub(super) struct Stored {
    pub(super) version: u8,
    pub(super) record: Option<Rc<BudgetRecord>>,
}

/// A write of grants that is under way.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(super) struct Write {
    pub(super) by: usize,
    pub(super) expected_version: u8,
    pub(super) record: Rc<BudgetRecord>,
}

/// State of one process.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(super) struct Process {
    pub(super) programs: Programs,
    /// The takeover records that the process has read.
    pub(super) takeovers: Takeovers,
    /// The record of the write whose result is not known yet.
    pub(super) pending: Option<Rc<BudgetRecord>>,
    /// The version of the own record as it was read last, which the next write expects.
    pub(super) known_version: u8,
    pub(super) spent_tokens: u64,
    /// The stored grants as they were before a claim. Only with [`Fault::ReadBeforeClaim`].
    pub(super) grants_before_claim: Option<Vec<Stored>>,
}

/// State of the whole system.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct State {
    pub(super) processes: Vec<Rc<Process>>,
    /// The grants in the store, by process.
    pub(super) stored: Vec<Stored>,
    /// The takeover records in the store: the successor of each process.
    pub(super) successors: Vec<Option<usize>>,
    /// Writes under way. A write is removed only once it can have no effect any more, so that
    /// it may be applied twice.
    pub(super) writes: Vec<Write>,
    /// The handover and its receiver.
    pub(super) handover: Option<(usize, Rc<Handover>)>,
}

/// Leaves out most parts of programs and records, which are slow to hash.
impl Hash for State {
    fn hash<H: Hasher>(&self, state: &mut H) {
        for process_state in &self.processes {
            (
                process_state.known_version,
                process_state.spent_tokens,
                process_state.pending.is_some(),
            )
                .hash(state);
            let account = process_state.programs.account(ProgramId(1));
            let grant =
                account.map(|account| (account.granted_tokens, account.wanted_tokens));
            (
                grant,
                process_state.grants_before_claim.is_some(),
                &process_state.takeovers,
            )
                .hash(state);
        }
        for stored in &self.stored {
            (
                stored.version,
                stored.record.as_ref().map(|record| &record.live),
            )
                .hash(state);
        }
        for write in &self.writes {
            (write.by, write.expected_version, &write.record.live).hash(state);
        }
        (&self.successors, self.handover.is_some()).hash(state);
    }
}

static OPENED: LazyLock<(Programs, ProgramToken)> = LazyLock::new(|| {
    let mut programs = programs(0);
    let profile = Profile::default();
    let request = OpenRequest {
        customer: "acme",
        profile_name: "default",
        profile: &profile,
        budget_tokens: Some(BUDGET_TOKENS),
        parent: None,
        now_unix_s: 0,
    };
    let token = programs
        .open(0, request)
        .expect("the request is valid")
        .token;
    (programs, token)
});

pub(super) fn token() -> &'static ProgramToken {
    &OPENED.1
}

fn programs(own: usize) -> Programs {
    Programs::new(ProgramsConfig {
        own: incarnation(own),
        first_tranche_percent: FIRST_TRANCHE_PERCENT,
        token_lifetime_s: 3_600,
    })
}

impl Model for BudgetModel {
    type State = State;

    fn initial(&self) -> State {
        let processes = (0..PROCESSES)
            .map(|own| Process {
                programs: if own == 0 {
                    OPENED.0.clone()
                } else {
                    programs(own)
                },
                takeovers: Takeovers::default(),
                pending: None,
                known_version: 0,
                spent_tokens: 0,
                grants_before_claim: None,
            })
            .map(Rc::new)
            .collect();
        State {
            processes,
            stored: vec![Stored::default(); PROCESSES],
            successors: vec![None; PROCESSES],
            writes: Vec::new(),
            handover: None,
        }
    }

    fn steps(&self, state: &State) -> Vec<(Step, State)> {
        let mut steps = Vec::new();
        // Processes 1 and 2 are interchangeable until one of them becomes a successor.
        let has_successor = state.successors.iter().any(Option::is_some);
        let active = if has_successor {
            PROCESSES
        } else {
            PROCESSES - 1
        };
        for at in 0..active {
            self.process_steps(state, at, &mut steps);
        }
        for write in &state.writes {
            let mut next = state.clone();
            next.apply_write(write, self.fault);
            steps.push((Step::new("store applies grants", write.by, 0), next));
        }
        if let Some((to, handover)) = &state.handover {
            let mut next = state.clone();
            next.process(*to)
                .programs
                .import(0, Handover::clone(handover));
            steps.push((Step::new("handover arrives", *to, 0), next));
        }
        steps
            .iter_mut()
            .for_each(|(_, next)| next.prune(self.fault));
        steps.retain(|(_, next)| next != state);
        steps
    }

    fn violation(&self, state: &State) -> Option<&'static str> {
        let spent_tokens: u64 = state
            .processes
            .iter()
            .map(|process_state| process_state.spent_tokens)
            .sum();
        (spent_tokens > BUDGET_TOKENS)
            .then_some("the processes spent more than the budget")
    }
}

impl State {
    pub(super) fn process(&mut self, at: usize) -> &mut Process {
        Rc::make_mut(&mut self.processes[at])
    }

    /// Creates the record that `by` takes over from `of`, unless one of the keys that must be
    /// absent exists. Returns whether the record was created.
    pub(super) fn apply_claim(&mut self, of: usize, by: usize, fault: Fault) -> bool {
        let keys = claim_requires_absent(&incarnation(of), &incarnation(by));
        let mut records = self.successors.iter().enumerate();
        let exists = records.any(|(predecessor, successor)| {
            successor.is_some() && keys.contains(&takeover_key(&incarnation(predecessor)))
        });
        let is_applied = !exists || fault == Fault::ClaimWithoutCompare;
        if is_applied {
            self.successors[of] = Some(by);
        }
        is_applied
    }

    /// Applies a write if its conditions hold.
    fn apply_write(&mut self, write: &Write, fault: Fault) {
        if self.accepts(write, fault) {
            let stored = &mut self.stored[write.by];
            stored.version += 1;
            stored.record = Some(write.record.clone());
        }
    }

    /// Whether the conditions of a write hold.
    fn accepts(&self, write: &Write, fault: Fault) -> bool {
        let is_stored_already =
            self.stored[write.by].record.as_ref() == Some(&write.record);
        let is_current = self.stored[write.by].version == write.expected_version
            || (fault == Fault::WriteWithoutCompare && !is_stored_already);
        let is_not_taken_over = self.successors[write.by].is_none();
        is_current && (is_not_taken_over || fault == Fault::WriteAfterTakeover)
    }

    /// The takeover records in the store.
    pub(super) fn takeover_records(&self) -> Vec<(usize, TakeoverRecord)> {
        takeover_records(&self.successors)
    }

    /// Removes writes that can have no effect any more.
    fn prune(&mut self, fault: Fault) {
        let mut writes = std::mem::take(&mut self.writes);
        if fault != Fault::WriteWithoutCompare {
            writes.retain(|write| self.accepts(write, fault));
        }
        self.writes = writes;
    }

    /// Sends a write to the store, unless an equal one is under way.
    pub(super) fn send_write(&mut self, write: Write) {
        if !self.writes.contains(&write) {
            self.writes.push(write);
            let key = |write: &Write| (write.by, write.expected_version);
            self.writes.sort_by_key(key);
        }
    }
}
