//! A program whose sub-agents go on from one long conversation in parallel.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::thread;
use std::time::Duration;

use crate::client::{self, Answer};
use crate::configuration::{configuration, route};
use crate::fleet::Fleet;
use crate::orders;
use crate::record::Record;
use crate::store::Store;
use crate::worker::Worker;

/// Turns of the conversation, and their input.
const TURNS: usize = 9;
const INPUT_BYTES: usize = 3 << 19;
/// Sub-agents that go on from its last turn.
const SUB_AGENTS: usize = 10;

/// Memory limit of an entry machine, in MB.
const MEMORY_MB: u64 = 110;

pub fn run(record: &Arc<Record>, has_trouble: bool) -> io::Result<bool> {
    let store = Store::start()?;
    let kept = ",\"retained\":true,\"retentionS\":60.0,\"resumable\":false";
    let routes = [
        route("kept", "streaming", "models", kept),
        route("order", "unsafe", "apps", ""),
    ];
    store.put("op/config", &configuration(7, &routes));
    for (id, service) in [("i-1", "models"), ("i-2", "models"), ("i-3", "apps")] {
        let worker = Worker::start(id, record)?;
        store.put(&format!("servers/{id}"), &worker.entry(service, "zone-a"));
    }
    let fleet = Fleet::start(store, record, 1, MEMORY_MB)?;
    let front = fleet.edges[0].front();
    thread::sleep(Duration::from_secs(5));
    let orders = orders::start(front, record, Duration::from_secs(25));
    let mut previous: Option<String> = None;
    for number in 1..=TURNS {
        let id = format!("turn-{number}");
        let answer = turn(front, record, &id, previous.as_deref());
        if answer.status() != 200 || !answer.is_whole() {
            return Err(io::Error::other("a turn of the conversation failed"));
        }
        previous = Some(id);
    }
    let agent = move |number: usize, record: &Record, previous: Option<String>| {
        turn(front, record, &format!("agent-{number}"), previous.as_deref());
    };
    let agents = (0..SUB_AGENTS).map(|number| {
        let (record, previous) = (Arc::clone(record), previous.clone());
        thread::spawn(move || agent(number, &record, previous))
    });
    match has_trouble {
        true => {
            let agents: Vec<_> = agents.collect();
            agents.into_iter().for_each(|one| drop(one.join()));
        }
        false => agents.for_each(|one| drop(one.join())),
    }
    let cut = orders::join(orders);
    let kills = record.lines("memory_kill ").len();
    record.add(&format!("kept_connections_closed_without_answer={cut} memory_kills={kills}"));
    Ok(cut > 3)
}

fn turn(front: SocketAddr, record: &Record, id: &str, previous: Option<&str>) -> Answer {
    let mut headers = vec![
        ("Request-Id", id),
        ("Deadline-Ms", "3000"),
        ("Api-Key", "key-a"),
        ("Program-Id", "program-1"),
        ("Session-Id", "session-1"),
        ("Program-Deadline-Ms", "30000"),
        ("Token-Usage", "1840,286"),
        ("Token-Budget", "22880"),
    ];
    headers.extend(previous.map(|previous| ("Previous-Turn", previous)));
    record.add(&format!("sent id={id} previous={}", previous.unwrap_or("none")));
    let input = vec![b'i'; INPUT_BYTES];
    let answer = client::call(front, "POST", "/kept/events/6/pause/10", &headers, &input);
    let (status, whole) = (answer.status(), answer.is_whole());
    record.add(&format!("answer id={id} status={status} whole={whole}"));
    answer
}
