//! Table of the members of the region.

use std::collections::VecDeque;
use std::time::Duration;

use rustc_hash::FxHashMap;
use slotmap::{
    SlotMap,
    new_key_type, //
};

use crate::failure_detector::FailureDetector;
use crate::ids::{
    InstanceId,
    Revision,
    ZoneId, //
};
use crate::peer::{
    MemberState,
    MemberUpdate, //
};
use crate::state_change::StateChange;
use crate::time::Time;

new_key_type! {
    /// Key of a member in the table.
    pub(crate) struct MemberKey;
}

/// Local state of one member.
#[derive(Debug)]
pub(crate) struct Entry {
    pub(crate) update: MemberUpdate,
    /// Time at which a message of the member or a probe reply from it last arrived.
    pub(crate) last_received: Option<Time>,
    /// Send time of the latest heartbeat that the member acknowledged.
    pub(crate) acked: Option<Time>,
    /// Time at which a heartbeat of the member was last acknowledged here, which grants it a lease.
    pub(crate) granted: Option<Time>,
    /// Revision of its configuration, as it last reported.
    pub(crate) revision: Revision,
    /// True when its zone became reachable again and no member of the zone has reported it since.
    /// An unconfirmed member does not count as live.
    pub(crate) unconfirmed: bool,
    /// Set while heartbeats are sent to the member.
    pub(crate) detector: Option<FailureDetector>,
}

/// Members of one zone.
#[derive(Debug)]
pub(crate) struct ZoneMembers {
    zone: ZoneId,
    /// `Live` members, sorted by identifier.
    live: Vec<InstanceId>,
    /// `Live` and `Leaving` members, sorted by identifier.
    present: Vec<InstanceId>,
    /// Sum of the hashes of all present members; equal at instances that agree on them.
    digest: u64,
}

/// Members of the region.
#[derive(Debug)]
pub(crate) struct Members {
    arena: SlotMap<MemberKey, Entry>,
    index: FxHashMap<InstanceId, MemberKey>,
    /// Zones of the region, the local one first.
    zones: Vec<ZoneMembers>,
    /// Dead and unconfirmed members and the time at which they became so, oldest first. May contain
    /// members that are present again, which are skipped.
    inactive: VecDeque<(Time, MemberKey)>,
    generation: u64,
    /// State changes that are not on the timeline yet.
    pub(crate) state_changes: Vec<StateChange>,
}

impl Members {
    /// Creates a table that contains only `me`.
    pub(crate) fn new(me: MemberUpdate) -> Members {
        let mut members = Members {
            arena: SlotMap::with_key(),
            index: FxHashMap::default(),
            zones: vec![ZoneMembers::new(me.member.zone)],
            inactive: VecDeque::new(),
            generation: 0,
            state_changes: Vec::new(),
        };
        members.merge(Time::ZERO, me);
        members.state_changes.clear();
        members
    }

    /// Sets the zones of the region. Members of other zones are removed.
    pub(crate) fn set_zones(&mut self, own: ZoneId, zones: &[ZoneId]) {
        let in_region = |zone: ZoneId| zone == own || zones.contains(&zone);
        if self.zones.iter().any(|z| !in_region(z.zone)) {
            self.zones.retain(|z| in_region(z.zone));
            self.arena.retain(|_, e| in_region(e.update.member.zone));
            self.index.retain(|_, key| self.arena.contains_key(*key));
            self.generation += 1;
        }
        for &zone in zones {
            if self.zone(zone).is_none() {
                self.zones.push(ZoneMembers::new(zone));
            }
        }
    }

    /// Merges an update and returns whether it changed the table. A higher incarnation supersedes a
    /// lower one, and at equal incarnations the later state supersedes the earlier one.
    pub(crate) fn merge(&mut self, now: Time, update: MemberUpdate) -> bool {
        if self.zone(update.member.zone).is_none() {
            return false;
        }
        let Some(key) = self.key(update.member.id) else {
            self.insert(now, update);
            return true;
        };
        let entry = &self.arena[key];
        let known = entry.update;
        if known.member.zone != update.member.zone || !update.supersedes(&known) {
            return false;
        }
        self.update(now, key, update);
        true
    }

