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
    CONFIG_DANGLING = 6, "config_dangling", "an object refers to one that does not exist", "create the object or mend the reference";
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
    HOPS_SPENT = 102, "hops_spent", "hosts disagree on who owns a flow", "none: the caller is told to come back";
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
    ZONE_OUT = 208, "zone_out", "the flow's availability zone was taken out", "open a new flow";
    ZONE_CUT = 209, "zone_cut", "the flow's availability zone cannot be reached from here", "come back after the time given";
    CANCELLED = 210, "cancelled", "the caller gave the request up", "none";
    ANSWER_UNEXPECTED = 211, "answer_unexpected", "an answer to no request in progress was dropped", "none";
    STEWARD_CHANGING = 212, "steward_changing", "the upstream is being taken over by another host", "come back after the time given";
    REFUSED_BEFORE = 213, "refused_before", "an earlier copy of the request was refused and has not run", "come back under a new number";
    RETRIED = 220, "retried", "the upstream shed the request, which is sent again", "none";
    // Membership.
    HOST_SUSPECT = 300, "host_suspect", "a host does not answer probes", "look at the host if it stays so";
    HOST_DEAD = 301, "host_dead", "a host is believed dead", "replace the host";
    WOKE_LATE = 302, "woke_late", "the process slept and checks its views before it acts", "look for an overloaded or frozen machine";
    CONFIG_STALE = 303, "config_stale", "the config service does not answer", "look at the service; the last revision stays in force";
    VIEW_UNCHECKED = 304, "view_unchecked", "the host has joined or slept and checks its view of the others", "none: the caller is told to come back";
}
