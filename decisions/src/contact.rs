//! Contacts in the other zones of the region.

use std::time::Duration;

use smallvec::SmallVec;

use crate::ids::{
    InstanceId,
    ZoneId, //
};
use crate::time::Time;

/// Maximum number of contacts that are tried in parallel when the only one is silent.
pub(crate) const MAX_CONTACTS: usize = 3;

/// Time to wait for the members of a returning zone before another contact is tried.
const RETURN_TIMEOUT: Duration = Duration::from_secs(1);

/// Maximum factor by which the interval between pulls grows.
const MAX_BACKOFF: u32 = 8;

/// Contacts of this instance in one zone. The local zone has an entry too, without contacts.
#[derive(Debug)]
pub(crate) struct Contacts {
    pub(crate) zone: ZoneId,
    /// One contact while it answers, up to [`MAX_CONTACTS`] while none does.
    pub(crate) ids: SmallVec<[InstanceId; MAX_CONTACTS]>,
    /// False from the failure of all contacts until the zone has returned.
    pub(crate) reachable: bool,
    /// True from the first message of an unreachable zone until its members are known.
    pub(crate) returning: bool,
    /// Time of the next attempt to reach an unreachable zone, or of the end of the wait for the
    /// members of a returning zone.
    pub(crate) retry: Time,
    /// Time between attempts; doubles up to its maximum while the zone is unreachable.
    interval: Duration,
    /// Time since which the digests differ.
    differs_since: Option<Time>,
    last_pull: Option<Time>,
    /// Number of pulls since the digests were last equal.
    pulls: u32,
}

/// Action that follows a comparison of digests.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum SyncAction {
    None,
    /// Pull the members from the contact.
    Pull,
    /// Pull the members and send the local ones.
    Exchange,
}

impl Contacts {
    pub(crate) fn new(zone: ZoneId) -> Contacts {
        Contacts {
            zone,
            ids: SmallVec::new(),
            reachable: true,
            returning: false,
            retry: Time::ZERO,
            interval: Duration::ZERO,
            differs_since: None,
            last_pull: None,
            pulls: 0,
        }
    }

    /// Records that all contacts failed, or that an attempt to reach an unreachable zone did. The
    /// retry delay starts at `first` and doubles up to `max`.
    pub(crate) fn mark_unreachable(&mut self, now: Time, first: Duration, max: Duration) {
        self.interval = if self.reachable {
            first
        } else {
            (self.interval * 2).clamp(first, max)
        };
        self.reachable = false;
        self.returning = false;
        self.retry = now + self.interval;
        self.ids.clear();
    }

    /// Records that a message of the zone was received. An unreachable zone starts to return, and
    /// is reachable after [`Contacts::complete_return`].
    pub(crate) fn record_received(&mut self, now: Time) {
        if !self.reachable && !self.returning {
            self.returning = true;
            self.retry = now + RETURN_TIMEOUT;
            self.last_pull = None;
            self.pulls = 0;
        }
    }

    /// Marks a returning zone as reachable because its members are known. Returns whether it was
    /// returning.
    pub(crate) fn complete_return(&mut self) -> bool {
        if !self.returning {
            return false;
        }
        self.returning = false;
        self.reachable = true;
        true
    }

    /// Returns the action for the result of a digest comparison. Digests may differ while updates
    /// are in transit, so there is no action for the time `settle`, except on the first contact.
    /// The interval between actions starts at `interval` and grows, so that a zone whose digests
    /// keep differing costs little.
    pub(crate) fn compare(
        &mut self,
        now: Time,
        equal: bool,
        settle: Duration,
        interval: Duration,
    ) -> SyncAction {
        if equal {
            self.differs_since = None;
            self.pulls = 0;
            return SyncAction::None;
        }
        let since = *self.differs_since.get_or_insert(now);
        let interval = interval * self.pulls.clamp(1, MAX_BACKOFF);
        let too_early = self.last_pull.is_some_and(|p| now.since(p) < interval);
        if too_early || !(self.last_pull.is_none() || now.since(since) >= settle) {
            return SyncAction::None;
        }
        self.last_pull = Some(now);
        self.pulls += 1;
        match self.pulls {
            1 => SyncAction::Pull,
            _ => SyncAction::Exchange,
        }
    }
}
