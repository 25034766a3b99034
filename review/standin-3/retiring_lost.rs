//! A storage machine that is being retired is lost for good after it has left the group. Its successor
//! comes, and after the loss is over, another machine loses its disk.

use std::thread::sleep;
use std::time::{Duration, Instant};

use crate::fleet::{Machine, wait_until};
use crate::retired_disk::{CAUGHT_UP, Deployment, GROUP, lose_disk, send_turn};
use crate::{Setup, Verdict};

/// `recoverS` of the settings.
const RECOVER: Duration = Duration::from_secs(12);

/// Time over which the service is judged.
const JUDGED: Duration = Duration::from_secs(4);

/// Time from the loss of the machine until its successor starts.
const SUCCESSOR_AFTER: Duration = Duration::from_secs(1);

/// Sends first turns through both entry instances for a while. Returns how many were sent and served.
fn serve_turns(setup: &Setup, deployment: &Deployment, name: &str) -> (usize, usize) {
    let until = Instant::now() + JUDGED;
    let (mut sent, mut served) = (0, 0);
    while Instant::now() < until {
        let edge = &deployment.edges[sent % 2];
        let status = send_turn(setup, edge, &format!("{name}-{sent}"), None);
        sent += 1;
        served += usize::from(status == 200 || status == 201);
        sleep(Duration::from_millis(50));
    }
    setup.record.line(&format!("{name}: {served} of {sent} turns served"));
    (sent, served)
}

pub fn run(setup: &Setup) -> Verdict {
    let could_not = |reason: &str| Verdict::CouldNotRun(reason.to_string());
    let Some(mut deployment) = Deployment::start(setup) else {
        return could_not("the entry instances are not ready");
    };
    let (sent, served) = serve_turns(setup, &deployment, "before");
    if served * 4 < sent {
        return could_not("too few turns were answered");
    }
    let writes = deployment.store.writes(GROUP);
    deployment.retire(setup, 0);
    let has_left = || deployment.store.writes(GROUP) > writes;
    if !wait_until(Duration::from_secs(15), has_left) {
        return could_not("the retiring member does not leave the group");
    }
    setup.record.line("the retiring machine has left the group");
    if setup.has_trouble {
        deployment.storages[0].kill();
        setup.record.line(&format!("{} is gone for good", deployment.storages[0].name));
    }
    sleep(SUCCESSOR_AFTER);
    let mut successor = Machine::new(&setup.folder, &deployment.network, 6, true, 0);
    successor.is_first_start = false;
    successor.start(&setup.binary, &deployment.store);
    setup.record.line(&format!("{} starts", successor.name));
    deployment.storages.push(successor);
    sleep(CAUGHT_UP);
    let (sent, served) = serve_turns(setup, &deployment, "between");
    if setup.has_trouble {
        lose_disk(setup, &mut deployment.storages[1], &deployment.store);
    }
    sleep(RECOVER);
    let (sent_after, served_after) = serve_turns(setup, &deployment, "after");
    match served * 4 >= sent && served_after * 4 < sent_after {
        true => Verdict::Broken,
        false => Verdict::Held,
    }
}
