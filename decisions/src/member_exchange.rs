//! Merges membership updates from messages, acknowledges heartbeats and sends updates to other
//! members.

use std::time::Duration;

use smallvec::SmallVec;

use crate::action::Action;
use crate::contact::SyncAction;
use crate::ids::{
    InstanceId,
    Revision,
    ZoneId, //
};
use crate::membership::{
    Context,
    Membership, //
};
use crate::peer::{
    MAX_UPDATES,
    Member,
    MemberState,
    MemberUpdate,
    PeerMessage, //
};
use crate::time::Time;

/// Maximum number of updates in one `Members` message, so that a frame stays far below 64 KiB.
const MAX_MEMBERS: usize = 256;

impl Membership {
    /// Merges an update and adds it to the gossip if it changes the table.
    pub(crate) fn merge(&mut self, now: Time, update: MemberUpdate) {
        if update.member.id == self.own.member.id {
            self.merge_own(now, update);
        } else if self.members.merge(now, update) {
            self.gossip.add(update.member.id);
            self.dirty = true;
            self.urgent = true;
        } else {
            self.gossip_again(update);
        }
    }

    /// Gossips the local state of a member again when another instance has an older one: gossip
    /// that was sent during a network partition is lost permanently. A false dead declaration
    /// reaches its member this way too.
    fn gossip_again(&mut self, update: MemberUpdate) {
        let id = update.member.id;
        let known = self.members.get(id).map(|e| e.update);
        if known.is_some_and(|k| k.supersedes(&update)) {
            self.gossip.add_if_absent(id);
        }
    }

    /// Refutes a false dead declaration of this instance. A leaving state is adopted instead of
    /// refuted: it may come from the registry, and owners are computed from the state that the
    /// other members have.
    fn merge_own(&mut self, now: Time, update: MemberUpdate) {
        if update.incarnation < self.own.incarnation {
            return;
        }
        match update.state {
            MemberState::Live => return,
            MemberState::Leaving if self.own.state != MemberState::Live => return,
            MemberState::Leaving => {
                self.own.state = MemberState::Leaving;
                self.own.incarnation = update.incarnation;
            }
            MemberState::Dead => self.own.incarnation = update.incarnation.saturating_add(1),
        }
        self.gossip_own(now);
    }

    /// Merges and gossips a new state or incarnation of this instance.
    pub(crate) fn gossip_own(&mut self, now: Time) {
        self.members.merge(now, self.own);
        self.gossip.add(self.own.member.id);
        self.dirty = true;
    }

    /// Merges the updates of a heartbeat or its acknowledgement.
    pub(crate) fn merge_all(&mut self, now: Time, from: InstanceId, updates: &[MemberUpdate]) {
        for &update in updates {
            self.merge(now, update);
            self.confirm_from(from, update);
        }
    }

    /// Merges the members of a zone that were pulled from `from`. Changes are gossiped only if they
    /// fit into one message: a few changes are ones that gossip missed, while a whole zone would
    /// delay newer updates.
    pub(crate) fn merge_pulled(&mut self, now: Time, from: InstanceId, updates: &[MemberUpdate]) {
        self.begin_return(now, from);
        self.record_received(now, from);
        let mut changed: SmallVec<[InstanceId; MAX_UPDATES]> = SmallVec::new();
        for &update in updates {
            if update.member.id == self.own.member.id {
                self.merge_own(now, update);
            } else if self.members.merge(now, update) {
                self.dirty = true;
                changed.push(update.member.id);
            } else {
                self.gossip_again(update);
            }
            self.confirm_from(from, update);
        }
        if let Some(member) = self.member(from).copied() {
            self.complete_return(member.zone);
        }
        if changed.len() <= MAX_UPDATES {
            changed.into_iter().for_each(|id| self.gossip.add(id));
        }
    }

    /// Marks the members of a returning zone as unconfirmed before the updates of `from` are
    /// merged: they may have been replaced while the zone was unreachable.
    fn begin_return(&mut self, now: Time, from: InstanceId) {
        let Some(zone) = self.member(from).map(|m| m.zone) else {
            return;
        };
        if self.zones.iter().any(|z| z.zone == zone && z.returning) {
            self.members.mark_unconfirmed(now, zone);
            self.dirty = true;
        }
    }

