//! Tests of the engine: streams, slots, priorities, prefix cache, orders and load reports.

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

use jayreel_standin::{Engine, EngineSettings, Faults};
use serde_json::{Value, json};
use test_case::test_case;

/// Limit for reads and waits, far above what they take when the engine works.
const TIMEOUT: Duration = Duration::from_secs(60);

/// A prompt of exactly three cache blocks: 192 bytes or 48 tokens.
const LONG_PROMPT: &str = concat!(
    "0123456789abcdef0123456789abcdef0123456789abcdef0123456789abcdef",
    "0123456789abcdef0123456789abcdef0123456789abcdef0123456789abcdef",
    "0123456789abcdef0123456789abcdef0123456789abcdef0123456789abcdef",
);

fn start_engine(settings: EngineSettings) -> Engine {
    let address: SocketAddr = "127.0.0.1:0".parse().unwrap();
    Engine::start(address, settings).unwrap()
}

/// Settings with a single slot and slow tokens, so that a call with many tokens occupies
/// the slot until it is cancelled.
fn single_slot() -> EngineSettings {
    EngineSettings {
        slots: 1,
        token_us: 1_000,
        ..EngineSettings::default()
    }
}

/// Polls until `condition` holds. Panics with `what` after [`TIMEOUT`].
fn wait_until(what: &str, condition: impl Fn() -> bool) {
    let deadline = Instant::now() + TIMEOUT;
    while !condition() {
        assert!(Instant::now() < deadline, "timed out waiting until {what}");
        std::thread::sleep(Duration::from_millis(2));
    }
}

/// Sends a request without reading the response. `head` is the request line and may
/// include headers. The call is cancelled when the stream is dropped.
fn send_request(engine: &Engine, head: &str, body: &Value) -> TcpStream {
    let mut stream = TcpStream::connect(engine.address()).unwrap();
    stream.set_read_timeout(Some(TIMEOUT)).unwrap();
    let body = match body {
        Value::Null => String::new(),
        body => body.to_string(),
    };
    let length = body.len();
    let end = format!("host: e\r\nconnection: close\r\ncontent-length: {length}\r\n\r\n");
    write!(stream, "{head}\r\n{end}{body}").unwrap();
    stream
}

/// Reads the whole response and returns its status and body.
fn read_response(mut stream: TcpStream) -> (u16, String) {
    let mut text = String::new();
    stream.read_to_string(&mut text).unwrap();
    let status = text.split(' ').nth(1).unwrap().parse().unwrap();
    let body = text.split_once("\r\n\r\n").unwrap().1.to_string();
    (status, body)
}

/// Sends a request and returns the status and the JSON of its response.
fn request_json(engine: &Engine, head: &str, body: &Value) -> (u16, Value) {
    let (status, body) = read_response(send_request(engine, head, body));
    (status, serde_json::from_str(&body).unwrap())
}

fn get_json(engine: &Engine, path: &str) -> Value {
    request_json(engine, &format!("GET {path} HTTP/1.1"), &Value::Null).1
}

/// A completion request for exactly `max_tokens` tokens.
fn chat_request(prompt: &str, max_tokens: u64, stream: bool) -> Value {
    json!({ "model": "m", "messages": [{ "role": "user", "content": prompt }],
        "max_tokens": max_tokens, "ignore_eos": true, "stream": stream,
        "stream_options": { "include_usage": true } })
}

const CHAT_REQUEST_LINE: &str = "POST /v1/chat/completions HTTP/1.1";

/// Guards against text or usage that differs between complete and streamed responses.
#[test]
fn complete_and_streamed_responses_agree() {
    let engine = start_engine(EngineSettings::default());
    let (_, whole) =
        request_json(&engine, CHAT_REQUEST_LINE, &chat_request("hello", 3, false));
    let (_, streamed) = read_response(send_request(
        &engine,
        CHAT_REQUEST_LINE,
        &chat_request("hello", 3, true),
    ));
    let events: Vec<Value> = streamed
        .lines()
        .filter_map(|line| line.strip_prefix("data: "))
        .filter_map(|data| serde_json::from_str(data).ok())
        .collect();
    let content: String = events
        .iter()
        .filter_map(|event| event["choices"][0]["delta"]["content"].as_str())
        .collect();
    assert_eq!(whole["choices"][0]["message"]["content"], content.as_str());
    assert_eq!(events.last().unwrap()["usage"], whole["usage"]);
    assert_eq!(whole["usage"]["completion_tokens"], 3);
    assert!(streamed.contains("data: [DONE]"));
    engine.close();
}

