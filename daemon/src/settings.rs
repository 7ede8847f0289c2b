//! Settings of the daemon, read from one TOML file.

use std::net::SocketAddr;
use std::path::{
    Path,
    PathBuf, //
};

use lovagespindle_backend_servers as backend_servers;
use lovagespindle_callers as callers;
use lovagespindle_decisions::instance::Settings as DecisionSettings;
use lovagespindle_instances::links::LinkSettings;
use lovagespindle_instances::relay::RelaySettings;
use lovagespindle_operators::timeline;
use lovagespindle_store as platform;
use serde::de::DeserializeOwned;
use serde::{
    Deserialize,
    Serialize, //
};

use crate::limits::{
    LIMITS,
    Limit, //
};
use crate::logging::LogSettings;
use crate::metrics::MetricSettings;

/// Settings of the daemon.
#[derive(Clone, Debug, Deserialize, Serialize)]
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
#[derive(Clone, Debug, Deserialize, Serialize)]
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
#[derive(Clone, Debug, Deserialize, Serialize)]
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
    #[error("settings file {path:?} cannot be read: {reason}")]
    Read {
        /// The file.
        path: PathBuf,
        /// Why.
        reason: std::io::Error,
    },
    /// The file is not valid.
    #[error("settings file {path:?} is not valid: {reason}")]
    Parse {
        /// The file.
        path: PathBuf,
        /// Where and why.
        reason: Box<toml::de::Error>,
    },
    /// Values are out of range.
    #[error("settings file {path:?} is not valid: {}", problems.join("; "))]
    Problems {
        /// The file.
        path: PathBuf,
        /// Each problem, with the key, the value and what is allowed.
        problems: Vec<String>,
    },
}

/// Reads the text of a settings file.
pub(crate) fn read_text(path: &Path) -> Result<String, SettingsError> {
    std::fs::read_to_string(path).map_err(|reason| SettingsError::Read {
        path: path.to_owned(),
        reason,
    })
}

/// Parses the text of a settings file, and checks the values with `problems`.
pub(crate) fn parse_text<S: DeserializeOwned>(
    text: &str,
    path: &Path,
    problems: impl FnOnce(&S) -> Vec<String>,
) -> Result<S, SettingsError> {
    let settings = toml::from_str(text).map_err(|reason| SettingsError::Parse {
        path: path.to_owned(),
        reason: Box::new(reason),
    })?;
    let problems = problems(&settings);
    if !problems.is_empty() {
        let path = path.to_owned();
        return Err(SettingsError::Problems { path, problems });
    }
    Ok(settings)
}

/// Describes a value that is not allowed.
pub(crate) fn problem(key: &str, value: &str, allowed: &str) -> String {
    format!("{key} is {value}, but must be {allowed}")
}

/// Returns the problems of names.
pub(crate) fn name_problems<'a>(
    names: &'a [(&str, &String)],
) -> impl Iterator<Item = String> + use<'a> {
    let wrong = names.iter().filter(|(_, name)| !is_name(name));
    wrong.map(|(key, name)| problem(key, &format!("{name:?}"), NAMES))
}

/// Returns the problems of values that are out of their ranges.
pub(crate) fn range_problems<S>(limits: &[Limit<S>], settings: &S) -> impl Iterator<Item = String> {
    limits.iter().filter_map(|limit| {
        let value = limit.violation(settings)?;
        Some(problem(limit.key, &value, &limit.allowed()))
    })
}

impl Settings {
    /// Reads and checks a file.
    pub fn read(path: &Path) -> Result<Settings, SettingsError> {
        Settings::parse(&read_text(path)?, path)
    }

    /// Parses and checks the text of a file.
    pub fn parse(text: &str, path: &Path) -> Result<Settings, SettingsError> {
        parse_text(text, path, Settings::problems)
    }

    /// Returns all values that are not allowed.
    fn problems(&self) -> Vec<String> {
        let names = [
            ("instance.name", &self.instance.name),
            ("instance.zone", &self.instance.zone),
        ];
        let relations = self.relations().into_iter();
        let relations = relations.filter(|(_, _, good, _)| !good);
        let relations = relations.map(|(key, value, _, allowed)| problem(key, &value, allowed));
        name_problems(&names)
            .chain(range_problems(LIMITS, self))
            .chain(relations)
            .collect()
    }

    /// Returns the keys whose values depend on others, with the value, whether it is good, and
    /// what is allowed.
    fn relations(&self) -> [(&'static str, String, bool, &'static str); 5] {
        let time = |duration| humantime::format_duration(duration).to_string();
        let ownership = &self.decisions.ownership;
        let failure = self.decisions.membership.failure_timeout;
        let platform = &self.platform;
        [
            (
                "decisions.ownership.fence",
                time(ownership.fence),
                ownership.fence < ownership.takeover,
                "shorter than decisions.ownership.takeover",
            ),
            (
                "decisions.membership.failure_timeout",
                time(failure),
                failure >= ownership.takeover,
                "at least decisions.ownership.takeover",
            ),
            (
                "prober.jitter",
                time(self.prober.jitter),
                self.prober.jitter < self.prober.period,
                "shorter than prober.period",
            ),
            (
                "platform.longest_pause",
                time(platform.longest_pause),
                platform.longest_pause >= platform.first_pause,
                "at least platform.first_pause",
            ),
            (
                "links.queue",
                self.links.queue.to_string(),
                self.links.queue.is_power_of_two(),
                "a power of two",
            ),
        ]
    }
}

/// What is allowed as the name of an instance or a zone.
const NAMES: &str = "1 to 63 characters of a-z, 0-9, '-' and '.'";

fn is_name(name: &str) -> bool {
    let allowed = |b: u8| b.is_ascii_lowercase() || b.is_ascii_digit() || b == b'-' || b == b'.';
    !name.is_empty() && name.len() <= 63 && name.bytes().all(allowed)
}
