//! Guards against answers that are cut, mixed or buffered without bound, calls that are not
//! cancelled, and a wrong statement on whether a call can have run.

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
use support::{DEADLINES, Instance, call, failure, incarnation, message, pair};

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
fn an_answer_arrives_whole_and_in_order() {
    let (a, b) = pair();
    let mut answer = forward(&a);
    let (_, arrived, mut sender) = b.forwarded();
    assert_eq!(arrived, call());
    let large = vec![7; 700_000];
    let expected = large.clone();
    let writer = thread::spawn(move || {
        sender.head(head()).expect("wanted");
        sender.chunk(b"first").expect("wanted");
        sender.chunk(&large).expect("wanted");
        sender.close().expect("wanted");
    });
    assert_eq!(answer.next_part(), Some(ResponsePart::Head(head())));
    let mut body = Vec::new();
    let last = loop {
        match answer.next_part() {
            Some(ResponsePart::Chunk(bytes)) => body.extend(bytes),
            other => break other,
        }
    };
    assert_eq!(last, Some(ResponsePart::Complete));
    assert_eq!(answer.next_part(), None);
    assert_eq!(body, [b"first".as_slice(), &expected].concat());
    writer.join().expect("written");
    assert!(b.events.is_empty(), "a complete answer is not cancelled");
}

#[test]
fn answers_of_concurrent_calls_are_not_mixed() {
    let (a, b) = pair();
    let mut answers: Vec<ForwardedResponse> = (0..20u8)
        .map(|number| {
            let call = jayreel_peer::ForwardedCall {
                body: vec![number],
                ..call()
            };
            a.network.forward(&incarnation("b.1"), call)
        })
        .collect();
    let mut senders: Vec<_> = (0..20).map(|_| b.forwarded()).collect();
    senders.reverse();
    for (_, call, mut sender) in senders {
        sender.chunk(&call.body).expect("wanted");
        sender.close().expect("wanted");
    }
    for (number, answer) in (0..).zip(&mut answers) {
        assert_eq!(answer.next_part(), Some(ResponsePart::Chunk(vec![number])));
        assert_eq!(answer.next_part(), Some(ResponsePart::Complete));
    }
}

#[test]
fn a_refusal_arrives_with_its_statement() {
    let (a, b) = pair();
    let mut answer = forward(&a);
    let refusal = Refusal::not_run(RefusalReason::WrongTurn, "the next turn is 4");
    b.forwarded().2.refuse(refusal.clone()).expect("wanted");
    assert_eq!(answer.next_part(), Some(ResponsePart::Refused(refusal)));
}

#[test]
fn a_slow_reader_slows_the_writer_down() {
    let (a, b) = pair();
    let mut answer = forward(&a);
    let (_, _, mut sender) = b.forwarded();
    let written = Arc::new(AtomicUsize::new(0));
    let counter = written.clone();
    let writer = thread::spawn(move || {
        for _ in 0..200 {
            sender.chunk(b"x").expect("wanted");
            counter.fetch_add(1, Ordering::SeqCst);
        }
        sender.close().expect("wanted");
    });
    // Each round trip lets both networks do all work that they have.
    for id in 0..100 {
        a.network.send("b", message(id));
        b.message();
    }
    assert!(
        written.load(Ordering::SeqCst) < 20,
        "the writer ran ahead of the reader"
    );
    let mut chunks = 0;
    while let Some(ResponsePart::Chunk(_)) = answer.next_part() {
        chunks += 1;
    }
    assert_eq!(chunks, 200);
    writer.join().expect("written");
}

#[test]
fn a_reader_slower_than_the_progress_deadline_is_not_a_failure() {
    let deadlines = PeerDeadlines {
        progress_ms: 500,
        ..DEADLINES
    };
    let a = Instance::start_with("a.1", "fleet", deadlines);
    let b = Instance::start("b.1");
    a.knows("b", b.address());
    let mut answer = forward(&a);
    let (_, _, mut sender) = b.forwarded();
    let writer = thread::spawn(move || {
        (0..20).for_each(|_| sender.chunk(b"x").expect("wanted"));
        sender.close().expect("wanted");
    });
    thread::sleep(std::time::Duration::from_millis(1_500));
    let mut parts = 0;
    let last = loop {
        match answer.next_part() {
            Some(ResponsePart::Chunk(_)) => parts += 1,
            other => break other,
        }
    };
    assert_eq!((parts, last), (20, Some(ResponsePart::Complete)));
    writer.join().expect("written");
}

#[test]
fn dropping_the_answer_cancels_the_call() {
    let (a, b) = pair();
    let answer = forward(&a);
    let (id, _, sender) = b.forwarded();
    assert!(!sender.is_cancelled());
    answer.close();
    assert_eq!(b.cancelled(), id);
    assert!(sender.is_cancelled());
    assert!(sender.close().is_err());
}

