//! Batched datagram I/O: receives and sends many datagrams per system call.

use std::{
    io::{self, IoSlice, IoSliceMut},
    net::SocketAddrV4,
    ops::ControlFlow,
    os::fd::AsRawFd,
};

use nix::sys::socket::{MsgFlags, MultiHeaders, SockaddrIn, recvmmsg, sendmmsg};
use spdlog::prelude::*;
use tokio::{io::Interest, net::UdpSocket};

/// Maximum number of datagrams per system call.
pub(crate) const BATCH_SIZE: usize = 64;
/// Requested size of the socket's receive and send buffers, in bytes.
const SOCKET_BUFFER_BYTES: usize = 4 << 20;

/// Binds a non-blocking UDP socket with large buffers.
pub(crate) fn bind_udp(address: SocketAddrV4) -> io::Result<UdpSocket> {
    let socket = socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::DGRAM, None)?;
    socket.set_recv_buffer_size(SOCKET_BUFFER_BYTES)?;
    socket.set_send_buffer_size(SOCKET_BUFFER_BYTES)?;
    socket.set_nonblocking(true)?;
    socket.bind(&std::net::SocketAddr::from(address).into())?;
    UdpSocket::from_std(socket.into())
}

/// Buffers for one batch of received datagrams.
pub(crate) struct ReceiveBatch {
    headers: MultiHeaders<SockaddrIn>,
    bytes: Vec<u8>,
    /// Buffer size per datagram; longer datagrams are truncated.
    max_datagram_bytes: usize,
    /// Sender and length of each datagram in the last batch.
    received: Vec<(SocketAddrV4, usize)>,
    /// System calls since the last `take_syscalls`, including those that returned no datagram.
    syscalls: u64,
}

impl ReceiveBatch {
    pub(crate) fn new(max_datagram_bytes: usize) -> ReceiveBatch {
        ReceiveBatch {
            headers: MultiHeaders::preallocate(BATCH_SIZE, None),
            bytes: vec![0; BATCH_SIZE * max_datagram_bytes],
            max_datagram_bytes,
            received: Vec::with_capacity(BATCH_SIZE),
            syscalls: 0,
        }
    }

    /// Receives the datagrams that are available, at most [`BATCH_SIZE`].
    pub(crate) fn receive(&mut self, socket: &UdpSocket) -> io::Result<()> {
        let ReceiveBatch { headers, bytes, max_datagram_bytes, received, syscalls } = self;
        received.clear();
        socket.try_io(Interest::READABLE, || {
            *syscalls += 1;
            let mut slices: Vec<[IoSliceMut<'_>; 1]> =
                bytes.chunks_mut(*max_datagram_bytes).map(|it| [IoSliceMut::new(it)]).collect();
            let got = recvmmsg(
                socket.as_raw_fd(),
                headers,
                slices.iter_mut(),
                MsgFlags::MSG_DONTWAIT,
                None,
            )?;
            for it in got {
                let from =
                    it.address.map_or(SocketAddrV4::new([0; 4].into(), 0), SocketAddrV4::from);
                received.push((from, it.bytes));
            }
            Ok(())
        })
    }

    /// Returns the number of system calls since the last time and resets it.
    pub(crate) fn take_syscalls(&mut self) -> u64 {
        std::mem::take(&mut self.syscalls)
    }

    /// Iterates over the datagrams of the last batch, with their senders.
    pub(crate) fn datagrams(&self) -> impl Iterator<Item = (SocketAddrV4, &[u8])> {
        self.received
            .iter()
            .zip(self.bytes.chunks(self.max_datagram_bytes))
            .map(|((from, len), bytes)| (*from, &bytes[..*len]))
    }
}

/// Passes received batches to `handle` until the socket fails.
pub(crate) async fn receive_loop(
    socket: &UdpSocket,
    max_datagram_bytes: usize,
    mut handle: impl FnMut(&mut ReceiveBatch),
) {
    let mut incoming = ReceiveBatch::new(max_datagram_bytes);
    while receive_next(socket, &mut incoming, &mut handle).await.is_continue() {
        tokio::task::yield_now().await;
    }
}

/// Waits for datagrams and passes them to `handle`. Breaks if the socket has failed.
///
/// Nothing is received if the future is dropped before it completes.
pub(crate) async fn receive_next(
    socket: &UdpSocket,
    incoming: &mut ReceiveBatch,
    handle: &mut impl FnMut(&mut ReceiveBatch),
) -> ControlFlow<()> {
    if let Err(e) = socket.readable().await {
        error!("packet socket failed", kv: { error = e.to_string() });
        return ControlFlow::Break(());
    }
    match incoming.receive(socket) {
        Ok(()) => handle(incoming),
        Err(e) if e.kind() == io::ErrorKind::WouldBlock => {}
        // For example an ICMP error because a peer's port is closed; the socket stays usable.
        Err(e) => debug!("receive failed", kv: { error = e.to_string() }),
    }
    ControlFlow::Continue(())
}

/// Datagrams that are queued to be sent in one batch.
pub(crate) struct SendQueue {
    headers: MultiHeaders<SockaddrIn>,
    bytes: Vec<u8>,
    /// Destination of each datagram and its end offset in `bytes`.
    queued: Vec<(SocketAddrV4, usize)>,
    /// Datagrams that the operating system did not accept.
    dropped: u64,
    /// Send system calls since the start, including those that failed.
    syscalls: u64,
}

impl SendQueue {
    pub(crate) fn new() -> SendQueue {
        SendQueue {
            headers: MultiHeaders::preallocate(BATCH_SIZE, None),
            bytes: Vec::new(),
            queued: Vec::new(),
            dropped: 0,
            syscalls: 0,
        }
    }

