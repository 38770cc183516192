//! Running the program, and hosts that answer with a prepared text.

use std::{
    io::{BufRead, BufReader, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    path::PathBuf,
    process::{Command, Stdio},
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    thread::JoinHandle,
};

use serde_json::Value;

pub(crate) struct Done {
    pub(crate) status: i32,
    pub(crate) out: String,
    pub(crate) err: String,
}

impl Done {
    pub(crate) fn json(&self) -> Value {
        serde_json::from_str(&self.out).unwrap_or_else(|e| panic!("{e}: {}", self.out))
    }
}

/// Runs `pomelorunctl`.
pub(crate) fn ctl(args: &[&str]) -> Done {
    let out = Command::new(env!("CARGO_BIN_EXE_pomelorunctl"))
        .args(args)
        .stdin(Stdio::null())
        .output()
        .unwrap();
    Done {
        status: out.status.code().unwrap(),
        out: String::from_utf8(out.stdout).unwrap(),
        err: String::from_utf8(out.stderr).unwrap(),
    }
}

pub(crate) fn example() -> String {
    let root = PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("../..");
    root.join("examples/co-centro/objects").display().to_string()
}

/// A host's admin service that gives one answer to every call.
pub(crate) struct FakeHost {
    pub(crate) address: SocketAddr,
    done: Arc<AtomicBool>,
    thread: Option<JoinHandle<()>>,
}

impl FakeHost {
    pub(crate) fn new(status: u16, body: &str) -> FakeHost {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let done = Arc::new(AtomicBool::new(false));
        let (stop, body) = (Arc::clone(&done), body.to_owned());
        let thread = std::thread::spawn(move || {
            for stream in listener.incoming() {
                if stop.load(Ordering::SeqCst) {
                    return;
                }
                answer(stream.unwrap(), status, &body);
            }
        });
        FakeHost { address, done, thread: Some(thread) }
    }
}

impl Drop for FakeHost {
    fn drop(&mut self) {
        self.done.store(true, Ordering::SeqCst);
        let _ = TcpStream::connect(self.address);
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}

fn answer(mut stream: TcpStream, status: u16, body: &str) {
    let mut lines = BufReader::new(stream.try_clone().unwrap()).lines();
    while lines.next().is_some_and(|it| it.is_ok_and(|it| !it.is_empty())) {}
    let length = body.len();
    let head = format!("HTTP/1.1 {status} X\r\ncontent-length: {length}\r\nconnection: close\r\n");
    let _ = stream.write_all(format!("{head}\r\n{body}").as_bytes());
}

/// An address at which nothing listens.
pub(crate) fn nobody() -> SocketAddr {
    TcpListener::bind("127.0.0.1:0").unwrap().local_addr().unwrap()
}
