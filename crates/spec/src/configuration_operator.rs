//! Operators of the configuration model, and their requests on the network.

use std::hash::{Hash, Hasher};
use std::sync::Arc;

use jayreel_model::{CustomerKey, Profile};
use jayreel_store::configuration::EditId;
use jayreel_store::configuration::change;
use jayreel_store::configuration::layout::{ConfigRecord, record_key};
use jayreel_store::{Keyspace, LeaseId, Transaction};

use crate::configuration::{PROFILE, SeededFault, World, key_record, the_key};

/// How often an operator tries to learn the outcome of a change.
const RESOLVE_TRIES: u8 = 2;

/// One change that an operator wants.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum Edit {
    /// Sets `max_turns` of the profile, on the version that the operator read.
    ChangeProfile(u32),
    /// Creates the key.
    GiveKey,
    /// Withdraws the key.
    WithdrawKey,
}

impl Edit {
    /// Whether the record is the profile, else it is the key.
    pub(crate) fn is_of_profile(self) -> bool {
        matches!(self, Edit::ChangeProfile(_))
    }

    /// The store key of the record.
    pub(crate) fn record(self) -> String {
        match self {
            Edit::ChangeProfile(_) => record_key::<Profile>(PROFILE),
            _ => record_key::<CustomerKey>(&the_key().to_string()),
        }
    }

    fn transaction(self, version: u64, fault: Option<SeededFault>) -> Transaction {
        let key = the_key().to_string();
        match self {
            Edit::ChangeProfile(max_turns) => {
                let profile = Profile {
                    max_turns,
                    ..Profile::default()
                };
                replace(PROFILE, &profile, version, fault)
            }
            Edit::GiveKey => replace(&key, &key_record(false), version, fault),
            Edit::WithdrawKey => replace(&key, &key_record(true), version, fault),
        }
    }
}

fn replace<T: ConfigRecord>(
    name: &str,
    record: &T,
    version: u64,
    fault: Option<SeededFault>,
) -> Transaction {
    let mut transaction =
        change::replace(name, record, version).expect("records can be encoded");
    if fault == Some(SeededFault::NoVersionCheck) {
        transaction.conditions.clear();
    }
    transaction
}

/// What an operator is told.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub(crate) enum Report {
    Accepted,
    NotAccepted,
    Unknown,
}

/// One change under way or reported.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub(crate) struct Attempt {
    pub(crate) edit: Edit,
    /// The version on which the change is based.
    pub(crate) base: u64,
    pub(crate) id: EditId,
    pub(crate) lease: LeaseId,
    pub(crate) lease_ended: bool,
    /// Whether the store made the change. Not known to the operator.
    pub(crate) applied: bool,
    pub(crate) report: Option<Report>,
}

#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
enum Phase {
    Idle,
    Ready,
    Resolving { tries: u8 },
}

#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub(crate) struct Operator {
    script: Vec<(Edit, LeaseId)>,
    pub(crate) attempts: Vec<Attempt>,
    phase: Phase,
}

/// A request whose connection is broken and that may still arrive.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) struct Message {
    pub(crate) operator: usize,
    pub(crate) attempt: usize,
    pub(crate) is_change: bool,
    pub(crate) transaction: Arc<Transaction>,
}

impl Hash for Message {
    fn hash<H: Hasher>(&self, hasher: &mut H) {
        (self.operator, self.attempt, self.is_change).hash(hasher);
    }
}

impl Operator {
    /// Leases are granted in advance, so that states do not differ by the order in which
    /// operators begin.
    pub(crate) fn new(edits: &[Edit], store: &mut Keyspace) -> Operator {
        let script = edits.iter().map(|edit| {
            let lease = store.grant_lease(change::MARKER_TTL_S, 0);
            (*edit, lease)
        });
        Operator {
            script: script.collect(),
            attempts: Vec::new(),
            phase: Phase::Idle,
        }
    }

    /// Whether the operator has asked for the withdrawal of the key.
    pub(crate) fn is_withdrawing(&self) -> bool {
        self.attempts
            .iter()
            .any(|attempt| attempt.edit == Edit::WithdrawKey)
    }

