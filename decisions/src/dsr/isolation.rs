//! Detects whether the instance is isolated from the other zones.
//!
//! An instance that has started probes a few backend servers, and is ready once one of them answers,
//! so that routers do not send flows to an instance that restarts behind a cut.
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

/// Maximum number of backend servers of the own zone, and of other zones, that a round probes until
/// one has answered since the start. Two zones that are cut off from each other have reachable
/// backend servers each, so those of the own zone count too.
pub(super) const START_PROBES: (usize, usize) = (2, 1);

/// The check whether an instance that has started reaches any backend server.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum StartCheck {
    /// No backend server is known yet.
    Pending,
    Running,
    Done,
}

/// Whether the instance is isolated.
#[derive(Debug)]
pub(super) struct Isolation {
    isolated: bool,
    check: StartCheck,
    /// The earliest time of the next round.
    next_round: Time,
}

impl Default for Isolation {
    fn default() -> Isolation {
        Isolation {
            isolated: false,
            check: StartCheck::Pending,
            next_round: Time::ZERO,
        }
    }
}

impl Isolation {
    pub(super) fn is_isolated(&self) -> bool {
        self.isolated
    }

    /// Returns whether the check after the start still waits for an answer.
    pub(super) fn is_unchecked(&self) -> bool {
        self.check == StartCheck::Running
    }

    /// Returns whether the check after the start is to begin.
    pub(super) fn begin_check(&mut self) -> bool {
        let begins = self.check == StartCheck::Pending;
        if begins {
            self.check = StartCheck::Running;
        }
        begins
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

    /// Returns when the next round is due, if the instance is isolated or not checked yet.
    pub(super) fn deadline(&self) -> Option<Time> {
        (self.isolated || self.is_unchecked()).then_some(self.next_round)
    }

    /// Records the outcome of a round. Returns whether the state changed.
    pub(super) fn record_round(&mut self, probed: usize, reached: usize) -> bool {
        let before = self.isolated;
        if reached > 0 {
            self.isolated = false;
            if self.is_unchecked() {
                self.check = StartCheck::Done;
                // The round is over, and flows may fail right after the start.
                self.next_round = Time::ZERO;
            }
        } else if probed >= MIN_PROBES {
            self.isolated = true;
        } else if self.check == StartCheck::Running {
            // A single backend server may be dead.
            self.check = StartCheck::Done;
        }
        self.isolated != before
    }
}
