//! `status` and `explain` over hosts that answer with prepared texts.

use pomelorun_wire::HostId;
use serde_json::{Value, json};

use crate::run::{FakeHost, ctl, nobody};

fn id(name: &str) -> String {
    HostId::from_name(name).to_string()
}

fn host(name: &str, revision: u64, more: Value) -> FakeHost {
    let mut report = json!({
        "host": name, "zone": "bog-a", "revision": revision, "content": format!("c{revision}"),
        "zones": [{"name": "bog-a", "out": false, "last_packet_ago_ms": 5}],
    });
    for (key, value) in more.as_object().unwrap() {
        report[key] = value.clone();
    }
    FakeHost::new(200, &report.to_string())
}

fn status(hosts: &[&FakeHost], format: &str) -> crate::run::Done {
    let list: Vec<String> = hosts.iter().map(|it| it.address.to_string()).collect();
    ctl(&["status", "--hosts", &list.join(","), "--format", format])
}

#[test]
fn the_spread_of_revisions_is_shown_with_the_hosts() {
    let (one, two) = (host("bog-a-1", 7, json!({})), host("bog-a-2", 6, json!({})));
    let done = status(&[&one, &two], "text");
    assert_eq!(done.status, 0);
    assert!(done.out.contains("revisions in force: 6 to 7 on 2 hosts"), "{}", done.out);
    assert!(done.out.contains("6 (c6): bog-a-2"), "{}", done.out);
    let json = status(&[&one, &two], "json").json();
    assert_eq!((&json["revision_least"], &json["revision_most"]), (&json!(6), &json!(7)));
    assert_eq!(json["revisions"][1]["hosts"], json!(["bog-a-2"]));
}

#[test]
fn suspected_and_leaving_hosts_are_named_with_who_says_so() {
    let members = json!({"members": [
        {"host": id("bog-a-2"), "state": "suspect", "listed": true},
        {"host": id("bog-a-3"), "state": "leaving", "listed": true},
        {"host": id("gone"), "state": "dead", "listed": false},
    ]});
    let (one, two) = (host("bog-a-1", 1, members), host("bog-a-2", 1, json!({})));
    let done = status(&[&one, &two], "text");
    let out = &done.out;
    assert!(out.contains("hosts: 1 live, 1 suspected, 1 leaving, 0 dead"), "{out}");
    assert!(out.contains("bog-a-2 suspected, as seen by bog-a-1"), "{out}");
    assert!(out.contains(&format!("{} leaving", id("bog-a-3"))), "{out}");
}

#[test]
fn a_zone_out_is_shown_with_the_last_packet_to_it_from_any_host() {
    let zone = |out: bool, ago: Value| json!({"zones": [{"name": "mde-a", "out": out, "last_packet_ago_ms": ago}]});
    let one = host("bog-a-1", 2, zone(true, Value::Null));
    let two = host("mde-a-1", 2, zone(true, json!(12_300)));
    let three = host("mde-a-2", 1, zone(false, json!(400)));
    let done = status(&[&one, &two], "text");
    let expected = "zone mde-a is out on 2 of 2 hosts; last packet there 12.3 s ago";
    assert!(done.out.contains(expected), "{}", done.out);
    let done = status(&[&one, &two, &three], "text");
    let expected = "zone mde-a is out on 2 of 3 hosts; last packet there 0.4 s ago";
    assert!(done.out.contains(expected), "{}", done.out);
    let done = status(&[&one], "text");
    assert!(done.out.contains("no packet sent there"), "{}", done.out);
}

#[test]
fn upstreams_below_their_slots_are_shown_with_the_reason() {
    let upstream = |name: &str, limit: u16, reason: &str, active: bool| {
        json!({"name": name, "zone": "bog-a", "limit": limit, "slots": 4, "in_flight": 1,
               "queued": 2, "reason": reason, "active": active})
    };
    let one = host(
        "bog-a-1",
        1,
        json!({"upstreams": [
            upstream("mesa/1", 1, "new", true),
            upstream("mesa/2", 4, "warm", true),
            upstream("mesa/3", 1, "shed", false),
            upstream("mesa/4", 3, "warm", true),
        ]}),
    );
    let done = status(&[&one], "text");
    let out = &done.out;
    assert!(out.contains("mesa/1 in bog-a: limit 1 of 4 slots, cold"), "{out}");
    assert!(out.contains("mesa/4 in bog-a: limit 3 of 4 slots, growing"), "{out}");
    assert!(!out.contains("mesa/2") && !out.contains("mesa/3"), "{out}");
}

