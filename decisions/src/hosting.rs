//! Serves flows on the backend servers that this instance owns.

use crate::action::Action;
use crate::counter::Counter;
use crate::flows::{
    Flow,
    FlowKey,
    Placement, //
};
use crate::ids::{
    BackendServerId,
    RequestId, //
};
use crate::instance::Instance;
use crate::packet::{
    Packet,
    PacketKind,
    Purpose,
    Reason,
    Relay,
    Route, //
};
use crate::requests::{
    Progress,
    Request,
    RequestKey, //
};
use crate::servers::Admission;
use crate::time::Time;

impl Instance {
    /// Handles a packet of a flow that is served here.
    pub(crate) fn host_packet(
        &mut self,
        now: Time,
        key: FlowKey,
        relay: Relay,
        packet: Packet,
        out: &mut Vec<Action>,
    ) {
        if relay.purpose == Purpose::Find && (relay.candidate > 0 || relay.table > 0) {
            self.overrides.push(key);
        }
        match packet.kind {
            PacketKind::Open | PacketKind::Request => self.on_request(now, key, packet, out),
            PacketKind::Data => self.forward_data(now, key, relay, packet, out),
            PacketKind::Cancel => self.on_cancel(now, key, packet, out),
            PacketKind::Close => self.on_close(now, key, packet, out),
            _ => self.counters.add(Counter::UnexpectedKinds),
        }
    }

    fn on_request(&mut self, now: Time, key: FlowKey, packet: Packet, out: &mut Vec<Action>) {
        let Some(flow) = self.flows.get(key) else {
            return;
        };
        if flow.has_run(packet.request) {
            // The request must not run twice, and its answer cannot be sent again, because answers
            // are not stored.
            self.reply_unknown(&packet, Reason::Repeated, out);
            return;
        }
        if let Some(request) = self.requests.find(flow.requests, packet.request) {
            self.on_repeat(now, request, packet, out);
            return;
        }
        let possibly_executed = flow.may_have_run(packet.request, packet.attempt);
        if possibly_executed && !packet.idempotent {
            self.reply_unknown(&packet, Reason::OwnerChanged, out);
        } else {
            self.start_request(now, key, 0, possibly_executed, packet, out);
        }
    }

    /// Handles a repeated attempt of a request in progress. An idempotent request that has had no
    /// answer for `hosting.repeat` is sent again.
    fn on_repeat(&mut self, now: Time, key: RequestKey, packet: Packet, out: &mut Vec<Action>) {
        self.counters.add(Counter::Repeats);
        let timeout = self.settings.hosting.repeat;
        let Some(request) = self.requests.get_mut(key) else {
            return;
        };
        let unanswered = request.parts == 0 && now.since(request.sent) >= timeout;
        if request.progress == Progress::Running && request.idempotent && unanswered {
            // The request or its answer may have been lost on the network.
            request.deadline = packet.deadline;
            request.attempt = packet.attempt;
            request.packet = Some(packet);
            self.send_request(now, key, out);
        } else {
            request.attempt = packet.attempt;
        }
    }

    /// Starts a request on a flow that is served here: runs it, queues it, reassigns the flow, or
    /// refuses it.
    pub(crate) fn start_request(
        &mut self,
        now: Time,
        key: FlowKey,
        candidate: u8,
        possibly_executed: bool,
        packet: Packet,
        out: &mut Vec<Action>,
    ) {
        let Some(Placement::Hosted(id)) = self.flows.get(key).map(|flow| flow.placement) else {
            return;
        };
        if packet.deadline.is_some_and(|deadline| deadline <= now) {
            self.refuse(&packet, possibly_executed, Reason::Deadline, out);
            return;
        }
        let leased = self.check_lease(now, id, out);
        let Some(server) = self.servers.get(id) else {
            return;
        };
        let admission = server.admit(leased, &self.settings.admission, now);
        let can_queue = server.can_queue(&self.settings.admission);
        let queue_empty = server.queue.is_empty();
        match admission {
            Admission::Run if queue_empty => {
                let request =
                    self.insert_request(now, key, id, candidate, possibly_executed, packet);
                self.send_request(now, request, out);
            }
            Admission::Run | Admission::Busy if can_queue => {
                self.queue_request(now, key, id, candidate, possibly_executed, packet);
            }
            _ => self.reassign(now, key, possibly_executed, packet, out),
        }
    }

