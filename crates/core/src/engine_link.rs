//! Requests to endpoints that do not come from callers.
//!
//! Polls engines for their load and models, and performs the reducer's effects: probes,
//! orders to load or unload models, and listing and release of cache tags. All of it runs
//! on separate threads and reports to the reducer as events, so that a slow endpoint does not
//! delay calls.

mod poller;

use std::net::{SocketAddr, TcpStream};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread;
use std::time::Duration;

use crossbeam::channel::{Receiver, Sender, bounded};
use eyre::WrapErr;
use jayreel_endpoint::{EngineControl, OrderOutcome};
use jayreel_fleet::{FleetEvent, Input, OrderAnswer};
use jayreel_model::{Configuration, EngineOrder};
use jayreel_scheduler::Event;

use crate::clock::Clock;
use crate::engine_link::poller::EnginePoller;
use crate::logging::Value;
use crate::shell::RunnerEvent;

/// Number of threads that perform the reducer's effects.
const WORKER_THREADS: usize = 4;

/// Length of the queue of tasks. Tasks beyond it are dropped, which is safe because the
/// reducer repeats them.
const MAX_QUEUED_TASKS: usize = 1_000;

/// Connect timeout of a probe.
const PROBE_TIMEOUT_MS: u64 = 1_000;

/// An effect of the reducer, with the address of the endpoint that it concerns.
enum Task {
    ListCacheTags {
        endpoint: String,
        address: String,
    },
    Order {
        endpoint: String,
        address: String,
        fencing: u64,
        order: EngineOrder,
    },
    Probe {
        endpoint: String,
        address: String,
    },
    ReleaseCache {
        endpoint: String,
        address: String,
        cache_tag: String,
    },
}

/// Handle of the threads that send requests to endpoints. Its methods queue a task and
/// return at once.
#[derive(Clone)]
pub(crate) struct EngineLink {
    tasks: Sender<Task>,
    /// The configuration in force, for the addresses of endpoints.
    configuration: Arc<Mutex<Option<Arc<Configuration>>>>,
}

impl EngineLink {
    /// Starts the threads. The workers end when all clones are dropped, and the polling, which
    /// is done every `load_interval_ms`, ends when the sender of `stop` is dropped.
    ///
    /// # Errors
    ///
    /// If a thread cannot be started.
    pub(crate) fn start(
        clock: Clock,
        control: Arc<dyn EngineControl>,
        load_interval_ms: u64,
        events: Sender<RunnerEvent>,
        stop: Receiver<()>,
    ) -> eyre::Result<EngineLink> {
        let (tasks, queued_tasks) = bounded(MAX_QUEUED_TASKS);
        let configuration = Arc::new(Mutex::new(None));
        for _ in 0..WORKER_THREADS {
            let worker = Worker {
                control: Arc::clone(&control),
                events: events.clone(),
                tasks: queued_tasks.clone(),
            };
            thread::Builder::new()
                .name("engine-control".to_string())
                .spawn(move || worker.run())
                .wrap_err("cannot start an engine control thread")?;
        }
        let poller =
            EnginePoller::start(clock, control, events, Arc::clone(&configuration))?;
        let interval = Duration::from_millis(load_interval_ms);
        thread::Builder::new()
            .name("engine-load".to_string())
            .spawn(move || poller.run(interval, &stop))
            .wrap_err("cannot start the engine polling thread")?;
        Ok(EngineLink {
            tasks,
            configuration,
        })
    }

    /// Replaces the configuration, whose endpoints are polled from now on.
    pub(crate) fn set_configuration(&self, configuration: &Arc<Configuration>) {
        let mut current = self
            .configuration
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        *current = Some(Arc::clone(configuration));
    }

    /// Checks whether an endpoint accepts connections. Reported as `ProbeFinished`.
    pub(crate) fn probe(&self, endpoint: String, address: String) {
        let _ = self.tasks.try_send(Task::Probe { endpoint, address });
    }

    /// Requests the cache tags that an engine holds. Reported as an event only on success.
    pub(crate) fn list_tags(&self, endpoint: String) {
        if let Some(address) = self.address(&endpoint) {
            let _ = self
                .tasks
                .try_send(Task::ListCacheTags { endpoint, address });
        }
    }

