//! How the operators of the configuration model find out whether a change without a response
//! was accepted, and the arrival of delayed requests.

use std::sync::Arc;

use jayreel_store::configuration::EditOutcome;
use jayreel_store::configuration::change;
use jayreel_store::{Transaction, Write};

use crate::configuration::{SeededFault, World};
use crate::configuration_operator::Report;

impl World {
    /// Tries once to find out whether a change without a response was accepted: cancels it,
    /// or reads its marker if it cannot be cancelled any more.
    pub(crate) fn resolve(
        &self,
        index: usize,
        tries_left: u8,
        fault: Option<SeededFault>,
    ) -> Vec<World> {
        let attempt = &self.operators[index]
            .attempts
            .last()
            .expect("an attempt is under way");
        let cancel = change::cancel(&attempt.id, attempt.lease);
        if !self.store_is_up {
            let mut next = self.next(format!("operator {index} cannot reach the store"));
            next.operators[index].after_try_without_response(tries_left - 1);
            return vec![next];
        }
        let mut steps = Vec::new();
        let mut next = self.next(format!("operator {index} learns the outcome"));
        let report = match fault {
            Some(SeededFault::CompareValues) => next.compare_values(index, true),
            Some(SeededFault::NoCancellation) => next.compare_values(index, false),
            _ => next.cancel_or_read(index, &cancel),
        };
        next.operators[index].report(report);
        steps.push(next);
        if self.failures_left.lost_messages > 0 {
            let mut next = self.next(format!(
                "operator {index} cancels its change, response lost"
            ));
            next.failures_left.lost_messages -= 1;
            next.commit(&cancel);
            next.operators[index].after_try_without_response(tries_left - 1);
            steps.push(next);
        }
        steps.extend(self.delay_request(index, false, cancel, tries_left - 1));
        steps
    }

    /// The outcome according to the protocol: a change that could be cancelled was not accepted;
    /// otherwise the marker tells.
    fn cancel_or_read(&mut self, index: usize, cancel: &Transaction) -> Report {
        if self.commit(cancel) {
            return Report::NotAccepted;
        }
        let marker = self.operators[index].last_attempt().id.marker_key();
        match change::read_outcome(self.store.get(&marker)) {
            EditOutcome::Accepted { .. } => Report::Accepted,
            EditOutcome::NotAccepted => Report::NotAccepted,
            EditOutcome::Unknown => Report::Unknown,
        }
    }

    /// Determines the outcome from the version and value of the record, as the seeded faults
    /// do in place of the cancellation. `same_value_is_ours` selects
    /// [`SeededFault::CompareValues`], otherwise [`SeededFault::NoCancellation`].
    fn compare_values(&mut self, index: usize, same_value_is_ours: bool) -> Report {
        let change = self.marked_change(index, None);
        let attempt = self.operators[index].last_attempt();
        let (base, key) = (attempt.base, attempt.edit.record());
        let entry = self.store.get(&key);
        let version = entry.map_or(0, |entry| entry.mod_revision);
        let wanted = change.writes.iter().find_map(|write| match write {
            Write::Put {
                key: written_key,
                value,
                ..
            } if *written_key == key => Some(value),
            _ => None,
        });
        let has_wanted_value = entry.map(|entry| &entry.value) == wanted;
        match version == base {
            true if same_value_is_ours => Report::Unknown,
            true => Report::NotAccepted,
            false if same_value_is_ours && has_wanted_value => Report::Accepted,
            false => Report::Unknown,
        }
    }

    /// The lease of a change may expire at any time after its outcome was reported.
    pub(crate) fn end_leases(&self, index: usize) -> Vec<World> {
        if self.failures_left.lease_ends == 0 {
            return Vec::new();
        }
        let attempts = self.operators[index].attempts.iter().enumerate();
        attempts
            .filter(|(_, attempt)| attempt.report.is_some() && !attempt.lease_ended)
            .map(|(position, attempt)| {
                let mut next =
                    self.next(format!("lease of edit {} expires", attempt.id.0));
                next.failures_left.lease_ends -= 1;
                Arc::make_mut(&mut next.store).revoke_lease(attempt.lease);
                next.operators[index].attempts[position].lease_ended = true;
                next
            })
            .collect()
    }

    /// Delayed requests arrive in any order, or never.
    pub(crate) fn message_steps(&self) -> Vec<World> {
        if !self.store_is_up {
            return Vec::new();
        }
        (0..self.messages.len())
            .map(|position| {
                let mut next = self.next("a delayed request arrives");
                let message = next.messages.remove(position);
                let made = next.commit(&message.transaction);
                let operator = &mut next.operators[message.operator];
                let attempt = &mut operator.attempts[message.attempt];
                attempt.was_applied |= made && message.is_change;
                next
            })
            .collect()
    }
}
