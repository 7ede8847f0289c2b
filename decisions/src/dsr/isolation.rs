//! Detects whether the instance is isolated from the other zones.
//!
//! An instance that reaches no backend server of a service probes other zones. If it reaches none,
//! it is isolated and reports that it is not ready, so that clients use other instances. If it
//! reaches some, the service is down, and other instances could not serve the clients either.

use std::time::Duration;

use crate::time::Time;

/// Interval between two rounds of probes. A round takes up to 300 ms.
const ROUND_INTERVAL: Duration = Duration::from_millis(500);

/// Smallest number of failed probes that shows that the instance is isolated.
pub(super) const MIN_PROBES: usize = 2;

/// Number of backend servers of other zones that one round probes.
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

    /// Starts a round of probes unless the last one is too recent. Returns whether it starts.
    pub(super) fn start_round(&mut self, now: Time) -> bool {
        let starts = now >= self.next_round;
        if starts {
            self.next_round = now + ROUND_INTERVAL;
        }
        starts
    }

    /// Returns when the next round is due, if the instance is isolated.
    pub(super) fn deadline(&self) -> Option<Time> {
        self.isolated.then_some(self.next_round)
    }

    /// Records the outcome of a round. Returns whether the instance became isolated or ceased to
    /// be.
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
