//! A stand-in for the platform's store: items, ranges, watches and transactions in memory.

use std::collections::BTreeMap;
use std::io::{self, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::{decode_query, read_body, read_head};
use crate::json::Json;

#[derive(Clone, Debug)]
struct Item {
    /// Base64.
    value: String,
    revision: u64,
    created: u64,
}

#[derive(Debug, Default)]
struct State {
    revision: u64,
    items: BTreeMap<String, Item>,
    /// All changes: revision, key, and the item as JSON.
    events: Vec<(u64, String, String)>,
}

impl State {
    fn set(&mut self, key: &str, value: String) {
        self.revision += 1;
        let created = self.items.get(key).map_or(self.revision, |item| item.created);
        let item = Item {
            value,
            revision: self.revision,
            created,
        };
        self.events.push((self.revision, key.to_string(), item_json(key, &item)));
        self.items.insert(key.to_string(), item);
    }

    fn delete(&mut self, key: &str) {
        if self.items.remove(key).is_some() {
            self.revision += 1;
            let event = format!(
                "{{\"key\":\"{key}\",\"revision\":{},\"tombstone\":true}}",
                self.revision
            );
            self.events.push((self.revision, key.to_string(), event));
        }
    }

    fn revision_of(&self, key: &str) -> u64 {
        self.items.get(key).map_or(0, |item| item.revision)
    }
}

fn item_json(key: &str, item: &Item) -> String {
    format!(
        "{{\"key\":\"{key}\",\"value\":\"{}\",\"revision\":{},\"created\":{},\"lease\":0}}",
        item.value, item.revision, item.created
    )
}

pub struct Store {
    pub address: SocketAddr,
    shared: Arc<(Mutex<State>, Condvar)>,
}

impl Store {
    pub fn start() -> io::Result<Store> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let address = listener.local_addr()?;
        let shared = Arc::new((Mutex::new(State::default()), Condvar::new()));
        let for_server = Arc::clone(&shared);
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let shared = Arc::clone(&for_server);
                thread::spawn(move || serve(stream, &shared));
            }
        });
        Ok(Store { address, shared })
    }

    /// Writes as the operator or a worker does.
    pub fn put(&self, key: &str, value: &str) {
        let (state, changed) = &*self.shared;
        state.lock().expect("no panic").set(key, encode_base64(value.as_bytes()));
        changed.notify_all();
    }
}

impl Store {
    /// The value of a key, as the operator reads it. `None` if there is none.
    pub fn value(&self, key: &str) -> Option<String> {
        let state = self.shared.0.lock().expect("no panic");
        let item = state.items.get(key)?;
        Some(String::from_utf8_lossy(&decode_base64(&item.value)).into_owned())
    }
}

fn serve(stream: TcpStream, shared: &(Mutex<State>, Condvar)) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let mut writer = stream.try_clone()?;
    let mut reader = BufReader::new(stream);
    while let Some(head) = read_head(&mut reader)? {
        let body = read_body(&mut reader, &head, false)?;
        let body = String::from_utf8_lossy(&body).into_owned();
        let method = head.first_line.split(' ').next().unwrap_or_default();
        let target = head.second_word();
        let (path, query) = target.split_once('?').unwrap_or((target, ""));
        let parameters: BTreeMap<String, String> = query
            .split('&')
            .filter_map(|pair| pair.split_once('='))
            .map(|(name, value)| (name.to_string(), decode_query(value)))
            .collect();
        let parameter = |name: &str| parameters.get(name).cloned().unwrap_or_default();
        let (status, answer) = match (method, path) {
            ("GET", "/-/kv-key") => {
                let state = shared.0.lock().expect("no panic");
                match state.items.get(&parameter("key")) {
                    Some(item) => (200, item_json(&parameter("key"), item)),
                    None => (404, "{}".to_string()),
                }
            }
            ("GET", "/-/kv-range") => {
                let state = shared.0.lock().expect("no panic");
                let (prefix, after) = (parameter("prefix"), parameter("after"));
                let items = state.items.iter();
                let items = items.filter(|(key, _)| key.starts_with(&prefix) && **key > after);
                let items: Vec<String> =
                    items.map(|(key, item)| item_json(key, item)).collect();
                let answer = format!(
                    "{{\"items\":[{}],\"hasMore\":false,\"storeRevision\":{}}}",
                    items.join(","),
                    state.revision
                );
                (200, answer)
            }
            ("GET", "/-/kv-watch") => (200, watch(shared, &parameter)),
            ("POST", "/-/kv-txn") => transaction(shared, &body),
            _ => (404, "{}".to_string()),
        };
        let answer = format!(
            "HTTP/1.1 {status} x\r\nContent-Type: application/json\r\n\
             Content-Length: {}\r\n\r\n{answer}",
            answer.len()
        );
        writer.write_all(answer.as_bytes())?;
    }
    Ok(())
}

