//! The thread that owns the reducer, feeds it events and performs its effects.
//!
//! Effects that involve the store, a peer or an endpoint are handed to other threads, so that
//! a slow one of them does not delay the decisions about other calls.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use crossbeam::channel::{Receiver, RecvTimeoutError, Sender};
use jayreel_fleet::{FleetEffect, FleetStatus, Input, Output, Reducer};
use jayreel_model::{
    Configuration, EndpointState, KeyHash, Refusal, RefusalReason, RequestId,
};
use jayreel_scheduler::effect::Reply;
use jayreel_scheduler::{Effect, Event};
use serde_json::json;

use crate::call_metrics::CallMetrics;
use crate::clock::Clock;
use crate::engine_link::EngineLink;
use crate::logging::Value;
use crate::peer_link::PeerSender;
use crate::shell::calls::CallTable;
use crate::shell::dispatch::Dispatcher;
use crate::shell::forward::Forwarder;

/// Interval of the reducer's ticks, which drive its timeouts.
const TICK_MS: u64 = 50;

/// Time after the first configuration at which an instance becomes ready even if it has no
/// share of the customers' rates, because the store is down. Without a share it can still
/// serve open routes and forward calls.
const MAX_RATE_SHARE_WAIT_MS: u64 = 15_000;

/// An event for the runner thread, sent by the other threads of the instance.
pub(crate) enum RunnerEvent {
    /// An input that is passed to the reducer unchanged.
    Reducer(Input),
    /// `GET /v1/models`, to which the runner responds from the configuration.
    ListModels {
        /// The request.
        id: RequestId,
        /// Hash of the caller's key.
        key: Option<KeyHash>,
    },
    /// Requests the state of the reducer, which is sent over the channel.
    Status(Sender<StatusReport>),
    /// Ends the thread.
    Stop,
}

/// State of the reducer, for the status of the administration API and for a planned stop.
#[derive(Clone, Debug)]
pub(crate) struct StatusReport {
    /// State of membership, program ownership and quota.
    pub(crate) fleet: FleetStatus,
    /// Number of calls that have not ended.
    pub(crate) calls: usize,
    /// Whether a planned stop has handed over all programs and returned all quota.
    pub(crate) is_stopped: bool,
}

/// The components that perform the reducer's effects.
pub(crate) struct EffectHandlers {
    /// Sends calls to endpoints.
    pub(crate) dispatcher: Dispatcher,
    /// Forwards calls to other instances.
    pub(crate) forwarder: Forwarder,
    /// Sends probes, cache releases and orders to endpoints.
    pub(crate) engines: EngineLink,
    /// Sends messages to peers.
    pub(crate) peers: PeerSender,
    /// Queue of the thread that writes to the store.
    pub(crate) store: Sender<FleetEffect>,
    /// Records the metrics of calls.
    pub(crate) metrics: Arc<CallMetrics>,
}

/// Owns the reducer and performs its effects.
pub(crate) struct Runner {
    clock: Clock,
    reducer: Reducer,
    calls: Arc<CallTable>,
    handlers: EffectHandlers,
    events: Receiver<RunnerEvent>,
    configuration: Option<Arc<Configuration>>,
    ready: Arc<AtomicBool>,
    /// When the first configuration was applied. `None` before that.
    configured_at_ms: Option<u64>,
    /// Whether a planned stop has begun.
    draining: bool,
}

impl Runner {
    /// A runner that receives its input from `events` and sets `ready` once the instance can
    /// serve callers.
    pub(crate) fn new(
        clock: Clock,
        reducer: Reducer,
        calls: Arc<CallTable>,
        handlers: EffectHandlers,
        events: Receiver<RunnerEvent>,
        ready: Arc<AtomicBool>,
    ) -> Runner {
        Runner {
            clock,
            reducer,
            calls,
            handlers,
            events,
            configuration: None,
            ready,
            configured_at_ms: None,
            draining: false,
        }
    }

