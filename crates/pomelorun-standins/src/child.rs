//! Child processes that are always ended and joined.

use std::{
    io::{BufRead, BufReader, Write},
    path::Path,
    process::{Command, ExitStatus, Stdio},
    sync::mpsc::{Receiver, RecvTimeoutError, channel},
    thread::{self, JoinHandle},
    time::{Duration, Instant},
};

use serde::{Serialize, de::DeserializeOwned};
use thiserror::Error;

/// Why a child process is of no use.
#[derive(Debug, Error)]
pub enum ChildError {
    /// It could not be started.
    #[error("cannot start {name}: {source}")]
    Start {
        /// Its name.
        name: String,
        /// The system's error.
        source: std::io::Error,
    },
    /// It ended or said nothing in time.
    #[error("{name} gave no answer within {waited:?}")]
    Silent {
        /// Its name.
        name: String,
        /// How long was waited.
        waited: Duration,
    },
    /// It said something else than expected.
    #[error("{name} said what was not expected: {detail}")]
    Garbled {
        /// Its name.
        name: String,
        /// What is wrong with it.
        detail: String,
    },
}

/// A child process; dropping it kills and joins it.
pub struct Child {
    name: String,
    process: std::process::Child,
    lines: Receiver<String>,
    reader: Option<JoinHandle<()>>,
}

impl Child {
    /// Starts a program with arguments; standard error goes to `stderr`.
    ///
    /// # Errors
    /// A program that cannot be started.
    pub fn start(
        name: &str,
        program: &Path,
        args: &[&str],
        stderr: Stdio,
    ) -> Result<Child, ChildError> {
        let failed = |source| ChildError::Start { name: name.to_owned(), source };
        let mut process = Command::new(program)
            .args(args)
            .stdin(Stdio::piped())
            .stdout(Stdio::piped())
            .stderr(stderr)
            .spawn()
            .map_err(failed)?;
        let stdout = process.stdout.take().expect("standard output is piped");
        let (tx, lines) = channel();
        let reader = thread::spawn(move || {
            for line in BufReader::new(stdout).lines().map_while(Result::ok) {
                if tx.send(line).is_err() {
                    return;
                }
            }
        });
        Ok(Child { name: name.to_owned(), process, lines, reader: Some(reader) })
    }

    /// Process id.
    pub fn id(&self) -> u32 {
        self.process.id()
    }

    /// Writes a command as one line; a child that is gone shows at the next [`Child::hear`].
    pub fn tell<T: Serialize>(&mut self, value: &T) {
        let text = serde_json::to_string(value).expect("commands have string keys only");
        if let Some(stdin) = &mut self.process.stdin {
            let _ = writeln!(stdin, "{text}").and_then(|()| stdin.flush());
        }
    }

    /// Waits for the next line.
    ///
    /// # Errors
    /// No line in time, or one of another shape.
    pub fn hear<T: DeserializeOwned>(&mut self, within: Duration) -> Result<T, ChildError> {
        let line = self.lines.recv_timeout(within).map_err(|e| match e {
            RecvTimeoutError::Timeout | RecvTimeoutError::Disconnected => {
                ChildError::Silent { name: self.name.clone(), waited: within }
            }
        })?;
        serde_json::from_str(&line).map_err(|e| ChildError::Garbled {
            name: self.name.clone(),
            detail: format!("{e}: {line}"),
        })
    }

    /// Sends a signal.
    pub fn signal(&self, signal: i32) {
        #[expect(unsafe_code, reason = "kill(2) on a child that has not been joined")]
        // SAFETY: the process id is that of a child not yet waited for.
        unsafe {
            libc::kill(self.process.id() as i32, signal);
        }
    }

    /// Waits for the end.
    pub fn join(&mut self, within: Duration) -> Option<ExitStatus> {
        const LOOK: Duration = Duration::from_millis(10);
        let start = Instant::now();
        loop {
            if let Ok(Some(status)) = self.process.try_wait() {
                return Some(status);
            }
            if start.elapsed() > within {
                return None;
            }
            thread::sleep(LOOK);
        }
    }
}

impl Drop for Child {
    fn drop(&mut self) {
        // A child that has ended already cannot be killed; both calls then do nothing.
        let _ = self.process.kill();
        let _ = self.process.wait();
        if let Some(reader) = self.reader.take() {
            let _ = reader.join();
        }
    }
}
