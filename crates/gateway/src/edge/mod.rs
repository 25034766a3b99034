//! The entry instance: a reverse proxy that authenticates callers' requests, applies rate
//! limits and token budgets, and sends each request to an endpoint.
//!
//! All state is in `Edge`, shared by the tasks of one single-threaded event loop.

mod admission;
mod body;
mod call;
mod collect;
mod crashes;
mod exchange;
mod explain;
mod forward;
mod hedge;
mod history;
mod limits;
pub(crate) mod listen;
mod members;
mod memory;
mod placement;
mod pool;
mod program_admission;
mod quota;
mod refusal;
mod shutdown;
mod stream;
mod stream_memory;
mod sync;
mod turn_memory;

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::fmt;
use std::rc::Rc;

use hyper::StatusCode;
use jayreel_placement::AffinityKey;

use crate::backoff::Backoff;
use crate::balance::{Balancer, EndpointKey, Pick};
use crate::clock::now_ms;
use crate::config::Configuration;
use crate::directory::MetadataStore;
use crate::durations::Durations;
use crate::edge::call::AdmittedCall;
use crate::edge::collect::{request_account, response_account};
use crate::edge::crashes::LostRequests;
use crate::edge::exchange::OutgoingRequest;
use crate::edge::hedge::Hedger;
use crate::edge::history::Fetches;
use crate::edge::pool::Pool;
use crate::edge::program_admission::ProgramGate;
use crate::edge::refusal::Refusal;
use crate::edge::shutdown::Shutdown;
use crate::evacuation_view::EvacuationView;
use crate::freshness::Freshness;
use crate::link::LinkPool;
use crate::log_fields::OrNone;
use crate::log_queue::LineBudget;
use crate::metrics::Metrics;
use crate::protocol::{CallHead, CallProtocol};
use crate::quota_buffer::QuotaBuffer;
use crate::retry::Outcome;
use crate::settings::NodeSettings;
use crate::suspect_table::SuspectTable;

pub use explain::{
    EXPLAIN_PATH, ExplainedCustomer, ExplainedRoute, ExplainedService, Explanation,
};
pub use listen::run;
pub use members::{ChainLookup, Members, NoQuorum};
pub(crate) use memory::MemoryUsage;
pub use memory::{Claim, MemoryAccount, ReleaseRate};
pub use turn_memory::{HeldTurn, OutOfMemory, TurnMemory};

/// Fraction of `Bounds::configuration_ms`. A configuration that was confirmed to be current
/// within this time may be used to report to callers that a route or key does not exist.
const RECENT_FRACTION: f64 = 0.9;

