//! A turn whose stream breaks off with its machine, and which the consumer resumes at another one.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::thread;
use std::time::Duration;

use crate::client::Client;
use crate::configuration::{configuration, route};
use crate::fleet::Fleet;
use crate::record::Record;
use crate::store::Store;
use crate::worker::{Worker, checksum, event_data};

/// Events of the first turn, and the one after which the machine is killed.
const EVENTS: usize = 10;
const KILLED_AFTER: usize = 4;

const FIRST_INPUT: &str = "first input.";
const SECOND_INPUT: &str = "second input.";

/// Memory limit of an entry machine, in MB.
const MEMORY_MB: u64 = 110;

pub fn run(record: &Arc<Record>, has_trouble: bool) -> io::Result<bool> {
    let store = Store::start()?;
    let kept = ",\"retained\":true,\"retentionS\":60.0,\"resumable\":true";
    let routes = [route("kept", "streaming", "models", kept)];
    store.put("op/config", &configuration(7, &routes));
    for id in ["i-1", "i-2"] {
        let worker = Worker::start(id, record)?;
        store.put(&format!("servers/{id}"), &worker.entry("models", "zone-a"));
    }
    let fleet = Fleet::start(store, record, 2, MEMORY_MB)?;
    thread::sleep(Duration::from_secs(5));
    let fronts: Vec<SocketAddr> = fleet.edges.iter().map(|edge| edge.front()).collect();
    let mut events = Vec::new();
    let first = turn(fronts[0], record, "turn-1", None, None, FIRST_INPUT, &mut |event| {
        events.push(event);
        if has_trouble && events.len() == KILLED_AFTER {
            record.add("kill machine=edge-1");
            fleet.edges[0].signal("KILL");
        }
    });
    let mut last_turn = "turn-1";
    if !first {
        let after = events.last().copied();
        last_turn = "turn-1-again";
        let push = &mut |event| events.push(event);
        if !turn(fronts[1], record, last_turn, None, after, FIRST_INPUT, push) {
            return Err(io::Error::other("the stream was not resumed"));
        }
    }
    record.add(&format!("the consumer has the events {events:?}"));
    if events != (1..=EVENTS).collect::<Vec<usize>>() {
        return Err(io::Error::other("the consumer does not have all events"));
    }
    if !turn(fronts[1], record, "turn-2", Some(last_turn), None, SECOND_INPUT, &mut |_| {}) {
        return Err(io::Error::other("the second turn failed"));
    }
    let outputs: String = (1..=EVENTS).map(|number| event_data(number) + "\n").collect();
    let expected = format!("{FIRST_INPUT}{outputs}{SECOND_INPUT}");
    let sum = format!("body_sum={:016x}", checksum(expected.as_bytes()));
    record.add(&format!("expected body_bytes={} {sum}", expected.len()));
    let runs = record.lines("run id=turn-2 ");
    // UNASKED: a worker runs a turn whose body isn't the chain's earlier inputs and outputs and then
    // the new input.
    Ok(runs.iter().any(|run| !run.contains(&sum)))
}

/// Sends a turn, and passes the numbers of its events on. Returns whether the stream was complete.
fn turn(
    front: SocketAddr,
    record: &Record,
    id: &str,
    previous: Option<&str>,
    after: Option<usize>,
    input: &str,
    on_event: &mut dyn FnMut(usize),
) -> bool {
    let after = after.map(|event| event.to_string());
    let mut headers = vec![
        ("Request-Id", id),
        ("Deadline-Ms", "3000"),
        ("Api-Key", "key-a"),
        ("Program-Id", "program-1"),
        ("Session-Id", "session-1"),
        ("Program-Deadline-Ms", "30000"),
        ("Token-Usage", "100,286"),
        ("Token-Budget", "2288"),
    ];
    headers.extend(previous.map(|previous| ("Previous-Turn", previous)));
    headers.extend(after.as_deref().map(|after| ("Last-Event-Id", after)));
    record.add(&format!("sent id={id} previous={previous:?} last_event_id={after:?}"));
    let Ok(mut client) = Client::connect(front) else { return false };
    let path = format!("/kept/events/{EVENTS}/pause/100");
    let _ = client.send("POST", &path, &headers, input.as_bytes());
    let (status, whole) = client.receive_stream(|chunk| {
        let text = String::from_utf8_lossy(chunk);
        let ids = text.lines().filter_map(|line| line.strip_prefix("id: "));
        ids.filter_map(|id| id.parse().ok()).for_each(&mut *on_event);
    });
    record.add(&format!("answer id={id} status={status} whole={whole}"));
    status == 200 && whole
}
