//! The thread that owns the reducer.

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

use crate::clock::Clock;
use crate::engine_link::EngineLink;
use crate::logging::Value;
use crate::observe::Observer;
use crate::peer_link::PeerSender;
use crate::shell::calls::CallTable;
use crate::shell::dispatch::Dispatcher;
use crate::shell::forward::Forwarder;

/// Longest time between two ticks of the reducer.
const TICK_MS: u64 = 50;

/// An instance that has got no share by then, because the store is down, becomes ready all
/// the same: it can serve open routes and forward calls.
const SHARE_WAIT_LIMIT_MS: u64 = 15_000;

/// One input of the runner.
pub(crate) enum RunnerEvent {
    /// For the reducer.
    Reducer(Input),
    /// `GET /v1/models`.
    ListModels {
        /// The request.
        id: RequestId,
        /// Hash of the caller's key.
        key: Option<KeyHash>,
    },
    /// Asks for the state of the reducer.
    Status(Sender<StatusReport>),
    /// The last event.
    Stop,
}

/// The state of the reducer.
#[derive(Clone, Debug)]
pub(crate) struct StatusReport {
    /// The state of the fleet step.
    pub(crate) fleet: FleetStatus,
    /// Calls that have not ended.
    pub(crate) calls: usize,
    /// Whether a planned stop has given back and handed over everything.
    pub(crate) is_stopped: bool,
}

/// Where effects go.
pub(crate) struct Outlets {
    /// Calls to endpoints.
    pub(crate) dispatcher: Dispatcher,
    /// Calls to other instances.
    pub(crate) forwarder: Forwarder,
    /// Control of engines.
    pub(crate) engines: EngineLink,
    /// Messages to peers.
    pub(crate) peers: PeerSender,
    /// Reads and writes of the store.
    pub(crate) store: Sender<FleetEffect>,
    /// Metrics and logs of calls.
    pub(crate) observer: Arc<Observer>,
}

/// Owns the reducer and carries out its effects.
pub(crate) struct Runner {
    clock: Clock,
    reducer: Reducer,
    calls: Arc<CallTable>,
    outlets: Outlets,
    events: Receiver<RunnerEvent>,
    configuration: Option<Arc<Configuration>>,
    ready: Arc<AtomicBool>,
    /// When the first configuration came into force.
    configured_at_ms: Option<u64>,
    /// A planned stop has begun.
    draining: bool,
}

impl Runner {
    /// A runner that takes its input from `events`.
    pub(crate) fn new(
        clock: Clock,
        reducer: Reducer,
        calls: Arc<CallTable>,
        outlets: Outlets,
        events: Receiver<RunnerEvent>,
        ready: Arc<AtomicBool>,
    ) -> Runner {
        Runner {
            clock,
            reducer,
            calls,
            outlets,
            events,
            configuration: None,
            ready,
            configured_at_ms: None,
            draining: false,
        }
    }

    /// Runs until [`RunnerEvent::Stop`].
    pub(crate) fn run(mut self) {
        let mut next_tick_ms = 0;
        loop {
            let now_ms = self.clock.now_ms();
            if now_ms >= next_tick_ms {
                self.apply(Input::Schedule(Event::Tick));
                self.update_ready(now_ms);
                self.outlets
                    .observer
                    .set_open_calls(self.reducer.call_count());
                next_tick_ms = now_ms + TICK_MS;
            }
            let wait = Duration::from_millis(next_tick_ms.saturating_sub(now_ms));
            match self.events.recv_timeout(wait) {
                Ok(RunnerEvent::Reducer(input)) => self.apply(input),
                Ok(RunnerEvent::ListModels { id, key }) => self.list_models(id, key),
                Ok(RunnerEvent::Status(reply)) => self.report(&reply),
                Ok(RunnerEvent::Stop) | Err(RecvTimeoutError::Disconnected) => return,
                Err(RecvTimeoutError::Timeout) => {}
            }
        }
    }

