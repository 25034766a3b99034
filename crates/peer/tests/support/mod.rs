//! Peer networks with their event channels, a TCP relay, and sample messages and calls.
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

/// Maximum wait for an event. Far above the timeouts under test, since other programs may use
/// the machine at the same time.
pub const EVENT_TIMEOUT: Duration = Duration::from_secs(60);

/// Short pings, so that tests of silent connections finish soon.
pub const DEADLINES: PeerDeadlines = PeerDeadlines {
    connect_ms: 2_000,
    call_ms: 2_000,
    ping_interval_ms: 50,
    silence_ms: 3_000,
    write_ms: 10_000,
    progress_ms: 20_000,
};

/// The peer network of one instance and the events that it emitted.
pub struct Instance {
    pub network: TcpPeerNetwork,
    pub events: Receiver<PeerEvent>,
}

impl Instance {
    /// Starts an instance with the usual secret and timeouts. `own` is its incarnation.
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

    /// Makes one peer the only known one.
    pub fn set_only_peer(&self, name: &str, address: SocketAddr) {
        self.network
            .set_peers(BTreeMap::from([(name.to_string(), address)]));
    }

    /// Waits for the next event.
    pub fn next_event(&self) -> PeerEvent {
        self.events
            .recv_timeout(EVENT_TIMEOUT)
            .expect("an event within the limit")
    }

    /// The sender and the content of the next event, which must be a message.
    pub fn next_message(&self) -> (String, PeerMessage) {
        match self.next_event() {
            PeerEvent::Message { from, message } => (from, message),
            other => panic!("expected a message, got {other:?}"),
        }
    }

    /// The message id and the error of the next event, which must be a failed send.
    pub fn next_send_failure(&self) -> (u64, PeerFailure) {
        match self.next_event() {
            PeerEvent::SendFailed { id, failure, .. } => (id, failure),
            other => panic!("expected a failed message, got {other:?}"),
        }
    }

    /// The next event, which must be a forwarded call.
    pub fn next_forwarded(&self) -> (ForwardId, ForwardedCall, ResponseSender) {
        match self.next_event() {
            PeerEvent::Forwarded {
                id, call, response, ..
            } => (id, *call, response),
            other => panic!("expected a call, got {other:?}"),
        }
    }

    /// The id in the next event, which must be a cancellation.
    pub fn next_cancelled(&self) -> ForwardId {
        match self.next_event() {
            PeerEvent::ForwardCancelled { id } => id,
            other => panic!("expected a cancellation, got {other:?}"),
        }
    }
}

/// Instances `a` and `b` that know each other's address.
pub fn start_pair() -> (Instance, Instance) {
    let (a, b) = (Instance::start("a.1"), Instance::start("b.1"));
    a.set_only_peer("b", b.address());
    b.set_only_peer("a", a.address());
    (a, b)
}

pub fn incarnation(text: &str) -> Incarnation {
    text.parse().expect("an incarnation")
}

/// A message without a body.
pub fn message(id: u64) -> PeerMessage {
    PeerMessage {
        id,
        reply_to: None,
        body: MessageBody::HandoverTaken,
    }
}

/// A call with a query, a header and a body.
pub fn call() -> ForwardedCall {
    ForwardedCall {
        method: "POST".to_string(),
        path: "/files?x=1".to_string(),
        headers: vec![("content-type".to_string(), "text/plain".to_string())],
        body: b"body".to_vec(),
        params: b"{}".to_vec(),
    }
}

/// Reads a response up to the failure that must end it.
pub fn read_failure(response: &mut ForwardedResponse) -> PeerFailure {
    loop {
        match response.next_part() {
            Some(ResponsePart::Failed(failure)) => return failure,
            Some(ResponsePart::Head(_) | ResponsePart::Chunk(_)) => {}
            other => panic!("expected a failure, got {other:?}"),
        }
    }
}
