//! JSON lines between a stand-in and its parent.

use std::{
    io::{BufRead, Write},
    sync::mpsc::{Receiver, TryRecvError, channel},
    thread,
};

use serde::{Serialize, de::DeserializeOwned};

/// Writes a value as one line on standard output.
///
/// # Panics
/// Standard output is closed, so the parent is gone.
pub fn say<T: Serialize>(value: &T) {
    let text = serde_json::to_string(value).expect("reports have string keys only");
    let mut out = std::io::stdout().lock();
    writeln!(out, "{text}").and_then(|()| out.flush()).expect("the parent reads");
}

/// Ends this process once standard input closes, so that it does not outlive its parent.
pub(crate) fn end_with_parent() {
    thread::spawn(|| {
        for _ in std::io::stdin().lock().lines().map_while(Result::ok) {}
        std::process::exit(0);
    });
}

/// Answer of [`Lines::poll`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Polled<T> {
    /// A command was there.
    Command(T),
    /// None was there.
    Nothing,
    /// Standard input is closed and nothing is left.
    ParentGone,
}

/// Commands from standard input, read on a thread of their own.
pub struct Lines<T> {
    rx: Receiver<T>,
}

impl<T: DeserializeOwned + Send + 'static> Lines<T> {
    /// Starts reading; the channel closes with standard input.
    pub fn from_stdin() -> Lines<T> {
        let (tx, rx) = channel();
        thread::spawn(move || {
            for line in std::io::stdin().lock().lines().map_while(Result::ok) {
                match serde_json::from_str(&line) {
                    Ok(it) => {
                        if tx.send(it).is_err() {
                            return;
                        }
                    }
                    Err(e) => eprintln!("command not understood: {e}: {line}"),
                }
            }
        });
        Lines { rx }
    }

    /// The next command if one is there.
    pub fn poll(&self) -> Polled<T> {
        match self.rx.try_recv() {
            Ok(it) => Polled::Command(it),
            Err(TryRecvError::Empty) => Polled::Nothing,
            Err(TryRecvError::Disconnected) => Polled::ParentGone,
        }
    }

    /// Waits for the next command; none once the parent is gone.
    pub fn wait(&self) -> Option<T> {
        self.rx.recv().ok()
    }
}
