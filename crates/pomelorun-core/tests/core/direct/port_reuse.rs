//! Callers that use a port again as soon as a flow is closed: the next flow is not taken for the earlier.

use pomelorun_core::{
    Millis,
    direct::{
        Announcement, DirectHost, DirectoryUpdate, Segment, SegmentKind, Token, UpstreamKey,
        Verdict,
    },
};
use pomelorun_wire::{FlowKey, ServiceAddr};

use crate::direct::fixtures::{
    LOCAL_ZONE, REMOTE_ZONE, SERVICE, announcement, data_segment, flow, forwarded_to, host, key,
    open_flow, open_segment, route, routing,
};

/// Time between the end of a flow and the next one from its port.
const PAUSE_MS: u64 = 400;

fn opening(flow: FlowKey, seq: u32) -> Segment {
    Segment { seq, ..open_segment(flow, 0) }
}

/// Opens a flow with this sequence number, has its request answered and closes it. Returns its upstream and
/// its token.
fn run_flow(host: &mut DirectHost, now: Millis, flow: FlowKey, seq: u32) -> Option<(u64, Token)> {
    let to = forwarded_to(host.handle_packet(now, &opening(flow, seq)))?;
    let request = data_segment(flow, to.1, seq, seq ^ 0x5555_5555, 50);
    let answered = Segment { seq: seq + 50, ack: request.ack.wrapping_add(900), len: 0, ..request };
    for (after, it) in [
        (2, Segment { len: 0, ..request }),
        (2, request),
        (20, answered),
        (21, Segment { kind: SegmentKind::Finish, ..answered }),
    ] {
        host.handle_packet(now + Millis(after), &it);
    }
    Some(to)
}

// Guards against new flows at upstreams that drain, through routes that were dropped and in zones that were
// withdrawn.
#[test]
fn opening_from_a_port_that_is_used_again_is_placed_anew() {
    let gone = [
        DirectoryUpdate::Upstream(Announcement { draining: true, ..announcement(1, LOCAL_ZONE) }),
        DirectoryUpdate::UpstreamRemoved(1),
        DirectoryUpdate::ZoneWithdrawn(LOCAL_ZONE),
        routing(2, vec![route(ServiceAddr { port: 444, ..SERVICE }, "feed")]),
    ];
    for change in gone {
        let mut host = host(&[announcement(1, LOCAL_ZONE)]);
        assert_eq!(run_flow(&mut host, Millis(1_000), flow(1), 7_000).map(|it| it.0), Some(1));
        host.apply_update(Millis(1_100), &DirectoryUpdate::Upstream(announcement(2, REMOTE_ZONE)));
        host.apply_update(Millis(1_200), &change);
        for it in 1..10u32 {
            let now = Millis(1_000 + u64::from(it) * (21 + PAUSE_MS));
            let to = run_flow(&mut host, now, flow(1), it.wrapping_mul(0x1234_5677));
            assert_ne!(to.map(|it| it.0), Some(1), "{change:?}");
        }
    }
}

#[test]
fn late_copy_of_an_opening_goes_to_the_upstream_of_the_open_flow() {
    let mut host = host(&[announcement(1, LOCAL_ZONE)]);
    let (_, token) = open_flow(&mut host, Millis(1_000), flow(1));
    host.apply_update(Millis(1_100), &DirectoryUpdate::Upstream(announcement(2, LOCAL_ZONE)));
    host.apply_update(Millis(1_150), &DirectoryUpdate::UpstreamRemoved(1));
    let copy = open_segment(flow(1), 1);
    let to = host.handle_packet(Millis(1_200), &copy);
    assert_eq!(forwarded_to(to), Some((1, token)));
}

/// Ends upstream 1: a later instance has its identifier.
fn end_first(host: &mut DirectHost, now: Millis) {
    let mut later = announcement(1, LOCAL_ZONE);
    later.key = UpstreamKey { started_at: later.key.started_at + 50_000, ..later.key };
    host.apply_update(now, &DirectoryUpdate::Upstream(later));
}

#[test]
fn finished_flow_is_not_reset_with_its_upstream_and_is_forgotten() {
    let mut host = host(&[announcement(1, LOCAL_ZONE)]);
    run_flow(&mut host, Millis(1_000), flow(1), 7_000);
    run_flow(&mut host, Millis(1_000), flow(2), 8_000);
    for now in (1_050..8_000).step_by(50) {
        host.tick(Millis(now));
    }
    assert_eq!(host.flow_count(), 0, "long before they are idle");
    run_flow(&mut host, Millis(8_000), flow(1), 17_000);
    end_first(&mut host, Millis(8_100));
    assert_eq!(host.take_resets(), vec![]);
}

