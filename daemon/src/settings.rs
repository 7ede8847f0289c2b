//! Settings of the daemon, read from one TOML file.

use std::net::SocketAddr;
use std::path::{
    Path,
    PathBuf, //
};
use std::time::Duration;

use lovagespindle_backend_servers as backend_servers;
use lovagespindle_callers as callers;
use lovagespindle_decisions::instance::Settings as DecisionSettings;
use lovagespindle_instances::links::LinkSettings;
use lovagespindle_instances::relay::RelaySettings;
use lovagespindle_operators::timeline;
use lovagespindle_platform as platform;
use serde::Deserialize;

use crate::logging::LogSettings;
use crate::metrics::MetricSettings;

/// Settings of the daemon.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// Who the instance is and where others reach it.
    pub instance: InstanceSettings,
    /// The socket towards callers.
    #[serde(default)]
    pub callers: callers::Settings,
    /// The socket towards backend servers.
    #[serde(default)]
    pub backend_servers: backend_servers::Settings,
    /// Health and load polls of backend servers.
    #[serde(default)]
    pub prober: backend_servers::ProberSettings,
    /// The platform's key-value service.
    #[serde(default)]
    pub platform: platform::Settings,
    /// The socket for packets that other instances pass on.
    #[serde(default)]
    pub relay: RelaySettings,
    /// Links to other instances.
    #[serde(default)]
    pub links: LinkSettings,
    /// The operators' remote procedure calls.
    #[serde(default)]
    pub operators: OperatorSettings,
    /// The time line of events.
    #[serde(default)]
    pub timeline: timeline::Settings,
    /// Logs.
    #[serde(default)]
    pub log: LogSettings,
    /// Metrics.
    #[serde(default)]
    pub metrics: MetricSettings,
    /// The decisions.
    #[serde(default)]
    pub decisions: DecisionSettings,
}

/// Who the instance is and where others reach it.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct InstanceSettings {
    /// Shown to operators.
    pub name: String,
    /// The name of the availability zone that it lives in.
    pub zone: String,
    /// Where it takes control messages of other instances (TCP).
    pub control: SocketAddr,
    /// Where it takes packets that other instances pass on (UDP).
    pub relay: SocketAddr,
}

/// The operators' remote procedure calls.
#[derive(Clone, Debug, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct OperatorSettings {
    /// Where they are served (TCP).
    pub listen: SocketAddr,
}

impl Default for OperatorSettings {
    fn default() -> OperatorSettings {
        OperatorSettings {
            listen: SocketAddr::from(([127, 0, 0, 1], 4710)),
        }
    }
}

/// Why settings can't be used.
#[derive(Debug, thiserror::Error)]
pub enum SettingsError {
    /// The file can't be read.
    #[error("settings file {path:?} cannot be read: {source}")]
    Read {
        /// The file.
        path: PathBuf,
        /// Why.
        source: std::io::Error,
    },
    /// The file is not valid.
    #[error("settings file {path:?} is not valid: {source}")]
    Parse {
        /// The file.
        path: PathBuf,
        /// Where and why.
        source: Box<toml::de::Error>,
    },
    /// A value is out of range.
    #[error("settings file {path:?}: {key} is {value}, but must be {allowed}")]
    Range {
        /// The file.
        path: PathBuf,
        /// The key of the value.
        key: &'static str,
        /// The value.
        value: String,
        /// What is allowed.
        allowed: &'static str,
    },
}

impl Settings {
    /// Reads and checks a file.
    pub fn read(path: &Path) -> Result<Settings, SettingsError> {
        let text = std::fs::read_to_string(path).map_err(|source| SettingsError::Read {
            path: path.to_owned(),
            source,
        })?;
        Settings::parse(&text, path)
    }

    /// Parses and checks the text of a file.
    pub fn parse(text: &str, path: &Path) -> Result<Settings, SettingsError> {
        let settings: Settings = toml::from_str(text).map_err(|source| SettingsError::Parse {
            path: path.to_owned(),
            source: Box::new(source),
        })?;
        settings.check(path)?;
        Ok(settings)
    }

    fn check(&self, path: &Path) -> Result<(), SettingsError> {
        let range = |key, value: String, allowed| SettingsError::Range {
            path: path.to_owned(),
            key,
            value,
            allowed,
        };
        for (key, name) in [
            ("instance.name", &self.instance.name),
            ("instance.zone", &self.instance.zone),
        ] {
            if !is_name(name) {
                let allowed = "1 to 63 characters of a-z, 0-9, '-' and '.'";
                return Err(range(key, format!("{name:?}"), allowed));
            }
        }
        for (key, value, least) in self.durations() {
            if value < least {
                return Err(range(key, format!("{value:?}"), at_least(least)));
            }
        }
        let ownership = &self.decisions.ownership;
        if ownership.fence >= ownership.takeover {
            let allowed = "shorter than decisions.ownership.takeover";
            let value = format!("{:?}", ownership.fence);
            return Err(range("decisions.ownership.fence", value, allowed));
        }
        if self.decisions.membership.failure_timeout < ownership.takeover {
            let allowed = "at least decisions.ownership.takeover";
            let value = format!("{:?}", self.decisions.membership.failure_timeout);
            let key = "decisions.membership.failure_timeout";
            return Err(range(key, value, allowed));
        }
        Ok(())
    }

    /// Returns durations that must not be too short, with their keys and least values.
    fn durations(&self) -> [(&'static str, Duration, Duration); 6] {
        let decisions = &self.decisions;
        [
            (
                "decisions.membership.heartbeat",
                decisions.membership.heartbeat,
                TEN_MILLIS,
            ),
            (
                "decisions.membership.link_timeout",
                decisions.membership.link_timeout,
                TEN_MILLIS,
            ),
            (
                "decisions.ownership.fence",
                decisions.ownership.fence,
                TEN_MILLIS,
            ),
            (
                "decisions.ownership.memory",
                decisions.ownership.memory,
                ONE_SECOND,
            ),
            ("decisions.spread.poll", decisions.spread.poll, ONE_SECOND),
            ("metrics.period", self.metrics.period, ONE_SECOND),
        ]
    }
}

const TEN_MILLIS: Duration = Duration::from_millis(10);
const ONE_SECOND: Duration = Duration::from_secs(1);

fn at_least(least: Duration) -> &'static str {
    if least == TEN_MILLIS {
        "at least 10ms"
    } else {
        "at least 1s"
    }
}

fn is_name(name: &str) -> bool {
    let allowed = |b: u8| b.is_ascii_lowercase() || b.is_ascii_digit() || b == b'-' || b == b'.';
    !name.is_empty() && name.len() <= 63 && name.bytes().all(allowed)
}
