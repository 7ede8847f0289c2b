//! Membership of the region: heartbeats, failure detection and epidemic spreading.
//!
//! Each instance watches its lease partners, its ring neighbours, one changing random neighbour
//! and one contact in each other zone of the region, so that its cost does not grow with the
//! fleet. All else is learnt by gossip on the heartbeats.

use std::time::Duration;

use rand_core::SeedableRng;
use rand_pcg::Pcg32;
use serde::{
    Deserialize,
    Serialize, //
};

use crate::action::Action;
use crate::contact::Contacts;
use crate::event::Listed;
use crate::gossip::Gossip;
use crate::ids::{
    InstanceId,
    Revision,
    ZoneId, //
};
use crate::member_exchange::send;
use crate::members::{
    MemberKey,
    Members, //
};
use crate::peer::{
    LoadShare,
    MAX_UPDATES,
    Member,
    MemberState,
    MemberUpdate,
    PeerMessage, //
};
use crate::time::Time;

/// Settings of the membership.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct MembershipSettings {
    /// The time between heartbeats inside the zone.
    #[serde(with = "humantime_serde")]
    pub heartbeat: Duration,
    /// After this time without acknowledgement a link is reopened and probed around.
    #[serde(with = "humantime_serde")]
    pub link_timeout: Duration,
    /// After this time without a sign of life a member of the own zone is dead. The takeover
    /// delay of the leases is at least as long.
    #[serde(with = "humantime_serde")]
    pub failure_timeout: Duration,
    /// How many next members on the ring of the zone get heartbeats.
    pub ring_neighbours: usize,
    /// How many other members are asked to probe a silent one.
    pub indirect_probes: usize,
    /// How many updates one message carries; at most [`MAX_UPDATES`].
    pub updates: usize,
    /// The time between heartbeats to the contact in another zone.
    #[serde(with = "humantime_serde")]
    pub contact_heartbeat: Duration,
    /// The longest time between attempts on an unreachable zone.
    #[serde(with = "humantime_serde")]
    pub contact_retry: Duration,
    /// How long the random neighbour stays the same. Shorter times open more links.
    #[serde(with = "humantime_serde")]
    pub neighbour_change: Duration,
    /// The time between attempts on members that are listed but not known as live.
    #[serde(with = "humantime_serde")]
    pub hint_retry: Duration,
    /// How long digests may differ before members are pulled; gossip usually settles before.
    #[serde(with = "humantime_serde")]
    pub settle: Duration,
    /// The shortest time between pulls of the members of a zone.
    #[serde(with = "humantime_serde")]
    pub pull_pause: Duration,
    /// How long dead members are kept, so that late gossip does not revive them.
    #[serde(with = "humantime_serde")]
    pub keep_dead: Duration,
}

impl Default for MembershipSettings {
    fn default() -> MembershipSettings {
        MembershipSettings {
            heartbeat: Duration::from_millis(250),
            link_timeout: Duration::from_millis(500),
            failure_timeout: Duration::from_millis(1500),
            ring_neighbours: 3,
            indirect_probes: 2,
            updates: MAX_UPDATES,
            contact_heartbeat: Duration::from_secs(1),
            contact_retry: Duration::from_secs(8),
            neighbour_change: Duration::from_secs(5),
            hint_retry: Duration::from_secs(1),
            settle: Duration::from_secs(2),
            pull_pause: Duration::from_secs(5),
            keep_dead: Duration::from_secs(60),
        }
    }
}

/// What the caller puts into heartbeats.
#[derive(Clone, Copy, Debug, Default)]
pub struct Context<'a> {
    /// The configuration in force.
    pub revision: Revision,
    /// Loads of the owned backend servers.
    pub loads: &'a [LoadShare],
}