// Guards against resets of open flows whose port an earlier flow of a failed upstream had.
#[test]
fn flow_that_another_host_opened_from_the_same_port_is_not_reset_with_the_earlier_one() {
    for closed_here in [true, false] {
        let mut host = host(&[announcement(1, LOCAL_ZONE)]);
        let earlier = data_segment(flow(1), Token::of(key(1)), 7_000, 100, 0);
        host.handle_packet(Millis(1_000), &earlier);
        if closed_here {
            let closed = Segment { kind: SegmentKind::Finish, ..earlier };
            host.handle_packet(Millis(1_010), &closed);
        }
        host.apply_update(Millis(1_100), &DirectoryUpdate::Upstream(announcement(2, LOCAL_ZONE)));
        let request = data_segment(flow(1), Token::of(key(2)), 0x1111_0000, 0x2222_0000, 50);
        let to = host.handle_packet(Millis(4_300), &request);
        assert_eq!(forwarded_to(to), Some((2, Token::of(key(2)))));
        end_first(&mut host, Millis(4_400));
        assert_eq!(host.take_resets(), vec![], "closed here: {closed_here}");
        assert_eq!(host.flow_count(), 1);
    }
}

#[test]
fn later_flow_at_the_same_upstream_is_reset_with_its_own_sequence_number() {
    let mut host = host(&[announcement(1, LOCAL_ZONE)]);
    let earlier = data_segment(flow(1), Token::of(key(1)), 7_000, 100, 50);
    host.handle_packet(Millis(1_000), &earlier);
    let later = data_segment(flow(1), Token::of(key(1)), 0x1111_0000, 0xf222_0000, 50);
    host.handle_packet(Millis(4_300), &later);
    end_first(&mut host, Millis(4_400));
    assert_eq!(host.take_resets().iter().map(|it| it.seq).collect::<Vec<_>>(), [later.ack]);
}

#[test]
fn late_packet_of_an_earlier_flow_leaves_the_opening_of_the_next_one_alone() {
    let mut host = host(&[announcement(1, LOCAL_ZONE)]);
    run_flow(&mut host, Millis(1_000), flow(1), 7_000);
    host.apply_update(Millis(1_100), &DirectoryUpdate::Upstream(announcement(2, LOCAL_ZONE)));
    host.apply_update(Millis(1_200), &DirectoryUpdate::UpstreamRemoved(1));
    let next = 0x7654_3210;
    host.handle_packet(Millis(1_400), &opening(flow(1), next));
    let late = data_segment(flow(1), Token::of(key(1)), 7_050, 7_000 ^ 0x5555_5555, 0);
    let to = host.handle_packet(Millis(1_401), &Segment { kind: SegmentKind::Finish, ..late });
    assert_eq!(forwarded_to(to).map(|it| it.0), Some(1), "its own upstream answers it");
    end_first(&mut host, Millis(1_402));
    assert_eq!(host.take_resets(), vec![]);
    // The copy counts as one, so the caller's opening is known still.
    let copy = Segment { ack: 1, ..opening(flow(1), next) };
    host.handle_packet(Millis(1_600), &copy);
    assert_eq!(host.stats().opened, 2);
}

/// What happens to a caller's port, upstream 1 or the host in the model below.
#[derive(Debug, Clone, Copy)]
enum Event {
    /// The caller opens a flow through this host.
    Open,
    /// The caller opens a flow through another host, at upstream 2.
    OpenElsewhere,
    /// The caller sends a request on its open flow through this host.
    Request,
    /// The caller closes its flow through this host, or through another one.
    Close,
    CloseElsewhere,
    /// Upstream 1 reports that it drains.
    Drain,
    /// A later instance takes the identifier of upstream 1.
    End,
    /// The route is dropped.
    DropRoute,
    /// The host restarts and reads the directory again.
    Restart,
}

const EVENTS: [Event; 9] = [
    Event::Open,
    Event::OpenElsewhere,
    Event::Request,
    Event::Close,
    Event::CloseElsewhere,
    Event::Drain,
    Event::End,
    Event::DropRoute,
    Event::Restart,
];

/// A caller's open flow.
#[derive(Debug, Clone, Copy)]
struct OpenFlow {
    upstream: UpstreamKey,
    seq: u32,
    ack: u32,
}

/// One caller port, one host and two upstreams, in any order of events.
struct Model {
    host: DirectHost,
    now: u64,
    open: Option<OpenFlow>,
    flows: u32,
    /// All that the directory holds.
    first: Announcement,
    has_route: bool,
    revision: u64,
}

impl Model {
    fn new() -> Model {
        let first = announcement(1, LOCAL_ZONE);
        let host = host(&[first.clone(), announcement(2, REMOTE_ZONE)]);
        Model { host, now: 1_000, open: None, flows: 0, first, has_route: true, revision: 1 }
    }

