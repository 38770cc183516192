//! What the logs of hosts say of flows that were late or lost.

use std::fs;

use crate::run::{Done, ctl};

/// Lines of a run of the users' bench, shortened, with the host before each.
const LOG: &str = r#"
  -9.9985 edge-luzon-a-2 {"level":"info","timestamp":1771500996000,"payload":"started","kv":{"code":"PR0430","host":"edge-luzon-a-2","zone":"luzon-a","version":"0.1.0"},"tid":1}
  33.5202 edge-luzon-a-2 {"level":"info","timestamp":1771501039510,"payload":"flow opened","kv":{"code":"PR0400","flow":"100.64.0.4:1217>198.18.0.1:443","upstream":"0000003adef68117","choice":"Good","candidates":14,"waiting":0.0,"copies":0,"revision":8},"tid":1}
  33.5502 edge-luzon-a-2 {"level":"info","timestamp":1771501039540,"payload":"flow opened","kv":{"code":"PR0429","flow":"100.64.0.4:1217>198.18.0.1:443","upstream":"0000003adef68118","choice":"Good","candidates":14,"waiting":0.0,"copies":1,"revision":8},"tid":1}
  33.7502 edge-luzon-a-2 {"level":"info","timestamp":1771501039740,"payload":"flow opened","kv":{"code":"PR0402","flow":"100.64.0.9:1217>198.18.0.1:443","upstream":"0000003adef68118","choice":"Good","candidates":14,"waiting":0.0,"copies":1,"revision":8},"tid":1}
  33.7502 edge-luzon-a-2 {"level":"info","timestamp":1771501039750,"payload":"log lines suppressed","kv":{"code":"PR0427","opened":41,"malformed":0},"tid":1}
rubbish
  41.6055 edge-luzon-a-2 {"level":"info","timestamp":1771501047600,"payload":"started","kv":{"code":"PR0430","host":"edge-luzon-a-2","zone":"luzon-a","version":"0.1.0"},"tid":2}
  41.9055 edge-luzon-a-2 {"level":"warn","timestamp":1771501047900,"payload":"flow reset","kv":{"code":"PR0409","flow":"100.64.0.7:1197>198.18.0.1:443","upstream":"","silent_ms":0},"tid":2}
"#;

fn losses(args: &[&str], log: &[u8]) -> Done {
    let dir = tempfile::tempdir().unwrap();
    let path = dir.path().join("edge.log");
    fs::write(&path, log).unwrap();
    ctl(&[&["losses", path.to_str().unwrap()], args].concat())
}

#[test]
fn losses_are_counted_by_code_zone_upstream_and_second() {
    let done = losses(&["--format", "json"], LOG.as_bytes());
    assert_eq!(done.status, 0, "{}", done.err);
    let it = done.json();
    assert_eq!(it["opened"], 42, "a line and those that were suppressed");
    let rows = |name: &str| it[name]["rows"].to_string();
    assert_eq!(rows("by_code"), r#"[["PR0402",1],["PR0409",1],["PR0429",1]]"#);
    assert_eq!(rows("by_zone"), r#"[["luzon-a",3]]"#);
    assert_eq!(rows("by_upstream"), r#"[["0000003adef68118",2]]"#);
    assert_eq!(rows("by_second"), r#"[["1771501039",2],["1771501047",1]]"#);
}

#[test]
fn starts_say_how_long_the_host_was_silent() {
    let it = losses(&["--format", "json"], LOG.as_bytes()).json();
    assert_eq!(it["starts"][0]["silent_ms"], serde_json::Value::Null);
    assert_eq!(it["starts"][1]["silent_ms"], 7_850);
}

#[test]
fn lines_that_cannot_be_read_are_counted_and_the_first_is_named() {
    let mut log = LOG.as_bytes().to_vec();
    log.extend(b"\xff\xfe not text {\n");
    let done = losses(&[], &log);
    assert_eq!(done.status, 0);
    assert!(done.out.contains("2 lines are no log lines"), "{}", done.out);
    assert!(done.out.contains("edge.log:7"), "{}", done.out);
}

#[test]
fn a_missing_file_is_an_error_that_names_it() {
    let done = ctl(&["losses", "/nonexistent/edge.log"]);
    assert_eq!(done.status, 2);
    assert!(done.err.contains("/nonexistent/edge.log"), "{}", done.err);
    assert_eq!(ctl(&["losses"]).status, 2);
}
