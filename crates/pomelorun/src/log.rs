//! Setting up the log.

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

/// Where the log is written.
#[derive(Debug, Clone)]
pub(crate) enum Output {
    /// At once, for each line.
    Stderr,
    /// When asked to, as far as the reader takes it at once; counts the lines that found no room.
    Stdout(Arc<AtomicU64>),
}

/// Makes the default logger write as the settings say.
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
    let level = level_of(&settings.level);
    let logger = Logger::builder()
        .sink(sink)
        .level_filter(LevelFilter::MoreSevereEqual(level))
        .flush_level_filter(flush)
        .build()?;
    spdlog::set_default_logger(Arc::new(logger));
    Ok(())
}

/// Changes the least severe level that is written.
pub(crate) fn set_level(settings: &LogSettings) {
    let level = LevelFilter::MoreSevereEqual(level_of(&settings.level));
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

fn level_of(name: &str) -> Level {
    match name {
        "trace" => Level::Trace,
        "debug" => Level::Debug,
        "warn" => Level::Warn,
        "error" => Level::Error,
        "critical" => Level::Critical,
        _ => Level::Info,
    }
}