    /// Queues a datagram that consists of a header and a payload.
    pub(crate) fn push(&mut self, to: SocketAddrV4, header: &[u8], payload: &[u8]) {
        self.bytes.extend_from_slice(header);
        self.bytes.extend_from_slice(payload);
        self.queued.push((to, self.bytes.len()));
    }

    /// Queues the datagram that `write` appends to the buffer; `write` returns its destination.
    pub(crate) fn push_with(&mut self, write: impl FnOnce(&mut Vec<u8>) -> SocketAddrV4) {
        let to = write(&mut self.bytes);
        self.queued.push((to, self.bytes.len()));
    }

    /// Returns the number of datagrams that the operating system did not accept, since the start.
    pub(crate) fn dropped(&self) -> u64 {
        self.dropped
    }

    /// Returns the number of system calls since the start.
    pub(crate) fn syscalls(&self) -> u64 {
        self.syscalls
    }

    /// Sends all queued datagrams.
    ///
    /// Datagrams that the operating system does not accept are dropped and counted; no retry is
    /// needed, since any datagram may be lost.
    pub(crate) fn flush(&mut self, socket: &UdpSocket) {
        let SendQueue { headers, bytes, queued, dropped, syscalls } = self;
        let mut start = 0;
        for batch in queued.chunks(BATCH_SIZE) {
            let mut slices: Vec<[IoSlice<'_>; 1]> = Vec::with_capacity(batch.len());
            let mut to: Vec<Option<SockaddrIn>> = Vec::with_capacity(batch.len());
            for (addr, end) in batch {
                slices.push([IoSlice::new(&bytes[start..*end])]);
                to.push(Some(SockaddrIn::from(*addr)));
                start = *end;
            }
            let sent = send_datagrams(socket, headers, &slices, &to);
            *dropped += sent.dropped;
            *syscalls += sent.syscalls;
        }
        bytes.clear();
        queued.clear();
    }
}

/// Counts of one sent batch.
struct SendResult {
    dropped: u64,
    syscalls: u64,
}

fn send_datagrams(
    socket: &UdpSocket,
    headers: &mut MultiHeaders<SockaddrIn>,
    slices: &[[IoSlice<'_>; 1]],
    to: &[Option<SockaddrIn>],
) -> SendResult {
    let mut sent = SendResult { dropped: 0, syscalls: 0 };
    let mut done = 0;
    while done < slices.len() {
        let (slices, to) = (&slices[done..], &to[done..]);
        let flags = MsgFlags::MSG_DONTWAIT;
        sent.syscalls += 1;
        match sendmmsg(socket.as_raw_fd(), headers, slices, to, [], flags) {
            Ok(it) => done += it.count().max(1),
            // Drops the first remaining datagram only; sending the others may still succeed.
            Err(_) => {
                sent.dropped += 1;
                done += 1;
            }
        }
    }
    sent
}
