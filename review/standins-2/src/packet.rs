//! Packets as PROTOCOL.md describes them.

use std::net::Ipv4Addr;

pub const SYN: u8 = 16;
pub const ACK: u8 = 64;
pub const FIN: u8 = 2;
pub const RST: u8 = 8;
const BOUNCED: u8 = 32;
pub const HEAD: usize = 32;

/// The two ends of a flow, as a packet of the consumer names them.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct FlowId {
    pub consumer: Ipv4Addr,
    pub consumer_port: u16,
    pub route: Ipv4Addr,
    pub route_port: u16,
}

/// Direction of a packet.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Way {
    ToEndpoint,
    ToConsumer,
}

#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Packet {
    pub flow: FlowId,
    pub way: Way,
    pub flags: u8,
    pub echo: u32,
    pub seq: u32,
    pub ack: u32,
    pub data: Vec<u8>,
}

/// A packet that was read, and whether its sender wrote it so.
#[derive(Debug)]
pub struct Read {
    pub packet: Packet,
    pub sum: u32,
    pub genuine: bool,
}

fn put(buf: &mut [u8], at: usize, bytes: &[u8]) {
    buf[at..at + bytes.len()].copy_from_slice(bytes);
}

fn u16_at(buf: &[u8], at: usize) -> u16 {
    u16::from_be_bytes([buf[at], buf[at + 1]])
}

fn u32_at(buf: &[u8], at: usize) -> u32 {
    u32::from_be_bytes([buf[at], buf[at + 1], buf[at + 2], buf[at + 3]])
}

/// Keyed sum over all fields but `echo`, `pad`, BOUNCED and itself. The key is the stand-ins' own.
fn keyed_sum(bytes: &[u8]) -> u32 {
    let mut hash: u64 = 0xcbf2_9ce4_8422_2325 ^ 0x5eed_0f1a_7c0f_fee1;
    for (at, byte) in bytes.iter().enumerate() {
        let byte = match at {
            0 => byte & !BOUNCED,
            1 | 14..=17 | 20..=23 => 0,
            _ => *byte,
        };
        hash = (hash ^ u64::from(byte)).wrapping_mul(0x0000_0100_0000_01b3);
    }
    ((hash >> 32) as u32 ^ hash as u32).max(1)
}

impl Packet {
    pub fn write(&self) -> Vec<u8> {
        let mut buf = vec![0u8; HEAD];
        let f = &self.flow;
        let (src, sport, dst, dport) = match self.way {
            Way::ToEndpoint => (f.consumer, f.consumer_port, f.route, f.route_port),
            Way::ToConsumer => (f.route, f.route_port, f.consumer, f.consumer_port),
        };
        buf[0] = self.flags;
        put(&mut buf, 2, &sport.to_be_bytes());
        put(&mut buf, 4, &src.octets());
        put(&mut buf, 8, &dst.octets());
        put(&mut buf, 12, &dport.to_be_bytes());
        put(&mut buf, 14, &self.echo.to_be_bytes());
        put(&mut buf, 18, &(self.data.len() as u16).to_be_bytes());
        put(&mut buf, 24, &self.seq.to_be_bytes());
        put(&mut buf, 28, &self.ack.to_be_bytes());
        buf.extend_from_slice(&self.data);
        let sum = keyed_sum(&buf);
        put(&mut buf, 20, &sum.to_be_bytes());
        buf
    }

    pub fn read(bytes: &[u8], way: Way) -> Option<Read> {
        if bytes.len() < HEAD || bytes.len() != HEAD + usize::from(u16_at(bytes, 18)) {
            return None;
        }
        let src = Ipv4Addr::from(u32_at(bytes, 4));
        let dst = Ipv4Addr::from(u32_at(bytes, 8));
        let (sport, dport) = (u16_at(bytes, 2), u16_at(bytes, 12));
        let flow = match way {
            Way::ToEndpoint => {
                FlowId { consumer: src, consumer_port: sport, route: dst, route_port: dport }
            }
            Way::ToConsumer => {
                FlowId { consumer: dst, consumer_port: dport, route: src, route_port: sport }
            }
        };
        let sum = u32_at(bytes, 20);
        let packet = Packet {
            flow,
            way,
            flags: bytes[0] & !BOUNCED,
            echo: u32_at(bytes, 14),
            seq: u32_at(bytes, 24),
            ack: u32_at(bytes, 28),
            data: bytes[HEAD..].to_vec(),
        };
        Some(Read { packet, sum, genuine: sum == keyed_sum(bytes) })
    }
}
