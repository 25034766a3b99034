//! Waits until all instances have a change in force, and tells which have not.

use std::thread;
use std::time::{Duration, Instant};

use crossbeam::channel::bounded;
use jayreel_model::KeyHash;
use jayreel_peer::MessageBody;
use jayreel_server::admin::AdminAnswer;
use jayreel_store::Accepted;
use serde_json::json;

use crate::admin::{Administration, answer};
use crate::shell::{RunnerEvent, StatusReport};

/// How long an operator waits for all instances to confirm a change.
const CONFIRM_LIMIT: Duration = Duration::from_secs(5);

/// Time between two looks at the confirmations.
const CONFIRM_CHECK: Duration = Duration::from_millis(50);

/// Time between two messages of a withdrawal to an instance that has not confirmed it. A
/// message on a connection that went silent is lost, and the connection is replaced only
/// after the deadline of a peer call, 2 s.
const REPEAT_INTERVAL: Duration = Duration::from_millis(500);

/// How long the reducer may take to report its state.
const STATUS_LIMIT: Duration = Duration::from_secs(2);

/// A change is accepted, but some instances have not confirmed it.
pub(super) const STATUS_UNCONFIRMED: u16 = 202;

impl Administration {
    /// The answer to an accepted change, after waiting for all instances.
    pub(super) fn confirm(&self, status: u16, accepted: Accepted) -> AdminAnswer {
        self.confirm_change(status, accepted, None)
    }

    /// Like [`Administration::confirm`]; meanwhile the withdrawal is repeated to instances
    /// that have not confirmed it.
    pub(super) fn confirm_withdrawal(
        &self,
        accepted: Accepted,
        withdrawn: KeyHash,
    ) -> AdminAnswer {
        self.confirm_change(200, accepted, Some(withdrawn))
    }

    fn confirm_change(
        &self,
        status: u16,
        accepted: Accepted,
        withdrawn: Option<KeyHash>,
    ) -> AdminAnswer {
        let (unconfirmed, until_s) = self.unconfirmed(accepted.revision, withdrawn);
        let status = if unconfirmed.is_empty() {
            status
        } else {
            STATUS_UNCONFIRMED
        };
        let body = json!({
            "version": accepted.revision,
            "changed": accepted.changed,
            "unconfirmed": unconfirmed,
            "unconfirmed_may_continue_s": until_s,
        });
        answer(status, Some(accepted.revision), &body)
    }

    /// Waits until all known instances have the revision, and repeats a withdrawal to those
    /// that do not. Returns those that still do not after the limit.
    pub(super) fn unconfirmed(
        &self,
        revision: u64,
        withdrawn: Option<KeyHash>,
    ) -> (Vec<String>, Option<u64>) {
        let deadline = Instant::now() + CONFIRM_LIMIT;
        let mut repeated_at = Instant::now();
        loop {
            let behind = self.behind(revision);
            if behind.is_empty() {
                return (behind, None);
            }
            if Instant::now() >= deadline {
                return (behind, Some(self.offline_grace_s));
            }
            if repeated_at.elapsed() >= REPEAT_INTERVAL {
                repeated_at = Instant::now();
                self.repeat_withdrawal(&behind, withdrawn);
            }
            thread::sleep(CONFIRM_CHECK);
        }
    }

    fn repeat_withdrawal(&self, to: &[String], withdrawn: Option<KeyHash>) {
        let Some(hash) = withdrawn else { return };
        for name in to {
            self.send_withdrawal(name, hash);
        }
    }

    fn behind(&self, revision: u64) -> Vec<String> {
        let Some(status) = self.status() else {
            return vec!["this instance".to_string()];
        };
        let own = (status.fleet.config_revision < revision)
            .then(|| instance_name(&status.fleet.incarnation).to_string());
        let peers =
            status.fleet.peers.iter().filter(|peer| {
                peer.config_revision < revision && peer.liveness != "leaving"
            });
        let peers = peers.map(|peer| instance_name(&peer.incarnation).to_string());
        own.into_iter().chain(peers).collect()
    }

    pub(super) fn status(&self) -> Option<StatusReport> {
        let (reply, answer) = bounded(1);
        self.events.send(RunnerEvent::Status(reply)).ok()?;
        answer.recv_timeout(STATUS_LIMIT).ok()
    }

    pub(super) fn withdraw_ahead(&self, hash: KeyHash) {
        self.feed.withdraw(hash);
        let peers = self.status().map(|status| status.fleet.peers);
        for peer in peers.unwrap_or_default() {
            self.send_withdrawal(instance_name(&peer.incarnation), hash);
        }
    }

    fn send_withdrawal(&self, to: &str, hash: KeyHash) {
        let body = MessageBody::Withdrawals { keys: vec![hash] };
        self.peers.send_body(to, body);
    }
}

fn instance_name(incarnation: &str) -> &str {
    incarnation
        .rsplit_once('.')
        .map_or(incarnation, |(name, _)| name)
}
