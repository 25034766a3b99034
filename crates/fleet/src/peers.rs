//! Messages to and from peers, and the registrations that list the peers.

use std::collections::BTreeMap;

use jayreel_membership::{Heartbeat, InstanceState};
use jayreel_model::Incarnation;

use crate::event::{FleetEffect, PeerMessage, RegisteredInstance};
use crate::fleet::FleetState;

impl FleetState {
    /// Applies a message of the peer `from` and sends the reply, if the message has one.
    pub(crate) fn peer_message(
        &mut self,
        now_ms: u64,
        from: String,
        message: PeerMessage,
    ) {
        match message {
            PeerMessage::CacheTagsOwned(owned) => {
                self.release_unowned_tags(&from, &owned)
            }
            PeerMessage::CacheTagQuery(tags) => {
                let owned = self.owned_tags(now_ms, tags);
                self.send(from, PeerMessage::CacheTagsOwned(owned));
            }
            PeerMessage::Handover(handover) => {
                self.import_handover(now_ms, *handover);
                self.send(from, PeerMessage::HandoverTaken);
            }
            PeerMessage::HandoverTaken => self.handover_part_confirmed(now_ms),
            PeerMessage::Heartbeat(heartbeat) => {
                self.membership.record_heartbeat(now_ms, &heartbeat);
                let reply = self.heartbeat();
                self.send(from, PeerMessage::HeartbeatAnswer(reply));
            }
            PeerMessage::HeartbeatAnswer(heartbeat) => {
                self.membership.record_heartbeat(now_ms, &heartbeat);
            }
            PeerMessage::KeyedHandover(handover) => {
                let part = handover.part;
                self.keyed.import(now_ms, *handover);
                self.send(from, PeerMessage::KeyedHandoverTaken { part });
            }
            PeerMessage::KeyedHandoverTaken { part } => {
                self.keyed_part_confirmed(now_ms, &from, part);
            }
            PeerMessage::LoanGrant(grant) => {
                self.quota.receive(now_ms, grant);
            }
            PeerMessage::LoanRequest(request) => {
                let grant = self.quota.lend(now_ms, &request);
                self.send(from, PeerMessage::LoanGrant(grant));
            }
            PeerMessage::LoanReturn(returned) => {
                self.quota.accept_return(now_ms, &returned);
            }
            PeerMessage::Takeover { of, record } => self.takeover_announced(of, &record),
        }
    }

    /// Updates membership and home share with the registrations, as read by a request sent
    /// at `sent_at_ms`. Leaving instances get no home share.
    pub(crate) fn registrations_read(
        &mut self,
        now_ms: u64,
        sent_at_ms: u64,
        registered: Vec<RegisteredInstance>,
    ) {
        let processes: Vec<(Incarnation, String)> = registered
            .iter()
            .map(|entry| (entry.incarnation.clone(), entry.availability_zone.clone()))
            .collect();
        self.membership
            .record_registrations(now_ms, sent_at_ms, &processes);
        let not_leaving = registered.iter().filter(|entry| !entry.leaving);
        let by_name: BTreeMap<String, Incarnation> = not_leaving
            .map(|entry| {
                (
                    entry.incarnation.instance.clone(),
                    entry.incarnation.clone(),
                )
            })
            .collect();
        self.set_home_registrations(sent_at_ms, by_name);
    }

    /// Sends a heartbeat to each peer that is due for one.
    pub(crate) fn send_heartbeats(&mut self, now_ms: u64) {
        for peer in self.membership.due_heartbeats(now_ms) {
            let heartbeat = self.heartbeat();
            self.send(peer, PeerMessage::Heartbeat(heartbeat));
        }
    }

    /// Sends a heartbeat to peers that were discovered without the store and whose
    /// incarnation is not known yet. They learn of this process from the heartbeat, and their
    /// replies carry their incarnations.
    pub(crate) fn send_first_heartbeats(&mut self, names: Vec<String>) {
        for name in names {
            if self.membership.incarnation(&name).is_none() {
                let heartbeat = self.heartbeat();
                self.send(name, PeerMessage::Heartbeat(heartbeat));
            }
        }
    }

    /// Names of the live peers, those in the own availability zone first.
    pub(crate) fn live_peers(&self) -> Vec<String> {
        self.membership.live_peers(self.last_now_ms)
    }

    /// Queues a message to a peer.
    pub(crate) fn send(&mut self, to: String, message: PeerMessage) {
        self.effects.push(FleetEffect::Send { to, message });
    }

    fn heartbeat(&self) -> Heartbeat {
        let revision = self.configuration.as_ref().map(|c| c.revision);
        let state = match revision {
            _ if self.stop.started => InstanceState::Leaving,
            None => InstanceState::Starting,
            Some(_) => InstanceState::Serving,
        };
        Heartbeat {
            incarnation: self.settings.own.clone(),
            availability_zone: self.settings.availability_zone.clone(),
            config_revision: revision.unwrap_or(0),
            store_contact_age_ms: self.contact_age_ms(self.last_now_ms),
            state,
            running_calls: u32::try_from(self.calls.len()).unwrap_or(u32::MAX),
            waiting_calls: self.waiting_calls,
            peer_address: self.settings.peer_address.clone(),
        }
    }
}
