//! Heartbeats to one member and what their silence means.

use std::time::Duration;

use smallvec::SmallVec;

use crate::time::Time;

/// The most unanswered heartbeats remembered for one member. Covers the failure timeout with its
/// probes at the default period; an acknowledgement after that renews nothing.
const MAX_PENDING: usize = 12;

/// Watches one member by heartbeats.
#[derive(Clone, Debug)]
pub(crate) struct FailureDetector {
    /// When the failure timeout starts at the earliest.
    pub(crate) since: Time,
    /// When the next heartbeat is due.
    pub(crate) next_heartbeat: Time,
    /// Unanswered heartbeats, oldest first: sequence and time of sending.
    pending: SmallVec<[(u64, Time); MAX_PENDING]>,
    /// When the link was last reopened and indirect probes were sent, and for the first time
    /// since the last acknowledgement.
    probes: Option<ProbeTimes>,
}

#[derive(Clone, Copy, Debug)]
struct ProbeTimes {
    first: Time,
    last: Time,
}

impl FailureDetector {
    /// Starts to watch at `now`; the first heartbeat is due at once.
    pub(crate) fn new(now: Time) -> FailureDetector {
        FailureDetector {
            since: now,
            next_heartbeat: now,
            pending: SmallVec::new(),
            probes: None,
        }
    }

    /// Starts the failure timeout anew, as after a pause of this process.
    pub(crate) fn restart(&mut self, now: Time) {
        self.since = now;
        self.next_heartbeat = now;
        self.pending.clear();
        self.probes = None;
    }

    /// Notes that a heartbeat was sent.
    pub(crate) fn record_sent(&mut self, sequence: u64, now: Time) {
        if self.pending.len() == MAX_PENDING {
            self.pending.remove(0);
        }
        self.pending.push((sequence, now));
    }

    /// Notes an acknowledgement and returns when the heartbeat was sent, if it is still known.
    pub(crate) fn record_ack(&mut self, sequence: u64) -> Option<Time> {
        let at = self.pending.iter().position(|p| p.0 == sequence)?;
        let (_, sent) = self.pending[at];
        self.pending.drain(..=at);
        self.probes = None;
        Some(sent)
    }

    /// Returns whether a heartbeat waits for its acknowledgement.
    pub(crate) fn has_pending(&self) -> bool {
        !self.pending.is_empty()
    }

    /// Returns whether the oldest unanswered heartbeat is older than `timeout`.
    pub(crate) fn is_silent(&self, now: Time, timeout: Duration) -> bool {
        self.pending.first().is_some_and(|p| p.1 + timeout <= now)
    }

    /// Returns when the link counts as silent and has to be reopened and probed around.
    pub(crate) fn silent_at(&self, link_timeout: Duration) -> Option<Time> {
        let (_, oldest) = *self.pending.first()?;
        let silent = oldest + link_timeout;
        Some(match self.probes {
            Some(probes) => silent.max(probes.last + link_timeout),
            None => silent,
        })
    }

    /// Notes that indirect probes were sent.
    pub(crate) fn record_probe(&mut self, now: Time) {
        let first = self.probes.map_or(now, |p| p.first);
        self.probes = Some(ProbeTimes { first, last: now });
    }

    /// Returns when the member counts as failed, given when a message of it last arrived: after the failure
    /// timeout, and not before indirect probes had the link timeout to succeed.
    pub(crate) fn failed_at(
        &self,
        last_received: Option<Time>,
        failure_timeout: Duration,
        link_timeout: Duration,
    ) -> Option<Time> {
        let probes = self.probes?;
        let base = last_received.map_or(self.since, |h| h.max(self.since));
        Some((base + failure_timeout).max(probes.first + link_timeout))
    }
}
