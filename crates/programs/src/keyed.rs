//! Deduplicates non-repeatable calls that have an idempotency key but no program.
//!
//! Each key has one responsible instance, chosen by rendezvous hashing over the
//! registered instances. For a short time two instances may consider themselves
//! responsible, because each uses a view of the registrations that is up to
//! `registration_freshness_ms` old and may dispatch a call up to `dispatch_deadline_ms`
//! after its decision. An instance therefore responds `unknown` until it has been
//! responsible for longer than the late repeat window plus these two times, or until the
//! process that was responsible before it has handed over its keys
//! ([`crate::keyed_handover`]).

use std::collections::{BTreeMap, BTreeSet};

use jayreel_model::{Incarnation, Ran, Refusal, RefusalReason, RequestId};

use crate::idempotency::{KeyDigest, KeyState};
pub use crate::keyed_views::responsible;
use crate::keyed_views::{InheritedClaim, KeyedLimits, RegistrationView, ViewHistory};

/// Maximum number of stored keys. At the target size one instance gets 39 requests/s,
/// which makes 35,100 keys in a window of 900 s.
pub const MAX_KEYS: usize = 200_000;

/// Retry delay suggested to callers while this instance cannot serve a key.
const RETRY_AFTER_MS: u64 = 1_000;

/// Settings of [`KeyedCalls`].
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct KeyedConfig {
    /// The incarnation of this process.
    pub own: Incarnation,
    /// The late repeat window: for how long a key is stored after its call ended.
    pub late_repeat_window_ms: u64,
    /// Maximum age at which a view of the registrations may be used.
    pub registration_freshness_ms: u64,
    /// Maximum time between the decision to send a call and its dispatch.
    pub dispatch_deadline_ms: u64,
}

/// Whether a call with an idempotency key may run here.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum KeyedAdmission {
    /// The call may run here.
    Run,
    /// Another instance is responsible.
    Forward {
        /// Name of the responsible instance.
        instance: String,
    },
    /// The call may not run.
    Refuse(Refusal),
}

/// The idempotency keys that one process stores, and its knowledge of who is responsible
/// for which key.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct KeyedCalls {
    config: KeyedConfig,
    pub(crate) history: ViewHistory,
    /// When the newest read of the registrations was sent.
    viewed_at_ms: u64,
    /// Whether this is the first process of the fleet. Cleared by the first view.
    is_founder: bool,
    pub(crate) keys: BTreeMap<KeyDigest, KeyState>,
    /// Keys of calls that ended, with the time of the end, oldest first.
    pub(crate) ended: BTreeSet<(u64, KeyDigest)>,
    pub(crate) calls: BTreeMap<RequestId, KeyDigest>,
    /// Set once no call is admitted any more: the time, and the views and claims at that
    /// time.
    pub(crate) retired: Option<(u64, ViewHistory)>,
    /// The parts received so far of each incomplete handover, by the process that sent
    /// it.
    pub(crate) received_parts: BTreeMap<Incarnation, BTreeSet<u32>>,
}

impl KeyedCalls {
    /// Creates the state of a process that has not read the registrations yet.
    pub fn new(config: KeyedConfig) -> KeyedCalls {
        KeyedCalls {
            history: ViewHistory::new(config.own.clone()),
            config,
            viewed_at_ms: 0,
            is_founder: false,
            keys: BTreeMap::new(),
            ended: BTreeSet::new(),
            calls: BTreeMap::new(),
            retired: None,
            received_parts: BTreeMap::new(),
        }
    }

    /// Records that no process of the fleet ran before this one, so that no other can have
    /// run a call. Has no effect once the registrations were read.
    pub fn assume_founder(&mut self) {
        self.is_founder = self.history.views.is_empty();
    }

    /// Updates the processes among which keys are divided, as read from the store by a
    /// request that was **sent** at `sent_at_ms`. `own_lease` is the lease of this
    /// process's registration. A read that was sent before the newest one is ignored.
    pub fn registrations_read(
        &mut self,
        sent_at_ms: u64,
        processes: BTreeMap<String, Incarnation>,
        own_lease: Option<i64>,
    ) {
        if !self.history.views.is_empty() && sent_at_ms < self.viewed_at_ms {
            return;
        }
        // In a gap as long as the window, another instance may have become responsible,
        // run a call and left again unnoticed. It needs longer than the window to do so.
        let gap_ms = sent_at_ms.saturating_sub(self.viewed_at_ms);
        if gap_ms >= self.config.late_repeat_window_ms {
            self.history.views.clear();
            self.history.inherited.clear();
        }
        self.viewed_at_ms = sent_at_ms;
        match self.history.views.back_mut() {
            Some(view) if view.processes == processes && view.own_lease == own_lease => {
                view.last_read_ms = sent_at_ms;
            }
            _ => self.history.views.push_back(RegistrationView {
                since_ms: sent_at_ms,
                last_read_ms: sent_at_ms,
                is_first_ever: std::mem::take(&mut self.is_founder),
                own_lease,
                processes,
            }),
        }
        self.forget_old_views(sent_at_ms);
    }

