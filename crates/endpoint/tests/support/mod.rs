//! Scripted endpoints on 127.0.0.1, and an observer that records the response.

#![allow(dead_code)]

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::mpsc::{Receiver, channel};
use std::time::Duration;

use jayreel_endpoint::{
    CallFailure, CallObserver, CallRequest, CancelHandle, EndpointClient,
    HttpEndpointClient, ResponseHead,
};

/// Maximum wait for a result. Far above the waits of a passing test.
pub const RESULT_TIMEOUT: Duration = Duration::from_secs(30);

/// A connection that the scripted endpoint accepted.
pub struct Connection {
    pub stream: TcpStream,
    /// Counts the endpoint's connections from 0.
    pub number: usize,
}

impl Connection {
    /// Reads one request with its body. `None` if the client closed the connection.
    pub fn read_request(&mut self) -> Option<String> {
        let mut head = Vec::new();
        while !head.ends_with(b"\r\n\r\n") {
            let mut byte = [0; 1];
            match self.stream.read(&mut byte) {
                Ok(1) => head.push(byte[0]),
                _ if head.is_empty() => return None,
                _ => panic!(
                    "the connection ended in the head: {:?}",
                    String::from_utf8_lossy(&head)
                ),
            }
        }
        let text = String::from_utf8(head).expect("an ASCII head");
        let length = text
            .lines()
            .filter_map(|line| line.split_once(": "))
            .find(|(name, _)| name.eq_ignore_ascii_case("content-length"))
            .map_or(0, |(_, length)| length.parse().expect("a length"));
        let mut body = vec![0; length];
        self.stream.read_exact(&mut body).expect("a whole body");
        Some(text + &String::from_utf8_lossy(&body))
    }

    /// Writes raw bytes. Ignores errors, since the client may have closed the connection.
    pub fn send(&mut self, text: &str) {
        let _ = self.stream.write_all(text.as_bytes());
    }

    /// Waits until the client closes the connection. Returns the number of bytes that arrived
    /// before.
    pub fn wait_closed(&mut self) -> usize {
        let mut rest = Vec::new();
        if let Err(error) = self.stream.read_to_end(&mut rest) {
            assert_eq!(error.kind(), std::io::ErrorKind::ConnectionReset);
        }
        rest.len()
    }
}

/// A scripted endpoint. It handles one connection at a time.
pub struct Endpoint<T> {
    pub address: SocketAddr,
    /// What the script returned for each connection.
    pub reports: Receiver<T>,
}

/// Starts an endpoint that runs `script` for each connection.
pub fn endpoint<T: Send + 'static>(
    mut script: impl FnMut(&mut Connection) -> T + Send + 'static,
) -> Endpoint<T> {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("an address");
    let (sender, reports) = channel();
    std::thread::spawn(move || {
        for (number, stream) in listener.incoming().enumerate() {
            let stream = stream.expect("a connection");
            stream
                .set_read_timeout(Some(RESULT_TIMEOUT))
                .expect("a deadline");
            let report = script(&mut Connection { stream, number });
            if sender.send(report).is_err() {
                return;
            }
        }
    });
    Endpoint { address, reports }
}

impl<T> Endpoint<T> {
    /// Waits for the script of the next connection to end and returns its result.
    pub fn report(&self) -> T {
        self.reports
            .recv_timeout(RESULT_TIMEOUT)
            .expect("the script ends")
    }
}

/// Records the response of a call.
#[derive(Debug, Default)]
pub struct RecordedResponse {
    pub sent: bool,
    pub head: Option<ResponseHead>,
    pub body: Vec<u8>,
    /// Cancels the call once the body has this many bytes.
    pub cancel_at: Option<usize>,
}

impl CallObserver for RecordedResponse {
    fn sent(&mut self) {
        self.sent = true;
    }

    fn head(&mut self, head: &ResponseHead) -> bool {
        self.head = Some(head.clone());
        true
    }

    fn chunk(&mut self, bytes: &[u8]) -> bool {
        self.body.extend_from_slice(bytes);
        self.cancel_at.is_none_or(|limit| self.body.len() < limit)
    }
}

impl RecordedResponse {
    pub fn status(&self) -> u16 {
        self.head.as_ref().expect("a head arrived").status
    }

    pub fn header(&self, name: &str) -> Option<&str> {
        let head = self.head.as_ref().expect("a head arrived");
        let found = head.headers.iter().find(|(key, _)| key == name);
        found.map(|(_, value)| value.as_str())
    }
}

/// A request that is not repeatable.
pub fn request(address: SocketAddr) -> CallRequest {
    CallRequest {
        address: address.to_string(),
        method: "POST".to_string(),
        path: "/run".to_string(),
        headers: Vec::new(),
        body: b"body".to_vec(),
        repeatable: false,
        connect_timeout_ms: 20_000,
        progress_timeout_ms: 20_000,
    }
}

/// Runs a call on another thread, so that a call that never ends fails its test.
pub fn call(request: &CallRequest) -> (Result<(), CallFailure>, RecordedResponse) {
    let request = request.clone();
    let (sender, outcome) = channel();
    std::thread::spawn(move || {
        sender.send(call_with(&HttpEndpointClient::default(), &request))
    });
    outcome.recv_timeout(RESULT_TIMEOUT).expect("the call ends")
}

/// Runs a call on this thread.
pub fn call_with(
    client: &HttpEndpointClient,
    request: &CallRequest,
) -> (Result<(), CallFailure>, RecordedResponse) {
    let mut record = RecordedResponse::default();
    let mut ignore = |_: Box<dyn CancelHandle>| {};
    let outcome = client.call(request, &mut ignore, &mut record);
    (outcome, record)
}
