//! Control traffic with endpoints: load reports, probes, cache releases and orders.

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
use crate::shell::ShellEvent;

/// Number of threads that carry out tasks. Load reports have their own thread.
const WORKERS: usize = 4;

/// Maximum number of queued tasks. Further tasks are dropped; the reducer repeats them.
const MAX_WAITING_TASKS: usize = 1_000;

/// Timeout for connecting to an endpoint that is probed.
const PROBE_TIMEOUT_MS: u64 = 1_000;

/// One request to an endpoint, run by a worker thread.
enum Task {
    ListTags {
        endpoint: String,
        address: String,
    },
    SendOrder {
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

/// Handle for control requests to endpoints. They run on worker threads, and their results
/// are sent as events to the shell.
#[derive(Clone)]
pub(crate) struct EngineLink {
    tasks: Sender<Task>,
    configuration: Arc<Mutex<Option<Arc<Configuration>>>>,
}

impl EngineLink {
    /// Starts the threads. The workers end when all clones of the handle are dropped, the
    /// thread for load reports when the sender of `stop` is dropped. `load_interval_ms` is
    /// the time between two load reports.
    ///
    /// # Errors
    ///
    /// If a thread cannot be started.
    pub(crate) fn start(
        clock: Clock,
        control: Arc<dyn EngineControl>,
        load_interval_ms: u64,
        events: Sender<ShellEvent>,
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

    /// Updates the endpoints and their addresses.
    pub(crate) fn set_configuration(&self, configuration: &Arc<Configuration>) {
        let mut current = self
            .configuration
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        *current = Some(Arc::clone(configuration));
    }

    /// Checks whether an endpoint accepts connections. The result is
    /// [`Event::ProbeFinished`].
    pub(crate) fn probe(&self, endpoint: String, address: String) {
        let _ = self.tasks.try_send(Task::Probe { endpoint, address });
    }

    /// Requests the cache tags that an engine holds. The result is
    /// [`FleetEvent::TagsListed`]; there is none if the request fails.
    pub(crate) fn list_tags(&self, endpoint: String) {
        if let Some(address) = self.address_of(&endpoint) {
            let _ = self.tasks.try_send(Task::ListTags { endpoint, address });
        }
    }

    /// Tells an engine to release the cache with this tag. The result is
    /// [`Event::CacheReleased`].
    pub(crate) fn release(&self, endpoint: String, cache_tag: String) {
        if let Some(address) = self.address_of(&endpoint) {
            let task = Task::ReleaseCache {
                endpoint,
                address,
                cache_tag,
            };
            let _ = self.tasks.try_send(task);
        }
    }

    /// Sends an order to an engine. The result is [`FleetEvent::OrderAnswered`]. An order
    /// that is dropped because the queue is full has no result; the reducer then times out.
    pub(crate) fn order(&self, endpoint: String, fencing: u64, order: EngineOrder) {
        if let Some(address) = self.address_of(&endpoint) {
            let task = Task::SendOrder {
                endpoint,
                address,
                fencing,
                order,
            };
            let _ = self.tasks.try_send(task);
        }
    }

    /// The configured address of an endpoint, or `None` if it is not configured.
    fn address_of(&self, endpoint: &str) -> Option<String> {
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
    events: Sender<ShellEvent>,
    tasks: Receiver<Task>,
}

impl Worker {
    fn run(self) {
        for task in &self.tasks {
            match task {
                Task::ListTags { endpoint, address } => {
                    self.list_tags(endpoint, &address)
                }
                Task::SendOrder {
                    endpoint,
                    address,
                    fencing,
                    order,
                } => self.send_order(endpoint, &address, fencing, &order),
                Task::Probe { endpoint, address } => {
                    let healthy = is_reachable(&address);
                    self.send_event(Event::ProbeFinished { endpoint, healthy });
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

    fn list_tags(&self, endpoint: String, address: &str) {
        match self.control.cache_tags(address) {
            Ok(tags) => {
                let event = FleetEvent::TagsListed { endpoint, tags };
                let _ = self.events.send(ShellEvent::Reducer(Input::Fleet(event)));
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
        let _ = self.events.send(ShellEvent::Reducer(Input::Fleet(event)));
    }

    fn release_cache(&self, endpoint: String, address: &str, cache_tag: String) {
        let result = self.control.release_cache(address, &cache_tag);
        if let Err(error) = &result {
            log::warn!("event=cache_not_released endpoint={endpoint} error={error:?}");
        }
        let released = result.is_ok();
        self.send_event(Event::CacheReleased {
            endpoint,
            cache_tag,
            released,
        });
    }

    fn send_event(&self, event: Event) {
        let _ = self
            .events
            .send(ShellEvent::Reducer(Input::Schedule(event)));
    }
}

/// Whether an endpoint accepts TCP connections. Plain services have no common protocol for
/// health checks.
fn is_reachable(address: &str) -> bool {
    let timeout = Duration::from_millis(PROBE_TIMEOUT_MS);
    let address = address.parse::<SocketAddr>();
    address.is_ok_and(|address| TcpStream::connect_timeout(&address, timeout).is_ok())
}
