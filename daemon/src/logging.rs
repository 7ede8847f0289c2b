//! Sets up logging to standard output or a file.

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
    /// Lowest severity that is written: `off`, `error`, `warn`, `info`, `debug` or `trace`.
    pub level: LevelFilter,
    /// File for log lines; standard output if it is not set.
    pub file: Option<PathBuf>,
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

/// Format of log lines.
#[derive(Clone, Copy, Debug, Deserialize, Serialize, Eq, PartialEq, strum::Display)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum LogFormat {
    /// One line of text per record.
    Text,
    /// One JSON object per record.
    Json,
}

/// An error in setting up logging.
#[derive(Debug, thiserror::Error)]
pub enum LogError {
    #[error("log file {file:?} cannot be opened: {source}")]
    Open {
        file: PathBuf,
        source: std::io::Error,
    },
    /// The thread that writes log lines to standard output cannot be started.
    #[error("cannot start the log thread: {0}")]
    Thread(#[from] std::io::Error),
    #[error("cannot configure the logger: {0}")]
    Setup(#[from] log4rs::config::runtime::ConfigErrors),
    /// The process has a logger already.
    #[error("another logger is already set: {0}")]
    AlreadySet(#[from] log::SetLoggerError),
}

const APPENDER: &str = "main";

/// Installs the logger of the process. Returns an error if the log file cannot be opened, the log
/// thread cannot be started, or a logger is already installed.
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
