//! Consumers that send short requests, which must not run twice, on kept connections.

use std::net::SocketAddr;
use std::sync::Arc;
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

use crate::client::Client;
use crate::record::Record;

/// Consumers.
const CONSUMERS: usize = 8;
/// Time for which a request is at work at its worker.
const WORK_MS: usize = 400;

/// Starts the consumers. Each returns how many of its requests from a kept connection a worker has
/// begun to run and the connection ended without any answer.
pub fn start(front: SocketAddr, record: &Arc<Record>, time: Duration) -> Vec<JoinHandle<usize>> {
    let until = Instant::now() + time;
    let consumers = (0..CONSUMERS).map(|number| {
        let record = Arc::clone(record);
        thread::spawn(move || run(front, &record, number, until))
    });
    consumers.collect()
}

pub fn join(consumers: Vec<JoinHandle<usize>>) -> usize {
    let consumers = consumers.into_iter();
    consumers.map(|one| one.join().unwrap_or(0)).sum()
}

fn run(front: SocketAddr, record: &Record, number: usize, until: Instant) -> usize {
    let mut cut = 0;
    let mut kept: Option<Client> = None;
    for round in 0.. {
        if Instant::now() >= until {
            break;
        }
        let is_kept = kept.is_some();
        let Some(mut client) = kept.take().or_else(|| Client::connect(front).ok()) else {
            thread::sleep(Duration::from_millis(100));
            continue;
        };
        let id = format!("order-{number}-{round}");
        let path = format!("/order/ms/{WORK_MS}");
        let headers = [("Request-Id", id.as_str()), ("Deadline-Ms", "3000"), ("Api-Key", "key-a")];
        let is_sent = client.send("POST", &path, &headers, b"order").is_ok();
        record.add(&format!("sent id={id} on_kept_connection={is_kept}"));
        let answer = client.receive();
        let (status, whole) = (answer.status(), answer.is_whole());
        record.add(&format!("answer id={id} status={status} whole={whole}"));
        let has_run = !record.lines(&format!("run id={id} ")).is_empty();
        cut += usize::from(is_sent && is_kept && answer.head.is_none() && has_run);
        let is_closed = answer.head.as_ref().and_then(|head| head.header("connection")) == Some("close");
        if whole && !is_closed {
            kept = Some(client);
        }
    }
    cut
}
