//! From a flow to why it failed, by the logs alone: the three kinds of docs/OPERATIONS.md.

use std::fs;

use crate::run::ctl;

/// Lines of a run of the users' bench, with the host before each.
const SILENT: &str = r#"
  24.1944 edge-regina-b-1 {"level":"info","timestamp":1783945681187,"payload":"flow opened","kv":{"code":"PR0400","flow":"100.65.0.10:1055>198.18.0.1:8443","upstream":"0000000cd266e6c3","choice":"Good","candidates":12,"waiting":0.0,"copies":0,"revision":10},"tid":1}
  24.3936 edge-regina-b-1 {"level":"info","timestamp":1783945681387,"payload":"upstream suspected","kv":{"code":"PR0410","upstream":"0000000cd266e6c3","flow":"100.65.0.10:1055>198.18.0.1:8443","waited_ms":200},"tid":1}
  24.5445 edge-regina-b-1 {"level":"warn","timestamp":1783945681538,"payload":"flow reset","kv":{"code":"PR0403","flow":"100.65.0.16:1037>198.18.0.1:8443","upstream":"0000000cd266e6c3","silent_ms":508},"tid":1}
  24.5445 edge-regina-b-1 {"level":"warn","timestamp":1783945681538,"payload":"upstream unreachable","kv":{"code":"PR0411","upstream":"0000000cd266e6c3","flows_reset":3,"waited_ms":351,"told_by_another_host":false},"tid":1}
  24.5445 edge-regina-b-2 {"level":"warn","timestamp":1783945681540,"payload":"upstream unreachable","kv":{"code":"PR0411","upstream":"0000000cd266e6c3","flows_reset":9,"waited_ms":351,"told_by_another_host":true},"tid":2}
"#;
const REFUSED: &str = r#"{"level":"warn","timestamp":1775859235860,"payload":"upstream unreachable","kv":{"code":"PR0411","upstream":"00000037b9b6a913","flows_reset":9,"waited_ms":352,"told_by_another_host":true},"tid":1}
{"level":"info","timestamp":1775859225520,"payload":"zone","kv":{"code":"PR0421","zone":2953448875,"out":true},"tid":1}
{"level":"warn","timestamp":1775859236086,"payload":"flow reset","kv":{"code":"PR0409","flow":"100.66.0.15:1060>198.18.0.1:443","upstream":"","silent_ms":0},"tid":1}
"#;
const ENDED: &str = r#"{"level":"info","timestamp":1787618135200,"payload":"upstream","kv":{"code":"PR0414","state":"announced","upstream":"000000a848c84b3b","born":1787618133000,"cold_ms":900},"tid":1}
{"level":"warn","timestamp":1787618135205,"payload":"flow reset","kv":{"code":"PR0404","flow":"100.67.0.6:1052>198.18.0.2:8443","upstream":"000000a848c84b3a","silent_ms":396},"tid":1}
{"level":"info","timestamp":1787618135206,"payload":"upstream","kv":{"code":"PR0418","state":"ended","upstream":"000000a848c84b3a","born":1787618110000,"cold_ms":0},"tid":1}
rubbish
"#;

fn traced(log: &str, flow: &str) -> Vec<String> {
    let dir = tempfile::tempdir().unwrap();
    let path = dir.path().join("edge-1.log");
    fs::write(&path, log).unwrap();
    let done = ctl(&["trace", flow, path.to_str().unwrap(), "--format", "json"]);
    assert_eq!(done.status, 0, "{}", done.err);
    let lines = done.json()["lines"].as_array().unwrap().clone();
    lines.iter().map(|it| it["code"].as_str().unwrap().to_owned()).collect()
}

#[test]
fn a_flow_at_a_silent_upstream_shows_the_suspicion_and_the_verdict() {
    let codes = traced(SILENT, "100.65.0.10:1055>198.18.0.1:8443");
    assert_eq!(codes, ["PR0400", "PR0410", "PR0411"]);
    let codes = traced(SILENT, "100.65.0.16:1037>198.18.0.1:8443");
    assert_eq!(codes, ["PR0410", "PR0403", "PR0411"], "another caller showed it first");
}

#[test]
fn a_flow_that_was_refused_shows_why_no_upstream_was_left() {
    let codes = traced(REFUSED, "100.66.0.15:1060>198.18.0.1:443");
    assert_eq!(codes, ["PR0409"], "the zone was taken out ten seconds before");
}

#[test]
fn a_flow_whose_upstream_was_replaced_shows_its_end() {
    let codes = traced(ENDED, "100.67.0.6:1052>198.18.0.2:8443");
    assert_eq!(codes, ["PR0404", "PR0418"]);
}

#[test]
fn a_flow_that_no_line_names_is_said() {
    let dir = tempfile::tempdir().unwrap();
    let path = dir.path().join("edge-1.log");
    fs::write(&path, ENDED).unwrap();
    let done = ctl(&["trace", "1.2.3.4:5>6.7.8.9:10", path.to_str().unwrap()]);
    assert_ne!(done.status, 0);
    assert!(done.err.contains("sampling"), "{}", done.err);
}
