//! Plays one case of the second review: `standins-2 CASE FOLDER`.
//!
//! Exits with 1 if the rule was broken, 0 if it held, and 2 if the case couldn't run. With
//! `TROUBLE=0` in the environment the disruption is left out.

mod cases;
mod consumer;
mod endpoint;
mod packet;
mod platform;
mod record;
mod router;
mod store;

use std::{path::PathBuf, process::exit, sync::Arc, thread, time::Duration};

use crate::{platform::Platform, record::Record};

/// Time after which a run is given up.
const LIMIT: Duration = Duration::from_secs(110);

/// Result of a case.
pub enum Verdict {
    Held,
    Broken,
}

/// Whether the disruption takes place.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Trouble {
    Yes,
    No,
}

fn main() {
    let mut args = std::env::args().skip(1);
    let (Some(case), Some(folder)) = (args.next(), args.next()) else {
        eprintln!("standins-2 CASE FOLDER");
        exit(2);
    };
    let trouble =
        if std::env::var("TROUBLE").as_deref() == Ok("0") { Trouble::No } else { Trouble::Yes };
    let platform =
        Record::create(&PathBuf::from(folder).join("record.txt")).and_then(Platform::new);
    let platform = match platform {
        Ok(it) => it,
        Err(e) => {
            eprintln!("the case can't run: {e}");
            exit(2);
        }
    };
    let watched = Arc::clone(&platform);
    thread::spawn(move || {
        thread::sleep(LIMIT);
        watched.record.line("the run takes too long");
        watched.end();
        exit(2);
    });
    platform.record.line(&format!("case {case}, trouble: {trouble:?}"));
    let result = match case.as_str() {
        "cold-unknown" => cases::cold_unknown(&platform, trouble),
        "stale-verdict" => cases::stale_verdict(&platform, trouble),
        "fresh-verdict" => cases::fresh_verdict(&platform, trouble),
        "slow-answers" => cases::slow_answers(&platform, trouble),
        "fraction" => cases::fraction(&platform, trouble),
        _ => Err(format!("no case `{case}`")),
    };
    platform.end();
    let (status, text) = match result {
        Ok(Verdict::Held) => (0, "the rule held".to_owned()),
        Ok(Verdict::Broken) => (1, "the rule was broken".to_owned()),
        Err(e) => (2, format!("the case couldn't run: {e}")),
    };
    platform.record.line(&text);
    println!("{text}");
    exit(status);
}