/// The membership of the region as one instance sees it.
#[derive(Debug)]
pub struct Membership {
    /// This instance; the table has the same.
    pub(crate) own: MemberUpdate,
    pub(crate) settings: MembershipSettings,
    pub(crate) rng: Pcg32,
    pub(crate) members: Members,
    pub(crate) gossip: Gossip,
    /// One entry for each zone of the region, the own one first.
    pub(crate) zones: Vec<Contacts>,
    pub(crate) partners: Vec<InstanceId>,
    pub(crate) neighbour: Option<InstanceId>,
    /// Every member that has a watch; bounded by partners, neighbours and contacts, and by those
    /// that are silent.
    pub(crate) monitored: Vec<MemberKey>,
    /// The platform's last list. Other regions are left out on use, because the zones of the
    /// region may become known after the list.
    pub(crate) join_candidates: Vec<Member>,
    /// The zones that have had live members since this instance started.
    pub(crate) populated: Vec<ZoneId>,
    /// The sequence of the last heartbeat.
    pub(crate) sequence: u64,
    /// The highest configuration that any member spoke of.
    pub(crate) newest_revision: Revision,
    /// Set after [`Membership::leave`]; nothing is sent or answered any more.
    pub(crate) left: bool,
    pub(crate) next_neighbour: Time,
    pub(crate) next_join: Time,
    /// The last tick.
    pub(crate) ticked: Option<Time>,
    /// When the next tick is due; a tick that is much later shows that the process was paused.
    pub(crate) due: Time,
    /// Set when the watched members may have changed, so that a tick is due at once.
    pub(crate) dirty: bool,
    /// Set when a change was learnt that is to be passed on before the next heartbeats are due.
    pub(crate) urgent: bool,
    /// When heartbeats were last sent early.
    pub(crate) expedited: Time,
}

impl Membership {
    /// Creates a membership that knows only `me`; `seed` feeds its random choices.
    pub fn new(me: MemberUpdate, settings: MembershipSettings, seed: u64) -> Membership {
        Membership {
            own: me,
            settings,
            rng: Pcg32::seed_from_u64(seed),
            members: Members::new(me),
            gossip: Gossip::default(),
            zones: vec![Contacts::new(me.member.zone)],
            partners: Vec::new(),
            neighbour: None,
            monitored: Vec::new(),
            join_candidates: Vec::new(),
            populated: Vec::new(),
            sequence: 0,
            newest_revision: Revision(0),
            left: false,
            next_neighbour: Time::ZERO,
            next_join: Time::ZERO,
            ticked: None,
            due: Time::ZERO,
            dirty: true,
            urgent: false,
            expedited: Time::ZERO,
        }
    }

    /// Sets the zones of the own region. Members of other regions are not tracked.
    pub fn set_zones(&mut self, zones: &[ZoneId]) {
        let own = self.own.member.zone;
        self.members.set_zones(own, zones);
        self.zones
            .retain(|z| z.zone == own || zones.contains(&z.zone));
        for &zone in zones {
            if !self.zones.iter().any(|z| z.zone == zone) {
                self.zones.push(Contacts::new(zone));
            }
        }
        self.dirty = true;
    }

    /// Takes the platform's list as a hint: it brings first contacts and leaving members, but
    /// neither declares a member dead nor revives one.
    pub fn set_candidates(&mut self, now: Time, list: &[Listed]) {
        self.join_candidates.clear();
        for listed in list {
            if listed.member.id == self.own.member.id {
                if listed.state == MemberState::Leaving {
                    self.start_leaving(now);
                }
                continue;
            }
            self.join_candidates.push(listed.member);
            let known = self.members.get(listed.member.id).map(|e| e.update);
            if let Some(known) = known
                && listed.state == MemberState::Leaving
                && known.state == MemberState::Live
            {
                let state = MemberState::Leaving;
                self.merge(now, MemberUpdate { state, ..known });
            }
        }
        self.next_join = now;
        self.dirty = true;
    }

    /// Sets the members that heartbeats go to because of leases.
    pub fn set_partners(&mut self, partners: &[InstanceId]) {
        if self.partners != partners {
            self.partners.clear();
            self.partners.extend_from_slice(partners);
            self.dirty = true;
        }
    }

    /// Starts to leave: the instance takes no new ownership, and the others learn it.
    pub fn start_leaving(&mut self, now: Time) {
        if self.own.state == MemberState::Live {
            self.own.state = MemberState::Leaving;
            self.gossip_own(now);
            // The next owners have to hear of it before backend servers are handed to them.
            self.urgent = true;
            self.expedited = Time::ZERO;
        }
    }

    /// Leaves for good and tells the members that are monitored.
    pub fn leave(&mut self, now: Time, out: &mut Vec<Action>) {
        self.own.state = MemberState::Dead;
        self.left = true;
        let sender = self.own;
        self.members.merge(now, sender);
        for key in std::mem::take(&mut self.monitored) {
            if let Some(entry) = self.members.at(key) {
                send(out, entry.update.member, PeerMessage::Leave { sender });
            }
        }
        self.flush(out);
    }

