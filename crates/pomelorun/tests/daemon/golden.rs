//! Golden tests of the JSON of reports, settings and results.
//!
//! The JSON must not change, because hosts and tools of two releases run side by side during an
//! upgrade.

use std::fmt::Debug;

use pomelorun::{
    BurnReport, CodeCount, ExplainReport, HostReport, LogFormat, LogSettings, MemberReport,
    RouteReport, ServiceBurn, Settings, ShutdownSummary, UpstreamReport, WindowOutcomes,
    ZoneReport,
    direct::{DirectReport, DirectSettingsFile, FlowReport, ForwardingMode},
};
use pomelorun_core::{
    CoreSettings, Millis,
    direct::{DirectView, FlowView, KnownFrom},
};
use pomelorun_wire::MemberState;
use serde::{Serialize, de::DeserializeOwned};

fn check_text<T: Serialize + Debug>(value: &T, golden: &str) {
    assert_eq!(serde_json::to_string(value).unwrap(), golden, "encoding of {value:?}");
}

fn check<T: Serialize + DeserializeOwned + PartialEq + Debug>(value: &T, golden: &str) {
    check_text(value, golden);
    assert_eq!(serde_json::from_str::<T>(golden).unwrap(), *value);
}

fn zone() -> ZoneReport {
    ZoneReport { name: "bog-a".to_owned(), withdrawn: true, last_packet_ago_ms: Some(12) }
}

fn upstream() -> UpstreamReport {
    UpstreamReport {
        name: "search/e1".to_owned(),
        zone: "bog-a".to_owned(),
        limit: 3,
        slots: 4,
        in_flight: 2,
        queued: 1,
        reason: "cold".to_owned(),
        active: true,
    }
}

fn member(state: MemberState) -> MemberReport {
    MemberReport { host: "0102030405060708".to_owned(), state, listed: true }
}

#[test]
fn host_reports_keep_their_json() {
    let report = HostReport {
        host: "bog-a-1".to_owned(),
        zone: "bog-a".to_owned(),
        revision: 500,
        content: "ab12".to_owned(),
        config_age_ms: 1,
        leaving: true,
        ready: true,
        drained: true,
        flows_to_hand_over: 2,
        flows: 3,
        flow_bytes: 4,
        members: vec![
            member(MemberState::Live),
            member(MemberState::Suspect),
            member(MemberState::Leaving),
            member(MemberState::Dead),
        ],
        zones: vec![zone()],
        upstreams: vec![upstream()],
        fabric_packets: 5,
        relayed_packets: 6,
        upstream_packets: 7,
        caller_packets: 8,
        control_bytes: 9,
        dropped_datagrams: 10,
        malformed_datagrams: 11,
        config_bytes: 12,
        codes: vec![CodeCount { code: "PR0201".to_owned(), name: "shed".to_owned(), count: 13 }],
        services: Vec::new(),
    };
    check(
        &report,
        r#"{"host":"bog-a-1","zone":"bog-a","revision":500,"content":"ab12","config_age_ms":1,"leaving":true,"ready":true,"drained":true,"flows_to_hand_over":2,"flows":3,"flow_bytes":4,"members":[{"host":"0102030405060708","state":"live","listed":true},{"host":"0102030405060708","state":"suspect","listed":true},{"host":"0102030405060708","state":"leaving","listed":true},{"host":"0102030405060708","state":"dead","listed":true}],"zones":[{"name":"bog-a","out":true,"last_packet_ago_ms":12}],"upstreams":[{"name":"search/e1","zone":"bog-a","limit":3,"slots":4,"in_flight":2,"queued":1,"reason":"cold","active":true}],"fabric_packets":5,"relayed_packets":6,"upstream_packets":7,"caller_packets":8,"control_bytes":9,"dropped_datagrams":10,"malformed_datagrams":11,"config_bytes":12,"codes":[{"code":"PR0201","name":"shed","count":13}]}"#,
    );
}

#[test]
fn explain_reports_keep_their_json() {
    let text = |text: &str| Some(text.to_owned());
    let report = ExplainReport {
        host: "bog-a-1".to_owned(),
        zone: "bog-a".to_owned(),
        revision: 500,
        flow: "10.0.0.7:40000>10.20.0.1:443".to_owned(),
        service: text("search"),
        pool: text("search-pool"),
        bucket: 17,
        ranking: vec!["01".to_owned(), "02".to_owned()],
        home: text("search/e1"),
        choice: text("search/e2"),
        upstream_zone: Some(zone()),
        upstream_draining: true,
        primary: text("03"),
        backup: text("04"),
        upstream: Some(upstream()),
        open: RouteReport::BucketOwner { host: "01".to_owned() },
        request: RouteReport::Unknown,
    };
    check(
        &report,
        r#"{"host":"bog-a-1","zone":"bog-a","revision":500,"flow":"10.0.0.7:40000>10.20.0.1:443","service":"search","pool":"search-pool","bucket":17,"ranking":["01","02"],"home":"search/e1","choice":"search/e2","upstream_zone":{"name":"bog-a","out":true,"last_packet_ago_ms":12},"upstream_draining":true,"steward":"03","backup":"04","upstream":{"name":"search/e1","zone":"bog-a","limit":3,"slots":4,"in_flight":2,"queued":1,"reason":"cold","active":true},"open":{"to":"keeper","host":"01"},"request":{"to":"unknown"}}"#,
    );
}

