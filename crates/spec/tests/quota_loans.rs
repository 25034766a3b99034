//! Exhaustive searches of the loan protocol. They guard against customers that get more than
//! burst + rate × T in a time T, and against shares that add up to more than the contract.

use jayreel_spec::quota_loans::{LoanFault, LoanScope};
use jayreel_spec::quota_loans_world::LoanWorld;
use jayreel_spec::quota_search::{Outcome, search};
use test_case::test_case;

/// Two instances with equal weights, one of which may borrow once.
fn pair() -> LoanScope {
    LoanScope {
        weights_ppm: vec![500_000, 500_000],
        rate_mreq_per_s: 1_000,
        burst_mreq: 2_000,
        ticks: 7,
        loan_requests: 1,
        delayed_calls: 0,
        duplicates: 0,
        restarts: 0,
        clock_lags: 0,
        early_returns: false,
        contract_lowered: false,
        reads_clock_on_events: false,
        fault: None,
    }
}

/// Two calls are sent or given back some time after their token was taken.
fn delayed_calls() -> LoanScope {
    LoanScope {
        delayed_calls: 2,
        ticks: 5,
        ..pair()
    }
}

/// One tick refills a whole token, so that the place of a call that is not sent yet is filled
/// again unless it is held.
fn fast_refill() -> LoanScope {
    LoanScope {
        rate_mreq_per_s: 2_000,
        loan_requests: 0,
        ..delayed_calls()
    }
}

/// The clock of one instance lags. The first instance cannot make a call with its own share.
fn clock_lags() -> LoanScope {
    let weights_ppm = vec![100_000, 900_000];
    LoanScope {
        delayed_calls: 1,
        clock_lags: 1,
        ticks: 6,
        weights_ppm,
        ..pair()
    }
}

/// A message is delivered twice.
fn duplicates() -> LoanScope {
    LoanScope {
        loan_requests: 2,
        duplicates: 1,
        ticks: 4,
        ..pair()
    }
}

/// Processes restart twice.
fn restarts() -> LoanScope {
    LoanScope {
        restarts: 2,
        ticks: 6,
        ..pair()
    }
}

/// Loans are returned before their term ends, and a message is delivered twice.
fn early_returns() -> LoanScope {
    LoanScope {
        duplicates: 1,
        delayed_calls: 1,
        early_returns: true,
        ticks: 5,
        ..pair()
    }
}

/// The contract is halved, and the instances learn of it at different times.
fn contract_lowered() -> LoanScope {
    LoanScope {
        delayed_calls: 1,
        contract_lowered: true,
        ticks: 2,
        burst_mreq: 4_000,
        ..pair()
    }
}

/// Instances are paused for any number of ticks.
fn pauses() -> LoanScope {
    LoanScope {
        loan_requests: 2,
        reads_clock_on_events: true,
        ticks: 6,
        ..pair()
    }
}

/// Three instances, of which the second and third cannot make a call without a loan.
fn three_instances() -> LoanScope {
    LoanScope {
        weights_ppm: vec![340_000, 330_000, 330_000],
        burst_mreq: 3_000,
        loan_requests: 2,
        ticks: 3,
        ..pair()
    }
}

fn run(name: &str, scope: LoanScope) -> Outcome {
    search(name, LoanWorld::new(scope))
}

#[test_case("pair", pair(); "pair")]
#[test_case("delayed calls", delayed_calls(); "delayed calls")]
#[test_case("fast refill", fast_refill(); "fast refill")]
#[test_case("clock lags", clock_lags(); "clock lags")]
#[test_case("duplicates", duplicates(); "duplicates")]
#[test_case("restarts", restarts(); "restarts")]
#[test_case("early returns", early_returns(); "early returns")]
#[test_case("contract lowered", contract_lowered(); "contract lowered")]
#[test_case("pauses", pauses(); "pauses")]
#[test_case("three instances", three_instances(); "three instances")]
fn contract_is_not_exceeded(name: &str, scope: LoanScope) {
    let outcome = run(name, scope);
    assert!(outcome.violation.is_none(), "{:?}", outcome.violation);
}

#[test_case(LoanFault::AbsoluteAmounts, contract_lowered(); "absolute amounts")]
#[test_case(LoanFault::DuplicateAccepted, duplicates(); "duplicate accepted")]
#[test_case(LoanFault::LateRefund, delayed_calls(); "late refund")]
#[test_case(LoanFault::NoClockMargin, clock_lags(); "no clock margin")]
#[test_case(LoanFault::NoMargin, LoanScope { clock_lags: 0, ..clock_lags() }; "no margin")]
#[test_case(LoanFault::NoHold, fast_refill(); "no hold")]
#[test_case(LoanFault::ReduceAfterGrant, pair(); "reduce after grant")]
#[test_case(LoanFault::RestartWithoutDelay, restarts(); "restart without delay")]
#[test_case(LoanFault::ReturnKeptInUse, early_returns(); "return kept in use")]
#[test_case(LoanFault::SentAfterDeadline, delayed_calls(); "sent after deadline")]
#[test_case(LoanFault::StaleClock, pauses(); "stale clock")]
#[test_case(LoanFault::TermFromReceipt, pair(); "term from receipt")]
fn seeded_fault_is_found(fault: LoanFault, scope: LoanScope) {
    let outcome = run(
        &format!("{fault:?}"),
        LoanScope {
            fault: Some(fault),
            ..scope
        },
    );
    assert!(outcome.violation.is_some());
}
