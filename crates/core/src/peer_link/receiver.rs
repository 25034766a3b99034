//! Handles messages, forwarded calls and events of the peer network.

use std::sync::Arc;
use std::thread;

use crossbeam::channel::{Receiver, Sender};
use eyre::WrapErr;
use jayreel_fleet::{FleetEvent, Input};
use jayreel_peer::{MessageBody, PeerEvent, PeerFailureKind};
use jayreel_scheduler::Event;
use jayreel_store::ConfigurationFeed;

use crate::clock::Clock;
use crate::peer_link::PeerSender;
use crate::peer_link::codec::decode;
use crate::peer_link::discovery::Discovery;
use crate::peer_link::snapshots::Snapshots;
use crate::shell::{CallTable, RunnerEvent, forwarded_request_id, insert_forwarded_call};

/// Starts the thread that handles what arrives from peers. It ends only with the process: it
/// holds the network itself, so the channel of the network's events never closes.
///
/// # Errors
///
/// If the thread cannot be started.
pub(crate) fn start_receiver(
    clock: Clock,
    inbound: Receiver<PeerEvent>,
    sender: PeerSender,
    feed: Arc<ConfigurationFeed>,
    calls: Arc<CallTable>,
    events: Sender<RunnerEvent>,
    read_requests: Sender<()>,
) -> eyre::Result<()> {
    let discovery = Discovery::new(clock, sender.clone(), events.clone());
    let snapshots = Snapshots::new(clock, sender.clone(), feed.clone(), events.clone());
    let receiver = PeerReceiver {
        discovery,
        snapshots,
        clock,
        sender,
        feed,
        calls,
        events,
        read_requests,
    };
    thread::Builder::new()
        .name("peer-inbound".to_string())
        .spawn(move || {
            for event in inbound {
                receiver.handle(event);
            }
        })
        .wrap_err("cannot start the peer receiver thread")?;
    Ok(())
}

struct PeerReceiver {
    discovery: Discovery,
    snapshots: Snapshots,
    clock: Clock,
    sender: PeerSender,
    feed: Arc<ConfigurationFeed>,
    calls: Arc<CallTable>,
    events: Sender<RunnerEvent>,
    /// Requests an early read of the registrations from the store reader.
    read_requests: Sender<()>,
}

impl PeerReceiver {
    fn handle(&self, event: PeerEvent) {
        match event {
            PeerEvent::Forwarded {
                id,
                from,
                call,
                response,
            } => {
                let now_ms = self.clock.now_ms();
                match insert_forwarded_call(id, &call, response, &self.calls, now_ms) {
                    Ok(arrived) => self.schedule(Event::CallArrived(Box::new(arrived))),
                    Err(error) => {
                        log::warn!("event=bad_forward from={from} error={error}");
                    }
                }
            }
            PeerEvent::ForwardCancelled { id } => {
                self.schedule(Event::CallerGone {
                    request_id: forwarded_request_id(id),
                });
            }
            PeerEvent::Discovered {
                address,
                incarnation,
            } => {
                log::info!("event=seed_answered address={address} peer={incarnation}");
                self.discovery
                    .add_peers(vec![(incarnation.instance, address)]);
            }
            PeerEvent::Message { from, message } => {
                self.handle_message(from, message.body)
            }
            PeerEvent::SendFailed { failure, .. }
                if failure.kind == PeerFailureKind::UnknownPeer =>
            {
                // Fails if a request is already queued, which is then enough.
                let _ = self.read_requests.try_send(());
            }
            PeerEvent::SendFailed { to, failure, .. } => {
                log::debug!("event=peer_send_failed to={to} error={failure:?}");
            }
        }
    }

    fn handle_message(&self, from: String, body: MessageBody) {
        match body {
            MessageBody::Peers { peers } => self.discovery.add_peers(peers),
            MessageBody::PeersRequest => self.discovery.send_peers(&from),
            MessageBody::Snapshot { body, .. } => self.snapshots.apply(&from, &body),
            MessageBody::SnapshotRequest {
                newer_than_revision,
            } => {
                self.snapshots.send(&from, newer_than_revision);
            }
            MessageBody::Withdrawals { keys } => {
                for key in keys {
                    self.feed.withdraw(key);
                    self.schedule(Event::KeyWithdrawn { key });
                }
                self.sender
                    .send_body(&from, MessageBody::WithdrawalsApplied);
            }
            MessageBody::WithdrawalsApplied => {}
            body => self.handle_fleet_message(from, body),
        }
    }

    /// Passes a message to the reducer. A heartbeat is also evaluated here: it carries the
    /// peer's address and the revision of its configuration.
    fn handle_fleet_message(&self, from: String, body: MessageBody) {
        if let MessageBody::Heartbeat(heartbeat)
        | MessageBody::HeartbeatAnswer(heartbeat) = &body
        {
            self.observe_heartbeat(&from, heartbeat);
        }
        if matches!(body, MessageBody::HeartbeatAnswer(_)) {
            self.discovery.request_peers(&from);
        }
        match decode(body) {
            Ok(message) => {
                let event = FleetEvent::PeerMessage { from, message };
                let _ = self.events.send(RunnerEvent::Reducer(Input::Fleet(event)));
            }
            Err(error) => log::warn!("event=bad_message from={from} error={error}"),
        }
    }

    fn observe_heartbeat(&self, from: &str, heartbeat: &jayreel_peer::Heartbeat) {
        if let Ok(address) = heartbeat.peer_address.parse() {
            self.sender
                .record_heartbeat_address(self.clock.now_ms(), from, address);
        }
        self.snapshots.observe_heartbeat(from, heartbeat);
    }

    fn schedule(&self, event: Event) {
        let _ = self
            .events
            .send(RunnerEvent::Reducer(Input::Schedule(event)));
    }
}
