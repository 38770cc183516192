//! Receiving and sending many datagrams in one system call.

use std::{
    io::{self, IoSlice, IoSliceMut},
    net::SocketAddrV4,
    os::fd::AsRawFd,
};

use nix::sys::socket::{MsgFlags, MultiHeaders, SockaddrIn, recvmmsg, sendmmsg};
use spdlog::prelude::*;
use tokio::{io::Interest, net::UdpSocket};

/// Datagrams in one system call.
pub(crate) const BATCH: usize = 64;
/// Size that the socket's buffers are asked to have, bytes.
const SOCKET_BUFFER: usize = 4 << 20;

/// Binds a socket for datagrams.
pub(crate) fn bind_udp(address: SocketAddrV4) -> io::Result<UdpSocket> {
    let socket = socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::DGRAM, None)?;
    socket.set_recv_buffer_size(SOCKET_BUFFER)?;
    socket.set_send_buffer_size(SOCKET_BUFFER)?;
    socket.set_nonblocking(true)?;
    socket.bind(&std::net::SocketAddr::from(address).into())?;
    UdpSocket::from_std(socket.into())
}

/// Buffers for one batch of received datagrams.
pub(crate) struct ReceiveBatch {
    headers: MultiHeaders<SockaddrIn>,
    bytes: Vec<u8>,
    /// Bytes kept for each datagram; longer ones are cut.
    longest: usize,
    /// Sender and length of each datagram of the last batch.
    received: Vec<(SocketAddrV4, usize)>,
    /// System calls since the last batch, those included that found nothing.
    calls: u64,
}

impl ReceiveBatch {
    pub(crate) fn new(longest: usize) -> ReceiveBatch {
        ReceiveBatch {
            headers: MultiHeaders::preallocate(BATCH, None),
            bytes: vec![0; BATCH * longest],
            longest,
            received: Vec::with_capacity(BATCH),
            calls: 0,
        }
    }

    /// Receives what is there, up to a batch.
    pub(crate) fn receive(&mut self, socket: &UdpSocket) -> io::Result<()> {
        let ReceiveBatch { headers, bytes, longest, received, calls } = self;
        received.clear();
        socket.try_io(Interest::READABLE, || {
            *calls += 1;
            let mut slices: Vec<[IoSliceMut<'_>; 1]> =
                bytes.chunks_mut(*longest).map(|it| [IoSliceMut::new(it)]).collect();
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

    /// System calls since the last time.
    pub(crate) fn take_syscalls(&mut self) -> u64 {
        std::mem::take(&mut self.calls)
    }

    /// The datagrams of the last batch with their senders.
    pub(crate) fn datagrams(&self) -> impl Iterator<Item = (SocketAddrV4, &[u8])> {
        self.received
            .iter()
            .zip(self.bytes.chunks(self.longest))
            .map(|((from, len), bytes)| (*from, &bytes[..*len]))
    }
}

/// Receives datagrams in batches and hands them to `take` until the socket fails.
pub(crate) async fn receive_loop(
    socket: &UdpSocket,
    longest: usize,
    mut take: impl FnMut(&mut ReceiveBatch),
) {
    let mut incoming = ReceiveBatch::new(longest);
    loop {
        if let Err(e) = socket.readable().await {
            error!("packet socket failed", kv: { error = e.to_string() });
            return;
        }
        match incoming.receive(socket) {
            Ok(()) => take(&mut incoming),
            Err(e) if e.kind() == io::ErrorKind::WouldBlock => {}
            // A peer's closed port shows as an error on this socket; go on reading.
            Err(e) => debug!("receive failed", kv: { error = e.to_string() }),
        }
        tokio::task::yield_now().await;
    }
}

/// Datagrams that wait to be sent together.
pub(crate) struct SendQueue {
    headers: MultiHeaders<SockaddrIn>,
    bytes: Vec<u8>,
    /// Receiver and end of each datagram in `bytes`.
    queued: Vec<(SocketAddrV4, usize)>,
    /// Datagrams that the kernel did not take.
    dropped: u64,
    /// System calls.
    calls: u64,
}

impl SendQueue {
    pub(crate) fn new() -> SendQueue {
        SendQueue {
            headers: MultiHeaders::preallocate(BATCH, None),
            bytes: Vec::new(),
            queued: Vec::new(),
            dropped: 0,
            calls: 0,
        }
    }

    /// Queues a datagram made of two parts.
    pub(crate) fn push(&mut self, to: SocketAddrV4, head: &[u8], rest: &[u8]) {
        self.bytes.extend_from_slice(head);
        self.bytes.extend_from_slice(rest);
        self.queued.push((to, self.bytes.len()));
    }

    /// Queues the datagram that `write` appends; it returns the receiver.
    pub(crate) fn push_with(&mut self, write: impl FnOnce(&mut Vec<u8>) -> SocketAddrV4) {
        let to = write(&mut self.bytes);
        self.queued.push((to, self.bytes.len()));
    }

    /// Datagrams that the kernel did not take since the start.
    pub(crate) fn dropped(&self) -> u64 {
        self.dropped
    }

    /// System calls since the start.
    pub(crate) fn syscalls(&self) -> u64 {
        self.calls
    }

    /// Sends all that is queued; what the kernel cannot take is lost as any datagram may be.
    pub(crate) fn flush(&mut self, socket: &UdpSocket) {
        let SendQueue { headers, bytes, queued, dropped, calls } = self;
        let mut start = 0;
        for batch in queued.chunks(BATCH) {
            let mut slices: Vec<[IoSlice<'_>; 1]> = Vec::with_capacity(batch.len());
            let mut to: Vec<Option<SockaddrIn>> = Vec::with_capacity(batch.len());
            for (addr, end) in batch {
                slices.push([IoSlice::new(&bytes[start..*end])]);
                to.push(Some(SockaddrIn::from(*addr)));
                start = *end;
            }
            let sent = send_batch(socket, headers, &slices, &to);
            *dropped += sent.lost;
            *calls += sent.calls;
        }
        bytes.clear();
        queued.clear();
    }
}

/// What sending one batch came to.
struct Sent {
    lost: u64,
    calls: u64,
}

/// Sends one batch.
fn send_batch(
    socket: &UdpSocket,
    headers: &mut MultiHeaders<SockaddrIn>,
    slices: &[[IoSlice<'_>; 1]],
    to: &[Option<SockaddrIn>],
) -> Sent {
    let mut sent = Sent { lost: 0, calls: 0 };
    let mut done = 0;
    while done < slices.len() {
        let (slices, to) = (&slices[done..], &to[done..]);
        let flags = MsgFlags::MSG_DONTWAIT;
        sent.calls += 1;
        match sendmmsg(socket.as_raw_fd(), headers, slices, to, [], flags) {
            Ok(it) => done += it.count().max(1),
            // The first datagram left cannot be sent; the others may.
            Err(_) => {
                sent.lost += 1;
                done += 1;
            }
        }
    }
    sent
}
