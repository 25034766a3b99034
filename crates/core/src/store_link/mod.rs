//! Performs the reducer's reads and writes of the store.
//!
//! One thread reads the shared records (registrations and home weights) at a fixed interval,
//! another one performs the effects that the reducer sends, in order. Both report the
//! results to the reducer as events, so a slow store does not delay calls.

mod reader;
mod writer;

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::{self, JoinHandle};

use crossbeam::channel::{Sender, bounded, unbounded};
use eyre::WrapErr;
use jayreel_fleet::{FleetEffect, FleetEvent, Input};
use jayreel_model::Incarnation;
use jayreel_store::{ConfigurationFeed, Registration, Store};

use crate::clock::Clock;
use crate::peer_link::PeerSender;
use crate::shell::RunnerEvent;
use crate::store_link::reader::StoreReader;

/// What both threads need to use the store and to report to the reducer.
#[derive(Clone)]
struct Context {
    clock: Clock,
    store: Arc<dyn Store>,
    events: Sender<RunnerEvent>,
}

impl Context {
    fn send(&self, event: FleetEvent) {
        // The runner outlives these threads, so this fails only after a panic in the runner.
        let _ = self.events.send(RunnerEvent::Reducer(Input::Fleet(event)));
    }
}

/// Handle of the two threads that use the store for the reducer.
pub(crate) struct StoreLink {
    effects: Sender<FleetEffect>,
    /// Makes the reader read at once.
    read_requests: Sender<()>,
    /// Makes the reader end.
    stopped: Arc<AtomicBool>,
    reader: JoinHandle<()>,
    writer: JoinHandle<()>,
}

impl StoreLink {
    /// Starts the threads.
    ///
    /// # Errors
    ///
    /// If a thread cannot be started.
    pub(crate) fn start(
        clock: Clock,
        store: Arc<dyn Store>,
        registration: Arc<Registration>,
        feed: Arc<ConfigurationFeed>,
        peers: PeerSender,
        own: Incarnation,
        events: Sender<RunnerEvent>,
    ) -> eyre::Result<StoreLink> {
        let context = Context {
            clock,
            store,
            events,
        };
        let (effects, queued_effects) = unbounded();
        let (read_requests, requested_reads) = bounded(1);
        let stopped = Arc::new(AtomicBool::new(false));
        let reader = StoreReader {
            context: context.clone(),
            registration,
            feed,
            peers,
            own: own.clone(),
            stopped: Arc::clone(&stopped),
            last_renewal_ms: None,
            last_registered: Vec::new(),
        };
        let reader = thread::Builder::new()
            .name("store-reader".to_string())
            .spawn(move || reader.run(&requested_reads))
            .wrap_err("cannot start the store reader")?;
        let writer = thread::Builder::new()
            .name("store-writer".to_string())
            .spawn(move || writer::run(&context, &own, &queued_effects))
            .wrap_err("cannot start the store writer")?;
        Ok(StoreLink {
            effects,
            read_requests,
            stopped,
            reader,
            writer,
        })
    }

    /// Queue into which the runner puts the effects that concern the store.
    pub(crate) fn effects(&self) -> Sender<FleetEffect> {
        self.effects.clone()
    }

    /// Requests an early read of the registrations. Used when a message is addressed to a
    /// peer whose address is not known yet.
    pub(crate) fn read_requests(&self) -> Sender<()> {
        self.read_requests.clone()
    }

    /// Ends the threads. Blocks for at most the timeout of one store request. The runner must
    /// have ended, since the writer runs until all senders of effects are dropped.
    pub(crate) fn close(self) {
        drop(self.effects);
        self.stopped.store(true, Ordering::SeqCst);
        let _ = self.read_requests.try_send(());
        let _ = self.reader.join();
        let _ = self.writer.join();
    }
}
