//! The own zone's part of the platform's list of instances.
//!
//! Each instance puts itself on the list; the zone's watchers take off what has died, so that no
//! instance has to renew its entry.

use std::time::Duration;

use rustc_hash::FxHashMap;
use smallvec::SmallVec;

use crate::action::Action;
use crate::event::Listed;
use crate::ids::{
    InstanceId,
    ZoneId, //
};
use crate::instance::Instance;
use crate::peer::MemberState;
use crate::rendezvous::is_store_watcher;
use crate::time::Time;

/// How long a listed instance may never answer before it is taken off the list.
const UNKNOWN_TIMEOUT: Duration = Duration::from_secs(60);

/// What is known of the own zone's part of the list.
#[derive(Debug, Default)]
pub struct Registry {
    /// Listed instances that are not members, since when they are listed.
    unknown: FxHashMap<InstanceId, Time>,
    /// Zones of the region without a listed instance, since when they are so.
    empty: FxHashMap<ZoneId, Time>,
    /// Whether the list or another instance of the zone has shown that others know this one.
    visible: bool,
}

/// How long a zone has to be without a listed instance before it counts as vacant. The list lags.
const VACANCY_DELAY: Duration = Duration::from_secs(10);

/// The time between readings of the list until the instance is visible.
pub(crate) const STARTUP_INTERVAL: Duration = Duration::from_millis(500);

impl Instance {
    /// Takes the platform's list as a hint, and corrects the own zone's part of it.
    pub(crate) fn on_registry(&mut self, now: Time, list: &[Listed], out: &mut Vec<Action>) {
        self.membership.set_candidates(now, list);
        let own = list
            .iter()
            .find(|listed| listed.member.id == self.member.id)
            .map(|listed| listed.state);
        let state = self.own_state();
        if own != Some(state) {
            self.register(state, out);
        }
        if own.is_some() {
            self.registry.visible = true;
            // A list from before this instance may lack the others of its time as well.
            self.update_vacancies(now, list);
        }
        self.deregister_dead(now, list, out);
    }

    /// Returns whether others know this instance. Before that it owns nothing, since it could not
    /// tell whether it is alone in its zone.
    pub(crate) fn is_visible(&self) -> bool {
        self.registry.visible || self.membership.is_acknowledged(self.member.zone)
    }

    fn update_vacancies(&mut self, now: Time, list: &[Listed]) {
        let zones = self.membership.zones();
        let empty = &mut self.registry.empty;
        empty.retain(|zone, _| zones.contains(zone));
        for zone in &zones {
            if list.iter().any(|listed| listed.member.zone == *zone) {
                empty.remove(zone);
            } else {
                empty.entry(*zone).or_insert(now);
            }
        }
        let long = empty
            .iter()
            .filter(|(_, since)| now.since(**since) >= VACANCY_DELAY);
        let mut vacant: SmallVec<[ZoneId; 4]> = long.map(|(zone, _)| *zone).collect();
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

    /// Puts this instance on the list.
    pub(crate) fn register(&mut self, state: MemberState, out: &mut Vec<Action>) {
        out.push(Action::Enlist(Listed {
            member: self.member,
            state,
        }));
    }

    /// Takes dead instances off the list, and those that have never answered.
    fn deregister_dead(&mut self, now: Time, list: &[Listed], out: &mut Vec<Action>) {
        let zone = self.member.zone;
        if !is_store_watcher(zone, self.member.id, self.membership.live(zone)) {
            return;
        }
        let others: Vec<InstanceId> = list
            .iter()
            .map(|listed| listed.member)
            .filter(|member| member.zone == zone && member.id != self.member.id)
            .map(|member| member.id)
            .collect();
        let unknown = &mut self.registry.unknown;
        unknown.retain(|id, _| others.contains(id));
        for id in others {
            let gone = match self.membership.state(id) {
                Some(MemberState::Dead) => true,
                Some(_) => {
                    unknown.remove(&id);
                    false
                }
                None => now.since(*unknown.entry(id).or_insert(now)) >= UNKNOWN_TIMEOUT,
            };
            if gone {
                unknown.remove(&id);
                out.push(Action::Unlist(id));
            }
        }
    }
}
