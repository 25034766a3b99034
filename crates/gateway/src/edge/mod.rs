//! An entry instance: takes callers' requests and sends each to an endpoint.

mod admission;
mod body;
mod call;
mod exchange;
pub(crate) mod listen;
mod members;
mod pool;
mod quota;
mod refusal;
mod stream;
mod sync;
mod turn_cache;

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::fmt;
use std::rc::Rc;

use hyper::StatusCode;

use crate::backoff::Backoff;
use crate::balance::{Balancer, Pick};
use crate::clock::now_ms;
use crate::config::Configuration;
use crate::directory::MetadataStore;
use crate::edge::call::Admitted;
use crate::edge::exchange::Outgoing;
use crate::edge::pool::Pool;
use crate::edge::refusal::Refusal;
use crate::edge::turn_cache::TurnCache;
use crate::freshness::Freshness;
use crate::link::LinkPool;
use crate::log_queue::LineBudget;
use crate::metrics::Metrics;
use crate::protocol::{CallHead, CallProtocol};
use crate::quota_buffer::QuotaBuffer;
use crate::retry::Outcome;
use crate::settings::NodeSettings;

pub use listen::run;
pub use members::{ChainLookup, Members, NoQuorum};

/// Programs whose last endpoint is remembered. A program lasts a few seconds.
const MOST_AFFINITIES: usize = 4_096;

/// A configuration that was proven the newest within this part of the time in which changes
/// must be in force may be used to tell callers that something does not exist.
const RECENT_PART: f64 = 0.9;

/// All state of an entry instance.
pub(crate) struct Edge {
    pub settings: NodeSettings,
    pub protocol: Box<dyn CallProtocol>,
    pub store: Box<dyn MetadataStore>,
    configuration: RefCell<Rc<Configuration>>,
    /// Store revision of the configuration. 0 before the first one.
    configuration_revision: Cell<u64>,
    pub freshness: RefCell<Freshness>,
    pub balancer: RefCell<Balancer>,
    pub pool: RefCell<Pool>,
    pub members: Rc<Members>,
    /// When the store may be called again after it failed.
    store_backoff: RefCell<Backoff>,
    quota: RefCell<QuotaBuffer>,
    /// Customers that no member has tokens for, until this time.
    over_rate_until_ms: RefCell<HashMap<String, u64>>,
    pub turns: RefCell<TurnCache>,
    /// The endpoint that ran a program's last turn.
    pub affinity: RefCell<HashMap<String, String>>,
    has_endpoints: Cell<bool>,
    /// Most entry instances of the zone are cut off, so callers are better served elsewhere.
    is_zone_mostly_away: Cell<bool>,
    is_stopping: Cell<bool>,
    answer_log: RefCell<LineBudget>,
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
        Edge {
            settings,
            protocol,
            store,
            configuration: RefCell::default(),
            configuration_revision: Cell::new(0),
            freshness: RefCell::default(),
            balancer: RefCell::new(Balancer::new(&zone)),
            pool: RefCell::default(),
            members: Rc::new(Members::new(&zone, Box::<LinkPool>::default())),
            store_backoff: RefCell::default(),
            quota: RefCell::default(),
            over_rate_until_ms: RefCell::default(),
            turns: RefCell::default(),
            affinity: RefCell::default(),
            has_endpoints: Cell::new(false),
            is_zone_mostly_away: Cell::new(false),
            is_stopping: Cell::new(false),
            answer_log: RefCell::default(),
            metrics: Metrics::new(),
        }
    }

    pub(crate) fn configuration(&self) -> Rc<Configuration> {
        Rc::clone(&self.configuration.borrow())
    }

    /// Whether the configuration is so new that what it does not name does not exist.
    pub(crate) fn is_configuration_recent(&self) -> bool {
        let bound_ms = self.settings.bounds.configuration_ms as f64 * RECENT_PART;
        let age_ms = self.freshness.borrow().age_ms(now_ms());
        age_ms.is_some_and(|age_ms| (age_ms as f64) < bound_ms)
    }

    /// Whether callers should be sent here.
    fn is_ready(&self) -> bool {
        let revocation_ms = self.settings.bounds.revocation_ms;
        !self.is_stopping.get()
            && self.has_endpoints.get()
            && !self.is_zone_mostly_away.get()
            && self.configuration_revision.get() > 0
            && self.members.contact().is_ready(now_ms())
            && self.freshness.borrow().admits(now_ms(), revocation_ms)
    }

    /// An endpoint began to answer `elapsed_ms` after the request was sent.
    pub(crate) fn endpoint_answered(
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

    /// An endpoint gave no usable answer.
    pub(crate) fn endpoint_failed(
        &self,
        pick: &Pick,
        outgoing: &Outgoing,
        outcome: Outcome,
        reason: &str,
    ) -> Outcome {
        self.balancer.borrow_mut().fail(now_ms(), pick.key);
        self.note_outcome(pick, outgoing, outcome, reason);
        outcome
    }

    pub(crate) fn note_outcome(
        &self,
        pick: &Pick,
        outgoing: &Outgoing,
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

    /// An endpoint began to answer.
    fn note_answer(&self, admitted: &Admitted, pick: &Pick, status: StatusCode) {
        let elapsed_ms = now_ms().saturating_sub(admitted.arrived_ms);
        let customer = admitted.outgoing.customer.as_deref().unwrap_or_default();
        self.metrics
            .answered(&admitted.route.name, customer, elapsed_ms);
        if let Some(program) = &admitted.call.program {
            let mut affinity = self.affinity.borrow_mut();
            if affinity.len() >= MOST_AFFINITIES {
                affinity.clear();
            }
            affinity.insert(program.id.clone(), pick.id.clone());
        }
        if status.is_success() && !self.answer_log.borrow_mut().take(now_ms()) {
            return;
        }
        log::info!(
            "event=answered request={} program={} customer={customer} route={} endpoint={} \
             remote={} status={} configuration_version={} elapsed_ms={elapsed_ms}",
            admitted.call.request_id,
            admitted.program().unwrap_or("none"),
            admitted.route.name,
            pick.id,
            pick.is_remote,
            status.as_u16(),
            self.configuration().version,
        );
    }

    fn note_complete(&self, admitted: &Admitted) {
        let elapsed_ms = now_ms().saturating_sub(admitted.arrived_ms);
        self.metrics.streamed(&admitted.route.name, elapsed_ms);
    }

    /// Says how many answers were left out of the log since the last time.
    fn sum_up_log(&self) {
        let count = self.answer_log.borrow_mut().take_omitted();
        if count > 0 {
            log::info!("event=answered_summed count={count}");
        }
    }

    /// The request gets an answer of this instance. The line holds what such decisions rest
    /// on: versions and ages of the configuration and of the contact with the group.
    fn note_refusal(&self, about: &CallSummary, refusal: &Refusal) {
        self.metrics.refused(refusal.reason);
        let now_ms = now_ms();
        let configuration = self.configuration();
        let customer = configuration.customers.get(&about.customer);
        let limit = customer.map(|customer| customer.limit);
        log::info!(
            "event=refused request={} program={} customer={} status={} reason={} ran={} \
             retry_after_ms={} limit_per_s={} limit_burst={} configuration_version={} \
             configuration_age_ms={} group_version={} group_silence_ms={} elapsed_ms={}",
            about.request_id,
            about.program,
            about.customer,
            refusal.status.as_u16(),
            refusal.reason,
            if refusal.is_promise() {
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
            now_ms.saturating_sub(about.arrived_ms),
        );
    }
}

/// A value in a log line, or `none`.
struct OrNone<T>(Option<T>);

impl<T: fmt::Display> fmt::Display for OrNone<T> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match &self.0 {
            Some(value) => write!(f, "{value}"),
            None => f.write_str("none"),
        }
    }
}