#[test]
fn a_call_that_waits_for_a_connection_is_cancelled() {
    let (a, b) = (Instance::start("a.1"), Instance::start("b.1"));
    let relay = Relay::start(b.address());
    relay.freeze_new(true);
    a.knows("b", relay.address());
    forward(&a).close();
    relay.freeze_new(false);
    relay.cut();
    while b.events.is_empty() {
        a.network.send("b", message(1));
        thread::sleep(std::time::Duration::from_millis(50));
    }
    assert_eq!(b.message().1.id, 1);
}

#[test]
fn an_answer_that_is_dropped_is_broken_off() {
    let (a, b) = pair();
    let mut answer = forward(&a);
    let (_, _, mut sender) = b.forwarded();
    sender.head(head()).expect("wanted");
    drop(sender);
    let failure = failure(&mut answer);
    assert_eq!(
        (failure.kind, failure.reached),
        (PeerFailureKind::Broken, Reached::Possible)
    );
}

#[test]
fn another_incarnation_does_not_get_the_call() {
    let (a, b) = pair();
    let mut answer = a.network.forward(&incarnation("b.2"), call());
    let failure = failure(&mut answer);
    assert_eq!(
        (failure.kind, failure.reached),
        (PeerFailureKind::NotStarted, Reached::No)
    );
    assert!(b.events.is_empty());
}

#[test]
fn a_call_to_an_unknown_peer_or_after_closing_did_not_run() {
    let a = Instance::start("a.1");
    assert_eq!(failure(&mut forward(&a)).reached, Reached::No);
    let (a, _b) = pair();
    a.network.close();
}

#[test]
fn a_peer_without_progress_is_given_up_and_told() {
    let deadlines = PeerDeadlines {
        progress_ms: 300,
        ..DEADLINES
    };
    let a = Instance::start_with("a.1", "fleet", deadlines);
    let b = Instance::start("b.1");
    a.knows("b", b.address());
    let mut answer = forward(&a);
    let (id, _, _sender) = b.forwarded();
    let failure = failure(&mut answer);
    assert_eq!(
        (failure.kind, failure.reached),
        (PeerFailureKind::Timeout, Reached::Possible)
    );
    assert_eq!(b.cancelled(), id);
}

#[test]
fn a_connection_that_falls_silent_ends_the_call_on_both_sides() {
    let (a, b) = (Instance::start("a.1"), Instance::start("b.1"));
    let relay = Relay::start(b.address());
    a.knows("b", relay.address());
    let mut answer = forward(&a);
    let (id, _, mut sender) = b.forwarded();
    sender.head(head()).expect("wanted");
    assert_eq!(answer.next_part(), Some(ResponsePart::Head(head())));
    // The head is confirmed before this message, so that only the silence ends the call.
    a.network.send("b", message(1));
    b.message();
    relay.freeze();
    assert_eq!(failure(&mut answer).reached, Reached::Possible);
    assert_eq!(b.cancelled(), id);
    assert!(sender.is_cancelled());
    let mut again = forward(&a);
    b.forwarded().2.close().expect("wanted");
    assert_eq!(again.next_part(), Some(ResponsePart::Complete));
}

#[test]
fn a_cut_connection_ends_the_call_on_both_sides() {
    let (a, b) = (Instance::start("a.1"), Instance::start("b.1"));
    let relay = Relay::start(b.address());
    a.knows("b", relay.address());
    let mut answer = forward(&a);
    let (id, _, sender) = b.forwarded();
    relay.cut();
    assert_eq!(failure(&mut answer).reached, Reached::Possible);
    assert_eq!(b.cancelled(), id);
    assert!(sender.is_cancelled());
}

#[test]
fn a_connection_that_never_answers_means_not_run() {
    let (a, b) = (Instance::start("a.1"), Instance::start("b.1"));
    let relay = Relay::start(b.address());
    relay.freeze_new(true);
    a.knows("b", relay.address());
    assert_eq!(failure(&mut forward(&a)).reached, Reached::No);
    assert!(b.events.is_empty());
}

#[test]
fn closing_an_instance_ends_its_calls() {
    let (a, b) = pair();
    let mut answer = forward(&a);
    let (_, _, sender) = b.forwarded();
    b.network.close();
    assert_eq!(failure(&mut answer).reached, Reached::Possible);
    assert!(sender.is_cancelled());
}

#[test]
fn a_call_too_large_for_one_message_is_not_sent() {
    let (a, b) = pair();
    let large = jayreel_peer::ForwardedCall {
        body: vec![0; 9_000_000],
        ..call()
    };
    let mut answer = a.network.forward(&incarnation("b.1"), large);
    assert_eq!(failure(&mut answer).reached, Reached::No);
    let mut answer = forward(&a);
    b.forwarded().2.close().expect("wanted");
    assert_eq!(answer.next_part(), Some(ResponsePart::Complete));
}
