//! Networks and a relay for tests.
#![allow(dead_code)]

pub mod relay;

use std::collections::BTreeMap;
use std::net::{SocketAddr, TcpListener};
use std::time::Duration;

use crossbeam::channel::Receiver;
use jayreel_model::Incarnation;
use jayreel_peer::{
    FleetSecret, ForwardId, ForwardedCall, ForwardedResponse, MessageBody, PeerConfig,
    PeerDeadlines, PeerEvent, PeerFailure, PeerMessage, PeerNetwork, ResponsePart,
    ResponseSender, TcpPeerNetwork,
};

/// Generous, since other programs use the machine.
pub const LIMIT: Duration = Duration::from_secs(60);

pub const DEADLINES: PeerDeadlines = PeerDeadlines {
    connect_ms: 2_000,
    call_ms: 2_000,
    ping_interval_ms: 50,
    silence_ms: 3_000,
    write_ms: 10_000,
    progress_ms: 20_000,
};

pub struct Instance {
    pub network: TcpPeerNetwork,
    pub events: Receiver<PeerEvent>,
}

impl Instance {
    pub fn start(own: &str) -> Instance {
        Instance::start_with(own, "fleet", DEADLINES)
    }

    pub fn start_with(own: &str, secret: &str, deadlines: PeerDeadlines) -> Instance {
        let config = PeerConfig {
            own: incarnation(own),
            listener: TcpListener::bind("127.0.0.1:0").expect("a free port"),
            secret: FleetSecret::derive(secret),
            deadlines,
        };
        let (network, events) = TcpPeerNetwork::start(config).expect("started");
        Instance { network, events }
    }

    pub fn address(&self) -> SocketAddr {
        self.network.local_address()
    }

    pub fn knows(&self, name: &str, address: SocketAddr) {
        self.network
            .set_peers(BTreeMap::from([(name.to_string(), address)]));
    }

    pub fn event(&self) -> PeerEvent {
        self.events
            .recv_timeout(LIMIT)
            .expect("an event within the limit")
    }

    pub fn message(&self) -> (String, PeerMessage) {
        match self.event() {
            PeerEvent::Message { from, message } => (from, message),
            other => panic!("expected a message, got {other:?}"),
        }
    }

    pub fn send_failure(&self) -> (u64, PeerFailure) {
        match self.event() {
            PeerEvent::SendFailed { id, failure, .. } => (id, failure),
            other => panic!("expected a failed message, got {other:?}"),
        }
    }

    pub fn forwarded(&self) -> (ForwardId, ForwardedCall, ResponseSender) {
        match self.event() {
            PeerEvent::Forwarded {
                id, call, response, ..
            } => (id, *call, response),
            other => panic!("expected a call, got {other:?}"),
        }
    }

    pub fn cancelled(&self) -> ForwardId {
        match self.event() {
            PeerEvent::ForwardCancelled { id } => id,
            other => panic!("expected a cancellation, got {other:?}"),
        }
    }
}

/// Two instances that know each other.
pub fn pair() -> (Instance, Instance) {
    let (a, b) = (Instance::start("a.1"), Instance::start("b.1"));
    a.knows("b", b.address());
    b.knows("a", a.address());
    (a, b)
}

pub fn incarnation(text: &str) -> Incarnation {
    text.parse().expect("an incarnation")
}

pub fn message(id: u64) -> PeerMessage {
    PeerMessage {
        id,
        reply_to: None,
        body: MessageBody::HandoverTaken,
    }
}

pub fn call() -> ForwardedCall {
    ForwardedCall {
        method: "POST".to_string(),
        path: "/files?x=1".to_string(),
        headers: vec![("content-type".to_string(), "text/plain".to_string())],
        body: b"body".to_vec(),
        facts: b"{}".to_vec(),
    }
}

/// The failure that ends an answer.
pub fn failure(answer: &mut ForwardedResponse) -> PeerFailure {
    loop {
        match answer.next_part() {
            Some(ResponsePart::Failed(failure)) => return failure,
            Some(ResponsePart::Head(_) | ResponsePart::Chunk(_)) => {}
            other => panic!("expected a failure, got {other:?}"),
        }
    }
}
