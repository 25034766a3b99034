//! Carries the fleet step's reads and writes to the store.
//!
//! One thread reads what all instances share at a fixed interval, another one carries out
//! the reducer's requests in order. Neither holds up calls.

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
use crate::store_link::reader::Reader;

/// What the store threads share.
#[derive(Clone)]
struct Context {
    clock: Clock,
    store: Arc<dyn Store>,
    events: Sender<RunnerEvent>,
}

impl Context {
    fn send(&self, event: FleetEvent) {
        // The runner outlives these threads, so this fails only after a panic there.
        let _ = self.events.send(RunnerEvent::Reducer(Input::Fleet(event)));
    }
}

/// The threads that talk to the store for the fleet step.
pub(crate) struct StoreLink {
    effects: Sender<FleetEffect>,
    read_now: Sender<()>,
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
        let (effects, inbox) = unbounded();
        let (read_now, requests) = bounded(1);
        let stopped = Arc::new(AtomicBool::new(false));
        let reader = Reader {
            context: context.clone(),
            registration,
            feed,
            peers,
            own: own.clone(),
            stopped: Arc::clone(&stopped),
            renewed_at_ms: None,
        };
        let reader = thread::Builder::new()
            .name("store-reader".to_string())
            .spawn(move || reader.run(&requests))
            .wrap_err("cannot start the store reader")?;
        let writer = thread::Builder::new()
            .name("store-writer".to_string())
            .spawn(move || writer::run(&context, &own, &inbox))
            .wrap_err("cannot start the store writer")?;
        Ok(StoreLink {
            effects,
            read_now,
            stopped,
            reader,
            writer,
        })
    }

    /// Where the runner sends effects for the store.
    pub(crate) fn effects(&self) -> Sender<FleetEffect> {
        self.effects.clone()
    }

    /// Asks for a read of the registrations, because a peer is not known yet.
    pub(crate) fn read_now(&self) -> Sender<()> {
        self.read_now.clone()
    }

    /// Ends the threads, at most one store deadline later. The runner must have ended.
    pub(crate) fn close(self) {
        drop(self.effects);
        self.stopped.store(true, Ordering::SeqCst);
        let _ = self.read_now.try_send(());
        let _ = self.reader.join();
        let _ = self.writer.join();
    }
}
