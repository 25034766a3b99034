//! How operators of the configuration model learn outcomes, and late requests.

use std::sync::Arc;

use jayreel_store::configuration::EditOutcome;
use jayreel_store::configuration::change;
use jayreel_store::{Transaction, Write};

use crate::configuration::{SeededFault, World};
use crate::configuration_operator::Report;

impl World {
    /// One try to learn the outcome after a lost answer.
    pub(crate) fn resolve(
        &self,
        index: usize,
        tries: u8,
        fault: Option<SeededFault>,
    ) -> Vec<World> {
        let attempt = &self.operators[index].attempts.last().expect("under way");
        let cancel = change::cancel(&attempt.id, attempt.lease);
        if !self.is_up {
            let mut next =
                self.next(format!("operator {index} does not reach the store"));
            next.operators[index].tried(tries - 1);
            return vec![next];
        }
        let mut steps = Vec::new();
        let mut next = self.next(format!("operator {index} resolves"));
        let report = match fault {
            Some(SeededFault::CompareValues) => next.compare_values(index, true),
            Some(SeededFault::NoCancellation) => next.compare_values(index, false),
            _ => next.cancel_or_read(index, &cancel),
        };
        next.operators[index].report(report);
        steps.push(next);
        if self.left.losses > 0 {
            let mut next = self.next(format!("operator {index} cancels, answer lost"));
            next.left.losses -= 1;
            next.commit(&cancel);
            next.operators[index].tried(tries - 1);
            steps.push(next);
        }
        steps.extend(self.delay(index, false, cancel, tries - 1));
        steps
    }

    fn cancel_or_read(&mut self, index: usize, cancel: &Transaction) -> Report {
        if self.commit(cancel) {
            return Report::NotAccepted;
        }
        let marker = self.operators[index].last().id.marker_key();
        match change::read_outcome(self.store.get(&marker)) {
            EditOutcome::Accepted { .. } => Report::Accepted,
            EditOutcome::NotAccepted => Report::NotAccepted,
            EditOutcome::Unknown => Report::Unknown,
        }
    }

    /// The rules that the seeded faults use in place of the cancellation.
    fn compare_values(&mut self, index: usize, newer_is_ours: bool) -> Report {
        let change = self.change_of(index, None);
        let attempt = self.operators[index].last();
        let (base, key) = (attempt.base, attempt.edit.record());
        let entry = self.store.get(&key);
        let version = entry.map_or(0, |entry| entry.mod_revision);
        let wanted = change.writes.iter().find_map(|write| match write {
            Write::Put { key: of, value, .. } if *of == key => Some(value),
            _ => None,
        });
        let same = entry.map(|entry| &entry.value) == wanted;
        match version == base {
            true if newer_is_ours => Report::Unknown,
            true => Report::NotAccepted,
            false if newer_is_ours && same => Report::Accepted,
            false => Report::Unknown,
        }
    }

    /// The lease of a reported change may end at any time.
    pub(crate) fn end_leases(&self, index: usize) -> Vec<World> {
        if self.left.lease_ends == 0 {
            return Vec::new();
        }
        let attempts = self.operators[index].attempts.iter().enumerate();
        attempts
            .filter(|(_, attempt)| attempt.report.is_some() && !attempt.lease_ended)
            .map(|(place, attempt)| {
                let mut next = self.next(format!("lease of edit {} ends", attempt.id.0));
                next.left.lease_ends -= 1;
                Arc::make_mut(&mut next.store).revoke_lease(attempt.lease);
                next.operators[index].attempts[place].lease_ended = true;
                next
            })
            .collect()
    }

    /// Delayed requests arrive in any order, or never.
    pub(crate) fn message_steps(&self) -> Vec<World> {
        if !self.is_up {
            return Vec::new();
        }
        (0..self.messages.len())
            .map(|place| {
                let mut next = self.next("a delayed request arrives");
                let message = next.messages.remove(place);
                let made = next.commit(&message.transaction);
                let operator = &mut next.operators[message.operator];
                let attempt = &mut operator.attempts[message.attempt];
                attempt.applied |= made && message.is_change;
                next
            })
            .collect()
    }
}
