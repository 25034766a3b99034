//! Operators of the configuration model: the edits that they make, and their requests.

use std::hash::{Hash, Hasher};
use std::sync::Arc;

use jayreel_model::{CustomerKey, Profile};
use jayreel_store::configuration::EditId;
use jayreel_store::configuration::change;
use jayreel_store::configuration::layout::{ConfigRecord, record_key};
use jayreel_store::{Keyspace, LeaseId, Transaction};

use crate::configuration::{PROFILE, SeededFault, World, customer_key, key_record};

/// How many times an operator tries to find out whether a change was accepted.
const RESOLVE_TRIES: u8 = 2;

/// A change that an operator makes.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum Edit {
    /// Sets `max_turns` of the profile, based on the version that the operator has read.
    ChangeProfile(u32),
    /// Creates the customer key.
    CreateKey,
    /// Withdraws the customer key.
    WithdrawKey,
}

impl Edit {
    /// Whether the edit changes the profile; otherwise it changes the customer key.
    pub(crate) fn is_of_profile(self) -> bool {
        matches!(self, Edit::ChangeProfile(_))
    }

    /// Store key of the record that the edit changes.
    pub(crate) fn record(self) -> String {
        match self {
            Edit::ChangeProfile(_) => record_key::<Profile>(PROFILE),
            _ => record_key::<CustomerKey>(&customer_key().to_string()),
        }
    }

    fn transaction(self, version: u64, fault: Option<SeededFault>) -> Transaction {
        let key = customer_key().to_string();
        match self {
            Edit::ChangeProfile(max_turns) => {
                let profile = Profile {
                    max_turns,
                    ..Profile::default()
                };
                replace(PROFILE, &profile, version, fault)
            }
            Edit::CreateKey => replace(&key, &key_record(false), version, fault),
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

/// Outcome of a change as reported to the operator.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub(crate) enum Report {
    Accepted,
    NotAccepted,
    Unknown,
}

/// A change that is under way, or whose outcome was reported.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub(crate) struct Attempt {
    pub(crate) edit: Edit,
    /// Version of the record on which the change is based. 0 if the change creates it.
    pub(crate) base: u64,
    pub(crate) id: EditId,
    pub(crate) lease: LeaseId,
    pub(crate) lease_ended: bool,
    /// Whether the store applied the change. Not known to the operator.
    pub(crate) was_applied: bool,
    pub(crate) report: Option<Report>,
}

/// What an operator does next.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
enum Phase {
    /// Begins the next edit of its script.
    Idle,
    /// Sends the change.
    Ready,
    /// Finds out whether a change without a response was accepted.
    Resolving { tries_left: u8 },
}

#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub(crate) struct Operator {
    /// The edits that are still to be made, each with the lease of its marker.
    script: Vec<(Edit, LeaseId)>,
    pub(crate) attempts: Vec<Attempt>,
    phase: Phase,
}

/// A request whose connection is broken and that may still arrive.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) struct Message {
    pub(crate) operator: usize,
    /// Index in the attempts of the operator.
    pub(crate) attempt: usize,
    /// Whether the request makes the change; otherwise it cancels it.
    pub(crate) is_change: bool,
    pub(crate) transaction: Arc<Transaction>,
}

/// Leaves out the transaction.
impl Hash for Message {
    fn hash<H: Hasher>(&self, hasher: &mut H) {
        (self.operator, self.attempt, self.is_change).hash(hasher);
    }
}

impl Operator {
    /// Grants the leases of all edits in advance, so that states do not differ by the order
    /// in which the operators begin.
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

    /// Whether the operator has begun to withdraw the key.
    pub(crate) fn has_requested_withdrawal(&self) -> bool {
        self.attempts
            .iter()
            .any(|attempt| attempt.edit == Edit::WithdrawKey)
    }

    pub(crate) fn last_attempt(&mut self) -> &mut Attempt {
        self.attempts.last_mut().expect("an attempt is under way")
    }

    pub(crate) fn report(&mut self, report: Report) {
        self.last_attempt().report = Some(report);
        self.phase = Phase::Idle;
    }