    /// Handles a request whose backend server accepts no more work: moves the flow to another
    /// backend server, or refuses the request if the flow has other requests in progress.
    fn reassign(
        &mut self,
        now: Time,
        key: FlowKey,
        possibly_executed: bool,
        packet: Packet,
        out: &mut Vec<Action>,
    ) {
        let busy = self.flows.get(key).is_some_and(|f| f.requests.is_some());
        if busy {
            // Requests in progress tie the flow to its backend server, so this request cannot run
            // elsewhere.
            if let Some(flow) = self.flows.get_mut(key) {
                flow.record_refusal(packet.request, packet.attempt);
            }
            self.refuse(&packet, possibly_executed, Reason::Overload, out);
            return;
        }
        let Some(ranking) = self.tables.rank(packet.service, packet.flow) else {
            return;
        };
        self.counters.add(Counter::Rehomed);
        self.leave_server(now, key, out);
        let relay = Relay {
            purpose: Purpose::Place,
            hops: 0,
            candidate: 0,
            table: 0,
            backend_server: BackendServerId(0),
            possibly_executed,
        };
        self.place(now, relay, ranking, packet, out);
    }

    /// Closes a flow at its backend server and removes its record, because the flow continues on
    /// another one.
    pub(crate) fn leave_server(&mut self, now: Time, key: FlowKey, out: &mut Vec<Action>) {
        if let Some(packet) = self.packet_of(key, RequestId(0), PacketKind::Close, None) {
            self.send_server(now, key, packet, out);
        }
        self.remove_flow(key);
    }

    fn insert_request(
        &mut self,
        now: Time,
        flow: FlowKey,
        server: BackendServerId,
        candidate: u8,
        possibly_executed: bool,
        packet: Packet,
    ) -> RequestKey {
        let next = self.flows.get(flow).and_then(|flow| flow.requests);
        let key = self.requests.insert(Request {
            id: packet.request,
            flow,
            backend_server: server,
            progress: Progress::Queued { until: now },
            idempotent: packet.idempotent,
            deadline: packet.deadline,
            attempt: packet.attempt,
            sends: u8::from(possibly_executed),
            received: now,
            sent: now,
            parts: 0,
            candidate,
            packet: Some(packet),
            next,
        });
        if let Some(flow) = self.flows.get_mut(flow) {
            flow.requests = Some(key);
            let service = flow.service;
            let settings = &self.settings.retry;
            if let Some(budget) = self.budgets.get_mut(&service) {
                budget.deposit(settings);
            }
        }
        key
    }

    fn queue_request(
        &mut self,
        now: Time,
        flow: FlowKey,
        server: BackendServerId,
        candidate: u8,
        possibly_executed: bool,
        packet: Packet,
    ) {
        // Half of the remaining time is reserved for running the request.
        let until = match packet.deadline {
            Some(deadline) => now + deadline.since(now) / 2,
            None => now + self.settings.admission.patience,
        };
        let key = self.insert_request(now, flow, server, candidate, possibly_executed, packet);
        self.counters.add(Counter::Queued);
        if let Some(request) = self.requests.get_mut(key) {
            request.progress = Progress::Queued { until };
        }
        if let Some(server) = self.servers.get_mut(server) {
            server.enqueue(until, key);
        }
    }

    /// Sends a request to its backend server and counts it as running.
    pub(crate) fn send_request(&mut self, now: Time, key: RequestKey, out: &mut Vec<Action>) {
        let Some(request) = self.requests.get_mut(key) else {
            return;
        };
        let Some(packet) = request.packet.as_ref() else {
            return;
        };
        if !request.progress.takes_slot()
            && let Some(server) = self.servers.get_mut(request.backend_server)
        {
            server.advance(now);
            server.running += 1;
        }
        request.progress = Progress::Running;
        request.sends = request.sends.saturating_add(1);
        request.sent = now;
        let opened = self.flows.get(request.flow).is_some_and(|f| f.opened);
        let kind = if opened {
            PacketKind::Request
        } else {
            PacketKind::Open
        };
        let packet = Packet {
            kind,
            attempt: request.attempt,
            deadline: request.deadline,
            ..packet.clone()
        };
        let flow = request.flow;
        self.send_server(now, flow, packet, out);
    }

    /// Sends a packet to the backend server of a flow that is served here.
    pub(crate) fn send_server(
        &mut self,
        now: Time,
        key: FlowKey,
        packet: Packet,
        out: &mut Vec<Action>,
    ) {
        let Some(flow) = self.flows.get_mut(key) else {
            return;
        };
        let Placement::Hosted(id) = flow.placement else {
            return;
        };
        let Some(server) = self.servers.get_mut(id) else {
            return;
        };
        flow.unanswered_since.get_or_insert(now);
        flow.unanswered = flow.unanswered.saturating_add(1);
        server.record_sent(now);
        self.counters.add(Counter::ServerSends);
        out.push(Action::SendServer {
            backend_server: id,
            address: server.address,
            packet,
        });
    }