fn watch(shared: &(Mutex<State>, Condvar), parameter: &dyn Fn(&str) -> String) -> String {
    let prefix = parameter("prefix");
    let after: u64 = parameter("after").parse().unwrap_or(0);
    let wait_ms: u64 = parameter("waitMs").parse().unwrap_or(0);
    let until = Instant::now() + Duration::from_millis(wait_ms);
    let (state, changed) = shared;
    let mut state = state.lock().expect("no panic");
    loop {
        let events = state.events.iter();
        let found: Vec<&str> = events
            .filter(|(revision, key, _)| *revision > after && key.starts_with(&prefix))
            .map(|(_, _, event)| event.as_str())
            .collect();
        let left = until.saturating_duration_since(Instant::now());
        if !found.is_empty() || left.is_zero() {
            return format!(
                "{{\"events\":[{}],\"storeRevision\":{}}}",
                found.join(","),
                state.revision
            );
        }
        state = changed.wait_timeout(state, left).expect("no panic").0;
    }
}

fn transaction(shared: &(Mutex<State>, Condvar), body: &str) -> (u16, String) {
    let Some(call) = Json::parse(body) else {
        return (400, "{}".to_string());
    };
    let (state, changed) = shared;
    let mut state = state.lock().expect("no panic");
    let expected = call.list("expectedRev").iter();
    let holds = expected
        .filter_map(|row| Some((row.text("key")?, row.number("revision")?)))
        .all(|(key, revision)| state.revision_of(key) == revision);
    if !holds {
        return (412, "{\"items\":[]}".to_string());
    }
    for row in call.list("setKeys") {
        if let (Some(key), Some(value)) = (row.text("key"), row.text("value")) {
            state.set(key, value.to_string());
        }
    }
    for key in call.list("delete").iter().filter_map(Json::as_text) {
        state.delete(key);
    }
    changed.notify_all();
    (200, format!("{{\"revision\":{}}}", state.revision))
}

const LETTERS: &[u8] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

fn encode_base64(bytes: &[u8]) -> String {
    let mut text = String::new();
    for group in bytes.chunks(3) {
        let number = group.iter().fold(0_u32, |sum, byte| sum << 8 | u32::from(*byte));
        let number = number << (8 * (3 - group.len()));
        for place in 0..4 {
            match place <= group.len() {
                true => {
                    let index = (number >> (18 - 6 * place)) & 63;
                    text.push(LETTERS[index as usize] as char);
                }
                false => text.push('='),
            }
        }
    }
    text
}

fn decode_base64(text: &str) -> Vec<u8> {
    let mut bytes = Vec::new();
    let (mut number, mut bits) = (0_u32, 0);
    for letter in text.bytes() {
        let Some(value) = LETTERS.iter().position(|other| *other == letter) else {
            break;
        };
        number = number << 6 | value as u32;
        bits += 6;
        if bits >= 8 {
            bits -= 8;
            bytes.push((number >> bits) as u8);
            number &= (1 << bits) - 1;
        }
    }
    bytes
}
