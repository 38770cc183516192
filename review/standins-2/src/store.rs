//! The platform's metadata store: reading calls over HTTP, as PROTOCOL.md describes them.

use std::{
    collections::BTreeMap,
    io::{BufRead, BufReader, Write},
    net::{SocketAddrV4, TcpListener, TcpStream},
    sync::{Arc, Condvar, Mutex},
    thread,
    time::{Duration, Instant},
};

const PAGE_ITEMS: usize = 500;

#[derive(Clone)]
struct Item {
    value: Vec<u8>,
    changed: u64,
    created: u64,
}

struct Content {
    revision: u64,
    items: BTreeMap<String, Item>,
    /// Every change: revision, key, and the item unless it was removed.
    events: Vec<(u64, String, Option<Item>)>,
}

pub struct Store {
    content: Mutex<Content>,
    changed: Condvar,
}

impl Store {
    pub fn new() -> Arc<Store> {
        let content = Content { revision: 100, items: BTreeMap::new(), events: Vec::new() };
        Arc::new(Store { content: Mutex::new(content), changed: Condvar::new() })
    }

    pub fn put(&self, key: &str, value: &str) {
        let mut it = self.content.lock().unwrap();
        it.revision += 1;
        let revision = it.revision;
        let created = it.items.get(key).map_or(revision, |it| it.created);
        let item = Item { value: value.as_bytes().to_vec(), changed: revision, created };
        it.items.insert(key.to_owned(), item.clone());
        it.events.push((revision, key.to_owned(), Some(item)));
        self.changed.notify_all();
    }

    pub fn remove(&self, key: &str) {
        let mut it = self.content.lock().unwrap();
        if it.items.remove(key).is_none() {
            return;
        }
        it.revision += 1;
        let revision = it.revision;
        it.events.push((revision, key.to_owned(), None));
        self.changed.notify_all();
    }

    pub fn serve(self: &Arc<Store>, address: SocketAddrV4) -> std::io::Result<()> {
        self.serve_paths(address, Vec::new())
    }

    /// Serves daemons that reach some endpoints by a path of their own: each pair is what an entry says
    /// and what they are told instead.
    pub fn serve_paths(
        self: &Arc<Store>,
        address: SocketAddrV4,
        paths: Vec<(String, String)>,
    ) -> std::io::Result<()> {
        let listener = TcpListener::bind(address)?;
        let (store, paths) = (Arc::clone(self), Arc::new(paths));
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (store, paths) = (Arc::clone(&store), Arc::clone(&paths));
                thread::spawn(move || store.serve_connection(stream, &paths));
            }
        });
        Ok(())
    }

    fn serve_connection(&self, stream: TcpStream, paths: &[(String, String)]) -> Option<()> {
        let _ = stream.set_nodelay(true);
        let mut reader = BufReader::new(stream.try_clone().ok()?);
        let mut stream = stream;
        loop {
            let target = read_request(&mut reader)?;
            let (status, body) = self.answer(&target, paths);
            let head = format!(
                "HTTP/1.1 {status}\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n",
                body.len()
            );
            stream.write_all(format!("{head}{body}").as_bytes()).ok()?;
        }
    }

    fn answer(&self, target: &str, paths: &[(String, String)]) -> (&'static str, String) {
        let (path, query) = target.split_once('?').unwrap_or((target, ""));
        let arg = |name: &str| {
            let found = query.split('&').filter_map(|it| it.split_once('='));
            found.filter(|it| it.0 == name).map(|it| percent_decode(it.1)).next()
        };
        match path {
            "/kv-range" => {
                let (prefix, after) =
                    (arg("prefix").unwrap_or_default(), arg("after").unwrap_or_default());
                self.range(&prefix, &after, paths)
            }
            "/kv-watch" => {
                let number = |name: &str| arg(name).and_then(|it| it.parse::<u64>().ok());
                let wait = Duration::from_millis(number("wait_ms").unwrap_or(0).min(30_000));
                let prefix = arg("prefix").unwrap_or_default();
                self.watch(&prefix, number("after").unwrap_or(0), wait, paths)
            }
            "/kv-key" => {
                let it = self.content.lock().unwrap();
                let key = arg("key").unwrap_or_default();
                match it.items.get(&key) {
                    Some(item) => ("200 OK", item_json(&key, item, Some(it.revision), paths)),
                    None => ("404 Not Found", "{}".to_owned()),
                }
            }
            _ => ("404 Not Found", "{}".to_owned()),
        }
    }

    fn range(
        &self,
        prefix: &str,
        after: &str,
        paths: &[(String, String)],
    ) -> (&'static str, String) {
        let it = self.content.lock().unwrap();
        let found =
            it.items.iter().filter(|(key, _)| key.starts_with(prefix) && key.as_str() > after);
        let mut items: Vec<String> = found
            .take(PAGE_ITEMS + 1)
            .map(|(key, item)| item_json(key, item, None, paths))
            .collect();
        let more = items.len() > PAGE_ITEMS;
        items.truncate(PAGE_ITEMS);
        let body = format!(
            "{{\"items\":[{}],\"has_more\":{more},\"as_of\":{}}}",
            items.join(","),
            it.revision
        );
        ("200 OK", body)
    }

    fn watch(
        &self,
        prefix: &str,
        after: u64,
        wait: Duration,
        paths: &[(String, String)],
    ) -> (&'static str, String) {
        let end = Instant::now() + wait;
        let mut it = self.content.lock().unwrap();
        loop {
            let new = it.events.iter().filter(|it| it.0 > after && it.1.starts_with(prefix));
            let events: Vec<String> = new
                .map(|(revision, key, item)| match item {
                    Some(item) => item_json(key, item, None, paths),
                    None => {
                        format!(
                            "{{\"key\":\"{key}\",\"mod_revision\":{revision},\"removed\":true}}"
                        )
                    }
                })
                .collect();
            let left = end.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() {
                let body =
                    format!("{{\"events\":[{}],\"as_of\":{}}}", events.join(","), it.revision);
                return ("200 OK", body);
            }
            it = self.changed.wait_timeout(it, left).unwrap().0;
        }
    }
}

