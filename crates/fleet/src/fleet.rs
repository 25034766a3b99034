//! [`FleetState`]: what one instance knows of the fleet and of its own programs, and the
//! dispatch of events to the modules that handle them.

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

use crate::cache_sweep::CacheSweep;
use crate::event::{FleetEffect, FleetEvent};
use crate::home::HomeShare;
use crate::model_reconciler::ModelReconciler;
use crate::settings::FleetSettings;
use crate::stop::StopState;

/// Time between a failed write of the budget record and the next attempt.
const BUDGET_WRITE_RETRY_MS: u64 = 500;

/// After this time without a response the store counts as unreachable. It is longer than the
/// interval of 2 s at which the store is polled.
const STORE_OUTAGE_AFTER_MS: u64 = 3_000;

/// A call that was admitted or waits for its admission, until [`ProgramAdmission::end`].
///
/// [`ProgramAdmission::end`]: jayreel_scheduler::program_admission::ProgramAdmission::end
#[derive(Clone, Debug)]
pub(crate) enum PendingCall {
    /// Has an idempotency key and no program.
    Keyed,
    /// Belongs to a program of this process.
    Program {
        program: ProgramId,
        /// The caller's token limit under its profile. `None` for plain services.
        max_tokens: Option<u64>,
    },
    /// Belongs to a program whose owner is gone. Waits until its successor is known.
    Takeover { of: Incarnation },
}

/// An owned copy of [`ProgramCall`]. It can wait until the successor of a program's owner
/// is known and then be decided again.
#[derive(Clone, Debug)]
pub(crate) struct OwnedProgramCall {
    pub(crate) arrived: CallArrived,
    pub(crate) customer: Option<String>,
    pub(crate) profile_name: String,
    pub(crate) profile: Profile,
    pub(crate) max_tokens: Option<u64>,
    pub(crate) repeatable: bool,
}

impl OwnedProgramCall {
    pub(crate) fn new(call: &ProgramCall<'_>) -> OwnedProgramCall {
        OwnedProgramCall {
            arrived: call.arrived.clone(),
            customer: call.customer.map(str::to_string),
            profile_name: call.profile_name.to_string(),
            profile: call.profile.clone(),
            max_tokens: call.max_tokens,
            repeatable: call.repeatable,
        }
    }
}

/// The part of an instance's state that concerns the fleet. It implements the scheduler's
/// program and quota admission.
#[derive(Debug)]
pub struct FleetState {
    pub(crate) settings: FleetSettings,
    pub(crate) configuration: Option<Arc<Configuration>>,
    pub(crate) programs: Programs,
    /// Idempotency keys of calls without a program.
    pub(crate) keyed: KeyedCalls,
    pub(crate) takeovers: Takeovers,
    /// Whether another process has taken over all programs of this one, because this one
    /// was unreachable.
    pub(crate) superseded: bool,
    pub(crate) membership: Membership,
    pub(crate) quota: Quota,
    pub(crate) home: HomeShare,
    pub(crate) stop: StopState,
    pub(crate) cache_sweep: CacheSweep,
    pub(crate) model_reconciler: ModelReconciler,
    /// Calls that were admitted or wait for a decision, until they end.
    pub(crate) calls: HashMap<RequestId, PendingCall>,
    /// Number of calls in the scheduler's queues at the last tick. Reported in heartbeats.
    pub(crate) waiting_calls: u32,
    /// Calls that wait for a successor, by the incarnation that owned their program.
    pub(crate) awaiting_takeover: BTreeMap<Incarnation, Vec<OwnedProgramCall>>,
    /// Index of the peer that was last asked for a loan, among the live peers.
    pub(crate) last_lender: usize,
    /// Earliest time of the next write of the budget record, after a failed one.
    next_budget_write_ms: u64,
    /// Whether a program may need a larger grant than at the last check of all programs.
    pub(crate) may_need_grant: bool,
    /// Time of the next check for idle programs.
    pub(crate) next_expiry_ms: u64,
    /// Age of the store contact behind the configuration, and when this age was reported.
    store_contact: Option<(u64, u64)>,
    /// Decisions about waiting calls and ended programs, for the next
    /// [`ProgramAdmission::take_changes`].
    ///
    /// [`ProgramAdmission::take_changes`]:
    ///     jayreel_scheduler::program_admission::ProgramAdmission::take_changes
    pub(crate) changes: ProgramChanges,
    /// Effects for the next [`FleetState::take_effects`].
    pub(crate) effects: Vec<FleetEffect>,
    /// Unix time at `now_ms` 0. Used only for the validity of program tokens.
    unix_ms_at_zero: u64,
    /// Time of the first event. `None` before it.
    pub(crate) started_ms: Option<u64>,
    /// Time of the event that is being applied, or of the last one.
    pub(crate) last_now_ms: u64,
}

impl FleetState {
    /// The state of a process that has just started. `unix_ms_at_zero` is the Unix time in
    /// milliseconds at which the monotonic clock was 0.
    pub fn new(settings: FleetSettings, unix_ms_at_zero: u64) -> FleetState {
        let own = settings.own.clone();
        let mut quota_settings = QuotaSettings::new(own.to_string());
        quota_settings.loan_term_ms = settings.loan_term_ms;
        quota_settings.dispatch_deadline_ms = settings.dispatch_deadline_ms;
        FleetState {
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
            cache_sweep: CacheSweep::default(),
            model_reconciler: ModelReconciler::default(),
            store_contact: None,
            calls: HashMap::new(),
            waiting_calls: 0,
            awaiting_takeover: BTreeMap::new(),
            last_lender: 0,
            next_budget_write_ms: 0,
            may_need_grant: false,
            next_expiry_ms: 0,
            changes: ProgramChanges::default(),
            effects: Vec::new(),
            unix_ms_at_zero,
            started_ms: None,
            last_now_ms: 0,
            settings,
        }
    }

