//! Handles packets from backend servers and forwards them to callers.

use crate::action::Action;
use crate::counter::Counter;
use crate::flows::{
    Flow,
    FlowKey,
    Placement, //
};
use crate::ids::BackendServerId;
use crate::instance::Instance;
use crate::packet::{
    Packet,
    PacketKind,
    Purpose,
    Reason,
    Relay, //
};
use crate::requests::{
    Progress,
    Request,
    RequestKey, //
};
use crate::state_change::StateChange;
use crate::tables::Ranking;
use crate::time::Time;

/// Number of relays after which an instance that is not the owner sends an answer straight to the
/// caller. The owner does not see the answer, so the request keeps its slot there until it times
/// out.
const MAX_ANSWER_HOPS: u8 = 2;

impl Instance {
    pub(crate) fn on_server_packet(
        &mut self,
        now: Time,
        server: BackendServerId,
        packet: Packet,
        out: &mut Vec<Action>,
    ) {
        self.counters.add(Counter::ServerPackets);
        self.on_answer(now, server, 0, packet, out);
    }

    /// Handles a packet from a backend server, which a former owner may have relayed.
    pub(crate) fn on_answer(
        &mut self,
        now: Time,
        id: BackendServerId,
        hops: u8,
        packet: Packet,
        out: &mut Vec<Action>,
    ) {
        let Some(server) = self.servers.get_mut(id) else {
            self.relay_answer(id, hops, packet, out);
            return;
        };
        if server.record_received(now) {
            out.push(Action::AppendTimeline(StateChange::ServerUp {
                backend_server: id,
            }));
        }
        let Some(key) = self.get_or_adopt(id, &packet, now) else {
            self.counters.add(Counter::StrayAnswers);
            return;
        };
        match packet.kind {
            PacketKind::Answer => self.on_answer_part(now, key, packet, out),
            PacketKind::Refused => self.on_refused(now, key, id, packet, out),
            PacketKind::Unknown => self.on_unknown(now, key, packet, out),
            PacketKind::Reset => self.on_reset(now, key, id, packet, out),
            _ => self.counters.add(Counter::UnexpectedKinds),
        }
        self.drain_queue(now, id, out);
    }

    /// Relays an answer to the current owner of its backend server.
    fn relay_answer(
        &mut self,
        id: BackendServerId,
        hops: u8,
        packet: Packet,
        out: &mut Vec<Action>,
    ) {
        let owner = self.zone_of(id).and_then(|zone| self.owner(id, zone));
        match owner {
            // During a handover, each of the two instances may consider the other one the owner.
            Some(owner) if owner != self.member.id && hops >= MAX_ANSWER_HOPS => {
                self.send_caller(packet, out);
            }
            Some(owner) if owner != self.member.id => {
                let relay = Relay {
                    purpose: Purpose::Answer,
                    hops,
                    candidate: 0,
                    table: 0,
                    backend_server: id,
                    possibly_executed: false,
                };
                self.relay_packet(owner, relay, packet, out);
            }
            _ => self.counters.add(Counter::StrayAnswers),
        }
    }

    /// Returns the record of the packet's flow if the flow is hosted at the backend server and has
    /// the packet's service. If the flow has no record and the packet is an answer, the owner
    /// adopts it during `ownership.memory` after it acquired the backend server, because the former
    /// owner's records may be lost.
    fn get_or_adopt(&mut self, id: BackendServerId, packet: &Packet, now: Time) -> Option<FlowKey> {
        if let Some(key) = self.flows.find(packet.flow) {
            let flow = self.flows.get_mut(key)?;
            if flow.placement != Placement::Hosted(id) || flow.service != packet.service {
                return None;
            }
            flow.last_seen = now;
            // A reset ends the record, and its handler needs the number.
            if packet.kind != PacketKind::Reset {
                flow.unanswered_since = None;
                flow.unanswered = 0;
            }
            // A refusal or reset does not show that the backend server knows the flow.
            if packet.kind == PacketKind::Answer {
                flow.opened = true;
                flow.adopted = false;
            }
            return Some(key);
        }
        let acquired = self.servers.get(id)?.acquired;
        if now.since(acquired) >= self.settings.ownership.memory {
            return None;
        }
        if packet.kind != PacketKind::Answer {
            return None;
        }
        self.counters.add(Counter::Adopted);
        let placement = Placement::Hosted(id);
        let mut flow = Flow::new(packet.flow, packet.service, placement, packet.route, now);
        flow.opened = true;
        Some(self.insert_flow(flow))
    }

