//! The own zone's part of the platform's list of instances.
//!
//! Each instance puts itself on the list; the zone's watchers take off what has died, so that no
//! instance has to renew its entry.

use std::time::Duration;

use rustc_hash::FxHashMap;

use crate::action::Action;
use crate::event::Listed;
use crate::ids::InstanceId;
use crate::instance::Instance;
use crate::peer::MemberState;
use crate::rendezvous::watches;
use crate::time::Time;

/// How long a listed instance may never answer before it is taken off the list.
const PATIENCE: Duration = Duration::from_secs(60);

/// What is known of the own zone's part of the list.
#[derive(Debug, Default)]
pub struct Listing {
    /// Listed instances that are not members, since when they are listed.
    strangers: FxHashMap<InstanceId, Time>,
}

impl Instance {
    /// Takes the platform's list as a hint, and corrects the own zone's part of it.
    pub(crate) fn on_listed(&mut self, now: Time, list: &[Listed], out: &mut Vec<Action>) {
        self.membership.listed(now, list);
        let own = list
            .iter()
            .find(|listed| listed.member.id == self.member.id)
            .map(|listed| listed.state);
        let state = self.own_state();
        if own != Some(state) {
            self.enlist(state, out);
        }
        self.prune(now, list, out);
    }

    fn own_state(&self) -> MemberState {
        if self.leaving.is_some() {
            MemberState::Leaving
        } else {
            MemberState::Live
        }
    }

    /// Puts this instance on the list.
    pub(crate) fn enlist(&mut self, state: MemberState, out: &mut Vec<Action>) {
        out.push(Action::Enlist(Listed {
            member: self.member,
            state,
        }));
    }

    /// Takes dead instances off the list, and those that have never answered.
    fn prune(&mut self, now: Time, list: &[Listed], out: &mut Vec<Action>) {
        let zone = self.member.zone;
        if !watches(zone, self.member.id, self.membership.live(zone)) {
            return;
        }
        let others: Vec<InstanceId> = list
            .iter()
            .map(|listed| listed.member)
            .filter(|member| member.zone == zone && member.id != self.member.id)
            .map(|member| member.id)
            .collect();
        let strangers = &mut self.listing.strangers;
        strangers.retain(|id, _| others.contains(id));
        for id in others {
            let gone = match self.membership.state(id) {
                Some(MemberState::Dead) => true,
                Some(_) => {
                    strangers.remove(&id);
                    false
                }
                None => now.since(*strangers.entry(id).or_insert(now)) >= PATIENCE,
            };
            if gone {
                strangers.remove(&id);
                out.push(Action::Unlist(id));
            }
        }
    }
}
