//! Routing of callers' packets: along the candidates of a flow to the owner that holds it.

use crate::action::Action;
use crate::config::ZoneState;
use crate::counter::Counter;
use crate::flows::{
    Flow,
    FlowKey,
    Place, //
};
use crate::ids::{
    BackendServerId,
    InstanceId,
    ServiceId,
    ZoneId, //
};
use crate::instance::Instance;
use crate::occurrence::Occurrence;
use crate::packet::{
    MAX_HOPS,
    Packet,
    PacketKind,
    Purpose,
    Reason,
    Relay, //
};
use crate::servers::Verdict;
use crate::tables::{
    Candidate,
    Ranking, //
};
use crate::time::Time;

/// One step on the way along the candidates of a flow.
struct Step {
    candidate: Candidate,
    position: u8,
    table: u8,
}

impl Instance {
    /// Handles a packet that the fabric delivered.
    pub(crate) fn on_caller_packet(&mut self, now: Time, packet: Packet, out: &mut Vec<Action>) {
        self.counters.add(Counter::CallerPackets);
        if !packet.kind.from_caller() {
            self.counters.add(Counter::UnexpectedKinds);
            return;
        }
        let relay = Relay {
            purpose: initial_purpose(&packet),
            hops: 0,
            candidate: 0,
            table: 0,
            backend_server: BackendServerId(0),
        };
        self.route(now, relay, packet, out);
    }

    /// Handles a packet that another instance passed on.
    pub(crate) fn on_relayed_packet(
        &mut self,
        now: Time,
        relay: Relay,
        packet: Packet,
        out: &mut Vec<Action>,
    ) {
        self.counters.add(Counter::RelayedPackets);
        if relay.purpose == Purpose::Answer {
            self.on_answer(now, relay.backend_server, relay.hops, packet, out);
        } else {
            self.route(now, relay, packet, out);
        }
    }

    pub(crate) fn route(&mut self, now: Time, relay: Relay, packet: Packet, out: &mut Vec<Action>) {
        let record = self.flows.find(packet.flow);
        if let Some(key) = record
            && self.follow(now, relay, key, &packet, out)
        {
            return;
        }
        let Some(ranking) = self.tables.rank(packet.service, packet.flow) else {
            self.counters.add(Counter::UnknownServices);
            return;
        };
        match relay.purpose {
            Purpose::Place => self.place(now, relay, ranking, packet, out),
            Purpose::Find => self.find(now, relay, ranking, packet, out),
            Purpose::Adopt | Purpose::Answer => self.adopt(now, relay, ranking, packet, out),
        }
    }

    /// Handles a packet by the record of its flow; returns false if the record does not decide.
    fn follow(
        &mut self,
        now: Time,
        relay: Relay,
        key: FlowKey,
        packet: &Packet,
        out: &mut Vec<Action>,
    ) -> bool {
        let Some(flow) = self.flows.get_mut(key) else {
            return false;
        };
        if flow.service != packet.service {
            self.counters.add(Counter::UnknownServices);
            return true;
        }
        match flow.place {
            Place::Hosted(server) if self.servers.owns(server) => {
                flow.seen = now;
                self.host_packet(now, key, relay, packet.clone(), out);
                true
            }
            Place::Redirected(server) if !self.servers.owns(server) => {
                // An instance that was asked to place the flow must not send it back along an
                // earlier placement.
                if relay.purpose == Purpose::Place && relay.hops > 0 {
                    return false;
                }
                flow.seen = now;
                flow.opened = true;
                let zone = self.zone_of(server);
                self.redirect(relay, server, zone, packet, out)
            }
            Place::Closed(reason) => self.answer_closed(now, key, reason, packet, out),
            Place::Hosted(_) | Place::Redirected(_) => {
                self.flows.remove(key);
                false
            }
        }
    }

