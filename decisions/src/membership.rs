//! Membership of the region: heartbeats, failure detection and gossip.
//!
//! Each instance monitors its lease partners, the next members on the ring of its zone, one random
//! neighbour that is replaced regularly, and one contact in each other zone of the region. So the
//! number of heartbeats that it sends does not grow with the size of a zone. It learns the state of
//! all other members by gossip, which the heartbeats carry.

use std::time::Duration;

use rand_core::SeedableRng;
use rand_pcg::Pcg32;
use serde::{
    Deserialize,
    Serialize, //
};

use crate::action::Action;
use crate::contact::Contacts;
use crate::event::RegistryEntry;
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

#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct MembershipSettings {
    /// Time between heartbeats to members of the local zone.
    #[serde(with = "humantime_serde")]
    pub heartbeat: Duration,
    /// Time without an acknowledgement after which a link is reopened and the member is probed
    /// indirectly.
    #[serde(with = "humantime_serde")]
    pub link_timeout: Duration,
    /// Time without a message after which a member of the local zone is declared dead. The takeover
    /// delay of leases is at least as long.
    #[serde(with = "humantime_serde")]
    pub failure_timeout: Duration,
    /// Number of members that get heartbeats because they follow on the ring of the zone.
    pub ring_neighbours: usize,
    /// Number of other members that are requested to probe a silent one.
    pub indirect_probes: usize,
    /// Maximum number of updates in one message; at most [`MAX_UPDATES`].
    pub updates: usize,
    /// Time between heartbeats to the contact in another zone.
    #[serde(with = "humantime_serde")]
    pub contact_heartbeat: Duration,
    /// Maximum time between attempts to reach an unreachable zone.
    #[serde(with = "humantime_serde")]
    pub contact_retry: Duration,
    /// Time after which another random neighbour is chosen. Shorter times open more links.
    #[serde(with = "humantime_serde")]
    pub neighbour_change: Duration,
    /// Time between heartbeats to registered members that are not live here.
    #[serde(with = "humantime_serde")]
    pub hint_retry: Duration,
    /// Time for which digests may differ before members are pulled. Gossip usually makes them equal
    /// earlier.
    #[serde(with = "humantime_serde")]
    pub settle: Duration,
    /// Minimum time between pulls of the members of a zone.
    #[serde(with = "humantime_serde")]
    pub pull_pause: Duration,
    /// Time for which dead members are stored, so that late gossip does not revive them.
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

/// State of the instance that is sent in heartbeats.
#[derive(Clone, Copy, Debug, Default)]
pub struct Context<'a> {
    /// Revision of the active configuration.
    pub revision: Revision,
    pub loads: &'a [LoadShare],
}

/// Membership of the region as seen by one instance.
#[derive(Debug)]
pub struct Membership {
    /// State of this instance, which is in the table too.
    pub(crate) own: MemberUpdate,
    pub(crate) settings: MembershipSettings,
    pub(crate) rng: Pcg32,
    pub(crate) members: Members,
    pub(crate) gossip: Gossip,
    /// Contacts for each zone of the region, the local one first.
    pub(crate) zones: Vec<Contacts>,
    /// Lease partners, set by [`Membership::set_partners`].
    pub(crate) partners: Vec<InstanceId>,
    /// Random neighbour in the local zone.
    pub(crate) neighbour: Option<InstanceId>,
    /// All members that have a failure detector. Bounded by the number of partners, neighbours and
    /// contacts, and of those that are silent.
    pub(crate) monitored: Vec<MemberKey>,
    /// Members of the last read instance registry. Those of other regions are filtered out on use,
    /// because the zones of the region may become known after the registry.
    pub(crate) join_candidates: Vec<Member>,
    /// Zones that have had live members since this instance started.
    pub(crate) populated: Vec<ZoneId>,
    /// Sequence number of the last heartbeat.
    pub(crate) sequence: u64,
    /// Highest configuration revision that any member reported; lowered to this instance's revision
    /// if no reachable member has a later one.
    pub(crate) newest_revision: Revision,
    /// Set by [`Membership::leave`]; from then on nothing is sent.
    pub(crate) left: bool,
    pub(crate) next_neighbour: Time,
    pub(crate) next_join: Time,
    /// Time of the last tick.
    pub(crate) last_tick: Option<Time>,
    /// Time at which the next tick is due. A tick that is much later shows that the process was
    /// paused.
    pub(crate) due: Time,
    /// Set when the members to monitor may have changed, so that a tick is due immediately.
    pub(crate) dirty: bool,
    /// Set when an update has to be sent before the next heartbeats are due.
    pub(crate) urgent: bool,
    /// Time at which heartbeats were last sent early.
    pub(crate) expedited: Time,
}

