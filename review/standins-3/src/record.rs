//! The record of a case: what was sent, answered and run, with the milliseconds since the start.

use std::{
    fs::File,
    io::{BufWriter, Write},
    path::Path,
    sync::{Arc, Mutex},
    time::Instant,
};

#[derive(Clone)]
pub struct Record {
    start: Instant,
    out: Arc<Mutex<BufWriter<File>>>,
}

impl Record {
    pub fn create(path: &Path) -> std::io::Result<Record> {
        let out = Arc::new(Mutex::new(BufWriter::new(File::create(path)?)));
        Ok(Record { start: Instant::now(), out })
    }

    /// Milliseconds since the start.
    pub fn now(&self) -> u64 {
        self.start.elapsed().as_millis() as u64
    }

    pub fn line(&self, text: impl AsRef<str>) {
        let at = self.now();
        let mut out = self.out.lock().unwrap();
        let _ = writeln!(out, "{at:>7} {}", text.as_ref());
    }

    /// Writes a line of the result to the record and to standard output.
    pub fn result(&self, text: impl AsRef<str>) {
        println!("{}", text.as_ref());
        self.line(format!("RESULT {}", text.as_ref()));
        let _ = self.out.lock().unwrap().flush();
    }
}

/// A small generator of pseudo-random numbers.
pub struct Rng(u64);

impl Rng {
    pub fn new(seed: u64) -> Rng {
        Rng(seed.wrapping_mul(0x9e37_79b9_7f4a_7c15) | 1)
    }

    pub fn next(&mut self) -> u64 {
        self.0 ^= self.0 << 13;
        self.0 ^= self.0 >> 7;
        self.0 ^= self.0 << 17;
        self.0.wrapping_mul(0x2545_f491_4f6c_dd1d)
    }

    /// A number from zero up to one.
    pub fn unit(&mut self) -> f64 {
        (self.next() >> 11) as f64 / (1u64 << 53) as f64
    }
}