    pub(crate) fn last(&mut self) -> &mut Attempt {
        self.attempts.last_mut().expect("an attempt is under way")
    }

    pub(crate) fn report(&mut self, report: Report) {
        self.last().report = Some(report);
        self.phase = Phase::Idle;
    }

    /// Goes on after a try without an answer.
    pub(crate) fn tried(&mut self, tries: u8) {
        match tries {
            0 => self.report(Report::Unknown),
            tries => self.phase = Phase::Resolving { tries },
        }
    }
}

impl World {
    pub(crate) fn operator_steps(
        &self,
        index: usize,
        fault: Option<SeededFault>,
    ) -> Vec<World> {
        let operator = &self.operators[index];
        let mut steps = match operator.phase {
            Phase::Idle => self.begin(index),
            Phase::Ready => self.send(index, fault),
            Phase::Resolving { tries } => self.resolve(index, tries, fault),
        };
        steps.extend(self.end_leases(index));
        steps
    }

    /// Reads the record.
    fn begin(&self, index: usize) -> Vec<World> {
        let operator = &self.operators[index];
        let next_edit = operator.script.first().copied();
        let Some((edit, lease)) = next_edit.filter(|_| self.is_up) else {
            return Vec::new();
        };
        let mut next = self.next(format!("operator {index} reads for {edit:?}"));
        let entry = self.store.get(&edit.record());
        let base = entry.map_or(0, |entry| entry.mod_revision);
        let operator = &mut next.operators[index];
        operator.script.remove(0);
        operator.attempts.push(Attempt {
            edit,
            base: if edit == Edit::GiveKey { 0 } else { base },
            id: EditId(format!("{index}-{}", operator.attempts.len())),
            lease,
            lease_ended: false,
            applied: false,
            report: None,
        });
        operator.phase = Phase::Ready;
        if edit == Edit::WithdrawKey && base == 0 {
            operator.report(Report::NotAccepted);
        }
        vec![next]
    }

    pub(crate) fn change_of(
        &self,
        index: usize,
        fault: Option<SeededFault>,
    ) -> Transaction {
        let attempt = &self.operators[index].attempts.last().expect("under way");
        let change = attempt.edit.transaction(attempt.base, fault);
        change::with_marker(change, &attempt.id, attempt.lease)
    }

    fn send(&self, index: usize, fault: Option<SeededFault>) -> Vec<World> {
        let change = self.change_of(index, fault);
        let mut steps = Vec::new();
        if !self.is_up {
            let mut next = self.next(format!("operator {index} is refused"));
            next.operators[index].report(Report::NotAccepted);
            steps.push(next);
        }
        if self.is_up {
            let mut next = self.next(format!("operator {index} changes, answered"));
            let made = next.commit(&change);
            next.operators[index].last().applied = made;
            let report = if made {
                Report::Accepted
            } else {
                Report::NotAccepted
            };
            next.operators[index].report(report);
            steps.push(next);
        }
        if self.is_up && self.left.losses > 0 {
            let mut next = self.next(format!("operator {index} changes, answer lost"));
            next.left.losses -= 1;
            let made = next.commit(&change);
            next.operators[index].last().applied = made;
            next.operators[index].tried(RESOLVE_TRIES);
            steps.push(next);
        }
        steps.extend(self.delay(index, true, change, RESOLVE_TRIES));
        steps
    }

    /// The connection breaks while the request is on its way.
    pub(crate) fn delay(
        &self,
        index: usize,
        is_change: bool,
        transaction: Transaction,
        tries: u8,
    ) -> Option<World> {
        if self.left.losses == 0 {
            return None;
        }
        let what = if is_change { "change" } else { "cancellation" };
        let mut next = self.next(format!("{what} of operator {index} is delayed"));
        next.left.losses -= 1;
        next.messages.push(Message {
            operator: index,
            attempt: next.operators[index].attempts.len() - 1,
            is_change,
            transaction: Arc::new(transaction),
        });
        next.operators[index].tried(tries);
        Some(next)
    }
}