/// The state of an entry instance.
pub(crate) struct Edge {
    pub settings: NodeSettings,
    pub protocol: Box<dyn CallProtocol>,
    pub store: Box<dyn MetadataStore>,
    configuration: RefCell<Rc<Configuration>>,
    /// Revision of the configuration in the metadata store. 0 until one has been read.
    configuration_revision: Cell<u64>,
    /// When the configuration was last confirmed to be current.
    pub freshness: RefCell<Freshness>,
    /// The evacuated availability zones.
    evacuations: RefCell<EvacuationView>,
    /// Delays reads of the evacuated zones from the metadata store after one has failed.
    evacuation_backoff: RefCell<Backoff>,
    pub balancer: RefCell<Balancer>,
    pub pool: RefCell<Pool>,
    pub members: Rc<Members>,
    /// Delays calls to the metadata store after one has failed.
    store_backoff: RefCell<Backoff>,
    /// Rate-limit tokens fetched in advance.
    quota: RefCell<QuotaBuffer>,
    /// By customer: until when requests are refused without a request to the members, which have
    /// all just responded that the customer has no tokens left.
    refused_until_ms: RefCell<HashMap<String, u64>>,
    /// Requests whose connections were lost, until it is known why.
    lost_requests: RefCell<LostRequests>,
    /// Requests that may crash endpoints.
    suspects: RefCell<SuspectTable>,
    pub turns: RefCell<TurnMemory>,
    /// The reads of turns from the members.
    fetches: RefCell<Fetches>,
    /// Memory of the request bodies.
    pub request_memory: Rc<MemoryAccount>,
    /// Memory of the response bodies that are being read, or that callers have not taken yet.
    pub response_memory: Rc<MemoryAccount>,
    /// By program: the endpoint that handled its last request. The next one prefers it.
    pub affinity: RefCell<HashMap<String, String>>,
    /// By turn: the endpoint that ran it, which holds its history.
    turn_endpoints: RefCell<HashMap<AffinityKey, EndpointKey>>,
    /// Set once a list of endpoints has been received, even an empty one.
    has_endpoints: Cell<bool>,
    /// Fewer than half of the entry instances of the zone have contact with its member. The load
    /// balancer should then send callers to other zones.
    is_zone_majority_absent: Cell<bool>,
    /// Set when a graceful shutdown begins.
    pub shutdown: Rc<Shutdown>,
    /// How long requests take.
    pub durations: RefCell<Durations>,
    /// Admission of new programs. `None` where capacity is not scarce or the operators set no bound.
    program_gate: Option<RefCell<ProgramGate>>,
    /// Limits the log lines for successful responses. Those beyond it are only counted.
    response_log_budget: RefCell<LineBudget>,
    /// Decides on second sends of slow requests.
    pub hedger: RefCell<Hedger>,
    pub metrics: Metrics,
}

impl fmt::Debug for Edge {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Edge")
            .field("name", &self.settings.name)
            .finish_non_exhaustive()
    }
}

impl Edge {
    fn new(
        settings: NodeSettings,
        store: Box<dyn MetadataStore>,
        protocol: Box<dyn CallProtocol>,
    ) -> Edge {
        let zone = settings.availability_zone.clone();
        let mut balancer = Balancer::new(&zone);
        if settings.features.scarce_capacity || settings.features.managed_zones {
            balancer.enable_program_affinity();
        }
        let memory_mb = settings.limits.memory_mb;
        let bound_turns = settings.max_queueing_turns;
        let program_gate = bound_turns
            .filter(|_| settings.features.scarce_capacity)
            .map(|bound| RefCell::new(ProgramGate::new(now_ms(), bound)));
        Edge {
            program_gate,
            hedger: RefCell::new(Hedger::new(settings.hedging)),
            settings,
            request_memory: Rc::new(request_account(memory_mb)),
            response_memory: Rc::new(response_account(memory_mb)),
            protocol,
            store,
            configuration: RefCell::default(),
            configuration_revision: Cell::new(0),
            freshness: RefCell::default(),
            evacuations: RefCell::default(),
            evacuation_backoff: RefCell::default(),
            balancer: RefCell::new(balancer),
            pool: RefCell::default(),
            members: Rc::new(Members::new(&zone, Box::<LinkPool>::default())),
            store_backoff: RefCell::default(),
            quota: RefCell::default(),
            refused_until_ms: RefCell::default(),
            lost_requests: RefCell::default(),
            suspects: RefCell::default(),
            turns: RefCell::new(TurnMemory::new(memory_mb)),
            fetches: RefCell::default(),
            affinity: RefCell::default(),
            turn_endpoints: RefCell::default(),
            has_endpoints: Cell::new(false),
            is_zone_majority_absent: Cell::new(false),
            shutdown: Rc::new(Shutdown::new()),
            durations: RefCell::default(),
            response_log_budget: RefCell::default(),
            metrics: Metrics::new(),
        }
    }

    pub(crate) fn configuration(&self) -> Rc<Configuration> {
        Rc::clone(&self.configuration.borrow())
    }

    /// Whether the configuration is fresh enough to conclude that a route or key which it lacks
    /// does not exist.
    pub(crate) fn is_configuration_recent(&self) -> bool {
        let bound_ms = self.settings.bounds.configuration_ms as f64 * RECENT_FRACTION;
        let age_ms = self.freshness.borrow().age_ms(now_ms());
        age_ms.is_some_and(|age_ms| (age_ms as f64) < bound_ms)
    }