#[test]
fn a_stale_configuration_is_shown_with_its_age() {
    let one = host("bog-a-1", 4, json!({"config_age_ms": 61_000}));
    let two = host("bog-a-2", 4, json!({"config_age_ms": 9_000}));
    let json = status(&[&one, &two], "json").json();
    assert_eq!(json["stale"], json!([{"host": "bog-a-1", "revision": 4, "age_ms": 61_000}]));
    let text = status(&[&one, &two], "text").out;
    assert!(text.contains("PR0303 bog-a-1: no answer of the config service for 61.0 s"), "{text}");
}

#[test]
fn hosts_that_do_not_answer_are_named_and_the_others_shown() {
    let one = host("bog-a-1", 4, json!({}));
    let odd = FakeHost::new(200, "not JSON");
    let failing = FakeHost::new(500, "");
    let gone = nobody();
    let hosts = format!("{},{},{},{gone}", one.address, odd.address, failing.address);
    let done = ctl(&["status", "--hosts", &hosts]);
    assert_eq!(done.status, 3);
    assert!(done.out.contains("bog-a-1"));
    for it in [odd.address, failing.address, gone] {
        assert!(done.err.contains(&it.to_string()), "{it} in {}", done.err);
    }
}

#[test]
fn addresses_that_are_none_are_refused() {
    for command in [&["status"][..], &["explain", "1.1.1.1:1>2.2.2.2:2"]] {
        let done = ctl(&[command, &["--hosts", "bog-a-1"]].concat());
        assert_eq!(done.status, 2);
        assert!(done.err.contains("`bog-a-1` is not an address"), "{}", done.err);
    }
}

fn explained(name: &str, more: Value) -> FakeHost {
    let mut report = json!({
        "host": name, "zone": "bog-a", "revision": 3, "service": "mesa", "pool": "mesa",
        "bucket": 17, "ranking": [id("bog-a-2"), id("bog-a-1")], "home": "mesa/4",
        "upstream_zone": {"name": "bog-a", "out": false, "last_packet_ago_ms": 3},
        "steward": id("bog-a-1"), "backup": id("bog-a-2"),
    });
    for (key, value) in more.as_object().unwrap() {
        report[key] = value.clone();
    }
    FakeHost::new(200, &report.to_string())
}

#[test]
fn a_flow_is_explained_by_its_bucket_owner_and_its_primary() {
    let route = json!({"to": "upstream", "upstream": "mesa/4"});
    let limited = json!({"name": "mesa/4", "limit": 1, "slots": 2, "in_flight": 1, "queued": 3,
                         "reason": "shed", "active": true});
    let primary =
        explained("bog-a-1", json!({"open": route, "request": route, "upstream": limited}));
    let route = json!({"to": "steward", "upstream": "mesa/4", "host": id("bog-a-1")});
    let owner = explained("bog-a-2", json!({"open": route, "request": route}));
    let hosts = format!("{},{}", primary.address, owner.address);
    let done = ctl(&["explain", "10.0.0.7:40000>10.20.0.1:443", "--hosts", &hosts]);
    assert_eq!(done.status, 0, "{}{}", done.out, done.err);
    for it in [
        "service mesa, pool mesa, revision 3",
        "bucket 17: kept by bog-a-2, the highest of bog-a-2, bog-a-1",
        "lives at mesa/4, known from its packets to bog-a-1, bog-a-2",
        "its requests are counted by bog-a-1, backup bog-a-2",
        "limit 1 of 2 slots (shed), 1 in progress, 3 waiting",
        "bog-a-2: open: to bog-a-1, steward of mesa/4",
    ] {
        assert!(done.out.contains(it), "{it} in {}", done.out);
    }
}

#[test]
fn a_flow_that_nobody_knows_and_a_text_that_is_no_flow_are_told_apart() {
    let nowhere = json!({"to": "come_back", "code": "PR0200", "meaning": "no upstream"});
    let one = explained(
        "bog-a-2",
        json!({"home": null, "choice": "mesa/9", "open": nowhere, "request": nowhere}),
    );
    let host = one.address.to_string();
    let done = ctl(&["explain", "10.0.0.7:40000>10.20.0.1:443", "--hosts", &host]);
    assert!(done.out.contains("no host asked knows it"), "{}", done.out);
    assert!(done.out.contains("it would go to mesa/9"), "{}", done.out);
    assert!(done.out.contains("come back, PR0200"), "{}", done.out);
    let done = ctl(&["explain", "10.0.0.7", "--hosts", &host]);
    assert_eq!(done.status, 2);
    assert!(done.err.contains("CALLER>SERVICE"), "{}", done.err);
}
