//! Stand-in of the platform's store: reads and watches over HTTP/1.1, as PROTOCOL.md says.

use std::collections::{BTreeMap, VecDeque};
use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddrV4, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// Time of an answer in the site files.
const ANSWER_TIME: Duration = Duration::from_millis(4);
/// `RetentionS` of the settings.
const RETENTION: Duration = Duration::from_secs(20);
/// Largest page of a read.
const PAGE_ITEMS: usize = 500;
const PAGE_BYTES: usize = 1 << 20;

#[derive(Clone)]
struct Item {
    revision: u64,
    /// The value in base64, or `None` if the key was removed.
    value: Option<Arc<String>>,
}

struct Event {
    at: Instant,
    key: String,
    item: Item,
}

#[derive(Default)]
struct Contents {
    items: BTreeMap<String, Item>,
    history: VecDeque<Event>,
    /// Changes up to this revision are no longer in the history.
    compacted: u64,
    revision: u64,
}

impl Contents {
    fn forget_history(&mut self) {
        while self
            .history
            .front()
            .is_some_and(|event| event.at.elapsed() > RETENTION)
        {
            let event = self.history.pop_front().unwrap();
            self.compacted = event.item.revision;
        }
    }
}

/// The store. Clones share its contents.
#[derive(Clone)]
pub struct Store {
    pub address: SocketAddrV4,
    contents: Arc<(Mutex<Contents>, Condvar)>,
}

impl Store {
    pub fn start(host: [u8; 4]) -> Store {
        let listener = TcpListener::bind((std::net::Ipv4Addr::from(host), 0)).expect("store");
        let port = listener.local_addr().expect("store").port();
        let store = Store {
            address: SocketAddrV4::new(host.into(), port),
            contents: Arc::default(),
        };
        let served = store.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = served.clone();
                thread::spawn(move || store.serve(stream));
            }
        });
        store
    }

    /// Writes a key, or removes it.
    pub fn write(&self, key: &str, value: Option<&str>) {
        let value = value.map(|value| Arc::new(base64(value.as_bytes())));
        let mut contents = self.contents.0.lock().unwrap();
        contents.revision += 1;
        let item = Item {
            revision: contents.revision,
            value,
        };
        match item.value {
            Some(_) => drop(contents.items.insert(key.to_owned(), item.clone())),
            None => drop(contents.items.remove(key)),
        }
        contents.history.push_back(Event {
            at: Instant::now(),
            key: key.to_owned(),
            item,
        });
        contents.forget_history();
        drop(contents);
        self.contents.1.notify_all();
    }

    fn serve(&self, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let Ok(mut writer) = stream.try_clone() else {
            return;
        };
        let mut reader = BufReader::new(stream);
        loop {
            let mut request = String::new();
            if !matches!(reader.read_line(&mut request), Ok(n) if n > 0) {
                return;
            }
            let mut header = String::new();
            while matches!(reader.read_line(&mut header), Ok(n) if n > 0) && header.trim() != "" {
                header.clear();
            }
            let target = request.split(' ').nth(1).unwrap_or("").to_owned();
            let (status, body) = self.answer(&target);
            thread::sleep(ANSWER_TIME);
            let head = format!(
                "HTTP/1.1 {status}\r\nContent-Type: application/json\r\nStore-Era: 0\r\n\
                 Content-Length: {}\r\n\r\n",
                body.len()
            );
            if writer.write_all(head.as_bytes()).is_err()
                || writer.write_all(body.as_bytes()).is_err()
            {
                return;
            }
        }
    }

    fn answer(&self, target: &str) -> (&'static str, String) {
        let (path, query) = target.split_once('?').unwrap_or((target, ""));
        let field = |name: &str| {
            let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
            pairs
                .find(|(key, _)| *key == name)
                .map_or(String::new(), |(_, value)| unescape(value))
        };
        match path {
            "/kv-range" => self.read_range(&field("Prefix"), &field("after")),
            "/kv-watch" => {
                let after = field("after").parse().unwrap_or(0);
                let wait = Duration::from_millis(field("WaitMs").parse().unwrap_or(0));
                self.watch(&field("Prefix"), after, wait)
            }
            _ => ("404 Not Found", "null".to_owned()),
        }
    }

    fn read_range(&self, prefix: &str, after: &str) -> (&'static str, String) {
        let contents = self.contents.0.lock().unwrap();
        let found = contents.items.iter();
        let mut found = found.filter(|(key, _)| key.starts_with(prefix) && key.as_str() > after);
        let (mut items, mut bytes, mut more) = (Vec::new(), 0, false);
        for (key, item) in found.by_ref() {
            if items.len() >= PAGE_ITEMS || bytes >= PAGE_BYTES {
                more = true;
                break;
            }
            let text = encode(key, item);
            bytes += text.len();
            items.push(text);
        }
        let body = format!(
            "{{\"items\":[{}],\"HasMore\":{more},\"At\":{}}}",
            items.join(","),
            contents.revision
        );
        ("200 OK", body)
    }

    fn watch(&self, prefix: &str, after: u64, wait: Duration) -> (&'static str, String) {
        let deadline = Instant::now() + wait;
        let mut contents = self.contents.0.lock().unwrap();
        loop {
            contents.forget_history();
            if after < contents.compacted || after > contents.revision {
                return ("410 Gone", "null".to_owned());
            }
            let events = contents.history.iter();
            let events: Vec<String> = events
                .filter(|event| event.item.revision > after && event.key.starts_with(prefix))
                .map(|event| encode(&event.key, &event.item))
                .collect();
            let left = deadline.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() {
                let body = format!(
                    "{{\"events\":[{}],\"At\":{}}}",
                    events.join(","),
                    contents.revision
                );
                return ("200 OK", body);
            }
            contents = self.contents.1.wait_timeout(contents, left).unwrap().0;
        }
    }
}

fn encode(key: &str, item: &Item) -> String {
    let revision = item.revision;
    match &item.value {
        Some(value) => format!(
            "{{\"Key\":\"{key}\",\"Value\":\"{value}\",\"Revision\":{revision},\
             \"Created\":{revision},\"Lease\":0}}"
        ),
        None => format!("{{\"Key\":\"{key}\",\"Revision\":{revision},\"Deleted\":true}}"),
    }
}

fn unescape(text: &str) -> String {
    let bytes = text.as_bytes();
    let (mut out, mut at) = (Vec::new(), 0);
    while at < bytes.len() {
        let hex = text
            .get(at + 1..at + 3)
            .and_then(|hex| u8::from_str_radix(hex, 16).ok());
        match (bytes[at], hex) {
            (b'%', Some(byte)) => {
                out.push(byte);
                at += 3;
            }
            (byte, _) => {
                out.push(byte);
                at += 1;
            }
        }
    }
    String::from_utf8_lossy(&out).into_owned()
}

/// Encodes bytes in standard base64 with padding.
fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut out = String::with_capacity(bytes.len().div_ceil(3) * 4);
    for chunk in bytes.chunks(3) {
        let group = [
            chunk[0],
            *chunk.get(1).unwrap_or(&0),
            *chunk.get(2).unwrap_or(&0),
        ];
        let number = u32::from_be_bytes([0, group[0], group[1], group[2]]);
        for digit in 0..4 {
            let shift = 18 - 6 * digit;
            match digit <= chunk.len() {
                true => out.push(DIGITS[(number >> shift) as usize & 63] as char),
                false => out.push('='),
            }
        }
    }
    out
}
