//! An outage is mentioned once, then more and more rarely.

use std::time::{Duration, Instant};

use pomelorun::{OutageLog, OutageNotice};

#[test]
fn a_long_outage_is_mentioned_a_few_times_with_its_age() {
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
    let still = |s| OutageNotice::Ongoing(Duration::from_secs(s));
    assert_eq!(notices, [OutageNotice::Started, still(60), still(240), still(960), still(3_840)]);
    let recovered = outage.record_success(start + Duration::from_secs(7_200));
    assert_eq!(recovered, OutageNotice::Recovered(Duration::from_secs(7_200)));
}