    fn redirect(
        &mut self,
        relay: Relay,
        server: BackendServerId,
        zone: Option<ZoneId>,
        packet: &Packet,
        out: &mut Vec<Action>,
    ) -> bool {
        let Some(zone) = zone else { return false };
        let Some(owner) = self.owner(server, zone) else {
            return false;
        };
        let relay = Relay {
            backend_server: server,
            ..relay
        };
        self.pass_on(owner, relay, packet.clone(), out);
        true
    }

    /// Places a new flow on the first candidate from `relay.candidate` on that admits it.
    pub(crate) fn place(
        &mut self,
        now: Time,
        relay: Relay,
        ranking: Ranking,
        packet: Packet,
        out: &mut Vec<Action>,
    ) {
        if packet.deadline.is_some_and(|deadline| deadline <= now) {
            self.refuse(&packet, Reason::Deadline, out);
            return;
        }
        let mut tried = None;
        for position in usize::from(relay.candidate)..ranking.len() {
            let mut candidate = ranking[position];
            // Tables may differ while a configuration spreads: the sender's choice counts.
            if relay.hops > 0 && position == usize::from(relay.candidate) {
                candidate.backend_server = relay.backend_server;
                candidate.zone = self.zone_of(relay.backend_server).unwrap_or(candidate.zone);
            }
            if !self.usable(candidate.zone) {
                continue;
            }
            match self.owner(candidate.backend_server, candidate.zone) {
                Some(owner) if owner == self.member.id => {
                    tried = Some((candidate, position));
                    if self.try_place(now, candidate, position as u8, &packet, out) {
                        return;
                    }
                }
                Some(owner) => {
                    if tried.is_some() {
                        self.note_redirect(now, candidate.backend_server, &packet);
                    }
                    let relay = Relay {
                        purpose: Purpose::Place,
                        candidate: position as u8,
                        backend_server: candidate.backend_server,
                        ..relay
                    };
                    self.pass_on(owner, relay, packet, out);
                    return;
                }
                None => self.counters.add(Counter::NoOwner),
            }
        }
        self.place_last(now, tried, packet, out);
    }

    /// Notes that a flow was passed on to another candidate, so that later packets follow.
    pub(crate) fn note_redirect(&mut self, now: Time, server: BackendServerId, packet: &Packet) {
        let place = Place::Redirected(server);
        let flow = Flow::new(packet.flow, packet.service, place, packet.route, now);
        self.insert_flow(flow);
    }

    fn try_place(
        &mut self,
        now: Time,
        candidate: Candidate,
        position: u8,
        packet: &Packet,
        out: &mut Vec<Action>,
    ) -> bool {
        let id = candidate.backend_server;
        let leased = self.check_lease(now, id, out);
        let Some(server) = self.servers.get(id) else {
            return false;
        };
        let verdict = server.admit(leased, &self.settings.admission, now);
        if verdict != Verdict::Run || !server.has_connection() || !server.queue.is_empty() {
            return false;
        }
        self.host_new(now, id, position, packet, out);
        true
    }

    /// Queues an opening packet at the last candidate that was tried, since all were busy.
    fn place_last(
        &mut self,
        now: Time,
        tried: Option<(Candidate, usize)>,
        packet: Packet,
        out: &mut Vec<Action>,
    ) {
        let Some((candidate, position)) = tried else {
            self.refuse(&packet, Reason::OwnerUnreachable, out);
            return;
        };
        let id = candidate.backend_server;
        let room = self.servers.get(id).is_some_and(|server| {
            server.has_connection() && server.can_queue(&self.settings.admission)
        });
        if room {
            self.host_new(now, id, position as u8, &packet, out);
        } else {
            self.refuse(&packet, Reason::Overload, out);
        }
    }

    fn host_new(
        &mut self,
        now: Time,
        server: BackendServerId,
        position: u8,
        packet: &Packet,
        out: &mut Vec<Action>,
    ) {
        let place = Place::Hosted(server);
        let flow = Flow::new(packet.flow, packet.service, place, packet.route, now);
        let key = self.insert_flow(flow);
        if position == 0 {
            self.counters.add(Counter::FirstChoices);
        } else {
            self.counters.add(Counter::Exceptions);
            out.push(Action::Note(Occurrence::FlowPlaced {
                flow: packet.flow,
                service: packet.service,
                backend_server: server,
                candidate: position,
            }));
        }
        self.start_request(now, key, position, packet.clone(), out);
    }

