//! Membership of hosts discovered through seeds, and election of the directory readers.

use std::collections::VecDeque;

use pomelorun_core::{
    CoreSettings, Millis,
    direct::{Fleet, FleetMsg, OutboundMessages, PeerUpdate, Readers},
};
use pomelorun_wire::{HostId, MemberInfo, MemberState, ZoneId, encode};

/// Delivery delay of a message, in milliseconds.
const DELAY_MS: u64 = 2;
/// Control traffic budget of a host, in bytes per second.
const MAX_BYTES_PER_S: f64 = 4_096.0;

/// Time between the start of the hosts and the first caller traffic, in milliseconds.
const WARM_UP_MS: u64 = 10_000;

struct TestFleet {
    now: u64,
    fleets: Vec<Option<Fleet>>,
    zones: u32,
    in_transit: VecDeque<(u64, HostId, HostId, FleetMsg)>,
    bytes: u64,
    partitioned_zone: Option<ZoneId>,
}

impl TestFleet {
    fn new(count: usize, zones: u32) -> TestFleet {
        let mut hosts = TestFleet {
            now: 1_000,
            fleets: Vec::new(),
            zones,
            in_transit: VecDeque::new(),
            bytes: 0,
            partitioned_zone: None,
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
            let blocked = self.partitioned_zone.is_some_and(|it| {
                (self.zone(from.0 as usize) == it) != (self.zone(to.0 as usize) == it)
            });
            if !blocked {
                self.in_transit.push_back((self.now + DELAY_MS, from, to, msg));
            }
        }
    }

    fn run_for(&mut self, ms: u64) {
        let end = self.now + ms;
        while self.now < end {
            self.now += DELAY_MS;
            while self.in_transit.front().is_some_and(|it| it.0 <= self.now) {
                let Some((_, from, to, msg)) = self.in_transit.pop_front() else { break };
                let FleetMsg::Member(msg) = msg else { continue };
                let now = Millis(self.now);
                let Some(Some(fleet)) = self.fleets.get_mut(to.0 as usize) else { continue };
                let out = fleet.handle_message(now, from, &msg);
                self.send(to, out);
            }
            for at in 0..self.fleets.len() {
                // Ticks are staggered across hosts.
                if (self.now + at as u64 * DELAY_MS) % 100 < DELAY_MS
                    && let Some(fleet) = &mut self.fleets[at]
                {
                    let out = fleet.tick(Millis(self.now));
                    fleet.take_changed(Millis(self.now));
                    self.send(HostId(at as u64), out);
                }
            }
        }
    }

    fn live_host_count(&self, at: usize) -> usize {
        self.fleets[at].as_ref().map_or(0, |it| it.live_hosts().len())
    }

    /// Returns the number of directory readers in each zone.
    fn reader_counts(&self) -> Vec<usize> {
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
fn hosts_started_together_converge_on_membership_and_two_readers_per_zone() {
    for (count, zones) in [(7, 3), (90, 3), (90, 5)] {
        let mut hosts = TestFleet::new(count, zones);
        hosts.run_for(WARM_UP_MS);
        for at in 0..count {
            assert_eq!(hosts.live_host_count(at), count, "host {at} of {count}");
        }
        assert_eq!(hosts.reader_counts(), vec![2; zones as usize], "{count} hosts");
    }
}

#[test]
fn membership_converges_with_unavailable_seeds() {
    let mut hosts = TestFleet::new(9, 3);
    hosts.fleets[0] = None;
    hosts.fleets[2] = None;
    hosts.run_for(8_000);
    for at in [1, 3, 4, 5, 6, 7, 8] {
        assert_eq!(hosts.live_host_count(at), 7, "host {at}");
    }
}

#[test]
fn failed_reader_is_replaced() {
    let mut hosts = TestFleet::new(12, 3);
    hosts.run_for(4_000);
    let is_reader = |it: &Option<Fleet>| it.as_ref().is_some_and(|it| it.readers().is_reader);
    let failed = hosts.fleets.iter().position(is_reader).unwrap();
    hosts.fleets[failed] = None;
    hosts.run_for(8_000);
    assert_eq!(hosts.reader_counts(), [2, 2, 2]);
}

#[test]
fn restarted_host_rejoins_the_membership() {
    let mut hosts = TestFleet::new(9, 3);
    hosts.run_for(3_000);
    hosts.fleets[4] = None;
    hosts.run_for(6_000);
    assert_eq!(hosts.live_host_count(1), 8);
    hosts.fleets[4] = Some(hosts.fleet(4));
    hosts.run_for(3_000);
    for at in 0..9 {
        assert_eq!(hosts.live_host_count(at), 9, "host {at}");
    }
}

#[test]
fn partitioned_zone_elects_its_own_readers_and_rejoins() {
    let mut hosts = TestFleet::new(15, 3);
    hosts.run_for(4_000);
    hosts.partitioned_zone = Some(ZoneId(1));
    hosts.run_for(15_000);
    assert_eq!(hosts.live_host_count(1), 5, "hosts of the partitioned zone");
    assert_eq!(hosts.live_host_count(0), 10);
    assert_eq!(hosts.reader_counts(), [2, 2, 2]);
    hosts.partitioned_zone = None;
    hosts.run_for(20_000);
    for at in 0..15 {
        assert_eq!(hosts.live_host_count(at), 15, "host {at}");
    }
}

#[test]
fn leaving_host_stops_reading_the_directory() {
    let mut hosts = TestFleet::new(6, 1);
    hosts.run_for(4_000);
    let is_reader = |it: &Option<Fleet>| it.as_ref().is_some_and(|it| it.readers().is_reader);
    let leaving = hosts.fleets.iter().position(is_reader).unwrap();
    let out = hosts.fleets[leaving].as_mut().unwrap().leave();
    hosts.send(HostId(leaving as u64), out);
    hosts.run_for(500);
    assert_eq!(hosts.fleets[leaving].as_ref().unwrap().readers(), Readers::default());
    assert_eq!(hosts.reader_counts(), [2]);
}

#[test]
fn idle_control_traffic_per_host_stays_within_budget_at_any_fleet_size() {
    for count in [7, 90, 300] {
        let mut hosts = TestFleet::new(count, 5);
        hosts.run_for(10_000);
        let before = hosts.bytes;
        hosts.run_for(5_000);
        let rate = (hosts.bytes - before) as f64 / 5.0 / count as f64;
        assert!(rate < MAX_BYTES_PER_S, "{count} hosts: {rate} bytes per second");
    }
}

#[test]
fn peer_update_with_sixteen_upstreams_fits_one_datagram() {
    let update = PeerUpdate {
        unreachable: vec![(u64::MAX, 1_773_131_158_246, 350); 16],
        ..PeerUpdate::default()
    };
    assert!(encode(&FleetMsg::PeerUpdate(update)).unwrap().len() < 1_200);
}