    fn apply(&mut self, input: Input) {
        if let Input::Schedule(event) = &input {
            self.note(event);
        }
        for output in self.reducer.apply(self.clock.now_ms(), input) {
            match output {
                Output::Fleet(FleetEffect::Send { to, message }) => {
                    self.outlets.peers.send(&to, &message);
                }
                Output::Fleet(FleetEffect::ListTags { endpoint }) => {
                    self.outlets.engines.list_tags(endpoint);
                }
                Output::Fleet(FleetEffect::ReleaseTag {
                    endpoint,
                    cache_tag,
                }) => {
                    log::info!(
                        "event=orphan_released endpoint={endpoint} tag={cache_tag}"
                    );
                    self.outlets.engines.release(endpoint, cache_tag);
                }
                Output::Fleet(FleetEffect::SendOrder {
                    endpoint,
                    fencing,
                    order,
                }) => self.outlets.engines.order(endpoint, fencing, order),
                Output::Fleet(effect) => {
                    // The store's thread ends after this one.
                    let _ = self.outlets.store.send(effect);
                }
                Output::Schedule(effect) => self.carry_out(effect),
            }
        }
    }

    /// Becomes ready once and stays so; a planned stop is announced by the server.
    fn update_ready(&mut self, now_ms: u64) {
        if self.draining || self.ready.load(Ordering::SeqCst) {
            return;
        }
        let waited_ms = self
            .configured_at_ms
            .map(|at_ms| now_ms.saturating_sub(at_ms));
        let is_overdue = waited_ms.is_some_and(|ms| ms >= SHARE_WAIT_LIMIT_MS);
        if is_overdue || self.reducer.is_ready(now_ms) {
            log::info!("event=ready");
            self.ready.store(true, Ordering::SeqCst);
        }
    }

    fn note(&mut self, event: &Event) {
        match event {
            Event::ConfigurationChanged(configuration) => {
                self.configuration = Some(Arc::clone(configuration));
                let now_ms = self.clock.now_ms();
                self.configured_at_ms.get_or_insert(now_ms);
                self.outlets.observer.set_configuration(configuration);
                self.outlets.engines.set_configuration(configuration);
            }
            Event::DrainStarted => self.draining = true,
            Event::FirstToken { request_id } => {
                self.outlets.observer.first_token(*request_id);
            }
            Event::CallFinished { request_id, .. }
            | Event::CallFailed { request_id, .. } => {
                self.outlets.observer.ended(*request_id);
            }
            _ => {}
        }
    }

    fn carry_out(&mut self, effect: Effect) {
        match effect {
            Effect::Cancel { request_id } => self.calls.cancel(request_id),
            Effect::Dispatch(dispatch) => {
                self.outlets.observer.dispatched(&dispatch, &self.calls);
                self.outlets.dispatcher.start(dispatch);
            }
            Effect::DrainComplete => log::info!("event=drain_complete"),
            Effect::Forward { request_id, to } => {
                log::info!("event=forwarded request={request_id} to={to}");
                self.outlets.forwarder.start(request_id, to);
            }
            Effect::Probe { endpoint, address } => {
                self.outlets.engines.probe(endpoint, address);
            }
            Effect::ProgramEnded {
                customer,
                class,
                lasted_ms,
            } => self
                .outlets
                .observer
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
                self.outlets
                    .observer
                    .refused(request_id, &refusal, &self.calls);
                self.calls.refuse(request_id, &refusal);
            }
            Effect::ReleaseCache {
                endpoint,
                cache_tag,
            } => {
                self.outlets.engines.release(endpoint, cache_tag);
            }
            Effect::Reply { request_id, reply } => self.reply(request_id, reply),
            _ => log::error!("event=unknown_effect"),
        }
    }

    fn reply(&self, id: RequestId, reply: Reply) {
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

    fn report(&self, reply: &Sender<StatusReport>) {
        let now_ms = self.clock.now_ms();
        // Whoever asked may have stopped waiting.
        let _ = reply.send(StatusReport {
            fleet: self.reducer.status(now_ms),
            calls: self.reducer.call_count(),
            is_stopped: self.reducer.is_stopped(now_ms),
        });
    }

    fn list_models(&self, id: RequestId, key: Option<KeyHash>) {
        let Some(configuration) = &self.configuration else {
            let refusal =
                Refusal::not_run(RefusalReason::NotReady, "no configuration yet");
            return self.calls.refuse(id, &refusal);
        };
        let known = key
            .and_then(|hash| configuration.keys.get(&hash))
            .is_some_and(|key| !key.withdrawn);
        if !known {
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