    /// Looks for the record of a flow along its candidates, then along its first choices under
    /// earlier tables. Without a record the owner of the first choice decides.
    fn find(
        &mut self,
        now: Time,
        relay: Relay,
        ranking: Ranking,
        packet: Packet,
        out: &mut Vec<Action>,
    ) {
        if relay.hops + 1 < MAX_HOPS
            && let Some((step, owner)) = self.next_step(relay, &ranking, &packet)
        {
            let relay = Relay {
                candidate: step.position,
                table: step.table,
                backend_server: step.candidate.backend_server,
                ..relay
            };
            self.pass_on(owner, relay, packet, out);
            return;
        }
        self.adopt(now, relay, ranking, packet, out);
    }

    /// Returns the next step whose owner was not asked yet.
    fn next_step(
        &mut self,
        relay: Relay,
        ranking: &Ranking,
        packet: &Packet,
    ) -> Option<(Step, InstanceId)> {
        let steps = self.steps(ranking, packet);
        let mut asked = smallvec::SmallVec::<[InstanceId; 8]>::new();
        asked.push(self.member.id);
        for step in steps {
            if !self.usable(step.candidate.zone) {
                continue;
            }
            let Some(owner) = self.owner(step.candidate.backend_server, step.candidate.zone) else {
                continue;
            };
            let earlier = (step.table, step.position) <= (relay.table, relay.candidate);
            if relay.hops > 0 && earlier {
                asked.push(owner);
            } else if !asked.contains(&owner) {
                return Some((step, owner));
            }
        }
        None
    }

    fn steps(&self, ranking: &Ranking, packet: &Packet) -> smallvec::SmallVec<[Step; 8]> {
        let present = ranking
            .iter()
            .enumerate()
            .map(|(position, candidate)| Step {
                candidate: *candidate,
                position: position as u8,
                table: 0,
            });
        let depth = self.tables.depth(packet.service);
        let earlier = (0..depth).filter_map(|table| {
            Some(Step {
                candidate: self.tables.earlier(packet.service, packet.flow, table)?,
                position: 0,
                table: table as u8 + 1,
            })
        });
        present.chain(earlier).collect()
    }

    /// Decides about a flow of which no instance has a record.
    fn adopt(
        &mut self,
        now: Time,
        relay: Relay,
        ranking: Ranking,
        packet: Packet,
        out: &mut Vec<Action>,
    ) {
        let Some((first, owner)) = self.first_owner(&ranking) else {
            self.counters.add(Counter::NoOwner);
            if packet.kind.starts_request() {
                self.uncertain(&packet, Reason::OwnerUnreachable, out);
            }
            return;
        };
        if owner != self.member.id {
            let relay = Relay {
                purpose: Purpose::Adopt,
                candidate: 0,
                table: 0,
                backend_server: first.backend_server,
                ..relay
            };
            self.pass_on(owner, relay, packet, out);
            return;
        }
        self.adopt_here(now, relay, first, ranking, packet, out);
    }

    fn adopt_here(
        &mut self,
        now: Time,
        relay: Relay,
        first: Candidate,
        ranking: Ranking,
        packet: Packet,
        out: &mut Vec<Action>,
    ) {
        let recent = self
            .servers
            .get(first.backend_server)
            .is_some_and(|server| now.since(server.acquired) < self.settings.ownership.memory);
        let repeated = packet.attempt > 0 && !packet.idempotent;
        match packet.kind {
            // An earlier attempt may have gone through the owner before this one.
            PacketKind::Open | PacketKind::Request if repeated && recent => {
                self.uncertain(&packet, Reason::OwnerChanged, out);
            }
            PacketKind::Request | PacketKind::Data | PacketKind::Cancel | PacketKind::Close
                if recent =>
            {
                self.counters.add(Counter::Adopted);
                let place = Place::Hosted(first.backend_server);
                let mut flow = Flow::new(packet.flow, packet.service, place, packet.route, now);
                flow.opened = true;
                let key = self.insert_flow(flow);
                self.host_packet(now, key, relay, packet, out);
            }
            PacketKind::Open | PacketKind::Request => {
                let relay = Relay {
                    purpose: Purpose::Place,
                    hops: relay.hops.min(MAX_HOPS - ranking.len() as u8),
                    candidate: 0,
                    table: 0,
                    backend_server: first.backend_server,
                };
                self.place(now, relay, ranking, packet, out);
            }
            PacketKind::Data => {
                self.send_caller(packet.reply(PacketKind::Reset, Reason::UnknownFlow), out);
            }
            _ => self.counters.add(Counter::StrayPackets),
        }
    }

