//! Chooses the members to monitor, sends heartbeats and probes to them, and declares failed members
//! dead.

use std::time::Duration;

use rand_core::RngCore;
use smallvec::SmallVec;

use crate::action::Action;
use crate::contact::MAX_CONTACTS;
use crate::failure_detector::FailureDetector;
use crate::ids::{
    InstanceId,
    ZoneId, //
};
use crate::members::MemberKey;
use crate::membership::{
    Context,
    Membership, //
};
use crate::peer::{
    Member,
    MemberState,
    MemberUpdate,
    PeerMessage, //
};
use crate::time::Time;

/// Maximum number of members of the local zone that get a heartbeat in one join attempt while no
/// other member of the zone is present.
const MAX_JOIN_ATTEMPTS: usize = 3;

/// Minimum time between two rounds of early heartbeats.
const EXPEDITE_INTERVAL: Duration = Duration::from_millis(100);

impl Membership {
    /// Restarts all failure timeouts after a pause of this process, during which it could not
    /// receive messages.
    pub(crate) fn restart_detectors(&mut self, now: Time) {
        for &key in &self.monitored {
            if let Some(detector) = self
                .members
                .by_key_mut(key)
                .and_then(|e| e.detector.as_mut())
            {
                detector.restart(now);
            }
        }
    }

    /// Declares members of the local zone dead whose failure timeout has passed.
    pub(crate) fn declare_dead(&mut self, now: Time) {
        for at in 0..self.monitored.len() {
            if self.failed_at(self.monitored[at]).is_some_and(|f| f <= now)
                && let Some(entry) = self.members.by_key(self.monitored[at])
            {
                let state = MemberState::Dead;
                self.merge(
                    now,
                    MemberUpdate {
                        state,
                        ..entry.update
                    },
                );
            }
        }
    }

    /// Returns when a monitored member counts as dead, or `None` for members of other zones, which
    /// are declared dead only by their own zone.
    fn failed_at(&self, key: MemberKey) -> Option<Time> {
        let entry = self.members.by_key(key)?;
        if !self.in_local_zone(entry.update.member.zone) {
            return None;
        }
        let settings = &self.settings;
        let detector = entry.detector.as_ref()?;
        detector.failed_at(
            entry.last_received,
            settings.failure_timeout,
            settings.link_timeout,
        )
    }

    /// Chooses another random neighbour when it is due or the current one is no longer present.
    /// Gossip along the ring alone would take a time that grows with the zone; random links make it
    /// logarithmic.
    pub(crate) fn change_neighbour(&mut self, now: Time) {
        let absent = self.neighbour.is_some_and(|id| !self.present(id));
        if now < self.next_neighbour && !absent {
            return;
        }
        self.next_neighbour = now + self.settings.neighbour_change;
        let zone = self.own.member.zone;
        self.neighbour = self.choose_present(zone, &[self.own.member.id]);
    }

    /// Maintains one contact in each other zone, and up to [`MAX_CONTACTS`] while none answers.
    /// Marks a zone as unreachable if all of its contacts fail.
    pub(crate) fn check_contacts(&mut self, now: Time) {
        for at in 0..self.zones.len() {
            if self.in_local_zone(self.zones[at].zone) {
                continue;
            }
            if self.zones[at].reachable {
                self.check_reachable(now, at);
            } else if now >= self.zones[at].retry {
                self.retry_zone(now, at);
            }
        }
    }

    fn check_reachable(&mut self, now: Time, at: usize) {
        let zone = self.zones[at].zone;
        let mut ids = std::mem::take(&mut self.zones[at].ids);
        ids.retain(|id| self.present(*id));
        let is_silent = |id: InstanceId, timeout: Duration| {
            let detector = self.members.get(id).and_then(|e| e.detector.as_ref());
            detector.is_some_and(|d| d.is_silent(now, timeout))
        };
        let settings = &self.settings;
        let answering = ids
            .iter()
            .copied()
            .find(|&id| !is_silent(id, settings.link_timeout) && self.is_answering(id));
        let failed = !ids.is_empty()
            && ids
                .iter()
                .all(|&id| is_silent(id, settings.failure_timeout));
        let silent = ids.iter().all(|&id| is_silent(id, settings.link_timeout));
        if let Some(id) = answering {
            ids.clear();
            ids.push(id);
        } else if failed {
            let (first, max) = (settings.contact_heartbeat, settings.contact_retry);
            self.zones[at].mark_unreachable(now, first, max);
            self.members.bump_generation();
            return;
        } else if silent {
            let count = if ids.is_empty() { 1 } else { MAX_CONTACTS };
            while ids.len() < count
                && let Some(id) = self.choose_present(zone, &ids)
            {
                ids.push(id);
            }
        }
        self.zones[at].ids = ids;
    }

