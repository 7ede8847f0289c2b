//! Settings of the daemon in relay mode, read from one TOML file, and their validation.

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

/// Settings of the daemon in relay mode.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    pub instance: InstanceSettings,
    /// Socket for packets from and to callers.
    #[serde(default)]
    pub callers: callers::Settings,
    /// Socket for packets from and to backend servers.
    #[serde(default)]
    pub backend_servers: backend_servers::Settings,
    /// Health and load polls of backend servers.
    #[serde(default)]
    pub prober: backend_servers::ProberSettings,
    /// Client of the platform's key-value store.
    #[serde(default)]
    pub platform: platform::Settings,
    /// Socket for packets relayed between instances.
    #[serde(default)]
    pub relay: RelaySettings,
    /// Links for control messages between instances.
    #[serde(default)]
    pub links: LinkSettings,
    /// gRPC server for operators.
    #[serde(default)]
    pub operators: OperatorSettings,
    /// Timeline of state changes.
    #[serde(default)]
    pub timeline: timeline::Settings,
    #[serde(default)]
    pub log: LogSettings,
    #[serde(default)]
    pub metrics: MetricSettings,
    /// Membership, ownership, admission and the other decisions.
    #[serde(default)]
    pub decisions: DecisionSettings,
}

/// Name, zone and addresses of the instance.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct InstanceSettings {
    /// Name shown to operators.
    pub name: String,
    /// Name of the availability zone of the instance.
    pub zone: String,
    /// Address for control messages of other instances (TCP).
    pub control: SocketAddr,
    /// Address for packets relayed by other instances (UDP).
    pub relay: SocketAddr,
}

/// Settings of the gRPC server for operators.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct OperatorSettings {
    /// Address of the server (TCP).
    pub listen: SocketAddr,
}

impl Default for OperatorSettings {
    fn default() -> OperatorSettings {
        OperatorSettings {
            listen: SocketAddr::from(([127, 0, 0, 1], 4710)),
        }
    }
}

/// An error in reading or validating a settings file.
#[derive(Debug, thiserror::Error)]
pub enum SettingsError {
    #[error("settings file {path:?} cannot be read: {reason}")]
    Read {
        path: PathBuf,
        reason: std::io::Error,
    },
    /// The file is not valid TOML, or its keys or value types do not match the settings.
    #[error("settings file {path:?} is not valid: {reason}")]
    Parse {
        path: PathBuf,
        reason: Box<toml::de::Error>,
    },
    /// The file contains values that are not allowed.
    #[error("settings file {path:?} is not valid: {}", problems.join("; "))]
    Problems {
        path: PathBuf,
        /// A description of each problem, with the key, the value and what is allowed.
        problems: Vec<String>,
    },
}

/// Returns the text of a settings file, or an error if it cannot be read.
pub(crate) fn read_text(path: &Path) -> Result<String, SettingsError> {
    std::fs::read_to_string(path).map_err(|reason| SettingsError::Read {
        path: path.to_owned(),
        reason,
    })
}

/// Parses the text of a settings file and validates the settings. `problems` returns a description
/// of each value that is not allowed; `path` only appears in errors.
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

/// Returns a problem for each invalid name in `names`, which are pairs of a key and its value.
pub(crate) fn name_problems<'a>(
    names: &'a [(&str, &String)],
) -> impl Iterator<Item = String> + use<'a> {
    let invalid = names.iter().filter(|(_, name)| !is_valid_name(name));
    invalid.map(|(key, name)| problem(key, &format!("{name:?}"), NAME_RULE))
}

/// Returns a problem for each value that is out of its range.
pub(crate) fn range_problems<S>(limits: &[Limit<S>], settings: &S) -> impl Iterator<Item = String> {
    limits.iter().filter_map(|limit| {
        let value = limit.violation(settings)?;
        Some(problem(limit.key, &value, &limit.allowed()))
    })
}

impl Settings {
    /// Reads and validates a settings file. Returns an error if the file cannot be read, is not
    /// valid TOML of this form, or contains values that are not allowed.
    pub fn read(path: &Path) -> Result<Settings, SettingsError> {
        Settings::parse(&read_text(path)?, path)
    }

    /// Parses and validates the text of a settings file; `path` only appears in errors. Returns an
    /// error as [`Settings::read`] does.
    pub fn parse(text: &str, path: &Path) -> Result<Settings, SettingsError> {
        parse_text(text, path, Settings::problems)
    }

    /// Returns a description of each value that is not allowed.
    fn problems(&self) -> Vec<String> {
        let names = [
            ("instance.name", &self.instance.name),
            ("instance.zone", &self.instance.zone),
        ];
        let relations = self.relations().into_iter();
        let relations = relations.filter(|(_, _, valid, _)| !valid);
        let relations = relations.map(|(key, value, _, allowed)| problem(key, &value, allowed));
        name_problems(&names)
            .chain(range_problems(LIMITS, self))
            .chain(relations)
            .collect()
    }

    /// Returns the rules that relate two settings, each as a key, its value, whether the rule holds,
    /// and what is allowed.
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

/// Describes the valid names of instances and zones; see [`is_valid_name`].
const NAME_RULE: &str = "1 to 63 characters of a-z, 0-9, '-' and '.'";

fn is_valid_name(name: &str) -> bool {
    let allowed = |b: u8| b.is_ascii_lowercase() || b.is_ascii_digit() || b == b'-' || b == b'.';
    !name.is_empty() && name.len() <= 63 && name.bytes().all(allowed)
}
