//! The rings of the burn history add up, forget in order and stay within their bound.

use pomelorun::{
    BurnDetail, BurnHistory, CELL_ENTRY_BYTES, ServiceTotals, WINDOWS_MINUTES, burn_by_service,
};
use pomelorun_core::Outcomes;
use pomelorun_wire::ServiceAddr;

const SERVICE: ServiceAddr = ServiceAddr { ip: 0x0a14_0001, port: 443 };

fn answered(count: u64) -> Vec<(ServiceAddr, Outcomes)> {
    vec![(SERVICE, Outcomes { answered: count, ..Outcomes::default() })]
}

/// A history of so many minutes with one answer each, and the totals at its end.
fn history(minutes: u64) -> (BurnHistory, Vec<(ServiceAddr, Outcomes)>) {
    let mut history = BurnHistory::default();
    for minute in 1..=minutes {
        history.end_minute(&answered(minute));
    }
    (history, answered(minutes))
}

#[test]
fn a_window_holds_as_many_answers_as_minutes_that_it_knows() {
    for minutes in [0, 1, 4, 5, 29, 30, 31, 59, 61, 359, 360, 395, 4_319, 4_350, 43_199, 50_000] {
        let (history, totals) = history(minutes);
        for window in WINDOWS_MINUTES {
            let (known, sums) = history.window(&totals, window);
            let count = sums.first().map_or(0, |it| it.1.answered);
            assert_eq!(count, u64::from(known), "{window} of {minutes} minutes");
            assert!(known <= window, "{window} of {minutes} minutes: {known}");
            // Cut to whole cells: at most one cell of the ring is missing.
            let cell = match window {
                0..=60 => 1,
                61..=4_320 => 30,
                _ => 360,
            };
            let least = minutes.min(u64::from(window));
            assert!(u64::from(known) + cell > least, "{window} of {minutes} minutes: {known}");
        }
    }
}

#[test]
fn the_minute_in_progress_counts() {
    let (history, _) = history(3);
    let (known, sums) = history.window(&answered(10), 5);
    assert_eq!((known, sums[0].1.answered), (3, 10));
}

#[test]
fn a_service_that_left_and_came_back_counts_from_zero() {
    let (mut history, _) = history(10);
    history.end_minute(&[]);
    history.end_minute(&answered(2));
    let (_, sums) = history.window(&answered(2), 60);
    assert_eq!(sums[0].1.answered, 12);
}

#[test]
fn a_month_of_all_services_of_the_target_stays_within_its_bound() {
    /// Services at the two-year target, and those of this trial; the rings grow in proportion.
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
    // Vectors may hold up to twice what they need.
    let of_one = 2 * CELLS * CELL_ENTRY_BYTES;
    let bytes = history.bytes();
    assert!(bytes <= SERVICES as usize * of_one, "{bytes} bytes");
    assert!(TARGET * of_one < 24 << 20, "{of_one} bytes a service");
}

#[test]
fn services_are_described_with_their_cells_newest_first() {
    let (mut history, _) = history(31);
    history.end_minute(&answered(100));
    let services = [ServiceTotals {
        addr: SERVICE,
        name: "mesa".to_owned(),
        answer_within_ms: 100,
        outcomes: answered(100)[0].1,
    }];
    let described = burn_by_service(&history, &services, BurnDetail::Cells);
    assert_eq!(described.len(), 1);
    assert_eq!(described[0].service, "mesa");
    assert_eq!(described[0].windows[0].outcomes[3], 73, "the newest five minutes");
    assert_eq!(described[0].hour[..2], [[0, 0, 0, 69, 0, 0, 0], [0, 0, 0, 1, 0, 0, 0]]);
    assert_eq!(described[0].days, [[0, 0, 0, 30, 0, 0, 0]]);
    let sums = burn_by_service(&history, &services, BurnDetail::Totals);
    assert!(sums[0].hour.is_empty() && sums[0].days.is_empty());
}
