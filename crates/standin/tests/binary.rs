//! Starts the `jayreel-standin` binary with each subcommand and sends it a request.

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::process::{Child, Command, Stdio};

use test_case::test_case;

/// A child process that is killed when dropped, also if the test panics.
struct ChildProcess(Child);

impl Drop for ChildProcess {
    fn drop(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

/// Guards against a binary that does not print its bound address, or serves another one.
/// Callers on port 0 have no other way to learn the port.
#[test_case("store")]
#[test_case("engine")]
#[test_case("service")]
fn serves_the_printed_address(subcommand: &str) {
    let child = Command::new(env!("CARGO_BIN_EXE_jayreel-standin"))
        .arg(subcommand)
        .stdout(Stdio::piped())
        .spawn()
        .unwrap();
    let mut process = ChildProcess(child);
    let mut line = String::new();
    BufReader::new(process.0.stdout.take().unwrap())
        .read_line(&mut line)
        .unwrap();
    let address: SocketAddr = line.trim_end().parse().unwrap();
    let mut stream = TcpStream::connect(address).unwrap();
    let request = "GET /standin/faults HTTP/1.1\r\nhost: s\r\nconnection: close\r\n\r\n";
    stream.write_all(request.as_bytes()).unwrap();
    let mut response = String::new();
    stream.read_to_string(&mut response).unwrap();
    assert!(response.starts_with("HTTP/1.1 200"), "{response}");
}
