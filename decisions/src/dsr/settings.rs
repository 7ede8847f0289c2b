//! Settings of the decisions for direct server return.

use std::time::Duration;

use serde::{
    Deserialize,
    Serialize, //
};

#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Settings {
    /// Time within which a backend server that leaves must get no new flows, from the store's
    /// acknowledgement to the last SYN.
    #[serde(with = "humantime_serde")]
    pub drain_bound: Duration,
    /// Time within which an acknowledged configuration must be in force.
    #[serde(with = "humantime_serde")]
    pub config_bound: Duration,
    /// Lower bound of the handshake timeout, after which a SYN is also sent to another backend
    /// server. It exceeds the round-trip time between the most distant zones and clients.
    #[serde(with = "humantime_serde")]
    pub shortest_wait: Duration,
    /// Upper bound of the handshake timeout. Clients retransmit a SYN after 200 ms.
    #[serde(with = "humantime_serde")]
    pub longest_wait: Duration,
    /// First retry delay for a backend server whose handshakes time out.
    #[serde(with = "humantime_serde")]
    pub first_retry: Duration,
    /// Longest retry delay; delays double up to it.
    #[serde(with = "humantime_serde")]
    pub longest_retry: Duration,
    /// Time for which a backend server whose handshakes complete again gets one flow at a time. It
    /// may have restarted and be cold.
    #[serde(with = "humantime_serde")]
    pub recovery: Duration,
    /// Time for which a backend server may still be used after its entry was removed, if it was not
    /// draining. Entries expire while the store is unavailable, and are written again within two
    /// seconds after its return.
    #[serde(with = "humantime_serde")]
    pub lapse: Duration,
    /// Time for which a restored zone gets no new flows. Its backend servers may be cold and report
    /// it only with their next heartbeat. While the store is unavailable, the zone gets no
    /// flows for the longest warm-up time.
    #[serde(with = "humantime_serde")]
    pub zone_return: Duration,
    /// Number of additional active flows that a backend server of the local zone may have, compared
    /// with one of another zone, before the other is preferred.
    pub zone_preference: f64,
    /// Time without packets after which a flow is inactive and occupies no slot.
    #[serde(with = "humantime_serde")]
    pub pause: Duration,
    /// Maximum number of flows with a record. Further flows are forwarded by their tags only.
    pub max_flows: usize,
}

impl Default for Settings {
    fn default() -> Settings {
        Settings {
            drain_bound: Duration::from_secs(3),
            config_bound: Duration::from_secs(3),
            shortest_wait: Duration::from_millis(40),
            longest_wait: Duration::from_millis(180),
            first_retry: Duration::from_millis(500),
            longest_retry: Duration::from_secs(4),
            recovery: Duration::from_secs(2),
            lapse: Duration::from_millis(2_200),
            zone_return: Duration::from_millis(1_500),
            zone_preference: 1.5,
            pause: Duration::from_secs(1),
            max_flows: 200_000,
        }
    }
}

impl Settings {
    /// Returns the age at which the view of the store is too old to open flows without breaking a
    /// bound.
    pub fn max_age(&self) -> Duration {
        self.drain_bound.min(self.config_bound)
    }
}
