//! Handing a backend server over to its next owner, and registering exceptions.

use smallvec::SmallVec;

use crate::action::Action;
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
    RequestId, //
};
use crate::instance::Instance;
use crate::packet::{
    PacketKind,
    Route, //
};
use crate::peer::{
    FlowOverride,
    FlowState,
    MAX_FLOWS,
    MAX_OVERRIDES,
    PeerMessage,
    RequestState, //
};
use crate::requests::{
    Progress,
    Request, //
};
use crate::servers::Phase;
use crate::time::Time;

/// How many exceptions are registered in one pass of the upkeep, so that a configuration change
/// that moves many first choices stays within the control budget.
const EXCEPTIONS_PER_PASS: usize = 32;

/// A deadline that is further away than this many milliseconds is handed over as this.
const MAX_REMAINING: u128 = u32::MAX as u128;

impl Instance {
    /// Hands the flows of a backend server to its next owner and drops their records.
    ///
    /// An owner that never became active has nothing to say about the limit, but may hold flows.
    pub(crate) fn hand_over(
        &mut self,
        now: Time,
        id: BackendServerId,
        owner: InstanceId,
        active: bool,
        out: &mut Vec<Action>,
    ) {
        let keys: Vec<FlowKey> = self
            .flows
            .iter()
            .filter(|(_, flow)| flow.place == Place::Hosted(id))
            .map(|(key, _)| key)
            .collect();
        let states: Vec<FlowState> = keys
            .iter()
            .filter_map(|key| self.flow_state(now, *key))
            .collect();
        self.pass_queued(id, owner, out);
        let limit = match self.servers.get(id) {
            Some(server) if active => server.limit(),
            _ => 0,
        };
        let mut chunks = states.chunks(MAX_FLOWS).peekable();
        if chunks.peek().is_none() {
            self.send_handover(id, owner, limit, Vec::new(), true, out);
        }
        while let Some(chunk) = chunks.next() {
            let last = chunks.peek().is_none();
            self.send_handover(id, owner, limit, chunk.to_vec(), last, out);
        }
        for key in keys {
            self.remove_flow(key);
        }
    }

    fn send_handover(
        &mut self,
        id: BackendServerId,
        owner: InstanceId,
        limit: u32,
        flows: Vec<FlowState>,
        last: bool,
        out: &mut Vec<Action>,
    ) {
        let message = PeerMessage::Handover {
            backend_server: id,
            limit,
            flows,
            last,
        };
        self.send_peer(owner, message, out);
    }

    fn flow_state(&self, now: Time, key: FlowKey) -> Option<FlowState> {
        let flow = self.flows.get(key)?;
        let Place::Hosted(backend_server) = flow.place else {
            return None;
        };
        let requests = self
            .requests
            .list(flow.requests)
            .filter(|(_, request)| request.progress.takes_slot())
            .map(|(_, request)| RequestState {
                request: request.id,
                idempotent: request.idempotent,
                remaining: request
                    .deadline
                    .map(|deadline| deadline.since(now).as_millis().min(MAX_REMAINING) as u32),
            })
            .collect();
        Some(FlowState {
            flow: flow.id,
            service: flow.service,
            route: Route {
                caller: flow.caller,
                address: self.address_of(flow.service)?,
                unique: flow.unique,
            },
            backend_server,
            requests,
            finished: flow.finished_tags(),
        })
    }

    /// Passes queued requests on as packets; no backend server has seen them.
    fn pass_queued(&mut self, id: BackendServerId, owner: InstanceId, out: &mut Vec<Action>) {
        let Some(server) = self.servers.get(id) else {
            return;
        };
        let queued: SmallVec<[_; 8]> = server.queue.iter().map(|(_, key)| *key).collect();
        for key in queued {
            let Some(request) = self.end_request(key) else {
                continue;
            };
            let Some(packet) = request.packet else {
                continue;
            };
            let relay = crate::packet::Relay {
                purpose: crate::packet::Purpose::Place,
                hops: 0,
                candidate: request.candidate,
                table: 0,
                backend_server: id,
                doubt: request.sends > 0,
            };
            self.pass_on(owner, relay, packet, out);
        }
    }

    /// Takes a backend server over from its former owner.
    pub(crate) fn on_handover(
        &mut self,
        now: Time,
        id: BackendServerId,
        limit: u32,
        flows: Vec<FlowState>,
        last: bool,
        out: &mut Vec<Action>,
    ) {
        // An instance that leaves too may get a backend server that it has just handed over.
        if self.leaving.is_some()
            && !self.servers.owns(id)
            && let Some(owner) = self.zone_of(id).and_then(|zone| self.owner(id, zone))
            && owner != self.member.id
        {
            self.send_handover(id, owner, limit, flows, last, out);
            return;
        }
        for state in flows {
            self.take_flow(now, state, out);
        }
        if !last {
            return;
        }
        match self.servers.get_mut(id) {
            Some(server) => {
                server.phase = Phase::Active;
                server.warmup.resume(limit, server.slots);
                self.drain_queue(now, id, out);
            }
            // The configuration that names it has not arrived here yet.
            None => {
                self.handed_limits.insert(id, (now, limit));
            }
        }
    }

