//! `burn` from saved answers: rates, severities, spenders, and the page.

use std::{fs, path::PathBuf};

use pomelorun::{BurnDetail, BurnHistory, BurnReport, ServiceTotals, burn_by_service};
use pomelorun_core::Outcomes;
use pomelorun_wire::ServiceAddr;
use serde_json::{Value, json};
use tempfile::TempDir;

use crate::run::{FakeHost, ctl, example, nobody};

const HOSTS: [(&str, &str); 4] =
    [("bog-a-1", "bog-a"), ("bog-a-2", "bog-a"), ("bog-b-1", "bog-b"), ("mde-a-1", "mde-a")];
const DAYS_4: u64 = 4 * 24 * 60;
/// Requests of one service at one host in a minute.
const REQUESTS: u64 = 1_000;

/// The outcomes of one minute, by minutes before the end.
type Minute = fn(host: &str, service: &str, ago: u64) -> Outcomes;

fn good() -> Outcomes {
    Outcomes { opened: 100, answered: REQUESTS, in_time: REQUESTS, ..Outcomes::default() }
}

fn healthy(_: &str, _: &str, _: u64) -> Outcomes {
    good()
}

/// One host refuses much of one service's requests of late; a zone answers the other one late.
fn troubled(host: &str, service: &str, ago: u64) -> Outcomes {
    let mut it = good();
    if host == "bog-a-2" && service == "mesa" && ago < 90 {
        it.refused = 900;
        it.broken = u64::from(ago < 40);
    }
    if host == "mde-a-1" && service == "archivo" {
        it.in_time = REQUESTS - 70 - ago % 120;
    }
    it
}

fn report(host: (&str, &str), minutes: u64, minute: Minute) -> BurnReport {
    let mut totals: Vec<ServiceTotals> =
        [("mesa", 100, 0x0a14_0001), ("archivo", 250, 0x0a14_0101)]
            .map(|(name, answer_within_ms, ip)| ServiceTotals {
                addr: ServiceAddr { ip, port: 443 },
                name: name.to_owned(),
                answer_within_ms,
                outcomes: Outcomes::default(),
            })
            .to_vec();
    let mut history = BurnHistory::default();
    for ago in (0..minutes).rev() {
        for it in &mut totals {
            let mut sum = it.outcomes.to_array();
            let more = minute(host.0, &it.name, ago).to_array();
            sum.iter_mut().zip(more).for_each(|(sum, more)| *sum += more);
            it.outcomes = Outcomes::from_array(sum);
        }
        let now: Vec<_> = totals.iter().map(|it| (it.addr, it.outcomes)).collect();
        history.end_minute(&now);
    }
    BurnReport {
        host: host.0.to_owned(),
        zone: host.1.to_owned(),
        revision: 3,
        services: burn_by_service(&history, &totals, BurnDetail::Cells),
    }
}

fn saved(minutes: u64, minute: Minute) -> (TempDir, String) {
    let dir = tempfile::tempdir().unwrap();
    let hosts: Vec<BurnReport> = HOSTS.iter().map(|it| report(*it, minutes, minute)).collect();
    let path = dir.path().join("answers.json");
    fs::write(&path, json!({"hosts": hosts, "unreachable": []}).to_string()).unwrap();
    let path = path.display().to_string();
    (dir, path)
}

fn burn(input: &str, format: &str) -> String {
    let done = ctl(&["burn", "--objects", &example(), "--input", input, "--format", format]);
    assert_eq!(done.status, 0, "{}{}", done.out, done.err);
    done.out
}

fn goal<'a>(burn: &'a Value, service: &str, goal: &str) -> &'a Value {
    let find = |list: &'a Value, field: &str, name: &str| {
        list.as_array().unwrap().iter().find(|it| it[field] == name).unwrap()
    };
    find(&find(&burn["services"], "service", service)["goals"], "goal", goal)
}

fn near(value: &Value, expected: f64) {
    let value = value.as_f64().unwrap();
    assert!((value - expected).abs() < expected.abs() * 1e-6 + 1e-9, "{value}, not {expected}");
}

#[test]
fn a_healthy_service_spends_nothing() {
    let (_dir, input) = saved(DAYS_4, healthy);
    let burn: Value = serde_json::from_str(&burn(&input, "json")).unwrap();
    for service in ["mesa", "archivo"] {
        for name in ["flows_kept", "answered_in_time", "not_refused"] {
            let it = goal(&burn, service, name);
            assert_eq!(it["severity"], "ok");
            near(&it["budget_left"], 1.0);
            assert_eq!(it["hosts"], json!([]));
        }
    }
}

#[test]
fn a_fast_burn_pages_and_names_the_host_and_the_zone() {
    let (_dir, input) = saved(DAYS_4, troubled);
    let burn: Value = serde_json::from_str(&burn(&input, "json")).unwrap();
    let it = goal(&burn, "mesa", "not_refused");
    assert_eq!(it["severity"], "page");
    assert_eq!(it["because"], "above 14.4 over 1 h and 5 m");
    // 900 refused of 4,900 against an allowance of one in a hundred.
    near(&it["windows"][0]["rate"], 900.0 / 4_900.0 / 0.01);
    near(&it["windows"][2]["rate"], 900.0 / 4_900.0 / 0.01);
    assert_eq!(it["hosts"][0]["name"], "bog-a-2");
    assert_eq!(it["zones"][0]["name"], "bog-a");
    near(&it["hosts"][0]["share"], 1.0);
    near(&it["hosts"][0]["bad"], 900.0 * 90.0);
    let flows = goal(&burn, "mesa", "flows_kept");
    near(&flows["windows"][0]["rate"], 5.0 / 2_005.0 / 0.000_1);
}