impl Membership {
    /// Creates a membership that contains only `me`; `seed` initializes its random choices.
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
            last_tick: None,
            due: Time::ZERO,
            dirty: true,
            urgent: false,
            expedited: Time::ZERO,
        }
    }

    /// Sets the zones of the local region. Members of other regions are not tracked.
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

    /// Sets the registered members as join candidates. The registry is advisory: it provides first
    /// contacts and marks members as leaving, but neither declares a member dead nor revives one.
    pub fn set_candidates(&mut self, now: Time, registry: &[RegistryEntry]) {
        self.join_candidates.clear();
        for entry in registry {
            if entry.member.id == self.own.member.id {
                if entry.state == MemberState::Leaving {
                    self.start_leaving(now);
                }
                continue;
            }
            self.join_candidates.push(entry.member);
            let known = self.members.get(entry.member.id).map(|e| e.update);
            if let Some(known) = known
                && entry.state == MemberState::Leaving
                && known.state == MemberState::Live
            {
                let state = MemberState::Leaving;
                self.merge(now, MemberUpdate { state, ..known });
            }
        }
        self.next_join = now;
        self.dirty = true;
    }

    /// Sets the lease partners: the other owners and successors of the backend servers that this
    /// instance owns or is a successor of. Heartbeats between them renew the leases.
    pub fn set_partners(&mut self, partners: &[InstanceId]) {
        if self.partners != partners {
            self.partners.clear();
            self.partners.extend_from_slice(partners);
            self.dirty = true;
        }
    }

    /// Marks this instance as leaving and informs the other members, so that it becomes the owner
    /// of no more backend servers.
    pub fn start_leaving(&mut self, now: Time) {
        if self.own.state == MemberState::Live {
            self.own.state = MemberState::Leaving;
            self.gossip_own(now);
            // The next owners have to know this before backend servers are handed over to them.
            self.urgent = true;
            self.expedited = Time::ZERO;
        }
    }

    /// Leaves permanently and notifies the monitored members.
    pub fn leave(&mut self, now: Time, out: &mut Vec<Action>) {
        self.own.state = MemberState::Dead;
        self.left = true;
        let sender = self.own;
        self.members.merge(now, sender);
        for key in std::mem::take(&mut self.monitored) {
            if let Some(entry) = self.members.by_key(key) {
                send(out, entry.update.member, PeerMessage::Leave { sender });
            }
        }
        self.flush(out);
    }

    /// Runs the timers that are due at `now`, and sends the heartbeats, probes and join attempts.
    pub fn tick(&mut self, now: Time, ctx: &Context<'_>, out: &mut Vec<Action>) {
        if self.left {
            return;
        }
        let overdue = now.since(self.due) > self.settings.link_timeout;
        if self.last_tick.is_some() && overdue {
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
        self.last_tick = Some(now);
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

    /// Returns when the next [`Membership::tick`] is due, or `None` after [`Membership::leave`].
    pub fn deadline(&self) -> Option<Time> {
        match self.last_tick {
            _ if self.left => None,
            Some(last_tick) if self.dirty => Some(last_tick),
            _ => Some(self.due),
        }
    }

    /// Merges the contents of a message. The instance must then recompute ownership if the
    /// generation rose, and call [`Membership::reply`] only after that: an acknowledgement tells
    /// the sender that it is regarded as live and that none of its backend servers is owned here.
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

    /// Replies to a message after [`Membership::observe`].
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

    /// Merges a message and replies to it in one step, for code that has no ownership to
    /// recompute in between.
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

    /// Returns the live members of a zone, sorted by identifier. Contains this instance in its
    /// local zone.
    pub fn live(&self, zone: ZoneId) -> &[InstanceId] {
        self.members.zone(zone).map_or(&[], |z| z.live())
    }

    pub fn zones(&self) -> Vec<ZoneId> {
        self.zones.iter().map(|z| z.zone).collect()
    }

    /// Returns whether any other live member of a zone has acknowledged a heartbeat.
    pub fn is_acknowledged(&self, zone: ZoneId) -> bool {
        self.live(zone).iter().any(|id| self.acked(*id).is_some())
    }

    /// Returns whether a zone had live members and all of them have left or are leaving. A
    /// registered member whose state is unknown may be alive, so it prevents this.
    pub fn is_vacated(&self, zone: ZoneId) -> bool {
        let departed = |id| {
            let entry = self.members.get(id);
            entry.is_some_and(|e| e.update.state != MemberState::Live)
        };
        let may_live = |member: &Member| member.zone == zone && !departed(member.id);
        self.live(zone).is_empty()
            && self.populated.contains(&zone)
            && !self.join_candidates.iter().any(may_live)
    }

    pub fn live_region(&self) -> Vec<InstanceId> {
        let zones = self.zones.iter();
        zones.flat_map(|z| self.live(z.zone)).copied().collect()
    }

    /// Returns the dead members of a zone that are still stored.
    pub fn dead(&self, zone: ZoneId) -> impl Iterator<Item = InstanceId> + '_ {
        let dead = move |u: &MemberUpdate| u.state == MemberState::Dead && u.member.zone == zone;
        self.updates().filter(dead).map(|u| u.member.id)
    }

    /// Returns whether a member is live and not leaving.
    pub fn is_live(&self, id: InstanceId) -> bool {
        self.state(id) == Some(MemberState::Live)
    }

    /// Returns the addresses of a member in any state.
    pub fn member(&self, id: InstanceId) -> Option<&Member> {
        self.members.get(id).map(|e| &e.update.member)
    }

    /// Returns the state of a member, or `None` if it is unknown or unconfirmed.
    pub fn state(&self, id: InstanceId) -> Option<MemberState> {
        let entry = self.members.get(id)?;
        (!entry.unconfirmed).then_some(entry.update.state)
    }

    /// Returns all members, including the dead ones that are still stored.
    pub fn updates(&self) -> impl Iterator<Item = MemberUpdate> + '_ {
        self.members.iter().map(|e| e.update)
    }

    /// Returns a number that rises whenever the state of a member or the reachability of a zone
    /// changes.
    pub fn generation(&self) -> u64 {
        self.members.generation()
    }

    /// Returns the send time of the latest heartbeat that `id` acknowledged, directly or through
    /// another member. The owner's fence counts from this time.
    pub fn acked(&self, id: InstanceId) -> Option<Time> {
        self.members.get(id)?.acked
    }

    /// Returns when a heartbeat of `id` was last acknowledged here. The takeover delay counts from
    /// this time.
    pub fn granted(&self, id: InstanceId) -> Option<Time> {
        self.members.get(id)?.granted
    }

    /// Returns a random reachable member that has a later configuration than `own`.
    pub fn choose_ahead(&mut self, own: Revision) -> Option<InstanceId> {
        if self.newest_revision <= own {
            return None;
        }
        let ahead: Vec<InstanceId> = self
            .members
            .iter()
            .filter(|e| e.revision > own && e.present() && self.reachable(e.update.member.zone))
            .map(|e| e.update.member.id)
            .collect();
        if ahead.is_empty() {
            self.newest_revision = own;
        }
        self.choose(&ahead)
    }

    /// Returns whether a zone of the region can be reached. The members of an unreachable zone are
    /// not dead, but messages do not arrive at them.
    pub fn reachable(&self, zone: ZoneId) -> bool {
        self.zones.iter().any(|z| z.zone == zone && z.reachable)
    }
}
