//! `status` and `explain` over hosts in direct return that answer with prepared texts.

use pomelorun_wire::ZoneId;
use serde_json::{Value, json};

use crate::run::{Done, FakeHost, ctl};

fn upstream(id: &str, more: Value) -> Value {
    let mut it = json!({
        "upstream": id, "token": "09c41f20", "service": "feed",
        "zone": ZoneId::from_name("bog-a"), "address": "10.0.0.1:8080", "standing": "answering",
        "answered_ago_ms": 40, "ejected": false, "cold_left_ms": 0, "lapsed_ms": null,
        "waiting": 2, "choice": "good", "barred": null, "score": 1.25
    });
    for (key, value) in more.as_object().unwrap() {
        it[key] = value.clone();
    }
    it
}

fn host(name: &str, revision: u64, ready: bool, ago: u64, upstreams: Value) -> FakeHost {
    let report = json!({
        "mode": "direct_return", "host": name, "zone": "bog-a", "ready": ready, "leaving": !ready,
        "reads": name.ends_with('1'),
        "view": {
            "revision": revision, "routes": 3, "directory_answers": ago < 6_000,
            "directory_ago_ms": ago, "flows": 12, "hosts": 2, "near_hosts": 2,
            "zones_out": [ZoneId::from_name("bog-a"), ZoneId(77)], "upstreams": upstreams
        }
    });
    FakeHost::new(200, &report.to_string())
}

fn run(command: &[&str], hosts: &[&FakeHost], format: &str) -> Done {
    let list: Vec<String> = hosts.iter().map(|it| it.address.to_string()).collect();
    let list = list.join(",");
    let mut args = command.to_vec();
    args.extend(["--hosts", &list, "--format", format]);
    ctl(&args)
}

#[test]
fn what_hosts_believe_of_upstreams_is_shown_with_who_says_so() {
    let ill = json!([
        upstream("aa", json!({"standing": "unreachable"})),
        upstream("bb", json!({"ejected": true, "cold_left_ms": 900})),
    ]);
    let one = host("edge-1", 7, true, 100, ill);
    let two = host("edge-2", 6, false, 9_000, json!([upstream("aa", json!({}))]));
    let done = run(&["status"], &[&one, &two], "text");
    assert_eq!(done.status, 0, "{}", done.err);
    for line in [
        "2 hosts in direct return answered",
        "revisions 6 to 7 are in force",
        "edge-2 has revision 6",
        "read the directory: edge-1 (bog-a)",
        "know the directory as of long ago: edge-2 (9.0 s)",
        "take no packets: edge-2 (leaving)",
        "zones out: 77, bog-a",
        "upstream aa of feed: unreachable, say edge-1",
        "upstream bb of feed: cold, say edge-1",
        "upstream bb of feed: ejected, say edge-1",
    ] {
        assert!(done.out.contains(line), "`{line}` is missing in\n{}", done.out);
    }
    let json = run(&["status"], &[&one, &two], "json").json();
    assert_eq!((&json["revision_least"], &json["revision_most"]), (&json!(6), &json!(7)));
    assert_eq!(json["unusual"][0]["belief"], "unreachable");
    assert_eq!(json["hosts"][1]["view"]["flows"], 12);
}

#[test]
fn hosts_that_have_not_learned_of_a_restored_directory_are_named() {
    let report = |name: &str, era: Value| {
        let mut report = json!({
            "mode": "direct_return", "host": name, "zone": "bog-a", "ready": true, "leaving": false,
            "reads": false,
            "view": {
                "revision": 7, "routes": 3, "directory_answers": true, "directory_ago_ms": 10,
                "flows": 0, "hosts": 3, "near_hosts": 3, "zones_out": [], "upstreams": []
            }
        });
        if !era.is_null() {
            report["view"]["directory_era"] = era;
        }
        FakeHost::new(200, &report.to_string())
    };
    let [one, two, old] =
        [report("edge-1", json!(2)), report("edge-2", json!(1)), report("edge-3", json!(null))];
    let done = run(&["status"], &[&one, &two, &old], "text");
    assert_eq!(done.status, 0, "{}", done.err);
    assert!(done.out.contains("the directory is in era 2"), "{}", done.out);
    let behind = "know the directory as of before it was restored: edge-2 (era 1)";
    assert!(done.out.contains(behind), "{}", done.out);
    let json = run(&["status"], &[&one, &two, &old], "json").json();
    assert_eq!((&json["era"], &json["behind_era"]), (&json!(2), &json!(["edge-2 (era 1)"])));
    let without = run(&["status"], &[&old], "json").json();
    assert!(without.get("era").is_none(), "{without}");
}

#[test]
fn a_host_that_answers_something_else_is_named_and_the_others_are_shown() {
    let one = host("edge-1", 7, true, 100, json!([]));
    let two = FakeHost::new(200, r#"{"mode": "direct_return", "host": "edge-2"}"#);
    let done = run(&["status"], &[&one, &two], "text");
    assert_eq!(done.status, 3);
    assert!(done.out.contains("1 hosts in direct return answered"), "{}", done.out);
    assert!(done.err.contains("edge-2: unexpected answer"), "{}", done.err);
}

#[test]
fn a_flow_is_explained_with_what_each_upstream_has_for_and_against_it() {
    let explained = json!({
        "mode": "direct_return", "host": "edge-1", "zone": "bog-a",
        "view": {
            "revision": 7, "service": "feed", "lives_at": null, "known_from": null,
            "would_go_to": "bb", "upstreams": [
                upstream("bb", json!({})),
                upstream("aa", json!({"choice": null, "barred": "cold_elsewhere"})),
            ]
        }
    });
    let one = FakeHost::new(200, &explained.to_string());
    let flow = "10.0.0.7:40000>10.20.0.1:443";
    let done = run(&["explain", flow], &[&one], "text");
    assert_eq!(done.status, 0, "{}", done.err);
    for line in [
        "edge-1 (bog-a), revision 7",
        "feed: not known here; would open at bb",
        "bb  good, load 1.25, 2 waiting, last sign of life 40 ms ago",
        "aa  gets none: cold elsewhere",
    ] {
        assert!(done.out.contains(line), "`{line}` is missing in\n{}", done.out);
    }
    let json = run(&["explain", flow, "--token", "09c41f20"], &[&one], "json").json();
    assert_eq!(json["hosts"][0]["view"]["would_go_to"], "bb");
    let done = run(&["explain", flow, "--token", "xyz"], &[&one], "text");
    assert_eq!(done.status, 2);
    assert!(done.err.contains("`xyz` is not a token"), "{}", done.err);
}
