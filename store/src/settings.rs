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
    /// The URL of the service.
    pub endpoint: String,
    /// How long one call may take.
    #[serde(with = "humantime_serde")]
    pub call_timeout: Duration,
    /// How often a write is sent before its outcome is reported as unknown; at least 1.
    pub write_attempts: u32,
    /// The pause after a first failure; doubled after each further one.
    #[serde(with = "humantime_serde")]
    pub first_pause: Duration,
    /// The longest pause between attempts.
    #[serde(with = "humantime_serde")]
    pub longest_pause: Duration,
    /// How many calls fail in a row before the platform is reported as lost.
    pub lost_after: u32,
    /// How often the list of instances is read. 19,000 instances make 317 calls a second of the
    /// two thousand that the service takes.
    #[serde(with = "humantime_serde")]
    pub list_interval: Duration,
    /// How often a connection is probed, so that a silent one is replaced.
    #[serde(with = "humantime_serde")]
    pub probe_interval: Duration,
    /// How long the answer to a probe may take.
    #[serde(with = "humantime_serde")]
    pub probe_timeout: Duration,
    /// After how many changes a snapshot is written.
    pub snapshot_every: u64,
    /// How many changes before the snapshot are kept.
    pub kept_changes: u64,
    /// The longest part of a snapshot in bytes. The service takes values up to one megabyte.
    pub part_bytes: usize,
    /// How long the writer of a snapshot holds its role without renewal; in whole seconds.
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
