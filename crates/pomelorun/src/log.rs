//! Setting up the log.

use std::{io::IsTerminal, sync::Arc};

use spdlog::{Level, LevelFilter, Logger, formatter::JsonFormatter, sink::StdStreamSink};

use crate::settings::{LogFormat, LogSettings};

/// Where the log is written.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Target {
    /// At once, for each line.
    StandardError,
    /// When asked to, so that many lines are one write.
    StandardOutput,
}

/// Makes the default logger write as the settings say.
pub(crate) fn set_up(settings: &LogSettings, target: Target) -> Result<(), spdlog::Error> {
    let (sink, flush) = match target {
        Target::StandardError => (StdStreamSink::builder().stderr(), LevelFilter::All),
        Target::StandardOutput => (StdStreamSink::builder().stdout(), LevelFilter::Off),
    };
    let sink = if wants_json(settings.format) {
        sink.formatter(JsonFormatter::new()).build_arc()?
    } else {
        sink.build_arc()?
    };
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

fn wants_json(format: LogFormat) -> bool {
    match format {
        LogFormat::Auto => !std::io::stderr().is_terminal(),
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
