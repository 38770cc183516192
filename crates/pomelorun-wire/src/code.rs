//! Numbered result codes, from `PR0001`; `docs/CODES.md` lists the same table.

use std::fmt;

/// A numbered result code.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Code(pub u16);

/// A row of the code table.
#[derive(Debug, Clone, Copy)]
pub struct CodeRow {
    /// The numbered code.
    pub code: Code,
    /// Short name, used as a metric label.
    pub name: &'static str,
    /// What the code means.
    pub meaning: &'static str,
    /// What the operator or the caller can do, or `none`.
    pub action: &'static str,
}

impl fmt::Display for Code {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "PR{:04}", self.0)
    }
}

macro_rules! codes {
    ($($(#[$doc:meta])* $name:ident = $number:literal, $label:literal, $meaning:literal, $action:literal;)*) => {
        impl Code {
            $($(#[$doc])* #[doc = $meaning] pub const $name: Code = Code($number);)*

            /// All codes, in ascending order.
            pub const TABLE: &'static [CodeRow] = &[
                $(CodeRow { code: Code($number), name: $label, meaning: $meaning, action: $action },)*
            ];

            /// Returns the table row of the code, or `None` if the code is unknown.
            pub fn row(self) -> Option<&'static CodeRow> {
                let at = Code::TABLE.binary_search_by_key(&self, |row| row.code).ok()?;
                Some(&Code::TABLE[at])
            }
        }
    };
}

codes! {
    // Configuration.
    CONFIG_READ = 1, "config_read", "a file cannot be read", "check the path and its permissions";
    CONFIG_JSON = 2, "config_json", "a file is not JSON of the expected structure", "correct the file at the reported location";
    CONFIG_UNKNOWN_FIELD = 3, "config_unknown_field", "an object has an unknown field", "use the suggested name or remove the field";
    CONFIG_TOO_LARGE = 4, "config_too_large", "a file or value exceeds the size limit", "split the file or the object into smaller ones";
    CONFIG_EMPTY = 5, "config_empty", "the directory contains no objects", "pass the directory that contains the deployment";
    CONFIG_DANGLING_REFERENCE = 6, "config_dangling", "an object refers to an object that does not exist", "create the object or correct the reference";
    CONFIG_DUPLICATE = 7, "config_duplicate", "a name or address is used twice", "change one of the two";
    CONFIG_VALUE = 8, "config_value", "a value is out of range", "choose a value in the reported range";
    CONFIG_NO_ENDPOINT = 9, "config_no_endpoint", "a pool has no endpoint that accepts flows in a zone that is not withdrawn", "add an endpoint or restore a zone";
    CONFIG_ID_COLLISION = 10, "config_id_collision", "two endpoint names hash to the same identifier", "rename one of the endpoints";
    CONFIG_CORRUPT = 11, "config_corrupt", "a chunk does not match its hash in the manifest", "publish again; the active revision is unchanged";
    CONFIG_CONFLICT = 12, "config_conflict", "one revision was published with two different contents", "publish a new, higher revision";
    CONFIG_REGRESSION = 13, "config_regression", "a revision older than the active one was offered", "none: the older revision is ignored";
    SETTINGS_INVALID = 20, "settings", "the settings file has faults", "correct each listed fault";
    // Packets.
    PACKET_MALFORMED = 100, "packet_malformed", "a datagram is not a valid packet", "none: the datagram is dropped";
    SERVICE_UNKNOWN = 101, "service_unknown", "no service has this address", "check the caller's destination or publish the service";
    HOP_LIMIT_REACHED = 102, "hops_spent", "the hop limit was reached because hosts disagree on the owner of the flow's bucket", "none: the caller receives a retry-after";
    FLOW_UNKNOWN = 103, "flow_unknown", "no host knows the flow", "open the flow again";
    NOT_READY = 104, "not_ready", "the host has no active configuration yet", "none: the caller receives a retry-after";
    // Requests.
    NO_UPSTREAM = 200, "no_upstream", "no upstream of the pool is reachable", "check the zones and the pool";
    BUSY = 201, "busy", "no slot of the upstream becomes free before the request's deadline", "retry after the returned delay";
    UPSTREAM_SHED = 202, "upstream_shed", "the upstream shed the request", "retry after the returned delay";
    LEAVING = 203, "leaving", "the host or the upstream is shutting down", "retry after the returned delay";
    TIMED_OUT = 204, "timed_out", "the upstream did not answer before the deadline", "check whether the request ran before repeating it";
    NOT_RECORDED = 205, "not_recorded", "the record of a non-idempotent request could not be replicated", "retry after the returned delay";
    OUTCOME_UNKNOWN = 206, "outcome_unknown", "a new primary cannot tell whether the request ran", "check whether the request ran before repeating it";
    IN_PROGRESS = 207, "in_progress", "the request is already in progress", "wait for its answer";
    FLOW_ZONE_WITHDRAWN = 208, "zone_out", "the flow's availability zone is withdrawn", "open a new flow";
    FLOW_ZONE_UNREACHABLE = 209, "zone_cut", "the flow's availability zone is unreachable from this host", "retry after the returned delay";
    CANCELLED = 210, "cancelled", "the caller cancelled the request", "none";
    ANSWER_UNEXPECTED = 211, "answer_unexpected", "an answer that matches no request in progress was dropped", "none";
    PRIMARY_CHANGING = 212, "steward_changing", "another host is taking over the upstream", "retry after the returned delay";
    ALREADY_REFUSED = 213, "refused_before", "an earlier copy of the request was refused and has not run", "retry under a new request number";
    RETRIED = 220, "retried", "the upstream shed the request, which is sent again", "none";
    // Membership.
    HOST_SUSPECT = 300, "host_suspect", "a host does not answer probes", "check the host if it remains suspect";
    HOST_DEAD = 301, "host_dead", "a host is considered dead", "replace the host";
    PROCESS_PAUSED = 302, "woke_late", "the process resumed after a pause and rechecks its view of the other hosts", "check for an overloaded or suspended machine";
    CONFIG_STALE = 303, "config_stale", "the configuration service or the directory does not respond", "check that service; the last revision stays active";
    VIEW_NOT_SYNCED = 304, "view_unchecked", "the host has joined or resumed after a pause and is still synchronizing its view of the other hosts", "none: the caller receives a retry-after";
    DIRECTORY_RECOVERED = 305, "directory_regained", "the directory responds again", "none";
    HOSTS_CHANGED = 306, "hosts_changed", "another host was discovered, was lost or is leaving", "check the host if the change was not intended";
    FEED_FOLLOWED = 307, "following", "the host follows another host's feed of directory updates", "none";
    FEED_LOST = 308, "unfollowed", "the feed of directory updates from another host ended: that host went silent, lost the directory or stopped reading it", "none: another host or the directory is queried";
    DIRECTORY_RESTORED = 309, "directory_restored", "the directory was restored from an older copy; until it has settled, listings only add to what the host knows", "see the section on a restored directory in docs/OPERATIONS.md";
    DIRECTORY_RESPONSE_OBSOLETE = 310, "directory_obsolete", "a response of the directory from before it was restored was dropped", "none: the directory is queried again";
    DIRECTORY_RESPONSE_INCOMPLETE = 311, "directory_incomplete", "a response of the directory was too long to be received in time", "none: the directory is listed instead; if it recurs, look at the host's link and at what is written to the directory";
    // Direct return.
    FLOW_OPENED = 400, "flow_opened", "the opening packet of a flow was sent to an upstream", "none";
    ENTRY_UNREADABLE = 401, "entry_unreadable", "a directory entry cannot be used", "find the process that wrote the entry; the upstream that it names receives no flows";
    FLOW_COPIED = 402, "flow_copied", "a copy of an opening packet was sent to another upstream", "check the upstream that did not answer the first packet";
    FLOW_RESET_UNREACHABLE = 403, "flow_reset_unreachable", "a flow was reset because its upstream does not respond", "check the upstream and the network path to it";
    FLOW_RESET_ENDED = 404, "flow_reset_ended", "a flow was reset because its upstream has terminated", "none: the caller opens a new flow";
    FLOW_RESET_NO_ROUTE = 405, "flow_reset_no_route", "a flow was reset because no route exists for its destination address", "publish the route or correct the caller";
    PACKET_NO_ROUTE = 406, "packet_no_route", "a packet was dropped: no route is known and the revision may be outdated", "check the directory; the caller retransmits the packet";
    PACKET_NO_UPSTREAM = 407, "packet_no_upstream", "an opening packet was dropped: no upstream of the service can accept it", "check the service's upstreams; the caller retransmits the packet";
    PACKET_UNKNOWN_TOKEN = 408, "packet_unknown_token", "a packet was dropped: no known upstream has its affinity token", "none if its upstream terminated long ago; the caller times out";
    FLOW_RESET_NO_UPSTREAM = 409, "flow_reset_no_upstream", "an opening packet was refused: no upstream of the service responds, or none is left", "check the service's upstreams and the network paths to them";
    UPSTREAM_SUSPECTED = 410, "upstream_suspected", "a caller retransmits a packet, or the answer to its opening packet is overdue; the upstream is probed", "none unless it recurs";
    UPSTREAM_UNREACHABLE = 411, "upstream_unreachable", "an upstream responds neither to callers nor to a probe; its flows are reset", "check the upstream and the network path to it";
    UPSTREAM_RECOVERED = 412, "upstream_answers", "an unreachable upstream responds again", "none";
    LOCAL_FAULT = 413, "own_fault", "an upstream is not marked unreachable because most of the host's zone does not respond either", "check the host's network link and CPU load";
    UPSTREAM_ANNOUNCED = 414, "upstream_announced", "an upstream is announced for the first time", "none";
    UPSTREAM_CHANGED = 415, "upstream_changed", "an upstream's announcement changed or was renewed after it lapsed", "none";
    UPSTREAM_DRAINING = 416, "upstream_draining", "an upstream is draining and receives no new flows", "none";
    UPSTREAM_LAPSED = 417, "upstream_lapsed", "an upstream is no longer announced", "check the upstream if it was not meant to leave";
    UPSTREAM_ENDED = 418, "upstream_ended", "an upstream has terminated: its identifier or address belongs to a newer instance", "none";
    UPSTREAM_REMOVED = 419, "upstream_forgotten", "an upstream was removed: it lapsed so long ago that none of its flows can be open", "none";
    REVISION_ACTIVATED = 420, "revision", "a configuration revision became active", "none";
    ZONE_WITHDRAWN = 421, "zone_taken_out", "a zone was withdrawn and receives no new flows", "none";
    ZONE_RESTORED = 422, "zone_taken_back", "a withdrawn zone was restored", "none";
    UPSTREAM_EJECTED = 423, "upstream_ejected", "an upstream was ejected: it fails more requests than the others of its service; new flows avoid it temporarily", "check the upstream";
    FLOW_RESET_REPORTED_ENDED = 424, "flow_reset_gone", "a flow was reset because another host reported that the upstream of its token has terminated", "none: the upstream no longer exists";
    UPSTREAM_ADOPTED = 425, "upstream_adopted", "another host identified the upstream of an unknown token; its flows continue there", "none";
    LOG_LINES_SUPPRESSED = 427, "lines_left_out", "log lines for flows that opened normally or for malformed packets were suppressed", "none: the counters include them all";
    OUTCOMES_LATE = 428, "minute_late", "the outcomes of a minute were not collected in time and count towards the next one", "check the host's CPU load";
    FLOW_RETRIED = 429, "flow_retried", "an opening packet was sent to another upstream because the answer was overdue", "check the upstream that did not answer the first packet";
    STARTED = 430, "started", "the daemon has started", "none";
    SHUTTING_DOWN = 431, "leaving_host", "the daemon is shutting down: it refuses new flows and keeps forwarding packets", "none";
    STOPPED = 432, "stopped", "the daemon has stopped", "none";
    RELOADED = 433, "reloaded", "the settings file was reloaded", "restart the daemon if the log line asks for it";
    FLOW_RESET_OVERLOADED = 434, "flow_reset_overloaded", "an opening packet was refused: no upstream of the service has room for another request of its priority", "add upstreams, or reduce the demand of the less urgent routes";
    LOAD_NOT_BELIEVED = 435, "load_not_believed", "another host sent a message about load that cannot be true; it was ignored", "look at the host that the line names";
    PEER_MESSAGE_UNREADABLE = 436, "peer_message_unreadable", "a datagram of another host cannot be decoded; it was ignored", "none during an upgrade; otherwise look at the host that the line names";
    ROOM_SHORT = 437, "room_short", "the upstreams of a service have too little room; less urgent flows are admitted at a limited rate", "add upstreams, or reduce the demand of the less urgent routes";
    ROOM_REGAINED = 438, "room_regained", "the upstreams of a service have room again, or no recent picture of their load exists", "none";
    UPSTREAM_KEPT = 439, "upstream_kept", "an upstream was kept although its probe timed out or was reset: load alone may explain that", "check whether the upstream is overloaded";
    UPSTREAM_KEPT_BY_PEER = 440, "upstream_kept_by_peer", "another host of the zone has had a response from an upstream whose probe timed out, which is therefore kept", "check whether the upstream is overloaded";
    UPSTREAM_RESTARTED = 441, "upstream_restarted", "an upstream responds again after its process ended, or may have ended while the directory could not tell; it counts as cold", "check why the upstream ended";
}