    /// Continues after a try without a response. With no tries left, the outcome is unknown.
    pub(crate) fn after_try_without_response(&mut self, tries_left: u8) {
        match tries_left {
            0 => self.report(Report::Unknown),
            tries_left => self.phase = Phase::Resolving { tries_left },
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
            Phase::Idle => self.begin_edit(index),
            Phase::Ready => self.send_change(index, fault),
            Phase::Resolving { tries_left } => self.resolve(index, tries_left, fault),
        };
        steps.extend(self.end_leases(index));
        steps
    }

    /// Begins the next edit by reading its record.
    fn begin_edit(&self, index: usize) -> Vec<World> {
        let operator = &self.operators[index];
        let next_edit = operator.script.first().copied();
        let Some((edit, lease)) = next_edit.filter(|_| self.store_is_up) else {
            return Vec::new();
        };
        let mut next = self.next(format!("operator {index} reads for {edit:?}"));
        let entry = self.store.get(&edit.record());
        let base = entry.map_or(0, |entry| entry.mod_revision);
        let operator = &mut next.operators[index];
        operator.script.remove(0);
        operator.attempts.push(Attempt {
            edit,
            base: if edit == Edit::CreateKey { 0 } else { base },
            id: EditId(format!("{index}-{}", operator.attempts.len())),
            lease,
            lease_ended: false,
            was_applied: false,
            report: None,
        });
        operator.phase = Phase::Ready;
        if edit == Edit::WithdrawKey && base == 0 {
            operator.report(Report::NotAccepted);
        }
        vec![next]
    }

    /// The transaction of the current edit, with the marker that tells its outcome.
    pub(crate) fn marked_change(
        &self,
        index: usize,
        fault: Option<SeededFault>,
    ) -> Transaction {
        let attempt = &self.operators[index]
            .attempts
            .last()
            .expect("an attempt is under way");
        let change = attempt.edit.transaction(attempt.base, fault);
        change::with_marker(change, &attempt.id, attempt.lease)
    }

    /// Sends the change. The store may be down, the response may be lost, or the request delayed.
    fn send_change(&self, index: usize, fault: Option<SeededFault>) -> Vec<World> {
        let change = self.marked_change(index, fault);
        let mut steps = Vec::new();
        if !self.store_is_up {
            let mut next = self.next(format!("operator {index} cannot reach the store"));
            next.operators[index].report(Report::NotAccepted);
            steps.push(next);
        }
        if self.store_is_up {
            let mut next = self.next(format!(
                "operator {index} sends its change, response arrives"
            ));
            let made = next.commit(&change);
            next.operators[index].last_attempt().was_applied = made;
            let report = if made {
                Report::Accepted
            } else {
                Report::NotAccepted
            };
            next.operators[index].report(report);
            steps.push(next);
        }
        if self.store_is_up && self.failures_left.lost_messages > 0 {
            let mut next =
                self.next(format!("operator {index} sends its change, response lost"));
            next.failures_left.lost_messages -= 1;
            let made = next.commit(&change);
            next.operators[index].last_attempt().was_applied = made;
            next.operators[index].after_try_without_response(RESOLVE_TRIES);
            steps.push(next);
        }
        steps.extend(self.delay_request(index, true, change, RESOLVE_TRIES));
        steps
    }

    /// The connection breaks before the request has arrived. It may still arrive later.
    pub(crate) fn delay_request(
        &self,
        index: usize,
        is_change: bool,
        transaction: Transaction,
        tries_left: u8,
    ) -> Option<World> {
        if self.failures_left.lost_messages == 0 {
            return None;
        }
        let kind = if is_change { "change" } else { "cancellation" };
        let mut next = self.next(format!("{kind} of operator {index} is delayed"));
        next.failures_left.lost_messages -= 1;
        next.messages.push(Message {
            operator: index,
            attempt: next.operators[index].attempts.len() - 1,
            is_change,
            transaction: Arc::new(transaction),
        });
        next.operators[index].after_try_without_response(tries_left);
        Some(next)
    }
}
