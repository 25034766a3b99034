//! A handler that records requests, and an HTTP client that can send arbitrary bytes.

#![allow(dead_code)]

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::mpsc::{Receiver, Sender, channel};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use jayreel_model::RequestId;
use jayreel_server::{CallerServer, IncomingRequest, RequestHandler, ServerSettings};

/// Timeout for every wait in a test. Far longer than any wait in a test that passes.
pub const TIMEOUT: Duration = Duration::from_secs(30);

/// Passes requests on to the test and records disconnected callers.
pub struct RecordingHandler {
    requests: Mutex<Sender<IncomingRequest>>,
    disconnected: Mutex<Vec<RequestId>>,
    ready: AtomicBool,
}

impl RecordingHandler {
    pub fn disconnected(&self) -> Vec<RequestId> {
        self.disconnected
            .lock()
            .expect("no test panics with this lock")
            .clone()
    }

    pub fn set_ready(&self, ready: bool) {
        self.ready.store(ready, Ordering::SeqCst);
    }
}

impl RequestHandler for RecordingHandler {
    fn submit(&self, request: IncomingRequest) {
        let requests = self.requests.lock().expect("no test panics with this lock");
        let _ = requests.send(request);
    }

    fn caller_gone(&self, id: RequestId) {
        self.disconnected
            .lock()
            .expect("no test panics with this lock")
            .push(id);
    }

    fn ready(&self) -> bool {
        self.ready.load(Ordering::SeqCst)
    }
}

/// A server for callers with a recording handler.
pub struct Fixture {
    pub server: CallerServer,
    pub handler: Arc<RecordingHandler>,
    requests: Receiver<IncomingRequest>,
}

impl Fixture {
    pub fn start(settings: ServerSettings) -> Fixture {
        let (sender, requests) = channel();
        let handler = Arc::new(RecordingHandler {
            requests: Mutex::new(sender),
            disconnected: Mutex::new(Vec::new()),
            ready: AtomicBool::new(true),
        });
        let address = "127.0.0.1:0".parse().expect("an address");
        let server = CallerServer::start(address, settings, handler.clone())
            .expect("the server starts");
        Fixture {
            server,
            handler,
            requests,
        }
    }

    pub fn connect(&self) -> Client {
        Client::connect(self.server.address())
    }

    /// Waits for the next request that reaches the handler.
    pub fn next_request(&self) -> IncomingRequest {
        self.requests
            .recv_timeout(TIMEOUT)
            .expect("a request reaches the handler")
    }

    pub fn try_next_request(&self) -> Option<IncomingRequest> {
        self.requests.try_recv().ok()
    }

    /// Splits the fixture, so that another thread can receive and handle the requests.
    pub fn into_parts(
        self,
    ) -> (
        CallerServer,
        Arc<RecordingHandler>,
        Receiver<IncomingRequest>,
    ) {
        (self.server, self.handler, self.requests)
    }
}

/// Polls until the condition holds. `what` names the condition in the panic message.
pub fn wait_until(what: &str, condition: impl Fn() -> bool) {
    let start = Instant::now();
    while !condition() {
        assert!(start.elapsed() < TIMEOUT, "never happened: {what}");
        std::thread::sleep(Duration::from_millis(2));
    }
}

/// A connection to a server under test.
pub struct Client {
    pub stream: TcpStream,
    buffered: Vec<u8>,
}

/// A response as the client received it.
#[derive(Debug)]
pub struct Response {
    pub status: u16,
    pub head: String,
    pub body: Vec<u8>,
    /// Whether all bytes arrived that `Content-Length` or the chunked encoding announce.
    pub complete: bool,
}

