//! Packets of callers and endpoints, as PROTOCOL.md lays them out.

pub const SYN: u8 = 16;
pub const ACK: u8 = 64;
pub const FIN: u8 = 2;
pub const RST: u8 = 8;
pub const HEAD: usize = 32;

/// A packet with its header fields in host order.
#[derive(Debug, Clone, Default)]
pub struct Packet {
    pub flags: u8,
    pub sport: u16,
    pub src: u32,
    pub dst: u32,
    pub dport: u16,
    pub echo: u32,
    pub sum: u32,
    pub seq: u32,
    pub ack: u32,
    pub data: Vec<u8>,
}

impl Packet {
    /// Encodes the packet with its keyed sum.
    pub fn encode(&self) -> Vec<u8> {
        let mut it = vec![0; HEAD];
        it[0] = self.flags;
        it[2..4].copy_from_slice(&self.sport.to_be_bytes());
        it[4..8].copy_from_slice(&self.src.to_be_bytes());
        it[8..12].copy_from_slice(&self.dst.to_be_bytes());
        it[12..14].copy_from_slice(&self.dport.to_be_bytes());
        it[14..18].copy_from_slice(&self.echo.to_be_bytes());
        it[18..20].copy_from_slice(&(self.data.len() as u16).to_be_bytes());
        it[20..24].copy_from_slice(&self.keyed_sum().to_be_bytes());
        it[24..28].copy_from_slice(&self.seq.to_be_bytes());
        it[28..32].copy_from_slice(&self.ack.to_be_bytes());
        it.extend_from_slice(&self.data);
        it
    }

    pub fn decode(b: &[u8]) -> Option<Packet> {
        let half = |at: usize| Some(u16::from_be_bytes(b.get(at..at + 2)?.try_into().ok()?));
        let word = |at: usize| Some(u32::from_be_bytes(b.get(at..at + 4)?.try_into().ok()?));
        let len = usize::from(half(18)?);
        if b.len() != HEAD + len {
            return None;
        }
        Some(Packet {
            flags: b[0],
            sport: half(2)?,
            src: word(4)?,
            dst: word(8)?,
            dport: half(12)?,
            echo: word(14)?,
            sum: word(20)?,
            seq: word(24)?,
            ack: word(28)?,
            data: b[HEAD..].to_vec(),
        })
    }

    /// Returns a sum over all fields but `echo`, `pad` and the flag BOUNCED; never zero.
    pub fn keyed_sum(&self) -> u32 {
        let mut h: u64 = 0x9e37_79b9_7f4a_7c15;
        let mut mix = |v: u64| {
            h ^= v;
            h = h.wrapping_mul(0x0100_0000_01b3).rotate_left(23);
        };
        mix(u64::from(self.flags & !32));
        mix(u64::from(self.sport) << 32 | u64::from(self.src));
        mix(u64::from(self.dport) << 32 | u64::from(self.dst));
        mix(u64::from(self.seq) << 32 | u64::from(self.ack));
        mix(self.data.len() as u64);
        self.data.iter().for_each(|it| mix(u64::from(*it)));
        ((h >> 32) as u32).max(1)
    }

    pub fn has(&self, flag: u8) -> bool {
        self.flags & flag != 0
    }
}
