//! The state of the fleet step.

use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;

use jayreel_membership::Membership;
use jayreel_model::{Configuration, Incarnation, Profile, RequestId};
use jayreel_programs::{
    KeyedCalls, KeyedConfig, ProgramId, Programs, ProgramsConfig, Takeovers,
};
use jayreel_quota::{Quota, QuotaSettings};
use jayreel_scheduler::event::CallArrived;
use jayreel_scheduler::program_admission::{ProgramCall, ProgramChanges};

use crate::caretaker::Caretaker;
use crate::event::{FleetEffect, FleetEvent};
use crate::home::HomeShare;
use crate::model_care::ModelCare;
use crate::settings::FleetSettings;
use crate::stop::StopState;

/// Time between a failed write of grants and the next attempt.
const GRANT_RETRY_MS: u64 = 500;

/// Without an answer of the store for this long an instance counts as cut off. Longer than
/// the interval of the polls, 2 s.
const OUTAGE_AFTER_MS: u64 = 3_000;

/// A call that was told to wait or to proceed.
#[derive(Clone, Debug)]
pub(crate) enum PendingCall {
    /// Has an idempotency key but no program.
    Keyed,
    /// Belongs to a program.
    Program {
        program: ProgramId,
        /// What the caller asked for, `None` for plain services.
        max_tokens: Option<u64>,
    },
    /// Waits until the successor of an incarnation is known.
    Takeover { of: Incarnation },
}

/// A call that is decided again once the successor of an incarnation is known.
#[derive(Clone, Debug)]
pub(crate) struct HeldCall {
    pub(crate) arrived: CallArrived,
    pub(crate) customer: Option<String>,
    pub(crate) profile_name: String,
    pub(crate) profile: Profile,
    pub(crate) max_tokens: Option<u64>,
    pub(crate) repeatable: bool,
}

impl HeldCall {
    pub(crate) fn new(call: &ProgramCall<'_>) -> HeldCall {
        HeldCall {
            arrived: call.arrived.clone(),
            customer: call.customer.map(str::to_string),
            profile_name: call.profile_name.to_string(),
            profile: call.profile.clone(),
            max_tokens: call.max_tokens,
            repeatable: call.repeatable,
        }
    }
}

/// Both admission steps, with the knowledge of the fleet that they share.
#[derive(Debug)]
pub struct Fleet {
    pub(crate) settings: FleetSettings,
    pub(crate) configuration: Option<Arc<Configuration>>,
    pub(crate) programs: Programs,
    pub(crate) keyed: KeyedCalls,
    pub(crate) takeovers: Takeovers,
    /// Another process has taken over all programs of this one, which was cut off.
    pub(crate) superseded: bool,
    pub(crate) membership: Membership,
    pub(crate) quota: Quota,
    pub(crate) home: HomeShare,
    pub(crate) stop: StopState,
    pub(crate) caretaker: Caretaker,
    pub(crate) model_care: ModelCare,
    /// Calls between their admission and their end.
    pub(crate) calls: HashMap<RequestId, PendingCall>,
    /// Calls in the scheduler's queues at the last tick, for heartbeats.
    pub(crate) waiting_calls: u32,
    /// Calls that wait for the successor of an incarnation.
    pub(crate) held: BTreeMap<Incarnation, Vec<HeldCall>>,
    pub(crate) next_lender: usize,
    /// Earliest time of the next write of grants, after a failed one.
    next_grant_write_ms: u64,
    /// Whether a program may need a larger grant since the last search for one.
    pub(crate) may_need_grant: bool,
    /// When idle programs are looked for again.
    pub(crate) next_expiry_ms: u64,
    /// Age of the store contact behind the configuration, and when it was told.
    contact: Option<(u64, u64)>,
    pub(crate) changes: ProgramChanges,
    pub(crate) effects: Vec<FleetEffect>,
    /// Wall-clock time at `now_ms` 0, for the validity of tokens only.
    unix_ms_at_zero: u64,
    pub(crate) last_now_ms: u64,
}

