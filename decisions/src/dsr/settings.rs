//! Settings of the decisions for direct server return.

use std::time::Duration;

use serde::{
    Deserialize,
    Serialize, //
};

/// Settings of the decisions.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Settings {
    /// The least time an opening packet waits for the client's next packet before it is also sent
    /// to another backend server. Above a round trip between the most distant zones and clients.
    #[serde(with = "humantime_serde")]
    pub shortest_wait: Duration,
    /// The longest such wait. Clients send a copy themselves after 200 ms.
    #[serde(with = "humantime_serde")]
    pub longest_wait: Duration,
    /// The first pause before a backend server that does not answer is tried again.
    #[serde(with = "humantime_serde")]
    pub first_retry: Duration,
    /// The longest such pause; pauses double up to it.
    #[serde(with = "humantime_serde")]
    pub longest_retry: Duration,
    /// How long a backend server that answers again takes one flow at a time. It may have started
    /// anew and be cold.
    #[serde(with = "humantime_serde")]
    pub recovery: Duration,
    /// How long a backend server whose entry was removed may still be used, if it was not draining.
    /// Entries lapse while the store is away, and are back two seconds after its return.
    #[serde(with = "humantime_serde")]
    pub lapse: Duration,
    /// How long a zone that is back in service waits for its first flows. Its backend servers may
    /// be cold and have yet to say so in their next heartbeat. While the store is away, the wait is
    /// as long as they stay cold.
    #[serde(with = "humantime_serde")]
    pub zone_return: Duration,
    /// How many more busy flows a backend server of the own zone may have than one of another zone
    /// before the other is preferred.
    pub zone_preference: f64,
    /// A flow without packets for this long counts as pausing and occupies no slot.
    #[serde(with = "humantime_serde")]
    pub pause: Duration,
    /// The most flows with a record. Flows beyond it are forwarded by their tags alone.
    pub max_flows: usize,
}

impl Default for Settings {
    fn default() -> Settings {
        Settings {
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
