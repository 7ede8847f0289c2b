//! Settings of the client of the platform's key-value service.

use std::time::Duration;

use serde::{
    Deserialize,
    Serialize, //
};

/// Settings of the client of the platform's key-value service.
#[derive(Clone, Debug, Deserialize, Serialize, Eq, PartialEq)]
#[serde(default, deny_unknown_fields)]
pub struct Settings {
    /// URL of the service.
    pub endpoint: String,
    /// Timeout of a call.
    #[serde(with = "humantime_serde")]
    pub call_timeout: Duration,
    /// Number of attempts of a write before its outcome is reported as unknown; at least 1.
    pub write_attempts: u32,
    /// Delay after the first failure; doubled after each further one.
    #[serde(with = "humantime_serde")]
    pub first_pause: Duration,
    /// Maximum delay between attempts.
    #[serde(with = "humantime_serde")]
    pub longest_pause: Duration,
    /// Number of consecutive failed calls after which the platform is reported as unreachable.
    pub lost_after: u32,
    /// Interval between reads of the instance registry. With the default, 19,000 instances make 317
    /// of the 2,000 calls that the service handles per second.
    #[serde(with = "humantime_serde")]
    pub list_interval: Duration,
    /// Interval between keepalive probes of a connection, which detect an unresponsive one.
    #[serde(with = "humantime_serde")]
    pub probe_interval: Duration,
    /// Time after which a connection without a response to a probe is replaced.
    #[serde(with = "humantime_serde")]
    pub probe_timeout: Duration,
    /// Number of changes after which a new snapshot is written.
    pub snapshot_every: u64,
    /// Number of changes before the snapshot that are kept.
    pub kept_changes: u64,
    /// Maximum size of a snapshot part in bytes. The service accepts values of up to 1 MB.
    pub part_bytes: usize,
    /// Time to live of the snapshot writer's lease without renewal; rounded down to whole seconds.
    #[serde(with = "humantime_serde")]
    pub writer_lease: Duration,
}

impl Default for Settings {
    fn default() -> Settings {
        Settings {
            endpoint: "http://127.0.0.1:2379".to_owned(),
            call_timeout: Duration::from_secs(2),
            write_attempts: 4,
            first_pause: Duration::from_millis(100),
            longest_pause: Duration::from_secs(10),
            lost_after: 2,
            list_interval: Duration::from_secs(60),
            probe_interval: Duration::from_secs(5),
            probe_timeout: Duration::from_secs(2),
            snapshot_every: 64,
            kept_changes: 256,
            part_bytes: 900_000,
            writer_lease: Duration::from_secs(10),
        }
    }
}
