//! Bounds of the core's decisions.

use serde::{Deserialize, Serialize};

use crate::time::Millis;

/// Bounds of the core's decisions, part of the settings file.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields, rename_all = "snake_case")]
pub struct CoreSettings {
    /// Time between two probes of another host, milliseconds.
    pub probe_period_ms: Millis,
    /// Time without an answer after which a suspected host is believed dead, milliseconds.
    pub suspect_ms: Millis,
    /// Gap between two timer events after which the process counts as having slept, milliseconds.
    pub wake_gap_ms: Millis,
    /// Longest time that a host which joined or slept waits for others to confirm its view of them,
    /// milliseconds.
    pub settle_ms: Millis,
    /// Requests that may wait for one upstream.
    pub queue_len: usize,
    /// Time to wait for the replica of a record before the request is refused, milliseconds.
    pub record_ack_ms: Millis,
    /// Time to wait for the steward before this one to hand over, milliseconds.
    pub take_over_ms: Millis,
    /// Configurations that are remembered to find flows opened under them.
    pub history: usize,
    /// Hosts that are asked for a flow whose home is not known.
    pub probe_candidates: usize,
    /// Upstreams that are tried for a flow that no host asked knows.
    pub probe_upstreams: usize,
    /// Flows that a leaving host tells new bucket owners of on one timer event, 0 for none: they ask
    /// it.
    pub hand_over_flows: usize,
    /// Time that the caller is told to wait before it comes back after a fault, milliseconds.
    pub come_back_ms: Millis,
    /// Time that a record of a finished non-idempotent request is kept, milliseconds.
    pub record_keep_ms: Millis,
    /// Longest time that a packet may be delayed on its way, milliseconds.
    pub packet_life_ms: Millis,
    /// Bound on the load of one upstream for a new flow, percent of the mean.
    pub load_bound_percent: u32,
    /// Retries of shed requests that a pool is given, percent of its answers.
    pub retry_percent: u32,
}

impl Default for CoreSettings {
    fn default() -> CoreSettings {
        CoreSettings {
            probe_period_ms: Millis(250),
            suspect_ms: Millis(1_000),
            wake_gap_ms: Millis(1_000),
            settle_ms: Millis(500),
            queue_len: 16,
            record_ack_ms: Millis(100),
            take_over_ms: Millis(300),
            history: 8,
            probe_candidates: 4,
            probe_upstreams: 32,
            hand_over_flows: 0,
            come_back_ms: Millis(200),
            record_keep_ms: Millis(60_000),
            packet_life_ms: Millis(2_000),
            load_bound_percent: 115,
            retry_percent: 10,
        }
    }
}