    /// Completes the return of a zone, if it was returning, because its members are known.
    pub(crate) fn complete_return(&mut self, zone: ZoneId) {
        let contacts = self.zones.iter_mut().find(|z| z.zone == zone);
        if contacts.is_some_and(|c| c.complete_return()) {
            self.members.bump_generation();
        }
    }

    /// Confirms an unconfirmed member when `from`, a member of the same zone, reports it.
    fn confirm_from(&mut self, from: InstanceId, update: MemberUpdate) {
        let zone = update.member.zone;
        let same_zone = self.member(from).is_some_and(|m| m.zone == zone);
        if !same_zone || update.state == MemberState::Dead {
            return;
        }
        if let Some(key) = self.members.key(update.member.id)
            && self.members.confirm(key)
        {
            self.dirty = true;
        }
    }

    /// Merges the state and the configuration revision that a member reports of itself.
    pub(crate) fn merge_direct(
        &mut self,
        now: Time,
        sender: MemberUpdate,
        revision: Option<Revision>,
    ) {
        self.merge(now, sender);
        let id = sender.member.id;
        self.record_received(now, id);
        if let Some(revision) = revision
            && let Some(entry) = self.members.get_mut(id)
        {
            entry.revision = entry.revision.max(revision);
            self.newest_revision = self.newest_revision.max(revision);
        }
    }

    /// Records that a message of a member was received. Does not revive a dead member, since the
    /// message may be old.
    pub(crate) fn record_received(&mut self, now: Time, id: InstanceId) {
        let Some(entry) = self.members.get_mut(id) else {
            return;
        };
        if entry.update.state == MemberState::Dead {
            return;
        }
        entry.last_received = Some(now);
        let zone = entry.update.member.zone;
        if let Some(contacts) = self.zones.iter_mut().find(|z| z.zone == zone) {
            contacts.record_received(now);
        }
        if let Some(key) = self.members.key(id) {
            self.members.confirm(key);
        }
    }

    /// Records the acknowledgement of a heartbeat.
    pub(crate) fn record_ack(&mut self, id: InstanceId, sequence: u64) {
        let Some(entry) = self.members.get_mut(id) else {
            return;
        };
        let sent = entry.detector.as_mut().and_then(|d| d.record_ack(sequence));
        entry.acked = entry.acked.max(sent);
    }

    /// Acknowledges a heartbeat. A sender that is dead here gets a heartbeat that carries this
    /// state instead, so that it can refute it.
    pub(crate) fn acknowledge(
        &mut self,
        now: Time,
        sender: MemberUpdate,
        sequence: u64,
        ctx: &Context<'_>,
        out: &mut Vec<Action>,
    ) {
        let id = sender.member.id;
        let Some(entry) = self.members.get_mut(id) else {
            return;
        };
        if !entry.present() {
            self.send_heartbeat(sender.member, ctx, out);
            return;
        }
        entry.granted = Some(now);
        let updates = self.updates_for(id).into_iter().collect();
        let message = PeerMessage::HeartbeatAck {
            sender: self.own,
            sequence,
            revision: ctx.revision,
            digest: self.digest(self.own.member.zone),
            updates,
        };
        send(out, sender.member, message);
    }

    /// Acknowledges a heartbeat that `from` forwarded, through `from`.
    pub(crate) fn answer_probe(
        &mut self,
        now: Time,
        from: InstanceId,
        origin: Member,
        sequence: u64,
        out: &mut Vec<Action>,
    ) {
        let next_hop = self.member(from).copied().unwrap_or(origin);
        let Some(entry) = self.members.get_mut(origin.id) else {
            return;
        };
        if !entry.present() {
            return;
        }
        entry.granted = Some(now);
        let message = PeerMessage::ProbeReply {
            origin: origin.id,
            target: self.own.member.id,
            sequence,
        };
        send(out, next_hop, message);
    }

