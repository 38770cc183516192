//! The burn history sums its windows correctly, drops the oldest cells and bounds its memory.

use pomelorun::{
    BurnDetail, BurnHistory, CELL_ENTRY_BYTES, ServiceTotals, WINDOWS_MINUTES, burn_by_service,
};
use pomelorun_core::Outcomes;
use pomelorun_wire::ServiceAddr;

const SERVICE: ServiceAddr = ServiceAddr { ip: 0x0a14_0001, port: 443 };

fn answered(count: u64) -> Vec<(ServiceAddr, Outcomes)> {
    vec![(SERVICE, Outcomes { answered: count, ..Outcomes::default() })]
}

/// Returns a history of `minutes` with one answered request each, and the totals at its end.
fn history(minutes: u64) -> (BurnHistory, Vec<(ServiceAddr, Outcomes)>) {
    let mut history = BurnHistory::default();
    for minute in 1..=minutes {
        history.end_minute(&answered(minute));
    }
    (history, answered(minutes))
}

#[test]
fn a_window_counts_the_outcomes_of_exactly_the_minutes_that_it_covers() {
    for minutes in [0, 1, 4, 5, 29, 30, 31, 59, 61, 359, 360, 395, 4_319, 4_350, 43_199, 50_000] {
        let (history, totals) = history(minutes);
        for window in WINDOWS_MINUTES {
            let (known, sums) = history.window(&totals, window);
            let count = sums.first().map_or(0, |it| it.1.answered);
            assert_eq!(count, u64::from(known), "{window} of {minutes} minutes");
            assert!(known <= window, "{window} of {minutes} minutes: {known}");
            // The window consists of whole cells, so it lacks less than one cell of its ring.
            let cell = match window {
                0..=60 => 1,
                61..=4_320 => 30,
                _ => 360,
            };
            let available = minutes.min(u64::from(window));
            assert!(u64::from(known) + cell > available, "{window} of {minutes} minutes: {known}");
        }
    }
}

#[test]
fn the_current_minute_is_counted() {
    let (history, _) = history(3);
    let (known, sums) = history.window(&answered(10), 5);
    assert_eq!((known, sums[0].1.answered), (3, 10));
}

#[test]
fn a_service_that_was_removed_and_added_again_counts_from_zero() {
    let (mut history, _) = history(10);
    history.end_minute(&[]);
    history.end_minute(&answered(2));
    let (_, sums) = history.window(&answered(2), 60);
    assert_eq!(sums[0].1.answered, 12);
}

#[test]
fn memory_of_a_month_at_the_target_number_of_services_is_bounded() {
    /// Services at the two-year target and in this test; memory is proportional to their number.
    const TARGET: usize = 960;
    const SERVICES: u32 = 24;
    const CELLS: usize = 60 + 144 + 120;
    let mut history = BurnHistory::default();
    for minute in 1..=31 * 24 * 60 {
        let one = Outcomes { opened: minute, answered: minute, ..Outcomes::default() };
        let totals: Vec<_> =
            (0..SERVICES).map(|it| (ServiceAddr { ip: it, port: 1 }, one)).collect();
        history.end_minute(&totals);
    }
    // The capacity of a vector may be up to twice its length.
    let bytes_per_service = 2 * CELLS * CELL_ENTRY_BYTES;
    let bytes = history.bytes();
    assert!(bytes <= SERVICES as usize * bytes_per_service, "{bytes} bytes");
    assert!(TARGET * bytes_per_service < 24 << 20, "{bytes_per_service} bytes a service");
}

#[test]
fn cells_of_a_service_are_reported_newest_first() {
    let (mut history, _) = history(31);
    history.end_minute(&answered(100));
    let services = [ServiceTotals {
        addr: SERVICE,
        name: "mesa".to_owned(),
        answer_within_ms: 100,
        outcomes: answered(100)[0].1,
    }];
    let reported = burn_by_service(&history, &services, BurnDetail::Cells);
    assert_eq!(reported.len(), 1);
    assert_eq!(reported[0].service, "mesa");
    assert_eq!(reported[0].windows[0].outcomes[3], 73, "the newest five minutes");
    assert_eq!(reported[0].hour[..2], [[0, 0, 0, 69, 0, 0, 0], [0, 0, 0, 1, 0, 0, 0]]);
    assert_eq!(reported[0].days, [[0, 0, 0, 30, 0, 0, 0]]);
    let totals_only = burn_by_service(&history, &services, BurnDetail::Totals);
    assert!(totals_only[0].hour.is_empty() && totals_only[0].days.is_empty());
}