    /// Whether a graceful shutdown has begun.
    fn is_stopping(&self) -> bool {
        self.shutdown.time_left_ms().is_some()
    }

    /// The state reported to the load balancer's readiness check.
    fn is_ready(&self) -> bool {
        let revocation_ms = self.settings.bounds.revocation_ms;
        !self.is_stopping()
            && self.has_endpoints.get()
            && !self.is_zone_majority_absent.get()
            && self.configuration_revision.get() > 0
            && self.members.contact().is_ready(now_ms())
            && self.freshness.borrow().admits(now_ms(), revocation_ms)
    }

    /// Reports to the balancer that an endpoint responded `elapsed_ms` after the request was sent.
    pub(crate) fn record_endpoint_response(
        &self,
        pick: &Pick,
        status: StatusCode,
        elapsed_ms: u64,
    ) {
        let mut balancer = self.balancer.borrow_mut();
        match status.is_server_error() {
            true => balancer.record_error_response(now_ms(), pick.key),
            false => balancer.succeed(now_ms(), pick.key, elapsed_ms),
        }
    }

    /// Counts a send without a usable response against the endpoint. Returns `outcome`.
    pub(crate) fn record_endpoint_failure(
        &self,
        pick: &Pick,
        outgoing: &OutgoingRequest,
        outcome: Outcome,
        reason: &str,
    ) -> Outcome {
        self.balancer.borrow_mut().fail(now_ms(), pick.key);
        self.record_failed_send(pick, outgoing, outcome, reason);
        outcome
    }

    /// Logs a failed send and counts it in the metrics. Unlike `record_endpoint_failure`, it does
    /// not report it to the balancer: an endpoint that rejects a request has not failed.
    pub(crate) fn record_failed_send(
        &self,
        pick: &Pick,
        outgoing: &OutgoingRequest,
        outcome: Outcome,
        reason: &str,
    ) {
        self.metrics.endpoint_failed(outcome);
        log::info!(
            "event=send_failed request={} endpoint={} outcome={outcome:?} reason={reason:?}",
            outgoing.request_id,
            pick.id,
        );
    }

    /// Records the start of an endpoint's response: metrics, log, and the program's affinity to
    /// the endpoint. Failure responses are always logged, successes within the log budget.
    fn record_response(&self, admitted: &AdmittedCall, pick: &Pick, status: StatusCode) {
        let elapsed_ms = now_ms().saturating_sub(admitted.arrived_ms);
        let customer = admitted.outgoing.customer.as_deref().unwrap_or_default();
        self.metrics
            .record_response(&admitted.route.name, customer, elapsed_ms);
        if let Some(program) = &admitted.call.program {
            self.record_affinity(&program.id, &admitted.call.request_id, pick);
        }
        if status.is_success() && !self.response_log_budget.borrow_mut().take(now_ms()) {
            return;
        }
        log::info!(
            "event=answered request={} program={} customer={customer} route={} endpoint={} \
             remote={} chosen_by={:?} status={} configuration_version={} elapsed_ms={elapsed_ms}",
            admitted.call.request_id,
            admitted.program().unwrap_or("none"),
            admitted.route.name,
            pick.id,
            pick.is_remote,
            pick.reason,
            status.as_u16(),
            self.configuration().version,
        );
    }

    /// Records the duration of a stream that reached its end.
    fn record_stream_end(&self, admitted: &AdmittedCall) {
        let elapsed_ms = now_ms().saturating_sub(admitted.arrived_ms);
        self.metrics.record_stream(&admitted.route.name, elapsed_ms);
        self.record_duration(admitted, elapsed_ms);
    }

    /// Records how long a request took that has ended.
    fn record_duration(&self, admitted: &AdmittedCall, elapsed_ms: u64) {
        let mut durations = self.durations.borrow_mut();
        durations.record(&admitted.route.name, elapsed_ms);
    }

