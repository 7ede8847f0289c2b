//! Estimates handshake timeouts, for each zone of backend servers.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use super::settings::Settings;

/// Inverse weight of a new sample in the average, as in TCP's retransmission timer.
const MEAN_WEIGHT: u32 = 8;
/// Inverse weight of a new sample in the deviation.
const DEVIATION_WEIGHT: u32 = 4;
/// Number of deviations that are added to the average, as in TCP's retransmission timer.
const DEVIATIONS: u32 = 4;

#[derive(Clone, Copy, Debug)]
struct Estimate {
    mean: Duration,
    deviation: Duration,
}

/// Estimates the time from a SYN to the client's next packet.
#[derive(Debug, Default)]
pub(super) struct HandshakeEstimator {
    zones: HashMap<Arc<str>, Estimate>,
}

impl HandshakeEstimator {
    /// Records the duration of a handshake with a backend server of `zone`.
    pub(super) fn record(&mut self, zone: &Arc<str>, sample: Duration, settings: &Settings) {
        let sample = sample.min(settings.longest_wait);
        match self.zones.get_mut(zone) {
            Some(estimate) => {
                let difference = sample.abs_diff(estimate.mean);
                estimate.deviation = ewma(estimate.deviation, difference, DEVIATION_WEIGHT);
                estimate.mean = ewma(estimate.mean, sample, MEAN_WEIGHT);
            }
            None => {
                let first = Estimate {
                    mean: sample,
                    deviation: sample / 2,
                };
                self.zones.insert(zone.clone(), first);
            }
        }
    }

    /// Returns the handshake timeout for backend servers of `zone`.
    pub(super) fn timeout(&self, zone: &str, settings: &Settings) -> Duration {
        let Some(estimate) = self.zones.get(zone) else {
            return settings.longest_wait;
        };
        let timeout = estimate.mean + estimate.deviation * DEVIATIONS;
        timeout.clamp(settings.shortest_wait, settings.longest_wait)
    }
}

fn ewma(average: Duration, sample: Duration, weight: u32) -> Duration {
    (average * (weight - 1) + sample) / weight
}
