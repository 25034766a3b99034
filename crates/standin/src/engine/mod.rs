//! A stand-in for a model engine: chat completions with continuous batching, a prefix
//! cache, load reports, and orders with fencing numbers.
//!
//! It computes nothing: each call occupies a slot for the time that [`EngineSettings`]
//! gives for its prompt and its generated tokens, and its text is made up.

mod batch;
mod cache;
mod chat;
mod models;
mod orders;

use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, OnceLock, PoisonError};

use hyper::{Method, StatusCode};
use serde_json::{Value, json};

use crate::engine::batch::Batch;
use crate::engine::cache::PrefixCache;
use crate::engine::models::Models;
use crate::engine::orders::Orders;
use crate::faults::{FaultControls, Faults};
use crate::http::{HttpRequest, HttpResponse};
use crate::record::{Recorder, Runs};
use crate::server::{Handler, HttpServer, ResponseFuture};
use crate::service::RUNS_PATH;

/// Request header with the cache tag of a call. The blocks that the call stores in the
/// prefix cache carry the tag, and `DELETE /cache/TAG` releases them.
pub const CACHE_TAG_HEADER: &str = "jayreel-cache-tag";

/// Settings of an [`Engine`]. With the default, a call with a short prompt takes a few
/// milliseconds.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct EngineSettings {
    /// The served models, or with `reports_models` those that are loaded from the start.
    /// Empty means that any name is accepted, unless `reports_models` is set.
    pub models: Vec<String>,
    /// Number of calls that run at the same time, at least 1. Others wait.
    pub slots: usize,
    /// Time for each prompt token that is not in the prefix cache, in microseconds.
    pub prefill_us_per_token: u64,
    /// Time for each generated token, in microseconds.
    pub token_us: u64,
    /// Time added to `token_us` for each other running call, in microseconds.
    pub batch_slowdown_us: u64,
    /// Capacity of the prefix cache, in tokens.
    pub cache_tokens: u64,
    /// Number of tokens after which a response ends by itself. It ends earlier if
    /// `max_tokens` of the request is lower. A request with `ignore_eos` gets exactly
    /// `max_tokens`, if it has any.
    pub answer_tokens: u64,
    /// Number of prompt tokens that the chat template adds for each message.
    pub template_tokens: u64,
    /// Whether orders with a fencing number lower than the highest seen are rejected.
    pub checks_fencing: bool,
    /// Whether the engine reports its models at `GET /models` and loads others by order. It
    /// then accepts only calls for models and adapters that are completely loaded.
    pub reports_models: bool,
    /// Time that loading a model or an adapter by order takes, in milliseconds.
    pub load_ms: u64,
}

impl Default for EngineSettings {
    fn default() -> EngineSettings {
        EngineSettings {
            models: Vec::new(),
            slots: 64,
            prefill_us_per_token: 1,
            token_us: 100,
            batch_slowdown_us: 0,
            cache_tokens: 1_000_000,
            answer_tokens: 16,
            template_tokens: 0,
            checks_fencing: true,
            reports_models: false,
            load_ms: 0,
        }
    }
}

/// A running engine. Its methods show the state without the faults that distort the
/// reports over HTTP.
pub struct Engine {
    server: HttpServer,
    state: Arc<EngineState>,
}

impl Engine {
    /// Binds `address` (port 0: chosen by the system) and serves until closed.
    ///
    /// # Errors
    ///
    /// Any error of binding the address or starting the thread.
    pub fn start(address: SocketAddr, settings: EngineSettings) -> io::Result<Engine> {
        let state = Arc::new(EngineState {
            batch: Batch::new(settings.slots),
            cache: Mutex::new(PrefixCache::new(settings.cache_tokens)),
            orders: Mutex::new(Orders::new(
                settings.checks_fencing,
                Models::new(&settings.models, settings.load_ms),
            )),
            recorder: Recorder::default(),
            faults: OnceLock::new(),
            settings,
        });
        let handler = Arc::new(EngineHandler(Arc::clone(&state)));
        let server = HttpServer::start(address, handler)?;
        let _ = state.faults.set(Arc::clone(server.faults()));
        Ok(Engine { server, state })
    }

    /// The bound address, with the port that the system chose.
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Sets the faults that this server injects.
    pub fn faults(&self) -> &Arc<FaultControls> {
        self.server.faults()
    }

    /// The completion calls handled so far, also those that were cancelled.
    pub fn runs(&self) -> Runs {
        self.state.recorder.runs()
    }

    /// Number of running and of waiting calls now, without the lag of `GET /load`.
    pub fn load(&self) -> (usize, usize) {
        self.state.batch.load(0)
    }

    /// The tags of all cached blocks, sorted.
    pub fn cache_tags(&self) -> Vec<String> {
        self.state
            .with_cache(|cache| cache.tags().into_keys().collect())
    }

    /// The report of `GET /models`, whether or not the engine serves that path.
    pub fn models(&self) -> Value {
        self.state.with_orders(|orders| orders.models())
    }