    /// Does what is due at `now`.
    pub fn tick(&mut self, now: Time, ctx: &Context<'_>, out: &mut Vec<Action>) {
        if self.left {
            return;
        }
        let overdue = now.since(self.due) > self.settings.link_timeout;
        if self.ticked.is_some() && overdue {
            self.restart_detectors(now);
        }
        self.members.expire(now, self.settings.keep_dead);
        self.declare_dead(now);
        self.change_neighbour(now);
        self.check_contacts(now);
        self.update_populated();
        self.update_monitored(now);
        self.expedite(now);
        self.send_due_heartbeats(now, ctx, out);
        self.probe(now, out);
        self.try_join(now, ctx, out);
        self.flush(out);
        self.ticked = Some(now);
        self.dirty = false;
        self.due = self.next_due().max(now + Duration::from_millis(1));
    }

    fn update_populated(&mut self) {
        for zone in self.zones() {
            if !self.live(zone).is_empty() && !self.populated.contains(&zone) {
                self.populated.push(zone);
            }
        }
    }

    /// Returns when the next [`Membership::tick`] is due.
    pub fn deadline(&self) -> Option<Time> {
        match self.ticked {
            _ if self.left => None,
            Some(ticked) if self.dirty => Some(ticked),
            _ => Some(self.due),
        }
    }

    /// Learns from a message. The caller then recomputes its owners if the generation rose, and
    /// calls [`Membership::reply`] only after that: an acknowledgement means "I regard you as
    /// live and own nothing that is yours".
    pub fn observe(&mut self, now: Time, from: InstanceId, message: &PeerMessage) {
        if self.left {
            return;
        }
        match message {
            PeerMessage::Heartbeat {
                sender,
                revision,
                updates,
                ..
            } if sender.member.id == from => {
                self.merge_direct(now, *sender, Some(*revision));
                self.merge_all(now, from, updates);
            }
            PeerMessage::HeartbeatAck {
                sender,
                sequence,
                revision,
                updates,
                ..
            } if sender.member.id == from => {
                self.merge_direct(now, *sender, Some(*revision));
                self.record_ack(from, *sequence);
                self.merge_all(now, from, updates);
            }
            PeerMessage::ProbeRequest { sender, .. } if sender.member.id == from => {
                self.merge_direct(now, *sender, None);
            }
            PeerMessage::ProbeForward { origin, .. } => {
                self.merge(now, *origin);
                self.record_received(now, from);
            }
            PeerMessage::ProbeReply {
                origin,
                target,
                sequence,
            } => {
                self.record_received(now, from);
                if *origin == self.own.member.id {
                    self.record_received(now, *target);
                    self.record_ack(*target, *sequence);
                }
            }
            PeerMessage::PullMembers { .. } => self.record_received(now, from),
            PeerMessage::Members { updates } => self.merge_pulled(now, from, updates),
            PeerMessage::Leave { sender } if sender.member.id == from => {
                let state = MemberState::Dead;
                self.merge(now, MemberUpdate { state, ..*sender });
            }
            _ => {}
        }
    }

    /// Answers a message after [`Membership::observe`].
    pub fn reply(
        &mut self,
        now: Time,
        from: InstanceId,
        message: &PeerMessage,
        ctx: &Context<'_>,
        out: &mut Vec<Action>,
    ) {
        self.flush(out);
        if self.left {
            return;
        }
        match message {
            PeerMessage::Heartbeat {
                sender,
                sequence,
                digest,
                updates,
                ..
            } if sender.member.id == from => {
                self.acknowledge(now, *sender, *sequence, ctx, out);
                self.compare_digest(now, sender.member, *digest, updates.is_empty(), out);
            }
            PeerMessage::HeartbeatAck {
                sender,
                digest,
                updates,
                ..
            } if sender.member.id == from => {
                self.compare_digest(now, sender.member, *digest, updates.is_empty(), out);
            }
            PeerMessage::ProbeRequest {
                target,
                sender,
                sequence,
            } if sender.member.id == from => {
                let (origin, sequence) = (*sender, *sequence);
                send(out, *target, PeerMessage::ProbeForward { origin, sequence });
            }
            PeerMessage::ProbeForward { origin, sequence } => {
                self.answer_probe(now, from, origin.member, *sequence, out);
            }
            PeerMessage::ProbeReply { origin, target, .. } if *target == from => {
                if let Some(entry) = self.members.get(*origin)
                    && *origin != self.own.member.id
                {
                    send(out, entry.update.member, message.clone());
                }
            }
            PeerMessage::PullMembers { zone } => self.send_members(from, *zone, out),
            _ => {}
        }
    }

