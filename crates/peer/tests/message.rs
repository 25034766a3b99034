//! Guards against messages that are changed, duplicated or accepted from instances outside the
//! fleet, and against failed sends that are not reported.

mod support;

use std::io::{ErrorKind, Read};
use std::net::{TcpListener, TcpStream};
use std::thread;
use std::time::Duration;

use jayreel_model::KeyHash;
use jayreel_peer::{
    Heartbeat, HeartbeatState, MessageBody, PeerEvent, PeerFailureKind, PeerMessage,
    PeerNetwork, Reached,
};
use support::relay::Relay;
use support::{DEADLINES, EVENT_TIMEOUT, Instance, incarnation, message, start_pair};
use test_case::test_case;

/// Maximum number of messages that a test sends until one is delivered.
const MAX_ATTEMPTS: u64 = 20;

fn heartbeat(state: HeartbeatState, store_contact_age_ms: Option<u64>) -> Heartbeat {
    Heartbeat {
        incarnation: incarnation("a.1"),
        availability_zone: "zone-a".to_string(),
        config_revision: u64::MAX,
        store_contact_age_ms,
        state,
        running_calls: 3,
        waiting_calls: u32::MAX,
        peer_address: "127.0.0.1:8082".to_string(),
    }
}

/// At least one body of each variant but `Takeover`, with edge cases of the encoding.
fn bodies() -> Vec<MessageBody> {
    let customer = "acme".to_string();
    let body = vec![0, 255, 1];
    let tags = vec!["a.1/7".to_string(), String::new()];
    vec![
        MessageBody::Heartbeat(heartbeat(HeartbeatState::Serving, Some(0))),
        MessageBody::Heartbeat(heartbeat(HeartbeatState::Starting, None)),
        MessageBody::HeartbeatAnswer(heartbeat(HeartbeatState::Leaving, Some(9))),
        MessageBody::LoanRequest {
            customer: customer.clone(),
            body: body.clone(),
        },
        MessageBody::LoanGrant {
            customer: customer.clone(),
            body: body.clone(),
        },
        MessageBody::LoanReturn {
            customer,
            body: body.clone(),
        },
        MessageBody::Withdrawals {
            keys: vec![KeyHash::of_key("k"), KeyHash([0; 32])],
        },
        MessageBody::WithdrawalsApplied,
        MessageBody::SnapshotRequest {
            newer_than_revision: 41,
        },
        MessageBody::Snapshot {
            revision: 42,
            body: vec![7; 3_000_000],
        },
        MessageBody::CacheTagQuery { tags: tags.clone() },
        MessageBody::CacheTagsOwned { tags },
        MessageBody::Handover {
            from: incarnation("a.1"),
            body,
        },
        MessageBody::HandoverTaken,
        MessageBody::KeyedHandover {
            from: incarnation("a.1"),
            body: vec![0, 255],
        },
        MessageBody::KeyedHandoverTaken { part: u32::MAX },
        MessageBody::PeersRequest,
        MessageBody::Peers {
            peers: vec![
                ("b".to_string(), "10.0.0.1:8082".parse().unwrap()),
                ("c".to_string(), "[::1]:1".parse().unwrap()),
            ],
        },
    ]
}

#[test]
fn each_message_arrives_unchanged_and_once() {
    let (a, b) = start_pair();
    for (id, body) in (1..).zip(bodies()) {
        let reply_to = (id % 2 == 0).then_some(id + 100);
        let sent = PeerMessage { id, reply_to, body };
        a.network.send("b", sent.clone());
        assert_eq!(b.next_message(), ("a".to_string(), sent));
    }
    b.network.send("a", message(1));
    assert_eq!(a.next_message(), ("b".to_string(), message(1)));
    assert!(b.events.is_empty());
}

/// Guards against seed addresses that are not resolved to an instance, and against an instance
/// of another fleet that is accepted as a peer.
#[test]
fn discovery_finds_only_instances_of_the_fleet() {
    let a = Instance::start("a.1");
    let outsider = Instance::start_with("c.1", "another fleet", DEADLINES);
    let b = Instance::start("b.7");
    a.network.discover(outsider.address());
    a.network.discover(b.address());
    match a.next_event() {
        PeerEvent::Discovered {
            address,
            incarnation: found,
        } => assert_eq!((address, found), (b.address(), incarnation("b.7"))),
        other => panic!("expected a discovery, got {other:?}"),
    }
    let more = a.events.recv_timeout(Duration::from_millis(300));
    assert!(
        more.is_err(),
        "an instance of another fleet was taken for a peer: {more:?}"
    );
}

#[test]
fn dialer_rejects_a_peer_with_another_secret() {
    let a = Instance::start("a.1");
    let b = Instance::start_with("b.1", "another fleet", DEADLINES);
    a.set_only_peer("b", b.address());
    a.network.send("b", message(5));
    let (id, failure) = a.next_send_failure();
    assert_eq!((id, failure.kind), (5, PeerFailureKind::Authentication));
    assert_eq!(failure.reached, Reached::No);
    assert!(b.events.is_empty());
}