    /// Runs until [`RunnerEvent::Stop`] or until all senders of events are dropped.
    pub(crate) fn run(mut self) {
        let mut next_tick_ms = 0;
        loop {
            let now_ms = self.clock.now_ms();
            if now_ms >= next_tick_ms {
                self.apply(Input::Schedule(Event::Tick));
                self.update_ready(now_ms);
                self.handlers
                    .metrics
                    .set_open_calls(self.reducer.call_count());
                next_tick_ms = now_ms + TICK_MS;
            }
            let wait = Duration::from_millis(next_tick_ms.saturating_sub(now_ms));
            match self.events.recv_timeout(wait) {
                Ok(RunnerEvent::Reducer(input)) => self.apply(input),
                Ok(RunnerEvent::ListModels { id, key }) => self.list_models(id, key),
                Ok(RunnerEvent::Status(reply)) => self.report_status(&reply),
                Ok(RunnerEvent::Stop) | Err(RecvTimeoutError::Disconnected) => return,
                Err(RecvTimeoutError::Timeout) => {}
            }
        }
    }

    fn apply(&mut self, input: Input) {
        if let Input::Schedule(event) = &input {
            self.observe(event);
        }
        for output in self.reducer.apply(self.clock.now_ms(), input) {
            match output {
                Output::Fleet(FleetEffect::Send { to, message }) => {
                    self.handlers.peers.send(&to, &message);
                }
                Output::Fleet(FleetEffect::ListCacheTags { endpoint }) => {
                    self.handlers.engines.list_tags(endpoint);
                }
                Output::Fleet(FleetEffect::ReleaseCacheTag {
                    endpoint,
                    cache_tag,
                }) => {
                    log::info!(
                        "event=orphan_released endpoint={endpoint} tag={cache_tag}"
                    );
                    self.handlers.engines.release(endpoint, cache_tag);
                }
                Output::Fleet(FleetEffect::SendOrder {
                    endpoint,
                    fencing,
                    order,
                }) => self.handlers.engines.order(endpoint, fencing, order),
                Output::Fleet(effect) => {
                    // The store writer ends after this thread.
                    let _ = self.handlers.store.send(effect);
                }
                Output::Schedule(effect) => self.perform(effect),
            }
        }
    }

    /// Sets `ready` once the reducer is ready, or after [`MAX_RATE_SHARE_WAIT_MS`]. Never
    /// clears it: [`Instance::close`](crate::instance::Instance::close) does that when a
    /// planned stop begins.
    fn update_ready(&mut self, now_ms: u64) {
        if self.draining || self.ready.load(Ordering::SeqCst) {
            return;
        }
        let waited_ms = self
            .configured_at_ms
            .map(|at_ms| now_ms.saturating_sub(at_ms));
        let is_overdue = waited_ms.is_some_and(|ms| ms >= MAX_RATE_SHARE_WAIT_MS);
        if is_overdue || self.reducer.is_ready(now_ms) {
            log::info!("event=ready");
            self.ready.store(true, Ordering::SeqCst);
        }
    }

    /// Updates the runner's own state and the metrics for an event that the reducer handles
    /// next.
    fn observe(&mut self, event: &Event) {
        match event {
            Event::ConfigurationChanged(configuration) => {
                self.configuration = Some(Arc::clone(configuration));
                let now_ms = self.clock.now_ms();
                self.configured_at_ms.get_or_insert(now_ms);
                self.handlers.metrics.set_configuration(configuration);
                self.handlers.engines.set_configuration(configuration);
            }
            Event::DrainStarted => self.draining = true,
            Event::FirstToken { request_id } => {
                self.handlers.metrics.first_token(*request_id);
            }
            Event::CallFinished { request_id, .. }
            | Event::CallFailed { request_id, .. } => {
                self.handlers.metrics.ended(*request_id);
            }
            _ => {}
        }
    }