fn item_json(key: &str, item: &Item, as_of: Option<u64>, paths: &[(String, String)]) -> String {
    let mut value = String::from_utf8_lossy(&item.value).into_owned();
    for (said, told) in paths {
        value = value.replace(said, told);
    }
    let as_of = as_of.map(|it| format!(",\"as_of\":{it}")).unwrap_or_default();
    format!(
        "{{\"key\":\"{key}\",\"value\":\"{}\",\"mod_revision\":{},\"create_revision\":{},\"lease\":0{as_of}}}",
        base64(value.as_bytes()),
        item.changed,
        item.created
    )
}

/// Reads the head of a request without a body and returns its target.
pub fn read_request(reader: &mut BufReader<TcpStream>) -> Option<String> {
    let mut first = String::new();
    if reader.read_line(&mut first).ok()? == 0 {
        return None;
    }
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line).ok()? == 0 {
            return None;
        }
        if line.trim_end().is_empty() {
            break;
        }
    }
    first.split_whitespace().nth(1).map(str::to_owned)
}

fn percent_decode(text: &str) -> String {
    let bytes = text.as_bytes();
    let mut out = Vec::with_capacity(bytes.len());
    let mut at = 0;
    while at < bytes.len() {
        let hex = (bytes[at] == b'%')
            .then(|| text.get(at + 1..at + 3).and_then(|it| u8::from_str_radix(it, 16).ok()));
        if let Some(Some(byte)) = hex {
            out.push(byte);
            at += 3;
        } else {
            out.push(bytes[at]);
            at += 1;
        }
    }
    String::from_utf8_lossy(&out).into_owned()
}

fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut out = String::with_capacity(bytes.len().div_ceil(3) * 4);
    for part in bytes.chunks(3) {
        let all = (u32::from(part[0]) << 16)
            | (u32::from(part.get(1).copied().unwrap_or(0)) << 8)
            | u32::from(part.get(2).copied().unwrap_or(0));
        for at in 0..4 {
            let digit = DIGITS[(all >> (18 - 6 * at)) as usize & 63];
            out.push(if at <= part.len() { char::from(digit) } else { '=' });
        }
    }
    out
}
