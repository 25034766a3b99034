//! Exhaustive searches of the home weight record. They guard against instances that use
//! more than the whole of a contract together.

use jayreel_spec::home_weights::{HomeFault, HomeScope};
use jayreel_spec::home_weights_world::HomeWorld;
use jayreel_spec::quota_search::{Outcome, search};
use test_case::test_case;

/// The second instance joins: it has no weight yet.
fn joining() -> HomeScope {
    HomeScope {
        weights_ppm: vec![1_000_000, 0],
        steady_instances: 0,
        store_contacts: 8,
        ticks: 1,
        abandoned_calls: 1,
        lost_responses: 1,
        clock_lags: 0,
        crashes: 0,
        restarts: 0,
        stops: 0,
        loans: 0,
        late_grants: true,
        removals: 0,
        fault: None,
    }
}

/// The joining instance leaves while the write that reduces the weight of the other one is
/// under way.
fn leaving_again() -> HomeScope {
    HomeScope {
        steady_instances: 1,
        store_contacts: 3,
        ticks: 3,
        lost_responses: 0,
        ..joining()
    }
}

/// No instance has a weight yet.
fn starting() -> HomeScope {
    let weights_ppm = vec![0, 0];
    HomeScope {
        weights_ppm,
        store_contacts: 3,
        ticks: 2,
        ..leaving_again()
    }
}

/// The second instance is cut off or paused at any time.
fn reclaiming() -> HomeScope {
    HomeScope {
        weights_ppm: vec![500_000, 500_000],
        store_contacts: 3,
        ticks: 8,
        abandoned_calls: 0,
        ..leaving_again()
    }
}

/// A process restarts while one of its calls is under way.
fn restarting() -> HomeScope {
    HomeScope {
        store_contacts: 5,
        ticks: 2,
        abandoned_calls: 1,
        restarts: 1,
        ..reclaiming()
    }
}

/// The clock of one instance falls behind by one tick.
fn lagging() -> HomeScope {
    HomeScope {
        clock_lags: 1,
        store_contacts: 2,
        ticks: 7,
        ..reclaiming()
    }
}

/// A process crashes at any time.
fn crashing() -> HomeScope {
    HomeScope {
        crashes: 1,
        store_contacts: 2,
        ticks: 7,
        ..reclaiming()
    }
}

/// A planned stop releases the weight.
fn stopping() -> HomeScope {
    HomeScope {
        stops: 1,
        store_contacts: 4,
        ticks: 2,
        abandoned_calls: 1,
        ..reclaiming()
    }
}

/// Two instances reduce their weights for a third one that joins.
fn three_instances() -> HomeScope {
    let weights_ppm = vec![500_000, 500_000, 0];
    HomeScope {
        weights_ppm,
        store_contacts: 3,
        steady_instances: 2,
        abandoned_calls: 0,
        ..joining()
    }
}

/// Weight moves while parts of it are lent.
fn lending() -> HomeScope {
    HomeScope {
        loans: 1,
        store_contacts: 4,
        ticks: 2,
        abandoned_calls: 0,
        lost_responses: 0,
        ..joining()
    }
}

/// Responses are lost and calls are abandoned while weight moves and parts of it are lent.
fn lending_with_lost_responses() -> HomeScope {
    HomeScope {
        loans: 1,
        store_contacts: 8,
        ..joining()
    }
}

/// The second instance is cut off or paused, and one of the two has lent weight.
fn lending_and_reclaiming() -> HomeScope {
    HomeScope {
        loans: 1,
        late_grants: false,
        store_contacts: 2,
        ..reclaiming()
    }
}

/// A process that has lent weight restarts, and the new process adopts its home weight.
fn lending_and_restarting() -> HomeScope {
    HomeScope {
        restarts: 1,
        steady_instances: 2,
        ticks: 3,
        ..lending()
    }
}

/// An operator removes the weight of a dead instance that has lent a part of it.
fn lending_and_forgetting() -> HomeScope {
    HomeScope {
        crashes: 1,
        removals: 1,
        steady_instances: 2,
        ticks: 3,
        ..lending()
    }
}

/// An instance is stopped while parts of its weight are lent.
fn lending_and_stopping() -> HomeScope {
    HomeScope {
        stops: 1,
        steady_instances: 2,
        ticks: 3,
        ..lending()
    }
}

fn run(name: &str, scope: HomeScope) -> Outcome {
    search(name, HomeWorld::new(scope))
}

#[test_case("joining", joining(); "joining")]
#[test_case("leaving again", leaving_again(); "leaving again")]
#[test_case("starting", starting(); "starting")]
#[test_case("reclaiming", reclaiming(); "reclaiming")]
#[test_case("restarting", restarting(); "restarting")]
#[test_case("lagging", lagging(); "lagging")]
#[test_case("crashing", crashing(); "crashing")]
#[test_case("stopping", stopping(); "stopping")]
#[test_case("three instances", three_instances(); "three instances")]
#[test_case("lending", lending(); "lending")]
#[test_case("lending with lost responses", lending_with_lost_responses(); "lending with lost responses")]
#[test_case("lending and reclaiming", lending_and_reclaiming(); "lending and reclaiming")]
#[test_case("lending and restarting", lending_and_restarting(); "lending and restarting")]
#[test_case("lending and forgetting", lending_and_forgetting(); "lending and forgetting")]
#[test_case("lending and stopping", lending_and_stopping(); "lending and stopping")]
fn contract_is_not_exceeded(name: &str, scope: HomeScope) {
    let outcome = run(name, scope);
    assert!(outcome.violation.is_none(), "{:?}", outcome.violation);
}

#[test_case(HomeFault::ForgetWriteWithoutResponse, leaving_again(); "forget write without response")]
#[test_case(HomeFault::ReclaimEarly, reclaiming(); "reclaim early")]
#[test_case(HomeFault::RenewAfterLapse, reclaiming(); "renew after lapse")]
#[test_case(HomeFault::NoRewriteAfterLapse, reclaiming(); "no rewrite after lapse")]
#[test_case(HomeFault::StaleReadAfterLapse, reclaiming(); "stale read after lapse")]
#[test_case(HomeFault::UseBeforeReadBack, starting(); "use before read back")]
#[test_case(HomeFault::WriteBeforeReduce, joining(); "write before reduce")]
#[test_case(HomeFault::AdoptSettled, lending_and_restarting(); "adopt settled")]
#[test_case(HomeFault::ForgetReleases, lending_and_forgetting(); "forget releases")]
#[test_case(HomeFault::ReleaseUncounted, lending_and_restarting(); "release uncounted")]
#[test_case(HomeFault::ReleaseWhileLent, lending(); "release while lent")]
fn seeded_fault_is_found(fault: HomeFault, scope: HomeScope) {
    let outcome = run(
        &format!("{fault:?}"),
        HomeScope {
            fault: Some(fault),
            ..scope
        },
    );
    assert!(outcome.violation.is_some());
}