    /// Compares the digest of a zone at one of its members with the local one, and pulls the
    /// members if they differ. If an earlier pull did not help, the member lacks updates that are
    /// known here, so they are sent too.
    ///
    /// `quiet` means that the message carried no updates. A contact is the only source of updates
    /// for another zone, so a difference from a quiet one is resolved without waiting for gossip.
    pub(crate) fn compare_digest(
        &mut self,
        now: Time,
        member: Member,
        digest: u64,
        quiet: bool,
        out: &mut Vec<Action>,
    ) {
        if !self.members.get(member.id).is_some_and(|e| e.present()) {
            return;
        }
        let zone = member.zone;
        let equal = self.digest(zone) == digest;
        if equal {
            self.complete_return(zone);
        }
        let settle = match quiet && zone != self.own.member.zone {
            true => Duration::ZERO,
            false => self.settings.settle,
        };
        let interval = self.settings.pull_pause;
        let contacts = self.zones.iter_mut().find(|z| z.zone == zone);
        match contacts.map(|c| c.compare(now, equal, settle, interval)) {
            Some(SyncAction::Pull) => send(out, member, PeerMessage::PullMembers { zone }),
            Some(SyncAction::Exchange) => {
                send(out, member, PeerMessage::PullMembers { zone });
                self.send_members(member.id, zone, out);
            }
            Some(SyncAction::None) | None => {}
        }
    }

    /// Sends all members of a zone including the dead ones, except unconfirmed members.
    pub(crate) fn send_members(&self, to: InstanceId, zone: ZoneId, out: &mut Vec<Action>) {
        let Some(&to) = self.member(to) else {
            return;
        };
        let updates: Vec<MemberUpdate> = self
            .members
            .iter()
            .filter(|e| e.update.member.zone == zone && !e.unconfirmed)
            .map(|e| e.update)
            .collect();
        for part in updates.chunks(MAX_MEMBERS) {
            let updates = part.to_vec();
            send(out, to, PeerMessage::Members { updates });
        }
    }

    /// Sends a heartbeat and returns its sequence number.
    pub(crate) fn send_heartbeat(
        &mut self,
        to: Member,
        ctx: &Context<'_>,
        out: &mut Vec<Action>,
    ) -> u64 {
        self.sequence += 1;
        let message = PeerMessage::Heartbeat {
            sender: self.own,
            sequence: self.sequence,
            revision: ctx.revision,
            digest: self.digest(self.own.member.zone),
            updates: self.updates_for(to.id).into_iter().collect(),
            loads: ctx.loads.into(),
        };
        send(out, to, message);
        self.sequence
    }

    /// Returns the updates for the next message to `to`. If `to` is dead here, its own state comes
    /// first, so that it can refute it.
    fn updates_for(&mut self, to: InstanceId) -> Vec<MemberUpdate> {
        let max_updates = self.settings.updates;
        let dead = self
            .members
            .get(to)
            .map(|e| e.update)
            .filter(|u| u.state == MemberState::Dead);
        let zone = self.members.zone(self.own.member.zone);
        let members = zone.map_or(1, |z| z.present().len());
        let rest = max_updates.saturating_sub(usize::from(dead.is_some()));
        let ids = self.gossip.take_next(rest, members);
        let updates = ids.iter().filter(|&&id| id != to);
        let updates = updates.filter_map(|&id| self.members.get(id).map(|e| e.update));
        dead.into_iter().chain(updates).collect()
    }

    fn digest(&self, zone: ZoneId) -> u64 {
        self.members.zone(zone).map_or(0, |z| z.digest())
    }

    /// Appends pending state changes to the timeline.
    pub(crate) fn flush(&mut self, out: &mut Vec<Action>) {
        out.extend(
            self.members
                .state_changes
                .drain(..)
                .map(Action::AppendTimeline),
        );
    }
}

/// Sends a control message to a member.
pub(crate) fn send(out: &mut Vec<Action>, to: Member, message: PeerMessage) {
    out.push(Action::SendPeer {
        to: to.id,
        address: to.control,
        message: Box::new(message),
    });
}
