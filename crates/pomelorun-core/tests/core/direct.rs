//! Direct server return: tokens, registry, upstream selection, outlier detection, directory
//! synchronization and the fleet.

mod directory_restore;
mod directory_sync;
mod failure_scenarios;
mod fixtures;
mod fleet;
mod golden;
mod hard_load;
mod host;
mod introspection;
mod joining;
mod locality;
mod mechanism;
mod opening_retries;
mod outliers;
mod probing;
mod registry;
mod routing;
mod simulation;
mod unknown_tokens;
mod update_log;
