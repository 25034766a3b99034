//! A stand-in for a model worker. It answers each request with a short stream of events, and notes
//! what it runs.

use std::io::Write;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};

use crate::http::{Message, respond, serve};

/// A request that the worker has run.
#[derive(Clone, Debug)]
pub struct Run {
    pub id: String,
    pub body: Vec<u8>,
}

#[derive(Clone)]
pub struct Worker {
    id: String,
    pub address: SocketAddr,
    pub runs: Arc<Mutex<Vec<Run>>>,
    /// Whether it may crash and reports its runs.
    is_process: bool,
}

/// Identifier of a single worker in the store.
pub const WORKER_ID: &str = "i-0001";

/// A body with this text crashes the worker that begins to run it.
pub const DEADLY: &str = "deadly";

/// Serves as a worker in a process of its own until it is killed or crashes. Writes the identifier of
/// each request that it runs to standard output.
pub fn run_process(address: &str, id: &str) -> ! {
    let listener = TcpListener::bind(address).expect("the address is free");
    let worker = Worker {
        id: id.to_string(),
        address: listener.local_addr().expect("the listener is bound"),
        runs: Arc::default(),
        is_process: true,
    };
    serve(listener, move |request, writer| worker.handle(request, writer));
    loop {
        std::thread::park();
    }
}

impl Worker {
    pub fn start(listener: TcpListener) -> Worker {
        let worker = Worker {
            id: WORKER_ID.to_string(),
            is_process: false,
            address: listener.local_addr().expect("the listener is bound"),
            runs: Arc::default(),
        };
        let serving = worker.clone();
        serve(listener, move |request, writer| serving.handle(request, writer));
        worker
    }

    fn handle(&self, request: &Message, writer: &mut TcpStream) -> std::io::Result<bool> {
        if request.method() == "GET" {
            return respond(writer, 200, "{}");
        }
        let id = request.header("Request-Id").unwrap_or_default().to_string();
        if request.header("Expect-Instance").is_some_and(|expected| expected != self.id) {
            let refusal = format!(
                "HTTP/1.1 421 Misdirected\r\nRequest-Id: {id}\r\nNot-Executed: 1\r\n\
                 Content-Length: 0\r\n\r\n"
            );
            writer.write_all(refusal.as_bytes())?;
            return Ok(true);
        }
        let run = Run {
            id: id.clone(),
            body: request.body.clone(),
        };
        self.runs.lock().expect("no thread has panicked").push(run);
        if self.is_process {
            println!("{id}");
            let body = String::from_utf8_lossy(&request.body);
            if body.contains(DEADLY) {
                std::thread::sleep(std::time::Duration::from_millis(50));
                std::process::exit(1);
            }
        }
        let mut response = format!(
            "HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nResponse-Signature: s.{id}\r\n\
             Instance-Load: 1,0,12\r\nWeight-Versions: 1\r\n\
             Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
        );
        for event in 1..=3 {
            let event = format!("id: {event}\ndata: {id}-{event}\n\n");
            response.push_str(&format!("{:x}\r\n{event}\r\n", event.len()));
        }
        response.push_str("0\r\n\r\n");
        writer.write_all(response.as_bytes())?;
        Ok(true)
    }
}