    fn next_seqs(&mut self) -> (u32, u32) {
        self.flows += 1;
        (self.flows.wrapping_mul(0x3456_789b), self.flows.wrapping_mul(0x9abc_de13))
    }

    fn apply(&mut self, event: Event) {
        self.now += 350;
        let (now, flow) = (Millis(self.now), flow(1));
        match event {
            Event::Open if self.open.is_none() => {
                let (seq, ack) = self.next_seqs();
                let to = forwarded_to(self.host.handle_packet(now, &opening(flow, seq)));
                if !self.has_route {
                    assert_eq!(to, None, "the route is dropped");
                }
                let Some((id, token)) = to else { return };
                let upstream = if id == 1 { self.first.key } else { key(2) };
                assert_eq!(token, Token::of(upstream), "an ended instance");
                assert!(id != 1 || !self.first.draining, "upstream 1 drains");
                self.host.handle_packet(now, &data_segment(flow, token, seq, ack, 0));
                self.open = Some(OpenFlow { upstream, seq, ack });
            }
            Event::OpenElsewhere if self.open.is_none() && self.has_route => {
                let (seq, ack) = self.next_seqs();
                self.open = Some(OpenFlow { upstream: key(2), seq, ack });
            }
            Event::Request => {
                let Some(it) = &mut self.open else { return };
                let request = data_segment(flow, Token::of(it.upstream), it.seq, it.ack, 50);
                let verdict = self.host.handle_packet(now, &request);
                let answered =
                    Segment { seq: it.seq + 50, ack: it.ack.wrapping_add(9), len: 0, ..request };
                if matches!(verdict, Verdict::Forward { .. }) {
                    self.host.handle_packet(now + Millis(9), &answered);
                    (it.seq, it.ack) = (answered.seq, answered.ack);
                }
                self.check_verdict(verdict);
            }
            Event::Close | Event::CloseElsewhere => {
                let Some(it) = self.open.take() else { return };
                if matches!(event, Event::Close) {
                    let packet = data_segment(flow, Token::of(it.upstream), it.seq, it.ack, 0);
                    let close = Segment { kind: SegmentKind::Finish, ..packet };
                    self.host.handle_packet(now, &close);
                }
            }
            Event::Drain => {
                self.first.draining = true;
                self.host.apply_update(now, &DirectoryUpdate::Upstream(self.first.clone()));
            }
            Event::End => {
                self.first.key.started_at += 10_000;
                self.first.draining = false;
                self.host.apply_update(now, &DirectoryUpdate::Upstream(self.first.clone()));
            }
            Event::DropRoute => {
                self.has_route = false;
                self.revision += 1;
                self.host.apply_update(now, &routing(self.revision, vec![]));
            }
            Event::Restart => {
                self.host = host(&[self.first.clone(), announcement(2, REMOTE_ZONE)]);
                if !self.has_route {
                    self.host.apply_update(now, &routing(self.revision, vec![]));
                }
            }
            Event::Open | Event::OpenElsewhere => {}
        }
        self.host.tick(Millis(self.now + 20));
        for it in self.host.take_resets() {
            self.check_reset(it.seq);
        }
    }

    /// Checks that a packet of the open flow reaches its upstream unless that has ended.
    fn check_verdict(&mut self, verdict: Verdict) {
        let Some(it) = self.open else { return };
        match verdict {
            Verdict::Forward { token, .. } => assert_eq!(token, Token::of(it.upstream)),
            Verdict::Reset(reset) => self.check_reset(reset.seq),
            // This host has restarted and does not know the ended instance.
            Verdict::Drop => assert!(self.has_ended(it)),
        }
    }

    /// Checks that only a flow of an ended instance is reset, with the number that its caller expects.
    fn check_reset(&mut self, seq: u32) {
        let Some(it) = self.open.filter(|it| it.ack == seq) else {
            // Callers ignore it: none has an open flow that expects this number.
            return;
        };
        assert!(self.has_ended(it), "flow at {:?} is reset", it.upstream);
        self.open = None;
    }

    fn has_ended(&self, it: OpenFlow) -> bool {
        it.upstream.id == 1 && it.upstream != self.first.key
    }
}

#[test]
fn no_order_of_five_events_mistakes_one_flow_of_a_port_for_another() {
    let orders = EVENTS.len().pow(5);
    for order in 0..orders {
        let mut model = Model::new();
        let events = (0..5u32).map(|at| EVENTS[order / EVENTS.len().pow(at) % EVENTS.len()]);
        let events: Vec<Event> = events.collect();
        let played = std::panic::catch_unwind(std::panic::AssertUnwindSafe(|| {
            events.iter().for_each(|it| model.apply(*it));
        }));
        assert!(played.is_ok(), "{events:?}");
    }
}
