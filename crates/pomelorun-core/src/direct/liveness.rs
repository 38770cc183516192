//! Whether upstreams answer, from what callers' packets show.
//!
//! A caller that goes on in a flow has been answered: a sign of life. A caller that sends a packet
//! again has not been: evidence, which counts only if it was first sent after the last sign of life.
//! Evidence alone is never enough, since packets are lost and answers are slow. It makes the
//! upstream a suspect, which gets no new flow, and calls for a probe. Only a suspect whose probe
//! fails too is held unreachable. That says nothing about other places: the path may be cut and the
//! upstream alive.
//!
//! The first probe only connects, which a busy upstream answers as fast as an idle one. A connection
//! does not show who accepted it: an upstream that connects and still leaves callers waiting, and
//! one that was unreachable, is asked for its identifier.

use pomelorun_wire::FlowKey;
use smallvec::SmallVec;

use crate::time::Millis;

/// Least time between a packet and its copy for the copy to be evidence. Callers repeat after 200 ms;
/// a shorter gap means that packets waited somewhere and came together.
pub(crate) const COPY_GAP: Millis = Millis(150);
/// Flows of which evidence is kept.
const KEPT: usize = 4;
/// Age at which evidence no longer counts: the longest time between two copies of a packet.
const STALE: Millis = Millis(2_000);
/// Time after which an unreachable upstream is probed again, doubled each time.
const TRIAL_FIRST: Millis = Millis(500);
/// Least time between two probes while callers have no other upstream.
const TRIAL_WANTED: Millis = Millis(300);
/// Longest time between two trials.
const TRIAL_MOST: Millis = Millis(4_000);

/// A packet without an answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Evidence {
    /// Its flow.
    pub flow: FlowKey,
    /// When it was sent on first.
    pub sent: Millis,
}

/// What a probe does.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ProbeKind {
    /// Opens a connection and closes it.
    Connect,
    /// Asks who answers at the address.
    Identify,
}

/// What a probe found.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ProbeFound {
    /// The upstream, or at least a process at its address.
    Answered,
    /// Nobody, in time or at all.
    Nobody,
    /// Another upstream: the one that had the address has ended.
    Another,
    /// Nothing either way.
    Unclear,
}

/// What is believed of an upstream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Standing {
    /// It answers, or nothing says otherwise.
    Answering,
    /// Packets wait for an answer; new flows go elsewhere.
    Suspect,
    /// It does not answer; its flows are given up.
    Unreachable {
        /// Since when.
        since: Millis,
    },
}

/// What the packets of one upstream have shown.
#[derive(Debug, Clone, Default)]
pub struct Liveness {
    answered: Millis,
    evidence: SmallVec<[Evidence; KEPT]>,
    unreachable: Option<Trials>,
    /// A probe is on its way.
    probing: bool,
    /// Since when the whole zone looks silent, so that a failed probe is enough.
    doubted: Option<Millis>,
    /// The last connection that was accepted, until a caller is answered.
    accepted: Option<Millis>,
}

/// What follows from a probe.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Probed {
    /// Nothing new.
    Nothing,
    /// The upstream was unreachable and is no longer.
    AnswersAgain,
    /// The upstream is to be held unreachable.
    Unreachable,
    /// The upstream has ended.
    Ended,
}

#[derive(Debug, Clone, Copy)]
struct Trials {
    since: Millis,
    last: Millis,
    next: Millis,
    gap: Millis,
}

impl Liveness {
    /// What is believed now.
    pub fn standing(&self) -> Standing {
        match self.unreachable {
            Some(it) => Standing::Unreachable { since: it.since },
            None if self.evidence.is_empty() => Standing::Answering,
            None => Standing::Suspect,
        }
    }

    /// Last sign of life.
    pub fn answered(&self) -> Millis {
        self.answered
    }

    /// Notes a sign of life; tells whether the upstream was unreachable.
    pub fn sign_of_life(&mut self, now: Millis) -> bool {
        self.accepted = None;
        self.clear(now)
    }

    /// Notes a packet that was repeated; tells how to probe the upstream for it.
    pub fn unanswered(&mut self, now: Millis, flow: FlowKey, sent: Millis) -> Option<ProbeKind> {
        // A packet that asks may have acknowledged the answer before in the same moment.
        if self.unreachable.is_some() || sent < self.answered || now.since(sent) < COPY_GAP {
            return None;
        }
        self.expire(now);
        match self.evidence.iter().position(|it| it.flow == flow) {
            Some(at) => self.evidence[at].sent = self.evidence[at].sent.min(sent),
            None if self.evidence.len() < KEPT => self.evidence.push(Evidence { flow, sent }),
            None => {}
        }
        if std::mem::replace(&mut self.probing, true) {
            return None;
        }
        Some(if self.accepted.is_some() { ProbeKind::Identify } else { ProbeKind::Connect })
    }

    /// Doubts an upstream of a zone that looks silent as a whole; tells whether to probe it.
    pub(crate) fn doubt(&mut self, silent_since: Millis) -> bool {
        if self.unreachable.is_some() || self.answered > silent_since {
            return false;
        }
        self.doubted = Some(silent_since);
        !std::mem::replace(&mut self.probing, true)
    }

    /// Takes in what a probe found; tells whether the upstream is to be held unreachable.
    pub fn probed(&mut self, now: Millis, found: ProbeFound) -> Probed {
        self.probing = false;
        let doubted = self.doubted.take().is_some();
        match found {
            ProbeFound::Answered => {
                self.accepted = Some(now);
                if self.clear(now) { Probed::AnswersAgain } else { Probed::Nothing }
            }
            ProbeFound::Nobody if self.unreachable.is_some() => Probed::Nothing,
            ProbeFound::Nobody if doubted || !self.evidence.is_empty() => Probed::Unreachable,
            ProbeFound::Another => Probed::Ended,
            ProbeFound::Nobody | ProbeFound::Unclear => Probed::Nothing,
        }
    }

    fn clear(&mut self, now: Millis) -> bool {
        self.answered = now;
        self.evidence.clear();
        self.probing = false;
        self.doubted = None;
        self.unreachable.take().is_some()
    }

    /// Longest time that a flow, or the zone as a whole, has waited in vain.
    pub fn silent_for(&self, now: Millis) -> Millis {
        let since = self.evidence.iter().map(|it| it.sent).chain(self.doubted).min();
        since.map(|it| now.since(it)).unwrap_or_default()
    }

    /// Holds the upstream unreachable.
    pub fn give_up(&mut self, now: Millis) {
        self.evidence.clear();
        self.probing = false;
        self.unreachable =
            Some(Trials { since: now, last: now, next: now + TRIAL_FIRST, gap: TRIAL_FIRST });
    }

    /// Tells whether it is time to probe an unreachable upstream again, and notes that it is done.
    pub fn take_trial(&mut self, now: Millis) -> bool {
        let Some(it) = &mut self.unreachable else { return false };
        if now < it.next {
            return false;
        }
        it.gap = Millis((it.gap.0 * 2).min(TRIAL_MOST.0));
        it.last = now;
        it.next = now + it.gap;
        true
    }

    /// Asks for the next probe of an unreachable upstream early, since callers have no other one.
    pub(crate) fn want_trial(&mut self, now: Millis) {
        if let Some(it) = &mut self.unreachable {
            it.next = it.next.min(now.max(it.last + TRIAL_WANTED));
        }
    }

    /// Drops evidence that has grown old, so that a suspect is not avoided for good.
    pub(crate) fn expire(&mut self, now: Millis) {
        self.evidence.retain(|it| now.since(it.sent) < STALE);
    }
}
