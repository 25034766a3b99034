//! A stand-in for the platform's metadata store. It acknowledges each write at once and loses
//! nothing.

use std::collections::BTreeMap;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex, MutexGuard};
use std::time::{Duration, Instant};

use crate::http::{Message, respond, serve};
use crate::json::{Value, decode_base64, encode_base64, parse};

#[derive(Default)]
struct State {
    revision: u64,
    /// Value in base64 and revision, by key.
    items: BTreeMap<String, (String, u64)>,
    /// Revision, key and value of each change. No value stands for a deletion.
    history: Vec<(u64, String, Option<String>)>,
}

impl State {
    fn set(&mut self, key: &str, value: Option<String>) {
        match &value {
            Some(value) => {
                let item = (value.clone(), self.revision);
                self.items.insert(key.to_string(), item);
            }
            None => {
                self.items.remove(key);
            }
        }
        self.history.push((self.revision, key.to_string(), value));
    }
}

#[derive(Clone)]
pub struct Store {
    state: Arc<(Mutex<State>, Condvar)>,
    pub address: SocketAddr,
}

impl Store {
    pub fn start(listener: TcpListener) -> Store {
        let address = listener.local_addr().expect("the listener is bound");
        let store = Store {
            state: Arc::default(),
            address,
        };
        store.lock().revision = 1;
        let serving = store.clone();
        serve(listener, move |request, writer| serving.handle(request, writer));
        store
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.0.lock().expect("no thread has panicked")
    }

    /// Writes a key as the operator or an endpoint does.
    pub fn put(&self, key: &str, content: &str) {
        let mut state = self.lock();
        state.revision += 1;
        state.set(key, Some(encode_base64(content.as_bytes())));
        self.state.1.notify_all();
    }

    /// Removes a key.
    pub fn remove(&self, key: &str) {
        let mut state = self.lock();
        state.revision += 1;
        state.set(key, None);
        self.state.1.notify_all();
    }

    /// The value of a key as text. Empty if it does not exist.
    pub fn text(&self, key: &str) -> String {
        let state = self.lock();
        let item = state.items.get(key);
        let content = item.map(|(value, _)| decode_base64(value)).unwrap_or_default();
        String::from_utf8_lossy(&content).into_owned()
    }

    /// Number of times that a key was written.
    pub fn writes(&self, key: &str) -> usize {
        let state = self.lock();
        state.history.iter().filter(|(_, changed, _)| changed == key).count()
    }

    fn handle(&self, request: &Message, writer: &mut TcpStream) -> std::io::Result<bool> {
        let target = request.target();
        let (path, query) = target.split_once('?').unwrap_or((target, ""));
        let parameter = |name: &str| {
            let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
            let value = pairs.find(|(key, _)| *key == name).map(|(_, value)| value);
            decode_query(value.unwrap_or_default())
        };
        let (status, body) = match path {
            "/-/kv-key" => self.key(&parameter("key")),
            "/-/kv-range" => (200, self.range(&parameter("prefix"), &parameter("after"))),
            "/-/kv-watch" => {
                let after = parameter("after").parse().unwrap_or(0);
                let wait_ms = parameter("waitMs").parse().unwrap_or(0);
                (200, self.watch(&parameter("prefix"), after, wait_ms))
            }
            "/-/kv-txn" => match parse(&request.body) {
                Some(transaction) => self.transact(&transaction),
                None => (400, "{}".to_string()),
            },
            _ => (404, "{}".to_string()),
        };
        respond(writer, status, &body)
    }

    fn key(&self, key: &str) -> (u16, String) {
        let state = self.lock();
        match state.items.get(key) {
            Some(item) => (200, item_json(key, item, Some(state.revision))),
            None => (404, "{}".to_string()),
        }
    }

    fn range(&self, prefix: &str, after: &str) -> String {
        let state = self.lock();
        let items = state.items.iter().filter(|(key, _)| {
            key.starts_with(prefix) && (after.is_empty() || key.as_str() > after)
        });
        let items: Vec<String> =
            items.map(|(key, item)| item_json(key, item, None)).collect();
        format!(
            "{{\"items\":[{}],\"hasMore\":false,\"storeRevision\":{}}}",
            items.join(","),
            state.revision
        )
    }

    fn watch(&self, prefix: &str, after: u64, wait_ms: u64) -> String {
        let until = Instant::now() + Duration::from_millis(wait_ms);
        let mut state = self.lock();
        loop {
            let changes = state.history.iter();
            let changes = changes
                .filter(|(revision, key, _)| *revision > after && key.starts_with(prefix));
            let events: Vec<String> = changes
                .map(|(revision, key, value)| match value {
                    Some(value) => item_json(key, &(value.clone(), *revision), None),
                    None => format!(
                        "{{\"key\":\"{key}\",\"revision\":{revision},\"tombstone\":true}}"
                    ),
                })
                .collect();
            let left = until.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() {
                return format!(
                    "{{\"events\":[{}],\"storeRevision\":{}}}",
                    events.join(","),
                    state.revision
                );
            }
            state = self.state.1.wait_timeout(state, left).expect("no thread has panicked").0;
        }
    }

    fn transact(&self, transaction: &Value) -> (u16, String) {
        let mut state = self.lock();
        let expected = transaction.get("expectedRev").list();
        let holds = expected.iter().all(|row| {
            let known = state.items.get(row.get("key").text());
            known.map_or(0, |(_, revision)| *revision) == row.get("revision").number()
        });
        if !holds {
            let rows = expected.iter().filter_map(|row| {
                let key = row.get("key").text();
                Some(item_json(key, state.items.get(key)?, None))
            });
            let rows: Vec<String> = rows.collect();
            return (412, format!("{{\"items\":[{}]}}", rows.join(",")));
        }
        state.revision += 1;
        for write in transaction.get("setKeys").list() {
            let value = write.get("value").text().to_string();
            state.set(write.get("key").text(), Some(value));
        }
        for key in transaction.get("delete").list() {
            state.set(key.text(), None);
        }
        self.state.1.notify_all();
        (200, format!("{{\"revision\":{}}}", state.revision))
    }
}

fn item_json(key: &str, (value, revision): &(String, u64), store: Option<u64>) -> String {
    let store = store.map_or(String::new(), |store| format!(",\"storeRevision\":{store}"));
    format!(
        "{{\"key\":\"{key}\",\"value\":\"{value}\",\"revision\":{revision},\
         \"created\":{revision},\"lease\":0{store}}}"
    )
}

fn decode_query(text: &str) -> String {
    let mut bytes = Vec::new();
    let mut rest = text.as_bytes();
    while let [first, tail @ ..] = rest {
        let digits = (*first == b'%').then(|| tail.get(..2)).flatten();
        let code = digits
            .and_then(|digits| std::str::from_utf8(digits).ok())
            .and_then(|digits| u8::from_str_radix(digits, 16).ok());
        bytes.push(code.unwrap_or(*first));
        rest = if code.is_some() { &tail[2..] } else { tail };
    }
    String::from_utf8_lossy(&bytes).into_owned()
}
