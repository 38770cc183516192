//! An outage is mentioned once, then more and more rarely.

use std::time::{Duration, Instant};

use pomelorun::{Notice, Outage};

#[test]
fn a_long_outage_is_mentioned_a_few_times_with_its_age() {
    let start = Instant::now();
    let mut outage = Outage::default();
    assert_eq!(outage.succeeded(start), Notice::Silence);
    let mut notices = Vec::new();
    for second in 0..7_200 {
        let notice = outage.failed(start + Duration::from_secs(second));
        if notice != Notice::Silence {
            notices.push(notice);
        }
    }
    let still = |s| Notice::StillFailing(Duration::from_secs(s));
    assert_eq!(notices, [Notice::Failing, still(60), still(240), still(960), still(3_840)]);
    let recovered = outage.succeeded(start + Duration::from_secs(7_200));
    assert_eq!(recovered, Notice::Recovered(Duration::from_secs(7_200)));
}
