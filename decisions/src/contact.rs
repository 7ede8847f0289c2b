//! Contacts in the other zones of the region.

use std::time::Duration;

use smallvec::SmallVec;

use crate::ids::{
    InstanceId,
    ZoneId, //
};
use crate::time::Time;

/// How many contacts are tried at once when the only one goes silent.
pub(crate) const MAX_CONTACTS: usize = 3;

/// How long to wait for the members of a zone that comes back, before another contact is tried.
const RETURN_TIMEOUT: Duration = Duration::from_secs(1);

/// How many times the pause between pulls grows at most.
const MAX_BACKOFF: u32 = 8;

/// The contacts of this instance in one zone.
#[derive(Debug)]
pub(crate) struct Contacts {
    /// The zone; the own zone has an entry too, without contacts.
    pub(crate) zone: ZoneId,
    /// One while it answers, up to [`MAX_CONTACTS`] while none does.
    pub(crate) ids: SmallVec<[InstanceId; MAX_CONTACTS]>,
    /// False from the failure of all contacts until the zone came back.
    pub(crate) reachable: bool,
    /// Set from the first sign of life of an unreachable zone until its members are known.
    pub(crate) returning: bool,
    /// When the next attempt on an unreachable zone is due.
    pub(crate) retry: Time,
    /// The time between attempts; rises up to its bound while the zone is unreachable.
    interval: Duration,
    /// Since when the digests differ.
    differs_since: Option<Time>,
    /// When the members were last pulled.
    last_pull: Option<Time>,
    /// How often the members were pulled since the digests were last equal.
    pulls: u32,
}

/// What to do about digests that differ.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum SyncAction {
    /// Nothing.
    None,
    /// Ask for the members.
    Pull,
    /// Ask for the members and send those that are known here.
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

    /// Notes that all contacts failed, or that an attempt on an unreachable zone did.
    pub(crate) fn mark_unreachable(&mut self, now: Time, first: Duration, most: Duration) {
        self.interval = if self.reachable {
            first
        } else {
            (self.interval * 2).clamp(first, most)
        };
        self.reachable = false;
        self.returning = false;
        self.retry = now + self.interval;
        self.ids.clear();
    }

    /// Notes that a member of the zone was heard. An unreachable zone begins to come back, and
    /// counts as reachable after [`Contacts::complete_return`].
    pub(crate) fn record_received(&mut self, now: Time) {
        if !self.reachable && !self.returning {
            self.returning = true;
            self.retry = now + RETURN_TIMEOUT;
            self.last_pull = None;
            self.pulls = 0;
        }
    }

    /// Notes that the members of a zone that comes back are known, and returns whether it was
    /// coming back.
    pub(crate) fn complete_return(&mut self) -> bool {
        if !self.returning {
            return false;
        }
        self.returning = false;
        self.reachable = true;
        true
    }

    /// Compares digests and returns what to do: nothing while they may differ because news is on
    /// its way, except on the first contact. Repeated remedies become rarer, so that a zone that
    /// never settles costs little.
    pub(crate) fn compare(
        &mut self,
        now: Time,
        equal: bool,
        settle: Duration,
        pause: Duration,
    ) -> SyncAction {
        if equal {
            self.differs_since = None;
            self.pulls = 0;
            return SyncAction::None;
        }
        let since = *self.differs_since.get_or_insert(now);
        let pause = pause * self.pulls.clamp(1, MAX_BACKOFF);
        let paused = self.last_pull.is_some_and(|p| now.since(p) < pause);
        if paused || !(self.last_pull.is_none() || now.since(since) >= settle) {
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
