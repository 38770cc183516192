//! Which of several entries with the same digits at the end of their names owns the identifier.

use std::sync::Arc;

use pomelorun_core::{
    Millis,
    direct::{Announcement, DirectoryUpdate, EntryEffect, EntryOwners, Routing, UpstreamKey},
};
use proptest::prelude::*;

use crate::direct::fixtures::{LOCAL_ZONE, SERVICE, announcement, key, route};

const ID: u64 = 1;
const UPSTREAM: &str = "i-01";
const AGENT: &str = "agent-01";

fn routing_of(revision: u64, service: &str) -> Arc<Routing> {
    Arc::new(Routing::new(revision, vec![route(SERVICE, service)], vec![], Millis(15_000)))
}

fn upstream() -> Announcement {
    announcement(ID, LOCAL_ZONE)
}

/// Returns the entry of an agent that has started after the upstream.
fn agent() -> Announcement {
    let key = UpstreamKey { started_at: 9_000, ..key(ID) };
    Announcement { key, service: "agent".to_owned(), ..upstream() }
}

fn configured() -> EntryOwners {
    let mut owners = EntryOwners::default();
    owners.set_routing(&routing_of(1, "feed"));
    owners
}

fn updates(it: Announcement) -> EntryEffect {
    EntryEffect::Updates(vec![DirectoryUpdate::Upstream(it)])
}

fn owned_by(name: &str) -> EntryEffect {
    EntryEffect::OwnedBy(name.to_owned())
}

// Guards against lost upstreams beside the entries of agents that a listing comes to first.
#[test]
fn upstream_owns_its_identifier_whichever_entry_is_read_first() {
    for order in
        [[(UPSTREAM, upstream()), (AGENT, agent())], [(AGENT, agent()), (UPSTREAM, upstream())]]
    {
        let mut owners = configured();
        for (name, it) in order {
            owners.apply(name, ID, Some(it));
        }
        let draining = Announcement { draining: true, ..upstream() };
        let effect = owners.apply(UPSTREAM, ID, Some(draining.clone()));
        assert_eq!(effect, updates(draining));
        assert_eq!(owners.apply(AGENT, ID, Some(agent())), owned_by(UPSTREAM));
        assert_eq!(owners.apply(AGENT, ID, None), owned_by(UPSTREAM));
        assert_eq!(owners.apply(AGENT, ID, None), owned_by(UPSTREAM), "removed again");
    }
}

#[test]
fn later_listing_waits_for_the_owner_of_an_identifier() {
    let mut owners = configured();
    owners.apply(UPSTREAM, ID, Some(upstream()));
    let mut listed = owners.begin_listing();
    assert_eq!(listed.apply("agent-02", 2, Some(agent())), updates(agent()));
    assert_eq!(listed.apply(AGENT, ID, Some(agent())), owned_by(UPSTREAM));
    assert_eq!(listed.apply("bad-01", ID, None), owned_by(UPSTREAM));
    assert_eq!(listed.apply(UPSTREAM, ID, Some(upstream())), updates(upstream()));
    assert_eq!(listed.finish_listing(), vec![]);
    // The upstream has left.
    let mut listed = owners.begin_listing();
    listed.apply(AGENT, ID, Some(agent()));
    assert_eq!(listed.finish_listing(), vec![DirectoryUpdate::Upstream(agent())]);
}

#[test]
fn listing_that_is_not_finished_changes_nothing() {
    let mut owners = configured();
    owners.apply(UPSTREAM, ID, Some(upstream()));
    owners.begin_listing().apply(AGENT, ID, Some(agent()));
    assert_eq!(owners.apply(AGENT, ID, Some(agent())), owned_by(UPSTREAM));
}

#[test]
fn identifier_is_free_once_its_owner_has_left() {
    let mut owners = configured();
    owners.apply(UPSTREAM, ID, Some(upstream()));
    owners.apply(AGENT, ID, Some(agent()));
    let removed = DirectoryUpdate::UpstreamRemoved(ID);
    let effect = owners.apply(UPSTREAM, ID, None);
    assert_eq!(
        effect,
        EntryEffect::Updates(vec![removed.clone(), DirectoryUpdate::Upstream(agent())])
    );
    let effect = owners.apply(AGENT, ID, None);
    assert_eq!(effect, EntryEffect::Updates(vec![removed]));
    assert_eq!(owners.apply(UPSTREAM, ID, Some(upstream())), updates(upstream()));
}

