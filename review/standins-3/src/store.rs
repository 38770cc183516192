//! A stand-in of the platform's metadata store.

use std::{
    collections::BTreeMap,
    io::{BufRead, BufReader, Write},
    net::{SocketAddrV4, TcpListener, TcpStream},
    sync::{
        Arc, Condvar, Mutex,
        atomic::{AtomicBool, Ordering},
    },
    time::{Duration, Instant},
};

use crate::record::Record;

/// Time of an answer.
const ANSWER: Duration = Duration::from_millis(4);
const MAX_ITEMS: usize = 500;

#[derive(Clone, Copy, PartialEq, Eq)]
pub enum Mood {
    Well,
    /// Answers with 503; nothing is done.
    Busy,
}

struct Item {
    value: String,
    mod_revision: u64,
    create_revision: u64,
    /// What the entry says apart from `seq`.
    meaning: String,
    checked_in: Instant,
    /// Interval of the check-ins, if the entry ends without them.
    heartbeat: Option<Duration>,
}

struct State {
    revision: u64,
    items: BTreeMap<String, Item>,
    /// Revision, key, and the value unless it was removed.
    events: Vec<(u64, String, Option<String>)>,
    /// Revision up to which the history was discarded.
    forgotten: u64,
    mood: Mood,
    calls: u64,
}

#[derive(Clone)]
pub struct Store {
    state: Arc<(Mutex<State>, Condvar)>,
    record: Record,
}

impl Store {
    pub fn start(address: SocketAddrV4, record: Record) -> std::io::Result<Store> {
        let state = State {
            revision: 10,
            items: BTreeMap::new(),
            events: Vec::new(),
            forgotten: 0,
            mood: Mood::Well,
            calls: 0,
        };
        let store = Store { state: Arc::new((Mutex::new(state), Condvar::new())), record };
        store.listen(address, &Arc::default())?;
        let reaper = store.clone();
        std::thread::spawn(move || {
            loop {
                std::thread::sleep(Duration::from_millis(50));
                reaper.remove_silent();
            }
        });
        Ok(store)
    }

