//! Compilation of a valid object set into the snapshot that hosts use for routing.

use pomelorun_core::{Millis, PoolView, ServiceView, Snapshot, UpstreamView, ZoneView};
use pomelorun_wire::{ServiceAddr, UpstreamId, ZoneId};

use crate::{
    check::check,
    fault::Faults,
    object::{ObjectSet, UpstreamPool},
};

/// Number of hash buckets over which flows are distributed.
const BUCKETS: u32 = 4_096;

/// Compiles a set into the snapshot of a revision.
///
/// # Errors
/// Returns the faults that [`check`] finds.
pub fn compile(revision: u64, set: &ObjectSet) -> Result<Snapshot, Faults> {
    check(set).into_result(())?;
    let mut snapshot = Snapshot { revision, buckets: BUCKETS, ..Snapshot::default() };
    snapshot.zones = set
        .zones
        .iter()
        .map(|it| ZoneView {
            id: ZoneId::from_name(&it.name),
            name: it.name.clone(),
            withdrawn: it.withdrawn,
        })
        .collect();
    snapshot.zones.sort_by_key(|it| it.id);
    for (at, pool) in set.pools.iter().enumerate() {
        snapshot.upstreams.extend(pool_upstreams(at, pool));
        snapshot.pools.push(PoolView {
            name: pool.name.clone(),
            upstreams: Vec::new(),
            max_deadline: Millis(pool.max_deadline_ms),
            slow_after: Millis(pool.slow_after_ms),
        });
    }
    snapshot.upstreams.sort_by_key(|it| it.id);
    for (at, upstream) in snapshot.upstreams.iter().enumerate() {
        snapshot.pools[upstream.pool].upstreams.push(at);
    }
    for service in &set.services {
        let pool = set.pools.iter().position(|it| it.name == service.pool);
        let Some(pool) = pool else { continue };
        snapshot.services.push(ServiceView {
            addr: ServiceAddr {
                ip: u32::from(*service.address.ip()),
                port: service.address.port(),
            },
            name: service.name.clone(),
            pool,
            answer_within: Millis(service.objectives.answer_within_ms),
        });
    }
    snapshot.services.sort_by_key(|it| it.addr);
    Ok(snapshot)
}

fn pool_upstreams(
    pool_index: usize,
    pool: &UpstreamPool,
) -> impl Iterator<Item = UpstreamView> + '_ {
    pool.endpoints.iter().map(move |it| UpstreamView {
        id: UpstreamId::from_names(&pool.name, &it.name),
        name: format!("{}/{}", pool.name, it.name),
        pool: pool_index,
        zone: ZoneId::from_name(&it.zone),
        addr: it.address,
        slots: pool.slots,
        cold_slots: pool.cold_slots,
        draining: it.draining,
    })
}