    fn perform(&mut self, effect: Effect) {
        match effect {
            Effect::Cancel { request_id } => self.calls.cancel(request_id),
            Effect::Dispatch(dispatch) => {
                self.handlers.metrics.dispatched(&dispatch, &self.calls);
                self.handlers.dispatcher.start(dispatch);
            }
            Effect::DrainComplete => log::info!("event=drain_complete"),
            Effect::Forward { request_id, to } => {
                log::info!("event=forwarded request={request_id} to={to}");
                self.handlers.forwarder.start(request_id, to);
            }
            Effect::Probe { endpoint, address } => {
                self.handlers.engines.probe(endpoint, address);
            }
            Effect::ProgramEnded {
                customer,
                class,
                lasted_ms,
            } => self
                .handlers
                .metrics
                .program_ended(&customer, class, lasted_ms),
            Effect::Refuse {
                request_id,
                refusal,
            } => {
                log::info!(
                    "event=refused request={request_id} reason={} ran={:?} message={}",
                    refusal.reason.code(),
                    refusal.ran,
                    Value(&refusal.message)
                );
                self.handlers
                    .metrics
                    .refused(request_id, &refusal, &self.calls);
                self.calls.refuse(request_id, &refusal);
            }
            Effect::ReleaseCache {
                endpoint,
                cache_tag,
            } => {
                self.handlers.engines.release(endpoint, cache_tag);
            }
            Effect::Reply { request_id, reply } => self.send_reply(request_id, reply),
            _ => log::error!("event=unknown_effect"),
        }
    }

    /// Responds to a request to open or close a program.
    fn send_reply(&self, id: RequestId, reply: Reply) {
        let (status, body) = match reply {
            Reply::ProgramOpened {
                token,
                epoch,
                budget_tokens,
            } => {
                let body = json!({
                    "id": token,
                    "object": "program",
                    "epoch": epoch,
                    "budget_tokens": budget_tokens,
                });
                (201, body)
            }
            Reply::ProgramClosed => (200, json!({ "object": "program", "closed": true })),
        };
        self.calls
            .reply(id, status, &json_headers(), body.to_string().as_bytes());
    }

    fn report_status(&self, reply: &Sender<StatusReport>) {
        let now_ms = self.clock.now_ms();
        // Fails if the requester's timeout has passed.
        let _ = reply.send(StatusReport {
            fleet: self.reducer.status(now_ms),
            calls: self.reducer.call_count(),
            is_stopped: self.reducer.is_stopped(now_ms),
        });
    }

    /// Responds with the models and adapters of all active endpoints.
    fn list_models(&self, id: RequestId, key: Option<KeyHash>) {
        let Some(configuration) = &self.configuration else {
            let refusal =
                Refusal::not_run(RefusalReason::NotReady, "no configuration yet");
            return self.calls.refuse(id, &refusal);
        };
        let is_valid = key
            .and_then(|hash| configuration.keys.get(&hash))
            .is_some_and(|key| !key.withdrawn);
        if !is_valid {
            let refusal =
                Refusal::not_run(RefusalReason::InvalidKey, "the key is not valid");
            return self.calls.refuse(id, &refusal);
        }
        let models: BTreeSet<&String> = configuration
            .endpoints
            .values()
            .filter(|endpoint| endpoint.state == EndpointState::Active)
            .flat_map(|endpoint| endpoint.models.iter().chain(endpoint.adapters.keys()))
            .collect();
        let data: Vec<_> = models
            .into_iter()
            .map(|model| json!({ "id": model, "object": "model", "owned_by": "jayreel" }))
            .collect();
        let body = json!({ "object": "list", "data": data }).to_string();
        self.calls.reply(id, 200, &json_headers(), body.as_bytes());
    }
}

fn json_headers() -> [(String, String); 1] {
    [("content-type".to_string(), "application/json".to_string())]
}
