//! Packets from backend servers on their way to callers.

use crate::action::Action;
use crate::counter::Counter;
use crate::flows::{
    Flow,
    FlowKey,
    Place, //
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

/// After how many instances an answer without an owner goes to its caller. Its request then keeps its
/// slot until the deadline.
const BOUNCED: u8 = 2;

impl Instance {
    /// Handles a packet that arrived from a backend server.
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

    /// Handles a packet of a backend server, which may have come through a former owner.
    pub(crate) fn on_answer(
        &mut self,
        now: Time,
        id: BackendServerId,
        hops: u8,
        packet: Packet,
        out: &mut Vec<Action>,
    ) {
        let Some(server) = self.servers.get_mut(id) else {
            self.pass_answer(id, hops, packet, out);
            return;
        };
        if server.note_heard(now) {
            out.push(Action::Note(StateChange::ServerUp { backend_server: id }));
        }
        let Some(key) = self.hosted(id, &packet, now) else {
            self.counters.add(Counter::StrayAnswers);
            return;
        };
        match packet.kind {
            PacketKind::Answer => self.on_answer_part(now, key, packet, out),
            PacketKind::Refused => self.on_refused(now, key, id, packet, out),
            PacketKind::Unknown => self.on_unknown(now, key, packet, out),
            PacketKind::Reset => self.on_reset(now, key, packet, out),
            _ => self.counters.add(Counter::UnexpectedKinds),
        }
        self.drain_queue(now, id, out);
    }

    /// Passes an answer on to the present owner of its backend server.
    fn pass_answer(
        &mut self,
        id: BackendServerId,
        hops: u8,
        packet: Packet,
        out: &mut Vec<Action>,
    ) {
        let owner = self.zone_of(id).and_then(|zone| self.owner(id, zone));
        match owner {
            // During a handover both sides may take the other for the owner.
            Some(owner) if owner != self.member.id && hops >= BOUNCED => {
                self.send_caller(packet, out);
            }
            Some(owner) if owner != self.member.id => {
                let relay = Relay {
                    purpose: Purpose::Answer,
                    hops,
                    candidate: 0,
                    table: 0,
                    backend_server: id,
                    doubt: false,
                };
                self.pass_on(owner, relay, packet, out);
            }
            _ => self.counters.add(Counter::StrayAnswers),
        }
    }

    /// Returns the record of the packet's flow if the backend server serves it. A new owner adopts
    /// the flows that its backend server answers.
    fn hosted(&mut self, id: BackendServerId, packet: &Packet, now: Time) -> Option<FlowKey> {
        if let Some(key) = self.flows.find(packet.flow) {
            let flow = self.flows.get_mut(key)?;
            if flow.place != Place::Hosted(id) || flow.service != packet.service {
                return None;
            }
            flow.seen = now;
            flow.asked = None;
            flow.unanswered = 0;
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
        let place = Place::Hosted(id);
        let mut flow = Flow::new(packet.flow, packet.service, place, packet.route, now);
        flow.opened = true;
        Some(self.insert_flow(flow))
    }

    fn find_request(&self, key: FlowKey, packet: &Packet) -> Option<RequestKey> {
        let head = self.flows.get(key)?.requests;
        self.requests.find(head, packet.request)
    }

    fn on_answer_part(&mut self, now: Time, flow: FlowKey, packet: Packet, out: &mut Vec<Action>) {
        let Some(key) = self.find_request(flow, &packet) else {
            self.pass_unmatched(now, flow, packet, out);
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
            server.note_success(latency, &self.settings.warmup, now);
        }
        if packet.last {
            self.end_request(key);
        }
        if cancelled {
            // The caller was already told how the request ended.
            self.counters.add(Counter::StrayAnswers);
        } else {
            self.send_caller(packet, out);
        }
    }

    /// Handles an answer to a request without a record: it belongs to a finished request or, after
    /// a takeover, to one of the former owner; else it is late.
    fn pass_unmatched(&mut self, now: Time, flow: FlowKey, packet: Packet, out: &mut Vec<Action>) {
        let Some(record) = self.flows.get(flow) else {
            return;
        };
        let server = match record.place {
            Place::Hosted(id) => self.servers.get(id),
            _ => None,
        };
        let memory = self.settings.ownership.memory;
        let recent = server.is_some_and(|server| now.since(server.acquired) < memory);
        // Parts that were lost on the way may be sent again after the last one.
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
            server.warmup.shed();
        }
        let Some(mut request) = self.requests.get(key).cloned() else {
            return;
        };
        // The backend server did not run it, so it does not count as sent.
        request.sends -= request.sends.min(1);
        if let Some(kept) = self.requests.get_mut(key) {
            kept.sends = request.sends;
        }
        self.end_request(key);
        if matches!(request.progress, Progress::Cancelling { .. }) {
            return;
        }
        let attempt = request.attempt;
        let doubt = request.sends > 0;
        // An adopted flow that its backend server does not know lives elsewhere. The caller may try
        // a request again that must not run twice, once the flow's owner is found.
        let misplaced = packet.reason == Some(Reason::UnknownFlow)
            && self.flows.get(flow).is_some_and(|f| f.adopted);
        // A repeated attempt may be running elsewhere once its caller has waited for a while.
        let waited = now.since(request.received) >= self.settings.hosting.repeat;
        let repeatable = request.idempotent || !(doubt || misplaced && waited);
        if repeatable && self.retry(now, flow, request, out) {
            return;
        }
        let reason = match packet.reason {
            Some(Reason::UnknownFlow) | None => Reason::Shed,
            Some(reason) => reason,
        };
        let request = packet.request;
        if let Some(flow) = self.flows.get_mut(flow)
            && !doubt
        {
            flow.remember_refusal(request, attempt);
        }
        let packet = Packet { attempt, ..packet };
        self.refuse(&packet, doubt, reason, out);
        if misplaced {
            self.forget(flow, id);
        }
    }

    /// Tries a request again that its backend server did not run; returns false if the caller has
    /// to be told.
    pub(crate) fn retry(
        &mut self,
        now: Time,
        flow: FlowKey,
        request: Request,
        out: &mut Vec<Action>,
    ) -> bool {
        let doubt = request.sends > 0;
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
            .is_some_and(|budget| budget.spend(settings, now));
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
            doubt,
        };
        self.move_flow(now, flow, relay, ranking, packet, out);
        true
    }

    /// Places a flow on a later candidate, named by `relay`.
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
        self.note_redirect(now, relay.backend_server, relay.candidate, &packet);
        self.place(now, relay, ranking, packet, out);
    }

    /// Removes the record of a flow that is not at this backend server, unless it has moved on.
    fn forget(&mut self, flow: FlowKey, id: BackendServerId) {
        let here = self.flows.get(flow).map(|f| f.place) == Some(Place::Hosted(id));
        if here {
            self.remove_flow(flow);
        }
    }

    fn on_unknown(&mut self, now: Time, flow: FlowKey, packet: Packet, out: &mut Vec<Action>) {
        let Some(key) = self.find_request(flow, &packet) else {
            self.pass_unmatched(now, flow, packet, out);
            return;
        };
        let ended = self.end_request(key);
        let told = ended.is_some_and(|r| matches!(r.progress, Progress::Cancelling { .. }));
        if !told {
            self.counters.add(Counter::Unknowns);
            self.send_caller(packet, out);
        }
    }

    fn on_reset(&mut self, now: Time, flow: FlowKey, packet: Packet, out: &mut Vec<Action>) {
        let reason = packet.reason.unwrap_or(Reason::ServerFailed);
        let adopted = self.flows.get(flow).is_some_and(|f| f.adopted);
        if adopted && reason == Reason::UnknownFlow {
            // The flow lives elsewhere; its next packet looks for it again.
            self.remove_flow(flow);
            return;
        }
        self.close_flow(now, flow, reason, out);
    }
}
