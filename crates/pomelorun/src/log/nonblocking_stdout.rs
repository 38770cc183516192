//! Writer to standard output that never blocks.

use std::{
    io::{self, Write},
    os::fd::{AsFd, BorrowedFd},
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
};

use nix::poll::{PollFd, PollFlags, PollTimeout, poll};

/// Maximum number of buffered bytes; lines beyond it are dropped and counted.
const MAX_BUFFERED_BYTES: usize = 256 << 10;
/// Maximum size of one write: POSIX guarantees that a pipe that polls as writable takes this many
/// bytes without blocking.
const MAX_WRITE_BYTES: usize = 4_096;

/// Buffers lines and, when flushed, writes as much as standard output accepts without blocking.
#[derive(Debug)]
pub(crate) struct NonBlockingStdout {
    buffered: Vec<u8>,
    dropped: Arc<AtomicU64>,
}

impl NonBlockingStdout {
    /// Creates a writer; `dropped` counts the lines that exceeded the buffer.
    pub(crate) fn new(dropped: Arc<AtomicU64>) -> NonBlockingStdout {
        NonBlockingStdout { buffered: Vec::new(), dropped }
    }
}

impl Write for NonBlockingStdout {
    /// Buffers one line completely, or drops it if the buffer is full.
    fn write(&mut self, buf: &[u8]) -> io::Result<usize> {
        if self.buffered.len() + buf.len() <= MAX_BUFFERED_BYTES {
            self.buffered.extend_from_slice(buf);
        } else {
            self.dropped.fetch_add(1, Ordering::Relaxed);
        }
        Ok(buf.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        let stdout = io::stdout();
        let fd = stdout.as_fd();
        let mut written = 0;
        while written < self.buffered.len() && is_writable(fd) {
            let end = self.buffered.len().min(written + MAX_WRITE_BYTES);
            match nix::unistd::write(fd, &self.buffered[written..end]) {
                Ok(count) => written += count,
                Err(nix::errno::Errno::EAGAIN | nix::errno::Errno::EINTR) => break,
                Err(e) => {
                    // The reader has closed the stream; the buffered lines are lost.
                    self.buffered.clear();
                    return Err(e.into());
                }
            }
        }
        self.buffered.drain(..written);
        Ok(())
    }
}

fn is_writable(fd: BorrowedFd<'_>) -> bool {
    let mut fds = [PollFd::new(fd, PollFlags::POLLOUT)];
    let ready = poll(&mut fds, PollTimeout::ZERO).is_ok_and(|it| it > 0);
    ready && fds[0].revents().is_some_and(|it| it.intersects(PollFlags::POLLOUT))
}