/// What log lines tell of a request.
struct CallSummary {
    request_id: String,
    program: String,
    customer: String,
    arrived_ms: u64,
}

/// Logs that the caller left, if it is dropped before the answer has begun.
struct Unanswered {
    about: CallSummary,
    /// The endpoint that it was sent to last.
    endpoint: Rc<RefCell<Option<String>>>,
    is_answered: bool,
}

impl Unanswered {
    /// The answer begins.
    fn close(mut self) {
        self.is_answered = true;
    }
}

impl Drop for Unanswered {
    fn drop(&mut self) {
        if self.is_answered {
            return;
        }
        log::info!(
            "event=caller_gone request={} program={} customer={} endpoint={} last_event=none \
             elapsed_ms={}",
            self.about.request_id,
            self.about.program,
            self.about.customer,
            OrNone(self.endpoint.borrow().as_deref()),
            now_ms().saturating_sub(self.about.arrived_ms),
        );
    }
}

impl CallSummary {
    fn new(edge: &Edge, call: &CallHead, arrived_ms: u64) -> CallSummary {
        let configuration = edge.configuration();
        let key = call.key.as_deref();
        let customer = key.and_then(|key| configuration.customer_of(key));
        let program = call.program.as_ref();
        CallSummary {
            request_id: call.request_id.clone(),
            program: program
                .map_or_else(|| "none".to_string(), |program| program.id.clone()),
            customer: customer
                .map_or_else(|| "none".to_string(), |(name, _)| name.to_string()),
            arrived_ms,
        }
    }
}
