//! The packets of PROTOCOL.md.

pub const SYN: u8 = 16;
pub const ACK: u8 = 64;
pub const FIN: u8 = 2;
pub const RST: u8 = 8;
const BOUNCED: u8 = 32;
const HEAD: usize = 32;

/// Addresses and ports of a flow, as its consumer writes them.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct FlowId {
    pub src: u32,
    pub sport: u16,
    pub dst: u32,
    pub dport: u16,
}

impl FlowId {
    pub fn reverse(self) -> FlowId {
        FlowId { src: self.dst, sport: self.dport, dst: self.src, dport: self.sport }
    }

    pub fn hash(self) -> u64 {
        let text = [self.src, u32::from(self.sport), self.dst, u32::from(self.dport)];
        text.iter().fold(0xcbf2_9ce4_8422_2325, |it, word| {
            word.to_be_bytes()
                .iter()
                .fold(it, |it, byte| (it ^ u64::from(*byte)).wrapping_mul(0x0100_0000_01b3))
        }) >> 16
    }
}

#[derive(Debug, Clone)]
pub struct Packet {
    pub flags: u8,
    pub flow: FlowId,
    pub echo: u32,
    pub seq: u32,
    pub ack: u32,
    pub sum: u32,
    pub data: Vec<u8>,
}

impl Packet {
    pub fn new(flags: u8, flow: FlowId, echo: u32, seq: u32, ack: u32, data: &[u8]) -> Packet {
        let mut it = Packet { flags, flow, echo, seq, ack, sum: 0, data: data.to_vec() };
        it.sum = it.keyed_sum();
        it
    }

    pub fn parse(bytes: &[u8]) -> Option<Packet> {
        if bytes.len() < HEAD {
            return None;
        }
        let u16_at = |at: usize| u16::from_be_bytes([bytes[at], bytes[at + 1]]);
        let u32_at = |at: usize| {
            u32::from_be_bytes([bytes[at], bytes[at + 1], bytes[at + 2], bytes[at + 3]])
        };
        let len = usize::from(u16_at(18));
        if bytes.len() != HEAD + len {
            return None;
        }
        let flow = FlowId { src: u32_at(4), sport: u16_at(2), dst: u32_at(8), dport: u16_at(12) };
        Some(Packet {
            flags: bytes[0],
            flow,
            echo: u32_at(14),
            seq: u32_at(24),
            ack: u32_at(28),
            sum: u32_at(20),
            data: bytes[HEAD..].to_vec(),
        })
    }

    pub fn bytes(&self) -> Vec<u8> {
        let mut out = vec![self.flags, 0];
        out.extend(self.flow.sport.to_be_bytes());
        out.extend(self.flow.src.to_be_bytes());
        out.extend(self.flow.dst.to_be_bytes());
        out.extend(self.flow.dport.to_be_bytes());
        out.extend(self.echo.to_be_bytes());
        out.extend((self.data.len() as u16).to_be_bytes());
        out.extend(self.sum.to_be_bytes());
        out.extend(self.seq.to_be_bytes());
        out.extend(self.ack.to_be_bytes());
        out.extend(&self.data);
        out
    }

    pub fn has(&self, flag: u8) -> bool {
        self.flags & flag != 0
    }

    /// The keyed sum over all fields but `echo`, `pad` and BOUNCED; never zero.
    pub fn keyed_sum(&self) -> u32 {
        let mut hash: u64 = 0x5eed_0f5e_ed0f_5eed;
        let mut add = |byte: u8| hash = (hash ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3);
        add(self.flags & !BOUNCED);
        for word in [
            self.flow.src,
            u32::from(self.flow.sport),
            self.flow.dst,
            u32::from(self.flow.dport),
            self.seq,
            self.ack,
        ] {
            word.to_be_bytes().into_iter().for_each(&mut add);
        }
        self.data.iter().copied().for_each(&mut add);
        ((hash >> 32) as u32).max(1)
    }

    pub fn is_genuine(&self) -> bool {
        self.sum == self.keyed_sum()
    }
}