    /// Requests that an engine drop the cache of a program. Reported as `CacheReleased`.
    pub(crate) fn release(&self, endpoint: String, cache_tag: String) {
        if let Some(address) = self.address(&endpoint) {
            let task = Task::ReleaseCache {
                endpoint,
                address,
                cache_tag,
            };
            let _ = self.tasks.try_send(task);
        }
    }

    /// Sends an order to an engine. Reported as `OrderAnswered`, unless the queue is full or
    /// the endpoint is not configured; the reducer gives up an order without a response
    /// after some time. An engine that checks fencing numbers rejects an order whose
    /// `fencing` is lower than that of an earlier one.
    pub(crate) fn order(&self, endpoint: String, fencing: u64, order: EngineOrder) {
        if let Some(address) = self.address(&endpoint) {
            let task = Task::Order {
                endpoint,
                address,
                fencing,
                order,
            };
            let _ = self.tasks.try_send(task);
        }
    }

    /// `None` if the endpoint is not in the configuration.
    fn address(&self, endpoint: &str) -> Option<String> {
        let current = self
            .configuration
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        let record = current.as_ref()?.endpoints.get(endpoint)?;
        Some(record.address.clone())
    }
}

/// One of the threads that perform tasks.
struct Worker {
    control: Arc<dyn EngineControl>,
    events: Sender<RunnerEvent>,
    tasks: Receiver<Task>,
}

impl Worker {
    fn run(self) {
        for task in &self.tasks {
            match task {
                Task::ListCacheTags { endpoint, address } => {
                    self.list_cache_tags(endpoint, &address)
                }
                Task::Order {
                    endpoint,
                    address,
                    fencing,
                    order,
                } => self.send_order(endpoint, &address, fencing, &order),
                Task::Probe { endpoint, address } => {
                    let healthy = accepts_connections(&address);
                    self.schedule(Event::ProbeFinished { endpoint, healthy });
                }
                Task::ReleaseCache {
                    endpoint,
                    address,
                    cache_tag,
                } => {
                    self.release_cache(endpoint, &address, cache_tag);
                }
            }
        }
    }

    fn list_cache_tags(&self, endpoint: String, address: &str) {
        match self.control.cache_tags(address) {
            Ok(tags) => {
                let event = FleetEvent::CacheTagsListed { endpoint, tags };
                let _ = self.events.send(RunnerEvent::Reducer(Input::Fleet(event)));
            }
            Err(error) => {
                log::warn!("event=tags_not_listed endpoint={endpoint} error={error:?}");
            }
        }
    }

    fn send_order(
        &self,
        endpoint: String,
        address: &str,
        fencing: u64,
        order: &EngineOrder,
    ) {
        let text = format!("{order:?}");
        let text = Value(&text);
        let outcome = self.control.send_order(address, fencing, order);
        let answer = match &outcome {
            Ok(OrderOutcome::Accepted) => OrderAnswer::Accepted,
            Ok(OrderOutcome::Superseded) => OrderAnswer::Superseded,
            Err(_) => OrderAnswer::Failed,
        };
        log::info!(
            "event=engine_order endpoint={endpoint} fencing={fencing} order={text} \
             outcome={outcome:?}"
        );
        let event = FleetEvent::OrderAnswered {
            endpoint,
            fencing,
            answer,
        };
        let _ = self.events.send(RunnerEvent::Reducer(Input::Fleet(event)));
    }

    fn release_cache(&self, endpoint: String, address: &str, cache_tag: String) {
        let result = self.control.release_cache(address, &cache_tag);
        if let Err(error) = &result {
            log::warn!("event=cache_not_released endpoint={endpoint} error={error:?}");
        }
        let released = result.is_ok();
        self.schedule(Event::CacheReleased {
            endpoint,
            cache_tag,
            released,
        });
    }

    fn schedule(&self, event: Event) {
        let _ = self
            .events
            .send(RunnerEvent::Reducer(Input::Schedule(event)));
    }
}

/// Whether an endpoint accepts connections. This is all that a probe can test, since plain
/// services have no common health check.
fn accepts_connections(address: &str) -> bool {
    let timeout = Duration::from_millis(PROBE_TIMEOUT_MS);
    let address = address.parse::<SocketAddr>();
    address.is_ok_and(|address| TcpStream::connect_timeout(&address, timeout).is_ok())
}
