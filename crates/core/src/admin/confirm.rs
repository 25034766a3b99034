//! Waits until all instances have applied a change, and reports those that have not.

use std::thread;
use std::time::{Duration, Instant};

use crossbeam::channel::bounded;
use jayreel_model::KeyHash;
use jayreel_peer::MessageBody;
use jayreel_server::admin::AdminResponse;
use jayreel_store::Accepted;
use serde_json::json;

use crate::admin::{AdminApi, json_response};
use crate::shell::{RunnerEvent, StatusReport};

/// Maximum time that the response to a change is delayed until all instances confirm it.
const CONFIRM_TIMEOUT: Duration = Duration::from_secs(5);

/// Time between two checks of the confirmations.
const CONFIRM_POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Time between two messages about a withdrawal to an instance that has not confirmed it. A
/// message on a dead connection is lost, and the connection is replaced only after the
/// timeout of a peer call, 2 s.
const REPEAT_INTERVAL: Duration = Duration::from_millis(500);

/// Maximum time for the reducer to report its state.
const STATUS_TIMEOUT: Duration = Duration::from_secs(2);

/// HTTP status for a change that was accepted but that some instances have not confirmed.
pub(super) const STATUS_UNCONFIRMED: u16 = 202;

impl AdminApi {
    /// Waits until all instances confirm an accepted change, and returns the response.
    /// `status` is the HTTP status if all of them do.
    pub(super) fn confirm(&self, status: u16, accepted: Accepted) -> AdminResponse {
        self.confirm_change(status, accepted, None)
    }

    /// Like [`AdminApi::confirm`], but also repeats the withdrawal to instances that have not
    /// confirmed it.
    pub(super) fn confirm_withdrawal(
        &self,
        accepted: Accepted,
        withdrawn: KeyHash,
    ) -> AdminResponse {
        self.confirm_change(200, accepted, Some(withdrawn))
    }

    fn confirm_change(
        &self,
        status: u16,
        accepted: Accepted,
        withdrawn: Option<KeyHash>,
    ) -> AdminResponse {
        let (unconfirmed, may_continue_s) =
            self.unconfirmed(accepted.revision, withdrawn);
        let status = if unconfirmed.is_empty() {
            status
        } else {
            STATUS_UNCONFIRMED
        };
        let body = json!({
            "version": accepted.revision,
            "changed": accepted.changed,
            "unconfirmed": unconfirmed,
            "unconfirmed_may_continue_s": may_continue_s,
        });
        json_response(status, Some(accepted.revision), &body)
    }

    /// Waits until all known instances have the configuration at `revision`, and repeats a
    /// withdrawal to those that do not. Returns the names of those that still do not after
    /// [`CONFIRM_TIMEOUT`], and for how many seconds they may continue without the change.
    pub(super) fn unconfirmed(
        &self,
        revision: u64,
        withdrawn: Option<KeyHash>,
    ) -> (Vec<String>, Option<u64>) {
        let deadline = Instant::now() + CONFIRM_TIMEOUT;
        let mut last_repeat = Instant::now();
        loop {
            let behind = self.instances_behind(revision);
            if behind.is_empty() {
                return (behind, None);
            }
            if Instant::now() >= deadline {
                return (behind, Some(self.offline_grace_s));
            }
            if last_repeat.elapsed() >= REPEAT_INTERVAL {
                last_repeat = Instant::now();
                self.repeat_withdrawal(&behind, withdrawn);
            }
            thread::sleep(CONFIRM_POLL_INTERVAL);
        }
    }

    fn repeat_withdrawal(&self, to: &[String], withdrawn: Option<KeyHash>) {
        let Some(hash) = withdrawn else { return };
        for name in to {
            self.send_withdrawal(name, hash);
        }
    }

    /// The names of instances whose configuration is older than `revision`. Peers that are
    /// shutting down are left out. Names only this instance if its state is not available.
    fn instances_behind(&self, revision: u64) -> Vec<String> {
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

    /// The state of the reducer, or `None` if it does not respond within [`STATUS_TIMEOUT`].
    pub(super) fn status(&self) -> Option<StatusReport> {
        let (reply, response) = bounded(1);
        self.events.send(RunnerEvent::Status(reply)).ok()?;
        response.recv_timeout(STATUS_TIMEOUT).ok()
    }

    /// Withdraws a key here and at all peers, without waiting for the store.
    pub(super) fn withdraw_before_store(&self, hash: KeyHash) {
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

/// The instance name in an incarnation, which has the form `INSTANCE.NUMBER`.
fn instance_name(incarnation: &str) -> &str {
    incarnation
        .rsplit_once('.')
        .map_or(incarnation, |(name, _)| name)
}