    /// Confirms a member and returns whether it was unconfirmed.
    pub(crate) fn confirm(&mut self, key: MemberKey) -> bool {
        if !self.arena[key].unconfirmed {
            return false;
        }
        self.remove_from_zone(key);
        self.arena[key].unconfirmed = false;
        self.add_to_zone(key);
        self.generation += 1;
        true
    }

    /// Marks all members of a zone as unconfirmed.
    pub(crate) fn mark_unconfirmed(&mut self, now: Time, zone: ZoneId) {
        let Some(members) = self.zone(zone) else {
            return;
        };
        for id in members.present.clone() {
            if let Some(key) = self.key(id) {
                self.remove_from_zone(key);
                self.arena[key].unconfirmed = true;
                self.inactive.push_back((now, key));
            }
        }
        self.generation += 1;
    }

    /// Removes members that have been dead or unconfirmed for `keep`.
    pub(crate) fn expire(&mut self, now: Time, keep: Duration) {
        while let Some(&(since, key)) = self.inactive.front() {
            if now.since(since) < keep {
                break;
            }
            self.inactive.pop_front();
            let again = self.inactive.iter().any(|g| g.1 == key);
            if !again && self.arena.get(key).is_some_and(|e| !e.present()) {
                self.remove(key);
            }
        }
    }

    /// Returns the time at which [`Members::expire`] next has work to do.
    pub(crate) fn next_expiry(&self, keep: Duration) -> Option<Time> {
        self.inactive.front().map(|g| g.0 + keep)
    }

    /// Returns an upper bound of the number of dead and unconfirmed members.
    pub(crate) fn inactive(&self) -> usize {
        self.inactive.len()
    }

    /// Returns the member at position `at` of the dead and unconfirmed ones, or `None` if it is
    /// present again or removed.
    pub(crate) fn inactive_at(&self, at: usize) -> Option<&Entry> {
        let (_, key) = *self.inactive.get(at)?;
        self.arena.get(key).filter(|e| !e.present())
    }

    pub(crate) fn key(&self, id: InstanceId) -> Option<MemberKey> {
        self.index.get(&id).copied()
    }

    pub(crate) fn get(&self, id: InstanceId) -> Option<&Entry> {
        self.arena.get(self.key(id)?)
    }

    pub(crate) fn get_mut(&mut self, id: InstanceId) -> Option<&mut Entry> {
        let key = self.key(id)?;
        self.arena.get_mut(key)
    }

    pub(crate) fn by_key(&self, key: MemberKey) -> Option<&Entry> {
        self.arena.get(key)
    }

    pub(crate) fn by_key_mut(&mut self, key: MemberKey) -> Option<&mut Entry> {
        self.arena.get_mut(key)
    }

    pub(crate) fn iter(&self) -> impl Iterator<Item = &Entry> {
        self.arena.values()
    }

    pub(crate) fn zone(&self, zone: ZoneId) -> Option<&ZoneMembers> {
        self.zones.iter().find(|z| z.zone == zone)
    }

    pub(crate) fn generation(&self) -> u64 {
        self.generation
    }

    pub(crate) fn bump_generation(&mut self) {
        self.generation += 1;
    }

    fn insert(&mut self, now: Time, update: MemberUpdate) {
        let key = self.arena.insert(Entry::new(update));
        self.index.insert(update.member.id, key);
        if update.state == MemberState::Dead {
            // Stored so that late gossip does not revive it. It never counted as live here, so no
            // state change is recorded.
            self.inactive.push_back((now, key));
            return;
        }
        self.add_to_zone(key);
        self.record_change(now, key);
    }

