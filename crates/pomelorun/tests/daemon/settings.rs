//! Parsing and validation of the settings file.

use pomelorun::Settings;
use pomelorun_wire::Code;

const VALID: &str = r#"{
    "host": "bog-a-1", "zone": "bog-a",
    "packets": "127.0.0.1:7000", "fabric": "127.0.0.1:7200",
    "config_service": "http://127.0.0.1:7300/",
    "host_list": "http://127.0.0.1:7300/v1/hosts"
}"#;

#[test]
fn a_valid_file_is_read_with_defaults() {
    let settings = Settings::parse("s.json", VALID).unwrap();
    assert_eq!(settings.host, "bog-a-1");
    assert!(settings.admin.ip().is_loopback());
    assert_eq!(settings.config_service, "http://127.0.0.1:7300");
}

#[test]
fn every_missing_field_is_reported() {
    let faults = Settings::parse("s.json", "{}").unwrap_err().0.0;
    let paths: Vec<&str> = faults.iter().map(|it| it.path.as_str()).collect();
    for field in ["host", "zone", "packets", "fabric", "config_service", "host_list"] {
        assert!(paths.contains(&field), "{field} in {paths:?}");
    }
    assert!(faults.iter().all(|it| it.code == Code::SETTINGS_INVALID));
}

#[test]
fn unknown_fields_and_wrong_types_are_reported_together() {
    let text =
        VALID.replacen('{', r#"{"hots": 1, "log": {"level": 3}, "bounds": {"histori": 2},"#, 1);
    let faults = Settings::parse("s.json", &text).unwrap_err().0.0;
    let messages: Vec<String> = faults.iter().map(ToString::to_string).collect();
    assert_eq!(faults.len(), 3, "{messages:#?}");
    assert!(messages.iter().any(|it| it.contains("did you mean `host`?")), "{messages:#?}");
    assert!(messages.iter().any(|it| it.contains("did you mean `history`?")), "{messages:#?}");
    assert!(messages.iter().any(|it| it.contains("log.level")), "{messages:#?}");
}

#[test]
fn values_out_of_range_are_reported_together() {
    let text = VALID.replacen('{', r#"{"shutdown_ms": 1, "bounds": {"history": 0},"#, 1);
    let faults = Settings::parse("s.json", &text).unwrap_err().0.0;
    let paths: Vec<&str> = faults.iter().map(|it| it.path.as_str()).collect();
    assert_eq!(paths, ["shutdown_ms", "bounds.history"]);
}
