//! Heartbeats to one member and what their silence means.

use std::time::Duration;

use smallvec::SmallVec;

use crate::time::Time;

/// The most unanswered heartbeats remembered for one member. Covers the failure timeout with its
/// probes at the default period; an acknowledgement after that renews nothing.
const MAX_PENDING: usize = 12;

/// Watches one member by heartbeats.
#[derive(Clone, Debug)]
pub(crate) struct Watch {
    /// When the failure timeout starts at the earliest.
    pub(crate) since: Time,
    /// When the next heartbeat is due.
    pub(crate) next: Time,
    /// Unanswered heartbeats, oldest first: sequence and time of sending.
    pending: SmallVec<[(u64, Time); MAX_PENDING]>,
    /// When the link was last reopened and indirect probes were sent, and for the first time
    /// since the last acknowledgement.
    probed: Option<Probed>,
}

#[derive(Clone, Copy, Debug)]
struct Probed {
    first: Time,
    last: Time,
}

impl Watch {
    /// Starts to watch at `now`; the first heartbeat is due at once.
    pub(crate) fn new(now: Time) -> Watch {
        Watch {
            since: now,
            next: now,
            pending: SmallVec::new(),
            probed: None,
        }
    }

    /// Starts the failure timeout anew, as after a pause of this process.
    pub(crate) fn restart(&mut self, now: Time) {
        self.since = now;
        self.next = now;
        self.pending.clear();
        self.probed = None;
    }

    /// Notes that a heartbeat was sent.
    pub(crate) fn sent(&mut self, sequence: u64, now: Time) {
        if self.pending.len() == MAX_PENDING {
            self.pending.remove(0);
        }
        self.pending.push((sequence, now));
    }

    /// Notes an acknowledgement and returns when the heartbeat was sent, if it is still known.
    pub(crate) fn answered(&mut self, sequence: u64) -> Option<Time> {
        let at = self.pending.iter().position(|p| p.0 == sequence)?;
        let (_, sent) = self.pending[at];
        self.pending.drain(..=at);
        self.probed = None;
        Some(sent)
    }

    /// Returns whether a heartbeat waits for its acknowledgement.
    pub(crate) fn waiting(&self) -> bool {
        !self.pending.is_empty()
    }

    /// Returns whether the oldest unanswered heartbeat is older than `timeout`.
    pub(crate) fn silent(&self, now: Time, timeout: Duration) -> bool {
        self.pending.first().is_some_and(|p| p.1 + timeout <= now)
    }

    /// Returns when the link counts as silent and has to be reopened and probed around.
    pub(crate) fn silent_at(&self, link_timeout: Duration) -> Option<Time> {
        let (_, oldest) = *self.pending.first()?;
        let silent = oldest + link_timeout;
        Some(match self.probed {
            Some(probed) => silent.max(probed.last + link_timeout),
            None => silent,
        })
    }

    /// Notes that indirect probes were sent.
    pub(crate) fn probed(&mut self, now: Time) {
        let first = self.probed.map_or(now, |p| p.first);
        self.probed = Some(Probed { first, last: now });
    }

    /// Returns when the member counts as failed, given when it was last heard: after the failure
    /// timeout, and not before indirect probes had the link timeout to succeed.
    pub(crate) fn failed_at(
        &self,
        heard: Option<Time>,
        failure_timeout: Duration,
        link_timeout: Duration,
    ) -> Option<Time> {
        let probed = self.probed?;
        let base = heard.map_or(self.since, |h| h.max(self.since));
        Some((base + failure_timeout).max(probed.first + link_timeout))
    }
}