impl Fleet {
    /// The step of a process that has just started. `unix_ms_at_zero` is the wall-clock
    /// time at which the monotonic clock was 0.
    pub fn new(settings: FleetSettings, unix_ms_at_zero: u64) -> Fleet {
        let own = settings.own.clone();
        let mut quota_settings = QuotaSettings::new(own.to_string());
        quota_settings.loan_term_ms = settings.loan_term_ms;
        quota_settings.dispatch_deadline_ms = settings.dispatch_deadline_ms;
        Fleet {
            configuration: None,
            programs: Programs::new(ProgramsConfig {
                own: own.clone(),
                first_tranche_percent: settings.first_tranche_percent,
                token_lifetime_s: settings.token_lifetime_s,
            }),
            keyed: KeyedCalls::new(KeyedConfig {
                own: own.clone(),
                late_repeat_window_ms: settings.late_repeat_window_ms,
                registration_freshness_ms: settings.registration_freshness_ms,
                dispatch_deadline_ms: settings.dispatch_deadline_ms,
            }),
            takeovers: Takeovers::default(),
            superseded: false,
            membership: Membership::new(own, settings.availability_zone.clone()),
            quota: Quota::new(quota_settings),
            home: HomeShare::default(),
            stop: StopState::default(),
            caretaker: Caretaker::default(),
            model_care: ModelCare::default(),
            contact: None,
            calls: HashMap::new(),
            waiting_calls: 0,
            held: BTreeMap::new(),
            next_lender: 0,
            next_grant_write_ms: 0,
            may_need_grant: false,
            next_expiry_ms: 0,
            changes: ProgramChanges::default(),
            effects: Vec::new(),
            unix_ms_at_zero,
            last_now_ms: 0,
            settings,
        }
    }

    /// Applies one event.
    pub fn apply(&mut self, now_ms: u64, event: FleetEvent) {
        self.last_now_ms = now_ms;
        self.may_need_grant |= event.brings_decisions();
        match event {
            FleetEvent::BudgetRead { of, record } => self.budget_read(now_ms, of, record),
            FleetEvent::ConfigurationChanged(configuration) => {
                self.forget_moved_engines(&configuration);
                self.configuration = Some(configuration);
            }
            FleetEvent::StoreContactAge(age_ms) => {
                self.contact = age_ms.map(|age_ms| (age_ms, now_ms));
            }
            FleetEvent::BudgetWritten { record, confirmed } => {
                let transition = match confirmed {
                    true => self.programs.budget_record_written(&record),
                    false => {
                        self.next_grant_write_ms = now_ms + GRANT_RETRY_MS;
                        self.programs.budget_record_failed()
                    }
                };
                self.record(transition);
                self.last_grants_written(&record);
            }
            FleetEvent::HomeWeightsRead {
                sent_at_ms,
                record,
                version,
            } => {
                self.home_read(now_ms, sent_at_ms, record, version);
            }
            FleetEvent::HomeWeightsWritten { version, accepted } => {
                self.home_written(version, accepted);
            }
            FleetEvent::LeavingInstancesRead(names) => {
                self.membership.set_listed_leaving(names);
            }
            FleetEvent::ModelsReported {
                endpoint,
                sent_at_ms,
                models,
            } => self.models_reported(now_ms, endpoint, sent_at_ms, models),
            FleetEvent::OrderAnswered {
                endpoint,
                fencing,
                answer,
            } => self.order_answered(now_ms, &endpoint, fencing, answer),
            FleetEvent::PeerMessage { from, message } => {
                self.peer_message(now_ms, from, message);
            }
            FleetEvent::PeersDiscovered(names) => self.greet(names),
            FleetEvent::RegistrationRenewed { sent_at_ms } => {
                self.registration_renewed(now_ms, sent_at_ms);
            }
            FleetEvent::RegistrationsRead {
                sent_at_ms,
                registered,
                own_lease,
            } => {
                self.home.own_lease = own_lease;
                self.registrations_read(now_ms, sent_at_ms, registered);
            }
            FleetEvent::ServingEnded => self.stop_serving(now_ms),
            FleetEvent::StopStarted => self.start_stop(now_ms),
            FleetEvent::CacheTagsListed { endpoint, tags } => {
                self.tags_listed(now_ms, &endpoint, tags);
            }
            FleetEvent::TakeoverRead { of, record } => {
                self.takeover_read(now_ms, of, &record);
            }
            FleetEvent::TakeoverUnconfirmed { of } => self.takeover_unconfirmed(&of),
            FleetEvent::Tick => self.tick(now_ms),
        }
    }