    /// Applies one event at `now_ms`, in milliseconds of the monotonic clock. The resulting
    /// effects are returned by [`FleetState::take_effects`].
    pub fn apply(&mut self, now_ms: u64, event: FleetEvent) {
        self.started_ms.get_or_insert(now_ms);
        self.last_now_ms = now_ms;
        self.may_need_grant |= event.affects_calls();
        match event {
            FleetEvent::BudgetRead { of, record } => self.budget_read(now_ms, of, record),
            FleetEvent::ConfigurationChanged(configuration) => {
                self.forget_readdressed_engines(&configuration);
                self.configuration = Some(configuration);
            }
            FleetEvent::StoreContactAge(age_ms) => {
                self.store_contact = age_ms.map(|age_ms| (age_ms, now_ms));
            }
            FleetEvent::BudgetWritten { record, confirmed } => {
                let effects = match confirmed {
                    true => self.programs.budget_record_written(&record),
                    false => {
                        self.next_budget_write_ms = now_ms + BUDGET_WRITE_RETRY_MS;
                        self.programs.budget_record_failed()
                    }
                };
                self.apply_program_effects(effects);
                self.final_grants_written(&record);
            }
            FleetEvent::HomeWeightsRead {
                sent_at_ms,
                record,
                version,
            } => {
                self.home_weights_read(now_ms, sent_at_ms, record, version);
            }
            FleetEvent::HomeWeightsWritten { version, accepted } => {
                self.home_weights_written(version, accepted);
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
            } => self.order_response_received(now_ms, &endpoint, fencing, answer),
            FleetEvent::PeerMessage { from, message } => {
                self.peer_message(now_ms, from, message);
            }
            FleetEvent::PeersDiscovered(names) => self.send_first_heartbeats(names),
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
            FleetEvent::ServingEnded => self.start_release(now_ms),
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

    /// Returns the effects of the events since the last call, in order.
    pub fn take_effects(&mut self) -> Vec<FleetEffect> {
        // The check visits every program, so it runs only after events that may change a
        // budget. After a failed write the calls wait for the next attempt: without this
        // delay a store that refused connections received a write every millisecond.
        let is_delayed = self.last_now_ms < self.next_budget_write_ms;
        if !is_delayed && std::mem::take(&mut self.may_need_grant) {
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
        self.update_home_share(now_ms);
        self.continue_stop(now_ms);
        self.sweep_cache_tags(now_ms);
        self.reconcile_models(now_ms);
    }

    /// Sets the time of an event that only the scheduler applies. Token checks and queries
    /// of the live peers during that event use it.
    pub(crate) fn set_now(&mut self, now_ms: u64) {
        self.last_now_ms = now_ms;
    }

    /// Sets the number of calls in the scheduler's queues, for the next heartbeats.
    pub(crate) fn set_waiting_calls(&mut self, count: usize) {
        self.waiting_calls = u32::try_from(count).unwrap_or(u32::MAX);
    }

    /// Whether calls can use a part of their customer's rate: this instance has a home
    /// share in force, or a live peer holds one by the record and can lend from it.
    ///
    /// A live peer without a recorded share is not enough: in a new fleet no instance may
    /// have a share yet, and if the store becomes unreachable then, none gets one. It is
    /// enough for a process that starts while the store does not respond, because other
    /// processes of its fleet ran before the outage.
    pub fn is_ready(&mut self, now_ms: u64) -> bool {
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

    /// Whether this process has not read the registrations since its start and the store
    /// has not responded for [`STORE_OUTAGE_AFTER_MS`].
    fn started_in_outage(&self, now_ms: u64) -> bool {
        let contact_age_ms = self.contact_age_ms(now_ms);
        !self.membership.registrations().were_read()
            && contact_age_ms.is_some_and(|age_ms| age_ms >= STORE_OUTAGE_AFTER_MS)
    }

    /// Home weight in force, in parts per million. It is the same for all customers, so the
    /// first one is asked.
    pub(crate) fn home_in_force_ppm(&mut self, now_ms: u64) -> u32 {
        let configuration = self.configuration.as_ref();
        let customer = configuration.and_then(|c| c.customers.keys().next());
        let key = customer.and_then(|customer| self.quota.quota_key(customer));
        let share = key.and_then(|key| self.quota.share(now_ms, key));
        share.map_or(0, |share| share.home_ppm)
    }

    /// Age of the store contact behind the configuration, in milliseconds. It keeps growing
    /// while the thread that reports it is blocked by a store that does not respond.
    /// Otherwise two such instances would report a recent contact to each other without
    /// end.
    pub(crate) fn contact_age_ms(&self, now_ms: u64) -> Option<u64> {
        let (age_ms, reported_at_ms) = self.store_contact?;
        Some(age_ms + now_ms.saturating_sub(reported_at_ms))
    }

    /// Number of live instances and the index of this one among them, sorted by name.
    pub(crate) fn position(&self, now_ms: u64) -> (u32, u32) {
        self.membership.position(now_ms)
    }

    /// Unix time in seconds. Used only for the validity of program tokens.
    pub(crate) fn now_unix_s(&self, now_ms: u64) -> u64 {
        (self.unix_ms_at_zero + now_ms) / 1_000
    }
}
