//! Settings of the daemon on the users' platform, read from one TOML file.

use std::net::SocketAddrV4;
use std::path::Path;
use std::time::Duration;

use lovagespindle_decisions::dsr::settings::Settings as DecisionSettings;
use serde::{
    Deserialize,
    Serialize, //
};

use crate::limits::DSR_LIMITS;
use crate::logging::LogSettings;
use crate::settings::{
    SettingsError,
    fault,
    name_faults,
    parse_text,
    range_faults,
    read_text, //
};

/// Settings of the daemon on the users' platform.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// Who the instance is.
    pub instance: InstanceSettings,
    /// Where the instance listens.
    pub listen: ListenSettings,
    /// The platform's store.
    pub store: StoreSettings,
    /// The other instances.
    #[serde(default)]
    pub peers: PeerSettings,
    /// Planned shutdown.
    #[serde(default)]
    pub shutdown: ShutdownSettings,
    /// Logs.
    #[serde(default)]
    pub log: LogSettings,
    /// The decisions.
    #[serde(default)]
    pub decisions: DecisionSettings,
}

/// Who the instance is.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct InstanceSettings {
    /// Shown in logs.
    pub name: String,
    /// The name of its availability zone.
    pub zone: String,
}

/// Where the instance listens.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct ListenSettings {
    /// Packets of clients (UDP). Resets go to clients at the same port.
    pub clients: SocketAddrV4,
    /// Readiness checks of the routers (HTTP).
    pub readiness: SocketAddrV4,
    /// Questions of other instances (TCP).
    pub peers: SocketAddrV4,
    /// Metrics (HTTP).
    pub metrics: Option<SocketAddrV4>,
}

/// The platform's store.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct StoreSettings {
    /// Its address (HTTP).
    pub address: SocketAddrV4,
    /// How long a watch waits for changes. With `answer_timeout`, it bounds how long a silent
    /// connection goes unnoticed: less than the 3 s in which changes are to be in force, also where
    /// another instance passes them on.
    #[serde(with = "humantime_serde", default = "defaults::watch_wait")]
    pub watch_wait: Duration,
    /// How long an answer may take beyond that. The store answers in 4 ms, and in a quarter of a
    /// second when it is slow.
    #[serde(with = "humantime_serde", default = "defaults::answer_timeout")]
    pub answer_timeout: Duration,
    /// The pause between changes and the next watch. It gathers changes that come together into
    /// fewer calls.
    #[serde(with = "humantime_serde", default = "defaults::gather")]
    pub gather: Duration,
    /// The first pause after a failed call.
    #[serde(with = "humantime_serde", default = "defaults::first_pause")]
    pub first_pause: Duration,
    /// The longest such pause; pauses double up to it.
    #[serde(with = "humantime_serde", default = "defaults::longest_pause")]
    pub longest_pause: Duration,
}

/// The other instances.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct PeerSettings {
    /// Some instances to begin with. They may be stale, and the instance itself may be among them.
    pub seeds: Vec<SocketAddrV4>,
}

/// Planned shutdown.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct ShutdownSettings {
    /// How long packets are still forwarded after SIGTERM. The routers need two readiness checks,
    /// half a second apart, to send packets elsewhere.
    #[serde(with = "humantime_serde")]
    pub linger: Duration,
}

impl Default for ShutdownSettings {
    fn default() -> ShutdownSettings {
        ShutdownSettings {
            linger: Duration::from_secs(2),
        }
    }
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
    /// Reads and checks a file.
    pub fn read(path: &Path) -> Result<Settings, SettingsError> {
        Settings::parse(&read_text(path)?, path)
    }

    /// Parses and checks the text of a file.
    pub fn parse(text: &str, path: &Path) -> Result<Settings, SettingsError> {
        parse_text(text, path, Settings::faults)
    }

    /// Returns all values that are not allowed.
    fn faults(&self) -> Vec<String> {
        let names = [
            ("instance.name", &self.instance.name),
            ("instance.zone", &self.instance.zone),
        ];
        let pairs = self.ordered().into_iter().filter(|pair| pair.1 > pair.3);
        let pairs = pairs.map(|(low, least, high, most)| {
            let allowed = format!("at most {high}, which is {most:?}");
            fault(low, &format!("{least:?}"), &allowed)
        });
        name_faults(&names)
            .chain(range_faults(DSR_LIMITS, self))
            .chain(pairs)
            .collect()
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