    fn find_request(&self, key: FlowKey, packet: &Packet) -> Option<RequestKey> {
        let head = self.flows.get(key)?.requests;
        self.requests.find(head, packet.request)
    }

    fn on_answer_part(&mut self, now: Time, flow: FlowKey, packet: Packet, out: &mut Vec<Action>) {
        let Some(key) = self.find_request(flow, &packet) else {
            self.handle_unmatched(now, flow, packet, out);
            return;
        };
        let Some(request) = self.requests.get_mut(key) else {
            return;
        };
        let cancelled = matches!(request.progress, Progress::Cancelling { .. });
        request.parts = request.parts.saturating_add(1);
        request.packet = None;
        let first = request.parts == 1;
        let latency = now.since(request.sent);
        let id = request.backend_server;
        if first && let Some(server) = self.servers.get_mut(id) {
            server.record_success(latency, &self.settings.warmup, now);
        }
        if packet.last {
            self.end_request(key);
        }
        if cancelled {
            // The caller was already informed of the outcome.
            self.counters.add(Counter::StrayAnswers);
        } else {
            self.send_caller(packet, out);
        }
    }

    /// Handles an `Answer` or `Unknown` packet for a request without a record. Sends it to the
    /// caller if the request is recorded as finished, or during `ownership.memory` after the
    /// acquisition of the backend server, because the former owner may have sent the request.
    /// Drops it otherwise.
    fn handle_unmatched(
        &mut self,
        now: Time,
        flow: FlowKey,
        packet: Packet,
        out: &mut Vec<Action>,
    ) {
        let Some(record) = self.flows.get(flow) else {
            return;
        };
        let server = match record.placement {
            Placement::Hosted(id) => self.servers.get(id),
            _ => None,
        };
        let memory = self.settings.ownership.memory;
        let recent = server.is_some_and(|server| now.since(server.acquired) < memory);
        // A backend server may retransmit lost parts of an answer after its last part was received.
        if recent || record.has_finished(packet.request) {
            self.send_caller(packet, out);
        } else {
            self.counters.add(Counter::StrayAnswers);
        }
    }

    fn on_refused(
        &mut self,
        now: Time,
        flow: FlowKey,
        id: BackendServerId,
        packet: Packet,
        out: &mut Vec<Action>,
    ) {
        let Some(key) = self.find_request(flow, &packet) else {
            self.counters.add(Counter::StrayAnswers);
            return;
        };
        if let Some(server) = self.servers.get_mut(id) {
            server.warmup.record_refusal();
        }
        self.end_refused(now, flow, id, key, packet, out);
    }

    /// Ends a request that its backend server did not run: retries it, or tells the caller.
    fn end_refused(
        &mut self,
        now: Time,
        flow: FlowKey,
        id: BackendServerId,
        key: RequestKey,
        packet: Packet,
        out: &mut Vec<Action>,
    ) {
        let Some(mut request) = self.requests.get(key).cloned() else {
            return;
        };
        // The backend server did not run the request, so it does not count as sent.
        request.sends -= request.sends.min(1);
        if let Some(stored) = self.requests.get_mut(key) {
            stored.sends = request.sends;
        }
        self.end_request(key);
        // The backend server does not know the adopted flow, so another one may serve it. If the
        // request is not retried, the record is removed below, and the caller's next attempt leads
        // to a lookup of the flow's owner.
        let misplaced = packet.reason == Some(Reason::UnknownFlow)
            && self.flows.get(flow).is_some_and(|f| f.adopted);
        if matches!(request.progress, Progress::Cancelling { .. }) {
            if misplaced {
                self.remove_hosted(flow, id, out);
            }
            return;
        }
        let attempt = request.attempt;
        let possibly_executed = request.sends > 0;
        // After `hosting.repeat`, the caller may have repeated the request, and that attempt may
        // run at the backend server that serves the flow. A retry could run a non-idempotent
        // request twice, so the caller is sent a refusal instead.
        let waited = now.since(request.received) >= self.settings.hosting.repeat;
        let repeatable = request.idempotent || !(possibly_executed || misplaced && waited);
        if repeatable && self.retry(now, flow, request, out) {
            return;
        }
        let reason = match packet.reason {
            Some(Reason::UnknownFlow) | None => Reason::Shed,
            Some(reason) => reason,
        };
        let request = packet.request;
        // If the request did not run, its next attempt is treated like a first one, unless the
        // record is removed below. The owner found then decides by its own record of the flow.
        if let Some(flow) = self.flows.get_mut(flow)
            && !possibly_executed
        {
            flow.record_refusal(request, attempt);
        }
        let packet = Packet { attempt, ..packet };
        self.refuse(&packet, possibly_executed, reason, out);
        if misplaced {
            self.remove_hosted(flow, id, out);
        }
    }

