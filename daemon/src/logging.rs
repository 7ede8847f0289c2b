//! Logs: structured lines to standard output, without holding up the threads that log.

use std::path::PathBuf;

use log::LevelFilter;
use log4rs::append::Append;
use log4rs::append::file::FileAppender;
use log4rs::config::{
    Appender,
    Config,
    Root, //
};
use log4rs::encode::Encode;
use log4rs::encode::json::JsonEncoder;
use log4rs::encode::pattern::PatternEncoder;
use serde::{
    Deserialize,
    Serialize, //
};

use crate::log_writer::QueueAppender;

/// Settings of logs.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct LogSettings {
    /// The least level that is written: `off`, `error`, `warn`, `info`, `debug` or `trace`.
    pub level: LevelFilter,
    /// Where lines go; standard output if no file is named.
    pub file: Option<PathBuf>,
    /// How lines are written.
    pub format: LogFormat,
}

impl Default for LogSettings {
    fn default() -> LogSettings {
        LogSettings {
            level: LevelFilter::Info,
            file: None,
            format: LogFormat::Text,
        }
    }
}

/// How lines are written.
#[derive(Clone, Copy, Debug, Deserialize, Serialize, Eq, PartialEq, strum::Display)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum LogFormat {
    /// One line of text a record.
    Text,
    /// One JSON object a record.
    Json,
}

/// Why logs can't be written.
#[derive(Debug, thiserror::Error)]
pub enum LogError {
    /// The file can't be opened.
    #[error("log file {file:?} cannot be opened: {source}")]
    Open {
        /// The file.
        file: PathBuf,
        /// Why.
        source: std::io::Error,
    },
    /// The thread that writes cannot be started.
    #[error("the log thread cannot be started: {0}")]
    Thread(#[from] std::io::Error),
    /// The logger can't be set up.
    #[error("logger cannot be set up: {0}")]
    Setup(#[from] log4rs::config::runtime::ConfigErrors),
    /// Another logger is in use.
    #[error("logger is already set: {0}")]
    Taken(#[from] log::SetLoggerError),
}

const APPENDER: &str = "main";

/// Starts writing logs.
pub fn start(settings: &LogSettings) -> Result<(), LogError> {
    let appender = Appender::builder().build(APPENDER, appender(settings)?);
    let root = Root::builder().appender(APPENDER).build(settings.level);
    let config = Config::builder().appender(appender).build(root)?;
    log4rs::init_config(config)?;
    Ok(())
}

fn appender(settings: &LogSettings) -> Result<Box<dyn Append>, LogError> {
    let encoder = encoder(settings.format);
    let Some(file) = &settings.file else {
        return Ok(Box::new(QueueAppender::start(encoder)?));
    };
    let appender = FileAppender::builder().encoder(encoder).build(file);
    let appender = appender.map_err(|source| LogError::Open {
        file: file.clone(),
        source,
    })?;
    Ok(Box::new(appender))
}

fn encoder(format: LogFormat) -> Box<dyn Encode> {
    match format {
        LogFormat::Text => Box::new(PatternEncoder::new(
            "{d(%Y-%m-%dT%H:%M:%S%.3f%z)} {l} {m}{n}",
        )),
        LogFormat::Json => Box::new(JsonEncoder::new()),
    }
}
