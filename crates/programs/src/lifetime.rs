//! Ends programs: on close, after their idle timeout, and on takeover by another
//! instance.

use jayreel_model::{Incarnation, Refusal, RefusalReason};

use crate::admission::{Admission, DeferredAdmission, EndReason, ProgramEffects};
use crate::grants::BudgetRecord;
use crate::program::ProgramId;
use crate::programs::{Programs, ended, ended_refusal};

impl Programs {
    /// Stops serving because the store names another incarnation as the successor of this
    /// one. Waiting calls are refused as not run; running calls may finish.
    pub fn supersede(&mut self) -> ProgramEffects {
        self.stopped = true;
        let refusal = Refusal::not_run(
            RefusalReason::OwnerUnavailable,
            "another instance took over the program",
        );
        let mut effects = ProgramEffects::default();
        let ids: Vec<ProgramId> = self.programs.keys().copied().collect();
        for id in ids {
            self.refuse_waiting(id, &refusal, &mut effects);
        }
        effects
    }

    /// Records activity of a program, its ancestors and their account.
    pub(crate) fn touch(&mut self, now_ms: u64, id: ProgramId) {
        let mut next = Some(id);
        while let Some(program) = next.and_then(|id| self.programs.get_mut(&id)) {
            program.last_activity_ms = now_ms;
            next = program.parent;
            if let Some(entry) = self.accounts.get_mut(&program.token.root) {
                entry.last_activity_ms = now_ms;
            }
        }
    }

    /// Returns the program followed by all its descendants.
    pub(crate) fn with_descendants(&self, id: ProgramId) -> Vec<ProgramId> {
        let mut found = vec![id];
        let members = self
            .programs
            .get(&id)
            .and_then(|program| self.accounts.get(&program.token.root))
            .map(|entry| &entry.members);
        // Members are ordered by id, and a child has a larger id than its parent, so a
        // single pass finds all descendants.
        for member in members.into_iter().flatten() {
            let parent = self.programs.get(member).and_then(|program| program.parent);
            if parent.is_some_and(|parent| found.contains(&parent)) {
                found.push(*member);
            }
        }
        found
    }

    /// Refuses the waiting calls of a program and ends it, or marks it as closing if a
    /// call is still running.
    pub(crate) fn close_one(
        &mut self,
        now_ms: u64,
        id: ProgramId,
        reason: EndReason,
        effects: &mut ProgramEffects,
    ) {
        self.refuse_waiting(id, &ended_refusal(), effects);
        let Some(program) = self.programs.get_mut(&id) else {
            return;
        };
        match program.running {
            Some(_) => program.closing = true,
            None => self.end(now_ms, id, reason, effects),
        }
    }

    fn refuse_waiting(
        &mut self,
        id: ProgramId,
        refusal: &Refusal,
        effects: &mut ProgramEffects,
    ) {
        let Some(program) = self.programs.get_mut(&id) else {
            return;
        };
        program.needs_grant = false;
        for call in std::mem::take(&mut program.waiting) {
            if let Some(key) = call.key {
                program.keys.remove(&key);
            }
            self.calls.remove(&call.params.request_id);
            effects.resolved.push(DeferredAdmission {
                request_id: call.params.request_id,
                admission: Admission::Refuse(refusal.clone()),
            });
        }
    }

    /// Removes a program that has no running or waiting calls.
    pub(crate) fn end(
        &mut self,
        now_ms: u64,
        id: ProgramId,
        reason: EndReason,
        effects: &mut ProgramEffects,
    ) {
        let Some(program) = self.programs.remove(&id) else {
            return;
        };
        let tag = program.cache_tag();
        self.by_tag.remove(&tag);
        if tag.owner != self.config.own {
            self.ended_adopted.insert(tag, now_ms);
        }
        effects.ended.push(ended(id, &program, reason));
        let root = &program.token.root;
        let Some(entry) = self.accounts.get_mut(root) else {
            return;
        };
        entry.members.remove(&id);
        entry.last_activity_ms = now_ms;
        if entry.members.is_empty() && root.owner == self.config.own {
            self.accounts.remove(root);
            self.record_bytes -= BudgetRecord::entry_bytes(&self.config.own, root);
        }
    }

    /// Drops the state of predecessors' programs that no valid token can refer to any
    /// more.
    pub(crate) fn forget_adopted(&mut self, now_ms: u64) {
        let lifetime_ms = self.config.token_lifetime_s.saturating_mul(1_000);
        let is_kept = |since_ms: u64| now_ms.saturating_sub(since_ms) < lifetime_ms;
        self.ended_adopted
            .retain(|_, ended_at_ms| is_kept(*ended_at_ms));
        let own: &Incarnation = &self.config.own;
        let mut dropped_bytes = 0;
        self.accounts.retain(|root, entry| {
            let keep = root.owner == *own
                || !entry.members.is_empty()
                || is_kept(entry.last_activity_ms);
            if !keep {
                dropped_bytes += BudgetRecord::entry_bytes(own, root);
            }
            keep
        });
        self.record_bytes -= dropped_bytes;
    }
}
