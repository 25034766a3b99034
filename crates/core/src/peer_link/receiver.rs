//! Takes what peers send.

use std::sync::Arc;
use std::thread;

use crossbeam::channel::{Receiver, Sender};
use eyre::WrapErr;
use jayreel_fleet::{FleetEvent, Input};
use jayreel_peer::{Inbound, MessageBody, PeerFailureKind};
use jayreel_scheduler::Event;
use jayreel_store::ConfigurationFeed;

use crate::clock::Clock;
use crate::peer_link::PeerSender;
use crate::peer_link::codec::decode;
use crate::peer_link::discovery::Discovery;
use crate::peer_link::snapshots::Snapshots;
use crate::shell::{CallTable, RunnerEvent, forwarded_request_id, insert_forwarded_call};

/// Starts the thread that takes what peers send. It ends with the process, since it holds
/// the network whose messages it takes.
///
/// # Errors
///
/// If the thread cannot be started.
pub(crate) fn receive(
    clock: Clock,
    inbound: Receiver<Inbound>,
    sender: PeerSender,
    feed: Arc<ConfigurationFeed>,
    calls: Arc<CallTable>,
    events: Sender<RunnerEvent>,
    read_now: Sender<()>,
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
        read_now,
    };
    thread::Builder::new()
        .name("peer-inbound".to_string())
        .spawn(move || {
            for arrived in inbound {
                receiver.take(arrived);
            }
        })
        .wrap_err("cannot start the thread for peers")?;
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
    /// Asks for a read of the registrations.
    read_now: Sender<()>,
}

impl PeerReceiver {
    fn take(&self, arrived: Inbound) {
        match arrived {
            Inbound::Forwarded {
                id,
                from,
                call,
                answer,
            } => {
                let now_ms = self.clock.now_ms();
                match insert_forwarded_call(id, &call, answer, &self.calls, now_ms) {
                    Ok(facts) => self.schedule(Event::CallArrived(Box::new(facts))),
                    Err(error) => {
                        log::warn!("event=bad_forward from={from} error={error}");
                    }
                }
            }
            Inbound::ForwardCancelled { id } => {
                self.schedule(Event::CallerGone {
                    request_id: forwarded_request_id(id),
                });
            }
            Inbound::Discovered {
                address,
                incarnation,
            } => {
                log::info!("event=seed_answered address={address} peer={incarnation}");
                self.discovery.found(vec![(incarnation.instance, address)]);
            }
            Inbound::Message { from, message } => self.message(from, message.body),
            Inbound::SendFailed { failure, .. }
                if failure.kind == PeerFailureKind::UnknownPeer =>
            {
                // A request that already waits is enough.
                let _ = self.read_now.try_send(());
            }
            Inbound::SendFailed { to, failure, .. } => {
                log::debug!("event=peer_send_failed to={to} error={failure:?}");
            }
        }
    }

    fn message(&self, from: String, body: MessageBody) {
        match body {
            MessageBody::Peers { peers } => self.discovery.found(peers),
            MessageBody::PeersRequest => self.discovery.answer(&from),
            MessageBody::Snapshot { body, .. } => self.snapshots.take(&from, &body),
            MessageBody::SnapshotRequest {
                newer_than_revision,
            } => {
                self.snapshots.give(&from, newer_than_revision);
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
            body => self.fleet_message(from, body),
        }
    }

    fn fleet_message(&self, from: String, body: MessageBody) {
        if let MessageBody::Heartbeat(heartbeat)
        | MessageBody::HeartbeatAnswer(heartbeat) = &body
        {
            self.note_heartbeat(&from, heartbeat);
        }
        if matches!(body, MessageBody::HeartbeatAnswer(_)) {
            self.discovery.ask(&from);
        }
        match decode(body) {
            Ok(message) => {
                let event = FleetEvent::PeerMessage { from, message };
                let _ = self.events.send(RunnerEvent::Reducer(Input::Fleet(event)));
            }
            Err(error) => log::warn!("event=bad_message from={from} error={error}"),
        }
    }

    fn note_heartbeat(&self, from: &str, heartbeat: &jayreel_peer::Heartbeat) {
        if let Ok(address) = heartbeat.peer_address.parse() {
            self.sender
                .heard_address(self.clock.now_ms(), from, address);
        }
        self.snapshots.note_heartbeat(from, heartbeat);
    }

    fn schedule(&self, event: Event) {
        let _ = self
            .events
            .send(RunnerEvent::Reducer(Input::Schedule(event)));
    }
}