#[test]
fn a_slow_burn_asks_for_a_ticket() {
    let (_dir, input) = saved(DAYS_4, troubled);
    let burn: Value = serde_json::from_str(&burn(&input, "json")).unwrap();
    let it = goal(&burn, "archivo", "answered_in_time");
    assert_eq!(it["severity"], "ticket", "{it:#}");
    assert_eq!(it["zones"][0]["name"], "mde-a");
    assert!(it["budget_left"].as_f64().unwrap() < 0.0, "overspent: {it:#}");
}

#[test]
fn a_window_says_how_much_of_it_is_known() {
    let (_dir, input) = saved(20, troubled);
    let burn: Value = serde_json::from_str(&burn(&input, "json")).unwrap();
    let it = goal(&burn, "mesa", "not_refused");
    let known: Vec<u64> = it["windows"]
        .as_array()
        .unwrap()
        .iter()
        .map(|it| it["known_minutes"].as_u64().unwrap())
        .collect();
    assert_eq!(known, [5, 20, 20, 20, 20, 20]);
    assert_eq!(it["budget_known_minutes"], 20);
}

#[test]
fn the_text_names_severity_budget_and_spenders() {
    let (_dir, input) = saved(DAYS_4, troubled);
    let text = burn(&input, "text");
    for it in ["not refused", "page", "budget left", "above 14.4 over 1 h and 5 m", "zones bog-a"] {
        assert!(text.contains(it), "{it} in {text}");
    }
}

#[test]
fn the_page_stands_alone_and_has_plots_and_tables() {
    let (_dir, input) = saved(DAYS_4, troubled);
    let page = burn(&input, "html");
    fs::write(PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join("burn.html"), &page).unwrap();
    assert!(page.starts_with("<!doctype html>"));
    // The name of the SVG namespace refers to nothing that is fetched.
    let text = page.replace("http://www.w3.org/2000/svg", "");
    for it in ["http:", "https:", "src=", "@import", "url(", "<script", "<link"] {
        assert!(!text.contains(it), "{it} in the page");
    }
    assert_eq!(page.matches("<svg").count(), 4, "two plots a service");
    assert_eq!(page.matches("<svg").count(), page.matches("</svg>").count());
    assert!(page.matches("<polyline").count() >= 12, "a line for each objective");
    for it in ["Spent by zone", "Spent by host", "bog-a-2", "prefers-color-scheme:dark"] {
        assert!(page.contains(it), "{it}");
    }
}

#[test]
fn names_from_outside_cannot_change_the_page() {
    let (dir, input) = saved(20, troubled);
    let text = fs::read_to_string(&input).unwrap().replace("bog-a-2", "<b>x</b>");
    let path = dir.path().join("odd.json");
    fs::write(&path, text).unwrap();
    let page = burn(&path.display().to_string(), "html");
    assert!(!page.contains("<b>x</b>"));
}

#[test]
fn an_objective_that_differs_from_the_one_in_force_is_noted() {
    let (dir, input) = saved(20, healthy);
    let text = fs::read_to_string(&input)
        .unwrap()
        .replace("\"answer_within_ms\":100", "\"answer_within_ms\":50");
    let path = dir.path().join("old.json");
    fs::write(&path, text).unwrap();
    let text = burn(&path.display().to_string(), "text");
    assert!(text.contains("measures answers against 50 ms, the objects say 100 ms"), "{text}");
}

#[test]
fn live_hosts_are_read_and_missing_ones_are_named() {
    let body = serde_json::to_string(&report(HOSTS[1], 30, troubled)).unwrap();
    let (host, gone) = (FakeHost::new(200, &body), nobody());
    let hosts = format!("{},{gone}", host.address);
    let dir = tempfile::tempdir().unwrap();
    let kept = dir.path().join("kept.json").display().to_string();
    let args = ["burn", "--objects", &example(), "--hosts", &hosts, "--save", &kept];
    let done = ctl(&args);
    assert_eq!(done.status, 3, "{}{}", done.out, done.err);
    assert!(done.err.contains(&gone.to_string()), "{}", done.err);
    assert!(done.out.contains("1 hosts are missing"), "{}", done.out);
    let again = ctl(&["burn", "--objects", &example(), "--input", &kept]);
    assert_eq!((again.status, again.out), (3, done.out));
}

#[test]
fn wrong_calls_are_refused() {
    let (_dir, input) = saved(1, healthy);
    let objects = example();
    for args in [
        vec!["burn", "--objects", &objects],
        vec!["burn", "--objects", &objects, "--input", &input, "--hosts", "127.0.0.1:1"],
        vec!["burn", "--objects", &objects, "--input", "/nonexistent"],
        vec!["burn", "--objects", &objects, "--hosts", "nowhere"],
        vec!["burn", "--objects", &objects, "--input", &input, "--service", "none"],
        vec!["burn", "--objects", "/nonexistent", "--input", &input],
    ] {
        let done = ctl(&args);
        assert_eq!(done.status, 2, "{args:?}");
        assert!(!done.out.is_empty() || !done.err.is_empty(), "{args:?}");
    }
}
