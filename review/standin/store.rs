//! The platform's store.

use std::collections::BTreeMap;
use std::net::{SocketAddr, TcpListener};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

use crate::http::{Connection, Message, serve};
use crate::json::Json;

#[derive(Clone)]
struct Item {
    /// Base64.
    value: String,
    revision: u64,
    created: u64,
}

#[derive(Default)]
struct State {
    revision: u64,
    items: BTreeMap<String, Item>,
    /// All changes, oldest first. `None` for a deletion.
    changes: Vec<(u64, String, Option<Item>)>,
}

impl State {
    fn set(&mut self, revision: u64, key: &str, value: String) {
        let created = self.items.get(key).map_or(revision, |item| item.created);
        let item = Item { value, revision, created };
        self.changes.push((revision, key.to_string(), Some(item.clone())));
        self.items.insert(key.to_string(), item);
    }

    fn delete(&mut self, revision: u64, key: &str) {
        if self.items.remove(key).is_some() {
            self.changes.push((revision, key.to_string(), None));
        }
    }
}

#[derive(Clone)]
pub struct Store {
    state: Arc<(Mutex<State>, Condvar)>,
    pub address: SocketAddr,
}

impl Store {
    pub fn start(listener: TcpListener) -> Store {
        let address = listener.local_addr().expect("the listener has an address");
        let state: Arc<(Mutex<State>, Condvar)> = Arc::default();
        state.0.lock().unwrap().revision = 1;
        let store = Store { state, address };
        let serving = store.clone();
        serve(listener, Arc::new(move |request, connection| serving.handle(request, connection)));
        store
    }

    /// Writes a key as the operator or a worker would.
    pub fn put(&self, key: &str, value: &str) {
        let mut state = self.state.0.lock().unwrap();
        state.revision += 1;
        let revision = state.revision;
        state.set(revision, key, base64(value.as_bytes()));
        self.state.1.notify_all();
    }

    /// Revision of the last change of a key. 0 if it does not exist.
    pub fn revision_of(&self, key: &str) -> u64 {
        let state = self.state.0.lock().unwrap();
        state.items.get(key).map_or(0, |item| item.revision)
    }

    /// Value of a key that the system wrote, as text. Empty if it does not exist.
    pub fn text_of(&self, key: &str) -> String {
        let state = self.state.0.lock().unwrap();
        let value = state.items.get(key).map_or("", |item| &item.value);
        String::from_utf8_lossy(&decode_base64(value)).to_string()
    }

    fn handle(&self, request: &Message, connection: &mut Connection) -> bool {
        let (path, query) = request.target().split_once('?').unwrap_or((request.target(), ""));
        let parameter = |name: &str| {
            let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
            let value = pairs.find(|(key, _)| *key == name);
            percent_decode(value.map_or("", |(_, value)| value))
        };
        let (status, body) = match (request.method(), path) {
            ("GET", "/-/kv-key") => self.key(&parameter("key")),
            ("GET", "/-/kv-range") => self.range(&parameter("prefix"), &parameter("after")),
            ("GET", "/-/kv-watch") => {
                let after = parameter("after").parse().unwrap_or(0);
                let wait_ms = parameter("waitMs").parse().unwrap_or(0);
                self.watch(&parameter("prefix"), after, wait_ms)
            }
            ("POST", "/-/kv-txn") => self.transact(&String::from_utf8_lossy(&request.body)),
            _ => (404, "{}".to_string()),
        };
        let headers = [("Content-Type", "application/json")];
        connection.answer(status, &headers, body.as_bytes())
    }

    fn key(&self, key: &str) -> (u16, String) {
        let state = self.state.0.lock().unwrap();
        match state.items.get(key) {
            Some(item) => {
                let mut text = item_json(key, item);
                text.pop();
                (200, format!("{text},\"storeRevision\":{}}}", state.revision))
            }
            None => (404, "{}".to_string()),
        }
    }

    fn range(&self, prefix: &str, after: &str) -> (u16, String) {
        let state = self.state.0.lock().unwrap();
        let items = state.items.iter();
        let items: Vec<String> = items
            .filter(|(key, _)| key.starts_with(prefix) && key.as_str() > after)
            .map(|(key, item)| item_json(key, item))
            .collect();
        let items = items.join(",");
        let revision = state.revision;
        (200, format!("{{\"items\":[{items}],\"hasMore\":false,\"storeRevision\":{revision}}}"))
    }

