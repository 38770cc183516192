//! Direct return: tokens, registry, placement, detection, sourcing and the fleet.

mod explaining;
mod fleet;
mod golden;
mod host;
mod kit;
mod outliers;
mod play;
mod registry;
mod routing;
mod sourcing;
mod strays;
mod world;
