//! What a probe of an upstream shows.

use crate::time::Millis;

/// Time that a probe takes only on a host that was stalled.
const STALLED_PROBE: Millis = Millis(250);

/// Kind of a probe.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ProbeKind {
    /// Opens a connection and closes it.
    Connect,
    /// Requests the identifier of the process at the address.
    Identify,
}

/// Result of a probe.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ProbeResult {
    /// The upstream responded, or at least a process at its address did.
    Answered,
    /// No response in time.
    NoResponse,
    /// The address responded, but no process listens there.
    Refused,
    /// A process listens at the address and reset the connection, as one at its limit of connections does.
    Reset,
    /// Another upstream responded at the address, so the probed one has ended.
    OtherUpstream,
    /// The probe shows nothing about the upstream.
    Inconclusive,
}

/// Result of an attempt to connect.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ConnectAttempt {
    /// The connection was accepted.
    Accepted,
    /// The address responded, but no process listens there.
    Refused,
    /// A process listens there and reset the connection.
    Reset,
    /// The attempt timed out, or the network or host is unreachable.
    NoResponse,
    /// The attempt failed on this host, for example for lack of file descriptors.
    LocalError,
}

/// Returns what two attempts to connect to an upstream show, compared with an attempt to connect to a
/// reference upstream in the same time.
///
/// The reference tells a fault of the upstream from one of this host's own link. There are two
/// attempts because a full link drops single packets.
pub fn conclude_attempts(
    attempts: [ConnectAttempt; 2],
    reference: Option<ConnectAttempt>,
) -> ProbeResult {
    if attempts.contains(&ConnectAttempt::Accepted) {
        return ProbeResult::Answered;
    }
    if attempts.contains(&ConnectAttempt::Refused) {
        return ProbeResult::NoResponse;
    }
    if attempts.contains(&ConnectAttempt::Reset) {
        return ProbeResult::Reset;
    }
    if attempts.contains(&ConnectAttempt::LocalError) {
        return ProbeResult::Inconclusive;
    }
    match reference {
        None | Some(ConnectAttempt::Accepted | ConnectAttempt::Refused | ConnectAttempt::Reset) => {
            ProbeResult::NoResponse
        }
        Some(ConnectAttempt::NoResponse | ConnectAttempt::LocalError) => ProbeResult::Inconclusive,
    }
}

/// Returns what a probe that connects shows, from its attempts and from the time that it took.
///
/// A refusal is told from silence, which a full upstream can cause. The attempts of a host that was
/// stalled show nothing: their responses may have waited at the host itself.
pub fn conclude_connect(
    attempts: [ConnectAttempt; 2],
    reference: Option<ConnectAttempt>,
    took: Millis,
) -> ProbeResult {
    let refused = attempts.contains(&ConnectAttempt::Refused);
    match conclude_attempts(attempts, reference) {
        ProbeResult::NoResponse if refused => ProbeResult::Refused,
        ProbeResult::NoResponse if took >= STALLED_PROBE => ProbeResult::Inconclusive,
        it => it,
    }
}
