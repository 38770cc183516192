//! An outage is logged once when it starts, then at growing intervals.

use std::time::{Duration, Instant};

use pomelorun::{OutageLog, OutageNotice};

#[test]
fn a_long_outage_is_logged_at_growing_intervals_with_its_age() {
    let start = Instant::now();
    let mut outage = OutageLog::default();
    assert_eq!(outage.record_success(start), OutageNotice::None);
    let mut notices = Vec::new();
    for second in 0..7_200 {
        let notice = outage.record_failure(start + Duration::from_secs(second));
        if notice != OutageNotice::None {
            notices.push(notice);
        }
    }
    let ongoing = |s| OutageNotice::Ongoing(Duration::from_secs(s));
    assert_eq!(
        notices,
        [OutageNotice::Started, ongoing(60), ongoing(240), ongoing(960), ongoing(3_840)]
    );
    let recovered = outage.record_success(start + Duration::from_secs(7_200));
    assert_eq!(recovered, OutageNotice::Recovered(Duration::from_secs(7_200)));
}
