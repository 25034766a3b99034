//! Forwarded calls. Guards against responses that are truncated, mixed up or buffered without
//! limit, against calls that are not cancelled, and against a wrong report of whether a call
//! may have run.

mod support;

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::thread;

use jayreel_model::{Refusal, RefusalReason};
use jayreel_peer::{
    ForwardedResponse, PeerDeadlines, PeerFailureKind, PeerNetwork, Reached,
    ResponseHead, ResponsePart,
};
use support::relay::Relay;
use support::{
    DEADLINES, Instance, call, incarnation, message, read_failure, start_pair,
};

fn head() -> ResponseHead {
    let headers = vec![("x-a".to_string(), "1".to_string())];
    ResponseHead {
        status: 200,
        headers,
    }
}

fn forward(a: &Instance) -> ForwardedResponse {
    a.network.forward(&incarnation("b.1"), call())
}

#[test]
fn response_arrives_complete_and_in_order() {
    let (a, b) = start_pair();
    let mut response = forward(&a);
    let (_, arrived, mut sender) = b.next_forwarded();
    assert_eq!(arrived, call());
    let large = vec![7; 700_000];
    let expected = large.clone();
    let writer = thread::spawn(move || {
        sender.head(head()).expect("the call is not cancelled");
        sender.chunk(b"first").expect("the call is not cancelled");
        sender.chunk(&large).expect("the call is not cancelled");
        sender.close().expect("the call is not cancelled");
    });
    assert_eq!(response.next_part(), Some(ResponsePart::Head(head())));
    let mut body = Vec::new();
    let last = loop {
        match response.next_part() {
            Some(ResponsePart::Chunk(bytes)) => body.extend(bytes),
            other => break other,
        }
    };
    assert_eq!(last, Some(ResponsePart::Complete));
    assert_eq!(response.next_part(), None);
    assert_eq!(body, [b"first".as_slice(), &expected].concat());
    writer.join().expect("the writer did not panic");
    assert!(
        b.events.is_empty(),
        "a complete response was reported as cancelled"
    );
}

#[test]
fn responses_of_concurrent_calls_are_not_mixed() {
    let (a, b) = start_pair();
    let mut responses: Vec<ForwardedResponse> = (0..20u8)
        .map(|number| {
            let call = jayreel_peer::ForwardedCall {
                body: vec![number],
                ..call()
            };
            a.network.forward(&incarnation("b.1"), call)
        })
        .collect();
    let mut senders: Vec<_> = (0..20).map(|_| b.next_forwarded()).collect();
    senders.reverse();
    for (_, call, mut sender) in senders {
        sender.chunk(&call.body).expect("the call is not cancelled");
        sender.close().expect("the call is not cancelled");
    }
    for (number, response) in (0..).zip(&mut responses) {
        assert_eq!(
            response.next_part(),
            Some(ResponsePart::Chunk(vec![number]))
        );
        assert_eq!(response.next_part(), Some(ResponsePart::Complete));
    }
}

#[test]
fn refusal_arrives_unchanged() {
    let (a, b) = start_pair();
    let mut response = forward(&a);
    let refusal = Refusal::not_run(RefusalReason::WrongTurn, "the next turn is 4");
    b.next_forwarded()
        .2
        .refuse(refusal.clone())
        .expect("the call is not cancelled");
    assert_eq!(response.next_part(), Some(ResponsePart::Refused(refusal)));
}

#[test]
fn slow_reader_blocks_the_writer() {
    let (a, b) = start_pair();
    let mut response = forward(&a);
    let (_, _, mut sender) = b.next_forwarded();
    let written = Arc::new(AtomicUsize::new(0));
    let counter = written.clone();
    let writer = thread::spawn(move || {
        for _ in 0..200 {
            sender.chunk(b"x").expect("the call is not cancelled");
            counter.fetch_add(1, Ordering::SeqCst);
        }
        sender.close().expect("the call is not cancelled");
    });
    // Each message makes both network threads run, so that buffered parts can move on.
    for id in 0..100 {
        a.network.send("b", message(id));
        b.next_message();
    }
    assert!(
        written.load(Ordering::SeqCst) < 20,
        "the writer ran ahead of the reader"
    );
    let mut chunks = 0;
    while let Some(ResponsePart::Chunk(_)) = response.next_part() {
        chunks += 1;
    }
    assert_eq!(chunks, 200);
    writer.join().expect("the writer did not panic");
}

/// Guards against a progress timeout that a slow local reader causes.
#[test]
fn reader_slower_than_the_progress_timeout_is_not_a_failure() {
    let deadlines = PeerDeadlines {
        progress_ms: 500,
        ..DEADLINES
    };
    let a = Instance::start_with("a.1", "fleet", deadlines);
    let b = Instance::start("b.1");
    a.set_only_peer("b", b.address());
    let mut response = forward(&a);
    let (_, _, mut sender) = b.next_forwarded();
    let writer = thread::spawn(move || {
        (0..20).for_each(|_| sender.chunk(b"x").expect("the call is not cancelled"));
        sender.close().expect("the call is not cancelled");
    });
    thread::sleep(std::time::Duration::from_millis(1_500));
    let mut parts = 0;
    let last = loop {
        match response.next_part() {
            Some(ResponsePart::Chunk(_)) => parts += 1,
            other => break other,
        }
    };
    assert_eq!((parts, last), (20, Some(ResponsePart::Complete)));
    writer.join().expect("the writer did not panic");
}