    /// Serves at an address, and answers nothing there while `cut` is set.
    pub fn listen(&self, address: SocketAddrV4, cut: &Arc<AtomicBool>) -> std::io::Result<()> {
        let listener = TcpListener::bind(address)?;
        let (served, cut) = (self.clone(), cut.clone());
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (store, cut) = (served.clone(), cut.clone());
                std::thread::spawn(move || store.serve(stream, &cut));
            }
        });
        Ok(())
    }

    pub fn set_mood(&self, mood: Mood) {
        self.state.0.lock().unwrap().mood = mood;
        self.state.1.notify_all();
    }

    /// Discards the history, and cuts the watches that wait.
    pub fn forget(&self) {
        let mut state = self.state.0.lock().unwrap();
        // A change that the watches did not hear of.
        state.revision += 1;
        state.forgotten = state.revision;
        state.events.clear();
        self.state.1.notify_all();
    }

    /// Writes an item; returns `false` if the store does not accept it. The revision changes only if
    /// more than `seq` does. `meaning` is what the entry says apart from `seq`.
    pub fn put(&self, key: &str, value: &str, meaning: &str, heartbeat: Option<Duration>) -> bool {
        let mut state = self.state.0.lock().unwrap();
        if state.mood != Mood::Well {
            return false;
        }
        let now = Instant::now();
        if let Some(it) = state.items.get_mut(key)
            && it.meaning == meaning
        {
            it.checked_in = now;
            return true;
        }
        state.revision += 1;
        let revision = state.revision;
        let created = state.items.get(key).map_or(revision, |it| it.create_revision);
        let item = Item {
            value: base64(value.as_bytes()),
            mod_revision: revision,
            create_revision: created,
            meaning: meaning.to_owned(),
            checked_in: now,
            heartbeat,
        };
        state.events.push((revision, key.to_owned(), Some(item.value.clone())));
        state.items.insert(key.to_owned(), item);
        self.state.1.notify_all();
        self.record.line(format!("store: revision {revision} {key} = {value}"));
        true
    }

    /// Returns `true` if the entry of a key says so.
    pub fn says(&self, key: &str, text: &str) -> bool {
        self.state.0.lock().unwrap().items.get(key).is_some_and(|it| it.meaning.contains(text))
    }

    pub fn remove(&self, key: &str) -> bool {
        let mut state = self.state.0.lock().unwrap();
        if state.mood != Mood::Well || state.items.remove(key).is_none() {
            return false;
        }
        state.revision += 1;
        let revision = state.revision;
        state.events.push((revision, key.to_owned(), None));
        self.state.1.notify_all();
        self.record.line(format!("store: revision {revision} {key} removed"));
        true
    }

    /// Removes the entries that were silent for three check-in intervals.
    fn remove_silent(&self) {
        let silent: Vec<String> = {
            let state = self.state.0.lock().unwrap();
            let is_silent = |it: &Item| {
                it.heartbeat.is_some_and(|interval| it.checked_in.elapsed() > interval * 3)
            };
            state.items.iter().filter(|it| is_silent(it.1)).map(|it| it.0.clone()).collect()
        };
        for key in silent {
            self.remove(&key);
        }
    }

    fn serve(&self, stream: TcpStream, cut: &AtomicBool) {
        let _ = stream.set_nodelay(true);
        let Ok(mut out) = stream.try_clone() else { return };
        let mut reader = BufReader::new(stream);
        loop {
            let mut line = String::new();
            if reader.read_line(&mut line).unwrap_or(0) == 0 {
                return;
            }
            let target = line.split(' ').nth(1).unwrap_or("/").to_owned();
            loop {
                let mut header = String::new();
                if reader.read_line(&mut header).unwrap_or(0) == 0 {
                    return;
                }
                if header.trim().is_empty() {
                    break;
                }
            }
            let (status, body) = self.answer(&target);
            std::thread::sleep(ANSWER);
            while cut.load(Ordering::SeqCst) {
                std::thread::sleep(Duration::from_millis(20));
            }
            let head = format!(
                "HTTP/1.1 {status}\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n",
                body.len()
            );
            if out.write_all(format!("{head}{body}").as_bytes()).is_err() {
                return;
            }
        }
    }

    fn answer(&self, target: &str) -> (&'static str, String) {
        let (path, query) = target.split_once('?').unwrap_or((target, ""));
        let param = |name: &str| {
            query
                .split('&')
                .filter_map(|it| it.split_once('='))
                .find(|it| it.0 == name)
                .map_or(String::new(), |it| percent_decode(it.1))
        };
        {
            let mut state = self.state.0.lock().unwrap();
            state.calls += 1;
            if state.mood == Mood::Busy {
                return ("503 Service Unavailable", "{}".to_owned());
            }
        }
        match path {
            "/kv-range" => self.range(&param("prefix"), &param("after")),
            "/kv-watch" => {
                let after = param("after").parse().unwrap_or(0);
                let wait = param("wait_ms").parse().unwrap_or(0);
                self.watch(&param("prefix"), after, Duration::from_millis(wait))
            }
            _ => ("404 Not Found", "{}".to_owned()),
        }
    }

    fn range(&self, prefix: &str, after: &str) -> (&'static str, String) {
        let state = self.state.0.lock().unwrap();
        let mut found = state
            .items
            .iter()
            .filter(|(key, _)| key.starts_with(prefix) && key.as_str() > after)
            .map(|(key, it)| {
                format!(
                    "{{\"key\":\"{key}\",\"value\":\"{}\",\"mod_revision\":{},\"create_revision\":{},\"lease\":0}}",
                    it.value, it.mod_revision, it.create_revision
                )
            });
        let items: Vec<String> = found.by_ref().take(MAX_ITEMS).collect();
        let more = found.next().is_some();
        let items = items.join(",");
        let as_of = state.revision;
        ("200 OK", format!("{{\"items\":[{items}],\"has_more\":{more},\"as_of\":{as_of}}}"))
    }

    fn watch(&self, prefix: &str, after: u64, wait: Duration) -> (&'static str, String) {
        let deadline = Instant::now() + wait;
        let mut state = self.state.0.lock().unwrap();
        loop {
            if state.mood == Mood::Busy {
                return ("503 Service Unavailable", "{}".to_owned());
            }
            if after < state.forgotten {
                return ("410 Gone", "{}".to_owned());
            }
            let events: Vec<String> = state
                .events
                .iter()
                .filter(|it| it.0 > after && it.1.starts_with(prefix))
                .map(|(revision, key, value)| match value {
                    Some(value) => format!(
                        "{{\"key\":\"{key}\",\"value\":\"{value}\",\"mod_revision\":{revision},\"create_revision\":{revision},\"lease\":0}}"
                    ),
                    None => {
                        format!("{{\"key\":\"{key}\",\"mod_revision\":{revision},\"removed\":true}}")
                    }
                })
                .collect();
            let now = Instant::now();
            if !events.is_empty() || now >= deadline {
                let (events, as_of) = (events.join(","), state.revision);
                return ("200 OK", format!("{{\"events\":[{events}],\"as_of\":{as_of}}}"));
            }
            state = self.state.1.wait_timeout(state, deadline - now).unwrap().0;
        }
    }
}

fn percent_decode(text: &str) -> String {
    let bytes = text.as_bytes();
    let mut out = Vec::new();
    let mut at = 0;
    while at < bytes.len() {
        let hex = (bytes[at] == b'%' && at + 2 < bytes.len())
            .then(|| u8::from_str_radix(&text[at + 1..at + 3], 16).ok())
            .flatten();
        out.push(hex.unwrap_or(bytes[at]));
        at += if hex.is_some() { 3 } else { 1 };
    }
    String::from_utf8_lossy(&out).into_owned()
}

fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut out = String::new();
    for part in bytes.chunks(3) {
        let word = part.iter().fold(0u32, |it, byte| it << 8 | u32::from(*byte));
        let word = word << (8 * (3 - part.len()));
        for at in 0..4 {
            let digit = DIGITS[(word >> (18 - 6 * at) & 63) as usize];
            out.push(if at <= part.len() { char::from(digit) } else { '=' });
        }
    }
    out
}
