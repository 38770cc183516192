//! Listings of a directory that was restored from an older copy.

use pomelorun_core::{
    Millis,
    direct::{Announcement, DirectHost, DirectoryState, DirectoryUpdate, ListingState},
};

use crate::direct::fixtures::{
    LOCAL_HOST, LOCAL_ZONE, REMOTE_ZONE, SERVICE, announcement, flow, forwarded_to, open_flow,
    open_segment, route, routing, settings,
};

/// Lifetime of an announcement with the settings of the fixtures: three intervals of 1,200 ms.
const SETTLE_MS: u64 = 3_600;
const RESTORED_AT: Millis = Millis(10_000);

fn upstreams(ids: &[u64]) -> Vec<DirectoryUpdate> {
    let listed = ids.iter().map(|&id| DirectoryUpdate::Upstream(announcement(id, LOCAL_ZONE)));
    [routing(7, vec![route(SERVICE, "feed")])].into_iter().chain(listed).collect()
}

fn draining(id: u64) -> DirectoryUpdate {
    DirectoryUpdate::Upstream(Announcement { draining: true, ..announcement(id, LOCAL_ZONE) })
}

/// Returns a host that listed these upstreams in the first era.
fn host(ids: &[u64]) -> DirectHost {
    let mut host = DirectHost::new(settings(LOCAL_ZONE));
    host.set_directory_state(Millis(0), DirectoryState::Available);
    host.set_hosts(Millis(0), vec![LOCAL_HOST]);
    host.apply_directory_listing(Millis(0), 1, &upstreams(ids));
    host
}

/// Returns the upstreams that new flows go to, sorted.
fn targets(host: &mut DirectHost, now: Millis) -> Vec<u64> {
    let mut found: Vec<u64> = (0..40)
        .filter_map(|it| {
            let seg = open_segment(flow(now.0 as u32 + it), 0);
            forwarded_to(host.handle_packet(now, &seg)).map(|it| it.0)
        })
        .collect();
    found.sort_unstable();
    found.dedup();
    found
}

#[test]
fn upstreams_that_the_copy_lacks_get_flows_until_the_directory_has_settled() {
    let mut host = host(&[1, 2]);
    host.apply_directory_listing(RESTORED_AT, 2, &upstreams(&[1]));
    assert_eq!(targets(&mut host, RESTORED_AT + Millis(3_000)), [1, 2]);
    assert!(!host.is_listing_due(RESTORED_AT + Millis(SETTLE_MS - 1)));
    let settled = RESTORED_AT + Millis(SETTLE_MS);
    assert!(host.is_listing_due(settled));
    host.apply_directory_listing(settled, 2, &upstreams(&[1]));
    assert!(!host.is_listing_due(settled + Millis(60_000)), "listed once");
    assert_eq!(targets(&mut host, settled + Millis(2_000)), [1], "it was not announced again");
}

#[test]
fn draining_mark_that_the_copy_lacks_stays() {
    let mut host = host(&[1, 2]);
    host.apply_update(Millis(5_000), &draining(2));
    host.apply_directory_listing(RESTORED_AT, 2, &upstreams(&[1, 2]));
    assert_eq!(targets(&mut host, RESTORED_AT), [1]);
    // An event was written after the restoration, by the upstream itself.
    host.apply_update(
        RESTORED_AT + Millis(500),
        &DirectoryUpdate::Upstream(announcement(2, LOCAL_ZONE)),
    );
    assert_eq!(targets(&mut host, RESTORED_AT + Millis(500)), [1, 2]);
}

#[test]
fn draining_mark_that_the_copy_has_is_applied() {
    let mut host = host(&[1, 2]);
    let mut copy = upstreams(&[1]);
    copy.push(draining(2));
    host.apply_directory_listing(RESTORED_AT, 2, &copy);
    assert_eq!(targets(&mut host, RESTORED_AT), [1]);
}

