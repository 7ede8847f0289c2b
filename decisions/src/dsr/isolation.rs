//! Detects whether the instance is isolated from the other zones.
//!
//! If no backend server of a service answers, the instance probes backend servers of other zones.
//! If none of them answers, the instance is isolated and reports that it is not ready, so that
//! clients use other instances. If any answers, the fault is taken to be in the service, which
//! other instances could not serve either.

use std::time::Duration;

use crate::time::Time;

/// Minimum interval between the starts of two rounds of probes. It is longer than the probe timeout
/// of 300 ms, so that rounds do not overlap.
const ROUND_INTERVAL: Duration = Duration::from_millis(500);

/// Minimum number of probes in a round, all of them failed, for the instance to count as isolated.
pub(super) const MIN_PROBES: usize = 2;

/// Maximum number of backend servers of other zones that one round probes.
pub(super) const PROBES_PER_ROUND: usize = 4;

/// Whether the instance is isolated.
#[derive(Debug)]
pub(super) struct Isolation {
    isolated: bool,
    /// The earliest time of the next round.
    next_round: Time,
}

impl Default for Isolation {
    fn default() -> Isolation {
        Isolation {
            isolated: false,
            next_round: Time::ZERO,
        }
    }
}

impl Isolation {
    pub(super) fn is_isolated(&self) -> bool {
        self.isolated
    }

    /// Returns whether a round of probes may start now. If so, the caller must start it, and the
    /// next one may start [`ROUND_INTERVAL`] later.
    pub(super) fn permit_round(&mut self, now: Time) -> bool {
        let permitted = now >= self.next_round;
        if permitted {
            self.next_round = now + ROUND_INTERVAL;
        }
        permitted
    }

    /// Returns when the next round is due, if the instance is isolated.
    pub(super) fn deadline(&self) -> Option<Time> {
        self.isolated.then_some(self.next_round)
    }

    /// Records the outcome of a round. Returns whether the state changed.
    pub(super) fn record_round(&mut self, probed: usize, reached: usize) -> bool {
        let before = self.isolated;
        if reached > 0 {
            self.isolated = false;
        } else if probed >= MIN_PROBES {
            self.isolated = true;
        }
        self.isolated != before
    }
}
