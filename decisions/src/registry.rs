//! Local zone's part of the platform's instance registry.
//!
//! Each instance registers itself. The store watchers of the zone deregister dead instances, so
//! that no instance has to renew its entry.

use std::time::Duration;

use rustc_hash::FxHashMap;
use smallvec::SmallVec;

use crate::action::Action;
use crate::event::RegistryEntry;
use crate::ids::{
    InstanceId,
    ZoneId, //
};
use crate::instance::Instance;
use crate::peer::MemberState;
use crate::rendezvous::is_store_watcher;
use crate::time::Time;

/// Time after which a registered instance that is not a member and never answered is deregistered.
const UNKNOWN_TIMEOUT: Duration = Duration::from_secs(60);

/// State of the local zone's part of the registry.
#[derive(Debug, Default)]
pub struct Registry {
    /// Registered instances that are not members, and the time at which they were first seen.
    unknown: FxHashMap<InstanceId, Time>,
    /// Zones of the region without a registered instance, and the time since which they have none.
    empty: FxHashMap<ZoneId, Time>,
    /// Whether the registry contains this instance, so that other instances know it.
    visible: bool,
}

/// Time without a registered instance after which a zone counts as vacant. Covers the delay of
/// registry reads.
const VACANCY_DELAY: Duration = Duration::from_secs(10);

/// Time between reads of the registry until the instance is visible.
pub(crate) const STARTUP_INTERVAL: Duration = Duration::from_millis(500);

impl Instance {
    /// Handles the content of the registry: passes it to the membership and corrects the local
    /// zone's part of it.
    pub(crate) fn on_registry(
        &mut self,
        now: Time,
        entries: &[RegistryEntry],
        out: &mut Vec<Action>,
    ) {
        self.membership.set_candidates(now, entries);
        let own = entries
            .iter()
            .find(|entry| entry.member.id == self.member.id)
            .map(|entry| entry.state);
        let state = self.own_state();
        if own != Some(state) {
            self.register(state, out);
        }
        if own.is_some() {
            self.registry.visible = true;
            // A registry without this instance may lack other instances that started at the same
            // time as well.
            self.update_vacancies(now, entries);
        }
        self.deregister_dead(now, entries, out);
    }

    /// Returns whether other instances know this one. Until then it owns nothing, because it cannot
    /// tell whether it is the only instance of its zone.
    pub(crate) fn is_visible(&self) -> bool {
        self.registry.visible || self.membership.is_acknowledged(self.member.zone)
    }

    fn update_vacancies(&mut self, now: Time, entries: &[RegistryEntry]) {
        let zones = self.membership.zones();
        let empty = &mut self.registry.empty;
        empty.retain(|zone, _| zones.contains(zone));
        for zone in &zones {
            if entries.iter().any(|entry| entry.member.zone == *zone) {
                empty.remove(zone);
            } else {
                empty.entry(*zone).or_insert(now);
            }
        }
        let expired = empty
            .iter()
            .filter(|(_, since)| now.since(**since) >= VACANCY_DELAY);
        let mut vacant: SmallVec<[ZoneId; 4]> = expired.map(|(zone, _)| *zone).collect();
        vacant.sort_unstable();
        if self.owners.set_vacant(vacant) {
            self.owners_inputs = None;
        }
    }

    fn own_state(&self) -> MemberState {
        if self.leaving.is_some() {
            MemberState::Leaving
        } else {
            MemberState::Live
        }
    }

    /// Registers this instance.
    pub(crate) fn register(&mut self, state: MemberState, out: &mut Vec<Action>) {
        out.push(Action::Register(RegistryEntry {
            member: self.member,
            state,
        }));
    }

    /// Deregisters dead instances, and unknown ones that never answered.
    fn deregister_dead(&mut self, now: Time, entries: &[RegistryEntry], out: &mut Vec<Action>) {
        let zone = self.member.zone;
        if !is_store_watcher(zone, self.member.id, self.membership.live(zone)) {
            return;
        }
        let others: Vec<InstanceId> = entries
            .iter()
            .map(|entry| entry.member)
            .filter(|member| member.zone == zone && member.id != self.member.id)
            .map(|member| member.id)
            .collect();
        let unknown = &mut self.registry.unknown;
        unknown.retain(|id, _| others.contains(id));
        for id in others {
            let inactive = match self.membership.state(id) {
                Some(MemberState::Dead) => true,
                Some(_) => {
                    unknown.remove(&id);
                    false
                }
                None => now.since(*unknown.entry(id).or_insert(now)) >= UNKNOWN_TIMEOUT,
            };
            if inactive {
                unknown.remove(&id);
                out.push(Action::Deregister(id));
            }
        }
    }
}
