//! Standard output that never blocks.

use std::{
    io::{self, Write},
    os::fd::{AsFd, BorrowedFd},
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
};

use nix::poll::{PollFd, PollFlags, PollTimeout, poll};

/// Bytes that wait for a reader at most; later lines are dropped and counted.
const MOST_WAITING: usize = 256 << 10;
/// Bytes that a pipe which is ready takes without blocking, as POSIX promises.
const AT_ONCE: usize = 4_096;

/// Collects lines and writes them when it is flushed, as far as the reader takes them at once.
#[derive(Debug)]
pub(crate) struct NonBlockingStdout {
    waiting: Vec<u8>,
    dropped: Arc<AtomicU64>,
}

impl NonBlockingStdout {
    /// Makes an output; `dropped` counts the lines that found no room.
    pub(crate) fn new(dropped: Arc<AtomicU64>) -> NonBlockingStdout {
        NonBlockingStdout { waiting: Vec::new(), dropped }
    }
}

impl Write for NonBlockingStdout {
    /// Takes one line, whole or not at all.
    fn write(&mut self, buf: &[u8]) -> io::Result<usize> {
        if self.waiting.len() + buf.len() <= MOST_WAITING {
            self.waiting.extend_from_slice(buf);
        } else {
            self.dropped.fetch_add(1, Ordering::Relaxed);
        }
        Ok(buf.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        let stdout = io::stdout();
        let fd = stdout.as_fd();
        let mut done = 0;
        while done < self.waiting.len() && is_ready(fd) {
            let end = self.waiting.len().min(done + AT_ONCE);
            match nix::unistd::write(fd, &self.waiting[done..end]) {
                Ok(written) => done += written,
                Err(nix::errno::Errno::EAGAIN | nix::errno::Errno::EINTR) => break,
                Err(e) => {
                    // Nobody reads any more; what waits is lost.
                    self.waiting.clear();
                    return Err(e.into());
                }
            }
        }
        self.waiting.drain(..done);
        Ok(())
    }
}

fn is_ready(fd: BorrowedFd<'_>) -> bool {
    let mut fds = [PollFd::new(fd, PollFlags::POLLOUT)];
    let ready = poll(&mut fds, PollTimeout::ZERO).is_ok_and(|it| it > 0);
    ready && fds[0].revents().is_some_and(|it| it.intersects(PollFlags::POLLOUT))
}