#[test]
fn configuration_that_comes_later_decides_on_the_owner() {
    let mut owners = EntryOwners::default();
    owners.apply(AGENT, ID, Some(agent()));
    assert_eq!(owners.apply(UPSTREAM, ID, Some(upstream())), owned_by(AGENT));
    let changes = owners.set_routing(&routing_of(2, "feed"));
    assert_eq!(changes, vec![DirectoryUpdate::Upstream(upstream())]);
    assert_eq!(owners.set_routing(&routing_of(1, "agent")), vec![], "an older one");
    assert_eq!(owners.apply(AGENT, ID, Some(agent())), owned_by(UPSTREAM));
}

#[test]
fn of_two_upstreams_with_one_identifier_the_first_keeps_it_through_listings() {
    let other = Announcement { key: UpstreamKey { started_at: 5, ..key(ID) }, ..upstream() };
    let mut owners = configured();
    owners.apply(UPSTREAM, ID, Some(upstream()));
    assert_eq!(owners.apply("a-01", ID, Some(other.clone())), owned_by(UPSTREAM));
    for _ in 0..2 {
        let mut listed = owners.begin_listing();
        assert_eq!(listed.apply("a-01", ID, Some(other.clone())), owned_by(UPSTREAM));
        assert_eq!(listed.apply(UPSTREAM, ID, Some(upstream())), updates(upstream()));
        assert_eq!(listed.finish_listing(), vec![]);
        owners = listed;
    }
}

#[derive(Debug, Clone, Copy)]
enum Step {
    Write(usize),
    Remove(usize),
    List,
    Name(usize),
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let step = prop_oneof![
        4 => (0..3_usize).prop_map(Step::Write),
        2 => (0..3_usize).prop_map(Step::Remove),
        1 => Just(Step::List),
        1 => (0..2_usize).prop_map(Step::Name),
    ];
    prop::collection::vec(step, 0..40)
}

proptest! {
    /// The updates always leave an upstream of a configured service announced while one has an entry.
    #[test]
    fn announced_entry_is_one_of_the_directory_and_of_a_configured_service_if_there_is_one(
        steps in steps(),
    ) {
        let names = ["agent-01", "i-01", "z-01"];
        let services = ["agent", "feed", "agent"];
        let entry = |at: usize| Announcement {
            key: UpstreamKey { started_at: at as u64, ..key(ID) },
            service: services[at].to_owned(),
            ..upstream()
        };
        let mut owners = EntryOwners::default();
        let mut directory: Vec<usize> = Vec::new();
        let (mut revision, mut named) = (0, None);
        let mut announced: Option<u64> = None;
        for step in steps {
            let mut changes = Vec::new();
            let mut record = |it: EntryEffect| {
                if let EntryEffect::Updates(it) = it {
                    changes.extend(it);
                }
            };
            match step {
                Step::Write(at) => {
                    directory.push(at);
                    directory.sort_unstable();
                    directory.dedup();
                    record(owners.apply(names[at], ID, Some(entry(at))));
                }
                Step::Remove(at) => {
                    directory.retain(|it| *it != at);
                    record(owners.apply(names[at], ID, None));
                }
                Step::List => {
                    let mut listed = owners.begin_listing();
                    announced = None;
                    for &at in &directory {
                        record(listed.apply(names[at], ID, Some(entry(at))));
                    }
                    changes.extend(listed.finish_listing());
                    owners = listed;
                }
                Step::Name(at) => {
                    revision += 1;
                    named = Some(services[at]);
                    changes.extend(owners.set_routing(&routing_of(revision, services[at])));
                }
            }
            for it in changes {
                announced = match it {
                    DirectoryUpdate::Upstream(it) => Some(it.key.started_at),
                    DirectoryUpdate::UpstreamRemoved(_) => None,
                    _ => announced,
                };
            }
            let is_configured = |at: usize| named == Some(services[at]);
            match announced {
                None => prop_assert!(directory.is_empty()),
                Some(it) => {
                    let at = it as usize;
                    prop_assert!(directory.contains(&at));
                    prop_assert!(is_configured(at) || !directory.iter().any(|it| is_configured(*it)));
                }
            }
        }
    }
}