#[test]
fn removed_upstream_in_the_copy_gets_no_flows_until_it_is_announced_again() {
    let mut host = host(&[1, 2]);
    host.apply_update(Millis(5_000), &DirectoryUpdate::UpstreamRemoved(2));
    host.apply_directory_listing(RESTORED_AT, 2, &upstreams(&[1, 2]));
    assert_eq!(targets(&mut host, RESTORED_AT), [1]);
    host.apply_update(
        RESTORED_AT + Millis(900),
        &DirectoryUpdate::Upstream(announcement(2, LOCAL_ZONE)),
    );
    assert_eq!(targets(&mut host, RESTORED_AT + Millis(900)), [1, 2]);
}

#[test]
fn withdrawn_zone_stays_withdrawn_until_the_directory_has_settled() {
    let mut host = host(&[1]);
    let remote = DirectoryUpdate::Upstream(announcement(2, REMOTE_ZONE));
    host.apply_update(Millis(1_000), &remote);
    host.apply_update(Millis(5_000), &DirectoryUpdate::ZoneWithdrawn(LOCAL_ZONE));
    let mut copy = upstreams(&[1]);
    copy.push(remote);
    host.apply_directory_listing(RESTORED_AT, 2, &copy);
    assert_eq!(targets(&mut host, RESTORED_AT), [2]);
    let settled = RESTORED_AT + Millis(SETTLE_MS);
    host.apply_directory_listing(settled, 2, &copy);
    assert!(host.view(settled).zones_out.is_empty());
}

#[test]
fn configuration_does_not_revert_to_the_revision_of_the_copy() {
    let mut host = host(&[1]);
    let no_routes = routing(9, Vec::new());
    host.apply_update(Millis(5_000), &no_routes);
    host.apply_directory_listing(RESTORED_AT, 2, &upstreams(&[1]));
    assert_eq!(host.revision(), 9);
    assert!(targets(&mut host, RESTORED_AT).is_empty(), "the removed route stays removed");
    let settled = RESTORED_AT + Millis(SETTLE_MS);
    host.apply_directory_listing(settled, 2, &upstreams(&[1]));
    assert_eq!(host.revision(), 9);
}

#[test]
fn open_flows_continue_across_two_restorations_in_a_row() {
    let mut host = host(&[1]);
    let (_, token) = open_flow(&mut host, Millis(100), flow(1));
    for (at, era) in [(10_000, 2), (11_000, 3)] {
        host.apply_directory_listing(Millis(at), era, &upstreams(&[]));
        let seg = crate::direct::fixtures::data_segment(flow(1), token, 2, 100, 10);
        let sent = forwarded_to(host.handle_packet(Millis(at + 10), &seg));
        assert_eq!(sent, Some((1, token)));
    }
    assert_eq!(host.stats().directory_restorations, 2);
    assert!(!host.is_listing_due(Millis(11_000 + SETTLE_MS - 1)), "counted from the second one");
    assert_eq!(host.view(Millis(11_000)).directory_era, Some(3));
}

#[test]
fn follower_settles_with_its_reader() {
    let mut host = host(&[1, 2]);
    host.apply_peer_listing(RESTORED_AT, Some(2), ListingState::Unsettled, &upstreams(&[1]));
    assert_eq!(targets(&mut host, RESTORED_AT), [1, 2]);
    assert_eq!(host.listing_state(), ListingState::Unsettled);
    let later = RESTORED_AT + Millis(1_000);
    host.apply_peer_listing(later, Some(2), ListingState::Settled, &upstreams(&[1]));
    assert_eq!(host.listing_state(), ListingState::Settled);
    assert_eq!(targets(&mut host, later + Millis(2_000)), [1]);
}

#[test]
fn listing_of_a_host_without_eras_is_authoritative() {
    let mut host = host(&[1, 2]);
    host.apply_peer_listing(RESTORED_AT, None, ListingState::Settled, &upstreams(&[1]));
    assert_eq!(targets(&mut host, RESTORED_AT + Millis(2_000)), [1]);
    assert_eq!(host.directory_era(), Some(1));
}

#[test]
fn first_listing_of_a_host_is_authoritative_in_any_era() {
    let mut host = DirectHost::new(settings(LOCAL_ZONE));
    host.apply_directory_listing(Millis(0), 5, &upstreams(&[1]));
    assert_eq!(host.listing_state(), ListingState::Settled);
    assert_eq!(host.stats().directory_restorations, 0);
}
