//! The platform's metadata store: keys with revisions, listing in pages, and watches.

use std::{
    collections::BTreeMap,
    io::{BufRead, BufReader, Write},
    net::{SocketAddrV4, TcpListener, TcpStream},
    sync::{Arc, Condvar, Mutex},
    time::{Duration, Instant},
};

const PAGE: usize = 50;

struct Item {
    value: Vec<u8>,
    modified: u64,
    created: u64,
}

struct State {
    revision: u64,
    items: BTreeMap<String, Item>,
    /// Events by revision; `None` is a removal.
    history: Vec<(u64, String, Option<Vec<u8>>, u64)>,
}

/// The store, shared by its listeners.
#[derive(Clone)]
pub struct Store(Arc<(Mutex<State>, Condvar)>);

impl Store {
    pub fn new() -> Store {
        let state = State { revision: 100, items: BTreeMap::new(), history: Vec::new() };
        Store(Arc::new((Mutex::new(state), Condvar::new())))
    }

    /// Writes a key and returns the revision of the change.
    pub fn put(&self, key: &str, value: &[u8]) -> u64 {
        let mut s = self.0.0.lock().unwrap();
        s.revision += 1;
        let rev = s.revision;
        let created = s.items.get(key).map_or(rev, |it| it.created);
        s.items.insert(key.to_owned(), Item { value: value.to_vec(), modified: rev, created });
        s.history.push((rev, key.to_owned(), Some(value.to_vec()), created));
        self.0.1.notify_all();
        rev
    }

    pub fn remove(&self, key: &str) {
        let mut s = self.0.0.lock().unwrap();
        if s.items.remove(key).is_some() {
            s.revision += 1;
            let rev = s.revision;
            s.history.push((rev, key.to_owned(), None, 0));
            self.0.1.notify_all();
        }
    }

    /// Serves the store at an address until the process ends.
    pub fn serve(&self, addr: SocketAddrV4) {
        let listener = TcpListener::bind(addr).expect("bind the store");
        let store = self.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = store.clone();
                std::thread::spawn(move || store.connection(stream));
            }
        });
    }

    fn connection(&self, mut stream: TcpStream) {
        let Ok(copy) = stream.try_clone() else { return };
        let mut reader = BufReader::new(copy);
        let _ = stream.set_nodelay(true);
        loop {
            let mut first = String::new();
            if reader.read_line(&mut first).unwrap_or(0) == 0 {
                return;
            }
            loop {
                let mut line = String::new();
                if reader.read_line(&mut line).unwrap_or(0) == 0 {
                    return;
                }
                if line.trim().is_empty() {
                    break;
                }
            }
            let target = first.split(' ').nth(1).unwrap_or("/").to_owned();
            // The platform's usual time for an answer.
            std::thread::sleep(Duration::from_millis(4));
            let (status, body) = self.answer(&target);
            let head = format!(
                "HTTP/1.1 {status} X\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n",
                body.len()
            );
            if stream.write_all((head + &body).as_bytes()).is_err() {
                return;
            }
        }
    }

    fn answer(&self, target: &str) -> (u16, String) {
        let (path, query) = target.split_once('?').unwrap_or((target, ""));
        let arg = |name: &str| {
            let found = query.split('&').filter_map(|it| it.split_once('='));
            found.filter(|it| it.0 == name).map(|it| unescape(it.1)).next().unwrap_or_default()
        };
        let mut s = self.0.0.lock().unwrap();
        match path {
            "/kv-key" => match s.items.get(&arg("key")) {
                Some(it) => {
                    let item = item_json(&arg("key"), &it.value, it.modified, it.created);
                    (200, format!("{},\"as_of\":{}}}", &item[..item.len() - 1], s.revision))
                }
                None => (404, "{}".to_owned()),
            },
            "/kv-range" => {
                let (prefix, after) = (arg("prefix"), arg("after"));
                let found: Vec<String> = s
                    .items
                    .iter()
                    .filter(|it| it.0.starts_with(&prefix) && (after.is_empty() || *it.0 > after))
                    .map(|(key, it)| item_json(key, &it.value, it.modified, it.created))
                    .collect();
                let more = found.len() > PAGE;
                let page = found[..found.len().min(PAGE)].join(",");
                (
                    200,
                    format!("{{\"items\":[{page}],\"has_more\":{more},\"as_of\":{}}}", s.revision),
                )
            }
            "/kv-watch" => {
                let prefix = arg("prefix");
                let after: u64 = arg("after").parse().unwrap_or(0);
                let wait = Duration::from_millis(arg("wait_ms").parse().unwrap_or(0));
                let end = Instant::now() + wait;
                loop {
                    let events: Vec<String> = s
                        .history
                        .iter()
                        .filter(|it| it.0 > after && it.1.starts_with(&prefix))
                        .map(|(rev, key, value, created)| match value {
                            Some(it) => item_json(key, it, *rev, *created),
                            None => format!(
                                "{{\"key\":\"{key}\",\"mod_revision\":{rev},\"removed\":true}}"
                            ),
                        })
                        .collect();
                    let left = end.saturating_duration_since(Instant::now());
                    if !events.is_empty() || left.is_zero() {
                        let events = events.join(",");
                        return (
                            200,
                            format!("{{\"events\":[{events}],\"as_of\":{}}}", s.revision),
                        );
                    }
                    s = self.0.1.wait_timeout(s, left).unwrap().0;
                }
            }
            _ => (404, "{}".to_owned()),
        }
    }
}

fn item_json(key: &str, value: &[u8], modified: u64, created: u64) -> String {
    let value = base64(value);
    format!(
        "{{\"key\":\"{key}\",\"value\":\"{value}\",\"mod_revision\":{modified},\
         \"create_revision\":{created},\"lease\":0}}"
    )
}

fn base64(bytes: &[u8]) -> String {
    const SET: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut out = String::with_capacity(bytes.len().div_ceil(3) * 4);
    for it in bytes.chunks(3) {
        let n = it.iter().fold(0u32, |n, b| n << 8 | u32::from(*b)) << (8 * (3 - it.len()));
        for at in 0..4 {
            let c = SET[(n >> (18 - 6 * at) & 63) as usize] as char;
            out.push(if at <= it.len() { c } else { '=' });
        }
    }
    out
}

fn unescape(text: &str) -> String {
    let (mut out, b) = (Vec::new(), text.as_bytes());
    let mut at = 0;
    while at < b.len() {
        if b[at] == b'%'
            && let Some(v) = text.get(at + 1..at + 3).and_then(|it| u8::from_str_radix(it, 16).ok())
        {
            out.push(v);
            at += 3;
        } else {
            out.push(b[at]);
            at += 1;
        }
    }
    String::from_utf8_lossy(&out).into_owned()
}