    /// Retries a request on the next candidate. Idempotent requests that may have run are retried
    /// too; callers of this function check that a non-idempotent one did not run. Returns false if
    /// the request cannot be retried and its caller has to be informed.
    pub(crate) fn retry(
        &mut self,
        now: Time,
        flow: FlowKey,
        request: Request,
        out: &mut Vec<Action>,
    ) -> bool {
        let possibly_executed = request.sends > 0;
        let Some(packet) = request.packet else {
            return false;
        };
        let packet = Packet {
            attempt: request.attempt,
            deadline: request.deadline,
            ..packet
        };
        if request.deadline.is_some_and(|deadline| deadline <= now) {
            return false;
        }
        let settings = &self.settings.retry;
        let allowed = self
            .budgets
            .get_mut(&packet.service)
            .is_some_and(|budget| budget.try_withdraw(settings, now));
        if !allowed {
            return false;
        }
        let Some(ranking) = self.tables.rank(packet.service, packet.flow) else {
            return false;
        };
        let busy = self.flows.get(flow).is_some_and(|f| f.requests.is_some());
        let at = ranking
            .iter()
            .position(|candidate| candidate.backend_server == request.backend_server);
        let next = at.map_or(0, |at| at + 1);
        if busy || next >= ranking.len() {
            return false;
        }
        self.counters.add(Counter::Retries);
        let relay = Relay {
            purpose: Purpose::Place,
            hops: 0,
            candidate: next as u8,
            table: 0,
            backend_server: ranking[next].backend_server,
            possibly_executed,
        };
        self.move_flow(now, flow, relay, ranking, packet, out);
        true
    }

    /// Closes a flow at its backend server, removes its record and places the flow with `packet` on
    /// the later candidate that `relay` names.
    fn move_flow(
        &mut self,
        now: Time,
        flow: FlowKey,
        relay: Relay,
        ranking: Ranking,
        packet: Packet,
        out: &mut Vec<Action>,
    ) {
        self.leave_server(now, flow, out);
        self.record_redirect(now, relay.backend_server, relay.candidate, &packet);
        self.place(now, relay, ranking, packet, out);
    }

    /// Removes the record of a flow if it still points to this backend server, which does not serve
    /// the flow. Callers are told how the requests that the record still has ended, because later
    /// packets of the backend server find no record.
    fn remove_hosted(&mut self, flow: FlowKey, id: BackendServerId, out: &mut Vec<Action>) {
        let here = self.flows.get(flow).map(|f| f.placement) == Some(Placement::Hosted(id));
        if here {
            self.report_requests(flow, Reason::OwnerChanged, out);
            self.remove_flow(flow);
        }
    }

    fn on_unknown(&mut self, now: Time, flow: FlowKey, packet: Packet, out: &mut Vec<Action>) {
        let Some(key) = self.find_request(flow, &packet) else {
            self.handle_unmatched(now, flow, packet, out);
            return;
        };
        let ended = self.end_request(key);
        let informed = ended.is_some_and(|r| matches!(r.progress, Progress::Cancelling { .. }));
        if !informed {
            self.counters.add(Counter::Unknowns);
            self.send_caller(packet, out);
        }
    }

    fn on_reset(
        &mut self,
        now: Time,
        flow: FlowKey,
        id: BackendServerId,
        packet: Packet,
        out: &mut Vec<Action>,
    ) {
        let reason = packet.reason.unwrap_or(Reason::ServerFailed);
        let record = self.flows.get(flow);
        let adopted = record.is_some_and(|f| f.adopted);
        // Whether the reset can only answer the request. After further packets, the backend server
        // may have run the request and lost the flow by a restart.
        let certain = record.is_some_and(|f| f.unanswered <= 1);
        if !adopted || reason != Reason::UnknownFlow {
            self.close_flow(now, flow, reason, out);
            return;
        }
        // The flow may be served elsewhere, so it is not closed. Its next packet starts a lookup of
        // its owner.
        match self.find_request(flow, &packet) {
            Some(key) if certain => self.end_refused(now, flow, id, key, packet, out),
            _ => self.remove_hosted(flow, id, out),
        }
    }
}
