//! Routes packets from callers along the candidates of their flow to the instance that owns the
//! backend server.

use crate::action::Action;
use crate::config::ZoneState;
use crate::counter::Counter;
use crate::flows::{
    DIRECT_POSITION,
    Flow,
    FlowKey,
    Placement, //
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
use crate::servers::Admission;
use crate::state_change::StateChange;
use crate::tables::{
    Candidate,
    Ranking, //
};
use crate::time::Time;

/// Value of [`Relay::table`] for a packet that has followed a placement override.
const OVERRIDE_FOLLOWED: u8 = u8::MAX;

/// One backend server to look for a flow on: a candidate of the current table, or the first choice
/// of an earlier one.
struct LookupStep {
    candidate: Candidate,
    position: u8,
    table: u8,
}

impl Instance {
    /// Handles a packet that the fabric delivered from a caller.
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
            possibly_executed: false,
        };
        self.route(now, relay, packet, out);
    }

    /// Handles a packet that another instance relayed.
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
        // While the process was paused, the caller may have given up, or opened the flow on another
        // instance with a repeated attempt.
        if packet.kind == PacketKind::Open && now < self.backlog_until {
            self.counters.add(Counter::StaleOpenings);
            return;
        }
        let record = self.flows.find(packet.flow);
        if let Some(key) = record
            && self.is_authoritative(relay, key)
            && self.route_by_record(now, relay, key, &packet, out)
        {
            return;
        }
        let Some(ranking) = self.tables.rank(packet.service, packet.flow) else {
            self.counters.add(Counter::UnknownServices);
            return;
        };
        match relay.purpose {
            Purpose::Place => self.place(now, relay, ranking, packet, out),
            Purpose::Find => self.find_record(now, relay, ranking, packet, out),
            Purpose::Adopt | Purpose::Answer => self.adopt(now, relay, ranking, packet, out),
        }
    }

    /// Returns whether the record of a flow may determine where a packet goes.
    ///
    /// If the flow is not served here, the record may be left over from an earlier placement. It is
    /// then trusted only for relayed packets, or if this instance owns the first usable candidate.
    fn is_authoritative(&mut self, relay: Relay, key: FlowKey) -> bool {
        let Some(flow) = self.flows.get(key) else {
            return false;
        };
        if relay.hops > 0 || matches!(flow.placement, Placement::Hosted(_)) {
            return true;
        }
        let ranking = self.tables.rank(flow.service, flow.id).unwrap_or_default();
        let first = self.first_owner(&ranking);
        first.is_some_and(|(_, owner)| owner == self.member.id)
    }

    /// Handles a packet according to the record of its flow. Returns false if the record does not
    /// determine where the packet goes.
    fn route_by_record(
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
        match flow.placement {
            Placement::Hosted(server) if self.servers.owns(server) => {
                flow.last_seen = now;
                self.host_packet(now, key, relay, packet.clone(), out);
                true
            }
            Placement::Redirected { backend_server, .. } if !self.servers.owns(backend_server) => {
                self.follow_redirect(now, relay, key, packet, out)
            }
            Placement::Closed(reason) => self.answer_closed(now, key, reason, packet, out),
            Placement::Refused => {
                packet.kind.starts_request()
                    && self.answer_closed(now, key, Reason::Overload, packet, out)
            }
            // The owner of the backend server died and this instance took over. The record still
            // shows which backend server the flow is on.
            Placement::Redirected { .. } => false,
            Placement::Hosted(_) => {
                self.flows.remove(key);
                false
            }
        }
    }

    /// Follows a redirect. Returns false if the record does not determine where the packet goes.
    fn follow_redirect(
        &mut self,
        now: Time,
        relay: Relay,
        key: FlowKey,
        packet: &Packet,
        out: &mut Vec<Action>,
    ) -> bool {
        let Some(Placement::Redirected {
            backend_server: server,
            position,
        }) = self.flows.get(key).map(|flow| flow.placement)
        else {
            return false;
        };
        let direct = position == DIRECT_POSITION;
        let followed = relay.table == OVERRIDE_FOLLOWED;
        // After an override was followed, the search starts over, but only once.
        let fresh = relay.hops == 0 || (relay.candidate == DIRECT_POSITION && !direct);
        let forward = fresh || (position > relay.candidate && !(direct && followed));
        let placing = relay.purpose == Purpose::Place && relay.hops > 0;
        if placing || !forward {
            return false;
        }
        let owner = self
            .zone_of(server)
            .and_then(|zone| self.owner(server, zone));
        let Some(owner) = owner else { return false };
        if let Some(flow) = self.flows.get_mut(key) {
            flow.last_seen = now;
            flow.opened = true;
        }
        let relay = Relay {
            candidate: position,
            table: if direct || followed {
                OVERRIDE_FOLLOWED
            } else {
                0
            },
            backend_server: server,
            ..relay
        };
        self.relay_packet(owner, relay, packet.clone(), out);
        true
    }

    /// Places a new flow on the first candidate that admits it, starting at `relay.candidate`.
    pub(crate) fn place(
        &mut self,
        now: Time,
        relay: Relay,
        ranking: Ranking,
        packet: Packet,
        out: &mut Vec<Action>,
    ) {
        if packet.deadline.is_some_and(|deadline| deadline <= now) {
            self.refuse(&packet, relay.possibly_executed, Reason::Deadline, out);
            return;
        }
        let mut tried = None;
        for position in usize::from(relay.candidate)..ranking.len() {
            let mut candidate = ranking[position];
            // Tables differ between instances while a configuration change propagates. The sender's
            // choice takes precedence.
            if relay.hops > 0 && position == usize::from(relay.candidate) {
                candidate.backend_server = relay.backend_server;
                candidate.zone = self.zone_of(relay.backend_server).unwrap_or(candidate.zone);
            }
            if !self.is_usable(candidate.zone) {
                continue;
            }
            match self.owner(candidate.backend_server, candidate.zone) {
                Some(owner) if owner == self.member.id => {
                    tried = Some((candidate, position));
                    if self.try_place(now, relay, candidate, position as u8, &packet, out) {
                        return;
                    }
                }
                // The sender considers this instance the owner, while this instance considers
                // another one the owner. The next candidate is tried instead.
                Some(_) if relay.hops > 1 && position == usize::from(relay.candidate) => {}
                Some(owner) => {
                    if tried.is_some() {
                        self.record_redirect(
                            now,
                            candidate.backend_server,
                            position as u8,
                            &packet,
                        );
                    }
                    let relay = Relay {
                        purpose: Purpose::Place,
                        candidate: position as u8,
                        backend_server: candidate.backend_server,
                        ..relay
                    };
                    self.relay_packet(owner, relay, packet, out);
                    return;
                }
                None => self.counters.add(Counter::NoOwner),
            }
        }
        self.queue_or_refuse(now, relay, tried, packet, out);
    }

    /// Records that a flow was relayed to another candidate, so that later packets follow.
    pub(crate) fn record_redirect(
        &mut self,
        now: Time,
        server: BackendServerId,
        position: u8,
        packet: &Packet,
    ) {
        let placement = Placement::Redirected {
            backend_server: server,
            position,
        };
        let flow = Flow::new(packet.flow, packet.service, placement, packet.route, now);
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
        let admission = server.admit(leased, &self.settings.admission, now);
        if admission != Admission::Run || !server.has_connection() || !server.queue.is_empty() {
            return false;
        }
        self.host_new(now, id, position, relay.possibly_executed, packet, out);
        true
    }

    /// Queues an opening packet at the last candidate that was tried, because all of them were
    /// busy. Refuses it if that candidate cannot queue it.
    fn queue_or_refuse(
        &mut self,
        now: Time,
        relay: Relay,
        tried: Option<(Candidate, usize)>,
        packet: Packet,
        out: &mut Vec<Action>,
    ) {
        let Some((candidate, position)) = tried else {
            self.refuse(
                &packet,
                relay.possibly_executed,
                Reason::OwnerUnreachable,
                out,
            );
            return;
        };
        let id = candidate.backend_server;
        let room = self.servers.get(id).is_some_and(|server| {
            server.has_connection() && server.can_queue(&self.settings.admission)
        });
        if room {
            self.host_new(
                now,
                id,
                position as u8,
                relay.possibly_executed,
                &packet,
                out,
            );
        } else {
            self.record_refused_flow(now, &packet);
            self.refuse(&packet, relay.possibly_executed, Reason::Overload, out);
        }
    }

    /// Records that a flow was not opened, so that its next attempt is not treated as possibly
    /// executed.
    fn record_refused_flow(&mut self, now: Time, packet: &Packet) {
        let placement = Placement::Refused;
        let mut flow = Flow::new(packet.flow, packet.service, placement, packet.route, now);
        flow.record_refusal(packet.request, packet.attempt);
        self.insert_flow(flow);
    }

    fn host_new(
        &mut self,
        now: Time,
        server: BackendServerId,
        position: u8,
        possibly_executed: bool,
        packet: &Packet,
        out: &mut Vec<Action>,
    ) {
        let placement = Placement::Hosted(server);
        let flow = Flow::new(packet.flow, packet.service, placement, packet.route, now);
        let key = self.insert_flow(flow);
        if position == 0 {
            self.counters.add(Counter::FirstChoices);
        } else {
            self.counters.add(Counter::Exceptions);
            out.push(Action::AppendTimeline(StateChange::FlowPlaced {
                flow: packet.flow,
                service: packet.service,
                backend_server: server,
                candidate: position,
            }));
        }
        self.start_request(now, key, position, possibly_executed, packet.clone(), out);
    }

    /// Looks for the record of a flow at the owners of its candidates, then of its first choices in
    /// earlier tables. If there is no record, the owner of the first choice decides.
    fn find_record(
        &mut self,
        now: Time,
        relay: Relay,
        ranking: Ranking,
        packet: Packet,
        out: &mut Vec<Action>,
    ) {
        match self.next_step(relay, &ranking, &packet) {
            // Reserves one hop for the owner of the first choice and one for the instance that it
            // redirects to.
            Some((step, owner)) if relay.hops + 2 < MAX_HOPS => {
                let relay = Relay {
                    candidate: step.position,
                    table: step.table,
                    backend_server: step.candidate.backend_server,
                    ..relay
                };
                self.relay_packet(owner, relay, packet, out);
            }
            _ => self.adopt(now, relay, ranking, packet, out),
        }
    }

    /// Returns the next step whose owner the packet has not visited yet.
    fn next_step(
        &mut self,
        relay: Relay,
        ranking: &Ranking,
        packet: &Packet,
    ) -> Option<(LookupStep, InstanceId)> {
        // A packet that followed an override without success has visited only the owner of the
        // first choice.
        let reached = match relay.table {
            OVERRIDE_FOLLOWED => (0, 0),
            table => (table, relay.candidate),
        };
        let mut visited = smallvec::SmallVec::<[InstanceId; 8]>::new();
        visited.push(self.member.id);
        for step in self.lookup_steps(ranking, packet) {
            let candidate = step.candidate;
            if !self.is_usable(candidate.zone) {
                continue;
            }
            let Some(owner) = self.owner(candidate.backend_server, candidate.zone) else {
                continue;
            };
            let earlier = (step.table, step.position) <= reached;
            if relay.hops > 0 && earlier {
                visited.push(owner);
            } else if !visited.contains(&owner) {
                return Some((step, owner));
            }
        }
        None
    }

    /// Returns whether this instance became the owner of a backend server so recently that it may
    /// not know all flows and requests on it.
    fn is_recent_owner(&self, now: Time, server: BackendServerId) -> bool {
        let memory = self.settings.ownership.memory;
        self.servers
            .get(server)
            .is_some_and(|server| now.since(server.acquired) < memory)
    }

    fn lookup_steps(
        &self,
        ranking: &Ranking,
        packet: &Packet,
    ) -> smallvec::SmallVec<[LookupStep; 8]> {
        let current = ranking
            .iter()
            .enumerate()
            .map(|(position, candidate)| LookupStep {
                candidate: *candidate,
                position: position as u8,
                table: 0,
            });
        let depth = self.tables.earlier_count(packet.service);
        let earlier = (0..depth).filter_map(|table| {
            Some(LookupStep {
                candidate: self.tables.earlier(packet.service, packet.flow, table)?,
                position: 0,
                table: table as u8 + 1,
            })
        });
        current.chain(earlier).collect()
    }

    /// Handles a packet of a flow that no instance has a record of, or relays it to the instance
    /// that decides.
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
            self.relay_packet(owner, relay, packet, out);
        }
    }

    /// Returns the owned backend server that would serve a flow without a record: the target of a
    /// redirect, otherwise the one that the sender named.
    fn adopted_server(&self, relay: Relay, packet: &Packet) -> Option<BackendServerId> {
        let record = self.flows.find(packet.flow);
        let placement = record
            .and_then(|key| self.flows.get(key))
            .map(|f| f.placement);
        let redirected = match placement {
            Some(Placement::Redirected { backend_server, .. }) => Some(backend_server),
            _ => None,
        };
        let servers = [redirected, Some(relay.backend_server)];
        let mut servers = servers.into_iter().flatten();
        servers.find(|server| self.servers.owns(*server))
    }

    /// Handles a packet of a flow without a record, as the owner of the backend server that would
    /// serve it.
    fn adopt_here(
        &mut self,
        now: Time,
        relay: Relay,
        ranking: Ranking,
        packet: Packet,
        out: &mut Vec<Action>,
    ) {
        if !self.servers.owns(relay.backend_server) {
            // This instance does not know enough members yet to determine the owner.
            self.counters.add(Counter::NoOwner);
            return;
        }
        let recent = self.is_recent_owner(now, relay.backend_server);
        let possibly_executed = relay.possibly_executed || packet.attempt > 0;
        match packet.kind {
            // An earlier attempt may have reached a backend server without a record here.
            PacketKind::Open | PacketKind::Request if possibly_executed && !packet.idempotent => {
                self.reply_unknown(&packet, Reason::OwnerChanged, out);
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
                    possibly_executed,
                };
                self.place(now, relay, ranking, packet, out);
            }
            // The flow must not be reset if it may be served elsewhere: in a zone that is
            // unreachable, or by the owner of its first choice, which the instance that began the
            // search may not know.
            PacketKind::Data
                if ranking.iter().all(|c| self.is_usable(c.zone))
                    && self.owns_first_choice(&ranking) =>
            {
                self.send_caller(packet.reply(PacketKind::Reset, Reason::UnknownFlow), out);
            }
            _ => self.counters.add(Counter::StrayPackets),
        }
    }

    /// Adopts a flow whose record was lost with the former owner.
    fn adopt_flow(&mut self, now: Time, relay: Relay, packet: Packet, out: &mut Vec<Action>) {
        self.counters.add(Counter::Adopted);
        let placement = Placement::Hosted(relay.backend_server);
        let mut flow = Flow::new(packet.flow, packet.service, placement, packet.route, now);
        flow.opened = true;
        flow.adopted = true;
        let key = self.insert_flow(flow);
        self.host_packet(now, key, relay, packet, out);
    }

    /// Returns whether this instance owns the first choice of a flow, as far as it knows the members.
    fn owns_first_choice(&mut self, ranking: &Ranking) -> bool {
        let first = self.first_owner(ranking);
        first.is_some_and(|(_, owner)| owner == self.member.id)
    }

    fn first_owner(&mut self, ranking: &Ranking) -> Option<(Candidate, InstanceId)> {
        for candidate in ranking {
            if !self.is_usable(candidate.zone) {
                continue;
            }
            if let Some(owner) = self.owner(candidate.backend_server, candidate.zone) {
                return Some((*candidate, owner));
            }
        }
        None
    }

    /// Returns whether packets may be sent to a zone: it is in service and reachable.
    pub(crate) fn is_usable(&self, zone: ZoneId) -> bool {
        self.is_in_service(zone) && self.membership.reachable(zone)
    }

    pub(crate) fn is_in_service(&self, zone: ZoneId) -> bool {
        let state = self.configuration.zones.get(&zone).map(|zone| zone.state);
        state == Some(ZoneState::In)
    }

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

    /// Relays a packet to another instance. Drops it if it reached the hop limit or if the instance
    /// is not a known member.
    pub(crate) fn relay_packet(
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

    /// Tells the caller that its request did not run, or that it may have run if an earlier attempt
    /// possibly did.
    pub(crate) fn refuse(
        &mut self,
        packet: &Packet,
        possibly_executed: bool,
        reason: Reason,
        out: &mut Vec<Action>,
    ) {
        if possibly_executed {
            self.reply_unknown(packet, reason, out);
            return;
        }
        self.counters.add(Counter::Refusals);
        self.send_caller(packet.reply(PacketKind::Refused, reason), out);
    }

    /// Tells the caller that its request may have run.
    pub(crate) fn reply_unknown(&mut self, packet: &Packet, reason: Reason, out: &mut Vec<Action>) {
        self.counters.add(Counter::Unknowns);
        self.send_caller(packet.reply(PacketKind::Unknown, reason), out);
    }

    pub(crate) fn send_caller(&mut self, packet: Packet, out: &mut Vec<Action>) {
        self.counters.add(Counter::CallerSends);
        out.push(Action::SendCaller(packet));
    }

    /// Returns the public address of a service.
    pub(crate) fn address_of(&self, service: ServiceId) -> Option<std::net::SocketAddr> {
        Some(self.configuration.services.get(&service)?.address)
    }
}

/// Only the first attempt of an opening packet is certain to have no record.
fn initial_purpose(packet: &Packet) -> Purpose {
    if packet.kind == PacketKind::Open && packet.attempt == 0 {
        Purpose::Place
    } else {
        Purpose::Find
    }
}
