//! Cases of the review: each starts daemons as separate processes among stand-ins of the platform,
//! endpoints and callers, and judges only what those have seen.

mod caller;
mod clock;
mod cold_owner;
mod earlier_start;
mod endpoint;
mod fabric;
mod foreign_entry;
mod hosts;
mod packet;
mod partial_entry;
mod record;
mod same_port;
mod same_port_reset;
mod store;
mod world;

use std::process::ExitCode;

/// What a case has shown.
pub enum Outcome {
    Held,
    Broken,
    NotRun(String),
}

fn main() -> ExitCode {
    let args: Vec<String> = std::env::args().collect();
    let [_, case, root, dir, record] = &args[..] else {
        eprintln!("usage: review-case CASE ROOT DIR RECORD");
        return ExitCode::from(2);
    };
    let trouble = std::env::var("TROUBLE").map_or(true, |it| it != "0");
    let record = record::Record::create(record);
    let world = world::World::new(root, dir, record.clone());
    let outcome = match case.as_str() {
        "foreign-entry" => foreign_entry::run(world, trouble),
        "cold-owner-term" => cold_owner::run(world, trouble, cold_owner::Stop::Term),
        "cold-owner-kill" => cold_owner::run(world, trouble, cold_owner::Stop::Kill),
        "cold-owner-kill-all" => cold_owner::run(world, trouble, cold_owner::Stop::KillAll),
        "cold-owner-apart" => cold_owner::run(world, trouble, cold_owner::Stop::StaleSeeds),
        "partial-entry" => partial_entry::run(world, trouble),
        "same-port-drain" => same_port::run(world, trouble, same_port::Change::Drain),
        "same-port-route" => same_port::run(world, trouble, same_port::Change::DropRoute),
        "same-port-evacuate" => same_port::run(world, trouble, same_port::Change::Evacuate),
        "same-port-reset" => same_port_reset::run(world, trouble),
        "earlier-start" => earlier_start::run(world, trouble),
        _ => Outcome::NotRun(format!("no case `{case}`")),
    };
    match outcome {
        Outcome::Held => {
            record.say("result: the rule held");
            ExitCode::SUCCESS
        }
        Outcome::Broken => {
            record.say("result: the rule was broken");
            ExitCode::from(1)
        }
        Outcome::NotRun(why) => {
            record.say(&format!("result: not run: {why}"));
            ExitCode::from(2)
        }
    }
}
