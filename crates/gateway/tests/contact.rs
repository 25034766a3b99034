//! What an entry instance bases admission on: contact with the group, freshness of the
//! configuration, and buffered quota tokens.

use jayreel_gateway::{Freshness, GroupContact, QuotaBuffer};

/// An instance partitioned from the group detects this within a second, and sets Retry-After so
/// that callers return after the load balancer has moved them to another instance.
#[test]
fn partitioned_instance_detects_the_loss_of_the_quorum() {
    let mut contact = GroupContact::default();
    assert!(!contact.has_quorum(0));
    contact.record_quorum_response(1_000);
    assert!(
        contact.has_quorum(1_250),
        "a single probe that timed out is not enough"
    );
    assert!(!contact.has_quorum(2_000));
    assert!(
        contact.retry_after_ms(1_500, false) >= 800
            && contact.retry_after_ms(2_000, false) >= 800,
        "the load balancer needs longer than that"
    );
    assert!(
        contact.retry_after_ms(60_000, false) <= 1_000,
        "at most a third of the three seconds that callers have"
    );
    assert!(contact.is_ready(1_250));
    assert!(
        !contact.is_ready(1_400),
        "the readiness check fails before callers are refused"
    );
}

/// More than half of the instances of a zone were partitioned individually, so the load balancer
/// kept sending callers to them. Callers lost time because each refusal had a Retry-After of 900 ms
/// before the next attempt.
#[test]
fn callers_of_an_isolated_instance_retry_at_once() {
    let mut contact = GroupContact::default();
    contact.record_quorum_response(1_000);
    assert!(contact.retry_after_ms(3_000, true) <= 100);
}

/// Five seconds after a zone was partitioned, callers with open connections still received a
/// Retry-After of 900 ms, although a new connection would have reached another zone.
#[test]
fn callers_retry_at_once_after_the_load_balancer_has_acted() {
    let mut contact = GroupContact::default();
    contact.record_quorum_response(1_000);
    assert!(!contact.is_out_of_rotation(3_000));
    contact.record_member_response(5_900);
    assert!(contact.is_out_of_rotation(6_000));
    assert!(contact.retry_after_ms(6_000, true) <= 100);
}

/// The zone's member still responds, so the whole zone is partitioned and other instances of it
/// can't serve callers either.
#[test]
fn callers_of_a_partitioned_zone_wait_for_the_load_balancer() {
    let mut contact = GroupContact::default();
    contact.record_quorum_response(1_000);
    contact.record_member_response(1_900);
    assert!(contact.retry_after_ms(2_000, true) >= 800);
}

/// All storage instances lost power for two seconds. Each entry instance considered itself
/// isolated, so callers retried at once and used up their attempts.
#[test]
fn callers_wait_while_all_members_are_down() {
    let mut contact = GroupContact::default();
    contact.record_quorum_response(1_000);
    contact.record_store_response(1_900);
    assert!(contact.retry_after_ms(2_500, true) >= 800);
    assert!(
        contact.retry_after_ms(4_500, true) >= 800,
        "other zones can't serve callers either"
    );
    contact.record_quorum_response(5_000);
    assert!(
        contact.retry_after_ms(7_000, true) <= 100,
        "the store responded before the loss"
    );
}

/// After all processes were killed, members responded again within half a second, but callers had
/// received a Retry-After of 900 ms.
#[test]
fn callers_of_a_starting_instance_retry_soon() {
    let contact = GroupContact::default();
    assert!((100..=400).contains(&contact.retry_after_ms(1_000, true)));
}

#[test]
fn response_from_one_member_is_no_quorum() {
    let mut contact = GroupContact::default();
    contact.record_member_response(1_000);
    assert!(contact.has_member(1_100));
    assert!(!contact.has_quorum(1_100));
}

/// A key revoked after the configuration was last confirmed must not be accepted for longer than
/// agreed.
#[test]
fn stale_configuration_admits_no_requests() {
    let mut freshness = Freshness::default();
    assert!(!freshness.admits(0, 5_000));
    freshness.confirm(10_000);
    assert!(freshness.admits(14_000, 5_000));
    assert!(!freshness.admits(15_000, 5_000));
    freshness.confirm(9_000);
    assert_eq!(
        freshness.age_ms(10_000),
        Some(0),
        "an older confirmation must not replace a newer one"
    );
}

#[test]
fn tokens_expire() {
    let mut buffer = QuotaBuffer::default();
    buffer.add(1_000, "c", 2);
    assert!(buffer.take(1_100, "c").is_some());
    assert_eq!(
        buffer.take(2_000, "c"),
        None,
        "the second token has expired"
    );
}

/// The token of a request that is refused later serves the next request, but its lifetime is not
/// extended.
#[test]
fn refunded_token_is_reused_until_it_expires() {
    let mut buffer = QuotaBuffer::default();
    buffer.add(1_000, "c", 1);
    let token = buffer.take(1_100, "c").expect("a token");
    buffer.refund_token(1_100, "c", Some(token));
    let token = buffer.take(1_200, "c").expect("the token again");
    buffer.refund_token(1_200, "c", Some(token));
    assert_eq!(buffer.take(2_000, "c"), None, "it has expired");
}

/// Turns beyond a program's budget don't run. Tokens requested in advance for them would expire
/// unused, and the customer's other requests would lack them.
#[test]
fn requests_that_do_not_run_do_not_count_as_demand() {
    let mut buffer = QuotaBuffer::default();
    for request in 0..200 {
        buffer.take(request * 10, "endless");
        buffer.refund_token(request * 10 + 5, "endless", None);
    }
    assert_eq!(buffer.tokens_to_request(2_000, 250), []);
}

/// Tokens are requested in advance for a customer with steady demand. For a customer that sends
/// rarely none are, since they would expire unused.
#[test]
fn tokens_are_requested_in_advance_for_steady_demand_only() {
    let mut buffer = QuotaBuffer::default();
    for request in 0..200 {
        buffer.take(request * 10, "steady");
    }
    buffer.take(1_990, "rare");
    let refills = buffer.tokens_to_request(2_000, 250);
    let steady = refills.iter().find(|(customer, _)| customer == "steady");
    let steady = steady.map(|(_, count)| *count).unwrap_or(0);
    assert!(
        (15..=30).contains(&steady),
        "{steady} for 100 requests a second"
    );
    assert!(!refills.iter().any(|(customer, _)| customer == "rare"));
}
