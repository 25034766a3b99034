//! The state that the components of an instance share, and how each component is started.

use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::thread::{self, JoinHandle};

use crossbeam::channel::{Receiver, Sender, bounded, unbounded};
use eyre::WrapErr;
use jayreel_endpoint::{ClientSettings, EngineControl, HttpEndpointClient};
use jayreel_fleet::{Input, RegisteredInstance};
use jayreel_model::Incarnation;
use jayreel_peer::{PeerEvent, PeerNetwork, TcpPeerNetwork};
use jayreel_scheduler::Event;
use jayreel_server::CallerServer;
use jayreel_server::admin::AdminServer;
use jayreel_server::metrics::Metrics;
use jayreel_settings::Settings;
use jayreel_store::{ConfigurationFeed, FeedSettings, Registration, Store};
use prometheus::Registry;

use crate::admin::AdminApi;
use crate::call_metrics::CallMetrics;
use crate::clock::Clock;
use crate::engine_link::EngineLink;
use crate::instance::from_settings;
use crate::peer_link::{self, PeerSender, SeedPoller};
use crate::shell::{
    CallTable, Dispatcher, EffectHandlers, Forwarder, RequestSubmitter, Runner,
    RunnerEvent,
};
use crate::store_link::StoreLink;

/// The state that the components of an instance share.
///
/// [`Instance::start`](super::Instance::start) calls the `start_*` methods in order, since
/// some components need others that were started before.
pub(super) struct SharedState {
    pub(super) settings: Settings,
    /// This process.
    pub(super) own: Incarnation,
    /// The value of this process's registration in the store.
    pub(super) registered: RegisteredInstance,
    pub(super) calls: Arc<CallTable>,
    pub(super) events: Sender<RunnerEvent>,
    /// Whether callers are to be sent here, as `/readyz` reports it.
    pub(super) ready: Arc<AtomicBool>,
    pub(super) network: Arc<TcpPeerNetwork>,
    clock: Clock,
    store: Arc<dyn Store>,
    peers: PeerSender,
    /// Events for the runner. The sending side is `events`.
    runner_events: Receiver<RunnerEvent>,
    /// Messages and forwarded calls from peers.
    inbound: Receiver<PeerEvent>,
}

impl SharedState {
    /// Binds the listener for peers, whose address the registration contains. Starts no other
    /// component.
    ///
    /// # Errors
    ///
    /// If the listener cannot be bound.
    pub(super) fn new(
        settings: Settings,
        store: Arc<dyn Store>,
    ) -> eyre::Result<SharedState> {
        let own = from_settings::incarnation(&settings);
        let (network, inbound) = from_settings::start_peers(&settings, &own)?;
        let network = Arc::new(network);
        let peer_address = settings.peers.advertise.unwrap_or(network.local_address());
        let registered = RegisteredInstance {
            incarnation: own.clone(),
            availability_zone: settings.instance.availability_zone.clone(),
            peer_address: peer_address.to_string(),
            leaving: false,
        };
        let (events, runner_events) = unbounded();
        Ok(SharedState {
            peers: PeerSender::new(
                own.instance.clone(),
                Arc::clone(&network) as Arc<dyn PeerNetwork>,
            ),
            settings,
            own,
            registered,
            calls: Arc::new(CallTable::default()),
            events,
            ready: Arc::new(AtomicBool::new(false)),
            network,
            clock: Clock::new(),
            store,
            runner_events,
            inbound,
        })
    }

    /// Starts to keep a copy of the configuration in the store.
    pub(super) fn start_feed(&self) -> eyre::Result<ConfigurationFeed> {
        let settings = FeedSettings {
            poll_interval_ms: self.settings.platform.config_poll_interval_ms,
            ..FeedSettings::default()
        };
        let store = Arc::clone(&self.store);
        ConfigurationFeed::start(store, Arc::new(self.clock), settings)
            .wrap_err("cannot start the configuration feed")
    }

    /// Starts to register the instance in the store and to renew the registration.
    pub(super) fn start_registration(&self) -> eyre::Result<Registration> {
        Registration::start(
            Arc::clone(&self.store),
            Arc::new(self.clock),
            &self.settings.instance.name,
            &self.registered,
            from_settings::registration_settings(&self.settings),
        )
        .wrap_err("cannot start the registration")
    }

    /// Starts the threads that read and write the store for the reducer.
    pub(super) fn start_store_link(
        &self,
        registration: &Arc<Registration>,
        feed: &Arc<ConfigurationFeed>,
    ) -> eyre::Result<StoreLink> {
        StoreLink::start(
            self.clock,
            Arc::clone(&self.store),
            Arc::clone(registration),
            Arc::clone(feed),
            self.peers.clone(),
            self.own.clone(),
            self.events.clone(),
        )
    }

