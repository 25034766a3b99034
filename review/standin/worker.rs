//! Model workers.

use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::thread;
use std::time::{SystemTime, UNIX_EPOCH};

use crate::fleet::{Record, pause_ms};
use crate::http::{Connection, Message, serve};
use crate::store::Store;

/// What a worker does with a request that it runs. Returns whether the connection stays open.
pub type Behaviour = Arc<dyn Fn(&Worker, &Message, &mut Connection) -> bool + Send + Sync>;

/// A worker that registers itself and tells that it lives.
#[derive(Clone)]
pub struct Worker {
    pub id: String,
    address: SocketAddr,
    zone: String,
    pub record: Record,
    store: Store,
    sequence: Arc<AtomicU64>,
    born: u64,
    behaviour: Behaviour,
}

pub const SLOTS: u32 = 12;

fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |time| time.as_millis() as u64)
}

impl Worker {
    pub fn start(
        id: &str,
        ip: Ipv4Addr,
        zone: &str,
        store: &Store,
        record: &Record,
        behaviour: Behaviour,
    ) -> Worker {
        let listener = TcpListener::bind((ip, 0)).expect("a free port for a worker");
        let address = listener.local_addr().expect("an address");
        let worker = Worker {
            id: id.to_string(),
            address,
            zone: zone.to_string(),
            record: record.clone(),
            store: store.clone(),
            sequence: Arc::default(),
            born: unix_ms(),
            behaviour,
        };
        let serving = worker.clone();
        serve(listener, Arc::new(move |request, connection| serving.handle(request, connection)));
        worker.register();
        let beating = worker.clone();
        thread::spawn(move || loop {
            pause_ms(1_200);
            beating.register();
        });
        worker
    }

    /// Writes its entry, as workers do at each heartbeat.
    fn register(&self) {
        let sequence = self.sequence.fetch_add(1, Ordering::SeqCst);
        let entry = format!(
            "{{\"service\":\"engines\",\"address\":\"{}\",\"zone\":\"{}\",\"version\":\"v1\",\
             \"slots\":{SLOTS},\"state\":\"ready\",\"coldLeftMs\":0,\"seq\":{sequence},\
             \"born\":{}}}",
            self.address,
            self.zone,
            self.born
        );
        self.store.put(&format!("servers/{}", self.id), &entry);
    }

    fn handle(&self, request: &Message, connection: &mut Connection) -> bool {
        let id = request.header("request-id").to_string();
        if id.is_empty() {
            return connection.answer(400, &[("Not-Executed", "1")], b"");
        }
        let expected = request.header("expect-instance");
        if !expected.is_empty() && expected != self.id {
            let headers = [("Request-Id", id.as_str()), ("Not-Executed", "1")];
            return connection.answer(421, &headers, b"");
        }
        self.record.line(&format!(
            "arrived {id} at {} last_event={} body_bytes={}",
            self.id,
            request.header("last-event-id"),
            request.body.len()
        ));
        (self.behaviour)(self, request, connection)
    }
}

/// The head of an event stream.
pub fn stream_head(request: &Message) -> String {
    let id = request.header("request-id");
    format!(
        "HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nResponse-Signature: s.{id}\r\n\
         Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\
         Instance-Load: 1,0,{SLOTS}\r\n\r\n"
    )
}

pub fn event(id: u64, text: &str) -> String {
    format!("id: {id}\ndata: {text}\n\n")
}

/// A sound worker: streams the events after `Last-Event-Id`, with a pause before each one.
pub fn stream(
    worker: &Worker,
    request: &Message,
    connection: &mut Connection,
    events: &[u64],
    pause: u64,
) -> bool {
    let id = request.header("request-id");
    let after: u64 = request.header("last-event-id").parse().unwrap_or(0);
    worker.record.line(&format!("runs {id} at {}", worker.id));
    let mut is_open = connection.write(stream_head(request).as_bytes());
    for number in events.iter().filter(|number| **number > after) {
        is_open = is_open
            && connection.stays_open_for(std::time::Duration::from_millis(pause))
            && connection.chunk(event(*number, &format!("{id}-{number}")).as_bytes());
    }
    is_open = is_open && connection.write(b"0\r\n\r\n");
    let end = if is_open { "whole" } else { "closed by the caller" };
    worker.record.line(&format!("run of {id} ends at {}: {end}", worker.id));
    is_open
}