    fn update(&mut self, now: Time, key: MemberKey, update: MemberUpdate) {
        self.remove_from_zone(key);
        let entry = &mut self.arena[key];
        let renewed = entry.update.state == MemberState::Dead || entry.unconfirmed;
        let state_changed = entry.update.state != update.state || entry.unconfirmed;
        entry.update = update;
        entry.unconfirmed = false;
        if renewed || update.state == MemberState::Dead {
            entry.detector = None;
        }
        self.add_to_zone(key);
        if state_changed {
            self.record_change(now, key);
        }
    }

    fn record_change(&mut self, now: Time, key: MemberKey) {
        let update = self.arena[key].update;
        self.generation += 1;
        if update.state == MemberState::Dead {
            self.inactive.push_back((now, key));
        }
        self.state_changes.push(StateChange::Member {
            instance: update.member.id,
            zone: update.member.zone,
            state: update.state,
        });
    }

    fn remove(&mut self, key: MemberKey) {
        if let Some(entry) = self.arena.remove(key) {
            self.index.remove(&entry.update.member.id);
        }
    }

    fn add_to_zone(&mut self, key: MemberKey) {
        let entry = &self.arena[key];
        if !entry.present() {
            return;
        }
        let update = entry.update;
        let zone = update.member.zone;
        if let Some(members) = self.zones.iter_mut().find(|z| z.zone == zone) {
            members.digest = members.digest.wrapping_add(hash(&update));
            insert_sorted(&mut members.present, update.member.id);
            if update.state == MemberState::Live {
                insert_sorted(&mut members.live, update.member.id);
            }
        }
    }

    fn remove_from_zone(&mut self, key: MemberKey) {
        let entry = &self.arena[key];
        if !entry.present() {
            return;
        }
        let update = entry.update;
        let zone = update.member.zone;
        if let Some(members) = self.zones.iter_mut().find(|z| z.zone == zone) {
            members.digest = members.digest.wrapping_sub(hash(&update));
            remove_sorted(&mut members.present, update.member.id);
            remove_sorted(&mut members.live, update.member.id);
        }
    }
}

impl Entry {
    fn new(update: MemberUpdate) -> Entry {
        Entry {
            update,
            last_received: None,
            acked: None,
            granted: None,
            revision: Revision(0),
            unconfirmed: false,
            detector: None,
        }
    }

    /// Returns whether the member is confirmed and is live or leaving.
    pub(crate) fn present(&self) -> bool {
        self.update.state != MemberState::Dead && !self.unconfirmed
    }
}

impl ZoneMembers {
    fn new(zone: ZoneId) -> ZoneMembers {
        ZoneMembers {
            zone,
            live: Vec::new(),
            present: Vec::new(),
            digest: 0,
        }
    }

    pub(crate) fn live(&self) -> &[InstanceId] {
        &self.live
    }

    pub(crate) fn present(&self) -> &[InstanceId] {
        &self.present
    }

    pub(crate) fn digest(&self) -> u64 {
        self.digest
    }
}

fn insert_sorted(ids: &mut Vec<InstanceId>, id: InstanceId) {
    if let Err(index) = ids.binary_search(&id) {
        ids.insert(index, id);
    }
}

fn remove_sorted(ids: &mut Vec<InstanceId>, id: InstanceId) {
    if let Ok(index) = ids.binary_search(&id) {
        ids.remove(index);
    }
}

/// Returns a hash of the member and its state (SplitMix64) that is the same at every instance.
fn hash(update: &MemberUpdate) -> u64 {
    let state = (u64::from(update.incarnation) << 8) | u64::from(update.state as u8);
    mix(update.member.id.0 ^ mix(state))
}

fn mix(value: u64) -> u64 {
    let value = value.wrapping_add(0x9e37_79b9_7f4a_7c15);
    let value = (value ^ (value >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let value = (value ^ (value >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    value ^ (value >> 31)
}
