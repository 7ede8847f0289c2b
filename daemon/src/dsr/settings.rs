//! Settings of the daemon in direct server return mode, read from one TOML file.

use std::net::SocketAddrV4;
use std::path::Path;
use std::time::Duration;

use lovagespindle_decisions::dsr::settings::Settings as DecisionSettings;
use lovagespindle_decisions::dsr::shutdown::ShutdownSettings;
use serde::{
    Deserialize,
    Serialize, //
};

use crate::limits::DSR_LIMITS;
use crate::logging::LogSettings;
use crate::settings::{
    SettingsError,
    name_problems,
    parse_text,
    problem,
    range_problems,
    read_text, //
};

/// Settings of the daemon in direct server return mode.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    pub instance: InstanceSettings,
    pub listen: ListenSettings,
    pub store: StoreSettings,
    #[serde(default)]
    pub peers: PeerSettings,
    #[serde(default)]
    pub shutdown: ShutdownSettings,
    #[serde(default)]
    pub log: LogSettings,
    #[serde(default)]
    pub decisions: DecisionSettings,
}

/// Identity of the instance.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct InstanceSettings {
    /// Name in logs and metrics.
    pub name: String,
    /// Name of the availability zone.
    pub zone: String,
}

/// Addresses that the instance listens on.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct ListenSettings {
    /// Address for client packets (UDP). Resets are sent to the same port of the clients.
    pub clients: SocketAddrV4,
    /// Address for the routers' readiness checks (HTTP).
    pub readiness: SocketAddrV4,
    /// Address for requests of other instances (TCP).
    pub peers: SocketAddrV4,
    /// Address for metrics (HTTP). Without it, no metrics are served.
    pub metrics: Option<SocketAddrV4>,
}

/// Settings of the platform's store.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct StoreSettings {
    /// Address of the store (HTTP).
    pub address: SocketAddrV4,
    /// Time that a watch waits for changes. Together with `answer_timeout`, it bounds the time
    /// until an unresponsive connection is detected. The sum is less than the bounds of the
    /// decisions, also where another instance passes changes on.
    #[serde(with = "humantime_serde", default = "defaults::watch_wait")]
    pub watch_wait: Duration,
    /// Timeout of a call, for a watch beyond `watch_wait`. The store answers in 4 ms, and in a
    /// quarter of a second when it is slow.
    #[serde(with = "humantime_serde", default = "defaults::answer_timeout")]
    pub answer_timeout: Duration,
    /// Batch delay: time between changes and the next watch, so that changes close together need
    /// fewer calls.
    #[serde(with = "humantime_serde", default = "defaults::gather")]
    pub gather: Duration,
    /// Retry delay after the first failed call.
    #[serde(with = "humantime_serde", default = "defaults::first_pause")]
    pub first_pause: Duration,
    /// Maximum retry delay. The delay doubles with each failed call up to this value.
    #[serde(with = "humantime_serde", default = "defaults::longest_pause")]
    pub longest_pause: Duration,
}

/// What the task that calls the store goes by.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct StoreAccess {
    pub store: StoreSettings,
    /// Age at which the view of the store breaks a rule.
    pub max_age: Duration,
}

impl From<&Settings> for StoreAccess {
    fn from(settings: &Settings) -> StoreAccess {
        StoreAccess {
            store: settings.store.clone(),
            max_age: settings.decisions.max_age(),
        }
    }
}

/// Settings of the other instances.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct PeerSettings {
    /// Addresses of instances to contact at startup. Some may no longer exist, and the instance
    /// itself may be among them.
    pub seeds: Vec<SocketAddrV4>,
}

mod defaults {
    use std::time::Duration;

    pub(super) fn watch_wait() -> Duration {
        Duration::from_secs(1)
    }

    pub(super) fn gather() -> Duration {
        Duration::from_millis(100)
    }

    pub(super) fn answer_timeout() -> Duration {
        Duration::from_millis(700)
    }

    pub(super) fn first_pause() -> Duration {
        Duration::from_millis(50)
    }

    pub(super) fn longest_pause() -> Duration {
        Duration::from_millis(800)
    }
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
        let pairs = self.ordered().into_iter().filter(|pair| pair.1 > pair.3);
        let pairs = pairs.map(|(lower_key, lower, upper_key, upper)| {
            let allowed = format!("at most {upper_key}, which is {upper:?}");
            problem(lower_key, &format!("{lower:?}"), &allowed)
        });
        name_problems(&names)
            .chain(range_problems(DSR_LIMITS, self))
            .chain(pairs)
            .chain(self.slow_watch())
            .collect()
    }

    /// Returns a description of a watch whose failure would be noticed only after the bounds of the
    /// rules have passed.
    fn slow_watch(&self) -> Option<String> {
        let noticed = self
            .store
            .watch_wait
            .saturating_add(self.store.answer_timeout);
        let bound = self.decisions.max_age();
        let allowed = format!(
            "less than {bound:?} together with store.answer_timeout, the smaller of \
             decisions.drain_bound and decisions.config_bound"
        );
        let value = format!("{:?}", self.store.watch_wait);
        (noticed >= bound).then(|| problem("store.watch_wait", &value, &allowed))
    }

    /// Returns pairs of durations of which the first must not exceed the second.
    fn ordered(&self) -> [(&'static str, Duration, &'static str, Duration); 3] {
        let (store, decisions) = (&self.store, &self.decisions);
        [
            (
                "store.first_pause",
                store.first_pause,
                "store.longest_pause",
                store.longest_pause,
            ),
            (
                "decisions.shortest_wait",
                decisions.shortest_wait,
                "decisions.longest_wait",
                decisions.longest_wait,
            ),
            (
                "decisions.first_retry",
                decisions.first_retry,
                "decisions.longest_retry",
                decisions.longest_retry,
            ),
        ]
    }
}