    fn forget_old_views(&mut self, now_ms: u64) {
        let coverage_ms = self.limits().coverage_ms;
        let horizon_ms = now_ms.saturating_sub(coverage_ms);
        let views = &mut self.history.views;
        while views.get(1).is_some_and(|view| view.since_ms <= horizon_ms) {
            views.pop_front();
        }
        let is_recent =
            |claim: &InheritedClaim| claim.received_ms + coverage_ms >= now_ms;
        self.history.inherited.retain(is_recent);
    }

    /// Decides whether a call may run here. A call that was forwarded here is not
    /// forwarded again.
    pub fn admit(
        &mut self,
        now_ms: u64,
        request_id: RequestId,
        customer: &str,
        key: &str,
        was_forwarded: bool,
    ) -> KeyedAdmission {
        self.forget_expired_keys(now_ms);
        let digest = match KeyDigest::of(customer, key) {
            Ok(digest) => digest,
            Err(refusal) => return KeyedAdmission::Refuse(refusal),
        };
        if let Some(state) = self.keys.get(&digest) {
            return KeyedAdmission::Refuse(state.refusal());
        }
        match self.check(now_ms, digest, was_forwarded) {
            KeyedAdmission::Run => {
                self.keys.insert(digest, KeyState::Running);
                self.calls.insert(request_id, digest);
                KeyedAdmission::Run
            }
            other => other,
        }
    }

    /// Records the end of an admitted call, whether it ran or not.
    pub fn finish(&mut self, now_ms: u64, request_id: RequestId, ran: Ran) {
        let Some(digest) = self.calls.remove(&request_id) else {
            return;
        };
        match KeyState::after(ran) {
            None => {
                self.keys.remove(&digest);
            }
            Some(state) => {
                self.keys.insert(digest, state);
                self.ended.insert((now_ms, digest));
            }
        }
    }

    /// Decides about a key that is not stored here.
    fn check(
        &self,
        now_ms: u64,
        digest: KeyDigest,
        was_forwarded: bool,
    ) -> KeyedAdmission {
        let is_fresh = now_ms.saturating_sub(self.viewed_at_ms)
            <= self.config.registration_freshness_ms;
        let view = self.history.views.back().filter(|_| is_fresh);
        let responsible = view.and_then(|view| view.responsible(digest));
        let own = &self.config.own.instance;
        match responsible.map(|process| &process.instance) {
            None => KeyedAdmission::Refuse(not_run("the view of the fleet is too old")),
            Some(name) if name == own && self.retired.is_some() => {
                KeyedAdmission::Refuse(not_run("this instance stops"))
            }
            Some(name) if name == own => self.check_own(now_ms, digest),
            Some(_) if was_forwarded => {
                KeyedAdmission::Refuse(not_run("another instance is responsible"))
            }
            Some(name) => KeyedAdmission::Forward {
                instance: name.clone(),
            },
        }
    }

    fn check_own(&self, now_ms: u64, digest: KeyDigest) -> KeyedAdmission {
        if !self.history.knows_all_runs(now_ms, digest, self.limits()) {
            return KeyedAdmission::Refuse(Refusal {
                reason: RefusalReason::OwnerUnavailable,
                ran: Ran::Unknown,
                retry_after_ms: None,
                message: "another instance may have run the call".to_string(),
            });
        }
        match self.keys.len() >= MAX_KEYS {
            true => KeyedAdmission::Refuse(Refusal::not_run(
                RefusalReason::Overloaded,
                "too many idempotency keys are remembered",
            )),
            false => KeyedAdmission::Run,
        }
    }

    fn limits(&self) -> KeyedLimits {
        let config = &self.config;
        KeyedLimits {
            coverage_ms: config.late_repeat_window_ms
                + config.registration_freshness_ms
                + config.dispatch_deadline_ms,
            freshness_ms: config.registration_freshness_ms,
        }
    }

    pub(crate) fn forget_expired_keys(&mut self, now_ms: u64) {
        let window_ms = self.config.late_repeat_window_ms;
        let is_expired =
            |ended_at_ms: u64| now_ms.saturating_sub(ended_at_ms) > window_ms;
        while self
            .ended
            .first()
            .is_some_and(|(ended_at_ms, _)| is_expired(*ended_at_ms))
        {
            let first = self.ended.pop_first();
            first.map(|(_, digest)| self.keys.remove(&digest));
        }
    }
}

fn not_run(message: &str) -> Refusal {
    Refusal::not_run(RefusalReason::OwnerUnavailable, message)
        .retry_after_ms(RETRY_AFTER_MS)
}
