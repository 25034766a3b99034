//! Messages to and from peers.

use std::collections::BTreeMap;

use jayreel_membership::{Heartbeat, InstanceState};
use jayreel_model::Incarnation;

use crate::event::{FleetEffect, PeerMessage, RegisteredInstance};
use crate::fleet::Fleet;

impl Fleet {
    /// Applies a message of a peer.
    pub(crate) fn peer_message(
        &mut self,
        now_ms: u64,
        from: String,
        message: PeerMessage,
    ) {
        match message {
            PeerMessage::CacheTagsOwned(owned) => self.tags_owned(&from, &owned),
            PeerMessage::CacheTagQuery(tags) => {
                let owned = self.owned_tags(now_ms, tags);
                self.send(from, PeerMessage::CacheTagsOwned(owned));
            }
            PeerMessage::Handover(handover) => {
                self.take_handover(now_ms, *handover);
                self.send(from, PeerMessage::HandoverTaken);
            }
            PeerMessage::HandoverTaken => self.part_taken(now_ms),
            PeerMessage::Heartbeat(heartbeat) => {
                self.membership.record_heartbeat(now_ms, &heartbeat);
                let answer = self.heartbeat();
                self.send(from, PeerMessage::HeartbeatAnswer(answer));
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
                self.keyed_part_taken(now_ms, &from, part);
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
            PeerMessage::Takeover { of, record } => self.takeover_told(of, &record),
        }
    }

    /// Takes note of the registrations.
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
        let staying = registered.iter().filter(|entry| !entry.leaving);
        let by_name: BTreeMap<String, Incarnation> = staying
            .map(|entry| {
                (
                    entry.incarnation.instance.clone(),
                    entry.incarnation.clone(),
                )
            })
            .collect();
        self.home_registrations(sent_at_ms, by_name);
    }

    /// Sends the heartbeats that are due.
    pub(crate) fn send_heartbeats(&mut self, now_ms: u64) {
        for peer in self.membership.due_heartbeats(now_ms) {
            let heartbeat = self.heartbeat();
            self.send(peer, PeerMessage::Heartbeat(heartbeat));
        }
    }

    /// Sends a first heartbeat to peers that were found without the store. They learn this
    /// process from it, and their answers tell which processes they are.
    pub(crate) fn greet(&mut self, names: Vec<String>) {
        for name in names {
            if self.membership.incarnation(&name).is_none() {
                let heartbeat = self.heartbeat();
                self.send(name, PeerMessage::Heartbeat(heartbeat));
            }
        }
    }

    /// Names of peers that may lend, own availability zone first.
    pub(crate) fn lenders(&self) -> Vec<String> {
        self.membership.live_peers(self.last_now_ms)
    }

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