    /// Returns whether a message of a monitored member was received since its monitoring began.
    fn is_answering(&self, id: InstanceId) -> bool {
        self.members.get(id).is_some_and(|e| {
            let since = e.detector.as_ref().map(|d| d.since);
            since.is_some() && e.last_received >= since
        })
    }

    fn retry_zone(&mut self, now: Time, at: usize) {
        let (first, max) = (self.settings.contact_heartbeat, self.settings.contact_retry);
        self.zones[at].mark_unreachable(now, first, max);
        let id = self.choose_present(self.zones[at].zone, &[]);
        self.zones[at].ids.extend(id);
    }

    /// Starts and stops the monitoring of members. A silent member of the local zone is monitored
    /// until it answers or is declared dead, even if it is no neighbour any more.
    pub(crate) fn update_monitored(&mut self, now: Time) {
        let targets = self.heartbeat_targets();
        for &key in &targets {
            if let Some(entry) = self.members.by_key_mut(key)
                && entry.detector.is_none()
            {
                entry.detector = Some(FailureDetector::new(now));
                if !self.monitored.contains(&key) {
                    self.monitored.push(key);
                }
            }
        }
        let zone = self.own.member.zone;
        let members = &mut self.members;
        self.monitored.retain(|&key| {
            let Some(entry) = members.by_key_mut(key) else {
                return false;
            };
            let waiting = entry.detector.as_ref().is_some_and(|d| d.has_pending());
            let silent = waiting && entry.update.member.zone == zone;
            let keep = entry.detector.is_some() && (silent || targets.contains(&key));
            if !keep {
                entry.detector = None;
            }
            keep
        });
    }

    fn heartbeat_targets(&self) -> SmallVec<[MemberKey; 16]> {
        let mut targets = SmallVec::new();
        let contacts = self.zones.iter().flat_map(|z| z.ids.iter().copied());
        let ids = self
            .ring()
            .chain(self.partners.iter().copied())
            .chain(self.neighbour)
            .chain(contacts);
        for id in ids.filter(|&id| id != self.own.member.id && self.present(id)) {
            if let Some(key) = self.members.key(id)
                && !targets.contains(&key)
            {
                targets.push(key);
            }
        }
        targets
    }

