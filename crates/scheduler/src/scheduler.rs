//! The scheduler's state, and the handling of events.

use std::collections::{BTreeMap, BTreeSet, HashMap, HashSet};
use std::sync::Arc;

use jayreel_model::{Configuration, KeyHash, Refusal, RequestId};
use rand::SeedableRng;
use rand::rngs::SmallRng;
use slotmap::SlotMap;

use crate::call::{Call, CallKey};
use crate::customer::Customers;
use crate::effect::Effect;
use crate::endpoint::{EndpointKey, EndpointRecord};
use crate::event::Event;
use crate::fleet::Fleet;
use crate::group::{Group, GroupKey};
use crate::policy::{self, AdmissionPolicy, OrderPolicy, RetentionPolicy};
use crate::program_admission::{LocalPrograms, ProgramAdmission};
use crate::program_table::ProgramTable;
use crate::quota_admission::{QuotaAdmission, UnlimitedQuota};
use crate::release::PendingReleases;
use crate::retry::RetryBudget;
use crate::settings::SchedulerSettings;

/// Builds a [`Scheduler`].
#[derive(Debug)]
pub struct SchedulerBuilder {
    settings: SchedulerSettings,
    programs: Box<dyn ProgramAdmission>,
    quota: Box<dyn QuotaAdmission>,
}

impl SchedulerBuilder {
    /// Creates a builder that uses [`LocalPrograms`] and [`UnlimitedQuota`] by default.
    pub fn new(settings: SchedulerSettings) -> SchedulerBuilder {
        SchedulerBuilder {
            settings,
            programs: Box::<LocalPrograms>::default(),
            quota: Box::<UnlimitedQuota>::default(),
        }
    }

    /// Sets the component that decides about the calls of programs.
    pub fn programs(mut self, programs: Box<dyn ProgramAdmission>) -> SchedulerBuilder {
        self.programs = programs;
        self
    }

    /// Sets the component that enforces the rate limits of customers.
    pub fn quota(mut self, quota: Box<dyn QuotaAdmission>) -> SchedulerBuilder {
        self.quota = quota;
        self
    }

    /// Builds a scheduler. It refuses all calls until the first configuration arrives.
    pub fn build(self) -> Scheduler {
        let policies = &self.settings.policies;
        Scheduler {
            rng: SmallRng::seed_from_u64(self.settings.seed),
            configuration: None,
            last_store_contact_at_ms: None,
            withdrawn_keys: HashSet::new(),
            customers: Customers::default(),
            calls: SlotMap::with_key(),
            calls_by_id: HashMap::new(),
            last_sequence: 0,
            endpoints: SlotMap::with_key(),
            endpoints_by_name: BTreeMap::new(),
            leaving_endpoints: BTreeSet::new(),
            groups: SlotMap::with_key(),
            groups_by_name: BTreeMap::new(),
            fleet: Fleet::new(1, 0),
            retry_budget: RetryBudget::new(policies.retry_percent),
            program_table: ProgramTable::default(),
            pending_releases: PendingReleases::default(),
            order_policy: policy::order(policies),
            retention_policy: policy::retention(policies),
            admission_policy: policy::admission(policies),
            programs: self.programs,
            quota: self.quota,
            draining: false,
            drain_reported: false,
            settings: self.settings,
        }
    }
}

/// The scheduler of one instance, a state machine driven by [`Event`]s.
#[derive(Debug)]
pub struct Scheduler {
    pub(crate) settings: SchedulerSettings,
    pub(crate) rng: SmallRng,
    /// `None` until the first configuration arrives.
    pub(crate) configuration: Option<Arc<Configuration>>,
    /// Time of the last known contact with the store, by this instance or a peer. Never
    /// decreases.
    pub(crate) last_store_contact_at_ms: Option<u64>,
    /// All keys that were ever withdrawn. Never shrinks, so that no later configuration can
    /// make such a key valid again.
    pub(crate) withdrawn_keys: HashSet<KeyHash>,
    pub(crate) customers: Customers,
    pub(crate) calls: SlotMap<CallKey, Call>,
    /// Index of `calls` by request id.
    pub(crate) calls_by_id: HashMap<RequestId, CallKey>,
    /// Sequence number of the last call that arrived.
    pub(crate) last_sequence: u64,
    pub(crate) endpoints: SlotMap<EndpointKey, EndpointRecord>,
    pub(crate) endpoints_by_name: BTreeMap<String, EndpointKey>,
    /// Names of the endpoints that are about to be shut down, as announced by the platform.
    /// May include endpoints that are not configured yet.
    pub(crate) leaving_endpoints: BTreeSet<String>,
    pub(crate) groups: SlotMap<GroupKey, Group>,
    pub(crate) groups_by_name: BTreeMap<String, GroupKey>,
    pub(crate) fleet: Fleet,
    pub(crate) retry_budget: RetryBudget,
    pub(crate) program_table: ProgramTable,
    pub(crate) pending_releases: PendingReleases,
    pub(crate) order_policy: Box<dyn OrderPolicy>,
    pub(crate) retention_policy: Box<dyn RetentionPolicy>,
    pub(crate) admission_policy: Box<dyn AdmissionPolicy>,
    pub(crate) programs: Box<dyn ProgramAdmission>,
    pub(crate) quota: Box<dyn QuotaAdmission>,
    draining: bool,
    /// Whether `DrainComplete` was already sent since the last call ended.
    drain_reported: bool,
}

