//! Embeds the core of one host in a custom driver.
//!
//! A driver owns the sockets, the clock and the configuration. It passes events to the core and
//! carries out the actions that the core returns; this example prints them.

#![allow(clippy::print_stdout, reason = "an example")]

use std::{
    net::{Ipv4Addr, SocketAddrV4},
    sync::Arc,
};

use pomelorun_core::{
    Action, CoreSettings, Event, HostCore, ListedHost, Millis, PoolView, ServiceView, Snapshot,
    UpstreamView, ZoneView,
};
use pomelorun_wire::{
    FlowKey, Header, HostId, Packet, PacketKind, ServiceAddr, UpstreamId, ZoneId,
};

fn main() {
    let (host, zone) = (HostId::from_name("host-1"), ZoneId::from_name("zone-a"));
    let mut core = HostCore::new(host, zone, 1, 42, CoreSettings::default());
    core.handle(Millis(0), Event::HostList(&[ListedHost { host, zone, leaving: false }]));
    core.handle(Millis(0), Event::Snapshot(Arc::new(snapshot(zone))));

    let service = ServiceAddr { ip: u32::from(Ipv4Addr::new(10, 20, 0, 1)), port: 443 };
    let flow = FlowKey { caller_ip: 0x6440_0001, caller_port: 5_000, service };
    let open = Header::new(PacketKind::Open, &flow);
    let packet = Packet::parse(open.as_bytes()).expect("the header is well-formed");
    for action in core.handle(Millis(1), Event::Fabric(packet)) {
        match action {
            Action::ToUpstream(to) => println!("send the packet to upstream {to}"),
            Action::Relay { to, .. } => println!("relay the packet to host {to}"),
            Action::Reply(header) => println!("reply to the caller with {}", header.result_code()),
            other => println!("{other:?}"),
        }
    }
}

fn snapshot(zone: ZoneId) -> Snapshot {
    let service = ServiceAddr { ip: u32::from(Ipv4Addr::new(10, 20, 0, 1)), port: 443 };
    Snapshot {
        revision: 1,
        buckets: 64,
        zones: vec![ZoneView { id: zone, name: "zone-a".to_owned(), withdrawn: false }],
        services: vec![ServiceView {
            addr: service,
            name: "desk".to_owned(),
            pool: 0,
            answer_within: Millis(250),
        }],
        pools: vec![PoolView {
            name: "desk".to_owned(),
            upstreams: vec![0],
            max_deadline: Millis(1_000),
            slow_after: Millis(100),
        }],
        upstreams: vec![UpstreamView {
            id: UpstreamId::from_names("desk", "1"),
            name: "desk/1".to_owned(),
            pool: 0,
            zone,
            addr: SocketAddrV4::new(Ipv4Addr::LOCALHOST, 6_000),
            slots: 2,
            cold_slots: 1,
            draining: false,
        }],
    }
}
