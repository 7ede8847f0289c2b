//! Routing of callers' packets: along the candidates of a flow to the owner that holds it.

use crate::action::Action;
use crate::config::ZoneState;
use crate::counter::Counter;
use crate::flows::{
    DIRECT,
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
use crate::packet::{
    MAX_HOPS,
    Packet,
    PacketKind,
    Purpose,
    Reason,
    Relay, //
};
use crate::servers::Verdict;
use crate::state_change::StateChange;
use crate::tables::{
    Candidate,
    Ranking, //
};
use crate::time::Time;

/// Stands for the table of a packet that has followed a registered exception.
const DIRECT_TAKEN: u8 = u8::MAX;

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
            doubt: false,
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
        // The caller may have given up, or opened the flow elsewhere by a repeated attempt.
        if packet.kind == PacketKind::Open && now < self.backlog_until {
            self.counters.add(Counter::StaleOpenings);
            return;
        }
        let record = self.flows.find(packet.flow);
        if let Some(key) = record
            && self.decides(relay, key)
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

    /// Returns whether a record may decide about a packet. Where a flow is not served, a record may
    /// be left from an earlier placement, unless this instance is the first on the flow's way.
    fn decides(&mut self, relay: Relay, key: FlowKey) -> bool {
        let Some(flow) = self.flows.get(key) else {
            return false;
        };
        if relay.hops > 0 || matches!(flow.place, Place::Hosted(_)) {
            return true;
        }
        let ranking = self.tables.rank(flow.service, flow.id).unwrap_or_default();
        let first = self.first_owner(&ranking);
        first.is_some_and(|(_, owner)| owner == self.member.id)
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
            Place::Redirected { backend_server, .. } if !self.servers.owns(backend_server) => {
                self.redirect(now, relay, key, packet, out)
            }
            Place::Closed(reason) => self.answer_closed(now, key, reason, packet, out),
            Place::Refused => {
                packet.kind.starts_request()
                    && self.answer_closed(now, key, Reason::Overload, packet, out)
            }
            // Its owner died, and this instance took over: the record still tells where the flow is.
            Place::Redirected { .. } => false,
            Place::Hosted(_) => {
                self.flows.remove(key);
                false
            }
        }
    }

    /// Follows a redirect; returns false if the record does not decide.
    fn redirect(
        &mut self,
        now: Time,
        relay: Relay,
        key: FlowKey,
        packet: &Packet,
        out: &mut Vec<Action>,
    ) -> bool {
        let Some(Place::Redirected {
            backend_server: server,
            position,
        }) = self.flows.get(key).map(|flow| flow.place)
        else {
            return false;
        };
        let direct = position == DIRECT;
        let taken = relay.table == DIRECT_TAKEN;
        // Where a registered exception led, the way begins anew, but only once.
        let fresh = relay.hops == 0 || (relay.candidate == DIRECT && !direct);
        let forward = fresh || (position > relay.candidate && !(direct && taken));
        let placing = relay.purpose == Purpose::Place && relay.hops > 0;
        if placing || !forward {
            return false;
        }
        let owner = self
            .zone_of(server)
            .and_then(|zone| self.owner(server, zone));
        let Some(owner) = owner else { return false };
        if let Some(flow) = self.flows.get_mut(key) {
            flow.seen = now;
            flow.opened = true;
        }
        let relay = Relay {
            candidate: position,
            table: if direct || taken { DIRECT_TAKEN } else { 0 },
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
            self.refuse(&packet, relay.doubt, Reason::Deadline, out);
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
                    if self.try_place(now, relay, candidate, position as u8, &packet, out) {
                        return;
                    }
                }
                // The sender takes this instance for the owner, and this one takes another for it.
                Some(_) if relay.hops > 1 && position == usize::from(relay.candidate) => {}
                Some(owner) => {
                    if tried.is_some() {
                        self.note_redirect(now, candidate.backend_server, position as u8, &packet);
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
        self.place_last(now, relay, tried, packet, out);
    }

    /// Notes that a flow was passed on to another candidate, so that later packets follow.
    pub(crate) fn note_redirect(
        &mut self,
        now: Time,
        server: BackendServerId,
        position: u8,
        packet: &Packet,
    ) {
        let place = Place::Redirected {
            backend_server: server,
            position,
        };
        let flow = Flow::new(packet.flow, packet.service, place, packet.route, now);
        self.insert_flow(flow);
    }

    fn try_place(
        &mut self,
        now: Time,
        relay: Relay,
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
        self.host_new(now, id, position, relay.doubt, packet, out);
        true
    }

    /// Queues an opening packet at the last candidate that was tried, since all were busy.
    fn place_last(
        &mut self,
        now: Time,
        relay: Relay,
        tried: Option<(Candidate, usize)>,
        packet: Packet,
        out: &mut Vec<Action>,
    ) {
        let Some((candidate, position)) = tried else {
            self.refuse(&packet, relay.doubt, Reason::OwnerUnreachable, out);
            return;
        };
        let id = candidate.backend_server;
        let room = self.servers.get(id).is_some_and(|server| {
            server.has_connection() && server.can_queue(&self.settings.admission)
        });
        if room {
            self.host_new(now, id, position as u8, relay.doubt, &packet, out);
        } else {
            self.note_refusal(now, &packet);
            self.refuse(&packet, relay.doubt, Reason::Overload, out);
        }
    }

    /// Remembers that a flow was not opened, so that its next attempt need not be doubted.
    fn note_refusal(&mut self, now: Time, packet: &Packet) {
        let place = Place::Refused;
        let mut flow = Flow::new(packet.flow, packet.service, place, packet.route, now);
        flow.remember_refusal(packet.request, packet.attempt);
        self.insert_flow(flow);
    }

    fn host_new(
        &mut self,
        now: Time,
        server: BackendServerId,
        position: u8,
        doubt: bool,
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
            out.push(Action::Note(StateChange::FlowPlaced {
                flow: packet.flow,
                service: packet.service,
                backend_server: server,
                candidate: position,
            }));
        }
        self.start_request(now, key, position, doubt, packet.clone(), out);
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
        match self.next_step(relay, &ranking, &packet) {
            // One hop is left for the owner of the first choice, and one for where it points.
            Some((step, owner)) if relay.hops + 2 < MAX_HOPS => {
                let relay = Relay {
                    candidate: step.position,
                    table: step.table,
                    backend_server: step.candidate.backend_server,
                    ..relay
                };
                self.pass_on(owner, relay, packet, out);
            }
            _ => self.adopt(now, relay, ranking, packet, out),
        }
    }

    /// Returns the next step whose owner was not asked yet.
    fn next_step(
        &mut self,
        relay: Relay,
        ranking: &Ranking,
        packet: &Packet,
    ) -> Option<(Step, InstanceId)> {
        // Where a registered exception led nowhere, only the owner of the first choice was asked.
        let reached = match relay.table {
            DIRECT_TAKEN => (0, 0),
            table => (table, relay.candidate),
        };
        let mut asked = smallvec::SmallVec::<[InstanceId; 8]>::new();
        asked.push(self.member.id);
        for step in self.steps(ranking, packet) {
            let candidate = step.candidate;
            if !self.usable(candidate.zone) {
                continue;
            }
            let Some(owner) = self.owner(candidate.backend_server, candidate.zone) else {
                continue;
            };
            let earlier = (step.table, step.position) <= reached;
            if relay.hops > 0 && earlier {
                asked.push(owner);
            } else if !asked.contains(&owner) {
                return Some((step, owner));
            }
        }
        None
    }

    /// Returns whether this instance owns a backend server, but not for long enough to know all
    /// flows and requests on it.
    fn is_recent(&self, now: Time, server: BackendServerId) -> bool {
        let memory = self.settings.ownership.memory;
        self.servers
            .get(server)
            .is_some_and(|server| now.since(server.acquired) < memory)
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

    /// Decides about a flow of which no instance has a record, or passes it to who does.
    fn adopt(
        &mut self,
        now: Time,
        relay: Relay,
        ranking: Ranking,
        packet: Packet,
        out: &mut Vec<Action>,
    ) {
        if relay.purpose == Purpose::Adopt
            && let Some(backend_server) = self.adopted_server(relay, &packet)
        {
            let relay = Relay {
                backend_server,
                ..relay
            };
            self.adopt_here(now, relay, ranking, packet, out);
            return;
        }
        let Some((first, owner)) = self.first_owner(&ranking) else {
            self.counters.add(Counter::NoOwner);
            if packet.kind.starts_request() {
                self.refuse(&packet, true, Reason::OwnerUnreachable, out);
            }
            return;
        };
        let relay = Relay {
            purpose: Purpose::Adopt,
            candidate: 0,
            table: 0,
            backend_server: first.backend_server,
            ..relay
        };
        if owner == self.member.id {
            let backend_server = self.adopted_server(relay, &packet);
            let relay = Relay {
                backend_server: backend_server.unwrap_or(first.backend_server),
                ..relay
            };
            self.adopt_here(now, relay, ranking, packet, out);
        } else {
            self.pass_on(owner, relay, packet, out);
        }
    }

    /// Returns the owned backend server that a flow without a record would be on: where a redirect
    /// points, else the one that the sender named.
    fn adopted_server(&self, relay: Relay, packet: &Packet) -> Option<BackendServerId> {
        let record = self.flows.find(packet.flow);
        let place = record.and_then(|key| self.flows.get(key)).map(|f| f.place);
        let pointed = match place {
            Some(Place::Redirected { backend_server, .. }) => Some(backend_server),
            _ => None,
        };
        let named = [pointed, Some(relay.backend_server)];
        let mut named = named.into_iter().flatten();
        named.find(|server| self.servers.owns(*server))
    }

    /// Decides about a flow of which no instance has a record, as the owner of the backend server
    /// where it would be.
    fn adopt_here(
        &mut self,
        now: Time,
        relay: Relay,
        ranking: Ranking,
        packet: Packet,
        out: &mut Vec<Action>,
    ) {
        if !self.servers.owns(relay.backend_server) {
            // This instance does not know enough members yet to tell who the owner is.
            self.counters.add(Counter::NoOwner);
            return;
        }
        let recent = self.is_recent(now, relay.backend_server);
        let doubt = relay.doubt || packet.attempt > 0;
        match packet.kind {
            // An earlier attempt may have reached a backend server without a record here.
            PacketKind::Open | PacketKind::Request if doubt && !packet.idempotent => {
                self.uncertain(&packet, Reason::OwnerChanged, out);
            }
            PacketKind::Request | PacketKind::Data | PacketKind::Cancel | PacketKind::Close
                if recent =>
            {
                self.adopt_flow(now, relay, packet, out);
            }
            PacketKind::Open | PacketKind::Request => {
                let relay = Relay {
                    purpose: Purpose::Place,
                    hops: 0,
                    candidate: 0,
                    table: 0,
                    backend_server: relay.backend_server,
                    doubt,
                };
                self.place(now, relay, ranking, packet, out);
            }
            // The flow may be served in a zone that can't be reached at present.
            PacketKind::Data if ranking.iter().all(|c| self.usable(c.zone)) => {
                self.send_caller(packet.reply(PacketKind::Reset, Reason::UnknownFlow), out);
            }
            _ => self.counters.add(Counter::StrayPackets),
        }
    }

    /// Takes a flow over whose record was lost with the former owner.
    fn adopt_flow(&mut self, now: Time, relay: Relay, packet: Packet, out: &mut Vec<Action>) {
        self.counters.add(Counter::Adopted);
        let place = Place::Hosted(relay.backend_server);
        let mut flow = Flow::new(packet.flow, packet.service, place, packet.route, now);
        flow.opened = true;
        flow.adopted = true;
        let key = self.insert_flow(flow);
        self.host_packet(now, key, relay, packet, out);
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
        self.is_in(zone) && self.membership.reachable(zone)
    }

    /// Returns whether a zone is in service.
    pub(crate) fn is_in(&self, zone: ZoneId) -> bool {
        let state = self.configuration.zones.get(&zone).map(|zone| zone.state);
        state == Some(ZoneState::In)
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

    /// Tells the caller that its request did not run, or, where that is in doubt, that it may have.
    pub(crate) fn refuse(
        &mut self,
        packet: &Packet,
        doubt: bool,
        reason: Reason,
        out: &mut Vec<Action>,
    ) {
        if doubt {
            self.uncertain(packet, reason, out);
            return;
        }
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