    /// Fencing numbers and contents of the accepted orders, in the order of their arrival.
    pub fn orders(&self) -> Vec<(u64, Value)> {
        self.state.with_orders(|orders| orders.applied())
    }

    /// Closes all connections and waits for the server thread to end.
    pub fn close(self) {
        self.server.close();
    }
}

struct EngineState {
    settings: EngineSettings,
    batch: Batch,
    cache: Mutex<PrefixCache>,
    orders: Mutex<Orders>,
    recorder: Recorder,
    /// Set once the server, which creates the controls, has started.
    faults: OnceLock<Arc<FaultControls>>,
}

impl EngineState {
    fn with_cache<T>(&self, action: impl FnOnce(&mut PrefixCache) -> T) -> T {
        let mut cache = self.cache.lock().unwrap_or_else(PoisonError::into_inner);
        action(&mut cache)
    }

    /// The current faults. None until the server has started.
    fn faults(&self) -> Faults {
        self.faults
            .get()
            .map(|faults| faults.get())
            .unwrap_or_default()
    }

    /// The response to `GET /load`.
    fn load(&self) -> HttpResponse {
        let (running, waiting) = self.batch.load(self.faults().load_lag_ms);
        let load = json!({ "running": running, "waiting": waiting,
            "slots": self.settings.slots });
        HttpResponse::json(StatusCode::OK, &load)
    }

    /// The response to `GET /cache`.
    fn cache(&self) -> HttpResponse {
        let value = self.with_cache(|cache| {
            json!({ "tags": cache.tags(), "used_tokens": cache.used_tokens(),
                "capacity_tokens": self.settings.cache_tokens })
        });
        HttpResponse::json(StatusCode::OK, &value)
    }

    /// The response to `DELETE /cache/TAG`.
    fn release(&self, tag: &str) -> HttpResponse {
        let released = self.with_cache(|cache| cache.release(tag));
        HttpResponse::json(StatusCode::OK, &json!({ "released_tokens": released }))
    }

    /// The response to `GET /cache/events?from=N`. Without a valid `from`, it has all events.
    fn cache_events(&self, query: &str) -> HttpResponse {
        let from = query
            .strip_prefix("from=")
            .and_then(|text| text.parse().ok())
            .unwrap_or(0);
        let faults = self.faults();
        let events = self.with_cache(|cache| {
            cache.events(from, faults.cache_event_lag_ms, faults.cache_event_gap)
        });
        HttpResponse::json(StatusCode::OK, &json!({ "events": events }))
    }

    /// The response to `POST /orders`, or to a read of `/orders` with any other method.
    fn orders(&self, request: &HttpRequest) -> HttpResponse {
        self.with_orders(|orders| match request.method {
            Method::POST => orders.submit(&request.body),
            _ => orders.list(),
        })
    }

    fn with_orders<T>(&self, action: impl FnOnce(&mut Orders) -> T) -> T {
        let mut orders = self.orders.lock().unwrap_or_else(PoisonError::into_inner);
        action(&mut orders)
    }

    /// The response to `GET /models`.
    fn models(&self) -> HttpResponse {
        match self.settings.reports_models {
            true => {
                let report = self.with_orders(|orders| orders.models());
                HttpResponse::json(StatusCode::OK, &report)
            }
            false => HttpResponse::error(StatusCode::NOT_FOUND, "not found"),
        }
    }

    /// Whether calls for `model` are accepted.
    fn serves(&self, model: &str) -> bool {
        let models = &self.settings.models;
        match self.settings.reports_models {
            true => self.with_orders(|orders| orders.is_loaded(model)),
            false => models.is_empty() || models.iter().any(|name| name == model),
        }
    }
}

struct EngineHandler(Arc<EngineState>);

impl Handler for EngineHandler {
    fn handle(&self, request: HttpRequest) -> ResponseFuture<'_> {
        Box::pin(route(&self.0, request))
    }
}

async fn route(state: &Arc<EngineState>, request: HttpRequest) -> HttpResponse {
    let tag = request.path.strip_prefix("/cache/").map(str::to_string);
    match (&request.method, request.path.as_str()) {
        (&Method::POST, "/v1/chat/completions") => {
            chat::handle_completion(state, request).await
        }
        (&Method::GET, "/v1/models") => chat::list_models(state),
        (&Method::GET, "/load") => state.load(),
        (&Method::GET, "/models") => state.models(),
        (&Method::GET, "/cache") => state.cache(),
        (&Method::GET, "/cache/events") => state.cache_events(&request.query),
        (&Method::DELETE, _) if tag.is_some() => state.release(&tag.unwrap_or_default()),
        (_, "/orders") => state.orders(&request),
        (_, RUNS_PATH) => HttpResponse::json(StatusCode::OK, &state.recorder.runs()),
        _ => HttpResponse::error(StatusCode::NOT_FOUND, "not found"),
    }
}
