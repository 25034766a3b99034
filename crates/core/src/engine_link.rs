//! Reports, probes, cache releases and orders of endpoints.

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
use crate::engine_link::poller::Poller;
use crate::logging::Value;
use crate::shell::RunnerEvent;

/// Threads for probes, releases and orders.
const WORKERS: usize = 4;

/// Tasks that may wait. The reducer repeats what is dropped.
const MAX_WAITING_TASKS: usize = 1_000;

/// Deadline for the connection of a probe.
const PROBE_TIMEOUT_MS: u64 = 1_000;

enum Task {
    List {
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
    Release {
        endpoint: String,
        address: String,
        cache_tag: String,
    },
}

/// Control of engines, on threads of its own.
#[derive(Clone)]
pub(crate) struct EngineLink {
    tasks: Sender<Task>,
    configuration: Arc<Mutex<Option<Arc<Configuration>>>>,
}

impl EngineLink {
    /// Starts the threads. They end when all clones and `stop` are dropped.
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
        let (tasks, inbox) = bounded(MAX_WAITING_TASKS);
        let configuration = Arc::new(Mutex::new(None));
        for _ in 0..WORKERS {
            let worker = Worker {
                control: Arc::clone(&control),
                events: events.clone(),
                tasks: inbox.clone(),
            };
            thread::Builder::new()
                .name("engine-control".to_string())
                .spawn(move || worker.run())
                .wrap_err("cannot start a thread for engine control")?;
        }
        let poller = Poller::start(clock, control, events, Arc::clone(&configuration))?;
        let interval = Duration::from_millis(load_interval_ms);
        thread::Builder::new()
            .name("engine-load".to_string())
            .spawn(move || poller.run(interval, &stop))
            .wrap_err("cannot start the thread for reports of engines")?;
        Ok(EngineLink {
            tasks,
            configuration,
        })
    }

    /// Takes over the endpoints.
    pub(crate) fn set_configuration(&self, configuration: &Arc<Configuration>) {
        let mut current = self
            .configuration
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        *current = Some(Arc::clone(configuration));
    }

    /// Asks an endpoint whether it is ready.
    pub(crate) fn probe(&self, endpoint: String, address: String) {
        let _ = self.tasks.try_send(Task::Probe { endpoint, address });
    }

    /// Asks an engine for the cache tags that it holds.
    pub(crate) fn list_tags(&self, endpoint: String) {
        if let Some(address) = self.address(&endpoint) {
            let _ = self.tasks.try_send(Task::List { endpoint, address });
        }
    }

    /// Tells an engine to drop the cache of a program.
    pub(crate) fn release(&self, endpoint: String, cache_tag: String) {
        if let Some(address) = self.address(&endpoint) {
            let task = Task::Release {
                endpoint,
                address,
                cache_tag,
            };
            let _ = self.tasks.try_send(task);
        }
    }

    /// Sends an order to an engine. One that is dropped here has no answer, and the reducer
    /// gives it up after some time.
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

    fn address(&self, endpoint: &str) -> Option<String> {
        let current = self
            .configuration
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        let record = current.as_ref()?.endpoints.get(endpoint)?;
        Some(record.address.clone())
    }
}

struct Worker {
    control: Arc<dyn EngineControl>,
    events: Sender<RunnerEvent>,
    tasks: Receiver<Task>,
}

impl Worker {
    fn run(self) {
        for task in &self.tasks {
            match task {
                Task::List { endpoint, address } => self.list(endpoint, &address),
                Task::Order {
                    endpoint,
                    address,
                    fencing,
                    order,
                } => self.order(endpoint, &address, fencing, &order),
                Task::Probe { endpoint, address } => {
                    let healthy = is_reachable(&address);
                    self.schedule(Event::ProbeFinished { endpoint, healthy });
                }
                Task::Release {
                    endpoint,
                    address,
                    cache_tag,
                } => {
                    self.release(endpoint, &address, cache_tag);
                }
            }
        }
    }

    fn list(&self, endpoint: String, address: &str) {
        match self.control.cache_tags(address) {
            Ok(tags) => {
                let event = FleetEvent::TagsListed { endpoint, tags };
                let _ = self.events.send(RunnerEvent::Reducer(Input::Fleet(event)));
            }
            Err(error) => {
                log::warn!("event=tags_not_listed endpoint={endpoint} error={error:?}");
            }
        }
    }

    fn order(&self, endpoint: String, address: &str, fencing: u64, order: &EngineOrder) {
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

    fn release(&self, endpoint: String, address: &str, cache_tag: String) {
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

/// Whether an endpoint accepts connections. Plain services have no common health check.
fn is_reachable(address: &str) -> bool {
    let timeout = Duration::from_millis(PROBE_TIMEOUT_MS);
    let address = address.parse::<SocketAddr>();
    address.is_ok_and(|address| TcpStream::connect_timeout(&address, timeout).is_ok())
}
