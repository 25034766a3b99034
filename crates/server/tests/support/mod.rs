//! An intake that records, and a client that writes raw bytes.

#![allow(dead_code)]

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::mpsc::{Receiver, Sender, channel};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use jayreel_model::RequestId;
use jayreel_server::{CallerServer, IncomingRequest, RequestHandler, ServerSettings};

/// Far above any wait in a test that passes.
pub const LIMIT: Duration = Duration::from_secs(30);

/// Records what the server reports.
pub struct TestIntake {
    requests: Mutex<Sender<IncomingRequest>>,
    gone: Mutex<Vec<RequestId>>,
    ready: AtomicBool,
}

impl TestIntake {
    pub fn gone(&self) -> Vec<RequestId> {
        self.gone
            .lock()
            .expect("no test panics with this lock")
            .clone()
    }

    pub fn set_ready(&self, ready: bool) {
        self.ready.store(ready, Ordering::SeqCst);
    }
}

impl RequestHandler for TestIntake {
    fn submit(&self, request: IncomingRequest) {
        let requests = self.requests.lock().expect("no test panics with this lock");
        let _ = requests.send(request);
    }

    fn caller_gone(&self, id: RequestId) {
        self.gone
            .lock()
            .expect("no test panics with this lock")
            .push(id);
    }

    fn ready(&self) -> bool {
        self.ready.load(Ordering::SeqCst)
    }
}

/// A server with its recording intake.
pub struct Fixture {
    pub server: CallerServer,
    pub intake: Arc<TestIntake>,
    requests: Receiver<IncomingRequest>,
}

impl Fixture {
    pub fn start(settings: ServerSettings) -> Fixture {
        let (sender, requests) = channel();
        let intake = Arc::new(TestIntake {
            requests: Mutex::new(sender),
            gone: Mutex::new(Vec::new()),
            ready: AtomicBool::new(true),
        });
        let address = "127.0.0.1:0".parse().expect("an address");
        let server = CallerServer::start(address, settings, intake.clone())
            .expect("the server starts");
        Fixture {
            server,
            intake,
            requests,
        }
    }

    pub fn connect(&self) -> Client {
        Client::connect(self.server.address())
    }

    /// The next request that reached the intake.
    pub fn next(&self) -> IncomingRequest {
        self.requests
            .recv_timeout(LIMIT)
            .expect("a request reaches the intake")
    }

    pub fn has_request(&self) -> Option<IncomingRequest> {
        self.requests.try_recv().ok()
    }

    /// Takes the receiver, for a thread that answers requests.
    pub fn split(self) -> (CallerServer, Arc<TestIntake>, Receiver<IncomingRequest>) {
        (self.server, self.intake, self.requests)
    }
}

/// Waits until the condition holds.
pub fn wait_until(what: &str, condition: impl Fn() -> bool) {
    let start = Instant::now();
    while !condition() {
        assert!(start.elapsed() < LIMIT, "never happened: {what}");
        std::thread::sleep(Duration::from_millis(2));
    }
}

/// One connection to a server under test.
pub struct Client {
    pub stream: TcpStream,
    pending: Vec<u8>,
}

/// One answer.
#[derive(Debug)]
pub struct Answer {
    pub status: u16,
    pub head: String,
    pub body: Vec<u8>,
    /// Whether the body ended as its framing says.
    pub complete: bool,
}

impl Answer {
    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }

    pub fn header(&self, name: &str) -> Option<&str> {
        self.head.lines().skip(1).find_map(|line| {
            let (key, value) = line.split_once(':')?;
            key.eq_ignore_ascii_case(name).then(|| value.trim())
        })
    }
}

impl Client {
    pub fn connect(address: SocketAddr) -> Client {
        let stream = TcpStream::connect(address).expect("the listener accepts");
        stream
            .set_read_timeout(Some(LIMIT))
            .expect("a deadline is set");
        stream
            .set_write_timeout(Some(LIMIT))
            .expect("a deadline is set");
        Client {
            stream,
            pending: Vec::new(),
        }
    }

    pub fn send(&mut self, bytes: impl AsRef<[u8]>) {
        self.stream
            .write_all(bytes.as_ref())
            .expect("the server reads");
    }

    /// Reads more input. Returns false at the end of the connection.
    fn fill(&mut self) -> bool {
        let mut piece = [0; 4096];
        match self.stream.read(&mut piece) {
            Ok(0) => false,
            Ok(count) => {
                self.pending.extend_from_slice(&piece[..count]);
                true
            }
            Err(error) if error.kind() == std::io::ErrorKind::ConnectionReset => false,
            Err(error) => panic!("the server is silent: {error}"),
        }
    }

    fn line(&mut self) -> Option<String> {
        loop {
            if let Some(end) = self.pending.windows(2).position(|two| two == b"\r\n") {
                let line = self.pending.drain(..end + 2).collect::<Vec<u8>>();
                return Some(String::from_utf8_lossy(&line[..end]).into_owned());
            }
            if !self.fill() {
                return None;
            }
        }
    }

    fn take(&mut self, count: usize) -> (Vec<u8>, bool) {
        while self.pending.len() < count {
            if !self.fill() {
                return (std::mem::take(&mut self.pending), false);
            }
        }
        (self.pending.drain(..count).collect(), true)
    }

    /// Reads one answer, or `None` if the connection ends before its head.
    pub fn answer(&mut self) -> Option<Answer> {
        self.answer_to("GET")
    }

    pub fn answer_to(&mut self, method: &str) -> Option<Answer> {
        let mut head = self.line()?;
        loop {
            let line = self.line()?;
            if line.is_empty() {
                break;
            }
            head.push('\n');
            head.push_str(&line);
        }
        let status = head.split(' ').nth(1)?.parse().ok()?;
        let mut answer = Answer {
            status,
            head,
            body: Vec::new(),
            complete: true,
        };
        let length = answer.header("content-length").map(str::to_string);
        match length {
            _ if method == "HEAD" || status == 304 => {}
            Some(length) => {
                let length = length.parse().expect("a length");
                (answer.body, answer.complete) = self.take(length);
            }
            None if answer.header("transfer-encoding").is_some() => {
                answer.complete = self.chunks(&mut answer.body);
            }
            None => {
                while self.fill() {}
                answer.body = std::mem::take(&mut self.pending);
            }
        }
        Some(answer)
    }

    fn chunks(&mut self, body: &mut Vec<u8>) -> bool {
        loop {
            let Some(size) = self.line() else {
                return false;
            };
            let size = usize::from_str_radix(&size, 16).expect("a chunk size");
            let (bytes, whole) = self.take(size + 2);
            body.extend_from_slice(&bytes[..bytes.len().min(size)]);
            if size == 0 || !whole {
                return whole;
            }
        }
    }

    /// Whether the server closed the connection without sending more.
    pub fn is_closed(&mut self) -> bool {
        self.pending.is_empty() && !self.fill()
    }
}

/// The bytes of a request with a body.
pub fn post(path: &str, headers: &str, body: &str) -> String {
    let length = body.len();
    format!(
        "POST {path} HTTP/1.1\r\nhost: x\r\ncontent-length: {length}\r\n{headers}\r\n{body}"
    )
}

/// The bytes of a request without a body.
pub fn get(path: &str, headers: &str) -> String {
    format!("GET {path} HTTP/1.1\r\nhost: x\r\n{headers}\r\n")
}

/// A well-formed chat request.
pub const CHAT: &str = r#"{"model":"m","messages":[{"role":"user","content":"hi"}]}"#;
