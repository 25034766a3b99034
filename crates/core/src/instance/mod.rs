//! An entry instance: the components of `jayreel serve` and the order in which they start
//! and stop.

mod base;
mod from_settings;

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

use crossbeam::channel::{Sender, bounded};
use jayreel_fleet::{FleetEvent, Input, RegisteredInstance};
use jayreel_peer::TcpPeerNetwork;
use jayreel_scheduler::Event;
use jayreel_server::CallerServer;
use jayreel_server::admin::AdminServer;
use jayreel_settings::Settings;
use jayreel_store::{Registration, Store};

use crate::instance::base::SharedState;
use crate::peer_link::SeedPoller;
use crate::shell::{CallTable, RunnerEvent, StatusReport};
use crate::store_link::StoreLink;

/// Interval at which a planned stop checks whether its current phase is complete.
const STOP_CHECK_INTERVAL: Duration = Duration::from_millis(20);

/// How long a planned stop waits, after the last call, for the store and a successor to take
/// over what the instance holds. Loans and home shares that are not returned by then
/// expire at the end of their terms.
const RELEASE_TIMEOUT: Duration = Duration::from_secs(15);

/// How long a planned stop waits for requests to the administration API that are in
/// progress.
const ADMIN_STOP_TIMEOUT: Duration = Duration::from_secs(10);

/// A running instance. Its threads go on until [`Instance::close`] is called.
pub(crate) struct Instance {
    settings: Settings,
    registered: RegisteredInstance,
    calls: Arc<CallTable>,
    events: Sender<RunnerEvent>,
    /// Whether callers are to be sent here, as `/readyz` reports it.
    ready: Arc<AtomicBool>,
    runner: JoinHandle<()>,
    callers: CallerServer,
    admin: AdminServer,
    network: Arc<TcpPeerNetwork>,
    seed_poller: SeedPoller,
    registration: Arc<Registration>,
    store_link: StoreLink,
    /// Dropped to end the polling of engines.
    stop_engines: Sender<()>,
}

impl Instance {
    /// Starts all threads of an instance.
    ///
    /// # Errors
    ///
    /// If a listener cannot be bound or a thread cannot be started.
    pub(crate) fn start(
        settings: Settings,
        store: Arc<dyn Store>,
    ) -> eyre::Result<Instance> {
        let shared = SharedState::new(settings, store)?;
        let feed = Arc::new(shared.start_feed()?);
        let registration = Arc::new(shared.start_registration()?);
        let store_link = shared.start_store_link(&registration, &feed)?;
        shared.start_receiver(&feed, &store_link)?;
        let seed_poller = shared.start_seeds(&feed)?;
        let registry = prometheus::Registry::new();
        let (runner, stop_engines) = shared.start_runner(&registry, &store_link)?;
        shared.follow_configuration(&feed)?;
        let admin = shared.start_admin(registry, &feed)?;
        let callers = shared.start_callers()?;
        log::info!(
            "event=started incarnation={} callers={} admin={} peers={}",
            shared.own,
            callers.address(),
            admin.address(),
            shared.network.local_address()
        );
        Ok(Instance {
            settings: shared.settings,
            registered: shared.registered,
            calls: shared.calls,
            events: shared.events,
            ready: shared.ready,
            runner,
            callers,
            admin,
            network: shared.network,
            seed_poller,
            registration,
            store_link,
            stop_engines,
        })
    }

    /// Bound address of the server for callers.
    pub(crate) fn caller_address(&self) -> SocketAddr {
        self.callers.address()
    }

    /// Bound address of the administration API.
    pub(crate) fn admin_address(&self) -> SocketAddr {
        self.admin.address()
    }

    /// Bound address of the listener for peers, which may differ from the advertised one.
    pub(crate) fn peer_address(&self) -> SocketAddr {
        self.network.local_address()
    }

    /// Whether another process has taken over the programs of this one. The instance then
    /// serves no programs and must be restarted.
    pub(crate) fn is_superseded(&self) -> bool {
        self.status().is_some_and(|status| status.fleet.superseded)
    }

    /// Whether the instance is ready for callers. Set once the reducer is ready or has waited
    /// long enough for the store; cleared when a planned stop begins.
    pub(crate) fn is_ready(&self) -> bool {
        self.ready.load(Ordering::SeqCst)
    }

    /// Performs a planned stop: announces it, waits until all accepted calls have ended or
    /// `drain_limit_s` has passed (0 means no limit), and hands over the programs and the
    /// quota of the instance.
    pub(crate) fn close(self) {
        self.announce_stop();
        thread::sleep(Duration::from_millis(
            self.settings.instance.drain_notice_ms,
        ));
        self.callers.stop_accepting();
        let limit_s = self.settings.instance.drain_limit_s;
        let limit = (limit_s > 0).then(|| Duration::from_secs(limit_s));
        let deadline = limit.map(|limit| Instant::now() + limit);
        let idle = self.callers.wait_idle(limit);
        // `wait_idle` sees only callers' connections, not the calls that peers forwarded.
        while self.calls.len() > 0 && deadline.is_none_or(|at| Instant::now() < at) {
            thread::sleep(STOP_CHECK_INTERVAL);
        }
        if !idle || self.calls.len() > 0 {
            log::warn!("event=drain_limit_reached cut={}", self.calls.len());
        }
        self.release_resources();
        self.end_threads();
        log::info!("event=stopped");
    }

    /// Makes the readiness check fail, so that load balancers send callers elsewhere, and
    /// marks the instance as leaving in the reducer and in its registration.
    fn announce_stop(&self) {
        log::info!("event=drain_started running={}", self.calls.len());
        self.ready.store(false, Ordering::SeqCst);
        self.callers.start_drain();
        self.send(Input::Schedule(Event::DrainStarted));
        let leaving = RegisteredInstance {
            leaving: true,
            ..self.registered.clone()
        };
        if let Err(error) = self.registration.set_value(&leaving) {
            log::warn!("event=leaving_not_registered error={error:?}");
        }
    }

    /// Hands the programs over to a successor and returns the loans and the home weight.
    fn release_resources(&self) {
        self.send(Input::Fleet(FleetEvent::ServingEnded));
        let deadline = Instant::now() + RELEASE_TIMEOUT;
        while !self.status().is_some_and(|status| status.is_stopped) {
            if Instant::now() >= deadline {
                log::warn!("event=release_incomplete");
                return;
            }
            thread::sleep(STOP_CHECK_INTERVAL);
        }
    }

    /// Ends the threads: the servers before the runner, to which they send events, and the
    /// runner before the store writer, to which it sends effects.
    fn end_threads(self) {
        self.callers.close();
        self.admin.close(Some(ADMIN_STOP_TIMEOUT));
        drop(self.stop_engines);
        self.seed_poller.close();
        let _ = self.events.send(RunnerEvent::Stop);
        let _ = self.runner.join();
        self.store_link.close();
        if let Ok(registration) = Arc::try_unwrap(self.registration) {
            registration.close();
        }
        // The receiver of peer messages holds the network and the feed, so these three end
        // only with the process.
    }

    /// `None` if the runner has ended or does not respond within 1 s.
    fn status(&self) -> Option<StatusReport> {
        let (reply, status) = bounded(1);
        self.events.send(RunnerEvent::Status(reply)).ok()?;
        status.recv_timeout(Duration::from_secs(1)).ok()
    }

    fn send(&self, input: Input) {
        let _ = self.events.send(RunnerEvent::Reducer(input));
    }
}
