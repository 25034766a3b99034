//! Polls engines at a fixed interval for their load and their models.

use std::collections::BTreeSet;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::thread;
use std::time::Duration;

use crossbeam::channel::{Receiver, RecvTimeoutError, Sender, unbounded};
use eyre::WrapErr;
use jayreel_endpoint::EngineControl;
use jayreel_fleet::{FleetEvent, Input};
use jayreel_model::{Configuration, EndpointKind, EndpointState};
use jayreel_scheduler::Event;
use jayreel_scheduler::event::LoadReport;

use crate::clock::Clock;
use crate::shell::RunnerEvent;

/// Number of threads that send the requests. An engine that does not respond occupies one of
/// them until the timeout, and must not delay the reports of the others.
const POLL_THREADS: usize = 16;

/// An engine that is to be polled now.
#[derive(Clone, Debug)]
struct DueEngine {
    endpoint: String,
    address: String,
}

/// Queues all engines of the configuration for polling, at a fixed interval.
pub(super) struct EnginePoller {
    pub(super) configuration: Arc<Mutex<Option<Arc<Configuration>>>>,
    due: Sender<DueEngine>,
    /// Names of the engines that are queued or being polled. They are not queued a second
    /// time, so at most one thread waits for each.
    in_progress: Arc<Mutex<BTreeSet<String>>>,
}

impl EnginePoller {
    /// Starts the threads that send the requests. They end when the poller is dropped.
    ///
    /// # Errors
    ///
    /// If a thread cannot be started.
    pub(super) fn start(
        clock: Clock,
        control: Arc<dyn EngineControl>,
        events: Sender<RunnerEvent>,
        configuration: Arc<Mutex<Option<Arc<Configuration>>>>,
    ) -> eyre::Result<EnginePoller> {
        let (due, queued_engines) = unbounded();
        let in_progress = Arc::default();
        for _ in 0..POLL_THREADS {
            let worker = PollWorker {
                clock,
                control: Arc::clone(&control),
                events: events.clone(),
                due: queued_engines.clone(),
                in_progress: Arc::clone(&in_progress),
            };
            thread::Builder::new()
                .name("engine-report".to_string())
                .spawn(move || worker.run())
                .wrap_err("cannot start an engine polling thread")?;
        }
        Ok(EnginePoller {
            configuration,
            due,
            in_progress,
        })
    }

    /// Queues the engines every `interval` until the sender of `stop` is dropped.
    pub(super) fn run(self, interval: Duration, stop: &Receiver<()>) {
        while let Err(RecvTimeoutError::Timeout) = stop.recv_timeout(interval) {
            for engine in self.configured_engines() {
                if lock(&self.in_progress).insert(engine.endpoint.clone()) {
                    // Does not fail: the threads hold the receiver until this sender is
                    // dropped.
                    let _ = self.due.send(engine);
                }
            }
        }
    }

    /// All model engines that are not removed.
    fn configured_engines(&self) -> Vec<DueEngine> {
        let current = self
            .configuration
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        let Some(configuration) = current.as_ref() else {
            return Vec::new();
        };
        let engines = configuration.endpoints.iter().filter(|(_, endpoint)| {
            endpoint.kind == EndpointKind::ModelEngine
                && endpoint.state != EndpointState::Removed
        });
        engines
            .map(|(name, endpoint)| DueEngine {
                endpoint: name.clone(),
                address: endpoint.address.clone(),
            })
            .collect()
    }
}

fn lock(names: &Mutex<BTreeSet<String>>) -> MutexGuard<'_, BTreeSet<String>> {
    names.lock().unwrap_or_else(PoisonError::into_inner)
}

/// One of the threads that request the load and the models of engines.
struct PollWorker {
    clock: Clock,
    control: Arc<dyn EngineControl>,
    events: Sender<RunnerEvent>,
    due: Receiver<DueEngine>,
    in_progress: Arc<Mutex<BTreeSet<String>>>,
}

impl PollWorker {
    fn run(self) {
        for engine in &self.due {
            self.poll(&engine);
            lock(&self.in_progress).remove(&engine.endpoint);
        }
    }

    /// Reports the load and the models to the reducer. An engine that does not report its load
    /// is not asked for its models, and nothing is reported.
    fn poll(&self, engine: &DueEngine) {
        let Ok(load) = self.control.load(&engine.address) else {
            return;
        };
        let report = LoadReport {
            running: load.running,
            waiting: load.waiting,
            age_ms: load.age_ms,
        };
        let event = Event::LoadReported {
            endpoint: engine.endpoint.clone(),
            report,
        };
        let _ = self
            .events
            .send(RunnerEvent::Reducer(Input::Schedule(event)));
        self.poll_models(&engine.endpoint, &engine.address);
    }

    /// Reports the models that an engine has loaded. Engines without support for this request
    /// respond with an error, and are assumed to have the models in the configuration.
    fn poll_models(&self, endpoint: &str, address: &str) {
        let sent_at_ms = self.clock.now_ms();
        let models = match self.control.models(address) {
            Ok(models) => models,
            Err(error) => {
                log::debug!("event=models_unknown endpoint={endpoint} error={error:?}");
                return;
            }
        };
        let loaded = Event::ModelsReported {
            endpoint: endpoint.to_string(),
            loaded: models.usable().map(str::to_string).collect(),
        };
        let reported = FleetEvent::ModelsReported {
            endpoint: endpoint.to_string(),
            sent_at_ms,
            models,
        };
        for input in [Input::Schedule(loaded), Input::Fleet(reported)] {
            let _ = self.events.send(RunnerEvent::Reducer(input));
        }
    }
}
