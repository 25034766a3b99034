//! A small HTTP/1.1 server and client on blocking sockets.

use std::io::{self, BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::thread;
use std::time::Duration;

/// A message with its start line, headers and body.
#[derive(Clone, Debug, Default)]
pub struct Message {
    pub start: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        let mut headers = self.headers.iter();
        let found = headers.find(|(key, _)| key.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.as_str())
    }

    /// Method of a request.
    pub fn method(&self) -> &str {
        self.start.split(' ').next().unwrap_or_default()
    }

    /// Target of a request.
    pub fn target(&self) -> &str {
        self.start.split(' ').nth(1).unwrap_or_default()
    }

    /// Status of a response.
    pub fn status(&self) -> u16 {
        let status = self.start.split(' ').nth(1);
        status.and_then(|status| status.parse().ok()).unwrap_or(0)
    }
}

fn broken(reason: &str) -> io::Error {
    io::Error::new(io::ErrorKind::InvalidData, reason.to_string())
}

fn read_line(reader: &mut impl BufRead) -> io::Result<String> {
    let mut line = String::new();
    if reader.read_line(&mut line)? == 0 {
        return Err(io::ErrorKind::UnexpectedEof.into());
    }
    Ok(line.trim_end_matches(['\r', '\n']).to_string())
}

/// Reads a message with its whole body. A body without a length is empty for requests, and ends with
/// the connection for responses.
pub fn read_message(reader: &mut impl BufRead, is_response: bool) -> io::Result<Message> {
    let mut message = Message {
        start: read_line(reader)?,
        ..Message::default()
    };
    loop {
        let line = read_line(reader)?;
        if line.is_empty() {
            break;
        }
        let (name, value) = line.split_once(':').ok_or_else(|| broken("header"))?;
        message
            .headers
            .push((name.trim().to_string(), value.trim().to_string()));
    }
    let is_chunked = message
        .header("transfer-encoding")
        .is_some_and(|coding| coding.eq_ignore_ascii_case("chunked"));
    let length = message
        .header("content-length")
        .map(|length| length.parse::<usize>().map_err(|_| broken("length")));
    match (is_chunked, length) {
        (true, _) => loop {
            let size = read_line(reader)?;
            let size = size.split(';').next().unwrap_or_default().trim();
            let size = usize::from_str_radix(size, 16).map_err(|_| broken("chunk"))?;
            let mut chunk = vec![0; size];
            reader.read_exact(&mut chunk)?;
            read_line(reader)?;
            if size == 0 {
                break;
            }
            message.body.extend(chunk);
        },
        (false, Some(length)) => {
            message.body = vec![0; length?];
            reader.read_exact(&mut message.body)?;
        }
        (false, None) if is_response => {
            reader.read_to_end(&mut message.body)?;
        }
        (false, None) => {}
    }
    Ok(message)
}

/// Serves each connection on a thread of its own. The handler writes the whole response and returns
/// whether the connection stays open.
pub fn serve(
    listener: TcpListener,
    handler: impl Fn(&Message, &mut TcpStream) -> io::Result<bool> + Send + Sync + 'static,
) {
    let handler = Arc::new(handler);
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let handler = Arc::clone(&handler);
            thread::spawn(move || {
                let _ = stream.set_nodelay(true);
                let Ok(mut writer) = stream.try_clone() else {
                    return;
                };
                let mut reader = BufReader::new(stream);
                while let Ok(request) = read_message(&mut reader, false) {
                    if !handler(&request, &mut writer).unwrap_or(false) {
                        return;
                    }
                }
            });
        }
    });
}

/// Writes a response with a JSON body.
pub fn respond(writer: &mut TcpStream, status: u16, body: &str) -> io::Result<bool> {
    let length = body.len();
    let response = format!(
        "HTTP/1.1 {status} Status\r\nContent-Type: application/json\r\n\
         Content-Length: {length}\r\n\r\n{body}"
    );
    writer.write_all(response.as_bytes())?;
    Ok(true)
}

/// Sends one request on a connection of its own and reads the whole response.
pub fn call(
    address: SocketAddr,
    method: &str,
    target: &str,
    headers: &[(&str, &str)],
    body: &str,
    timeout: Duration,
) -> io::Result<Message> {
    let stream = TcpStream::connect_timeout(&address, Duration::from_secs(1))?;
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(timeout))?;
    let mut request = format!("{method} {target} HTTP/1.1\r\n");
    for (name, value) in headers {
        request.push_str(&format!("{name}: {value}\r\n"));
    }
    request.push_str(&format!("Content-Length: {}\r\n\r\n{body}", body.len()));
    (&stream).write_all(request.as_bytes())?;
    read_message(&mut BufReader::new(stream), true)
}
