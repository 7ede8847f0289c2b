//! Whether the instance is cut off from the other zones.
//!
//! An instance that reaches no backend server of a service sends its clients elsewhere, by way of
//! its readiness, if it is the one that is cut off. If others are reached, the service is down, and
//! clients would find no better instance.

use std::time::Duration;

use crate::time::Time;

/// The time between two rounds of probes. A round takes up to 300 ms.
const ROUND_INTERVAL: Duration = Duration::from_millis(500);

/// The least number of backend servers that must be silent for a conclusion.
pub(super) const MIN_PROBES: usize = 2;

/// How many backend servers of other zones one round probes.
pub(super) const PROBES_PER_ROUND: usize = 4;

/// Whether the instance is cut off.
#[derive(Debug)]
pub(super) struct Isolation {
    isolated: bool,
    /// When the next round may start.
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

    /// Returns whether a round of probes starts, as a flow found no backend server that answers.
    pub(super) fn start_round(&mut self, now: Time) -> bool {
        let starts = now >= self.next_round;
        if starts {
            self.next_round = now + ROUND_INTERVAL;
        }
        starts
    }

    /// Returns when the next round is due, while the instance is cut off.
    pub(super) fn deadline(&self) -> Option<Time> {
        self.isolated.then_some(self.next_round)
    }

    /// Takes the outcome of a round. Returns whether the belief changed.
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