    fn first_owner(&mut self, ranking: &Ranking) -> Option<(Candidate, InstanceId)> {
        for candidate in ranking {
            if !self.usable(candidate.zone) {
                continue;
            }
            if let Some(owner) = self.owner(candidate.backend_server, candidate.zone) {
                return Some((*candidate, owner));
            }
        }
        None
    }

    /// Returns whether packets may go to a zone: it is in service and can be reached.
    pub(crate) fn usable(&self, zone: ZoneId) -> bool {
        let state = self.configuration.zones.get(&zone).map(|zone| zone.state);
        state == Some(ZoneState::In) && self.membership.reachable(zone)
    }

    /// Returns the owner of a backend server.
    pub(crate) fn owner(&mut self, server: BackendServerId, zone: ZoneId) -> Option<InstanceId> {
        self.owners
            .succession(server, zone, &self.membership)
            .first()
            .copied()
    }

    /// Returns the zone of a backend server that is configured or owned.
    pub(crate) fn zone_of(&self, server: BackendServerId) -> Option<ZoneId> {
        if let Some(owned) = self.servers.get(server) {
            return Some(owned.zone);
        }
        let server = self.configuration.servers.get(&server)?;
        Some(self.configuration.pools.get(&server.pool)?.zone)
    }

    /// Passes a packet on to another instance.
    pub(crate) fn pass_on(
        &mut self,
        to: InstanceId,
        relay: Relay,
        packet: Packet,
        out: &mut Vec<Action>,
    ) {
        if relay.hops + 1 > MAX_HOPS {
            self.counters.add(Counter::HopLimit);
            return;
        }
        let Some(member) = self.membership.member(to) else {
            self.counters.add(Counter::NoOwner);
            return;
        };
        self.counters.add(Counter::Relays);
        out.push(Action::Relay {
            to,
            address: member.relay,
            relay: Relay {
                hops: relay.hops + 1,
                ..relay
            },
            packet,
        });
    }

    /// Tells the caller that its request did not run.
    pub(crate) fn refuse(&mut self, packet: &Packet, reason: Reason, out: &mut Vec<Action>) {
        self.counters.add(Counter::Refusals);
        self.send_caller(packet.reply(PacketKind::Refused, reason), out);
    }

    /// Tells the caller that its request may have run.
    pub(crate) fn uncertain(&mut self, packet: &Packet, reason: Reason, out: &mut Vec<Action>) {
        self.counters.add(Counter::Unknowns);
        self.send_caller(packet.reply(PacketKind::Unknown, reason), out);
    }

    /// Sends a packet to its caller.
    pub(crate) fn send_caller(&mut self, packet: Packet, out: &mut Vec<Action>) {
        self.counters.add(Counter::CallerSends);
        out.push(Action::SendCaller(packet));
    }

    /// Returns the public address of a service.
    pub(crate) fn address_of(&self, service: ServiceId) -> Option<std::net::SocketAddr> {
        Some(self.configuration.services.get(&service)?.address)
    }
}

/// Only the first attempt of an opening packet can be sure to have no record.
fn initial_purpose(packet: &Packet) -> Purpose {
    if packet.kind == PacketKind::Open && packet.attempt == 0 {
        Purpose::Place
    } else {
        Purpose::Find
    }
}
