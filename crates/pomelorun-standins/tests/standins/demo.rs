//! The demonstration keeps every promise at a small scale.

use std::{path::Path, process::Command};

use serde_json::Value;

fn run(example: &str) -> Value {
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("../..");
    let out = Command::new(env!("CARGO_BIN_EXE_pomelorun-standins"))
        .args(["demo", &format!("examples/{example}"), "--scale", "5"])
        .current_dir(root)
        .output()
        .unwrap();
    let text = String::from_utf8(out.stdout).unwrap();
    let errors = String::from_utf8_lossy(&out.stderr).into_owned();
    let last = text.lines().last().unwrap_or_else(|| panic!("no result: {errors}"));
    let report: Value = serde_json::from_str(last).unwrap();
    assert!(out.status.success(), "{report:#}\n{errors}");
    report
}

#[test]
fn co_centro_serves_through_a_drain_and_a_replacement() {
    let report = run("co-centro");
    assert_eq!(report["flows"], 1_900);
    assert_eq!(report["revision"], 2);
    for count in ["lost", "broken_flows", "misrouted", "duplicate_runs", "false_not_run"] {
        assert_eq!(report[count], 0, "{count} in {report:#}");
    }
    let (requests, answered) = (report["requests"].as_f64(), report["answered"].as_f64());
    assert!(answered.unwrap() > requests.unwrap() * 0.9, "{report:#}");
}
