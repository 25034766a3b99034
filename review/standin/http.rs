//! A blocking HTTP/1.1 server and client.

use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

/// A request, or the head of a response.
#[derive(Clone, Debug, Default)]
pub struct Message {
    pub start: String,
    /// Names in lower case.
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> &str {
        let found = self.headers.iter().find(|(key, _)| key == name);
        found.map_or("", |(_, value)| value)
    }

    pub fn method(&self) -> &str {
        self.start.split(' ').next().unwrap_or("")
    }

    pub fn target(&self) -> &str {
        self.start.split(' ').nth(1).unwrap_or("")
    }
}

/// A connection with bytes that were read too early.
pub struct Connection {
    pub stream: TcpStream,
    rest: Vec<u8>,
}

impl Connection {
    pub fn new(stream: TcpStream) -> Connection {
        Connection { stream, rest: Vec::new() }
    }

    fn fill(&mut self) -> io::Result<bool> {
        let mut buffer = [0; 16 << 10];
        let count = self.stream.read(&mut buffer)?;
        self.rest.extend_from_slice(&buffer[..count]);
        Ok(count > 0)
    }

    fn line(&mut self) -> io::Result<Option<String>> {
        loop {
            if let Some(end) = self.rest.iter().position(|byte| *byte == b'\n') {
                let line: Vec<u8> = self.rest.drain(..=end).collect();
                let line = String::from_utf8_lossy(&line);
                return Ok(Some(line.trim_end_matches(['\r', '\n']).to_string()));
            }
            if !self.fill()? {
                return Ok(None);
            }
        }
    }

    fn exact(&mut self, count: usize) -> io::Result<Vec<u8>> {
        while self.rest.len() < count {
            if !self.fill()? {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
        }
        Ok(self.rest.drain(..count).collect())
    }

    /// Reads a head. `None` at the end of the connection.
    pub fn head(&mut self) -> io::Result<Option<Message>> {
        let Some(start) = self.line()? else {
            return Ok(None);
        };
        let mut message = Message { start, ..Message::default() };
        loop {
            let line = self.line()?.ok_or(io::ErrorKind::UnexpectedEof)?;
            if line.is_empty() {
                return Ok(Some(message));
            }
            if let Some((name, value)) = line.split_once(':') {
                let name = name.to_ascii_lowercase();
                message.headers.push((name, value.trim().to_string()));
            }
        }
    }

    /// Reads a body into `body`, as far as it comes. Returns whether it is complete.
    pub fn body(&mut self, head: &Message, body: &mut Vec<u8>) -> bool {
        let result = match head.header("transfer-encoding") {
            "chunked" => self.chunks(body),
            _ => match head.header("content-length").parse() {
                Ok(count) => self.exact(count).map(|bytes| *body = bytes),
                Err(_) => Ok(()),
            },
        };
        result.is_ok()
    }

    fn chunks(&mut self, body: &mut Vec<u8>) -> io::Result<()> {
        loop {
            let line = self.line()?.ok_or(io::ErrorKind::UnexpectedEof)?;
            let size = usize::from_str_radix(line.trim(), 16);
            let size = size.map_err(|_| io::ErrorKind::InvalidData)?;
            if size == 0 {
                self.line()?;
                return Ok(());
            }
            let bytes = self.exact(size)?;
            body.extend_from_slice(&bytes);
            self.exact(2)?;
        }
    }

    pub fn write(&mut self, bytes: &[u8]) -> bool {
        self.stream.write_all(bytes).is_ok()
    }

    pub fn chunk(&mut self, bytes: &[u8]) -> bool {
        let head = format!("{:x}\r\n", bytes.len());
        self.write(&[head.as_bytes(), bytes, b"\r\n"].concat())
    }

    /// Sends a whole answer with a length.
    pub fn answer(&mut self, status: u16, headers: &[(&str, &str)], body: &[u8]) -> bool {
        let mut head = format!("HTTP/1.1 {status} -\r\nContent-Length: {}\r\n", body.len());
        for (name, value) in headers {
            head.push_str(&format!("{name}: {value}\r\n"));
        }
        head.push_str("\r\n");
        self.write(&[head.as_bytes(), body].concat())
    }

    /// Waits, and returns false as soon as the peer has closed the connection.
    pub fn stays_open_for(&mut self, time: Duration) -> bool {
        let until = Instant::now() + time;
        let mut byte = [0];
        loop {
            let left = until.saturating_duration_since(Instant::now());
            if left.is_zero() {
                let _ = self.stream.set_read_timeout(None);
                return true;
            }
            let step = left.min(Duration::from_millis(20)).max(Duration::from_millis(1));
            let _ = self.stream.set_read_timeout(Some(step));
            match self.stream.peek(&mut byte) {
                Ok(0) => return false,
                Ok(_) => thread::sleep(step),
                Err(error)
                    if matches!(
                        error.kind(),
                        io::ErrorKind::WouldBlock | io::ErrorKind::TimedOut
                    ) => {}
                Err(_) => return false,
            }
        }
    }
}

/// Handles one request. Returns whether the connection stays open.
pub type Handler = Arc<dyn Fn(&Message, &mut Connection) -> bool + Send + Sync>;

/// Serves connections of a listener until the process ends.
pub fn serve(listener: TcpListener, handler: Handler) {
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let handler = Arc::clone(&handler);
            thread::spawn(move || serve_connection(stream, &handler));
        }
    });
}

fn serve_connection(stream: TcpStream, handler: &Handler) {
    let _ = stream.set_nodelay(true);
    let mut connection = Connection::new(stream);
    while let Ok(Some(mut request)) = connection.head() {
        let mut body = Vec::new();
        if !connection.body(&request, &mut body) {
            return;
        }
        request.body = body;
        if !handler(&request, &mut connection) {
            return;
        }
    }
}

/// What a caller got.
#[derive(Clone, Debug, Default)]
pub struct Answer {
    /// 0 if the connection ended before the head.
    pub status: u16,
    pub head: Message,
    pub body: Vec<u8>,
    pub is_complete: bool,
}

impl Answer {
    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).to_string()
    }
}

/// Sends a request on a new connection and reads the answer.
pub fn call(
    address: SocketAddr,
    method: &str,
    path: &str,
    headers: &[(&str, &str)],
    body: &[u8],
    timeout: Duration,
) -> Answer {
    exchange(address, method, path, headers, body, timeout).unwrap_or_default()
}

fn exchange(
    address: SocketAddr,
    method: &str,
    path: &str,
    headers: &[(&str, &str)],
    body: &[u8],
    timeout: Duration,
) -> io::Result<Answer> {
    let stream = TcpStream::connect_timeout(&address, Duration::from_secs(1))?;
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(timeout))?;
    let mut connection = Connection::new(stream);
    let mut head = format!("{method} {path} HTTP/1.1\r\n");
    for (name, value) in headers {
        head.push_str(&format!("{name}: {value}\r\n"));
    }
    if !body.is_empty() {
        head.push_str(&format!("Content-Length: {}\r\n", body.len()));
    }
    head.push_str("\r\n");
    connection.stream.write_all(&[head.as_bytes(), body].concat())?;
    let head = connection.head()?.ok_or(io::ErrorKind::UnexpectedEof)?;
    let mut answer = Answer {
        status: head.target().parse().unwrap_or(0),
        ..Answer::default()
    };
    answer.is_complete = connection.body(&head, &mut answer.body);
    answer.head = head;
    Ok(answer)
}
