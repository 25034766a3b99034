//! Consumers: one request on one connection, or several on a kept one.

use std::io::{self, BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

use crate::http::{Head, read_body, read_chunk, read_head};

/// An answer as a consumer received it. `None` for a part that did not arrive.
#[derive(Clone, Debug, Default)]
pub struct Answer {
    pub head: Option<Head>,
    pub body: Option<Vec<u8>>,
}

impl Answer {
    pub fn status(&self) -> u16 {
        self.head.as_ref().map_or(0, Head::status)
    }

    pub fn is_whole(&self) -> bool {
        self.body.is_some()
    }
}

pub struct Client {
    stream: TcpStream,
    reader: BufReader<TcpStream>,
}

impl Client {
    pub fn connect(address: SocketAddr) -> io::Result<Client> {
        let stream = TcpStream::connect_timeout(&address, Duration::from_secs(1))?;
        stream.set_nodelay(true)?;
        stream.set_read_timeout(Some(Duration::from_secs(40)))?;
        let reader = BufReader::new(stream.try_clone()?);
        Ok(Client { stream, reader })
    }

    pub fn send(
        &mut self,
        method: &str,
        path: &str,
        headers: &[(&str, &str)],
        body: &[u8],
    ) -> io::Result<()> {
        let mut head = format!("{method} {path} HTTP/1.1\r\nHost: host.example\r\n");
        for (name, value) in headers {
            head.push_str(&format!("{name}: {value}\r\n"));
        }
        if method != "GET" {
            head.push_str(&format!("Content-Length: {}\r\n", body.len()));
        }
        head.push_str("\r\n");
        self.stream.write_all(head.as_bytes())?;
        self.stream.write_all(body)
    }

    pub fn receive(&mut self) -> Answer {
        let head = read_head(&mut self.reader).ok().flatten();
        let body = head.as_ref().and_then(|head| read_body(&mut self.reader, head, false).ok());
        Answer { head, body }
    }

    /// Reads a stream in chunks. Passes each chunk on as it arrives. Returns the status, and whether
    /// the stream was complete.
    pub fn receive_stream(&mut self, mut on_chunk: impl FnMut(&[u8])) -> (u16, bool) {
        let Some(head) = read_head(&mut self.reader).ok().flatten() else {
            return (0, false);
        };
        if head.header("transfer-encoding") != Some("chunked") {
            let body = read_body(&mut self.reader, &head, false);
            return (head.status(), body.is_ok());
        }
        loop {
            match read_chunk(&mut self.reader) {
                Ok(chunk) if chunk.is_empty() => return (head.status(), true),
                Ok(chunk) => on_chunk(&chunk),
                Err(_) => return (head.status(), false),
            }
        }
    }
}

/// Sends one request on a new connection.
pub fn call(
    address: SocketAddr,
    method: &str,
    path: &str,
    headers: &[(&str, &str)],
    body: &[u8],
) -> Answer {
    let Ok(mut client) = Client::connect(address) else {
        return Answer::default();
    };
    // An answer may arrive before the whole body is sent.
    let _ = client.send(method, path, headers, body);
    client.receive()
}

pub fn get_status(address: SocketAddr, path: &str) -> Option<u16> {
    let answer = call(address, "GET", path, &[], &[]);
    answer.head.map(|head| head.status())
}
