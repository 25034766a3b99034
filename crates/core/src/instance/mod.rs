//! One entry instance: its threads and how they start and stop.

mod base;
mod from_settings;

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

use crossbeam::channel::{Sender, bounded};
use jayreel_fleet::{FleetEvent, Input, Registered};
use jayreel_peer::TcpPeerNetwork;
use jayreel_scheduler::Event;
use jayreel_server::CallerServer;
use jayreel_server::admin::AdminServer;
use jayreel_settings::Settings;
use jayreel_store::{Registration, Store};

use crate::instance::base::Base;
use crate::peer_link::Seeds;
use crate::shell::{CallTable, RunnerEvent, StatusReport};
use crate::store_link::StoreLink;

/// How often a planned stop looks whether it can go on.
const STOP_CHECK: Duration = Duration::from_millis(20);

/// How long a planned stop waits for the store and a successor after the last call. What
/// is not given back by then returns by the terms of loans and home shares.
const RELEASE_LIMIT: Duration = Duration::from_secs(15);

/// How long a planned stop waits for operators' requests that are under way.
const ADMIN_STOP_LIMIT: Duration = Duration::from_secs(10);

/// A running instance.
pub(crate) struct Instance {
    settings: Settings,
    registered: Registered,
    calls: Arc<CallTable>,
    events: Sender<RunnerEvent>,
    ready: Arc<AtomicBool>,
    runner: JoinHandle<()>,
    callers: CallerServer,
    admin: AdminServer,
    network: Arc<TcpPeerNetwork>,
    seeds: Seeds,
    registration: Arc<Registration>,
    store_link: StoreLink,
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
        let base = Base::new(settings, store)?;
        let feed = Arc::new(base.start_feed()?);
        let registration = Arc::new(base.start_registration()?);
        let store_link = base.start_store_link(&registration, &feed)?;
        base.start_receiver(&feed, &store_link)?;
        let seeds = base.start_seeds(&feed)?;
        let registry = prometheus::Registry::new();
        let (runner, stop_engines) = base.start_runner(&registry, &store_link)?;
        base.follow_configuration(&feed)?;
        let admin = base.start_admin(registry, &feed)?;
        let callers = base.start_callers()?;
        log::info!(
            "event=started incarnation={} callers={} admin={} peers={}",
            base.own,
            callers.address(),
            admin.address(),
            base.network.local_address()
        );
        Ok(Instance {
            settings: base.settings,
            registered: base.registered,
            calls: base.calls,
            events: base.events,
            ready: base.ready,
            runner,
            callers,
            admin,
            network: base.network,
            seeds,
            registration,
            store_link,
            stop_engines,
        })
    }

    /// Address of the callers' listener.
    pub(crate) fn caller_address(&self) -> SocketAddr {
        self.callers.address()
    }

    /// Address of the operators' listener.
    pub(crate) fn admin_address(&self) -> SocketAddr {
        self.admin.address()
    }

    /// Address of the peers' listener.
    pub(crate) fn peer_address(&self) -> SocketAddr {
        self.network.local_address()
    }

    /// Whether another process has taken over the programs of this one. The instance then
    /// serves no programs any more and has to be started again.
    pub(crate) fn is_superseded(&self) -> bool {
        self.status().is_some_and(|status| status.fleet.superseded)
    }

    /// Whether a configuration is in force.
    pub(crate) fn is_ready(&self) -> bool {
        self.ready.load(Ordering::SeqCst)
    }

    /// A planned stop: ends after all accepted calls have ended, and gives back what the
    /// instance holds.
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
        // Calls that peers forwarded have no connection here.
        while self.calls.len() > 0 && deadline.is_none_or(|at| Instant::now() < at) {
            thread::sleep(STOP_CHECK);
        }
        if !idle || self.calls.len() > 0 {
            log::warn!("event=drain_limit_reached cut={}", self.calls.len());
        }
        self.release();
        self.end_threads();
        log::info!("event=stopped");
    }

    fn announce_stop(&self) {
        log::info!("event=drain_started running={}", self.calls.len());
        self.ready.store(false, Ordering::SeqCst);
        self.callers.start_drain();
        self.send(Input::Schedule(Event::DrainStarted));
        let leaving = Registered {
            leaving: true,
            ..self.registered.clone()
        };
        if let Err(error) = self.registration.set_value(&leaving) {
            log::warn!("event=leaving_not_registered error={error:?}");
        }
    }

    /// Hands over programs and gives back loans and weight.
    fn release(&self) {
        self.send(Input::Fleet(FleetEvent::StopServing));
        let deadline = Instant::now() + RELEASE_LIMIT;
        while !self.status().is_some_and(|status| status.is_stopped) {
            if Instant::now() >= deadline {
                log::warn!("event=release_incomplete");
                return;
            }
            thread::sleep(STOP_CHECK);
        }
    }

    fn end_threads(self) {
        self.callers.close();
        self.admin.close(Some(ADMIN_STOP_LIMIT));
        drop(self.stop_engines);
        self.seeds.close();
        let _ = self.events.send(RunnerEvent::Stop);
        let _ = self.runner.join();
        self.store_link.close();
        if let Ok(registration) = Arc::try_unwrap(self.registration) {
            registration.close();
        }
        // The receiver of peers' messages holds the network and the feed, so all three end
        // with the process.
    }

    fn status(&self) -> Option<StatusReport> {
        let (reply, answer) = bounded(1);
        self.events.send(RunnerEvent::Status(reply)).ok()?;
        answer.recv_timeout(Duration::from_secs(1)).ok()
    }

    fn send(&self, input: Input) {
        let _ = self.events.send(RunnerEvent::Reducer(input));
    }
}
