//! A stand-in of the platform's store: keys with revisions, listings, and watches that wait for changes.

use std::collections::BTreeMap;
use std::net::{IpAddr, Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Condvar, Mutex, MutexGuard};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::{response_text, Connection, Request};

#[derive(Clone)]
struct Item {
    key: String,
    revision: u64,
    made: u64,
    /// The value in base64, or `None` once it is gone.
    value: Option<String>,
}

impl Item {
    fn json(&self) -> String {
        let Item { key, revision, made, value } = self;
        match value {
            Some(value) => {
                format!(r#"{{"key":"{key}","value":"{value}","revision":{revision},"made":{made},"lease":0}}"#)
            }
            None => format!(r#"{{"key":"{key}","revision":{revision},"gone":true}}"#),
        }
    }
}

/// The contents of the store.
#[derive(Clone, Default)]
pub struct Contents {
    items: BTreeMap<String, Item>,
    history: Vec<Item>,
    revision: u64,
}

#[derive(Default)]
struct State {
    contents: Contents,
    /// Rises by one each time that the store comes back from a copy.
    era: u64,
    is_away: bool,
    connections: Vec<TcpStream>,
}

/// An address of the store, for one machine. The machines of a test share an address of the loopback range as callers,
/// so this tells them apart.
#[derive(Clone)]
pub struct Door {
    pub address: SocketAddr,
    /// Whether the store turns the machine away: it gets no answer.
    is_shut: Arc<AtomicBool>,
    /// How many watches wait here.
    waiting: Arc<AtomicUsize>,
}

impl Door {
    /// Turns the machine away in silence, or serves it again.
    pub fn shut(&self, is_shut: bool) {
        self.is_shut.store(is_shut, Ordering::SeqCst);
    }

    /// Whether the machine watches the store now.
    pub fn is_watching(&self) -> bool {
        self.waiting.load(Ordering::SeqCst) > 0
    }
}

#[derive(Clone)]
pub struct Store {
    pub address: SocketAddr,
    shared: Arc<(Mutex<State>, Condvar)>,
}

impl Store {
    pub fn start(ip: IpAddr) -> std::io::Result<Self> {
        let contents = Contents { revision: 1, ..Contents::default() };
        let state = State { contents, era: 1, ..State::default() };
        let mut store = Store { address: SocketAddr::new(ip, 0), shared: Arc::new((Mutex::new(state), Condvar::new())) };
        store.address = store.open_door(ip)?.address;
        Ok(store)
    }

    /// Opens a further address of the store.
    pub fn open_door(&self, ip: IpAddr) -> std::io::Result<Door> {
        let listener = TcpListener::bind((ip, 0))?;
        let door = Door { address: listener.local_addr()?, is_shut: Arc::default(), waiting: Arc::default() };
        let (served, entered) = (self.clone(), door.clone());
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let mut state = served.state();
                if state.is_away {
                    continue;
                }
                state.connections.extend(stream.try_clone());
                drop(state);
                let (store, door) = (served.clone(), entered.clone());
                thread::spawn(move || store.serve(Connection::new(stream), &door));
            }
        });
        Ok(door)
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.shared.0.lock().expect("no thread panics with the lock")
    }

    /// A copy of what the store holds now.
    pub fn copy(&self) -> Contents {
        self.state().contents.clone()
    }

    /// The store goes away: its connections end, and it answers no call.
    pub fn leave(&self) {
        let mut state = self.state();
        state.is_away = true;
        for stream in state.connections.drain(..) {
            let _ = stream.shutdown(Shutdown::Both);
        }
    }

    /// The store comes back from a copy.
    pub fn return_from(&self, copy: Contents) {
        let mut state = self.state();
        state.contents = copy;
        state.era += 1;
        state.is_away = false;
        self.shared.1.notify_all();
    }

    pub fn put(&self, key: &str, value: &str) {
        self.write(key, Some(base64(value.as_bytes())));
    }

    pub fn remove(&self, key: &str) {
        self.write(key, None);
    }

    fn write(&self, key: &str, value: Option<String>) {
        let mut state = self.state();
        let contents = &mut state.contents;
        contents.revision += 1;
        let revision = contents.revision;
        let made = contents.items.get(key).map_or(revision, |item| item.made);
        let item = Item { key: key.to_owned(), revision, made, value };
        contents.history.push(item.clone());
        match item.value {
            Some(_) => contents.items.insert(key.to_owned(), item),
            None => contents.items.remove(key),
        };
        self.shared.1.notify_all();
    }

    fn serve(&self, mut connection: Connection, door: &Door) {
        while let Some(request) = connection.next_request(Duration::from_secs(60)) {
            let was_shut = door.is_shut.load(Ordering::SeqCst);
            let is_watch = request.path() == "/kv-watch";
            door.waiting.fetch_add(usize::from(is_watch), Ordering::SeqCst);
            let (era, status, body) = self.respond(&request);
            door.waiting.fetch_sub(usize::from(is_watch), Ordering::SeqCst);
            if was_shut || door.is_shut.load(Ordering::SeqCst) {
                // An answer is lost, so this connection says nothing more.
                while connection.next_request(Duration::from_secs(60)).is_some() {}
                return;
            }
            let headers = format!("Content-Type: application/json\r\nStore-Era: {era}\r\n");
            // Each call answers after 4 ms.
            thread::sleep(Duration::from_millis(4));
            if connection.send(&response_text(status, &headers, &body)).is_err() {
                return;
            }
        }
    }

    /// The era, the status and the body of an answer.
    fn respond(&self, request: &Request) -> (u64, u16, String) {
        let mut state = self.state();
        let era = state.era;
        let prefix = request.query("prefix").unwrap_or_default();
        let (status, body) = match request.path() {
            "/kv-key" => match state.contents.items.get(request.query("key").unwrap_or_default()) {
                Some(item) => {
                    let json = item.json();
                    (200, format!("{},\"at\":{}}}", json.trim_end_matches('}'), state.contents.revision))
                }
                None => (404, "{}".to_owned()),
            },
            "/kv-range" => {
                let after = request.query("after").unwrap_or_default();
                let found = state.contents.items.values().filter(|item| item.key.starts_with(prefix) && *item.key > *after);
                let items: Vec<String> = found.map(Item::json).collect();
                (200, format!(r#"{{"items":[{}],"more":false,"at":{}}}"#, items.join(","), state.contents.revision))
            }
            "/kv-watch" => {
                let number = |name| request.query(name).and_then(|text| text.parse::<u64>().ok()).unwrap_or(0);
                let after = number("after");
                let until = Instant::now() + Duration::from_millis(number("wait_ms").min(30_000));
                if after > state.contents.revision {
                    return (era, 410, "{}".to_owned());
                }
                while state.contents.revision <= after && state.era == era {
                    let left = until.saturating_duration_since(Instant::now());
                    if left.is_zero() {
                        break;
                    }
                    state = self.shared.1.wait_timeout(state, left).expect("no thread panics with the lock").0;
                }
                if state.era != era {
                    return (state.era, 410, "{}".to_owned());
                }
                let contents = &state.contents;
                let events = contents.history.iter().filter(|item| item.revision > after && item.key.starts_with(prefix));
                let events: Vec<String> = events.map(Item::json).collect();
                (200, format!(r#"{{"events":[{}],"at":{}}}"#, events.join(","), contents.revision))
            }
            _ => (404, "{}".to_owned()),
        };
        (era, status, body)
    }
}

/// Standard base64 with padding.
fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for group in bytes.chunks(3) {
        let word = group.iter().fold(0_u32, |word, byte| word << 8 | u32::from(*byte)) << (8 * (3 - group.len()));
        for digit in 0..4 {
            let index = (word >> (18 - 6 * digit) & 63) as usize;
            text.push(if digit <= group.len() { char::from(DIGITS[index]) } else { '=' });
        }
    }
    text
}
