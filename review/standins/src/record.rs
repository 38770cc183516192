//! The record of a run.

use std::{
    fs::File,
    io::Write,
    sync::{Arc, Mutex},
};

use crate::clock::now_ms;

#[derive(Clone)]
pub struct Record(Arc<Mutex<File>>);

impl Record {
    pub fn create(path: &str) -> Record {
        Record(Arc::new(Mutex::new(File::create(path).expect("create the record"))))
    }

    pub fn line(&self, text: &str) {
        let ms = now_ms();
        let mut f = self.0.lock().unwrap();
        let _ = writeln!(f, "{:>3}.{:03} {text}", ms / 1_000, ms % 1_000);
    }

    /// Writes a line to the record and to the standard output.
    pub fn say(&self, text: &str) {
        self.line(text);
        println!("{text}");
    }
}
