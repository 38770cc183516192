//! The daemon of a pomelorun host.

use std::{path::PathBuf, process::ExitCode};

use gumdrop::Options;
use pomelorun::Settings;

/// Exit status if the settings file is missing or invalid.
const EXIT_INVALID_SETTINGS: u8 = 2;
/// Exit status if the daemon fails to start.
const EXIT_START_FAILED: u8 = 1;
/// Exit status if the shutdown timeout expires before the drain completes.
const EXIT_DRAIN_TIMEOUT: u8 = 3;

/// Runs one entry host of pomelorun.
#[derive(Debug, Options)]
struct Args {
    /// print this help
    help: bool,
    /// print the version
    version: bool,
    /// settings file (JSON)
    #[options(meta = "FILE")]
    settings: Option<PathBuf>,
    /// check the settings file and exit
    #[options(no_short)]
    check: bool,
}

fn main() -> ExitCode {
    let args = Args::parse_args_default_or_exit();
    if args.version {
        #[expect(clippy::print_stdout, reason = "output of `--version`")]
        {
            println!("pomelorund {}", env!("CARGO_PKG_VERSION"));
        }
        return ExitCode::SUCCESS;
    }
    let Some(path) = args.settings else {
        eprintln!("pomelorund: `--settings FILE` is required; see `--help`");
        return ExitCode::from(EXIT_INVALID_SETTINGS);
    };
    let settings = match Settings::load(&path) {
        Ok(it) => it,
        Err(e) => {
            eprintln!("{e}");
            return ExitCode::from(EXIT_INVALID_SETTINGS);
        }
    };
    if args.check {
        return ExitCode::SUCCESS;
    }
    match pomelorun::run(&settings) {
        Ok(it) if it.drained => ExitCode::SUCCESS,
        Ok(_) => ExitCode::from(EXIT_DRAIN_TIMEOUT),
        Err(e) => {
            eprintln!("pomelorund: {e}");
            ExitCode::from(EXIT_START_FAILED)
        }
    }
}
