//! Failure detection of one member by heartbeats and indirect probes.

use std::time::Duration;

use smallvec::SmallVec;

use crate::time::Time;

/// Maximum number of unacknowledged heartbeats that are remembered for one member. Covers the
/// failure timeout and the probes at the default period; an acknowledgement of an older heartbeat
/// renews nothing.
const MAX_PENDING: usize = 12;

/// Tracks the heartbeats to one member and decides when it failed.
#[derive(Clone, Debug)]
pub(crate) struct FailureDetector {
    /// Earliest start of the failure timeout.
    pub(crate) since: Time,
    /// Time at which the next heartbeat is due.
    pub(crate) next_heartbeat: Time,
    /// Sequence numbers and send times of unacknowledged heartbeats, oldest first.
    pending: SmallVec<[(u64, Time); MAX_PENDING]>,
    /// Times of the first and the last round of indirect probes since the last acknowledgement. The
    /// link is reopened with each round.
    probes: Option<ProbeTimes>,
}

#[derive(Clone, Copy, Debug)]
struct ProbeTimes {
    first: Time,
    last: Time,
}

impl FailureDetector {
    /// Starts monitoring at `now`; the first heartbeat is due immediately.
    pub(crate) fn new(now: Time) -> FailureDetector {
        FailureDetector {
            since: now,
            next_heartbeat: now,
            pending: SmallVec::new(),
            probes: None,
        }
    }

    /// Restarts the failure timeout after a pause of this process.
    pub(crate) fn restart(&mut self, now: Time) {
        self.since = now;
        self.next_heartbeat = now;
        self.pending.clear();
        self.probes = None;
    }

    pub(crate) fn record_sent(&mut self, sequence: u64, now: Time) {
        if self.pending.len() == MAX_PENDING {
            self.pending.remove(0);
        }
        self.pending.push((sequence, now));
    }

    /// Records an acknowledgement and returns when its heartbeat was sent, or `None` if that is no
    /// longer known.
    pub(crate) fn record_ack(&mut self, sequence: u64) -> Option<Time> {
        let index = self.pending.iter().position(|p| p.0 == sequence)?;
        let (_, sent) = self.pending[index];
        self.pending.drain(..=index);
        self.probes = None;
        Some(sent)
    }

    /// Returns whether a heartbeat is unacknowledged.
    pub(crate) fn has_pending(&self) -> bool {
        !self.pending.is_empty()
    }

    /// Returns whether the oldest unacknowledged heartbeat is older than `timeout`.
    pub(crate) fn is_silent(&self, now: Time, timeout: Duration) -> bool {
        self.pending.first().is_some_and(|p| p.1 + timeout <= now)
    }

    /// Returns when the link counts as silent and has to be reopened and probed indirectly.
    pub(crate) fn silent_at(&self, link_timeout: Duration) -> Option<Time> {
        let (_, oldest) = *self.pending.first()?;
        let silent = oldest + link_timeout;
        Some(match self.probes {
            Some(probes) => silent.max(probes.last + link_timeout),
            None => silent,
        })
    }

    /// Records that the link was reopened and indirect probes were sent.
    pub(crate) fn record_probe(&mut self, now: Time) {
        let first = self.probes.map_or(now, |p| p.first);
        self.probes = Some(ProbeTimes { first, last: now });
    }

    /// Returns when the member counts as failed: after the failure timeout, but not before indirect
    /// probes had the link timeout to succeed. Returns `None` if no probes were sent.
    pub(crate) fn failed_at(
        &self,
        last_received: Option<Time>,
        failure_timeout: Duration,
        link_timeout: Duration,
    ) -> Option<Time> {
        let probes = self.probes?;
        let base = last_received.map_or(self.since, |t| t.max(self.since));
        Some((base + failure_timeout).max(probes.first + link_timeout))
    }
}
