//! Reports that engines are asked for at regular times.

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

/// Threads that ask. A silent engine takes one of them until its deadline, and must not
/// hold up the reports of the others.
const REPORTERS: usize = 16;

/// An engine that is due.
#[derive(Clone, Debug)]
struct DueEngine {
    endpoint: String,
    address: String,
}

/// Decides which engines are asked.
pub(super) struct Poller {
    pub(super) configuration: Arc<Mutex<Option<Arc<Configuration>>>>,
    due: Sender<DueEngine>,
    /// Engines that have not answered yet. They are not asked a second time, so at most
    /// one thread waits for each.
    outstanding: Arc<Mutex<BTreeSet<String>>>,
}

impl Poller {
    /// Starts the threads that ask. They end with the poller.
    ///
    /// # Errors
    ///
    /// If a thread cannot be started.
    pub(super) fn start(
        clock: Clock,
        control: Arc<dyn EngineControl>,
        events: Sender<RunnerEvent>,
        configuration: Arc<Mutex<Option<Arc<Configuration>>>>,
    ) -> eyre::Result<Poller> {
        let (due, inbox) = unbounded();
        let outstanding = Arc::default();
        for _ in 0..REPORTERS {
            let reporter = Reporter {
                clock,
                control: Arc::clone(&control),
                events: events.clone(),
                due: inbox.clone(),
                outstanding: Arc::clone(&outstanding),
            };
            thread::Builder::new()
                .name("engine-report".to_string())
                .spawn(move || reporter.run())
                .wrap_err("cannot start a thread for reports of engines")?;
        }
        Ok(Poller {
            configuration,
            due,
            outstanding,
        })
    }

    /// Runs until the sender of `stop` is dropped.
    pub(super) fn run(self, interval: Duration, stop: &Receiver<()>) {
        while let Err(RecvTimeoutError::Timeout) = stop.recv_timeout(interval) {
            for engine in self.engines() {
                if lock(&self.outstanding).insert(engine.endpoint.clone()) {
                    // The threads end only after this sender is dropped.
                    let _ = self.due.send(engine);
                }
            }
        }
    }

    fn engines(&self) -> Vec<DueEngine> {
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

/// Asks engines for their load and their models.
struct Reporter {
    clock: Clock,
    control: Arc<dyn EngineControl>,
    events: Sender<RunnerEvent>,
    due: Receiver<DueEngine>,
    outstanding: Arc<Mutex<BTreeSet<String>>>,
}

impl Reporter {
    fn run(self) {
        for engine in &self.due {
            self.report(&engine);
            lock(&self.outstanding).remove(&engine.endpoint);
        }
    }

    fn report(&self, engine: &DueEngine) {
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
        self.report_models(&engine.endpoint, &engine.address);
    }

    /// Passes on what an engine has loaded. Engines without this report answer with an
    /// error and count as having what the configuration says.
    fn report_models(&self, endpoint: &str, address: &str) {
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
