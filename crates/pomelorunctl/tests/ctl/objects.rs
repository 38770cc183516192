//! `check`, `diff` and `bundle`: exit statuses, texts, and that a bad set leaves no trace.

use std::{fs, path::Path};

use tempfile::TempDir;

use crate::run::{Done, ctl, example};

const ZONES: &str =
    r#"[{"kind":"AvailabilityZone","name":"a"},{"kind":"AvailabilityZone","name":"b"}]"#;
const POOL: &str = r#"{"kind":"UpstreamPool","name":"mesa","slots":2,"endpoints":[
    {"name":"1","zone":"a","address":"127.0.0.1:6001"},
    {"name":"2","zone":"b","address":"127.0.0.1:6002"}]}"#;
const SERVICE: &str = r#"{"kind":"Service","name":"mesa","address":"10.20.0.1:443","pool":"mesa"}"#;
/// One more than the largest file, bytes.
const TOO_LARGE: usize = (4 << 20) + 1;

fn dir(files: &[(&str, &str)]) -> TempDir {
    let dir = tempfile::tempdir().unwrap();
    for (name, text) in files {
        fs::write(dir.path().join(name), text).unwrap();
    }
    dir
}

fn shown(path: &Path) -> String {
    path.display().to_string()
}

/// Checks and bundles a bad set: both list the fault, and the bundle leaves the file alone.
fn refused(files: &[(&str, &str)], code: &str, place: &str) {
    let dir = dir(files);
    let path = shown(dir.path());
    let text = ctl(&["check", &path]);
    assert_eq!(text.status, 2, "{}", text.out);
    let line = text.out.lines().find(|it| it.starts_with(code) && it.contains(place));
    let line = line.unwrap_or_else(|| panic!("{code} {place} in {}", text.out));
    assert!(line.contains("; "), "what to do: {line}");

    let json = ctl(&["check", &path, "--format", "json"]);
    assert_eq!(json.status, 2);
    let faults = json.json()["faults"].as_array().unwrap().clone();
    let fault = faults.iter().find(|it| it["code"] == code).unwrap();
    assert!(!fault["message"].as_str().unwrap().is_empty());
    assert!(!fault["action"].as_str().unwrap().is_empty());
    assert!(fault["file"].is_string() && fault["path"].is_string());

    let output = dir.path().join("published");
    fs::write(&output, "before").unwrap();
    let bundle = ctl(&["bundle", &path, "-o", &shown(&output), "--revision", "9"]);
    assert_eq!(bundle.status, 2);
    assert!(bundle.out.contains(code) && bundle.out.contains("nothing was written"));
    assert_eq!(fs::read_to_string(&output).unwrap(), "before");
}

#[test]
fn a_good_set_is_ok() {
    let done = ctl(&["check", &example()]);
    assert_eq!((done.status, done.out.starts_with("ok: 2 services")), (0, true), "{}", done.out);
    let json = ctl(&["check", &example(), "--format", "json"]);
    assert_eq!(json.status, 0);
    assert_eq!(json.json(), serde_json::json!({"ok": true, "faults": []}));
}

#[test]
fn a_dangling_reference_is_refused() {
    let service = SERVICE.replace("\"pool\":\"mesa\"", "\"pool\":\"mesas\"");
    let files = [("z.json", ZONES), ("p.json", POOL), ("s.json", service.as_str())];
    refused(&files, "PR0006", "Service/mesa.pool");
}

#[test]
fn a_name_used_twice_is_refused() {
    let other = SERVICE.replace("10.20.0.1", "10.20.0.2");
    let files = [("z.json", ZONES), ("p.json", POOL), ("s.json", SERVICE), ("t.json", &other)];
    refused(&files, "PR0007", "Service/mesa");
}

#[test]
fn an_address_used_by_two_services_is_refused() {
    let other = SERVICE.replace("\"name\":\"mesa\"", "\"name\":\"archivo\"");
    let files = [("z.json", ZONES), ("p.json", POOL), ("s.json", SERVICE), ("t.json", &other)];
    refused(&files, "PR0007", "10.20.0.1:443");
}

#[test]
fn an_unknown_field_is_refused_with_a_suggestion() {
    let pool = POOL.replace("\"slots\"", "\"slotz\"");
    let files = [("z.json", ZONES), ("p.json", pool.as_str()), ("s.json", SERVICE)];
    refused(&files, "PR0003", "did you mean `slots`?");
}

#[test]
fn zero_slots_are_refused() {
    let pool = POOL.replace("\"slots\":2", "\"slots\":0");
    let files = [("z.json", ZONES), ("p.json", pool.as_str()), ("s.json", SERVICE)];
    refused(&files, "PR0008", "UpstreamPool/mesa.slots");
}