/// Guards against streams that wait although slots are free, or that keep running after
/// their clients have closed the connection.
#[test]
fn runs_500_streams_at_once() {
    let engine = start_engine(EngineSettings {
        slots: 500,
        token_us: 1_000,
        ..EngineSettings::default()
    });
    let streams: Vec<TcpStream> = (0..500)
        .map(|_| {
            send_request(
                &engine,
                CHAT_REQUEST_LINE,
                &chat_request("x", 1_000_000, true),
            )
        })
        .collect();
    wait_until("all calls run", || engine.load() == (500, 0));
    drop(streams);
    wait_until("all calls are cancelled", || engine.load() == (0, 0));
    assert_eq!(engine.runs().cancelled, 500);
    engine.close();
}

/// Guards against calls that keep their slot after the client has closed the connection.
/// The waiting call would then never run.
#[test_case(true; "streamed")]
#[test_case(false; "complete")]
fn closed_connection_frees_the_slot(stream: bool) {
    let engine = start_engine(single_slot());
    let running = send_request(
        &engine,
        CHAT_REQUEST_LINE,
        &chat_request("x", 1_000_000, stream),
    );
    wait_until("the call runs", || engine.load() == (1, 0));
    let waiting = send_request(&engine, CHAT_REQUEST_LINE, &chat_request("x", 1, false));
    wait_until("a call waits", || engine.load() == (1, 1));
    drop(running);
    assert_eq!(read_response(waiting).0, 200);
    engine.close();
}

/// Guards against a waiting call that is cancelled but stays in the queue, and later takes
/// a slot that nobody frees.
#[test]
fn cancelled_waiting_call_leaves_the_queue() {
    let engine = start_engine(single_slot());
    let running = send_request(
        &engine,
        CHAT_REQUEST_LINE,
        &chat_request("x", 1_000_000, true),
    );
    wait_until("the call runs", || engine.load() == (1, 0));
    let waiting = send_request(&engine, CHAT_REQUEST_LINE, &chat_request("x", 1, true));
    wait_until("a call waits", || engine.load() == (1, 1));
    drop(waiting);
    wait_until("the waiting call has left the queue", || {
        engine.load() == (1, 0)
    });
    drop(running);
    wait_until("the engine is idle", || engine.load() == (0, 0));
    engine.close();
}

/// Guards against priorities that are ignored when a slot becomes free: the call with the
/// lower value must run first although it arrived later.
#[test]
fn lower_priority_value_runs_first() {
    let engine = start_engine(single_slot());
    let running = send_request(
        &engine,
        CHAT_REQUEST_LINE,
        &chat_request("x", 1_000_000, true),
    );
    wait_until("the call runs", || engine.load() == (1, 0));
    let mut low_priority = chat_request("x", 1_000_000, true);
    low_priority["priority"] = 5.into();
    let low_priority = send_request(&engine, CHAT_REQUEST_LINE, &low_priority);
    wait_until("the first call waits", || engine.load() == (1, 1));
    let mut urgent = chat_request("x", 1, true);
    urgent["priority"] = 1.into();
    let urgent = send_request(&engine, CHAT_REQUEST_LINE, &urgent);
    wait_until("both calls wait", || engine.load() == (1, 2));
    drop(running);
    assert!(read_response(urgent).1.contains("[DONE]"));
    drop(low_priority);
    engine.close();
}

/// Guards against a cache that does not find the prefix of a longer prompt, loses tags,
/// keeps blocks after their tag was released, or reports a wrong size.
#[test]
fn cache_holds_prefixes_until_released() {
    let engine = start_engine(EngineSettings::default());
    let tagged = format!("{CHAT_REQUEST_LINE}\r\njayreel-cache-tag: t1");
    let cached = |response: &Value| {
        response["usage"]["prompt_tokens_details"]["cached_tokens"]
            .as_u64()
            .unwrap()
    };
    let (_, first) = request_json(&engine, &tagged, &chat_request(LONG_PROMPT, 1, false));
    let longer = format!("{LONG_PROMPT} and more");
    let (_, second) = request_json(&engine, &tagged, &chat_request(&longer, 1, false));
    assert_eq!((cached(&first), cached(&second)), (0, 48));
    assert_eq!(engine.cache_tags(), ["t1"]);
    request_json(&engine, "DELETE /cache/t1 HTTP/1.1", &Value::Null);
    assert_eq!(get_json(&engine, "/cache")["used_tokens"], 0);
    let (_, third) = request_json(&engine, &tagged, &chat_request(LONG_PROMPT, 1, false));
    assert_eq!(cached(&third), 0);
    engine.close();
}

