//! Setting up the log.

use std::{io::IsTerminal, sync::Arc};

use spdlog::{Level, LevelFilter, Logger, formatter::JsonFormatter, sink::StdStreamSink};

use crate::settings::{LogFormat, LogSettings};

/// Makes the default logger write to standard error as the settings say.
pub(crate) fn set_up(settings: &LogSettings) -> Result<(), spdlog::Error> {
    let sink = StdStreamSink::builder().stderr();
    let sink = if wants_json(settings.format) {
        sink.formatter(JsonFormatter::new()).build_arc()?
    } else {
        sink.build_arc()?
    };
    let level = level_of(&settings.level);
    let logger = Logger::builder()
        .sink(sink)
        .level_filter(LevelFilter::MoreSevereEqual(level))
        .flush_level_filter(LevelFilter::All)
        .build()?;
    spdlog::set_default_logger(Arc::new(logger));
    Ok(())
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