#[test]
fn closing_the_response_cancels_the_call() {
    let (a, b) = start_pair();
    let response = forward(&a);
    let (id, _, sender) = b.next_forwarded();
    assert!(!sender.is_cancelled());
    response.close();
    assert_eq!(b.next_cancelled(), id);
    assert!(sender.is_cancelled());
    assert!(sender.close().is_err());
}

/// Guards against a call that is cancelled while its connection is being established and is
/// sent all the same.
#[test]
fn call_that_waits_for_a_connection_is_cancelled() {
    let (a, b) = (Instance::start("a.1"), Instance::start("b.1"));
    let relay = Relay::start(b.address());
    relay.freeze_new(true);
    a.set_only_peer("b", relay.address());
    forward(&a).close();
    relay.freeze_new(false);
    relay.close_connections();
    while b.events.is_empty() {
        a.network.send("b", message(1));
        thread::sleep(std::time::Duration::from_millis(50));
    }
    assert_eq!(b.next_message().1.id, 1);
}

#[test]
fn dropping_the_sender_fails_the_response() {
    let (a, b) = start_pair();
    let mut response = forward(&a);
    let (_, _, mut sender) = b.next_forwarded();
    sender.head(head()).expect("the call is not cancelled");
    drop(sender);
    let failure = read_failure(&mut response);
    assert_eq!(
        (failure.kind, failure.reached),
        (PeerFailureKind::Broken, Reached::Possible)
    );
}

#[test]
fn another_incarnation_does_not_get_the_call() {
    let (a, b) = start_pair();
    let mut response = a.network.forward(&incarnation("b.2"), call());
    let failure = read_failure(&mut response);
    assert_eq!(
        (failure.kind, failure.reached),
        (PeerFailureKind::NotStarted, Reached::No)
    );
    assert!(b.events.is_empty());
}

#[test]
fn call_to_an_unknown_peer_did_not_run_and_idle_network_closes() {
    let a = Instance::start("a.1");
    assert_eq!(read_failure(&mut forward(&a)).reached, Reached::No);
    let (a, _b) = start_pair();
    a.network.close();
}

#[test]
fn call_without_progress_times_out_and_is_cancelled_at_the_peer() {
    let deadlines = PeerDeadlines {
        progress_ms: 300,
        ..DEADLINES
    };
    let a = Instance::start_with("a.1", "fleet", deadlines);
    let b = Instance::start("b.1");
    a.set_only_peer("b", b.address());
    let mut response = forward(&a);
    let (id, _, _sender) = b.next_forwarded();
    let failure = read_failure(&mut response);
    assert_eq!(
        (failure.kind, failure.reached),
        (PeerFailureKind::Timeout, Reached::Possible)
    );
    assert_eq!(b.next_cancelled(), id);
}

#[test]
fn silent_connection_ends_the_call_on_both_sides() {
    let (a, b) = (Instance::start("a.1"), Instance::start("b.1"));
    let relay = Relay::start(b.address());
    a.set_only_peer("b", relay.address());
    let mut response = forward(&a);
    let (id, _, mut sender) = b.next_forwarded();
    sender.head(head()).expect("the call is not cancelled");
    assert_eq!(response.next_part(), Some(ResponsePart::Head(head())));
    // Once this message arrives, the head is confirmed. So only the silence, not an
    // unconfirmed head, can end the call.
    a.network.send("b", message(1));
    b.next_message();
    relay.freeze();
    assert_eq!(read_failure(&mut response).reached, Reached::Possible);
    assert_eq!(b.next_cancelled(), id);
    assert!(sender.is_cancelled());
    let mut retried = forward(&a);
    b.next_forwarded()
        .2
        .close()
        .expect("the call is not cancelled");
    assert_eq!(retried.next_part(), Some(ResponsePart::Complete));
}

#[test]
fn closed_connection_ends_the_call_on_both_sides() {
    let (a, b) = (Instance::start("a.1"), Instance::start("b.1"));
    let relay = Relay::start(b.address());
    a.set_only_peer("b", relay.address());
    let mut response = forward(&a);
    let (id, _, sender) = b.next_forwarded();
    relay.close_connections();
    assert_eq!(read_failure(&mut response).reached, Reached::Possible);
    assert_eq!(b.next_cancelled(), id);
    assert!(sender.is_cancelled());
}

#[test]
fn call_on_a_connection_that_never_replies_did_not_run() {
    let (a, b) = (Instance::start("a.1"), Instance::start("b.1"));
    let relay = Relay::start(b.address());
    relay.freeze_new(true);
    a.set_only_peer("b", relay.address());
    assert_eq!(read_failure(&mut forward(&a)).reached, Reached::No);
    assert!(b.events.is_empty());
}

#[test]
fn closing_the_serving_network_ends_its_calls() {
    let (a, b) = start_pair();
    let mut response = forward(&a);
    let (_, _, sender) = b.next_forwarded();
    b.network.close();
    assert_eq!(read_failure(&mut response).reached, Reached::Possible);
    assert!(sender.is_cancelled());
}

/// Guards also against a connection that is lost with the rejected call.
#[test]
fn call_too_large_for_one_message_is_not_sent() {
    let (a, b) = start_pair();
    let large = jayreel_peer::ForwardedCall {
        body: vec![0; 9_000_000],
        ..call()
    };
    let mut response = a.network.forward(&incarnation("b.1"), large);
    assert_eq!(read_failure(&mut response).reached, Reached::No);
    let mut response = forward(&a);
    b.next_forwarded()
        .2
        .close()
        .expect("the call is not cancelled");
    assert_eq!(response.next_part(), Some(ResponsePart::Complete));
}