    /// Starts the thread that handles messages and forwarded calls from peers.
    pub(super) fn start_receiver(
        &self,
        feed: &Arc<ConfigurationFeed>,
        store_link: &StoreLink,
    ) -> eyre::Result<()> {
        peer_link::start_receiver(
            self.clock,
            self.inbound.clone(),
            self.peers.clone(),
            Arc::clone(feed),
            Arc::clone(&self.calls),
            self.events.clone(),
            store_link.read_requests(),
        )
    }

    /// Starts to look for peers at the addresses in the settings, in case the store is down.
    pub(super) fn start_seeds(
        &self,
        feed: &Arc<ConfigurationFeed>,
    ) -> eyre::Result<SeedPoller> {
        let seeds = self.settings.peers.seeds.clone();
        SeedPoller::start(seeds, self.peers.clone(), Arc::clone(feed))
    }

    /// Starts the thread of the reducer and the threads that perform its effects. Dropping the
    /// returned sender ends the polling of engines.
    pub(super) fn start_runner(
        &self,
        registry: &Registry,
        store_link: &StoreLink,
    ) -> eyre::Result<(JoinHandle<()>, Sender<()>)> {
        let metrics = Metrics::new(registry).wrap_err("cannot register metrics")?;
        let client = Arc::new(HttpEndpointClient::new(&ClientSettings::default()));
        let (stop_engines, engines_stopped) = bounded(1);
        let engines = EngineLink::start(
            self.clock,
            Arc::clone(&client) as Arc<dyn EngineControl>,
            self.settings.endpoints.load_interval_ms,
            self.events.clone(),
            engines_stopped,
        )?;
        let network = Arc::clone(&self.network) as Arc<dyn PeerNetwork>;
        let handlers = EffectHandlers {
            dispatcher: Dispatcher::new(
                self.clock,
                self.settings.endpoints.clone(),
                client,
                Arc::clone(&self.calls),
                self.events.clone(),
            ),
            forwarder: Forwarder::new(
                network,
                Arc::clone(&self.calls),
                self.events.clone(),
            ),
            engines,
            peers: self.peers.clone(),
            store: store_link.effects(),
            metrics: Arc::new(CallMetrics::new(self.clock, metrics)),
        };
        let runner = Runner::new(
            self.clock,
            from_settings::reducer(
                &self.settings,
                &self.own,
                &self.registered,
                self.clock,
            ),
            Arc::clone(&self.calls),
            handlers,
            self.runner_events.clone(),
            Arc::clone(&self.ready),
        );
        let thread = thread::Builder::new()
            .name("reducer".to_string())
            .spawn(move || runner.run())
            .wrap_err("cannot start the reducer thread")?;
        Ok((thread, stop_engines))
    }

    /// Starts the thread that passes each new configuration to the reducer.
    pub(super) fn follow_configuration(
        &self,
        feed: &ConfigurationFeed,
    ) -> eyre::Result<()> {
        let events = self.events.clone();
        let updates = feed.updates().clone();
        thread::Builder::new()
            .name("configuration".to_string())
            .spawn(move || {
                for configuration in updates {
                    let revision = configuration.revision;
                    log::info!("event=configuration_applied revision={revision}");
                    let event =
                        Input::Schedule(Event::ConfigurationChanged(configuration));
                    if events.send(RunnerEvent::Reducer(event)).is_err() {
                        return;
                    }
                }
            })
            .wrap_err("cannot start the configuration thread")?;
        Ok(())
    }

    /// Starts the server of the administration API and of the metrics.
    pub(super) fn start_admin(
        &self,
        registry: Registry,
        feed: &Arc<ConfigurationFeed>,
    ) -> eyre::Result<AdminServer> {
        let administration = AdminApi::new(
            Arc::clone(&self.store),
            Arc::clone(feed),
            self.peers.clone(),
            self.events.clone(),
            self.settings.platform.offline_grace_s,
        );
        let listen = self.settings.admin.listen;
        let settings = from_settings::admin_settings(&self.settings);
        AdminServer::start(listen, settings, registry, Arc::new(administration))
            .wrap_err_with(|| format!("cannot listen on {listen} for operators"))
    }

    /// Starts the server for callers.
    pub(super) fn start_callers(&self) -> eyre::Result<CallerServer> {
        let submitter = RequestSubmitter::new(
            self.clock,
            Arc::clone(&self.calls),
            self.events.clone(),
            Arc::clone(&self.ready),
        );
        let listen = self.settings.callers.listen;
        let settings = from_settings::server_settings(&self.settings);
        CallerServer::start(listen, settings, Arc::new(submitter))
            .wrap_err_with(|| format!("cannot listen on {listen} for callers"))
    }
}
