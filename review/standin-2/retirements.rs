//! Storage machines that are emptied and taken away while others are lost.

use std::io;
use std::sync::Arc;
use std::thread;
use std::time::Duration;

use crate::client::{self, Answer};
use crate::configuration::{configuration, route};
use crate::fleet::Fleet;
use crate::record::Record;
use crate::store::Store;
use crate::worker::Worker;

/// Memory limit of an entry machine, in MB.
const MEMORY_MB: u64 = 110;
/// `recoverS` of the site.
const RECOVER: Duration = Duration::from_secs(12);
/// Time for which a loss counts after its successor has started, with some reserve: `catchUpS` 4.5 and
/// `contactMs` 3,000.
const LOSS: Duration = Duration::from_secs(10);
/// How long a machine may take to empty itself, in seconds (`for_s` 8.5), with some reserve.
const RETIREMENT: Duration = Duration::from_secs(12);
/// Time between two turns.
const INTERVAL: Duration = Duration::from_millis(50);

fn start(record: &Arc<Record>) -> io::Result<Fleet> {
    let store = Store::start()?;
    let kept = ",\"retained\":true,\"retentionS\":60.0,\"resumable\":false";
    let routes = [route("kept", "streaming", "models", kept)];
    store.put("op/config", &configuration(7, &routes));
    for id in ["i-1", "i-2"] {
        let worker = Worker::start(id, record)?;
        store.put(&format!("servers/{id}"), &worker.entry("models", "zone-a"));
    }
    let fleet = Fleet::start(store, record, 2, MEMORY_MB)?;
    thread::sleep(Duration::from_secs(5));
    Ok(fleet)
}

/// A machine is lost for good while another one empties itself; its successor comes 2 s later.
pub fn lost_during_retirement(record: &Arc<Record>, has_trouble: bool) -> io::Result<bool> {
    let mut fleet = start(record)?;
    if served(&fleet, "before", 40) < 40 {
        return Err(io::Error::other("turns are not served before the disruption"));
    }
    let [retiring, lost] = [0, 1].map(|index| Arc::clone(&fleet.storages[index]));
    fleet.retire(&retiring);
    if has_trouble {
        thread::sleep(Duration::from_millis(1_600));
        fleet.lose(&lost);
        thread::sleep(Duration::from_secs(2));
        fleet.add_storage(lost.zone)?;
    }
    fleet.remove_when_retired(&retiring, RETIREMENT);
    thread::sleep(RECOVER + LOSS);
    Ok(is_out_of_service(&fleet))
}

/// A machine is lost for good while another one empties itself; its successor comes 1 s later. A
/// second one is lost once the first loss is over.
pub fn second_loss(record: &Arc<Record>, has_trouble: bool) -> io::Result<bool> {
    let mut fleet = start(record)?;
    if served(&fleet, "before", 40) < 40 {
        return Err(io::Error::other("turns are not served before the disruption"));
    }
    let [retiring, first, second] =
        [0, 1, 2].map(|index| Arc::clone(&fleet.storages[index]));
    fleet.retire(&retiring);
    if has_trouble {
        thread::sleep(Duration::from_millis(200));
        fleet.lose(&first);
        thread::sleep(Duration::from_secs(1));
        fleet.add_storage(first.zone)?;
        fleet.remove_when_retired(&retiring, RETIREMENT);
        served(&fleet, "between", 40);
        fleet.lose(&second);
        thread::sleep(Duration::from_secs(2));
        fleet.add_storage(second.zone)?;
    }
    fleet.remove_when_retired(&retiring, RETIREMENT);
    thread::sleep(RECOVER + LOSS);
    Ok(is_out_of_service(&fleet))
}

/// Two machines are emptied and taken away, then the third one loses its disk.
pub fn two_retirements(record: &Arc<Record>, has_trouble: bool) -> io::Result<bool> {
    let fleet = start(record)?;
    for index in [0, 1] {
        let retiring = Arc::clone(&fleet.storages[index]);
        fleet.retire(&retiring);
        if !fleet.remove_when_retired(&retiring, RETIREMENT) {
            // The rule is kept if the system does not let the machine go.
            break;
        }
        thread::sleep(LOSS);
    }
    let whole: Vec<String> = (0..40)
        .map(|number| format!("kept-{number}"))
        .filter(|id| is_whole(&turn(&fleet, 0, id, None)))
        .collect();
    record.add(&format!("turns answered whole={}", whole.len()));
    if has_trouble {
        let last = &fleet.storages[2];
        record.add(&format!("lost its disk machine={}", last.name));
        last.stop();
        last.lose_disk();
        thread::sleep(Duration::from_secs(1));
        last.start()?;
    }
    thread::sleep(LOSS);
    let denied = whole.iter().enumerate().filter(|(number, previous)| {
        let next = turn(&fleet, 1, &format!("next-{number}"), Some(previous));
        matches!(next.status(), 404 | 410)
    });
    let denied = denied.count();
    record.add(&format!("denied={denied}"));
    Ok(denied > 0)
}

/// Whether less than a quarter of the turns is served that are sent now.
fn is_out_of_service(fleet: &Fleet) -> bool {
    served(fleet, "after", 80) < 20
}

/// Sends first turns of programs. Returns how many are served.
fn served(fleet: &Fleet, name: &str, count: usize) -> usize {
    let turns = (0..count).map(|number| {
        thread::sleep(INTERVAL);
        turn(fleet, number % 2, &format!("{name}-{number}"), None)
    });
    let served = turns.filter(is_whole).count();
    fleet.record.add(&format!("served {name}={served} of {count}"));
    served
}

fn is_whole(answer: &Answer) -> bool {
    answer.status() == 200 && answer.is_whole()
}

fn turn(fleet: &Fleet, edge: usize, id: &str, previous: Option<&str>) -> Answer {
    let mut headers = vec![
        ("Request-Id", id),
        ("Deadline-Ms", "3000"),
        ("Api-Key", "key-a"),
        ("Program-Id", id),
        ("Session-Id", "session-1"),
        ("Program-Deadline-Ms", "30000"),
        ("Token-Usage", "100,286"),
        ("Token-Budget", "2288"),
    ];
    headers.extend(previous.map(|previous| ("Previous-Turn", previous)));
    let front = fleet.edges[edge].front();
    let answer = client::call(front, "POST", "/kept/events/3/pause/5", &headers, b"input.");
    let (status, whole) = (answer.status(), answer.is_whole());
    fleet.record.add(&format!("answer id={id} status={status} whole={whole}"));
    answer
}
