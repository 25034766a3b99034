//! The absence of registrations, by which takeovers are decided.

use std::collections::BTreeMap;

use jayreel_membership::Registrations;
use jayreel_model::Incarnation;

fn incarnation(number: u64) -> Incarnation {
    Incarnation {
        instance: "peer".to_string(),
        number,
    }
}

fn present(number: u64) -> BTreeMap<String, Incarnation> {
    BTreeMap::from([("peer".to_string(), incarnation(number))])
}

/// Guards against a takeover from a process that is registered.
#[test]
fn a_registered_process_is_not_absent() {
    let mut registrations = Registrations::default();
    assert_eq!(
        registrations.absent_ms(0, &incarnation(1)),
        None,
        "nothing was read"
    );
    registrations.read(0, present(1));
    assert_eq!(registrations.absent_ms(0, &incarnation(1)), None);
}

/// Guards against counting the absence from a read in which the process was still
/// registered.
#[test]
fn absence_counts_from_the_first_read_without_it() {
    let mut registrations = Registrations::default();
    registrations.read(0, present(1));
    registrations.read(3_000, present(2));
    registrations.read(6_000, present(2));
    assert_eq!(registrations.absent_ms(6_000, &incarnation(1)), Some(3_000));
}

/// Guards against a takeover during or right after a store outage.
#[test]
fn a_gap_between_reads_restarts_the_count() {
    let mut registrations = Registrations::default();
    registrations.read(0, present(1));
    registrations.read(3_000, BTreeMap::new());
    assert_eq!(
        registrations.absent_ms(8_001, &incarnation(1)),
        None,
        "no contact"
    );
    registrations.read(8_001, BTreeMap::new());
    assert_eq!(registrations.absent_ms(8_001, &incarnation(1)), Some(0));
    registrations.read(10_000, BTreeMap::new());
    assert_eq!(
        registrations.absent_ms(10_000, &incarnation(1)),
        Some(1_999)
    );
}

/// Guards against counting an earlier absence of a process that was registered again
/// since.
#[test]
fn a_process_that_was_registered_again_starts_a_new_count() {
    let mut registrations = Registrations::default();
    registrations.read(0, present(1));
    registrations.read(2_000, BTreeMap::new());
    registrations.read(4_000, present(1));
    registrations.read(6_000, BTreeMap::new());
    registrations.read(7_000, BTreeMap::new());
    assert_eq!(registrations.absent_ms(7_000, &incarnation(1)), Some(1_000));
}
