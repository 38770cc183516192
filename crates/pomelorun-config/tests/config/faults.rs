//! Tests that every fault is reported with its location and result code.

use std::fs;

use pomelorun_config::{Fault, MAX_FILE_BYTES, check, load_and_check, load_dir};
use pomelorun_wire::Code;

const ZONES: &str =
    r#"[{"kind":"AvailabilityZone","name":"a"},{"kind":"AvailabilityZone","name":"b"}]"#;
const POOL: &str = r#"{"kind":"UpstreamPool","name":"mesa","slots":2,"endpoints":[
    {"name":"1","zone":"a","address":"127.0.0.1:6001"},
    {"name":"2","zone":"b","address":"127.0.0.1:6002"}]}"#;
const SERVICE: &str = r#"{"kind":"Service","name":"mesa","address":"10.20.0.1:443","pool":"mesa"}"#;

/// Returns the faults of a directory that contains the given files.
fn faults_of(files: &[(&str, &str)]) -> Vec<Fault> {
    let dir = tempfile::tempdir().unwrap();
    for (name, text) in files {
        fs::write(dir.path().join(name), text).unwrap();
    }
    let checked = load_dir(dir.path()).and_then(|set| check(&set).into_result(()));
    checked.err().unwrap_or_default().0
}

fn single_fault(files: &[(&str, &str)]) -> Fault {
    let mut faults = faults_of(files);
    assert_eq!(faults.len(), 1, "{faults:?}");
    faults.pop().unwrap()
}

#[test]
fn valid_set_has_no_faults() {
    assert_eq!(faults_of(&[("z.json", ZONES), ("p.json", POOL), ("s.json", SERVICE)]), []);
}

#[test]
fn empty_directory_is_reported() {
    assert_eq!(single_fault(&[]).code, Code::CONFIG_EMPTY);
}

#[test]
fn invalid_json_is_reported_with_its_file() {
    let fault = single_fault(&[("z.json", ZONES), ("p.json", "{not json")]);
    assert_eq!(fault.code, Code::CONFIG_JSON);
    assert!(fault.file.ends_with("p.json"), "{fault:?}");
}

#[test]
fn oversized_file_is_reported() {
    let large = " ".repeat(MAX_FILE_BYTES as usize + 1);
    assert_eq!(single_fault(&[("z.json", &large)]).code, Code::CONFIG_TOO_LARGE);
}

#[test]
fn unknown_field_is_reported_with_a_suggestion() {
    let pool = POOL.replace("\"slots\"", "\"slotz\"");
    let faults = faults_of(&[("z.json", ZONES), ("p.json", &pool), ("s.json", SERVICE)]);
    let fault = &faults[0];
    assert_eq!(fault.code, Code::CONFIG_UNKNOWN_FIELD);
    assert!(fault.message.contains("did you mean `slots`?"), "{fault:?}");
}

#[test]
fn dangling_reference_is_reported() {
    let service = SERVICE.replace("\"pool\":\"mesa\"", "\"pool\":\"mesas\"");
    let fault = single_fault(&[("z.json", ZONES), ("p.json", POOL), ("s.json", &service)]);
    assert_eq!(
        (fault.code, fault.path.as_str()),
        (Code::CONFIG_DANGLING_REFERENCE, "Service/mesa.pool")
    );
}

#[test]
fn endpoint_in_unknown_zone_is_reported() {
    let pool = POOL.replace("\"zone\":\"b\"", "\"zone\":\"c\"");
    let fault = single_fault(&[("z.json", ZONES), ("p.json", &pool), ("s.json", SERVICE)]);
    assert_eq!(fault.code, Code::CONFIG_DANGLING_REFERENCE);
    assert_eq!(fault.path, "UpstreamPool/mesa.endpoints.2.zone");
}

#[test]
fn duplicate_name_is_reported() {
    let other = SERVICE.replace("10.20.0.1", "10.20.0.2");
    let files = [("z.json", ZONES), ("p.json", POOL), ("s.json", SERVICE), ("t.json", &other)];
    assert_eq!(single_fault(&files).code, Code::CONFIG_DUPLICATE);
}

#[test]
fn address_shared_by_two_services_is_reported() {
    let other = SERVICE.replace("\"name\":\"mesa\"", "\"name\":\"archivo\"");
    let files = [("z.json", ZONES), ("p.json", POOL), ("s.json", SERVICE), ("t.json", &other)];
    let fault = single_fault(&files);
    assert_eq!(fault.code, Code::CONFIG_DUPLICATE);
    assert!(fault.message.contains("10.20.0.1:443"), "{fault:?}");
}

#[test]
fn zero_slots_are_reported() {
    let pool = POOL.replace("\"slots\":2", "\"slots\":0");
    let faults = faults_of(&[("z.json", ZONES), ("p.json", &pool), ("s.json", SERVICE)]);
    assert_eq!(faults[0].code, Code::CONFIG_VALUE);
    assert_eq!(faults[0].path, "UpstreamPool/mesa.slots");
}

#[test]
fn pool_with_all_zones_withdrawn_is_reported() {
    let zones = ZONES.replace("\"name\"", "\"out\":true,\"name\"");
    let fault = single_fault(&[("z.json", &zones), ("p.json", POOL), ("s.json", SERVICE)]);
    assert_eq!(fault.code, Code::CONFIG_NO_ENDPOINT);
}

#[test]
fn faults_of_all_files_are_reported_together() {
    let pool =
        r#"{"kind":"UpstreamPool","name":"mesa","slots":"two","endpointz":[],"endpoints":[]}"#;
    let faults = faults_of(&[("p.json", pool), ("q.json", "["), ("s.json", "{}")]);
    let codes: Vec<Code> = faults.iter().map(|it| it.code).collect();
    let (json, field) = (Code::CONFIG_JSON, Code::CONFIG_UNKNOWN_FIELD);
    assert_eq!(codes, [field, json, json, json], "{faults:?}");
}

#[test]
fn duplicate_field_is_reported() {
    let duplicate = POOL.replacen("\"slots\":2", "\"slots\":2,\"slots\":3", 1);
    let fault = single_fault(&[("z.json", ZONES), ("p.json", &duplicate), ("s.json", SERVICE)]);
    assert_eq!(fault.code, Code::CONFIG_JSON);
    assert!(fault.file.ends_with("p.json") && fault.message.contains("`slots`"), "{fault:?}");
}

#[test]
fn fault_found_by_check_names_the_file_of_the_object() {
    let dir = tempfile::tempdir().unwrap();
    let faulty =
        SERVICE.replace(r#""pool":"mesa""#, r#""pool":"mesa","objectives":{"flows_kept":-0.5}"#);
    // The path `Service/mesa` is a prefix of `Service/mesa2`, whose file must not be reported.
    let longer_name =
        SERVICE.replace(r#""name":"mesa""#, r#""name":"mesa2""#).replace("443", "444");
    for (name, text) in
        [("z.json", ZONES), ("p.json", POOL), ("s.json", &faulty), ("t.json", &longer_name)]
    {
        fs::write(dir.path().join(name), text).unwrap();
    }
    let faults = load_and_check(dir.path()).unwrap_err().0;
    assert_eq!(faults.len(), 1, "{faults:?}");
    assert!(faults[0].file.ends_with("s.json"), "{:?}", faults[0]);
    assert!(faults[0].path.ends_with("objectives.flows_kept"), "{:?}", faults[0]);
}