impl Response {
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
            .set_read_timeout(Some(TIMEOUT))
            .expect("the timeout is set");
        stream
            .set_write_timeout(Some(TIMEOUT))
            .expect("the timeout is set");
        Client {
            stream,
            buffered: Vec::new(),
        }
    }

    pub fn send(&mut self, bytes: impl AsRef<[u8]>) {
        self.stream
            .write_all(bytes.as_ref())
            .expect("the server reads");
    }

    /// Reads more input into the buffer. Returns false at the end of the connection.
    fn read_more(&mut self) -> bool {
        let mut chunk = [0; 4096];
        match self.stream.read(&mut chunk) {
            Ok(0) => false,
            Ok(count) => {
                self.buffered.extend_from_slice(&chunk[..count]);
                true
            }
            Err(error) if error.kind() == std::io::ErrorKind::ConnectionReset => false,
            Err(error) => panic!("the server is silent: {error}"),
        }
    }

    fn read_line(&mut self) -> Option<String> {
        loop {
            if let Some(end) = self.buffered.windows(2).position(|two| two == b"\r\n") {
                let line = self.buffered.drain(..end + 2).collect::<Vec<u8>>();
                return Some(String::from_utf8_lossy(&line[..end]).into_owned());
            }
            if !self.read_more() {
                return None;
            }
        }
    }

    /// Removes `count` bytes from the buffer and returns them. Returns fewer, and false, if
    /// the connection ends before.
    fn read_exact(&mut self, count: usize) -> (Vec<u8>, bool) {
        while self.buffered.len() < count {
            if !self.read_more() {
                return (std::mem::take(&mut self.buffered), false);
            }
        }
        (self.buffered.drain(..count).collect(), true)
    }

    /// Reads the response to a request other than HEAD. Returns `None` if the connection ends
    /// before the end of its head.
    pub fn read_response(&mut self) -> Option<Response> {
        self.read_response_to("GET")
    }

    pub fn read_response_to(&mut self, method: &str) -> Option<Response> {
        let mut head = self.read_line()?;
        loop {
            let line = self.read_line()?;
            if line.is_empty() {
                break;
            }
            head.push('\n');
            head.push_str(&line);
        }
        let status = head.split(' ').nth(1)?.parse().ok()?;
        let mut response = Response {
            status,
            head,
            body: Vec::new(),
            complete: true,
        };
        let length = response.header("content-length").map(str::to_string);
        match length {
            _ if method == "HEAD" || status == 304 => {}
            Some(length) => {
                let length = length.parse().expect("a length");
                (response.body, response.complete) = self.read_exact(length);
            }
            None if response.header("transfer-encoding").is_some() => {
                response.complete = self.read_chunks(&mut response.body);
            }
            None => {
                while self.read_more() {}
                response.body = std::mem::take(&mut self.buffered);
            }
        }
        Some(response)
    }

    /// Decodes a chunked body. Returns false if the connection ends before the last chunk.
    fn read_chunks(&mut self, body: &mut Vec<u8>) -> bool {
        loop {
            let Some(size) = self.read_line() else {
                return false;
            };
            let size = usize::from_str_radix(&size, 16).expect("a chunk size");
            let (bytes, whole) = self.read_exact(size + 2);
            body.extend_from_slice(&bytes[..bytes.len().min(size)]);
            if size == 0 || !whole {
                return whole;
            }
        }
    }

    /// Waits for more input and returns whether the server closed the connection instead.
    pub fn is_closed(&mut self) -> bool {
        self.buffered.is_empty() && !self.read_more()
    }
}

/// Encodes a POST request. Each line of `headers` must end with CRLF.
pub fn post(path: &str, headers: &str, body: &str) -> String {
    let length = body.len();
    format!(
        "POST {path} HTTP/1.1\r\nhost: x\r\ncontent-length: {length}\r\n{headers}\r\n{body}"
    )
}

/// Encodes a GET request. Each line of `headers` must end with CRLF.
pub fn get(path: &str, headers: &str) -> String {
    format!("GET {path} HTTP/1.1\r\nhost: x\r\n{headers}\r\n")
}

/// The body of a valid chat request.
pub const CHAT: &str = r#"{"model":"m","messages":[{"role":"user","content":"hi"}]}"#;
