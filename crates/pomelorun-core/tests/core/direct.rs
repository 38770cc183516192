//! Direct server return: tokens, registry, upstream selection, outlier detection, directory
//! synchronization and the fleet.

mod cold_owners;
mod detection_times;
mod directory_age;
mod directory_restore;
mod directory_sync;
mod entry_owners;
mod failure_scenarios;
mod fixtures;
mod fleet;
mod full_upstreams;
mod golden;
mod hard_load;
mod host;
mod introspection;
mod joining;
mod load_sharing;
mod locality;
mod mangled_messages;
mod mechanism;
mod opening_retries;
mod outliers;
mod overload;
mod placement;
mod port_reuse;
mod probing;
mod registry;
mod restarts;
mod routing;
mod simulation;
mod unknown_tokens;
mod update_log;
mod upstream_speed;