    fn watch(&self, prefix: &str, after: u64, wait_ms: u64) -> (u16, String) {
        let until = Instant::now() + Duration::from_millis(wait_ms.min(30_000));
        let mut state = self.state.0.lock().unwrap();
        loop {
            let newer = state.changes.iter();
            let events: Vec<String> = newer
                .filter(|(revision, key, _)| *revision > after && key.starts_with(prefix))
                .map(|(revision, key, item)| match item {
                    Some(item) => item_json(key, item),
                    None => {
                        format!("{{\"key\":\"{key}\",\"revision\":{revision},\"tombstone\":true}}")
                    }
                })
                .collect();
            let left = until.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() {
                let events = events.join(",");
                let revision = state.revision;
                return (200, format!("{{\"events\":[{events}],\"storeRevision\":{revision}}}"));
            }
            state = self.state.1.wait_timeout(state, left).unwrap().0;
        }
    }

    fn transact(&self, body: &str) -> (u16, String) {
        let Some(call) = Json::parse(body) else {
            return (400, "{}".to_string());
        };
        let mut state = self.state.0.lock().unwrap();
        let is_expected = call.list("expectedRev").iter().all(|row| {
            let known = state.items.get(row.text("key"));
            row.number("revision") == known.map_or(0, |item| item.revision)
        });
        if !is_expected {
            return (412, "{\"items\":[]}".to_string());
        }
        let writes = call.list("setKeys");
        if writes.iter().any(|row| {
            let key = row.text("key");
            key.starts_with("op/") || key.starts_with("servers/")
        }) {
            return (403, "{}".to_string());
        }
        state.revision += 1;
        let revision = state.revision;
        for row in writes {
            state.set(revision, row.text("key"), row.text("value").to_string());
        }
        for key in call.list("delete") {
            state.delete(revision, key.as_text());
        }
        self.state.1.notify_all();
        (200, format!("{{\"revision\":{revision}}}"))
    }
}

fn item_json(key: &str, item: &Item) -> String {
    format!(
        "{{\"key\":\"{key}\",\"value\":\"{}\",\"revision\":{},\"created\":{},\"lease\":0}}",
        item.value, item.revision, item.created
    )
}

fn percent_decode(text: &str) -> String {
    let bytes = text.as_bytes();
    let mut decoded = Vec::new();
    let mut at = 0;
    while at < bytes.len() {
        let code = bytes.get(at + 1..at + 3).and_then(|hex| std::str::from_utf8(hex).ok());
        let code = code.and_then(|hex| u8::from_str_radix(hex, 16).ok());
        match (bytes[at], code) {
            (b'%', Some(byte)) => {
                decoded.push(byte);
                at += 3;
            }
            (byte, _) => {
                decoded.push(byte);
                at += 1;
            }
        }
    }
    String::from_utf8_lossy(&decoded).to_string()
}

fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] =
        b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for part in bytes.chunks(3) {
        let all = part.iter().fold(0_u32, |all, byte| all << 8 | u32::from(*byte));
        let all = all << (8 * (3 - part.len()));
        for digit in 0..4 {
            match digit <= part.len() {
                true => text.push(DIGITS[(all >> (18 - 6 * digit)) as usize & 63] as char),
                false => text.push('='),
            }
        }
    }
    text
}

fn decode_base64(text: &str) -> Vec<u8> {
    let digit = |byte: u8| match byte {
        b'A'..=b'Z' => byte - b'A',
        b'a'..=b'z' => byte - b'a' + 26,
        b'0'..=b'9' => byte - b'0' + 52,
        b'+' => 62,
        _ => 63,
    };
    let mut bytes = Vec::new();
    for part in text.as_bytes().chunks(4) {
        let digits: Vec<u8> = part.iter().filter(|byte| **byte != b'=').map(|byte| digit(*byte)).collect();
        let all = digits.iter().fold(0_u32, |all, digit| all << 6 | u32::from(*digit));
        let all = all << (6 * (4 - digits.len()));
        let count = digits.len().saturating_sub(1);
        bytes.extend((0..count).map(|byte| (all >> (16 - 8 * byte)) as u8));
    }
    bytes
}
