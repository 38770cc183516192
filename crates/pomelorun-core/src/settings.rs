//! Limits and timeouts of the core's decisions.

use serde::{Deserialize, Serialize};

use crate::time::Millis;

/// Limits and timeouts of the core's decisions, the `bounds` section of the settings file.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields, rename_all = "snake_case")]
pub struct CoreSettings {
    /// Interval between two membership probes of another host, milliseconds.
    pub probe_period_ms: Millis,
    /// Time without a response after which a suspected host is declared dead, milliseconds.
    #[serde(rename = "suspect_ms")]
    pub suspect_timeout_ms: Millis,
    /// Gap between two timer events from which the process counts as paused, milliseconds.
    #[serde(rename = "wake_gap_ms")]
    pub pause_threshold_ms: Millis,
    /// Maximum time that a host waits for others to confirm its membership view after it joined or
    /// resumed after a pause, milliseconds.
    #[serde(rename = "settle_ms")]
    pub sync_timeout_ms: Millis,
    /// Maximum number of requests queued for one upstream.
    pub queue_len: usize,
    /// Time to wait for the backup to acknowledge a record before the caller gets "outcome
    /// unknown", milliseconds.
    #[serde(rename = "record_ack_ms")]
    pub record_ack_timeout_ms: Millis,
    /// Time to wait for the previous primary's handover before taking over without it,
    /// milliseconds.
    #[serde(rename = "take_over_ms")]
    pub takeover_timeout_ms: Millis,
    /// Number of configuration revisions remembered to find flows opened under them.
    #[serde(rename = "history")]
    pub snapshot_history: usize,
    /// Maximum number of hosts that are probed for a flow whose upstream is unknown.
    #[serde(rename = "probe_candidates")]
    pub max_probed_hosts: usize,
    /// Maximum number of upstreams that are tried for a flow that no probed host knows.
    #[serde(rename = "probe_upstreams")]
    pub max_probed_upstreams: usize,
    /// Number of flows that a leaving host sends to their new bucket owners on one timer event.
    ///
    /// With 0, a leaving host sends none, and the new bucket owners probe it instead.
    #[serde(rename = "hand_over_flows")]
    pub handover_flows_per_tick: usize,
    /// Retry-after that callers get with an error reply, milliseconds.
    #[serde(rename = "come_back_ms")]
    pub retry_after_ms: Millis,
    /// Time that the record of a finished non-idempotent request is kept, milliseconds.
    #[serde(rename = "record_keep_ms")]
    pub record_ttl_ms: Millis,
    /// Maximum time that a packet may be delayed in the network, milliseconds.
    #[serde(rename = "packet_life_ms")]
    pub max_packet_lifetime_ms: Millis,
    /// Maximum load of one upstream for it to get a new flow, percent of the pool's mean.
    pub load_bound_percent: u32,
    /// Retry budget of a pool for requests that upstreams shed, percent of its answers.
    pub retry_percent: u32,
}

impl Default for CoreSettings {
    fn default() -> CoreSettings {
        CoreSettings {
            probe_period_ms: Millis(250),
            suspect_timeout_ms: Millis(1_000),
            pause_threshold_ms: Millis(1_000),
            sync_timeout_ms: Millis(500),
            queue_len: 16,
            record_ack_timeout_ms: Millis(100),
            takeover_timeout_ms: Millis(300),
            snapshot_history: 8,
            max_probed_hosts: 4,
            max_probed_upstreams: 32,
            handover_flows_per_tick: 0,
            retry_after_ms: Millis(200),
            record_ttl_ms: Millis(60_000),
            max_packet_lifetime_ms: Millis(2_000),
            load_bound_percent: 115,
            retry_percent: 10,
        }
    }
}
