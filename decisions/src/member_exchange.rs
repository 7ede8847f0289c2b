//! What the membership learns from messages and how it answers them.

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

/// The most updates in one `Members` message, so that a frame stays far under 64 KiB.
const MAX_PULLED: usize = 256;

impl Membership {
    /// Merges an update and spreads it if it is news.
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

    /// Spreads what is known here once more when another instance has something older: gossip is
    /// lost for good when it meets a cut. A wrong verdict reaches its member this way too.
    fn gossip_again(&mut self, update: MemberUpdate) {
        let id = update.member.id;
        let known = self.members.get(id).map(|e| e.update);
        if known.is_some_and(|k| k.supersedes(&update)) {
            self.gossip.add_again(id);
        }
    }

    /// Refutes a wrong verdict on this instance. That it leaves is not refuted: the platform may
    /// have said so, and owners are computed from what the others believe.
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

    /// Spreads a new state or incarnation of this instance.
    pub(crate) fn gossip_own(&mut self, now: Time) {
        self.members.merge(now, self.own);
        self.gossip.add(self.own.member.id);
        self.dirty = true;
    }

    /// Merges updates that came on a heartbeat.
    pub(crate) fn merge_all(&mut self, now: Time, from: InstanceId, updates: &[MemberUpdate]) {
        for &update in updates {
            self.merge(now, update);
            self.confirm_from(from, update);
        }
    }

    /// Merges the members of a zone. They are spread only if they are few: then gossip missed
    /// them here, while a whole zone would hold up real news.
    pub(crate) fn merge_pulled(&mut self, now: Time, from: InstanceId, updates: &[MemberUpdate]) {
        self.begin_return(now, from);
        self.record_received(now, from);
        let mut news: SmallVec<[InstanceId; MAX_UPDATES]> = SmallVec::new();
        for &update in updates {
            if update.member.id == self.own.member.id {
                self.merge_own(now, update);
            } else if self.members.merge(now, update) {
                self.dirty = true;
                news.push(update.member.id);
            } else {
                self.gossip_again(update);
            }
            self.confirm_from(from, update);
        }
        if let Some(member) = self.member(from).copied() {
            self.complete_return(member.zone);
        }
        if news.len() <= MAX_UPDATES {
            news.into_iter().for_each(|id| self.gossip.add(id));
        }
    }

    /// Makes the members of a zone that comes back doubtful, before those count that `from`
    /// vouches for: while the zone was unreachable they may have been replaced unnoticed.
    fn begin_return(&mut self, now: Time, from: InstanceId) {
        let Some(zone) = self.member(from).map(|m| m.zone) else {
            return;
        };
        if self.zones.iter().any(|z| z.zone == zone && z.returning) {
            self.members.mark_unconfirmed(now, zone);
            self.dirty = true;
        }
    }

    /// Notes that the members of a zone are known; it may have been coming back.
    pub(crate) fn complete_return(&mut self, zone: ZoneId) {
        let contacts = self.zones.iter_mut().find(|z| z.zone == zone);
        if contacts.is_some_and(|c| c.complete_return()) {
            self.members.bump_generation();
        }
    }

    /// Confirms a doubtful member when a member of its zone vouches for it.
    fn confirm_from(&mut self, from: InstanceId, update: MemberUpdate) {
        let zone = update.member.zone;
        let inside = self.member(from).is_some_and(|m| m.zone == zone);
        if !inside || update.state == MemberState::Dead {
            return;
        }
        if let Some(key) = self.members.key(update.member.id)
            && self.members.confirm(key)
        {
            self.dirty = true;
        }
    }

    /// Merges what a member says of itself.
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

    /// Notes a sign of life. It does not revive a dead member: the message may be old.
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

    /// Notes that a heartbeat was acknowledged.
    pub(crate) fn record_ack(&mut self, id: InstanceId, sequence: u64) {
        let Some(entry) = self.members.get_mut(id) else {
            return;
        };
        let sent = entry.detector.as_mut().and_then(|d| d.record_ack(sequence));
        entry.acked = entry.acked.max(sent);
    }

    /// Acknowledges a heartbeat, or tells a sender that counts as dead to refute that.
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

    /// Answers a heartbeat that `from` passed on, on the same way back.
    pub(crate) fn answer_probe(
        &mut self,
        now: Time,
        from: InstanceId,
        origin: Member,
        sequence: u64,
        out: &mut Vec<Action>,
    ) {
        let way = self.member(from).copied().unwrap_or(origin);
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
        send(out, way, message);
    }

    /// Pulls the members of a zone when its digest at a member differs from the one here. If that
    /// does not help, the member lacks some that are known here, and gets them.
    ///
    /// `quiet` says that the member had nothing to spread. A contact in another zone is the only
    /// way to that zone's news, so that a difference from a quiet one is not waited for.
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
        let pause = self.settings.pull_pause;
        let contacts = self.zones.iter_mut().find(|z| z.zone == zone);
        match contacts.map(|c| c.compare(now, equal, settle, pause)) {
            Some(SyncAction::Pull) => send(out, member, PeerMessage::PullMembers { zone }),
            Some(SyncAction::Exchange) => {
                send(out, member, PeerMessage::PullMembers { zone });
                self.send_members(member.id, zone, out);
            }
            Some(SyncAction::None) | None => {}
        }
    }

    /// Sends all members of a zone, the dead ones included.
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
        for part in updates.chunks(MAX_PULLED) {
            let updates = part.to_vec();
            send(out, to, PeerMessage::Members { updates });
        }
    }

    /// Sends a heartbeat and returns its sequence.
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

    /// Returns the updates for the next message to `to`. If it counts as dead here, the verdict
    /// comes first, so that it can refute.
    fn updates_for(&mut self, to: InstanceId) -> Vec<MemberUpdate> {
        let most = self.settings.updates;
        let dead = self
            .members
            .get(to)
            .map(|e| e.update)
            .filter(|u| u.state == MemberState::Dead);
        let reached = self.members.zone(self.own.member.zone);
        let reached = reached.map_or(1, |z| z.present().len());
        let rest = most.saturating_sub(usize::from(dead.is_some()));
        let ids = self.gossip.take(rest, reached);
        let news = ids.iter().filter(|&&id| id != to);
        let news = news.filter_map(|&id| self.members.get(id).map(|e| e.update));
        dead.into_iter().chain(news).collect()
    }

    fn digest(&self, zone: ZoneId) -> u64 {
        self.members.zone(zone).map_or(0, |z| z.digest())
    }

    /// Moves changes of state to the time line.
    pub(crate) fn flush(&mut self, out: &mut Vec<Action>) {
        out.extend(self.members.state_changes.drain(..).map(Action::Note));
    }
}

/// Sends a control message.
pub(crate) fn send(out: &mut Vec<Action>, to: Member, message: PeerMessage) {
    out.push(Action::SendPeer {
        to: to.id,
        address: to.control,
        message: Box::new(message),
    });
}
