//! A stand-in for the platform's metadata store: reads, pages and watches, as the users' pages describe them.

use std::collections::BTreeMap;
use std::io::Write;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::Reader;

#[derive(Default)]
struct State {
    revision: u64,
    /// The items with their revisions, in standard base64.
    items: BTreeMap<String, (u64, String)>,
    /// All writes: revision, key, value.
    history: Vec<(u64, String, Option<String>)>,
}

/// The store.
#[derive(Default)]
pub struct Store {
    state: Mutex<State>,
    changed: Condvar,
}

impl Store {
    /// Starts to serve an empty store at `address`.
    pub fn start(address: SocketAddr) -> std::io::Result<Arc<Store>> {
        let listener = TcpListener::bind(address)?;
        let store = Arc::new(Store::default());
        let served = Arc::clone(&store);
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = Arc::clone(&served);
                thread::spawn(move || store.serve(stream));
            }
        });
        Ok(store)
    }

    /// Writes an item, or deletes it if there is no value.
    pub fn write(&self, key: &str, value: Option<&str>) {
        let mut state = self.state.lock().unwrap();
        state.revision += 1;
        let revision = state.revision;
        let encoded = value.map(|value| base64(value.as_bytes()));
        match &encoded {
            Some(encoded) => state.items.insert(key.to_owned(), (revision, encoded.clone())),
            None => state.items.remove(key),
        };
        state.history.push((revision, key.to_owned(), encoded));
        self.changed.notify_all();
    }

    fn serve(&self, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let Ok(mut writer) = stream.try_clone() else { return };
        let mut reader = Reader::new(stream);
        while let Ok(Some(head)) = reader.head() {
            let (status, body) = self.respond(head.word(1));
            let text = format!(
                "HTTP/1.1 {status} X\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n{body}",
                body.len()
            );
            if writer.write_all(text.as_bytes()).is_err() {
                return;
            }
        }
    }

    fn respond(&self, path: &str) -> (u16, String) {
        let query = |name: &str| {
            let (_, query) = path.split_once('?')?;
            query.split('&').find_map(|pair| pair.strip_prefix(name)?.strip_prefix('='))
        };
        let mut state = self.state.lock().unwrap();
        let prefix = query("prefix").unwrap_or_default();
        if path.starts_with("/kv-key") {
            let key = query("key").unwrap_or_default();
            return match state.items.get(key) {
                Some((revision, value)) => {
                    let item = item(key, *revision, Some(value));
                    (200, format!("{},\"at\":{}}}", item.trim_end_matches('}'), state.revision))
                }
                None => (404, "{}".to_owned()),
            };
        }
        if path.starts_with("/kv-range") {
            let after = query("after").unwrap_or_default();
            let found = state.items.iter().filter(|(key, _)| key.starts_with(prefix) && key.as_str() > after);
            let items: Vec<String> = found.map(|(key, (revision, value))| item(key, *revision, Some(value))).collect();
            return (200, format!("{{\"items\":[{}],\"more\":false,\"at\":{}}}", items.join(","), state.revision));
        }
        let after: u64 = query("after").and_then(|text| text.parse().ok()).unwrap_or(0);
        let wait = query("wait_ms").and_then(|text| text.parse().ok()).unwrap_or(0);
        let until = Instant::now() + Duration::from_millis(wait);
        while state.revision <= after {
            let left = until.saturating_duration_since(Instant::now());
            if left.is_zero() {
                break;
            }
            state = self.changed.wait_timeout(state, left).unwrap().0;
        }
        let events = state.history.iter().filter(|(revision, key, _)| *revision > after && key.starts_with(prefix));
        let events: Vec<String> = events.map(|(revision, key, value)| item(key, *revision, value.as_deref())).collect();
        (200, format!("{{\"events\":[{}],\"at\":{}}}", events.join(","), state.revision))
    }
}

fn item(key: &str, revision: u64, value: Option<&str>) -> String {
    match value {
        Some(value) => format!(
            "{{\"key\":\"{key}\",\"value\":\"{value}\",\"revision\":{revision},\"made\":{revision},\"lease\":0}}"
        ),
        None => format!("{{\"key\":\"{key}\",\"revision\":{revision},\"gone\":true}}"),
    }
}

/// Standard base64 with padding.
fn base64(bytes: &[u8]) -> String {
    const SIGNS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for group in bytes.chunks(3) {
        let number = group.iter().enumerate().fold(0_u32, |sum, (at, byte)| sum | u32::from(*byte) << (16 - 8 * at));
        for at in 0..4 {
            let sign = SIGNS[(number >> (18 - 6 * at)) as usize & 63] as char;
            text.push(if at <= group.len() { sign } else { '=' });
        }
    }
    text
}
