//! The daemon of a pomelorun host.

use std::{path::PathBuf, process::ExitCode};

use gumdrop::Options;
use pomelorun::Settings;

/// Exit status for a settings file with faults.
const EXIT_SETTINGS: u8 = 2;
/// Exit status for a daemon that did not start.
const EXIT_START: u8 = 1;

/// Exit status for a shutdown whose time ran out before all was finished.
const EXIT_UNFINISHED: u8 = 3;

/// Runs one entry host of pomelorun.
#[derive(Debug, Options)]
struct Args {
    /// print this help
    help: bool,
    /// print the version
    version: bool,
    /// settings file, JSON
    #[options(meta = "FILE")]
    settings: Option<PathBuf>,
    /// check the settings file and exit
    #[options(no_short)]
    check: bool,
}

fn main() -> ExitCode {
    let args = Args::parse_args_default_or_exit();
    if args.version {
        #[expect(clippy::print_stdout, reason = "the answer to `--version`")]
        {
            println!("pomelorund {}", env!("CARGO_PKG_VERSION"));
        }
        return ExitCode::SUCCESS;
    }
    let Some(path) = args.settings else {
        eprintln!("pomelorund: `--settings FILE` is required; see `--help`");
        return ExitCode::from(EXIT_SETTINGS);
    };
    let settings = match Settings::load(&path) {
        Ok(it) => it,
        Err(e) => {
            eprintln!("{e}");
            return ExitCode::from(EXIT_SETTINGS);
        }
    };
    if args.check {
        return ExitCode::SUCCESS;
    }
    match pomelorun::run(&settings) {
        Ok(it) if it.drained => ExitCode::SUCCESS,
        Ok(_) => ExitCode::from(EXIT_UNFINISHED),
        Err(e) => {
            eprintln!("pomelorund: {e}");
            ExitCode::from(EXIT_START)
        }
    }
}
