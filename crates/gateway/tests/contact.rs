//! Whether the group answers, freshness of the configuration, tokens of customers.

use jayreel_gateway::{Freshness, GroupContact, QuotaBuffer};

/// An instance that is cut off from the group notices within a second, and asks callers to
/// come back when the balancer has sent them elsewhere.
#[test]
fn cut_off_instance_notices() {
    let mut contact = GroupContact::default();
    assert!(!contact.has_quorum(0));
    contact.note_quorum(1_000);
    assert!(
        contact.has_quorum(1_250),
        "one question that timed out is not enough"
    );
    assert!(!contact.has_quorum(2_000));
    assert!(
        contact.retry_ms(1_500, false) >= 800 && contact.retry_ms(2_000, false) >= 800,
        "the balancer needs longer than that"
    );
    assert!(
        contact.retry_ms(60_000, false) <= 1_000,
        "a third of three seconds"
    );
    assert!(contact.is_ready(1_250));
    assert!(
        !contact.is_ready(1_400),
        "the balancer hears of it before callers do"
    );
}

/// Seen on scale-2 of the grown hoaphat-pension: more than half of the instances of a zone were cut
/// off alone, so the balancer went on sending callers to them, who were told to wait 900 ms before
/// they tried another one.
#[test]
fn callers_of_an_instance_that_is_alone_go_elsewhere_at_once() {
    let mut contact = GroupContact::default();
    contact.note_quorum(1_000);
    assert!(contact.retry_ms(3_000, true) <= 100);
}

/// Seen on scale-2 of the grown dvcra-council-reports: five seconds after a zone was cut off,
/// callers that had kept their connections were told 900 ms, though a new one led elsewhere.
#[test]
fn callers_come_back_at_once_when_the_balancer_has_acted() {
    let mut contact = GroupContact::default();
    contact.note_quorum(1_000);
    assert!(!contact.is_out_of_rotation(3_000));
    contact.note_member(5_900);
    assert!(contact.is_out_of_rotation(6_000));
    assert!(contact.retry_ms(6_000, true) <= 100);
}

/// The member of the zone answers, so all instances of the zone are cut off.
#[test]
fn callers_of_a_zone_that_is_cut_off_wait_for_the_balancer() {
    let mut contact = GroupContact::default();
    contact.note_quorum(1_000);
    contact.note_member(1_900);
    assert!(contact.retry_ms(2_000, true) >= 800);
}

/// Seen on a hunted kill-twice of dvcra-council-reports: all instances with disks lost power for two
/// seconds. Each entry instance took itself to be alone, and callers used up their attempts at once.
#[test]
fn callers_wait_while_the_members_are_down() {
    let mut contact = GroupContact::default();
    contact.note_quorum(1_000);
    contact.note_store(1_900);
    assert!(contact.retry_ms(2_500, true) >= 800);
    assert!(contact.retry_ms(4_500, true) >= 800, "no zone does better");
    contact.note_quorum(5_000);
    assert!(
        contact.retry_ms(7_000, true) <= 100,
        "the store answered before the loss"
    );
}

/// After a kill of all processes members answer within half a second; callers were told 900 ms.
#[test]
fn callers_of_an_instance_that_starts_come_back_soon() {
    let contact = GroupContact::default();
    assert!((100..=400).contains(&contact.retry_ms(1_000, true)));
}

#[test]
fn one_member_is_no_quorum() {
    let mut contact = GroupContact::default();
    contact.note_member(1_000);
    assert!(contact.has_member(1_100));
    assert!(!contact.has_quorum(1_100));
}

/// A key that was withdrawn after the last proof must not run for longer than agreed.
#[test]
fn old_proof_admits_nothing() {
    let mut freshness = Freshness::default();
    assert!(!freshness.admits(0, 5_000));
    freshness.prove(10_000);
    assert!(freshness.admits(14_000, 5_000));
    assert!(!freshness.admits(15_000, 5_000));
    freshness.prove(9_000);
    assert_eq!(
        freshness.age_ms(10_000),
        Some(0),
        "an older proof takes nothing away"
    );
}

#[test]
fn tokens_lapse() {
    let mut stock = QuotaBuffer::default();
    stock.add(1_000, "c", 2);
    assert!(stock.take(1_100, "c").is_some());
    assert_eq!(stock.take(2_000, "c"), None, "the second token has lapsed");
}

/// A request that is refused after it took a token leaves it to the next one, but the token
/// lives no longer for that.
#[test]
fn returned_token_serves_another_request_until_it_lapses() {
    let mut stock = QuotaBuffer::default();
    stock.add(1_000, "c", 1);
    let token = stock.take(1_100, "c").expect("a token");
    stock.refund_token(1_100, "c", Some(token));
    let token = stock.take(1_200, "c").expect("the token again");
    stock.refund_token(1_200, "c", Some(token));
    assert_eq!(stock.take(2_000, "c"), None, "it has lapsed");
}

/// Turns beyond a program's budget do not run. Tokens taken in advance for them would lapse,
/// and the customer's other requests lack them.
#[test]
fn requests_that_do_not_run_are_no_demand() {
    let mut stock = QuotaBuffer::default();
    for request in 0..200 {
        stock.take(request * 10, "endless");
        stock.refund_token(request * 10 + 5, "endless", None);
    }
    assert_eq!(stock.tokens_to_request(2_000, 250), []);
}

/// A customer that sends steadily gets its tokens before it needs them; one that sends now
/// and then holds none back from others.
#[test]
fn tokens_are_wanted_for_steady_demand_only() {
    let mut stock = QuotaBuffer::default();
    for request in 0..200 {
        stock.take(request * 10, "steady");
    }
    stock.take(1_990, "rare");
    let wanted = stock.tokens_to_request(2_000, 250);
    let steady = wanted.iter().find(|(customer, _)| customer == "steady");
    let steady = steady.map(|(_, count)| *count).unwrap_or(0);
    assert!(
        (15..=30).contains(&steady),
        "{steady} for 100 requests a second"
    );
    assert!(!wanted.iter().any(|(customer, _)| customer == "rare"));
}
