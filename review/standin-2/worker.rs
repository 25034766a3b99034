//! A stand-in for a sound worker. What it does with a request follows from the request's path.

use std::io::{self, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::thread;
use std::time::Duration;

use crate::http::{Head, read_body, read_head};
use crate::record::Record;

pub struct Worker {
    pub address: SocketAddr,
}

impl Worker {
    pub fn start(id: &str, record: &Arc<Record>) -> io::Result<Worker> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let address = listener.local_addr()?;
        let (for_server, record) = (id.to_string(), Arc::clone(record));
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (id, record) = (for_server.clone(), Arc::clone(&record));
                thread::spawn(move || serve(stream, &id, &record));
            }
        });
        Ok(Worker { address })
    }

    /// What the worker writes about itself to the store.
    pub fn entry(&self, service: &str, zone: &str) -> String {
        format!(
            "{{\"service\":\"{service}\",\"address\":\"{}\",\"zone\":\"{zone}\",\
             \"version\":\"v1\",\"slots\":64,\"state\":\"ready\",\"coldLeftMs\":0,\"seq\":1}}",
            self.address
        )
    }
}

/// The number after a word in a path such as `/plain/bytes/800/ms/50`.
pub fn number_in(path: &str, word: &str) -> Option<usize> {
    let mut parts = path.split('/');
    parts.find(|part| *part == word)?;
    parts.next()?.parse().ok()
}

fn serve(stream: TcpStream, id: &str, record: &Record) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let mut writer = stream.try_clone()?;
    let mut reader = BufReader::new(stream);
    while let Some(head) = read_head(&mut reader)? {
        let body = read_body(&mut reader, &head, false)?;
        answer(&mut writer, id, &head, &body, record)?;
    }
    Ok(())
}

fn answer(
    writer: &mut TcpStream,
    id: &str,
    head: &Head,
    body: &[u8],
    record: &Record,
) -> io::Result<()> {
    let path = head.second_word();
    if path == "/healthz" {
        let answer = format!("HTTP/1.1 200 OK\r\nInstance-Id: {id}\r\nContent-Length: 0\r\n\r\n");
        return writer.write_all(answer.as_bytes());
    }
    let request = head.header("request-id").unwrap_or("none");
    if head.header("expect-instance").is_some_and(|expected| expected != id) {
        let answer = format!(
            "HTTP/1.1 421 x\r\nRequest-Id: {request}\r\nNot-Executed: 1\r\nInstance-Id: {id}\r\n\
             Content-Length: 0\r\n\r\n"
        );
        return writer.write_all(answer.as_bytes());
    }
    let tenant = head.header("tenant").unwrap_or("none");
    record.add(&format!(
        "run id={request} worker={id} path={path} tenant={tenant} body_bytes={} body_sum={:016x}",
        body.len(),
        checksum(body)
    ));
    let after = head.header("last-event-id").and_then(|event| event.parse().ok());
    let first = after.unwrap_or(0) + 1;
    let head = format!(
        "HTTP/1.1 200 OK\r\nRequest-Id: {request}\r\nResponse-Signature: {:016x}\r\n\
         Instance-Load: 1,0,64\r\n",
        checksum(request.as_bytes())
    );
    if let Some(ms) = number_in(path, "ms") {
        thread::sleep(Duration::from_millis(ms as u64));
    }
    match number_in(path, "events") {
        Some(events) => {
            let pause_ms = number_in(path, "pause").unwrap_or(10);
            let head = head + "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n";
            writer.write_all(head.as_bytes())?;
            for number in first..=events {
                let event = format!("id: {number}\ndata: {}\n\n", event_data(number));
                let chunk = format!("{:x}\r\n{event}\r\n", event.len());
                writer.write_all(chunk.as_bytes())?;
                thread::sleep(Duration::from_millis(pause_ms as u64));
            }
            writer.write_all(b"0\r\n\r\n")?;
        }
        None => {
            let bytes = number_in(path, "bytes").unwrap_or(800);
            let head = format!("{head}Content-Length: {bytes}\r\n\r\n");
            writer.write_all(head.as_bytes())?;
            writer.write_all(&vec![b'x'; bytes])?;
        }
    }
    record.add(&format!("run_ends id={request} worker={id}"));
    Ok(())
}

/// Data of an event of a stream.
pub fn event_data(number: usize) -> String {
    format!("word-{number}")
}

/// FNV-1a.
pub fn checksum(bytes: &[u8]) -> u64 {
    bytes.iter().fold(0xcbf2_9ce4_8422_2325, |sum, byte| {
        (sum ^ u64::from(*byte)).wrapping_mul(0x0100_0000_01b3)
    })
}