#[test]
fn a_pool_without_an_endpoint_in_a_zone_that_is_in_is_refused() {
    let zones = ZONES.replace("\"name\"", "\"out\":true,\"name\"");
    let files = [("z.json", zones.as_str()), ("p.json", POOL), ("s.json", SERVICE)];
    refused(&files, "PR0009", "UpstreamPool/mesa.endpoints");
}

#[test]
fn an_empty_directory_is_refused() {
    refused(&[], "PR0005", "");
}

#[test]
fn a_directory_that_is_missing_is_refused() {
    let done = ctl(&["check", "/nonexistent/objects"]);
    assert_eq!(done.status, 2);
    assert!(done.out.starts_with("PR0001 /nonexistent/objects"), "{}", done.out);
}

#[test]
fn a_file_that_is_not_json_is_refused() {
    refused(&[("z.json", ZONES), ("p.json", "{not json")], "PR0002", "p.json");
}

#[test]
fn a_file_over_the_size_limit_is_refused() {
    refused(&[("z.json", &" ".repeat(TOO_LARGE))], "PR0004", "z.json");
}

#[test]
fn all_faults_are_listed_at_once() {
    let pool = POOL.replace("\"slots\":2", "\"slots\":0,\"slow_after_ms\":0");
    let service = SERVICE.replace("\"pool\":\"mesa\"", "\"pool\":\"mesas\"");
    let dir = dir(&[("z.json", ZONES), ("p.json", &pool), ("s.json", &service)]);
    let done = ctl(&["check", &shown(dir.path())]);
    for it in ["UpstreamPool/mesa.slots", "UpstreamPool/mesa.slow_after_ms", "Service/mesa.pool"] {
        assert!(done.out.contains(it), "{it} in {}", done.out);
    }
    assert!(done.out.contains("3 faults; nothing was published"), "{}", done.out);
}

#[test]
fn diff_lists_changes_and_refuses_a_bad_set() {
    let (good, bad) =
        (dir(&[("z.json", ZONES), ("p.json", POOL), ("s.json", SERVICE)]), dir(&[("z.json", "[")]));
    let pool = POOL.replace("\"slots\":2", "\"slots\":3");
    let changed = dir(&[("z.json", ZONES), ("p.json", &pool), ("s.json", SERVICE)]);
    let diff =
        |from: &TempDir, to: &TempDir| ctl(&["diff", &shown(from.path()), &shown(to.path())]);
    let same = diff(&good, &good);
    assert_eq!((same.status, same.out.trim()), (0, "no change"));
    let done = diff(&good, &changed);
    assert_eq!((done.status, done.out.trim()), (0, "~ UpstreamPool/mesa"));
    assert_eq!(diff(&good, &bad).status, 2);
    assert_eq!(diff(&bad, &good).status, 2);
}

#[test]
fn bundle_writes_the_set_and_refuses_to_go_back() {
    let dir = tempfile::tempdir().unwrap();
    let output = shown(&dir.path().join("published"));
    let bundle = |revision: &str| -> Done {
        ctl(&["bundle", &example(), "-o", &output, "--revision", revision])
    };
    let done = bundle("7");
    assert_eq!(done.status, 0, "{}{}", done.out, done.err);
    let written = fs::read_to_string(&output).unwrap();
    let value: serde_json::Value = serde_json::from_str(&written).unwrap();
    assert_eq!(value["manifest"]["revision"], 7);
    for older in ["6", "7"] {
        let done = bundle(older);
        assert_eq!(done.status, 2, "{}", done.out);
        assert!(done.out.starts_with("PR0013"), "{}", done.out);
        assert_eq!(fs::read_to_string(&output).unwrap(), written);
    }
    assert_eq!(bundle("8").status, 0);
    assert_ne!(fs::read_to_string(&output).unwrap(), written);
}

#[test]
fn a_file_that_is_no_bundle_is_not_overwritten() {
    let dir = tempfile::tempdir().unwrap();
    let output = dir.path().join("notes");
    fs::write(&output, "mine").unwrap();
    let done = ctl(&["bundle", &example(), "-o", &shown(&output), "--revision", "1"]);
    assert_eq!(done.status, 2);
    assert_eq!(fs::read_to_string(&output).unwrap(), "mine");
}

#[test]
fn a_call_without_a_command_says_so() {
    let done = ctl(&[]);
    assert_eq!(done.status, 2);
    assert!(done.err.contains("a command is required"), "{}", done.err);
}