#[test]
fn dialer_rejects_a_peer_with_another_name() {
    let (a, c) = (Instance::start("a.1"), Instance::start("c.1"));
    a.set_only_peer("b", c.address());
    a.network.send("b", message(1));
    assert_eq!(
        a.next_send_failure().1.kind,
        PeerFailureKind::Authentication
    );
}

#[test]
fn unknown_or_absent_peer_is_reported_as_not_reached() {
    let a = Instance::start("a.1");
    a.network.send("b", message(1));
    let (_, failure) = a.next_send_failure();
    assert_eq!(
        (failure.kind, failure.reached),
        (PeerFailureKind::UnknownPeer, Reached::No)
    );
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("bound");
    drop(listener);
    a.set_only_peer("b", address);
    a.network.send("b", message(2));
    let (_, failure) = a.next_send_failure();
    assert_eq!(failure.reached, Reached::No);
}

#[test]
fn silent_connection_is_detected_and_replaced() {
    let (a, b) = (Instance::start("a.1"), Instance::start("b.1"));
    let relay = Relay::start(b.address());
    a.set_only_peer("b", relay.address());
    a.network.send("b", message(1));
    assert_eq!(b.next_message().1.id, 1);
    relay.freeze();
    a.network.send("b", message(2));
    // The confirmation of the first message may be lost too, which reports it as failed.
    while a.next_send_failure().0 != 2 {}
    // The relay dropped the second message, so it may arrive only if it was sent again.
    assert!(
        send_until_delivered(&a, &b, 3).is_empty(),
        "a message was sent again"
    );
    assert!(relay.accepted() > 1);
}

/// Sends messages with ascending ids until one is delivered. Returns the ids below `first_id`
/// of messages that arrived before.
fn send_until_delivered(a: &Instance, b: &Instance, first_id: u64) -> Vec<u64> {
    let mut older = Vec::new();
    for id in first_id..first_id + MAX_ATTEMPTS {
        a.network.send("b", message(id));
        crossbeam::channel::select! {
            recv(b.events) -> event => match event.expect("b runs") {
                PeerEvent::Message { message, .. } if message.id >= first_id => return older,
                // Sent on the previous connection, which lost its confirmation.
                PeerEvent::Message { message, .. } => older.push(message.id),
                other => panic!("expected a message, got {other:?}"),
            },
            // The message may have been sent on the previous connection.
            recv(a.events) -> event => {
                drop(event.expect("a runs"));
                thread::sleep(Duration::from_millis(50));
            }
            default(EVENT_TIMEOUT) => {
                panic!("the message was neither delivered nor reported as failed")
            }
        }
    }
    panic!("no message was delivered");
}

#[test]
fn closed_connection_is_replaced() {
    let (a, b) = (Instance::start("a.1"), Instance::start("b.1"));
    let relay = Relay::start(b.address());
    a.set_only_peer("b", relay.address());
    for round in 1..4 {
        let first_id = round * 1_000_000;
        send_until_delivered(&a, &b, first_id);
        relay.close_connections();
    }
}

#[test]
fn peer_that_accepts_but_never_replies_is_not_reached() {
    let (a, b) = (Instance::start("a.1"), Instance::start("b.1"));
    let relay = Relay::start(b.address());
    relay.freeze_new(true);
    a.set_only_peer("b", relay.address());
    a.network.send("b", message(1));
    let (_, failure) = a.next_send_failure();
    assert_eq!(
        (failure.kind, failure.reached),
        (PeerFailureKind::Timeout, Reached::No)
    );
}

#[test]
fn connection_without_authentication_is_closed() {
    let b = Instance::start("b.1");
    let mut stream = TcpStream::connect(b.address()).expect("connected");
    stream
        .set_read_timeout(Some(EVENT_TIMEOUT))
        .expect("a timeout");
    let mut byte = [0];
    match stream.read(&mut byte) {
        Ok(count) => assert_eq!(count, 0, "an unauthenticated client was sent data"),
        Err(err) => assert_eq!(err.kind(), ErrorKind::ConnectionReset),
    }
}

#[test_case(b"\xff\xff\xff\xff\xff\xff\xff\xff" as &[u8]; "too many segments")]
#[test_case(b"GET / HTTP/1.1\r\n\r\n" as &[u8]; "HTTP request")]
fn malformed_input_does_not_stop_the_network(bytes: &[u8]) {
    let (a, b) = start_pair();
    let mut stream = TcpStream::connect(b.address()).expect("connected");
    std::io::Write::write_all(&mut stream, bytes).expect("written");
    a.network.send("b", message(1));
    assert_eq!(b.next_message().1.id, 1);
}

#[test]
fn close_waits_for_the_last_message() {
    let (a, b) = start_pair();
    let last = PeerMessage {
        id: 1,
        reply_to: None,
        body: MessageBody::Handover {
            from: incarnation("a.1"),
            body: vec![1; 2_000_000],
        },
    };
    a.network.send("b", last.clone());
    a.network.close();
    assert_eq!(b.next_message().1, last);
    assert!(
        a.events.is_empty(),
        "the confirmed message was reported as failed"
    );
}
