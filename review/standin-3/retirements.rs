//! Scenarios in which storage machines are retired, replaced and lose their disks.

use std::thread::sleep;
use std::time::{Duration, Instant};

use crate::fleet::Machine;
use crate::retired_disk::{CAUGHT_UP, Deployment, lose_disk, send_turn};
use crate::{Setup, Verdict};

/// `recoverS` of the settings.
const RECOVER: Duration = Duration::from_secs(12);

/// Time over which the service is judged, the last part of the scenario.
const JUDGED: Duration = Duration::from_secs(4);

const TURNS: usize = 40;

fn could_not(reason: &str) -> Verdict {
    Verdict::CouldNotRun(reason.to_string())
}

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

/// Judges the rule RECOVER.
fn judge_recovery(setup: &Setup, deployment: &Deployment) -> Verdict {
    sleep(RECOVER);
    let (sent, served) = serve_turns(setup, deployment, "after");
    match served * 4 < sent {
        true => Verdict::Broken,
        false => Verdict::Held,
    }
}

/// Removes a storage machine for good, and starts an empty one at another address after `pause`.
fn replace(setup: &Setup, deployment: &mut Deployment, index: usize, pause: Duration) {
    let machine = &mut deployment.storages[index];
    machine.kill();
    setup.record.line(&format!("{} is gone for good", machine.name));
    sleep(pause);
    let mut successor = Machine::new(&setup.folder, &deployment.network, 6, true, index);
    successor.is_first_start = false;
    successor.start(&setup.binary, &deployment.store);
    setup.record.line(&format!("{} starts in its stead", successor.name));
    deployment.storages.push(successor);
}

/// A storage machine is lost for good while another one is being retired. Its successor comes 2 s
/// later.
pub fn loss_during_retirement(setup: &Setup) -> Verdict {
    let Some(mut deployment) = Deployment::start(setup) else {
        return could_not("the entry instances are not ready");
    };
    let (sent, served) = serve_turns(setup, &deployment, "before");
    if served * 4 < sent {
        return could_not("too few turns were answered");
    }
    deployment.retire(setup, 0);
    sleep(Duration::from_secs(2));
    if setup.has_trouble {
        replace(setup, &mut deployment, 1, Duration::from_secs(2));
    }
    judge_recovery(setup, &deployment)
}

/// The successor of a lost storage machine comes while another one is being retired. After the loss
/// is over, one machine loses its disk.
pub fn replacement_during_retirement(setup: &Setup) -> Verdict {
    let Some(mut deployment) = Deployment::start(setup) else {
        return could_not("the entry instances are not ready");
    };
    let (sent, served) = serve_turns(setup, &deployment, "before");
    if served * 4 < sent {
        return could_not("too few turns were answered");
    }
    deployment.retire(setup, 0);
    sleep(Duration::from_millis(500));
    if setup.has_trouble {
        replace(setup, &mut deployment, 1, Duration::from_secs(1));
        sleep(CAUGHT_UP);
        lose_disk(setup, &mut deployment.storages[2], &deployment.store);
    }
    judge_recovery(setup, &deployment)
}

/// Two storage machines of three are retired one after the other. Then the last one loses its disk.
pub fn two_retirements(setup: &Setup) -> Verdict {
    let Some(mut deployment) = Deployment::start(setup) else {
        return could_not("the entry instances are not ready");
    };
    for index in 0..2 {
        deployment.retire(setup, index);
        // A retirement that is not completed leaves the machine where it is.
        deployment.await_retired(setup, index, Duration::from_secs(12));
        sleep(Duration::from_secs(1));
    }
    let mut kept = Vec::new();
    for number in 0..TURNS {
        let id = format!("turn-{number:04}");
        if send_turn(setup, &deployment.edges[0], &id, None) == 200 {
            kept.push(id);
        }
    }
    if kept.len() < TURNS / 2 {
        return could_not("too few turns were answered");
    }
    sleep(CAUGHT_UP);
    if setup.has_trouble {
        lose_disk(setup, &mut deployment.storages[2], &deployment.store);
    }
    sleep(CAUGHT_UP);
    deployment.count_lost(setup, &kept)
}
