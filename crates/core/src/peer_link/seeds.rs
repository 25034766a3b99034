//! Polls the seed addresses in the settings until the registrations are read from the store.
//!
//! Lets an instance that starts while the store is down find the fleet.

use std::net::SocketAddr;
use std::sync::Arc;
use std::thread::{self, JoinHandle};
use std::time::Duration;

use crossbeam::channel::{Receiver, RecvTimeoutError, Sender, bounded};
use eyre::WrapErr;
use jayreel_store::ConfigurationFeed;

use crate::peer_link::PeerSender;

/// Polling interval while the instance has no configuration.
const UNCONFIGURED_INTERVAL: Duration = Duration::from_secs(1);

/// Polling interval afterwards. Polling goes on because it finds the fleet again after a
/// partition in which both sides have discarded each other's addresses.
const CONFIGURED_INTERVAL: Duration = Duration::from_secs(5);

/// Handle of the polling thread.
pub(crate) struct SeedPoller {
    /// Dropped to end the thread.
    stop: Sender<()>,
    thread: JoinHandle<()>,
}

impl SeedPoller {
    /// Starts the thread. It polls at once and then at an interval, and ends when the
    /// registrations are read for the first time. Without seeds it ends at once.
    ///
    /// # Errors
    ///
    /// If the thread cannot be started.
    pub(crate) fn start(
        seeds: Vec<SocketAddr>,
        sender: PeerSender,
        feed: Arc<ConfigurationFeed>,
    ) -> eyre::Result<SeedPoller> {
        let (stop, stopped) = bounded(1);
        let thread = thread::Builder::new()
            .name("seeds".to_string())
            .spawn(move || run(&seeds, &sender, &feed, &stopped))
            .wrap_err("cannot start the thread that polls the seeds")?;
        Ok(SeedPoller { stop, thread })
    }

    /// Ends the thread and waits for it.
    pub(crate) fn close(self) {
        drop(self.stop);
        let _ = self.thread.join();
    }
}

fn run(
    seeds: &[SocketAddr],
    sender: &PeerSender,
    feed: &ConfigurationFeed,
    stopped: &Receiver<()>,
) {
    while !seeds.is_empty() && !sender.has_registered() {
        seeds.iter().for_each(|seed| sender.discover(*seed));
        let interval = match feed.current() {
            None => UNCONFIGURED_INTERVAL,
            Some(_) => CONFIGURED_INTERVAL,
        };
        if stopped.recv_timeout(interval) != Err(RecvTimeoutError::Timeout) {
            return;
        }
    }
}