    fn take_flow(&mut self, now: Time, state: FlowState, out: &mut Vec<Action>) {
        let id = state.backend_server;
        let place = Place::Hosted(id);
        let mut flow = Flow::new(state.flow, state.service, place, state.route, now);
        flow.opened = true;
        // The former owner may have been frozen while the flow was opened elsewhere.
        flow.adopted = true;
        flow.set_finished_tags(state.finished);
        let key = self.insert_flow(flow);
        for request in &state.requests {
            self.take_request(now, key, id, *request);
        }
        // The backend server answers to the sender of the latest packet of a flow.
        if !state.requests.is_empty()
            && let Some(packet) = self.packet_of(key, RequestId(0), PacketKind::Data, None)
        {
            self.send_server(now, key, packet, out);
        }
    }

    fn take_request(&mut self, now: Time, flow: FlowKey, id: BackendServerId, state: RequestState) {
        let next = self.flows.get(flow).and_then(|flow| flow.requests);
        let deadline = state
            .remaining
            .map(|millis| now + std::time::Duration::from_millis(u64::from(millis)));
        let key = self.requests.insert(Request {
            id: state.request,
            flow,
            backend_server: id,
            progress: Progress::Running,
            idempotent: state.idempotent,
            deadline,
            attempt: 0,
            sends: 1,
            received: now,
            sent: now,
            parts: 0,
            candidate: 0,
            packet: None,
            next,
        });
        if let Some(flow) = self.flows.get_mut(flow) {
            flow.requests = Some(key);
        }
        if let Some(server) = self.servers.get_mut(id) {
            server.running += 1;
        }
    }

    /// Registers pending exceptions with the owners of their first choices.
    pub(crate) fn register_exceptions(&mut self, out: &mut Vec<Action>) {
        let count = self.overrides.len().min(EXCEPTIONS_PER_PASS);
        let keys: Vec<FlowKey> = self.overrides.drain(..count).collect();
        let mut batches: SmallVec<[(InstanceId, Vec<FlowOverride>); 4]> = SmallVec::new();
        for key in keys {
            let Some((owner, exception)) = self.exception_of(key) else {
                continue;
            };
            match batches.iter_mut().find(|(other, _)| *other == owner) {
                Some((_, batch)) => batch.push(exception),
                None => batches.push((owner, vec![exception])),
            }
        }
        for (owner, overrides) in batches {
            self.send_peer(owner, PeerMessage::RegisterOverrides { overrides }, out);
        }
    }

    fn exception_of(&mut self, key: FlowKey) -> Option<(InstanceId, FlowOverride)> {
        let flow = self.flows.get(key)?;
        let Place::Hosted(backend_server) = flow.place else {
            return None;
        };
        let exception = FlowOverride {
            flow: flow.id,
            service: flow.service,
            backend_server,
        };
        let first = *self.tables.rank(flow.service, flow.id)?.first()?;
        if first.backend_server == backend_server || !self.usable(first.zone) {
            return None;
        }
        let owner = self.owner(first.backend_server, first.zone)?;
        (owner != self.member.id).then_some((owner, exception))
    }

    /// Notes exceptions that other owners registered here.
    pub(crate) fn on_exceptions(&mut self, now: Time, exceptions: Vec<FlowOverride>) {
        for exception in exceptions.into_iter().take(MAX_OVERRIDES) {
            let record = self.flows.find(exception.flow);
            let hosted = record
                .and_then(|key| self.flows.get(key))
                .is_some_and(|flow| matches!(flow.place, Place::Hosted(_)));
            let Some(address) = self.address_of(exception.service) else {
                continue;
            };
            if hosted {
                continue;
            }
            // Packets that are passed on carry their own route; this one is never used.
            let route = Route {
                caller: address,
                address,
                unique: 0,
            };
            let place = Place::Redirected {
                backend_server: exception.backend_server,
                position: DIRECT,
            };
            let mut flow = Flow::new(exception.flow, exception.service, place, route, now);
            flow.opened = true;
            self.insert_flow(flow);
        }
    }

    /// Sends a control message to another instance.
    pub(crate) fn send_peer(
        &mut self,
        to: InstanceId,
        message: PeerMessage,
        out: &mut Vec<Action>,
    ) {
        let Some(member) = self.membership.member(to) else {
            self.counters.add(Counter::NoOwner);
            return;
        };
        out.push(Action::SendPeer {
            to,
            address: member.control,
            message: Box::new(message),
        });
    }
}
