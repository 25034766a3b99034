//! Overflow to other availability zones.

use jayreel_placement::Overflow;

const COST: f64 = 0.7;

/// Without hysteresis, two zones whose times differ by about the cost of crossing would exchange
/// requests back and forth with each report.
#[test]
fn overflow_ends_below_where_it_begins() {
    let mut overflow = Overflow::default();
    let mut is_active = |own| {
        overflow.update(Some(own), Some(1.0), COST);
        overflow.is_active()
    };
    assert!(!is_active(1.65));
    assert!(is_active(1.75));
    assert!(is_active(1.65), "it fluctuates around the threshold");
    assert!(is_active(1.45));
    assert!(!is_active(1.4));
    assert!(!is_active(1.65));
}

/// While overflow is active, the cost of crossing is lower, so that the endpoint with the lowest
/// sum is in the zone that `is_active` says.
#[test]
fn cost_follows_the_state() {
    let mut overflow = Overflow::default();
    overflow.update(Some(1.0), Some(1.0), COST);
    assert_eq!(overflow.cost(COST), COST);
    overflow.update(Some(2.0), Some(1.0), COST);
    assert!(overflow.cost(COST) < COST);
}

/// A partitioned zone reaches no endpoints elsewhere, and a zone may have lost all of its own.
#[test]
fn zone_without_endpoints_is_not_chosen() {
    let mut overflow = Overflow::default();
    overflow.update(Some(100.0), None, COST);
    assert!(!overflow.is_active());
    overflow.update(None, Some(100.0), COST);
    assert!(overflow.is_active());
    overflow.update(None, None, COST);
    assert!(!overflow.is_active());
}
