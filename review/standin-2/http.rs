//! HTTP/1.1 over plain sockets: reading of messages, for the stand-ins and the clients.

use std::io::{self, BufRead, BufReader, Read};
use std::net::TcpStream;

/// Head of a request or response: the first line, and the headers in lower case.
#[derive(Clone, Debug, Default)]
pub struct Head {
    pub first_line: String,
    pub headers: Vec<(String, String)>,
}

impl Head {
    pub fn header(&self, name: &str) -> Option<&str> {
        let mut headers = self.headers.iter();
        let found = headers.find(|(other, _)| other.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.as_str())
    }

    /// The second word of the first line: the target of a request, the status of a response.
    pub fn second_word(&self) -> &str {
        self.first_line.split(' ').nth(1).unwrap_or_default()
    }

    pub fn status(&self) -> u16 {
        self.second_word().parse().unwrap_or(0)
    }
}

/// Reads a head. `None` at the end of the connection before its first byte.
pub fn read_head(reader: &mut BufReader<TcpStream>) -> io::Result<Option<Head>> {
    let mut head = Head::default();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            return match head.first_line.is_empty() {
                true => Ok(None),
                false => Err(io::ErrorKind::UnexpectedEof.into()),
            };
        }
        let line = line.trim_end();
        match line {
            "" if head.first_line.is_empty() => continue,
            "" => return Ok(Some(head)),
            _ if head.first_line.is_empty() => head.first_line = line.to_string(),
            _ => {
                let (name, value) = line.split_once(':').unwrap_or((line, ""));
                let header = (name.to_ascii_lowercase(), value.trim().to_string());
                head.headers.push(header);
            }
        }
    }
}

/// Reads a body with a length or in chunks. A response without either ends with its connection.
pub fn read_body(
    reader: &mut BufReader<TcpStream>,
    head: &Head,
    until_end: bool,
) -> io::Result<Vec<u8>> {
    let mut body = Vec::new();
    if head.header("transfer-encoding") == Some("chunked") {
        loop {
            let chunk = read_chunk(reader)?;
            if chunk.is_empty() {
                return Ok(body);
            }
            body.extend_from_slice(&chunk);
        }
    }
    match head.header("content-length").and_then(|length| length.parse().ok()) {
        Some(length) => {
            body.resize(length, 0);
            reader.read_exact(&mut body)?;
        }
        None if until_end => {
            reader.read_to_end(&mut body)?;
        }
        None => {}
    }
    Ok(body)
}

/// Reads a chunk of a body. The last one is empty.
pub fn read_chunk(reader: &mut BufReader<TcpStream>) -> io::Result<Vec<u8>> {
    let mut line = String::new();
    if reader.read_line(&mut line)? == 0 {
        return Err(io::ErrorKind::UnexpectedEof.into());
    }
    let length = usize::from_str_radix(line.trim(), 16)
        .map_err(|_| io::Error::from(io::ErrorKind::InvalidData))?;
    let mut chunk = vec![0; length + 2];
    reader.read_exact(&mut chunk)?;
    chunk.truncate(length);
    Ok(chunk)
}

/// Decodes percent escapes of a query.
pub fn decode_query(text: &str) -> String {
    let bytes = text.as_bytes();
    let mut decoded = Vec::new();
    let mut position = 0;
    while position < bytes.len() {
        let escaped = bytes.get(position + 1..position + 3);
        let code = escaped
            .filter(|_| bytes[position] == b'%')
            .and_then(|digits| std::str::from_utf8(digits).ok())
            .and_then(|digits| u8::from_str_radix(digits, 16).ok());
        decoded.push(code.unwrap_or(bytes[position]));
        position += if code.is_some() { 3 } else { 1 };
    }
    String::from_utf8_lossy(&decoded).into_owned()
}
