//! Tests that a bundle restores the complete set or is rejected.

use pomelorun_config::{
    AvailabilityZone, Bundle, BundleError, ChangeKind, Endpoint, MAX_VALUE_BYTES, Object,
    ObjectSet, Objectives, Service, UpstreamPool, compile, diff, join_chunks,
};

fn large_set(endpoints: u32) -> ObjectSet {
    let mut set = ObjectSet::default();
    set.add(Object::AvailabilityZone(AvailabilityZone {
        name: "a".to_owned(),
        region: String::new(),
        withdrawn: false,
    }));
    let mut endpoints: Vec<Endpoint> = (0..endpoints)
        .map(|at| Endpoint {
            name: format!("mesa-{at}"),
            zone: "a".to_owned(),
            address: format!("10.{}.{}.{}:6000", at >> 16, (at >> 8) & 255, at & 255)
                .parse()
                .unwrap(),
            draining: false,
        })
        .collect();
    endpoints.sort_by(|a, b| a.name.cmp(&b.name));
    set.add(Object::UpstreamPool(UpstreamPool {
        name: "mesa".to_owned(),
        slots: 2,
        cold_slots: 1,
        max_deadline_ms: 500,
        slow_after_ms: 50,
        endpoints,
    }));
    set.add(Object::Service(Service {
        name: "mesa".to_owned(),
        address: "10.20.0.1:443".parse().unwrap(),
        pool: "mesa".to_owned(),
        objectives: Objectives::default(),
    }));
    set
}

fn texts(bundle: &Bundle) -> Vec<&str> {
    bundle.chunks.iter().map(String::as_str).collect()
}

#[test]
fn twenty_thousand_endpoints_fit_the_value_limit_and_round_trip() {
    let set = large_set(20_000);
    let bundle = Bundle::new(3, &set).unwrap();
    assert!(bundle.chunks.iter().all(|it| it.len() <= MAX_VALUE_BYTES));
    let joined = join_chunks(&bundle.manifest, &texts(&bundle)).unwrap();
    assert_eq!(joined, set);
    assert_eq!(compile(3, &joined).unwrap().upstreams.len(), 20_000);
}

#[test]
fn small_change_replaces_one_chunk() {
    let before = large_set(20_000);
    let mut after = before.clone();
    after.pools[0].endpoints[77].draining = true;
    let (old, new) = (Bundle::new(1, &before).unwrap(), Bundle::new(2, &after).unwrap());
    let replaced =
        new.manifest.chunks.iter().filter(|it| !old.manifest.chunks.contains(it)).count();
    assert_eq!(replaced, 1);
    let changes = diff(&before, &after);
    assert_eq!(changes.len(), 1);
    assert_eq!(changes[0].change, ChangeKind::Changed);
    assert_eq!(changes[0].object, "UpstreamPool/mesa");
}

#[test]
fn modified_or_missing_chunk_is_rejected() {
    let bundle = Bundle::new(1, &large_set(600)).unwrap();
    for at in 0..bundle.chunks.len() {
        let mut modified = bundle.chunks.clone();
        modified[at] = modified[at].replacen("mesa", "nesa", 1);
        if modified[at] == bundle.chunks[at] {
            modified[at].push(' ');
        }
        let texts: Vec<&str> = modified.iter().map(String::as_str).collect();
        let joined = join_chunks(&bundle.manifest, &texts);
        assert!(matches!(joined, Err(BundleError::Corrupt { .. })), "chunk {at}");
    }
    let missing = join_chunks(&bundle.manifest, &texts(&bundle)[1..]);
    assert!(matches!(missing, Err(BundleError::Corrupt { .. })));
}
