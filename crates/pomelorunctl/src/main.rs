//! The command line for operators.

mod answer;
mod burn;
mod direct;
mod explain;
mod hosts;
mod log_lines;
mod losses;
mod objects;
mod status;
mod trace;

use std::process::ExitCode;

use gumdrop::Options;

use crate::answer::Answer;

/// Checks, publishes and watches a pomelorun deployment.
#[derive(Debug, Options)]
struct Args {
    /// print this help
    help: bool,
    /// print the version
    version: bool,
    #[options(command)]
    command: Option<Command>,
}

#[derive(Debug, Options)]
enum Command {
    /// check a directory of objects
    Check(objects::CheckArgs),
    /// list the objects that differ between two directories
    Diff(objects::DiffArgs),
    /// write the bundle that is published for a directory
    Bundle(objects::BundleArgs),
    /// show the state of the hosts
    Status(status::StatusArgs),
    /// explain where a flow goes and why
    Explain(explain::ExplainArgs),
    /// show how fast services spend their error budgets
    Burn(burn::BurnArgs),
    /// show what hosts logged of a flow, in order
    Trace(trace::TraceArgs),
    /// sum up what hosts logged of flows that were late or lost
    Losses(losses::LossesArgs),
}

#[actix_rt::main]
async fn main() -> ExitCode {
    let args = Args::parse_args_default_or_exit();
    if args.version {
        return Answer::ok(format!("pomelorunctl {}", env!("CARGO_PKG_VERSION"))).give();
    }
    let answer = match args.command {
        Some(Command::Check(it)) => objects::check(&it),
        Some(Command::Diff(it)) => objects::diff(&it),
        Some(Command::Bundle(it)) => objects::bundle(&it),
        Some(Command::Status(it)) => status::status(&it).await,
        Some(Command::Explain(it)) => explain::explain(&it).await,
        Some(Command::Burn(it)) => burn::burn(&it).await,
        Some(Command::Trace(it)) => trace::trace(&it),
        Some(Command::Losses(it)) => losses::losses(&it),
        None => Answer::usage(format!("a command is required\n\n{}", Args::usage())),
    };
    answer.give()
}