    /// Handles a message in one step, for callers that own nothing.
    pub fn handle(
        &mut self,
        now: Time,
        from: InstanceId,
        message: &PeerMessage,
        ctx: &Context<'_>,
        out: &mut Vec<Action>,
    ) {
        self.observe(now, from, message);
        self.reply(now, from, message, ctx, out);
    }

    /// Returns the live members of a zone in order, this instance among them.
    pub fn live(&self, zone: ZoneId) -> &[InstanceId] {
        self.members.zone(zone).map_or(&[], |z| z.live())
    }

    /// Returns the zones of the region.
    pub fn zones(&self) -> Vec<ZoneId> {
        self.zones.iter().map(|z| z.zone).collect()
    }

    /// Returns whether any other live member of a zone has acknowledged a heartbeat.
    pub fn is_acknowledged(&self, zone: ZoneId) -> bool {
        self.live(zone).iter().any(|id| self.acked(*id).is_some())
    }

    /// Returns whether a zone had live members and all of them have left or are leaving. A listed
    /// member of which nothing is known may be alive.
    pub fn is_vacated(&self, zone: ZoneId) -> bool {
        let gone = |id| {
            let entry = self.members.get(id);
            entry.is_some_and(|e| e.update.state != MemberState::Live)
        };
        let unknown = |member: &Member| member.zone == zone && !gone(member.id);
        self.live(zone).is_empty()
            && self.populated.contains(&zone)
            && !self.join_candidates.iter().any(unknown)
    }

    /// Returns the live members of all zones of the region.
    pub fn live_region(&self) -> Vec<InstanceId> {
        let zones = self.zones.iter();
        zones.flat_map(|z| self.live(z.zone)).copied().collect()
    }

    /// Returns the members of a zone that died lately.
    pub fn dead(&self, zone: ZoneId) -> impl Iterator<Item = InstanceId> + '_ {
        let dead = move |u: &MemberUpdate| u.state == MemberState::Dead && u.member.zone == zone;
        self.updates().filter(dead).map(|u| u.member.id)
    }

    /// Returns whether a member is live (and not leaving).
    pub fn is_live(&self, id: InstanceId) -> bool {
        self.state(id) == Some(MemberState::Live)
    }

    /// Returns where a member can be reached, whatever its state.
    pub fn member(&self, id: InstanceId) -> Option<&Member> {
        self.members.get(id).map(|e| &e.update.member)
    }

    /// Returns the state of a member. None for members that nobody vouches for.
    pub fn state(&self, id: InstanceId) -> Option<MemberState> {
        let entry = self.members.get(id)?;
        (!entry.unconfirmed).then_some(entry.update.state)
    }

    /// Returns all members, the dead ones that are still kept included.
    pub fn updates(&self) -> impl Iterator<Item = MemberUpdate> + '_ {
        self.members.iter().map(|e| e.update)
    }

    /// Returns a number that rises whenever a member's state or a zone's reachability changes.
    pub fn generation(&self) -> u64 {
        self.members.generation()
    }

    /// Returns when the latest heartbeat that `id` acknowledged, directly or through another
    /// member, was sent to it. The owner's fence counts from then.
    pub fn acked(&self, id: InstanceId) -> Option<Time> {
        self.members.get(id)?.acked
    }

    /// Returns when a heartbeat of `id` was last acknowledged. The takeover delay counts from
    /// then.
    pub fn granted(&self, id: InstanceId) -> Option<Time> {
        self.members.get(id)?.granted
    }

    /// Returns a random one of the members that have a later configuration than `mine`.
    pub fn choose_ahead(&mut self, mine: Revision) -> Option<InstanceId> {
        if self.newest_revision <= mine {
            return None;
        }
        let ahead: Vec<InstanceId> = self
            .members
            .iter()
            .filter(|e| e.revision > mine && e.present() && self.reachable(e.update.member.zone))
            .map(|e| e.update.member.id)
            .collect();
        if ahead.is_empty() {
            self.newest_revision = mine;
        }
        self.choose(&ahead)
    }

    /// Returns whether a zone of the region answers. The members of an unreachable zone are not
    /// dead, but cannot be reached from here.
    pub fn reachable(&self, zone: ZoneId) -> bool {
        self.zones.iter().any(|z| z.zone == zone && z.reachable)
    }
}
