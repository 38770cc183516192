//! Scripts of the third review. Usage: `review-standins-3 CASE PROGRAM RECORD`; `TROUBLE=0` leaves the
//! disruption out. Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.

mod cases;
mod client;
mod daemon;
mod deployment;
mod endpoint;
mod packet;
mod proxy;
mod record;
mod store;

use std::{path::Path, process::ExitCode};

use crate::record::Record;

/// What a case has found.
pub enum Verdict {
    Held,
    Broken,
}

fn main() -> ExitCode {
    let args: Vec<String> = std::env::args().skip(1).collect();
    let [case, program, record] = args.as_slice() else {
        eprintln!("usage: review-standins-3 CASE PROGRAM RECORD");
        return ExitCode::from(2);
    };
    let trouble = std::env::var("TROUBLE").map_or(true, |it| it != "0");
    let record = match Record::create(Path::new(record)) {
        Ok(it) => it,
        Err(e) => {
            eprintln!("cannot write the record: {e}");
            return ExitCode::from(2);
        }
    };
    record.line(format!("case {case}, trouble {trouble}"));
    match cases::run(case, Path::new(program), &record, trouble) {
        Ok(Verdict::Held) => {
            record.result("the rule held");
            ExitCode::SUCCESS
        }
        Ok(Verdict::Broken) => {
            record.result("the rule was broken");
            ExitCode::from(1)
        }
        Err(e) => {
            record.result(format!("the case could not run: {e}"));
            ExitCode::from(2)
        }
    }
}
