//! Command line of the stand-ins.

use std::{path::PathBuf, process::ExitCode};

use gumdrop::Options;
use pomelorun_standins::{DemoOptions, PlatformPlan};

/// Stand-ins for the platform, upstreams and callers of pomelorun.
#[derive(Debug, Options)]
struct Args {
    /// print this help
    help: bool,
    #[options(command)]
    command: Option<Command>,
}

#[derive(Debug, Options)]
enum Command {
    /// run a whole deployment as separate processes
    Demo(DemoArgs),
    /// stand in for the configuration service and the host list
    Platform(NoArgs),
    /// stand in for the fabric and the links between zones
    Network(NoArgs),
    /// stand in for the upstreams
    Upstreams(NoArgs),
    /// stand in for the callers
    Callers(NoArgs),
}

#[derive(Debug, Options)]
struct NoArgs {
    /// print this help
    help: bool,
}

#[derive(Debug, Options)]
struct DemoArgs {
    /// print this help
    help: bool,
    /// directory of the deployment
    #[options(free, required)]
    dir: PathBuf,
    /// share of the flows and requests that is run, percent
    #[options(no_short, default = "100", meta = "PERCENT")]
    scale: u32,
    /// seed of all choices
    #[options(no_short, default = "1", meta = "N")]
    seed: u64,
    /// keep the daemons' logs in this directory
    #[options(no_short, meta = "DIR")]
    logs: Option<PathBuf>,
}

#[actix_rt::main]
async fn main() -> ExitCode {
    let args = Args::parse_args_default_or_exit();
    let done = match args.command {
        Some(Command::Demo(args)) => return demo(args).await,
        Some(Command::Platform(_)) => platform().await,
        Some(Command::Network(_)) => pomelorun_standins::run_network(),
        Some(Command::Upstreams(_)) => pomelorun_standins::run_upstreams().await,
        Some(Command::Callers(_)) => pomelorun_standins::run_callers().await,
        None => {
            eprintln!("a command is required\n\n{}", Args::usage());
            return ExitCode::from(2);
        }
    };
    match done {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            eprintln!("pomelorun-standins: {e}");
            ExitCode::FAILURE
        }
    }
}

async fn platform() -> std::io::Result<()> {
    let Some(text) = std::io::stdin().lines().next().transpose()? else { return Ok(()) };
    let plan: PlatformPlan = serde_json::from_str(&text)?;
    pomelorun_standins::run_platform(&plan).await
}

async fn demo(args: DemoArgs) -> ExitCode {
    let options =
        DemoOptions { dir: args.dir, scale: args.scale, seed: args.seed, logs: args.logs };
    match pomelorun_standins::run_demo(&options).await {
        Ok(report) => {
            let text = serde_json::to_string(&report).expect("reports have string keys only");
            #[expect(clippy::print_stdout, reason = "the result of the demonstration")]
            {
                println!("{text}");
            }
            if report.broken_promises.is_empty() { ExitCode::SUCCESS } else { ExitCode::from(1) }
        }
        Err(e) => {
            eprintln!("demo: {e}");
            ExitCode::FAILURE
        }
    }
}
