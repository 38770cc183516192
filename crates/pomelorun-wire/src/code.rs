//! Numbered result codes, `PR0001` and up, as in `docs/CODES.md`.

use std::fmt;

/// A numbered result code.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Code(pub u16);

/// One row of the table of codes.
#[derive(Debug, Clone, Copy)]
pub struct CodeRow {
    /// The number.
    pub code: Code,
    /// Short name, as a metric label.
    pub name: &'static str,
    /// What it means.
    pub meaning: &'static str,
    /// What the reader may do.
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

            /// All codes in ascending order.
            pub const TABLE: &'static [CodeRow] = &[
                $(CodeRow { code: Code($number), name: $label, meaning: $meaning, action: $action },)*
            ];

            /// Finds the row of a code.
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
    CONFIG_JSON = 2, "config_json", "a file is not JSON of the expected shape", "mend the file at the place named";
    CONFIG_UNKNOWN_FIELD = 3, "config_unknown_field", "a field is not known", "use the suggested name or remove the field";
    CONFIG_TOO_LARGE = 4, "config_too_large", "a file or value is over the size limit", "split the object into several files";
    CONFIG_EMPTY = 5, "config_empty", "the directory holds no objects", "name the directory that holds the deployment";
    CONFIG_DANGLING_REFERENCE = 6, "config_dangling", "an object refers to one that does not exist", "create the object or mend the reference";
    CONFIG_DUPLICATE = 7, "config_duplicate", "a name or address is used twice", "rename one of the two";
    CONFIG_VALUE = 8, "config_value", "a value is out of its range", "choose a value in the range named";
    CONFIG_NO_ENDPOINT = 9, "config_no_endpoint", "a pool has no endpoint in any zone that is in", "add an endpoint or bring a zone back";
    CONFIG_ID_COLLISION = 10, "config_id_collision", "two endpoint names hash to one identifier", "rename one endpoint";
    CONFIG_CORRUPT = 11, "config_corrupt", "a chunk does not match the hash in its manifest", "publish again; nothing was put in force";
    CONFIG_CONFLICT = 12, "config_conflict", "one revision was published with two contents", "publish a new, higher revision";
    CONFIG_REGRESSION = 13, "config_regression", "a revision older than the one in force was offered", "none: it is ignored";
    SETTINGS = 20, "settings", "the settings file has faults", "mend each fault listed";
    // Packets.
    PACKET_MALFORMED = 100, "packet_malformed", "a datagram is not a packet", "none: it is dropped";
    SERVICE_UNKNOWN = 101, "service_unknown", "no service has this address", "check the caller's address or publish the service";
    HOP_LIMIT_REACHED = 102, "hops_spent", "hosts disagree on who owns a flow", "none: the caller is told to come back";
    FLOW_UNKNOWN = 103, "flow_unknown", "no host knows the flow", "open the flow again";
    NOT_READY = 104, "not_ready", "the host has no configuration in force yet", "none: the caller is told to come back";
    // Requests.
    NO_UPSTREAM = 200, "no_upstream", "no upstream of the pool can be reached", "check zones and pool";
    BUSY = 201, "busy", "the upstream has no slot that frees in time", "come back after the time given";
    UPSTREAM_SHED = 202, "upstream_shed", "the upstream shed the request", "come back after the time given";
    LEAVING = 203, "leaving", "the host or the upstream is leaving", "come back after the time given";
    TIMED_OUT = 204, "timed_out", "the upstream did not answer by the deadline", "ask whether it ran before repeating it";
    NOT_RECORDED = 205, "not_recorded", "the record of a non-idempotent request could not be replicated", "come back after the time given";
    OUTCOME_UNKNOWN = 206, "outcome_unknown", "a new steward cannot tell whether the request ran", "ask whether it ran before repeating it";
    IN_PROGRESS = 207, "in_progress", "the request is already in progress", "wait for its answer";
    FLOW_ZONE_WITHDRAWN = 208, "zone_out", "the flow's availability zone was taken out", "open a new flow";
    FLOW_ZONE_UNREACHABLE = 209, "zone_cut", "the flow's availability zone cannot be reached from here", "come back after the time given";
    CANCELLED = 210, "cancelled", "the caller gave the request up", "none";
    ANSWER_UNEXPECTED = 211, "answer_unexpected", "an answer to no request in progress was dropped", "none";
    PRIMARY_CHANGING = 212, "steward_changing", "the upstream is being taken over by another host", "come back after the time given";
    ALREADY_REFUSED = 213, "refused_before", "an earlier copy of the request was refused and has not run", "come back under a new number";
    RETRIED = 220, "retried", "the upstream shed the request, which is sent again", "none";
    // Membership.
    HOST_SUSPECT = 300, "host_suspect", "a host does not answer probes", "look at the host if it stays so";
    HOST_DEAD = 301, "host_dead", "a host is believed dead", "replace the host";
    PROCESS_PAUSED = 302, "woke_late", "the process slept and checks its views before it acts", "look for an overloaded or frozen machine";
    CONFIG_STALE = 303, "config_stale", "the config service does not answer", "look at the service; the last revision stays in force";
    VIEW_NOT_SYNCED = 304, "view_unchecked", "the host has joined or slept and checks its view of the others", "none: the caller is told to come back";
    DIRECTORY_RECOVERED = 305, "directory_regained", "the directory answers again", "none";
    HOSTS_CHANGED = 306, "hosts_changed", "another host was found, lost or is leaving", "look at the host if it was not meant";
    FEED_FOLLOWED = 307, "following", "what is published is learned from another host", "none";
    FEED_LOST = 308, "unfollowed", "the host that was followed fell silent, lost the directory or stopped reading", "none: another host or the directory is asked";
    // Direct return.
    FLOW_OPENED = 400, "flow_opened", "the opening packet of a flow was sent to an upstream", "none";
    ENTRY_UNREADABLE = 401, "entry_unreadable", "an entry of the directory cannot be used", "look for who wrote it; the upstream it names gets no flow";
    FLOW_COPIED = 402, "flow_copied", "a copy of an opening packet was sent to another upstream", "look at the upstream that did not answer the first one";
    FLOW_RESET_UNREACHABLE = 403, "flow_reset_unreachable", "a flow was reset since its upstream does not answer", "look at the upstream and the way to it";
    FLOW_RESET_ENDED = 404, "flow_reset_ended", "a flow was reset since its upstream has ended", "none: the caller opens a new flow";
    FLOW_RESET_NO_ROUTE = 405, "flow_reset_no_route", "no route leads from the address that a caller opened a flow to", "publish the route or mend the caller";
    PACKET_NO_ROUTE = 406, "packet_no_route", "a packet was dropped: no route is known and the revision may be old", "look at the directory; the caller repeats the packet";
    PACKET_NO_UPSTREAM = 407, "packet_no_upstream", "an opening packet was dropped: no upstream of the service can take it", "look at the service's upstreams; the caller repeats the packet";
    PACKET_UNKNOWN_TOKEN = 408, "packet_unknown_token", "a packet was dropped: no upstream has the token that it carries", "none if its upstream is long gone; the caller gives up at its time limit";
    FLOW_RESET_NO_UPSTREAM = 409, "flow_reset_no_upstream", "an opening packet was refused: no upstream of the service answers, or none is left", "look at the service's upstreams and the ways to them";
    UPSTREAM_SUSPECTED = 410, "upstream_suspected", "a caller repeats a packet in vain; the upstream is probed", "none unless it recurs";
    UPSTREAM_UNREACHABLE = 411, "upstream_unreachable", "an upstream does not answer callers nor a probe; its flows are reset", "look at the upstream and the way to it";
    UPSTREAM_RECOVERED = 412, "upstream_answers", "an unreachable upstream answers again", "none";
    LOCAL_FAULT = 413, "own_fault", "an upstream is kept since most of the host's zone looks silent", "look at the host's link and processor";
    UPSTREAM_ANNOUNCED = 414, "upstream_announced", "an upstream is announced for the first time", "none";
    UPSTREAM_CHANGED = 415, "upstream_changed", "an upstream says something else or is announced again", "none";
    UPSTREAM_DRAINING = 416, "upstream_draining", "an upstream leaves and gets no new flow", "none";
    UPSTREAM_LAPSED = 417, "upstream_lapsed", "an upstream is no longer announced", "look at it if it was not meant to leave";
    UPSTREAM_ENDED = 418, "upstream_ended", "an upstream has ended: its identifier or address has a later owner", "none";
    UPSTREAM_FORGOTTEN = 419, "upstream_forgotten", "an upstream lapsed so long ago that no flow of it can live", "none";
    REVISION = 420, "revision", "a revision of the configuration is in force", "none";
    ZONE_WITHDRAWN = 421, "zone_taken_out", "nothing new goes to a zone", "none";
    ZONE_RESTORED = 422, "zone_taken_back", "a zone is used again", "none";
    UPSTREAM_EJECTED = 423, "upstream_ejected", "an upstream fails more requests than others of its service; new flows go elsewhere for a time", "look at the upstream";
    FLOW_RESET_REPORTED_ENDED = 424, "flow_reset_gone", "a flow was reset: another host knows that the upstream that its token names has ended", "none: its upstream is gone";
    UPSTREAM_ADOPTED = 425, "upstream_adopted", "another host knew the upstream of a token; flows go on there", "none";
    LOG_LINES_SUPPRESSED = 427, "lines_left_out", "lines for flows that opened as they should, or for malformed packets, were not written", "none: counters have them all";
    OUTCOMES_LATE = 428, "minute_late", "the outcomes of a minute were not taken in time and count to the next one", "the host is busy: look at its processor";
    STARTED = 430, "started", "the daemon has started", "none";
    SHUTTING_DOWN = 431, "leaving_host", "the daemon was asked to stop, refuses new flows and forwards on", "none";
    STOPPED = 432, "stopped", "the daemon has stopped", "none";
    RELOADED = 433, "reloaded", "the settings file was read again", "restart the daemon if the line says so";
}
