//! Flows that this instance serves on a backend server that it owns.

use crate::action::Action;
use crate::counter::Counter;
use crate::flows::{
    Flow,
    FlowKey,
    Place, //
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
use crate::servers::Verdict;
use crate::state_change::StateChange;
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
            // It ran once; the answer that was lost is not kept.
            self.uncertain(&packet, Reason::Repeated, out);
            return;
        }
        if let Some(request) = self.requests.find(flow.requests, packet.request) {
            self.on_repeat(now, request, packet, out);
            return;
        }
        let doubt = flow.doubts(packet.request, packet.attempt);
        if doubt && !packet.idempotent {
            self.uncertain(&packet, Reason::OwnerChanged, out);
        } else {
            self.start_request(now, key, 0, doubt, packet, out);
        }
    }

    /// Handles a repeated attempt of a request in progress.
    fn on_repeat(&mut self, now: Time, key: RequestKey, packet: Packet, out: &mut Vec<Action>) {
        self.counters.add(Counter::Repeats);
        let patience = self.settings.hosting.repeat;
        let Some(request) = self.requests.get_mut(key) else {
            return;
        };
        let unseen = request.parts == 0 && now.since(request.sent) >= patience;
        if request.progress == Progress::Running && request.idempotent && unseen {
            // The packet or its answer may have been lost on the way.
            request.deadline = packet.deadline;
            request.attempt = packet.attempt;
            request.packet = Some(packet);
            self.send_request(now, key, out);
        } else {
            request.attempt = packet.attempt;
        }
    }

    /// Starts a request on a flow that is served here: runs it, queues it, moves the flow, or
    /// refuses it.
    pub(crate) fn start_request(
        &mut self,
        now: Time,
        key: FlowKey,
        candidate: u8,
        doubt: bool,
        packet: Packet,
        out: &mut Vec<Action>,
    ) {
        let Some(Place::Hosted(id)) = self.flows.get(key).map(|flow| flow.place) else {
            return;
        };
        if packet.deadline.is_some_and(|deadline| deadline <= now) {
            self.refuse(&packet, doubt, Reason::Deadline, out);
            return;
        }
        let leased = self.check_lease(now, id, out);
        let Some(server) = self.servers.get(id) else {
            return;
        };
        let verdict = server.admit(leased, &self.settings.admission, now);
        let room = server.can_queue(&self.settings.admission);
        let first = server.queue.is_empty();
        match verdict {
            Verdict::Run if first => {
                let request = self.insert_request(now, key, id, candidate, doubt, packet);
                self.send_request(now, request, out);
            }
            Verdict::Run | Verdict::Busy if room => {
                self.queue_request(now, key, id, candidate, doubt, packet);
            }
            _ => self.rehome(now, key, doubt, packet, out),
        }
    }

    /// Moves a flow without requests in progress to another backend server, because its own takes
    /// no more work.
    fn rehome(
        &mut self,
        now: Time,
        key: FlowKey,
        doubt: bool,
        packet: Packet,
        out: &mut Vec<Action>,
    ) {
        let busy = self.flows.get(key).is_some_and(|f| f.requests.is_some());
        if busy {
            // Requests in progress hold the flow where it is, so this one has to wait for them.
            if let Some(flow) = self.flows.get_mut(key) {
                flow.remember_refusal(packet.request, packet.attempt);
            }
            self.refuse(&packet, doubt, Reason::Overload, out);
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
            doubt,
        };
        self.place(now, relay, ranking, packet, out);
    }

    /// Ends a flow at its backend server and removes its record, because it goes on elsewhere.
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
        doubt: bool,
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
            sends: u8::from(doubt),
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
                budget.earn(settings);
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
        doubt: bool,
        packet: Packet,
    ) {
        // Half of the remaining time is left for running it.
        let until = match packet.deadline {
            Some(deadline) => now + deadline.since(now) / 2,
            None => now + self.settings.admission.patience,
        };
        let key = self.insert_request(now, flow, server, candidate, doubt, packet);
        self.counters.add(Counter::Queued);
        if let Some(request) = self.requests.get_mut(key) {
            request.progress = Progress::Queued { until };
        }
        if let Some(server) = self.servers.get_mut(server) {
            server.enqueue(until, key);
        }
    }

    /// Sends a request to its backend server.
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
        let Place::Hosted(id) = flow.place else {
            return;
        };
        let Some(server) = self.servers.get_mut(id) else {
            return;
        };
        flow.asked.get_or_insert(now);
        flow.unanswered = flow.unanswered.saturating_add(1);
        server.note_sent(now);
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
        if !self.is_silent(now, key) {
            self.send_server(now, key, packet, out);
        } else if self.flows.get(key).is_some_and(|flow| flow.adopted) {
            // The backend server never confirmed the flow here, so that it may live elsewhere.
            self.remove_flow(key);
            self.route(now, relay, packet, out);
        } else {
            self.close_flow(now, key, Reason::ServerFailed, out);
        }
    }

    /// Returns whether the backend server answers other flows but not this one.
    fn is_silent(&self, now: Time, key: FlowKey) -> bool {
        let Some(flow) = self.flows.get(key) else {
            return false;
        };
        let (Place::Hosted(id), Some(asked)) = (flow.place, flow.asked) else {
            return false;
        };
        let others = self
            .servers
            .get(id)
            .and_then(|server| server.heard)
            .is_some_and(|heard| heard > asked);
        let settings = &self.settings.hosting;
        others && flow.unanswered >= settings.unanswered && now.since(asked) >= settings.silence
    }

    fn on_cancel(&mut self, now: Time, key: FlowKey, packet: Packet, out: &mut Vec<Action>) {
        let head = self.flows.get(key).and_then(|flow| flow.requests);
        let Some(request) = self.requests.find(head, packet.request) else {
            self.counters.add(Counter::StrayPackets);
            return;
        };
        self.cancel_request(now, request, Reason::Cancelled, out);
    }

    /// Stops a request: one that no backend server has seen is refused, a running one is cancelled
    /// there and its outcome is unknown.
    pub(crate) fn cancel_request(
        &mut self,
        now: Time,
        key: RequestKey,
        reason: Reason,
        out: &mut Vec<Action>,
    ) {
        let Some(request) = self.requests.get_mut(key) else {
            return;
        };
        let (id, attempt, flow) = (request.id, request.attempt, request.flow);
        match request.progress {
            Progress::Queued { .. } => {
                let possible = request.sends > 0;
                self.end_request(key);
                self.report_end(flow, id, attempt, possible, reason, out);
            }
            Progress::Running => {
                let until = now + self.settings.hosting.grace;
                request.progress = Progress::Cancelling { until };
                self.counters.add(Counter::Cancels);
                if let Some(packet) = self.packet_of(flow, id, PacketKind::Cancel, None) {
                    self.send_server(now, flow, packet, out);
                }
                self.report_end(flow, id, attempt, true, reason, out);
            }
            Progress::Cancelling { .. } => {}
        }
    }

    /// Tells the caller that its request ended without an answer.
    pub(crate) fn report_end(
        &mut self,
        flow: FlowKey,
        id: RequestId,
        attempt: u8,
        possible: bool,
        reason: Reason,
        out: &mut Vec<Action>,
    ) {
        let (kind, counter) = if possible {
            (PacketKind::Unknown, Counter::Unknowns)
        } else {
            (PacketKind::Refused, Counter::Refusals)
        };
        self.counters.add(counter);
        if let Some(flow) = self.flows.get_mut(flow)
            && !possible
        {
            flow.remember_refusal(id, attempt);
        }
        if let Some(packet) = self.packet_of(flow, id, kind, Some(reason)) {
            self.send_caller(Packet { attempt, ..packet }, out);
        }
    }

    fn on_close(&mut self, now: Time, key: FlowKey, packet: Packet, out: &mut Vec<Action>) {
        self.send_server(now, key, packet, out);
        self.drop_requests(key);
        self.entomb(key, Reason::Cancelled);
    }

    /// Closes a flow that the system gives up, and reports how each of its requests ended.
    pub(crate) fn close_flow(
        &mut self,
        now: Time,
        key: FlowKey,
        reason: Reason,
        out: &mut Vec<Action>,
    ) {
        let Some(flow) = self.flows.get(key) else {
            return;
        };
        let Place::Hosted(server) = flow.place else {
            return;
        };
        let (id, service) = (flow.id, flow.service);
        self.counters.add(Counter::Resets);
        self.report_requests(key, reason, out);
        if reason != Reason::ZoneOut
            && let Some(packet) = self.packet_of(key, RequestId(0), PacketKind::Close, None)
        {
            self.send_server(now, key, packet, out);
        }
        if let Some(packet) = self.packet_of(key, RequestId(0), PacketKind::Reset, Some(reason)) {
            self.send_caller(packet, out);
        }
        self.drop_requests(key);
        self.entomb(key, reason);
        out.push(Action::Note(StateChange::FlowClosed {
            flow: id,
            service,
            backend_server: server,
            reason,
        }));
    }

    fn report_requests(&mut self, key: FlowKey, reason: Reason, out: &mut Vec<Action>) {
        let head = self.flows.get(key).and_then(|flow| flow.requests);
        let ends: smallvec::SmallVec<[(RequestId, u8, bool); 4]> = self
            .requests
            .list(head)
            .filter(|(_, request)| !matches!(request.progress, Progress::Cancelling { .. }))
            .map(|(_, request)| (request.id, request.attempt, request.sends > 0))
            .collect();
        for (id, attempt, possible) in ends {
            self.report_end(key, id, attempt, possible, reason, out);
        }
    }

    fn drop_requests(&mut self, key: FlowKey) {
        while let Some(request) = self.flows.get(key).and_then(|flow| flow.requests) {
            self.end_request(request);
        }
    }

    /// Keeps a closed flow for a while, so that late packets get the same outcome and a repeated
    /// non-idempotent request is not run again.
    fn entomb(&mut self, key: FlowKey, reason: Reason) {
        self.forget_connection(key);
        if let Some(flow) = self.flows.get_mut(key) {
            flow.place = Place::Closed(reason);
            flow.asked = None;
        }
    }

    /// Handles a packet of a closed flow; returns false if the packet opens the flow anew.
    pub(crate) fn answer_closed(
        &mut self,
        now: Time,
        key: FlowKey,
        reason: Reason,
        packet: &Packet,
        out: &mut Vec<Action>,
    ) -> bool {
        let Some(flow) = self.flows.get(key) else {
            return false;
        };
        let ran = flow.has_run(packet.request);
        let doubt = flow.doubts(packet.request, packet.attempt);
        match packet.kind {
            PacketKind::Open | PacketKind::Request if ran || doubt && !packet.idempotent => {
                self.uncertain(packet, reason, out);
                true
            }
            PacketKind::Open | PacketKind::Request => {
                self.flows.remove(key);
                self.reopen(now, doubt, packet, out);
                true
            }
            PacketKind::Data => {
                self.send_caller(packet.reply(PacketKind::Reset, reason), out);
                true
            }
            _ => true,
        }
    }

    fn reopen(&mut self, now: Time, doubt: bool, packet: &Packet, out: &mut Vec<Action>) {
        let Some(ranking) = self.tables.rank(packet.service, packet.flow) else {
            return;
        };
        let relay = Relay {
            purpose: Purpose::Place,
            hops: 0,
            candidate: 0,
            table: 0,
            backend_server: BackendServerId(0),
            doubt,
        };
        self.place(now, relay, ranking, packet.clone(), out);
    }

    /// Removes a request and frees its slot or its place in the queue.
    pub(crate) fn end_request(&mut self, key: RequestKey) -> Option<Request> {
        let request = self.requests.remove(key)?;
        if let Some(server) = self.servers.get_mut(request.backend_server) {
            if request.progress.takes_slot() {
                server.running = server.running.saturating_sub(1);
            } else {
                server.unqueue(key);
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
            flow.remember(request.id, request.idempotent);
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

    /// Runs queued requests while the backend server has room.
    pub(crate) fn drain_queue(&mut self, now: Time, id: BackendServerId, out: &mut Vec<Action>) {
        let leased = self.check_lease(now, id, out);
        loop {
            let Some(server) = self.servers.get_mut(id) else {
                return;
            };
            if server.admit(leased, &self.settings.admission, now) != Verdict::Run {
                return;
            }
            if server.queue.is_empty() {
                return;
            }
            let (_, key) = server.queue.remove(0);
            self.send_request(now, key, out);
        }
    }

    /// Adds a flow record, and takes a connection where it is served here.
    pub(crate) fn insert_flow(&mut self, flow: Flow) -> FlowKey {
        if let Some(old) = self.flows.find(flow.id) {
            self.remove_flow(old);
        }
        if let Place::Hosted(id) = flow.place
            && let Some(server) = self.servers.get_mut(id)
        {
            server.flows += 1;
        }
        self.flows.insert(flow)
    }

    /// Removes a flow record, its requests and its connection.
    pub(crate) fn remove_flow(&mut self, key: FlowKey) {
        self.drop_requests(key);
        self.forget_connection(key);
        self.flows.remove(key);
    }

    fn forget_connection(&mut self, key: FlowKey) {
        let place = self.flows.get(key).map(|flow| flow.place);
        if let Some(Place::Hosted(id)) = place
            && let Some(server) = self.servers.get_mut(id)
        {
            server.flows = server.flows.saturating_sub(1);
        }
    }

    /// Makes a packet of a flow that has a record here.
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
            unique: flow.unique,
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
