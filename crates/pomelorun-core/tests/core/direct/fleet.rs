//! Hosts that find each other through seeds, and agree on who reads.

use std::collections::VecDeque;

use pomelorun_core::{
    CoreSettings, Millis,
    direct::{Fleet, FleetMsg, OutboundMessages, PeerUpdate, Readers},
};
use pomelorun_wire::{HostId, MemberInfo, MemberState, ZoneId, encode};

/// Delay of a message, milliseconds.
const DELAY: u64 = 2;
/// Control traffic that a host may spend, bytes a second.
const BYTES_PER_S: f64 = 4_096.0;

/// Time from the start of the hosts to the first callers.
const BEFORE_TRAFFIC: u64 = 10_000;

struct Hosts {
    now: u64,
    fleets: Vec<Option<Fleet>>,
    zones: u32,
    wires: VecDeque<(u64, HostId, HostId, FleetMsg)>,
    bytes: u64,
    cut: Option<ZoneId>,
}

impl Hosts {
    fn new(count: usize, zones: u32) -> Hosts {
        let mut hosts = Hosts {
            now: 1_000,
            fleets: Vec::new(),
            zones,
            wires: VecDeque::new(),
            bytes: 0,
            cut: None,
        };
        for at in 0..count {
            let fleet = hosts.fleet(at);
            hosts.fleets.push(Some(fleet));
        }
        hosts
    }

    fn zone(&self, at: usize) -> ZoneId {
        ZoneId(at as u32 % self.zones)
    }

    fn fleet(&self, at: usize) -> Fleet {
        let me = MemberInfo {
            host: HostId(at as u64),
            zone: self.zone(at),
            incarnation: self.now,
            state: MemberState::Live,
        };
        let seeds = [HostId(0), HostId(1), HostId(2)];
        let cfg = CoreSettings { probe_period_ms: Millis(500), ..CoreSettings::default() };
        Fleet::new(Millis(self.now), me, &seeds, cfg, at as u64 ^ self.now)
    }

    fn send(&mut self, from: HostId, out: OutboundMessages) {
        for (to, msg) in out {
            self.bytes += encode(&msg).unwrap().len() as u64;
            let cut = self.cut.is_some_and(|it| {
                (self.zone(from.0 as usize) == it) != (self.zone(to.0 as usize) == it)
            });
            if !cut {
                self.wires.push_back((self.now + DELAY, from, to, msg));
            }
        }
    }

    fn run_for(&mut self, ms: u64) {
        let end = self.now + ms;
        while self.now < end {
            self.now += DELAY;
            while self.wires.front().is_some_and(|it| it.0 <= self.now) {
                let Some((_, from, to, msg)) = self.wires.pop_front() else { break };
                let FleetMsg::Member(msg) = msg else { continue };
                let now = Millis(self.now);
                let Some(Some(fleet)) = self.fleets.get_mut(to.0 as usize) else { continue };
                let out = fleet.handle_message(now, from, &msg);
                self.send(to, out);
            }
            for at in 0..self.fleets.len() {
                // Hosts tick at different moments.
                if (self.now + at as u64 * DELAY) % 100 < DELAY
                    && let Some(fleet) = &mut self.fleets[at]
                {
                    let out = fleet.tick(Millis(self.now));
                    fleet.take_changed(Millis(self.now));
                    self.send(HostId(at as u64), out);
                }
            }
        }
    }

    fn live(&self, at: usize) -> usize {
        self.fleets[at].as_ref().map_or(0, |it| it.live_hosts().len())
    }

    /// Hosts that read, by zone.
    fn reading(&self) -> Vec<usize> {
        let mut counts = vec![0; self.zones as usize];
        for (at, it) in self.fleets.iter().enumerate() {
            if it.as_ref().is_some_and(|it| it.readers().is_reader) {
                counts[self.zone(at).0 as usize] += 1;
            }
        }
        counts
    }
}

