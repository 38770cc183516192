//! What was sent, answered and run, with times.

use std::{
    collections::HashMap,
    fs::File,
    io::{BufWriter, Write},
    path::Path,
    sync::{Arc, Mutex},
    time::Instant,
};

use crate::packet::FlowId;

/// Sender of a reset that a consumer got.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ResetBy {
    System,
    Endpoint,
}

#[derive(Debug, Clone)]
pub struct Reset {
    pub at: Instant,
    pub flow: FlowId,
    pub by: ResetBy,
}

/// An opening packet that an endpoint took.
#[derive(Debug, Clone, Copy)]
pub struct Taken {
    pub endpoint: u32,
    pub sent: Instant,
    pub arrived: Instant,
}

#[derive(Default)]
struct Seen {
    sent_openings: HashMap<(FlowId, u32), Instant>,
    taken: Vec<Taken>,
    resets: Vec<Reset>,
    /// Flows that have opened: the endpoint that holds them and when.
    opened: HashMap<FlowId, (u32, Instant)>,
    closed: HashMap<FlowId, Instant>,
    /// Identifiers of the requests, one for each run.
    runs: Vec<String>,
    answers: HashMap<String, Instant>,
}

pub struct Record {
    start: Instant,
    out: Mutex<BufWriter<File>>,
    seen: Mutex<Seen>,
}

impl Record {
    pub fn create(path: &Path) -> std::io::Result<Arc<Record>> {
        let out = Mutex::new(BufWriter::new(File::create(path)?));
        Ok(Arc::new(Record { start: Instant::now(), out, seen: Mutex::default() }))
    }

    /// Writes a line with the time since the start.
    pub fn line(&self, text: &str) {
        let at = self.start.elapsed().as_secs_f64();
        let mut out = self.out.lock().unwrap();
        let _ = writeln!(out, "{at:9.4} {text}");
        let _ = out.flush();
    }

    pub fn seconds(&self, at: Instant) -> f64 {
        at.saturating_duration_since(self.start).as_secs_f64()
    }

    pub fn opening_sent(&self, flow: FlowId, copy: u32) {
        self.seen.lock().unwrap().sent_openings.insert((flow, copy), Instant::now());
    }

    /// Records that an endpoint took an opening packet.
    pub fn opening_taken(&self, endpoint: u32, flow: FlowId, copy: u32) {
        let mut it = self.seen.lock().unwrap();
        let arrived = Instant::now();
        let sent = it.sent_openings.get(&(flow, copy)).copied().unwrap_or(arrived);
        it.taken.push(Taken { endpoint, sent, arrived });
    }

    pub fn flow_opened(&self, endpoint: u32, flow: FlowId) {
        self.seen.lock().unwrap().opened.insert(flow, (endpoint, Instant::now()));
    }

    pub fn flow_closed(&self, flow: FlowId) {
        self.seen.lock().unwrap().closed.entry(flow).or_insert_with(Instant::now);
    }

    pub fn reset(&self, flow: FlowId, by: ResetBy) {
        self.seen.lock().unwrap().resets.push(Reset { at: Instant::now(), flow, by });
        self.line(&format!(
            "consumer {} port {} gets a reset of {}",
            flow.consumer,
            flow.consumer_port,
            match by {
                ResetBy::System => "the system",
                ResetBy::Endpoint => "an endpoint",
            }
        ));
    }

    /// Records a run and returns how often the request has run.
    pub fn ran(&self, id: &str) -> usize {
        let mut it = self.seen.lock().unwrap();
        it.runs.push(id.to_owned());
        it.runs.iter().filter(|it| *it == id).count()
    }

    pub fn answered(&self, id: &str) {
        self.seen.lock().unwrap().answers.insert(id.to_owned(), Instant::now());
    }

    pub fn taken(&self) -> Vec<Taken> {
        self.seen.lock().unwrap().taken.clone()
    }

    pub fn resets(&self) -> Vec<Reset> {
        self.seen.lock().unwrap().resets.clone()
    }

    pub fn opened(&self, flow: &FlowId) -> Option<(u32, Instant)> {
        self.seen.lock().unwrap().opened.get(flow).copied()
    }

    pub fn closed(&self, flow: &FlowId) -> Option<Instant> {
        self.seen.lock().unwrap().closed.get(flow).copied()
    }

    /// Returns how many requests ran, were answered, and ran more than once.
    pub fn totals(&self) -> (usize, usize, usize) {
        let it = self.seen.lock().unwrap();
        let mut counts: HashMap<&str, u32> = HashMap::new();
        for run in &it.runs {
            *counts.entry(run).or_default() += 1;
        }
        (counts.len(), it.answers.len(), counts.values().filter(|it| **it > 1).count())
    }
}
