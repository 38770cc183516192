//! Validation of an object set.

use std::net::SocketAddrV4;

use pomelorun_wire::{Code, UpstreamId};

use crate::{
    fault::{Fault, Faults},
    object::{Named, ObjectSet, Service, UpstreamPool},
};

const MAX_SLOTS: u16 = 10_000;
const MAX_DEADLINE_MS: u64 = 60_000;

/// Returns every fault of a set; a set without faults can be published.
pub fn check(set: &ObjectSet) -> Faults {
    let mut faults = Faults::default();
    if set.is_empty() {
        faults.push(Fault::new(
            Code::CONFIG_EMPTY,
            "",
            "",
            "the set contains no objects".to_owned(),
        ));
    }
    check_names(&set.zones, &mut faults);
    check_names(&set.pools, &mut faults);
    check_names(&set.services, &mut faults);
    for pool in &set.pools {
        check_pool(set, pool, &mut faults);
    }
    for service in &set.services {
        check_service(set, service, &mut faults);
    }
    check_service_addresses(set, &mut faults);
    check_endpoint_addresses(set, &mut faults);
    check_id_collisions(set, &mut faults);
    faults
}

fn fault(code: Code, path: String, message: String) -> Fault {
    Fault::new(code, "", &path, message)
}

/// Returns the paths that identify the objects of a set in faults.
pub(crate) fn object_paths(set: &ObjectSet) -> Vec<String> {
    let zones = set.zones.iter().map(object_path);
    let pools = set.pools.iter().map(object_path);
    zones.chain(pools).chain(set.services.iter().map(object_path)).collect()
}

fn object_path<T: Named>(item: &T) -> String {
    format!("{}/{}", T::KIND, item.name())
}

fn check_names<T: Named>(items: &[T], faults: &mut Faults) {
    for it in items.iter().filter(|it| it.name().is_empty()) {
        faults.push(fault(Code::CONFIG_VALUE, object_path(it), "the name is empty".to_owned()));
    }
    for pair in items.windows(2).filter(|pair| pair[0].name() == pair[1].name()) {
        let message = format!("name `{}` is used more than once", pair[0].name());
        faults.push(fault(Code::CONFIG_DUPLICATE, object_path(&pair[0]), message));
    }
}

fn check_pool(set: &ObjectSet, pool: &UpstreamPool, faults: &mut Faults) {
    let path = object_path(pool);
    let mut check_range = |field: &str, value: u64, min: u64, max: u64| {
        if value < min || value > max {
            let message = format!("{field} is {value}, expected a value from {min} to {max}");
            faults.push(fault(Code::CONFIG_VALUE, format!("{path}.{field}"), message));
        }
    };
    check_range("slots", pool.slots.into(), 1, MAX_SLOTS.into());
    check_range("cold_slots", pool.cold_slots.into(), 1, pool.slots.max(1).into());
    check_range("max_deadline_ms", pool.max_deadline_ms, 1, MAX_DEADLINE_MS);
    check_range("slow_after_ms", pool.slow_after_ms, 1, pool.max_deadline_ms.max(1));
    let mut names: Vec<&str> = pool.endpoints.iter().map(|it| it.name.as_str()).collect();
    names.sort_unstable();
    for pair in names.windows(2).filter(|pair| pair[0] == pair[1]) {
        let message = format!("endpoint name `{}` is used more than once", pair[0]);
        faults.push(fault(Code::CONFIG_DUPLICATE, format!("{path}.endpoints"), message));
    }
    let mut usable = false;
    for endpoint in &pool.endpoints {
        match set.zone(&endpoint.zone) {
            Some(zone) => usable |= !zone.withdrawn && !endpoint.draining,
            None => {
                let message = format!("availability zone `{}` does not exist", endpoint.zone);
                let path = format!("{path}.endpoints.{}.zone", endpoint.name);
                faults.push(fault(Code::CONFIG_DANGLING_REFERENCE, path, message));
            }
        }
    }
    if !usable {
        let message = "no endpoint accepts flows in a zone that is not withdrawn".to_owned();
        faults.push(fault(Code::CONFIG_NO_ENDPOINT, format!("{path}.endpoints"), message));
    }
}

fn check_service(set: &ObjectSet, service: &Service, faults: &mut Faults) {
    let path = object_path(service);
    if set.pool(&service.pool).is_none() {
        let message = format!("upstream pool `{}` does not exist", service.pool);
        faults.push(fault(Code::CONFIG_DANGLING_REFERENCE, format!("{path}.pool"), message));
    }
    let objectives = &service.objectives;
    for (field, value) in [
        ("flows_kept", objectives.flows_kept),
        ("answered_in_time", objectives.answered_in_time),
        ("not_refused", objectives.not_refused),
    ] {
        if !(value > 0.0 && value < 1.0) {
            let message =
                format!("{field} is {value}, expected a value greater than 0 and less than 1");
            let path = format!("{path}.objectives.{field}");
            faults.push(fault(Code::CONFIG_VALUE, path, message));
        }
    }
}

fn check_service_addresses(set: &ObjectSet, faults: &mut Faults) {
    let uses = set.services.iter().map(|it| (it.address, object_path(it))).collect();
    check_addresses(uses, faults);
}

fn check_endpoint_addresses(set: &ObjectSet, faults: &mut Faults) {
    let mut uses = Vec::new();
    for pool in &set.pools {
        let path = object_path(pool);
        uses.extend(pool.endpoints.iter().map(|it| (it.address, format!("{path}.{}", it.name))));
    }
    check_addresses(uses, faults);
}

fn check_addresses(mut uses: Vec<(SocketAddrV4, String)>, faults: &mut Faults) {
    uses.sort();
    for pair in uses.windows(2).filter(|pair| pair[0].0 == pair[1].0) {
        let message = format!("address {} is already used by {}", pair[1].0, pair[0].1);
        faults.push(fault(Code::CONFIG_DUPLICATE, pair[1].1.clone(), message));
    }
}

fn check_id_collisions(set: &ObjectSet, faults: &mut Faults) {
    let mut ids = Vec::new();
    for pool in &set.pools {
        for it in &pool.endpoints {
            let id = UpstreamId::from_names(&pool.name, &it.name);
            ids.push((id, format!("{}.{}", object_path(pool), it.name)));
        }
    }
    ids.sort();
    for pair in ids.windows(2).filter(|it| it[0].0 == it[1].0 && it[0].1 != it[1].1) {
        let message = format!("has the same identifier as {}", pair[0].1);
        faults.push(fault(Code::CONFIG_ID_COLLISION, pair[1].1.clone(), message));
    }
}