    /// Returns and forgets the effects since the last call.
    pub fn take_effects(&mut self) -> Vec<FleetEffect> {
        // The search visits every program, so events that cannot change their budgets
        // leave it out.
        // After a failed write the calls wait for the next attempt. Without the pause a store
        // that refuses connections was asked once a millisecond.
        let is_paused = self.last_now_ms < self.next_grant_write_ms;
        if !is_paused && std::mem::take(&mut self.may_need_grant) {
            let record = self.programs.next_budget_record();
            self.effects.extend(record.map(FleetEffect::WriteBudget));
        }
        std::mem::take(&mut self.effects)
    }

    fn tick(&mut self, now_ms: u64) {
        let ended = self.quota.return_expiring_loans(now_ms);
        self.send_returns(ended);
        self.quota.expire(now_ms);
        self.send_heartbeats(now_ms);
        self.plan_home(now_ms);
        self.continue_stop(now_ms);
        self.sweep(now_ms);
        self.order_models(now_ms);
    }

    /// Sets the time of the event that the scheduler applies next.
    pub(crate) fn set_now(&mut self, now_ms: u64) {
        self.last_now_ms = now_ms;
    }

    /// Sets the number of calls in the scheduler's queues.
    pub(crate) fn set_waiting_calls(&mut self, count: usize) {
        self.waiting_calls = u32::try_from(count).unwrap_or(u32::MAX);
    }

    /// Whether calls can get a part of their customer's rate: from the home share, or on
    /// loan from a live peer that has one by the record. A live peer alone is not enough:
    /// in a new fleet nobody may have a share yet, and if the store is then cut off,
    /// nobody gets one. It is enough for a process that starts while the store does not
    /// answer, because its fleet has run before.
    pub fn has_share(&mut self, now_ms: u64) -> bool {
        let has_customers = match &self.configuration {
            None => return false,
            Some(configuration) => !configuration.customers.is_empty(),
        };
        !has_customers
            || self.home_in_force_ppm(now_ms) > 0
            || self.has_live_holder(now_ms)
            || (self.started_in_outage(now_ms)
                && !self.membership.live_peers(now_ms).is_empty())
    }

    /// Whether this process has read nothing and knows that the store does not answer.
    fn started_in_outage(&self, now_ms: u64) -> bool {
        let contact_age_ms = self.contact_age_ms(now_ms);
        !self.membership.registrations().were_read()
            && contact_age_ms.is_some_and(|age_ms| age_ms >= OUTAGE_AFTER_MS)
    }

    /// The home weight in force. It is the same for all customers.
    pub(crate) fn home_in_force_ppm(&mut self, now_ms: u64) -> u32 {
        let configuration = self.configuration.as_ref();
        let customer = configuration.and_then(|c| c.customers.keys().next());
        let key = customer.and_then(|customer| self.quota.quota_key(customer));
        let share = key.and_then(|key| self.quota.share(now_ms, key));
        share.map_or(0, |share| share.home_ppm)
    }

    /// Age of the store contact behind the configuration. It grows while the thread that
    /// tells it waits for a silent store; otherwise peers would keep each other fresh.
    pub(crate) fn contact_age_ms(&self, now_ms: u64) -> Option<u64> {
        let (age_ms, told_at_ms) = self.contact?;
        Some(age_ms + now_ms.saturating_sub(told_at_ms))
    }

    /// Number of live instances and the position of this one among them.
    pub(crate) fn position(&self, now_ms: u64) -> (u32, u32) {
        self.membership.position(now_ms)
    }

    /// Wall-clock seconds, for the validity of tokens only.
    pub(crate) fn now_unix_s(&self, now_ms: u64) -> u64 {
        (self.unix_ms_at_zero + now_ms) / 1_000
    }
}