    fn forward_data(
        &mut self,
        now: Time,
        key: FlowKey,
        relay: Relay,
        packet: Packet,
        out: &mut Vec<Action>,
    ) {
        if !self.is_unresponsive(now, key) {
            self.send_server(now, key, packet, out);
        } else if self.flows.get(key).is_some_and(|flow| flow.adopted) {
            // The backend server has never confirmed this adopted flow, so it may be served
            // elsewhere.
            self.remove_flow(key);
            self.route(now, relay, packet, out);
        } else {
            self.close_flow(now, key, Reason::ServerFailed, out);
        }
    }

    /// Returns whether the backend server answers other flows but not this one.
    fn is_unresponsive(&self, now: Time, key: FlowKey) -> bool {
        let Some(flow) = self.flows.get(key) else {
            return false;
        };
        let (Placement::Hosted(id), Some(since)) = (flow.placement, flow.unanswered_since) else {
            return false;
        };
        let answers_others = self
            .servers
            .get(id)
            .and_then(|server| server.last_received)
            .is_some_and(|received| received > since);
        let settings = &self.settings.hosting;
        answers_others
            && flow.unanswered >= settings.unanswered
            && now.since(since) >= settings.silence
    }

    /// Removes a request and frees its slot or its queue entry.
    pub(crate) fn end_request(&mut self, key: RequestKey) -> Option<Request> {
        let request = self.requests.remove(key)?;
        if let Some(server) = self.servers.get_mut(request.backend_server) {
            if request.progress.takes_slot() {
                server.running = server.running.saturating_sub(1);
            } else {
                server.remove_queued(key);
            }
        }
        self.unlink(key, &request);
        Some(request)
    }

    fn unlink(&mut self, key: RequestKey, request: &Request) {
        let Some(flow) = self.flows.get_mut(request.flow) else {
            return;
        };
        if request.sends > 0 {
            flow.record_finished(request.id, request.idempotent);
        }
        if flow.requests == Some(key) {
            flow.requests = request.next;
            return;
        }
        let mut at = flow.requests;
        while let Some(other) = at.and_then(|at| self.requests.get_mut(at)) {
            if other.next == Some(key) {
                other.next = request.next;
                return;
            }
            at = other.next;
        }
    }

    /// Runs queued requests while the backend server has capacity.
    pub(crate) fn drain_queue(&mut self, now: Time, id: BackendServerId, out: &mut Vec<Action>) {
        let leased = self.check_lease(now, id, out);
        loop {
            let Some(server) = self.servers.get_mut(id) else {
                return;
            };
            if server.admit(leased, &self.settings.admission, now) != Admission::Run {
                return;
            }
            if server.queue.is_empty() {
                return;
            }
            let (_, key) = server.queue.remove(0);
            self.send_request(now, key, out);
        }
    }

    /// Adds a flow record and counts its connection if it is served here.
    pub(crate) fn insert_flow(&mut self, flow: Flow) -> FlowKey {
        if let Some(old) = self.flows.find(flow.id) {
            self.remove_flow(old);
        }
        if let Placement::Hosted(id) = flow.placement
            && let Some(server) = self.servers.get_mut(id)
        {
            server.flows += 1;
        }
        self.flows.insert(flow)
    }

    /// Removes a flow record, its requests and its connection.
    pub(crate) fn remove_flow(&mut self, key: FlowKey) {
        self.drop_requests(key);
        self.release_connection(key);
        self.flows.remove(key);
    }

    /// Subtracts a flow that is served here from the flows of its backend server.
    pub(crate) fn release_connection(&mut self, key: FlowKey) {
        let placement = self.flows.get(key).map(|flow| flow.placement);
        if let Some(Placement::Hosted(id)) = placement
            && let Some(server) = self.servers.get_mut(id)
        {
            server.flows = server.flows.saturating_sub(1);
        }
    }

    /// Builds a packet of a flow that has a record here. Returns `None` if there is no record or
    /// its service is not configured.
    pub(crate) fn packet_of(
        &self,
        key: FlowKey,
        request: RequestId,
        kind: PacketKind,
        reason: Option<Reason>,
    ) -> Option<Packet> {
        let flow = self.flows.get(key)?;
        let route = Route {
            caller: flow.caller,
            address: self.address_of(flow.service)?,
            unique_id: flow.unique_id,
        };
        Some(Packet {
            service: flow.service,
            flow: flow.id,
            kind,
            request,
            attempt: 0,
            idempotent: false,
            deadline: None,
            part: 0,
            last: reason.is_some(),
            reason,
            route,
            payload: bytes::Bytes::new(),
        })
    }
}