/// Guards against a cache that grows beyond its capacity, or evicts blocks that were used
/// recently. The capacity is four blocks; the two prompts have three full blocks each.
#[test]
fn cache_evicts_the_least_recently_used() {
    let engine = start_engine(EngineSettings {
        cache_tokens: 64,
        ..EngineSettings::default()
    });
    for tag in ["t1", "t2"] {
        let prompt = format!("{tag}{LONG_PROMPT}");
        let head = format!("{CHAT_REQUEST_LINE}\r\njayreel-cache-tag: {tag}");
        request_json(&engine, &head, &chat_request(&prompt, 1, false));
    }
    let cache = get_json(&engine, "/cache");
    assert_eq!(cache["used_tokens"], 64);
    assert_eq!(cache["tags"], json!({ "t1": 16, "t2": 48 }));
    engine.close();
}

/// Guards against a `checks_fencing` that has no effect. An equal number must always be
/// accepted, a lower one only without the check.
#[test_case(true, 409; "checks")]
#[test_case(false, 200; "ignores")]
fn old_fencing_number(checks_fencing: bool, expected: u16) {
    let engine = start_engine(EngineSettings {
        checks_fencing,
        ..EngineSettings::default()
    });
    let submit = |fencing: u64| {
        request_json(
            &engine,
            "POST /orders HTTP/1.1",
            &json!({ "fencing": fencing }),
        )
        .0
    };
    assert_eq!((submit(5), submit(5), submit(4)), (200, 200, expected));
    engine.close();
}

/// Guards against the faults `load_lag_ms` and `cache_event_gap` having no effect. The lag
/// of an hour is older than all load samples, so the reported load is zero; with gap 2,
/// only events with odd numbers are reported.
#[test]
fn load_lag_and_event_gaps_are_applied() {
    let engine = start_engine(single_slot());
    engine.faults().set(Faults {
        load_lag_ms: 3_600_000,
        cache_event_gap: 2,
        ..Faults::default()
    });
    let running = send_request(
        &engine,
        CHAT_REQUEST_LINE,
        &chat_request(LONG_PROMPT, 1_000_000, true),
    );
    wait_until("the call runs", || engine.load() == (1, 0));
    assert_eq!(get_json(&engine, "/load")["running"], 0);
    wait_until("the events are readable", || {
        !get_json(&engine, "/cache/events?from=1")["events"].is_null()
    });
    drop(running);
    wait_until("the engine is idle", || engine.load() == (0, 0));
    request_json(&engine, CHAT_REQUEST_LINE, &chat_request("x", 1, false));
    let events = get_json(&engine, "/cache/events?from=1");
    let sequence_numbers: Vec<u64> = events["events"]
        .as_array()
        .unwrap()
        .iter()
        .map(|event| event["seq"].as_u64().unwrap())
        .collect();
    assert!(
        sequence_numbers.contains(&1) && sequence_numbers.contains(&3),
        "{sequence_numbers:?}"
    );
    assert!(
        sequence_numbers.iter().all(|number| number % 2 == 1),
        "{sequence_numbers:?}"
    );
    engine.close();
}

/// Guards against a silenced connection that still delivers tokens or is closed. The
/// engine must still serve new connections, and the silenced call keeps its slot.
#[test]
fn silenced_stream_stops() {
    let engine = start_engine(EngineSettings {
        token_us: 0,
        ..single_slot()
    });
    let stream = send_request(
        &engine,
        CHAT_REQUEST_LINE,
        &chat_request("x", 1_000_000, true),
    );
    let mut reader = BufReader::new(stream.try_clone().unwrap());
    let mut line = String::new();
    while !line.starts_with("data: ") {
        line.clear();
        reader.read_line(&mut line).unwrap();
    }
    engine.faults().set(Faults {
        silence_open_connections: true,
        ..Faults::default()
    });
    stream
        .set_read_timeout(Some(Duration::from_millis(500)))
        .unwrap();
    // The socket buffers may still hold tokens that were sent before the fault was set.
    let error = (0..100_000).find_map(|_| {
        line.clear();
        let read = reader.read_line(&mut line);
        assert!(!matches!(read, Ok(0)), "the connection was closed");
        read.err()
    });
    let error = error.expect("the stream goes on after its connection was silenced");
    assert_eq!(error.kind(), std::io::ErrorKind::WouldBlock);
    assert_eq!(get_json(&engine, "/load")["running"], 1);
    engine.close();
}
