//! Admission of upstreams that join the candidates for new flows.
//!
//! Hosts spread new flows by how many they have opened recently at each upstream. An upstream that
//! joins, because it was added, is no longer cold, responds again or is in a restored zone, has few
//! of them. Every host would open its next flows there until the counts are level, all at the same
//! time. A joining upstream is therefore credited with the flows that another one has got.

use smallvec::SmallVec;

use crate::time::Millis;

/// A candidate for a new flow.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) struct Contender {
    /// When the upstream was last a candidate for a flow through this host.
    pub(crate) last_candidate: Option<Millis>,
    /// `true` if the upstream is in this host's zone.
    pub(crate) same_zone: bool,
    /// Recently opened flows per slot.
    pub(crate) opens_per_slot: f64,
}

/// Positions of the joining candidates, each with the recently opened flows per slot that it is
/// credited with.
pub(crate) type Credits = SmallVec<[(usize, f64); 8]>;

/// Returns the credits of the candidates that were not candidates for the previous flow.
///
/// Each gets the count of one of the others, which differs from host to host: with equal credits,
/// all hosts would open their next flow there at about the same time. The other one is in the same
/// zone if possible, because hosts prefer their own zone. `salt` returns a hash of this host and the
/// contender at a position.
pub(crate) fn credit_joining(contenders: &[Contender], salt: &dyn Fn(usize) -> u64) -> Credits {
    let previous_flow = contenders.iter().filter_map(|it| it.last_candidate).max();
    let is_joining = |it: &Contender| it.last_candidate != previous_flow;
    let joining = contenders.iter().enumerate().filter(|it| is_joining(it.1));
    let credited = joining.filter_map(|(at, it)| {
        let others = || contenders.iter().filter(|it| !is_joining(it));
        let near = || others().filter(|other| other.same_zone == it.same_zone);
        let credit = pick(near(), salt(at)).or_else(|| pick(others(), salt(at)))?;
        (credit > it.opens_per_slot).then_some((at, credit))
    });
    credited.collect()
}

fn pick<'a>(contenders: impl Iterator<Item = &'a Contender> + Clone, salt: u64) -> Option<f64> {
    let count = contenders.clone().count() as u64;
    let at = salt.checked_rem(count)?;
    contenders.map(|it| it.opens_per_slot).nth(at as usize)
}
