//! Which stored turns an entry instance must renew at the members, and which members have not
//! confirmed that yet.
//!
//! A turn must be kept as long as a conversation that goes through it. A member cannot tell
//! which turns these are, since it holds copies of only some turns of a conversation and so
//! does not see how they are linked. Only the instance that builds a prompt has read all of
//! them. It names each one to every member, in batches.

use std::collections::{BTreeMap, HashMap};

use jayreel_ledger::{Group, TurnDigest, TurnRenewal};

/// A turn is renewed at its next use after this fraction of its retention time, as a divisor.
/// The rest of the time covers lost renewals, and instances that stop before they send theirs.
const RENEW_AFTER_DIVISOR: u64 = 4;

/// Largest number of turns in one message to a member.
const MAX_BATCH_TURNS: usize = 1_024;

/// Largest number of turns whose last renewal is remembered. Beyond it all are forgotten, and
/// renewed at their next use.
const MAX_REMEMBERED_TURNS: usize = 32_768;

/// Largest number of renewals that wait for one member, about 1 MB. Beyond it turns are not
/// renewed there until they are due again.
const MAX_PENDING_TURNS: usize = 32_768;

/// The renewals of one entry instance.
#[derive(Debug, Default)]
pub struct RenewalQueue {
    /// When this instance last stored a turn or queued its renewal. At most
    /// `MAX_REMEMBERED_TURNS`.
    renewed_ms: HashMap<TurnDigest, u64>,
    /// By name of the member: retention times of the turns whose renewal it has not confirmed,
    /// in milliseconds. At most `MAX_PENDING_TURNS` each.
    pending: BTreeMap<String, HashMap<TurnDigest, u64>>,
    /// Whether renewals were dropped since the last time that none was pending.
    is_overflowing: bool,
}

impl RenewalQueue {
    /// Records that a turn was stored, which starts its retention time.
    pub fn record_stored(&mut self, now_ms: u64, turn: TurnDigest) {
        if self.renewed_ms.len() >= MAX_REMEMBERED_TURNS {
            self.renewed_ms.clear();
        }
        self.renewed_ms.insert(turn, now_ms);
    }

    /// Records that a conversation uses all turns of `chain`, which are to be kept for
    /// `retention_ms` from now. Queues the renewal of those that are due.
    pub fn record_use(
        &mut self,
        now_ms: u64,
        group: &Group,
        chain: &[TurnDigest],
        retention_ms: u64,
    ) {
        for turn in chain {
            let renewed_ms = self.renewed_ms.get(turn);
            let is_due = |renewed_ms: &u64| {
                renewed_ms + retention_ms / RENEW_AFTER_DIVISOR <= now_ms
            };
            if renewed_ms.is_none_or(is_due) {
                self.record_stored(now_ms, *turn);
                self.queue(group, *turn, retention_ms);
            }
        }
    }

    fn queue(&mut self, group: &Group, turn: TurnDigest, retention_ms: u64) {
        for member in &group.members {
            let pending = self.pending.entry(member.name.clone()).or_default();
            if pending.len() < MAX_PENDING_TURNS {
                pending.insert(turn, retention_ms);
            } else if !self.is_overflowing {
                self.is_overflowing = true;
                log::warn!("event=renewals_dropped member={}", member.name);
            }
        }
    }

    /// Removes the renewals for instances that are no longer members. Returns the next batch for
    /// each member for which some are pending. They stay pending until they are confirmed.
    pub fn next_batches(&mut self, group: &Group) -> Vec<(String, Vec<TurnRenewal>)> {
        self.pending
            .retain(|member, turns| group.contains(member) && !turns.is_empty());
        self.is_overflowing &= !self.pending.is_empty();
        let batches = self.pending.iter().map(|(member, turns)| {
            let turns = turns.iter().take(MAX_BATCH_TURNS);
            let renewals = turns.map(|(turn, retention_ms)| TurnRenewal {
                turn: *turn,
                retention_ms: *retention_ms,
            });
            (member.clone(), renewals.collect())
        });
        batches.collect()
    }

    /// Removes renewals that a member has confirmed.
    pub fn confirm(&mut self, member: &str, renewals: &[TurnRenewal]) {
        let Some(pending) = self.pending.get_mut(member) else {
            return;
        };
        for renewal in renewals {
            pending.remove(&renewal.turn);
        }
    }
}
