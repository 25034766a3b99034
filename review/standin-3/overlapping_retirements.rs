//! Two storage machines are retired at the same time, while a new one is added. Later, after both
//! retirements have been reported as completed, one machine loses its disk.

use std::thread::sleep;
use std::time::{Duration, Instant};

use crate::fleet::{Machine, wait_until};
use crate::retired_disk::{CAUGHT_UP, Deployment, GROUP, lose_disk, send_turn};
use crate::{Setup, Verdict};

/// Time from the requests of the operator until the new machine starts.
const ADDED_AFTER: Duration = Duration::from_millis(1_500);

/// Number of times that the scenario is played, each with processes of its own, until the rule is
/// broken: the order in which two machines check the group is a matter of chance.
const ROUNDS: usize = 3;

pub fn run(setup: &Setup) -> Verdict {
    let mut verdict = Verdict::Held;
    for round in 1..=ROUNDS {
        setup.record.line(&format!("round {round}"));
        verdict = run_once(setup);
        if !matches!(verdict, Verdict::Held) {
            break;
        }
    }
    verdict
}

fn run_once(setup: &Setup) -> Verdict {
    let could_not = |reason: &str| Verdict::CouldNotRun(reason.to_string());
    let Some(mut deployment) = Deployment::start_with(setup, Some(1)) else {
        return could_not("the entry instances are not ready");
    };
    let writes = deployment.store.writes(GROUP);
    deployment.retire(setup, 0);
    deployment.retire(setup, 1);
    sleep(ADDED_AFTER);
    let mut added = Machine::new(&setup.folder, &deployment.network, 6, true, 1);
    added.is_first_start = false;
    added.start(&setup.binary, &deployment.store);
    setup.record.line(&format!("{} is added", added.name));
    deployment.storages.push(added);

    let changes = || deployment.store.writes(GROUP) - writes;
    let mut kept = Vec::new();
    let until = Instant::now() + Duration::from_secs(8);
    let mut known = 0;
    while Instant::now() < until && known < 4 {
        if changes() != known {
            known = changes();
            setup.record.line(&format!("the group has changed {known} times"));
        }
        let id = format!("turn-{:04}", kept.len());
        if send_turn(setup, &deployment.edges[1], &id, None) == 200 {
            kept.push(id);
        }
        sleep(Duration::from_millis(15));
    }
    for index in 0..2 {
        if !deployment.await_retired(setup, index, Duration::from_secs(15)) {
            return could_not("a retirement does not end");
        }
    }
    setup.record.line("both machines are removed");
    if !wait_until(Duration::from_secs(10), || deployment.edges[0].is_ready()) {
        return could_not("the entry instance is not ready");
    }
    sleep(CAUGHT_UP);
    if setup.has_trouble {
        lose_disk(setup, &mut deployment.storages[3], &deployment.store);
    }
    sleep(CAUGHT_UP);
    deployment.edges.swap(0, 1);
    deployment.count_lost(setup, &kept)
}
