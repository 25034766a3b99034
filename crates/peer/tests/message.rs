//! Guards against messages that arrive changed, twice, or from a stranger, and against a
//! failure that is not reported.

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
use support::{DEADLINES, Instance, LIMIT, incarnation, message, pair};
use test_case::test_case;

/// Attempts at sending a message on a new connection.
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
    let (a, b) = pair();
    for (id, body) in (1..).zip(bodies()) {
        let reply_to = (id % 2 == 0).then_some(id + 100);
        let sent = PeerMessage { id, reply_to, body };
        a.network.send("b", sent.clone());
        assert_eq!(b.message(), ("a".to_string(), sent));
    }
    b.network.send("a", message(1));
    assert_eq!(a.message(), ("b".to_string(), message(1)));
    assert!(b.events.is_empty());
}

/// Guards against a start that cannot tell which instance a seed is, and against taking a
/// stranger for one.
#[test]
fn discovery_names_only_instances_of_the_fleet() {
    let a = Instance::start("a.1");
    let stranger = Instance::start_with("c.1", "another fleet", DEADLINES);
    let b = Instance::start("b.7");
    a.network.discover(stranger.address());
    a.network.discover(b.address());
    match a.event() {
        PeerEvent::Discovered {
            address,
            incarnation: found,
        } => assert_eq!((address, found), (b.address(), incarnation("b.7"))),
        other => panic!("expected a discovery, got {other:?}"),
    }
    let more = a.events.recv_timeout(Duration::from_millis(300));
    assert!(more.is_err(), "the stranger was taken for a peer: {more:?}");
}

#[test]
fn another_secret_is_refused_by_the_dialer() {
    let a = Instance::start("a.1");
    let b = Instance::start_with("b.1", "another fleet", DEADLINES);
    a.knows("b", b.address());
    a.network.send("b", message(5));
    let (id, failure) = a.send_failure();
    assert_eq!((id, failure.kind), (5, PeerFailureKind::Authentication));
    assert_eq!(failure.reached, Reached::No);
    assert!(b.events.is_empty());
}

#[test]
fn a_peer_under_another_name_is_refused() {
    let (a, c) = (Instance::start("a.1"), Instance::start("c.1"));
    a.knows("b", c.address());
    a.network.send("b", message(1));
    assert_eq!(a.send_failure().1.kind, PeerFailureKind::Authentication);
}

#[test]
fn an_unknown_or_absent_peer_is_reported_as_not_reached() {
    let a = Instance::start("a.1");
    a.network.send("b", message(1));
    let (_, failure) = a.send_failure();
    assert_eq!(
        (failure.kind, failure.reached),
        (PeerFailureKind::UnknownPeer, Reached::No)
    );
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("bound");
    drop(listener);
    a.knows("b", address);
    a.network.send("b", message(2));
    let (_, failure) = a.send_failure();
    assert_eq!(failure.reached, Reached::No);
}

#[test]
fn a_silent_connection_is_found_and_replaced() {
    let (a, b) = (Instance::start("a.1"), Instance::start("b.1"));
    let relay = Relay::start(b.address());
    a.knows("b", relay.address());
    a.network.send("b", message(1));
    assert_eq!(b.message().1.id, 1);
    relay.freeze();
    a.network.send("b", message(2));
    // The confirmation of the first message may be lost too.
    while a.send_failure().0 != 2 {}
    // The silent connection lost the second message.
    assert!(
        send_until_delivered(&a, &b, 3).is_empty(),
        "a message was repeated"
    );
    assert!(relay.accepted() > 1);
}

/// Sends messages until one of them is delivered. Returns older ones that arrived.
fn send_until_delivered(a: &Instance, b: &Instance, first_id: u64) -> Vec<u64> {
    let mut older = Vec::new();
    for id in first_id..first_id + MAX_ATTEMPTS {
        a.network.send("b", message(id));
        crossbeam::channel::select! {
            recv(b.events) -> event => match event.expect("b runs") {
                PeerEvent::Message { message, .. } if message.id >= first_id => return older,
                // A message of the old connection whose confirmation was lost.
                PeerEvent::Message { message, .. } => older.push(message.id),
                other => panic!("expected a message, got {other:?}"),
            },
            // A message may still meet the old connection.
            recv(a.events) -> event => {
                drop(event.expect("a runs"));
                thread::sleep(Duration::from_millis(50));
            }
            default(LIMIT) => panic!("neither delivered nor failed"),
        }
    }
    panic!("no message was delivered");
}

#[test]
fn a_cut_connection_is_replaced_at_once() {
    let (a, b) = (Instance::start("a.1"), Instance::start("b.1"));
    let relay = Relay::start(b.address());
    a.knows("b", relay.address());
    for round in 1..4 {
        let first_id = round * 1_000_000;
        send_until_delivered(&a, &b, first_id);
        relay.cut();
    }
}

#[test]
fn a_peer_that_accepts_but_never_answers_is_not_reached() {
    let (a, b) = (Instance::start("a.1"), Instance::start("b.1"));
    let relay = Relay::start(b.address());
    relay.freeze_new(true);
    a.knows("b", relay.address());
    a.network.send("b", message(1));
    let (_, failure) = a.send_failure();
    assert_eq!(
        (failure.kind, failure.reached),
        (PeerFailureKind::Timeout, Reached::No)
    );
}

#[test]
fn a_connection_without_authentication_is_closed() {
    let b = Instance::start("b.1");
    let mut stream = TcpStream::connect(b.address()).expect("connected");
    stream.set_read_timeout(Some(LIMIT)).expect("a timeout");
    let mut byte = [0];
    match stream.read(&mut byte) {
        Ok(count) => assert_eq!(count, 0, "a stranger is told nothing"),
        Err(err) => assert_eq!(err.kind(), ErrorKind::ConnectionReset),
    }
}

#[test_case(b"\xff\xff\xff\xff\xff\xff\xff\xff" as &[u8]; "many segments")]
#[test_case(b"GET / HTTP/1.1\r\n\r\n" as &[u8]; "another protocol")]
fn malformed_bytes_do_not_stop_the_network(bytes: &[u8]) {
    let (a, b) = pair();
    let mut stream = TcpStream::connect(b.address()).expect("connected");
    std::io::Write::write_all(&mut stream, bytes).expect("written");
    a.network.send("b", message(1));
    assert_eq!(b.message().1.id, 1);
}

#[test]
fn closing_waits_for_the_last_message() {
    let (a, b) = pair();
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
    assert_eq!(b.message().1, last);
    assert!(a.events.is_empty(), "the message was confirmed");
}