impl Scheduler {
    /// Applies one event and returns the effects, to be carried out in order. `now_ms` is the
    /// time of the event in milliseconds of the monotonic clock.
    ///
    /// Each call ends with exactly one `Refuse` or `Reply` effect, or with a `CallFinished`
    /// event after a `Dispatch` or `Forward` effect. A call that is cancelled while it runs
    /// is refused at once, but its slot stays occupied until `CallFinished` or `CallFailed`
    /// reports that the endpoint has stopped.
    pub fn apply(&mut self, now_ms: u64, event: Event) -> Vec<Effect> {
        let mut effects = Vec::new();
        let out = &mut effects;
        match event {
            Event::CallArrived(arrived) => self.handle_arrival(now_ms, *arrived, out),
            Event::CallSent { request_id } => self.mark_sent(now_ms, request_id),
            Event::FirstToken { request_id } => self.mark_response_started(request_id),
            Event::CallFinished { request_id, usage } => {
                self.finish(now_ms, request_id, usage, out)
            }
            Event::CallFailed {
                request_id,
                ran,
                reason,
                message,
            } => self.fail(now_ms, request_id, ran, reason, message, out),
            Event::CallerGone { request_id } => self.caller_gone(now_ms, request_id, out),
            Event::ConfigurationChanged(configuration) => {
                self.configure(now_ms, configuration, out)
            }
            Event::DrainStarted => self.draining = true,
            Event::Tick => self.tick(now_ms, out),
            Event::KeyWithdrawn { key } => {
                self.withdrawn_keys.insert(key);
                self.cancel_withdrawn(now_ms, out);
            }
            Event::StoreContact { age_ms } => self.store_contact(now_ms, age_ms),
            Event::CacheReleased {
                endpoint,
                cache_tag,
                released,
            } => self.record_release_answer(&endpoint, &cache_tag, released),
            Event::ModelsReported { endpoint, loaded } => {
                // Every engine sends a report each second, which rarely contains a change.
                // Skips the dispatch below in that case, since it sorts all waiting calls.
                if !self.models_reported(now_ms, &endpoint, loaded, out) {
                    return effects;
                }
            }
            event => self.apply_to_endpoints(now_ms, event),
        }
        self.apply_program_changes(now_ms, out);
        self.dispatch_waiting(now_ms, out);
        self.report_drain(out);
        effects
    }

    /// Applies the events that only change the state of endpoints.
    fn apply_to_endpoints(&mut self, now_ms: u64, event: Event) {
        match event {
            Event::EndpointsLeaving { names } => {
                for endpoint in self.endpoints.values_mut() {
                    endpoint.leaving = names.contains(&endpoint.name);
                }
                self.leaving_endpoints = names;
            }
            Event::FleetChanged {
                live_instances,
                position,
            } => {
                self.fleet = Fleet::new(live_instances, position);
                self.update_guaranteed_slots();
            }
            Event::LoadReported { endpoint, report } => {
                if let Some(endpoint) = self.endpoint_mut(&endpoint) {
                    endpoint.load.record_report(now_ms, report);
                }
            }
            Event::ProbeFinished { endpoint, healthy } => {
                if let Some(endpoint) = self.endpoint_mut(&endpoint) {
                    endpoint.health.record_probe(now_ms, healthy);
                }
            }
            _ => {}
        }
    }

    /// Handles `Tick`: timeouts of waiting calls, cache releases and due probes.
    fn tick(&mut self, now_ms: u64, out: &mut Vec<Effect>) {
        self.refuse_overdue(now_ms, out);
        self.refuse_over_rate(now_ms, out);
        self.request_due_releases(now_ms, out);
        for endpoint in self.endpoints.values_mut() {
            if !endpoint.is_removed() && endpoint.health.take_due_probe(now_ms) {
                out.push(Effect::Probe {
                    endpoint: endpoint.name.clone(),
                    address: endpoint.configuration.address.clone(),
                });
            }
        }
    }

    fn store_contact(&mut self, now_ms: u64, age_ms: u64) {
        let last_store_contact_at_ms = now_ms.saturating_sub(age_ms);
        self.last_store_contact_at_ms = self
            .last_store_contact_at_ms
            .max(Some(last_store_contact_at_ms));
    }

    /// Sends `DrainComplete` when no call is left during a planned shutdown.
    fn report_drain(&mut self, out: &mut Vec<Effect>) {
        let idle = self.draining && self.calls.is_empty();
        if idle && !self.drain_reported {
            out.push(Effect::DrainComplete);
        }
        self.drain_reported = idle;
    }

    fn endpoint_mut(&mut self, name: &str) -> Option<&mut EndpointRecord> {
        let key = self.endpoints_by_name.get(name)?;
        self.endpoints.get_mut(*key)
    }

    /// Number of calls that have not ended, waiting or running.
    pub fn call_count(&self) -> usize {
        self.calls.len()
    }

    /// Number of calls that wait in the queues of endpoint groups. Excludes calls that wait
    /// for their program.
    pub fn waiting_count(&self) -> usize {
        self.groups.values().map(|group| group.queue.len()).sum()
    }

    /// The settings that the scheduler was built with.
    pub fn settings(&self) -> &SchedulerSettings {
        &self.settings
    }

    /// Whether a planned shutdown has begun.
    pub fn is_draining(&self) -> bool {
        self.draining
    }
}

/// Adds a `Refuse` effect.
pub(crate) fn refuse(out: &mut Vec<Effect>, request_id: RequestId, refusal: Refusal) {
    out.push(Effect::Refuse {
        request_id,
        refusal,
    });
}