    /// All metrics in the Prometheus text format.
    fn metrics_text(&self) -> String {
        let turns = self.turns.borrow();
        let accounts = [&self.request_memory, &self.response_memory, turns.account()];
        for account in accounts {
            self.metrics.set_memory(account.usage());
        }
        self.metrics.set_cached_turns(turns.cached_bytes());
        self.metrics.text()
    }

    /// Logs how many successful responses were left out of the log since the last call.
    fn log_omitted_responses(&self) {
        let count = self.response_log_budget.borrow_mut().take_omitted();
        if count > 0 {
            log::info!("event=answered_summed count={count}");
        }
        let count = self.hedger.borrow_mut().take_omitted_lines();
        if count > 0 {
            log::info!("event=hedges_summed count={count}");
        }
    }

    /// Logs and counts a request that this instance refused. The log line contains the inputs of
    /// the decision: the version and age of the configuration, the customer's limits, and the
    /// version of the group with the time since a quorum last responded.
    fn log_refusal(&self, request: &RequestLogFields, refusal: &Refusal) {
        self.metrics.refused(refusal.reason);
        let now_ms = now_ms();
        let configuration = self.configuration();
        let customer = configuration.customers.get(&request.customer);
        let limit = customer.map(|customer| customer.limit);
        log::info!(
            "event=refused request={} program={} customer={} status={} reason={} ran={} \
             retry_after_ms={} limit_per_s={} limit_burst={} configuration_version={} \
             configuration_age_ms={} group_version={} group_silence_ms={} elapsed_ms={}",
            request.request_id,
            request.program,
            request.customer,
            refusal.status.as_u16(),
            refusal.reason,
            if refusal.guarantees_not_run() {
                "no"
            } else {
                "unknown"
            },
            OrNone(refusal.retry_after_ms),
            OrNone(limit.map(|limit| limit.rate_per_s)),
            OrNone(limit.map(|limit| limit.burst)),
            configuration.version,
            OrNone(self.freshness.borrow().age_ms(now_ms)),
            self.members.group().version,
            OrNone(self.members.contact().silence_ms(now_ms)),
            now_ms.saturating_sub(request.arrived_ms),
        );
    }
}

/// Identifies a request in log lines. An unknown program or customer is `none`.
struct RequestLogFields {
    request_id: String,
    program: String,
    customer: String,
    arrived_ms: u64,
}

/// Logs that the caller disconnected, unless `disarm` was called first.
///
/// When the caller's connection closes, hyper drops the future that handles the request, and
/// this value with it.
struct DisconnectLogger {
    request: RequestLogFields,
    /// The endpoint to which the request was last sent. Shared with `AdmittedCall`.
    endpoint: Rc<RefCell<Option<String>>>,
    is_disarmed: bool,
}

impl DisconnectLogger {
    /// Called when the response is ready to be sent.
    fn disarm(mut self) {
        self.is_disarmed = true;
    }
}

impl Drop for DisconnectLogger {
    fn drop(&mut self) {
        if self.is_disarmed {
            return;
        }
        log::info!(
            "event=caller_gone request={} program={} customer={} endpoint={} last_event=none \
             elapsed_ms={}",
            self.request.request_id,
            self.request.program,
            self.request.customer,
            OrNone(self.endpoint.borrow().as_deref()),
            now_ms().saturating_sub(self.request.arrived_ms),
        );
    }
}

impl RequestLogFields {
    fn new(edge: &Edge, call: &CallHead, arrived_ms: u64) -> RequestLogFields {
        let configuration = edge.configuration();
        let key = call.key.as_deref();
        let customer = key.and_then(|key| configuration.customer_of(key));
        let program = call.program.as_ref();
        RequestLogFields {
            request_id: call.request_id.clone(),
            program: program
                .map_or_else(|| "none".to_string(), |program| program.id.clone()),
            customer: customer
                .map_or_else(|| "none".to_string(), |(name, _)| name.to_string()),
            arrived_ms,
        }
    }
}