#[test]
fn route_reports_keep_their_json() {
    let (upstream, host) = ("search/e1".to_owned(), "01".to_owned());
    let (code, meaning) = ("PR0201".to_owned(), "is full".to_owned());
    check(&RouteReport::Unknown, r#"{"to":"unknown"}"#);
    check(
        &RouteReport::Upstream { upstream: upstream.clone() },
        r#"{"to":"upstream","upstream":"search/e1"}"#,
    );
    check(
        &RouteReport::Primary { upstream, host: host.clone() },
        r#"{"to":"steward","upstream":"search/e1","host":"01"}"#,
    );
    check(&RouteReport::BucketOwner { host: host.clone() }, r#"{"to":"keeper","host":"01"}"#);
    check(&RouteReport::Probe { host }, r#"{"to":"ask","host":"01"}"#);
    let abandoned = RouteReport::Abandoned { code: code.clone(), meaning: meaning.clone() };
    check(&abandoned, r#"{"to":"given_up","code":"PR0201","meaning":"is full"}"#);
    check(
        &RouteReport::RetryLater { code, meaning },
        r#"{"to":"come_back","code":"PR0201","meaning":"is full"}"#,
    );
}

#[test]
fn burn_reports_keep_their_json() {
    let outcomes = [1, 2, 3, 4, 5, 6, 7];
    let service = ServiceBurn {
        service: "search".to_owned(),
        answer_within_ms: 800,
        windows: vec![WindowOutcomes { minutes: 60, known_minutes: 59, outcomes }],
        hour: vec![[1, 0, 0, 0, 0, 0, 0]],
        days: vec![[0, 0, 0, 0, 0, 0, 1]],
    };
    let report = BurnReport {
        host: "bog-a-1".to_owned(),
        zone: "bog-a".to_owned(),
        revision: 500,
        services: vec![service],
    };
    check(
        &report,
        r#"{"host":"bog-a-1","zone":"bog-a","revision":500,"services":[{"service":"search","answer_within_ms":800,"windows":[{"minutes":60,"known_minutes":59,"outcomes":[1,2,3,4,5,6,7]}],"hour":[[1,0,0,0,0,0,0]],"days":[[0,0,0,0,0,0,1]]}]}"#,
    );
}

#[test]
fn direct_reports_keep_their_json() {
    let view = DirectView {
        revision: 500,
        routes: 2,
        directory_answers: true,
        directory_ago_ms: None,
        directory_era: None,
        flows: 3,
        hosts: 4,
        zone_hosts: 2,
        shared_load: None,
        zones_out: Vec::new(),
        upstreams: Vec::new(),
    };
    let report = DirectReport {
        mode: ForwardingMode::DirectReturn,
        host: "bog-a-1".to_owned(),
        zone: "bog-a".to_owned(),
        ready: true,
        leaving: false,
        is_reader: true,
        view,
    };
    check(
        &report,
        r#"{"mode":"direct_return","host":"bog-a-1","zone":"bog-a","ready":true,"leaving":false,"reads":true,"view":{"revision":500,"routes":2,"directory_answers":true,"directory_ago_ms":null,"flows":3,"hosts":4,"near_hosts":2,"zones_out":[],"upstreams":[]}}"#,
    );
}

#[test]
fn flow_reports_keep_their_json() {
    let view = FlowView {
        revision: 500,
        service: Some("search".to_owned()),
        lives_at: None,
        known_from: Some(KnownFrom::Token),
        would_go_to: None,
        upstreams: Vec::new(),
    };
    let report = FlowReport {
        mode: ForwardingMode::DirectReturn,
        host: "bog-a-1".to_owned(),
        zone: "bog-a".to_owned(),
        view,
    };
    check(
        &report,
        r#"{"mode":"direct_return","host":"bog-a-1","zone":"bog-a","view":{"revision":500,"service":"search","lives_at":null,"known_from":"token","would_go_to":null,"upstreams":[]}}"#,
    );
}

#[test]
fn shutdown_summaries_keep_their_json() {
    let summary = ShutdownSummary {
        drained: true,
        took_ms: 1,
        requests: 2,
        requests_left: 3,
        handed_over: 4,
        not_handed_over: 5,
    };
    check_text(
        &summary,
        r#"{"drained":true,"took_ms":1,"requests":2,"requests_left":3,"handed_over":4,"not_handed_over":5}"#,
    );
}

#[test]
fn log_formats_keep_their_json() {
    check(&LogFormat::Auto, r#""auto""#);
    check(&LogFormat::Json, r#""json""#);
    check(&LogFormat::Text, r#""text""#);
}

#[test]
fn a_full_settings_file_keeps_its_fields() {
    let settings = Settings {
        host: "bog-a-1".to_owned(),
        zone: "bog-a".to_owned(),
        packets: "127.0.0.1:7000".parse().unwrap(),
        peers: "127.0.0.1:7001".parse().unwrap(),
        admin: "127.0.0.1:7002".parse().unwrap(),
        fabric: "127.0.0.1:7200".parse().unwrap(),
        config_service: "http://127.0.0.1:7300".to_owned(),
        host_list: "http://127.0.0.1:7300/v1/hosts".to_owned(),
        host_list_every_ms: 1_100,
        shutdown_ms: 9_000,
        log: LogSettings { level: "debug".to_owned(), format: LogFormat::Json },
        bounds: CoreSettings {
            probe_period_ms: Millis(251),
            suspect_timeout_ms: Millis(1_001),
            pause_threshold_ms: Millis(1_002),
            sync_timeout_ms: Millis(501),
            queue_len: 17,
            record_ack_timeout_ms: Millis(101),
            takeover_timeout_ms: Millis(301),
            snapshot_history: 9,
            max_probed_hosts: 5,
            max_probed_upstreams: 33,
            handover_flows_per_tick: 6,
            retry_after_ms: Millis(201),
            record_ttl_ms: Millis(60_001),
            max_packet_lifetime_ms: Millis(2_001),
            load_bound_percent: 116,
            retry_percent: 8,
        },
    };
    let golden = r#"{"host":"bog-a-1","zone":"bog-a","packets":"127.0.0.1:7000","peers":"127.0.0.1:7001","admin":"127.0.0.1:7002","fabric":"127.0.0.1:7200","config_service":"http://127.0.0.1:7300","host_list":"http://127.0.0.1:7300/v1/hosts","host_list_every_ms":1100,"shutdown_ms":9000,"log":{"level":"debug","format":"json"},"bounds":{"probe_period_ms":251,"suspect_ms":1001,"wake_gap_ms":1002,"settle_ms":501,"queue_len":17,"record_ack_ms":101,"take_over_ms":301,"history":9,"probe_candidates":5,"probe_upstreams":33,"hand_over_flows":6,"come_back_ms":201,"record_keep_ms":60001,"packet_life_ms":2001,"load_bound_percent":116,"retry_percent":8}}"#;
    check_text(&settings, golden);
    assert_eq!(Settings::parse("s.json", golden).unwrap(), settings);
}

#[test]
fn a_full_settings_file_of_direct_return_keeps_its_fields() {
    let golden = r#"{"host":"bog-a-1","zone":"bog-a","packets":"127.0.0.1:7000","ready":"127.0.0.1:7001","control":"127.0.0.1:7002","seeds":["127.0.0.1:7003"],"peer_ports":[7100,7199],"directory":"127.0.0.1:7004","bounds":{"announce_every_ms":500.5,"cold_over":1.5,"cold_slack":2.5,"flow_lifetime_s":3600.5,"grace_s":10.5,"memory_mb":256.5},"log":{"level":"debug","format":"text"}}"#;
    let file = DirectSettingsFile::parse("s.json", golden).unwrap();
    check(&file, golden);
    assert_eq!((file.host.as_str(), file.zone.as_str()), ("bog-a-1", "bog-a"));
    let ports = [file.packets, file.ready, file.control.unwrap(), file.seeds[0], file.directory];
    assert_eq!(ports.map(|it| it.port()), [7_000, 7_001, 7_002, 7_003, 7_004]);
    assert_eq!(file.peer_ports, [7_100, 7_199]);
    let bounds = &file.bounds;
    assert_eq!((bounds.announce_interval_ms, bounds.flow_lifetime_s), (500.5, 3_600.5));
    assert_eq!((bounds.cold_rate_factor, bounds.cold_slack, bounds.grace_s), (1.5, 2.5, 10.5));
    assert_eq!(bounds.memory_mb, 256.5);
    assert_eq!((file.log.level.as_str(), file.log.format), ("debug", LogFormat::Text));
}
