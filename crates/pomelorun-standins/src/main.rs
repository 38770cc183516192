//! Command line of the stand-ins.

use std::{path::PathBuf, process::ExitCode};

use gumdrop::Options;
use pomelorun_standins::{DemoOptions, PlatformPlan, Role, ThroughputOptions};

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
    /// forward datagrams and do nothing else
    Forwarder(NoArgs),
    /// measure how the cost of each role grows
    Slopes(NoArgs),
    /// measure one role at one size
    Slope(SlopeArgs),
    /// measure packets a second through a daemon beside a bare forwarder
    Throughput(ThroughputArgs),
}

#[derive(Debug, Options)]
struct NoArgs {
    /// print this help
    help: bool,
}

#[derive(Debug, Options)]
struct SlopeArgs {
    /// print this help
    help: bool,
    /// `members`, `view`, `config`, `flows` or `stewards`
    #[options(free, required)]
    role: String,
    /// how many
    #[options(free, required)]
    size: usize,
}

#[derive(Debug, Options)]
struct ThroughputArgs {
    /// print this help
    help: bool,
    /// turns of each device
    #[options(no_short, default = "7", meta = "N")]
    rounds: u32,
    /// packets in each turn
    #[options(no_short, default = "300000", meta = "N")]
    packets: u64,
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
        Some(Command::Throughput(args)) => return throughput(&args).await,
        Some(Command::Slopes(_)) => return slopes(),
        Some(Command::Slope(args)) => return slope(&args),
        Some(Command::Forwarder(_)) => pomelorun_standins::run_forwarder(),
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

/// Prints a report as one JSON object.
fn print<T: serde::Serialize>(report: &T) {
    let text = serde_json::to_string(report).expect("reports have string keys only");
    #[expect(clippy::print_stdout, reason = "the result of the command")]
    {
        println!("{text}");
    }
}

fn slopes() -> ExitCode {
    match pomelorun_standins::run_slopes() {
        Ok(slopes) => {
            eprintln!("{}", pomelorun_standins::slopes_table(&slopes));
            print(&slopes);
            ExitCode::SUCCESS
        }
        Err(e) => {
            eprintln!("slopes: {e}");
            ExitCode::FAILURE
        }
    }
}

fn slope(args: &SlopeArgs) -> ExitCode {
    const LARGEST: usize = 1_000_000;
    let Some(role) = Role::from_name(&args.role) else {
        eprintln!("slope: no role is named `{}`; see `slope --help`", args.role);
        return ExitCode::from(2);
    };
    if !(2..=LARGEST).contains(&args.size) {
        eprintln!("slope: size {} is not in 2..={LARGEST}", args.size);
        return ExitCode::from(2);
    }
    print(&pomelorun_standins::measure_point(role, args.size));
    ExitCode::SUCCESS
}

async fn throughput(args: &ThroughputArgs) -> ExitCode {
    let options = ThroughputOptions { rounds: args.rounds, packets: args.packets };
    match pomelorun_standins::run_throughput(options).await {
        Ok(report) => {
            print(&report);
            ExitCode::SUCCESS
        }
        Err(e) => {
            eprintln!("throughput: {e}");
            ExitCode::FAILURE
        }
    }
}

async fn demo(args: DemoArgs) -> ExitCode {
    let options =
        DemoOptions { dir: args.dir, scale: args.scale, seed: args.seed, logs: args.logs };
    match pomelorun_standins::run_demo(&options).await {
        Ok(report) => {
            print(&report);
            if report.broken_promises.is_empty() { ExitCode::SUCCESS } else { ExitCode::from(1) }
        }
        Err(e) => {
            eprintln!("demo: {e}");
            ExitCode::FAILURE
        }
    }
}
