//! The reducer and its state.

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
use crate::program_cache::ProgramCache;
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
    /// Starts from the settings of the instance, with [`LocalPrograms`] and
    /// [`UnlimitedQuota`].
    pub fn new(settings: SchedulerSettings) -> SchedulerBuilder {
        SchedulerBuilder {
            settings,
            programs: Box::<LocalPrograms>::default(),
            quota: Box::<UnlimitedQuota>::default(),
        }
    }

    /// Sets the program step.
    pub fn programs(mut self, programs: Box<dyn ProgramAdmission>) -> SchedulerBuilder {
        self.programs = programs;
        self
    }

    /// Sets the quota step.
    pub fn quota(mut self, quota: Box<dyn QuotaAdmission>) -> SchedulerBuilder {
        self.quota = quota;
        self
    }

    /// Builds a reducer without configuration.
    pub fn build(self) -> Scheduler {
        let policies = &self.settings.policies;
        Scheduler {
            rng: SmallRng::seed_from_u64(self.settings.seed),
            configuration: None,
            contact_at_ms: None,
            withdrawn: HashSet::new(),
            customers: Customers::default(),
            calls: SlotMap::with_key(),
            calls_by_id: HashMap::new(),
            next_sequence: 0,
            endpoints: SlotMap::with_key(),
            endpoints_by_name: BTreeMap::new(),
            leaving: BTreeSet::new(),
            groups: SlotMap::with_key(),
            groups_by_name: BTreeMap::new(),
            fleet: Fleet::new(1, 0),
            retries: RetryBudget::new(policies.retry_percent),
            program_cache: ProgramCache::default(),
            releases: PendingReleases::default(),
            order: policy::order(policies),
            retention: policy::retention(policies),
            admission: policy::admission(policies),
            programs: self.programs,
            quota: self.quota,
            draining: false,
            drain_reported: false,
            settings: self.settings,
        }
    }
}

/// All decisions of one instance as a function of events.
#[derive(Debug)]
pub struct Scheduler {
    pub(crate) settings: SchedulerSettings,
    pub(crate) rng: SmallRng,
    /// `None` until the first configuration was applied.
    pub(crate) configuration: Option<Arc<Configuration>>,
    /// The newest store contact behind the configuration. Never decreases.
    pub(crate) contact_at_ms: Option<u64>,
    /// Keys that were ever withdrawn. Never shrinks, so that no configuration can make
    /// such a key valid again.
    pub(crate) withdrawn: HashSet<KeyHash>,
    pub(crate) customers: Customers,
    pub(crate) calls: SlotMap<CallKey, Call>,
    /// Holds exactly the calls of `calls`.
    pub(crate) calls_by_id: HashMap<RequestId, CallKey>,
    pub(crate) next_sequence: u64,
    pub(crate) endpoints: SlotMap<EndpointKey, EndpointRecord>,
    pub(crate) endpoints_by_name: BTreeMap<String, EndpointKey>,
    /// Names of leaving endpoints, by the platform's list.
    pub(crate) leaving: BTreeSet<String>,
    pub(crate) groups: SlotMap<GroupKey, Group>,
    pub(crate) groups_by_name: BTreeMap<String, GroupKey>,
    pub(crate) fleet: Fleet,
    pub(crate) retries: RetryBudget,
    pub(crate) program_cache: ProgramCache,
    pub(crate) releases: PendingReleases,
    pub(crate) order: Box<dyn OrderPolicy>,
    pub(crate) retention: Box<dyn RetentionPolicy>,
    pub(crate) admission: Box<dyn AdmissionPolicy>,
    pub(crate) programs: Box<dyn ProgramAdmission>,
    pub(crate) quota: Box<dyn QuotaAdmission>,
    draining: bool,
    /// Whether `DrainComplete` was reported since the last call.
    drain_reported: bool,
}

impl Scheduler {
    /// Applies one event at `now_ms`, in milliseconds of the monotonic clock, and returns
    /// the effects to carry out in order.
    ///
    /// Each call that arrived ends in exactly one `Refuse` or `Reply`, or in a
    /// `CallFinished` after a `Dispatch` or `Forward`. A call that was cancelled while it
    /// ran is refused at once, but its slot stays taken until `CallFinished` or
    /// `CallFailed` reports that the endpoint has stopped.
    pub fn apply(&mut self, now_ms: u64, event: Event) -> Vec<Effect> {
        let mut effects = Vec::new();
        let out = &mut effects;
        match event {
            Event::CallArrived(arrived) => self.arrive(now_ms, *arrived, out),
            Event::CallSent { request_id } => self.mark_sent(now_ms, request_id),
            Event::FirstToken { request_id } => self.mark_answered(request_id),
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
                self.withdrawn.insert(key);
                self.cancel_withdrawn(now_ms, out);
            }
            Event::StoreContact { age_ms } => self.store_contact(now_ms, age_ms),
            Event::CacheReleased {
                endpoint,
                cache_tag,
                released,
            } => self.release_answered(&endpoint, &cache_tag, released),
            Event::ModelsReported { endpoint, loaded } => {
                // A report of each engine comes every second and seldom tells anything new;
                // the dispatch below sorts all waiting calls.
                if !self.models_reported(now_ms, &endpoint, loaded, out) {
                    return effects;
                }
            }
            event => self.apply_to_endpoints(now_ms, event),
        }
        self.apply_decisions(now_ms, out);
        self.dispatch_waiting(now_ms, out);
        self.report_drain(out);
        effects
    }

    fn apply_to_endpoints(&mut self, now_ms: u64, event: Event) {
        match event {
            Event::EndpointsLeaving { names } => {
                for endpoint in self.endpoints.values_mut() {
                    endpoint.leaving = names.contains(&endpoint.name);
                }
                self.leaving = names;
            }
            Event::FleetChanged {
                live_instances,
                position,
            } => {
                self.fleet = Fleet::new(live_instances, position);
                self.divide_slots();
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

    fn tick(&mut self, now_ms: u64, out: &mut Vec<Effect>) {
        self.refuse_overdue(now_ms, out);
        self.refuse_short(now_ms, out);
        self.release_due(now_ms, out);
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
        let contact_at_ms = now_ms.saturating_sub(age_ms);
        self.contact_at_ms = self.contact_at_ms.max(Some(contact_at_ms));
    }

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

    /// Number of calls that have not ended.
    pub fn call_count(&self) -> usize {
        self.calls.len()
    }

    /// Number of calls in the queues of the endpoint groups.
    pub fn waiting_count(&self) -> usize {
        self.groups.values().map(|group| group.queue.len()).sum()
    }

    /// The settings of the instance.
    pub fn settings(&self) -> &SchedulerSettings {
        &self.settings
    }

    /// Whether a planned stop has begun.
    pub fn is_draining(&self) -> bool {
        self.draining
    }
}

/// Adds a refusal to the effects.
pub(crate) fn refuse(out: &mut Vec<Effect>, request_id: RequestId, refusal: Refusal) {
    out.push(Effect::Refuse {
        request_id,
        refusal,
    });
}
