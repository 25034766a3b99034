//! Tests of the choice of the endpoint for a hedged request.

use jayreel_hedging::{EndpointState, Withheld, choose_endpoint};
use test_case::test_case;

const IDLE: EndpointState<'static> = EndpointState {
    zone: "a",
    score: 1.0,
    load_per_slot: 0.1,
    slowness: 1.0,
    error_rate: 0.0,
    is_paused: false,
    needs_token: false,
    is_tried: false,
};

const TRIED: EndpointState<'static> = EndpointState {
    is_tried: true,
    ..IDLE
};

#[test]
fn best_other_endpoint_is_chosen() {
    let better = EndpointState { score: 0.5, ..IDLE };
    assert_eq!(choose_endpoint(&[TRIED, IDLE, better, IDLE]), Ok(2));
}

// Guards against hedging to an endpoint that is worse off than the first one, or that a second send
// may harm.
#[test_case(EndpointState { is_paused: true, ..IDLE }, Withheld::Troubled ; "paused")]
#[test_case(EndpointState { error_rate: 0.1, ..IDLE }, Withheld::Troubled ; "failed lately")]
#[test_case(EndpointState { slowness: 1.6, ..IDLE }, Withheld::Troubled ; "slow")]
#[test_case(EndpointState { needs_token: true, ..IDLE }, Withheld::Limited ; "with a limit")]
#[test_case(EndpointState { load_per_slot: 0.8, ..IDLE }, Withheld::Loaded ; "loaded")]
#[test_case(TRIED, Withheld::NoEndpoint ; "tried before")]
fn unfit_endpoint_is_left_out(unfit: EndpointState<'_>, reason: Withheld) {
    assert_eq!(choose_endpoint(&[TRIED, unfit]), Err(reason));
    let worse = EndpointState { score: 9.0, ..IDLE };
    assert_eq!(choose_endpoint(&[TRIED, unfit, worse]), Ok(2));
}

// Guards against more load while most endpoints are loaded, although one is idle as far as known.
#[test]
fn nothing_is_hedged_while_endpoints_are_loaded() {
    let loaded = EndpointState {
        load_per_slot: 1.2,
        ..IDLE
    };
    let endpoints = [TRIED, loaded, loaded, IDLE];
    assert_eq!(choose_endpoint(&endpoints), Err(Withheld::Loaded));
}

// Guards against a hedged request that has the same problem as the first one: most endpoints of
// that zone are in trouble.
#[test]
fn zone_in_trouble_is_left_out() {
    let slow = EndpointState {
        slowness: 3.0,
        ..IDLE
    };
    let first = EndpointState { ..TRIED };
    let elsewhere = EndpointState {
        zone: "b",
        score: 1.7,
        ..IDLE
    };
    let endpoints = [first, slow, slow, slow, IDLE, elsewhere];
    assert_eq!(choose_endpoint(&endpoints), Ok(5));
    assert_eq!(choose_endpoint(&endpoints[..5]), Err(Withheld::Troubled));
    assert_eq!(choose_endpoint(&[first, slow, IDLE]), Ok(2));
}

#[test]
fn no_endpoint_at_all() {
    assert_eq!(choose_endpoint(&[]), Err(Withheld::NoEndpoint));
}
