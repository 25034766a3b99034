//! Behaviour of the server when the process runs out of file descriptors. In a file of its
//! own, because it changes a limit of the whole process.

mod support;

use std::fs::File;

use jayreel_server::ServerSettings;
use rustix::process::{Resource, Rlimit, getrlimit, setrlimit};
use support::{Client, Fixture, get, wait_until};

/// Guards against a listener that stops accepting after the first error of `accept`.
#[test]
fn listener_recovers_from_accept_errors() {
    let maximum = getrlimit(Resource::Nofile).maximum;
    let current = Some(200);
    setrlimit(Resource::Nofile, Rlimit { current, maximum }).expect("a lower limit");
    let fixture = Fixture::start(ServerSettings::default());
    let mut open_files: Vec<File> =
        std::iter::from_fn(|| File::open("/dev/null").ok()).collect();
    drop(open_files.pop());
    let mut client = Client::connect(fixture.server.address());
    wait_until("accept errors", || fixture.server.accept_errors() >= 2);
    drop(open_files);
    client.send(get("/x", ""));
    let mut responder = fixture.next_request().responder;
    responder.head(200, &[]).expect("the caller waits");
    responder.close();
    assert_eq!(client.read_response().expect("a response").status, 200);
}
