//! What attempts to connect show about an upstream.

use pomelorun_core::{
    Millis,
    direct::{ConnectAttempt, ProbeResult, conclude_attempts, conclude_connect},
};

use ConnectAttempt::{Accepted, LocalError, NoResponse, Refused, Reset};

#[test]
fn one_accepted_attempt_shows_that_the_upstream_lives() {
    for reference in [None, Some(Accepted), Some(NoResponse)] {
        // The first packet was dropped by a full link, or the first attempt was slow.
        assert_eq!(conclude_attempts([NoResponse, Accepted], reference), ProbeResult::Answered);
        assert_eq!(conclude_attempts([Accepted, NoResponse], reference), ProbeResult::Answered);
        assert_eq!(conclude_attempts([Refused, Accepted], reference), ProbeResult::Answered);
    }
}

#[test]
fn silence_counts_only_if_the_reference_responds_in_the_same_time() {
    let silent = [NoResponse; 2];
    assert_eq!(conclude_attempts(silent, Some(Accepted)), ProbeResult::NoResponse);
    assert_eq!(conclude_attempts(silent, Some(Refused)), ProbeResult::NoResponse);
    assert_eq!(conclude_attempts(silent, None), ProbeResult::NoResponse);
    assert_eq!(conclude_attempts(silent, Some(NoResponse)), ProbeResult::Inconclusive);
    assert_eq!(conclude_attempts(silent, Some(LocalError)), ProbeResult::Inconclusive);
}

#[test]
fn refusals_count_and_local_errors_do_not() {
    assert_eq!(conclude_attempts([Refused; 2], None), ProbeResult::NoResponse);
    assert_eq!(conclude_attempts([LocalError; 2], None), ProbeResult::Inconclusive);
    assert_eq!(
        conclude_attempts([NoResponse, LocalError], Some(Accepted)),
        ProbeResult::Inconclusive
    );
}

#[test]
fn refusal_is_told_from_silence_and_a_stalled_host_shows_nothing_by_silence() {
    let (in_time, stalled) = (Millis(151), Millis(400));
    let conclude = |attempt, took| conclude_connect([attempt; 2], Some(Accepted), took);
    assert_eq!(conclude(NoResponse, in_time), ProbeResult::NoResponse);
    assert_eq!(conclude(NoResponse, stalled), ProbeResult::Inconclusive);
    for took in [in_time, stalled] {
        assert_eq!(conclude(Refused, took), ProbeResult::Refused);
        assert_eq!(conclude(Accepted, took), ProbeResult::Answered);
    }
}

#[test]
fn connection_that_is_reset_is_no_refusal() {
    let conclude = |attempts| conclude_connect(attempts, None, Millis(1));
    assert_eq!(conclude([Reset; 2]), ProbeResult::Reset);
    assert_eq!(conclude([NoResponse, Reset]), ProbeResult::Reset);
    assert_eq!(conclude([Reset, LocalError]), ProbeResult::Reset);
    assert_eq!(conclude([Reset, Accepted]), ProbeResult::Answered);
    assert_eq!(conclude([Reset, Refused]), ProbeResult::Refused);
    assert_eq!(conclude_attempts([NoResponse; 2], Some(Reset)), ProbeResult::NoResponse);
}