#[test]
fn hosts_that_start_together_know_each_other_and_agree_on_two_readers_a_zone() {
    for (count, zones) in [(7, 3), (90, 3), (90, 5)] {
        let mut hosts = Hosts::new(count, zones);
        hosts.run_for(BEFORE_TRAFFIC);
        for at in 0..count {
            assert_eq!(hosts.live(at), count, "host {at} of {count}");
        }
        assert_eq!(hosts.reading(), vec![2; zones as usize], "{count} hosts");
    }
}

#[test]
fn a_seed_that_is_down_does_not_keep_the_others_apart() {
    let mut hosts = Hosts::new(9, 3);
    hosts.fleets[0] = None;
    hosts.fleets[2] = None;
    hosts.run_for(8_000);
    for at in [1, 3, 4, 5, 6, 7, 8] {
        assert_eq!(hosts.live(at), 7, "host {at}");
    }
}

#[test]
fn a_lost_reader_is_replaced() {
    let mut hosts = Hosts::new(12, 3);
    hosts.run_for(4_000);
    let reads = |it: &Option<Fleet>| it.as_ref().is_some_and(|it| it.readers().is_reader);
    let lost = hosts.fleets.iter().position(reads).unwrap();
    hosts.fleets[lost] = None;
    hosts.run_for(8_000);
    assert_eq!(hosts.reading(), [2, 2, 2]);
}

#[test]
fn a_host_that_starts_again_is_known_again() {
    let mut hosts = Hosts::new(9, 3);
    hosts.run_for(3_000);
    hosts.fleets[4] = None;
    hosts.run_for(6_000);
    assert_eq!(hosts.live(1), 8);
    hosts.fleets[4] = Some(hosts.fleet(4));
    hosts.run_for(3_000);
    for at in 0..9 {
        assert_eq!(hosts.live(at), 9, "host {at}");
    }
}

#[test]
fn a_zone_that_was_cut_off_has_its_own_readers_and_is_found_again() {
    let mut hosts = Hosts::new(15, 3);
    hosts.run_for(4_000);
    hosts.cut = Some(ZoneId(1));
    hosts.run_for(15_000);
    assert_eq!(hosts.live(1), 5, "the zone's own hosts");
    assert_eq!(hosts.live(0), 10);
    assert_eq!(hosts.reading(), [2, 2, 2]);
    hosts.cut = None;
    hosts.run_for(20_000);
    for at in 0..15 {
        assert_eq!(hosts.live(at), 15, "host {at}");
    }
}

#[test]
fn a_host_that_leaves_reads_no_more() {
    let mut hosts = Hosts::new(6, 1);
    hosts.run_for(4_000);
    let reads = |it: &Option<Fleet>| it.as_ref().is_some_and(|it| it.readers().is_reader);
    let leaving = hosts.fleets.iter().position(reads).unwrap();
    let out = hosts.fleets[leaving].as_mut().unwrap().leave();
    hosts.send(HostId(leaving as u64), out);
    hosts.run_for(500);
    assert_eq!(hosts.fleets[leaving].as_ref().unwrap().readers(), Readers::default());
    assert_eq!(hosts.reading(), [2]);
}

#[test]
fn an_idle_host_stays_below_its_bytes_whatever_the_number_of_hosts() {
    for count in [7, 90, 300] {
        let mut hosts = Hosts::new(count, 5);
        hosts.run_for(10_000);
        let before = hosts.bytes;
        hosts.run_for(5_000);
        let rate = (hosts.bytes - before) as f64 / 5.0 / count as f64;
        assert!(rate < BYTES_PER_S, "{count} hosts: {rate} bytes a second");
    }
}

#[test]
fn news_is_one_small_datagram() {
    let news =
        PeerUpdate { unreachable: vec![(u64::MAX, 1_773_131_158_246, 350); 16], ejected: vec![] };
    assert!(encode(&FleetMsg::PeerUpdate(news)).unwrap().len() < 1_200);
}