    /// Returns the next members on the ring of the local zone.
    fn ring(&self) -> impl Iterator<Item = InstanceId> + '_ {
        let me = self.own.member.id;
        let zone = self.members.zone(self.own.member.zone);
        let present = zone.map_or(&[][..], |z| z.present());
        let start = present.partition_point(|&id| id <= me);
        let (before, after) = present.split_at(start);
        let ring = after.iter().chain(before).copied();
        ring.filter(move |&id| id != me)
            .take(self.settings.ring_neighbours)
    }

    /// Sends the heartbeats that are due.
    pub(crate) fn send_due_heartbeats(
        &mut self,
        now: Time,
        ctx: &Context<'_>,
        out: &mut Vec<Action>,
    ) {
        for at in 0..self.monitored.len() {
            let key = self.monitored[at];
            let Some(entry) = self.members.by_key(key) else {
                continue;
            };
            let member = entry.update.member;
            let Some(detector) = entry.detector.as_ref().filter(|d| d.next_heartbeat <= now) else {
                continue;
            };
            let near = self.in_local_zone(member.zone) || self.partners.contains(&member.id);
            let period = if near || detector.has_pending() {
                self.settings.heartbeat
            } else {
                self.settings.contact_heartbeat
            };
            let sequence = self.send_heartbeat(member, ctx, out);
            if let Some(detector) = self
                .members
                .by_key_mut(key)
                .and_then(|e| e.detector.as_mut())
            {
                detector.record_sent(sequence, now);
                detector.next_heartbeat = now + period;
            }
        }
    }

    /// Makes all heartbeats due after a change. Otherwise instances of other zones would send
    /// packets to a dead instance for several more heartbeat periods.
    pub(crate) fn expedite(&mut self, now: Time) {
        if !self.urgent || now < self.expedited + EXPEDITE_INTERVAL {
            return;
        }
        self.urgent = false;
        self.expedited = now;
        for &key in &self.monitored {
            if let Some(detector) = self
                .members
                .by_key_mut(key)
                .and_then(|e| e.detector.as_mut())
            {
                detector.next_heartbeat = detector.next_heartbeat.min(now);
            }
        }
    }

    /// Reopens silent links, and requests indirect probes of silent members of the local zone.
    pub(crate) fn probe(&mut self, now: Time, out: &mut Vec<Action>) {
        for at in 0..self.monitored.len() {
            let key = self.monitored[at];
            let Some(entry) = self.members.by_key_mut(key) else {
                continue;
            };
            let target = entry.update.member;
            let timeout = self.settings.link_timeout;
            let Some(detector) = entry.detector.as_mut() else {
                continue;
            };
            if detector.silent_at(timeout).is_none_or(|s| s > now) {
                continue;
            }
            detector.record_probe(now);
            detector.next_heartbeat = detector.next_heartbeat.min(now + self.settings.heartbeat);
            let (to, address) = (target.id, target.control);
            out.push(Action::Reconnect { to, address });
            if self.in_local_zone(target.zone) {
                self.send_indirect_probes(now, key, target, out);
            }
        }
    }

    /// Requests other members to forward a heartbeat to a silent member. The heartbeat has its own
    /// sequence number, so that its acknowledgement renews the lease from now on and not from an
    /// older heartbeat.
    fn send_indirect_probes(
        &mut self,
        now: Time,
        key: MemberKey,
        target: Member,
        out: &mut Vec<Action>,
    ) {
        self.sequence += 1;
        let (sender, sequence) = (self.own, self.sequence);
        if let Some(detector) = self
            .members
            .by_key_mut(key)
            .and_then(|e| e.detector.as_mut())
        {
            detector.record_sent(sequence, now);
        }
        for prober in self.choose_probers(now, target.id) {
            let message = PeerMessage::ProbeRequest {
                target,
                sender,
                sequence,
            };
            crate::member_exchange::send(out, prober, message);
        }
    }

    /// Chooses members to probe `target`: monitored members of the zone that answer, else other
    /// members of the zone, else contacts in other zones.
    fn choose_probers(&mut self, now: Time, target: InstanceId) -> SmallVec<[Member; 4]> {
        let count = self.settings.indirect_probes;
        let timeout = self.settings.link_timeout;
        let (mut local, mut remote) = (Vec::new(), Vec::new());
        for entry in self
            .monitored
            .iter()
            .filter_map(|&k| self.members.by_key(k))
        {
            let silent = entry
                .detector
                .as_ref()
                .is_none_or(|d| d.is_silent(now, timeout));
            let member = entry.update.member;
            if silent || member.id == target {
                continue;
            }
            match self.in_local_zone(member.zone) {
                true => local.push(member.id),
                false => remote.push(member.id),
            }
        }
        let mut chosen: SmallVec<[InstanceId; 4]> = SmallVec::new();
        while chosen.len() < count
            && let Some(id) = self.choose(&local)
        {
            local.retain(|&n| n != id);
            chosen.push(id);
        }
        let zone = self.own.member.zone;
        let mut excluded: Vec<InstanceId> = vec![self.own.member.id, target];
        excluded.extend(&chosen);
        while chosen.len() < count
            && let Some(id) = self.choose_present(zone, &excluded)
        {
            excluded.push(id);
            chosen.push(id);
        }
        if chosen.is_empty() {
            chosen.extend(remote.into_iter().take(count));
        }
        let members = chosen.iter().filter_map(|&id| self.member(id));
        members.copied().collect()
    }

    /// Sends heartbeats to registered, dead or unconfirmed members that are not present here. They
    /// answer if they are alive. So two parts of a zone that declared each other dead merge again.
    pub(crate) fn try_join(&mut self, now: Time, ctx: &Context<'_>, out: &mut Vec<Action>) {
        if now < self.next_join {
            return;
        }
        let zone = self.own.member.zone;
        let alone = self
            .members
            .zone(zone)
            .is_none_or(|z| z.present().len() < 2);
        let (interval, attempts) = if alone {
            (self.settings.heartbeat, MAX_JOIN_ATTEMPTS)
        } else {
            (self.settings.hint_retry, 1)
        };
        self.next_join = now + interval;
        let mut chosen_members: SmallVec<[Member; 8]> = SmallVec::new();
        let mut pool = self.candidates_of(zone);
        pool.extend(self.random_inactive(zone));
        for _ in 0..attempts {
            if !pool.is_empty() {
                let at = self.random_below(pool.len());
                chosen_members.push(pool.swap_remove(at));
            }
        }
        for at in 0..self.zones.len() {
            let zone = self.zones[at].zone;
            let known = self
                .members
                .zone(zone)
                .is_some_and(|z| !z.present().is_empty());
            if self.in_local_zone(zone) || known && self.zones[at].reachable {
                continue;
            }
            let mut pool = self.candidates_of(zone);
            if !pool.is_empty() {
                let at = self.random_below(pool.len());
                chosen_members.push(pool.swap_remove(at));
            }
        }
        for member in chosen_members {
            self.send_heartbeat(member, ctx, out);
        }
    }

    /// Returns the registered members of a zone that are not present here.
    fn candidates_of(&self, zone: ZoneId) -> Vec<Member> {
        let candidates = self.join_candidates.iter().filter(|c| c.zone == zone);
        candidates
            .filter(|c| !self.present(c.id))
            .copied()
            .collect()
    }

    /// Chooses a random dead or unconfirmed member of the region, and returns it if it belongs to
    /// the zone.
    fn random_inactive(&mut self, zone: ZoneId) -> Option<Member> {
        let n = self.members.inactive();
        if n == 0 {
            return None;
        }
        let at = self.random_below(n);
        let member = self.members.inactive_at(at)?.update.member;
        (member.zone == zone).then_some(member)
    }

    /// Returns when the next tick has something to do.
    pub(crate) fn next_due(&self) -> Time {
        let timeout = self.settings.link_timeout;
        let mut due = self.next_join.min(self.next_neighbour);
        if self.urgent {
            due = due.min(self.expedited + EXPEDITE_INTERVAL);
        }
        for &key in &self.monitored {
            let Some(detector) = self.members.by_key(key).and_then(|e| e.detector.as_ref()) else {
                continue;
            };
            due = due.min(detector.next_heartbeat);
            due = detector.silent_at(timeout).map_or(due, |t| t.min(due));
            due = self.failed_at(key).map_or(due, |t| t.min(due));
        }
        let unreachable = self.zones.iter().filter(|z| !z.reachable);
        due = unreachable.map(|z| z.retry).fold(due, Time::min);
        let expiry = self.members.next_expiry(self.settings.keep_dead);
        expiry.map_or(due, |t| t.min(due))
    }

    fn in_local_zone(&self, zone: ZoneId) -> bool {
        zone == self.own.member.zone
    }

    fn present(&self, id: InstanceId) -> bool {
        self.members.get(id).is_some_and(|e| e.present())
    }

    /// Returns a present member of a zone that is not excluded: the first one at or after a random
    /// position.
    fn choose_present(&mut self, zone: ZoneId, excluded: &[InstanceId]) -> Option<InstanceId> {
        let n = self.members.zone(zone)?.present().len();
        if n == 0 {
            return None;
        }
        let start = self.random_below(n);
        let present = self.members.zone(zone)?.present();
        let around = present[start..].iter().chain(&present[..start]);
        around.copied().find(|id| !excluded.contains(id))
    }

    pub(crate) fn choose(&mut self, ids: &[InstanceId]) -> Option<InstanceId> {
        if ids.is_empty() {
            return None;
        }
        let at = self.random_below(ids.len());
        ids.get(at).copied()
    }

    /// Returns a random number below `n`, which must not be 0.
    fn random_below(&mut self, n: usize) -> usize {
        ((u64::from(self.rng.next_u32()) * n as u64) >> 32) as usize
    }
}
