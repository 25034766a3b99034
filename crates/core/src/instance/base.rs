//! What the parts of an instance share, and how each part starts.

use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::thread::{self, JoinHandle};

use crossbeam::channel::{Receiver, Sender, bounded, unbounded};
use eyre::WrapErr;
use jayreel_endpoint::{ClientSettings, EngineControl, HttpEndpointClient};
use jayreel_fleet::{Input, Registered};
use jayreel_model::Incarnation;
use jayreel_peer::{Inbound, PeerNetwork, TcpPeerNetwork};
use jayreel_scheduler::Event;
use jayreel_server::CallerServer;
use jayreel_server::admin::AdminServer;
use jayreel_server::metrics::Metrics;
use jayreel_settings::Settings;
use jayreel_store::{ConfigurationFeed, FeedSettings, Registration, Store};
use prometheus::Registry;

use crate::admin::Administration;
use crate::clock::Clock;
use crate::engine_link::EngineLink;
use crate::instance::from_settings;
use crate::observe::Observer;
use crate::peer_link::{self, PeerSender, Seeds};
use crate::shell::{
    CallTable, Dispatcher, EffectHandlers, Forwarder, RequestSubmitter, Runner,
    RunnerEvent,
};
use crate::store_link::StoreLink;

/// What the parts of an instance share.
pub(super) struct Base {
    pub(super) settings: Settings,
    pub(super) own: Incarnation,
    pub(super) registered: Registered,
    pub(super) calls: Arc<CallTable>,
    pub(super) events: Sender<RunnerEvent>,
    pub(super) ready: Arc<AtomicBool>,
    pub(super) network: Arc<TcpPeerNetwork>,
    clock: Clock,
    store: Arc<dyn Store>,
    peers: PeerSender,
    inbox: Receiver<RunnerEvent>,
    inbound: Receiver<Inbound>,
}

impl Base {
    /// Binds the listener for peers; nothing else runs yet.
    ///
    /// # Errors
    ///
    /// If the listener cannot be bound.
    pub(super) fn new(settings: Settings, store: Arc<dyn Store>) -> eyre::Result<Base> {
        let own = from_settings::incarnation(&settings);
        let (network, inbound) = from_settings::start_peers(&settings, &own)?;
        let network = Arc::new(network);
        let peer_address = settings.peers.advertise.unwrap_or(network.local_address());
        let registered = Registered {
            incarnation: own.clone(),
            availability_zone: settings.instance.availability_zone.clone(),
            peer_address: peer_address.to_string(),
            leaving: false,
        };
        let (events, inbox) = unbounded();
        Ok(Base {
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
            inbox,
            inbound,
        })
    }

    /// Follows the configuration in the store.
    pub(super) fn start_feed(&self) -> eyre::Result<ConfigurationFeed> {
        let settings = FeedSettings {
            poll_interval_ms: self.settings.platform.config_poll_interval_ms,
            ..FeedSettings::default()
        };
        let store = Arc::clone(&self.store);
        ConfigurationFeed::start(store, Arc::new(self.clock), settings)
            .wrap_err("cannot start the configuration feed")
    }

    /// Registers the instance.
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

    /// Connects the fleet step to the store.
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

    /// Takes what peers send.
    pub(super) fn start_receiver(
        &self,
        feed: &Arc<ConfigurationFeed>,
        store_link: &StoreLink,
    ) -> eyre::Result<()> {
        peer_link::receive(
            self.clock,
            self.inbound.clone(),
            self.peers.clone(),
            Arc::clone(feed),
            Arc::clone(&self.calls),
            self.events.clone(),
            store_link.read_now(),
        )
    }

    /// Asks the seeds for peers, in case the store is down.
    pub(super) fn start_seeds(
        &self,
        feed: &Arc<ConfigurationFeed>,
    ) -> eyre::Result<Seeds> {
        let seeds = self.settings.peers.seeds.clone();
        Seeds::start(seeds, self.peers.clone(), Arc::clone(feed))
    }

    /// Runs the reducer. Dropping the sender ends the load reports.
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
            observer: Arc::new(Observer::new(self.clock, metrics)),
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
            self.inbox.clone(),
            Arc::clone(&self.ready),
        );
        let thread = thread::Builder::new()
            .name("reducer".to_string())
            .spawn(move || runner.run())
            .wrap_err("cannot start the reducer's thread")?;
        Ok((thread, stop_engines))
    }

    /// Passes each new configuration to the reducer.
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

    /// Serves operators.
    pub(super) fn start_admin(
        &self,
        registry: Registry,
        feed: &Arc<ConfigurationFeed>,
    ) -> eyre::Result<AdminServer> {
        let administration = Administration::new(
            Arc::clone(&self.store),
            Arc::clone(feed),
            self.peers.clone(),
            self.events.clone(),
            self.settings.platform.offline_grace_s,
        );
        let listen = self.settings.admin.listen;
        let settings = from_settings::admin_settings(&self.settings);
        AdminServer::start(listen, settings, registry, Arc::new(administration))
            .wrap_err_with(|| format!("cannot listen on {listen}"))
    }

    /// Serves callers.
    pub(super) fn start_callers(&self) -> eyre::Result<CallerServer> {
        let intake = RequestSubmitter::new(
            self.clock,
            Arc::clone(&self.calls),
            self.events.clone(),
            Arc::clone(&self.ready),
        );
        let listen = self.settings.callers.listen;
        let settings = from_settings::server_settings(&self.settings);
        CallerServer::start(listen, settings, Arc::new(intake))
            .wrap_err_with(|| format!("cannot listen on {listen}"))
    }
}
