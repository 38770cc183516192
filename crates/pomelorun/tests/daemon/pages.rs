//! The operators' pages match the settings that the daemon reads and the metrics that it exports.

use std::collections::BTreeSet;

use pomelorun::{CodeCount, Metrics, ServiceTotals, Settings, SharedReport};
use pomelorun_core::Outcomes;
use pomelorun_wire::{Code, ServiceAddr};
use serde_json::{Map, Value, json};

const SETTINGS: &str = include_str!("../../../../docs/operators/settings.md");
const METRICS: &str = include_str!("../../../../docs/operators/metrics.md");
const REQUIRED: [&str; 6] = ["host", "zone", "packets", "fabric", "config_service", "host_list"];

/// Returns the cells of each table row of a page that starts with a name in backticks.
fn table_rows(page: &str) -> Vec<Vec<String>> {
    let lines = page.lines().filter(|it| it.starts_with("| `"));
    lines
        .map(|it| it.trim_matches('|').split('|').map(|it| it.trim().to_owned()).collect())
        .collect()
}

fn unquoted(text: &str) -> &str {
    text.trim_matches('`')
}

fn minimal_settings() -> Map<String, Value> {
    let Value::Object(file) = json!({
        "host": "bog-a-1", "zone": "bog-a",
        "packets": "127.0.0.1:7000", "fabric": "127.0.0.1:7200",
        "config_service": "http://127.0.0.1:7300", "host_list": "http://127.0.0.1:7300/v1/hosts"
    }) else {
        unreachable!("an object")
    };
    file
}

fn flatten(prefix: &str, value: &Value, found: &mut Vec<(String, Value)>) {
    for (key, value) in value.as_object().unwrap() {
        let path = format!("{prefix}{key}");
        if value.is_object() {
            flatten(&format!("{path}."), value, found);
        } else {
            found.push((path, value.clone()));
        }
    }
}

fn setting_fields() -> Vec<(String, Value)> {
    let text = Value::Object(minimal_settings()).to_string();
    let settings = Settings::parse("s.json", &text).unwrap();
    let mut found = Vec::new();
    flatten("", &serde_json::to_value(&settings).unwrap(), &mut found);
    found
}

/// Returns the range stated in the fault for an out-of-range number, `None` if there is no fault.
fn documented_range(path: &str) -> Option<String> {
    let mut file = minimal_settings();
    let out_of_range = json!(4_000_000_000u32);
    match path.split_once('.') {
        Some((section, field)) => file.insert(section.to_owned(), json!({field: out_of_range})),
        None => file.insert(path.to_owned(), out_of_range),
    };
    let faults = Settings::parse("s.json", &Value::Object(file).to_string()).err()?;
    let fault = faults.0.0.iter().find(|it| it.path == path)?;
    Some(fault.message.rsplit_once("is not in ")?.1.to_owned())
}

#[test]
fn every_setting_is_documented_with_unit_default_and_documented_range() {
    let rows = table_rows(SETTINGS);
    for (path, value) in setting_fields() {
        let row = rows.iter().find(|it| unquoted(&it[0]) == path);
        let row = row.unwrap_or_else(|| panic!("no row for `{path}`, default `{value}`"));
        assert_eq!(row.len(), 5, "{row:?}");
        assert!(!row[1].is_empty() && !row[4].is_empty(), "unit and meaning: {row:?}");
        let default =
            if REQUIRED.contains(&path.as_str()) { String::new() } else { value.to_string() };
        assert_eq!(unquoted(&row[2]), default, "default of `{path}`");
        let expected = if value.is_number() {
            documented_range(&path).unwrap_or_default()
        } else {
            String::new()
        };
        assert_eq!(row[3], expected, "range of `{path}`");
        assert!(!value.is_number() || !row[3].is_empty(), "`{path}` has no range");
    }
}

#[test]
fn every_documented_setting_exists() {
    let known: BTreeSet<String> = setting_fields().into_iter().map(|it| it.0).collect();
    let named: Vec<String> =
        table_rows(SETTINGS).iter().map(|it| unquoted(&it[0]).to_owned()).collect();
    assert_eq!(named.len(), known.len(), "a row twice");
    for it in named {
        assert!(known.contains(&it), "`{it}` is no setting");
    }
}

/// Returns the name, type and labels of every metric that the daemon exports.
fn exported_metrics() -> BTreeSet<(String, String, String)> {
    let report = SharedReport::default();
    report.lock().services.push(ServiceTotals {
        addr: ServiceAddr { ip: 1, port: 443 },
        name: "mesa".to_owned(),
        answer_within_ms: 100,
        outcomes: Outcomes { opened: 1, ..Outcomes::default() },
    });
    report.lock().codes.push(CodeCount {
        code: Code::BUSY.to_string(),
        name: "busy".to_owned(),
        count: 1,
    });
    let text = Metrics::new(&report).unwrap().text().unwrap();
    let types = text.lines().filter_map(|it| it.strip_prefix("# TYPE "));
    types
        .map(|it| {
            let (name, kind) = it.split_once(' ').unwrap();
            let sample = text
                .lines()
                .find(|it| {
                    it.starts_with(&format!("{name}{{")) || it.starts_with(&format!("{name} "))
                })
                .unwrap();
            let labels = sample.split_once('{').map_or("", |it| it.1.split_once('}').unwrap().0);
            let labels: Vec<String> = labels
                .split(',')
                .filter_map(|it| it.split_once('='))
                .filter(|it| !it.0.starts_with("otel_scope_"))
                .map(|it| format!("`{}`", it.0))
                .collect();
            (name.to_owned(), kind.to_owned(), labels.join(", "))
        })
        .collect()
}

#[test]
fn the_metrics_page_lists_exactly_the_exported_metrics() {
    let listed: BTreeSet<_> = table_rows(METRICS)
        .iter()
        .map(|it| {
            assert_eq!(it.len(), 4, "{it:?}");
            assert!(!it[3].is_empty(), "{it:?}");
            (unquoted(&it[0]).to_owned(), it[1].clone(), it[2].clone())
        })
        .collect();
    assert_eq!(listed, exported_metrics());
}
