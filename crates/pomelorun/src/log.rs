//! Set-up of the default logger.

mod nonblocking_stdout;

use std::{
    io::IsTerminal,
    sync::{Arc, atomic::AtomicU64},
};

use spdlog::{
    Level, LevelFilter, Logger,
    formatter::{Formatter, FullFormatter, JsonFormatter},
    sink::{Sink, StdStreamSink, WriteSink},
};

use crate::{
    log::nonblocking_stdout::NonBlockingStdout,
    settings::{LogFormat, LogSettings},
};

/// Destination of the log.
#[derive(Debug, Clone)]
pub(crate) enum Output {
    /// Standard error; each line is written immediately.
    Stderr,
    /// Standard output, without blocking and only when flushed; counts the lines that were dropped
    /// because the buffer was full.
    Stdout(Arc<AtomicU64>),
}

/// Installs a default logger with the configured level and format.
pub(crate) fn init(settings: &LogSettings, output: Output) -> Result<(), spdlog::Error> {
    let json = wants_json(settings.format, &output);
    let formatter: Box<dyn Formatter> =
        if json { Box::new(JsonFormatter::new()) } else { Box::new(FullFormatter::new()) };
    let (sink, flush): (Arc<dyn Sink>, _) = match output {
        Output::Stderr => (Arc::new(StdStreamSink::builder().stderr().build()?), LevelFilter::All),
        Output::Stdout(dropped) => {
            let stdout = NonBlockingStdout::new(dropped);
            (Arc::new(WriteSink::builder().target(stdout).build()?), LevelFilter::Off)
        }
    };
    sink.set_formatter(formatter);
    let level = parse_level(&settings.level);
    let logger = Logger::builder()
        .sink(sink)
        .level_filter(LevelFilter::MoreSevereEqual(level))
        .flush_level_filter(flush)
        .build()?;
    spdlog::set_default_logger(Arc::new(logger));
    Ok(())
}

/// Changes the minimum level of the default logger.
pub(crate) fn set_level(settings: &LogSettings) {
    let level = LevelFilter::MoreSevereEqual(parse_level(&settings.level));
    spdlog::default_logger().set_level_filter(level);
}

fn wants_json(format: LogFormat, output: &Output) -> bool {
    match format {
        LogFormat::Auto => match output {
            Output::Stderr => !std::io::stderr().is_terminal(),
            Output::Stdout(_) => !std::io::stdout().is_terminal(),
        },
        LogFormat::Json => true,
        LogFormat::Text => false,
    }
}

fn parse_level(name: &str) -> Level {
    match name {
        "trace" => Level::Trace,
        "debug" => Level::Debug,
        "warn" => Level::Warn,
        "error" => Level::Error,
        "critical" => Level::Critical,
        _ => Level::Info,
    }
}
