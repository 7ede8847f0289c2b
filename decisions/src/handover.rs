//! Hands backend servers over to their next owner and registers placement overrides.

use smallvec::SmallVec;

use crate::action::Action;
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

/// Number of placement overrides that one maintenance pass registers, so that a configuration
/// change that moves many first choices stays within the control traffic budget.
const OVERRIDES_PER_PASS: usize = 32;

/// Longest remaining time of a request that a handover carries, in milliseconds. A later deadline
/// is handed over as this value.
const MAX_REMAINING: u128 = u32::MAX as u128;

impl Instance {
    /// Hands the flows of a backend server over to its next owner and removes their records.
    ///
    /// An owner that never became active may hold flows, but knows no concurrency limit and sends
    /// 0.
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
            .filter(|(_, flow)| flow.placement == Placement::Hosted(id))
            .map(|(key, _)| key)
            .collect();
        let states: Vec<FlowState> = keys
            .iter()
            .filter_map(|key| self.flow_state(now, *key))
            .collect();
        self.relay_queued(id, owner, out);
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
        let Placement::Hosted(backend_server) = flow.placement else {
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
                unique_id: flow.unique_id,
            },
            backend_server,
            requests,
            finished: flow.finished_tags(),
        })
    }

    /// Relays queued requests to the next owner as packets, because no backend server has received
    /// them.
    fn relay_queued(&mut self, id: BackendServerId, owner: InstanceId, out: &mut Vec<Action>) {
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
                possibly_executed: request.sends > 0,
            };
            self.relay_packet(owner, relay, packet, out);
        }
    }

    /// Handles a handover message from the former owner of a backend server.
    pub(crate) fn on_handover(
        &mut self,
        now: Time,
        id: BackendServerId,
        limit: u32,
        flows: Vec<FlowState>,
        last: bool,
        out: &mut Vec<Action>,
    ) {
        // If this instance is leaving too, it may receive a backend server that it has just handed
        // over. It forwards the message to the current owner.
        if self.leaving.is_some()
            && !self.servers.owns(id)
            && let Some(owner) = self.zone_of(id).and_then(|zone| self.owner(id, zone))
            && owner != self.member.id
        {
            self.send_handover(id, owner, limit, flows, last, out);
            return;
        }
        for state in flows {
            self.accept_flow(now, state, out);
        }
        if !last {
            return;
        }
        match self.servers.get_mut(id) {
            Some(server) => {
                server.phase = Phase::Active;
                server.warmup.raise_to(limit, server.slots);
                self.drain_queue(now, id, out);
            }
            // The configuration change that adds the backend server has not arrived yet.
            None => {
                self.handed_limits.insert(id, (now, limit));
            }
        }
    }

    fn accept_flow(&mut self, now: Time, state: FlowState, out: &mut Vec<Action>) {
        let id = state.backend_server;
        let placement = Placement::Hosted(id);
        let mut flow = Flow::new(state.flow, state.service, placement, state.route, now);
        flow.opened = true;
        // The former owner may have been paused while the flow was opened elsewhere.
        flow.adopted = true;
        flow.set_finished_tags(state.finished);
        let key = self.insert_flow(flow);
        for request in &state.requests {
            self.accept_request(now, key, id, *request);
        }
        // A backend server sends its answers to the instance that sent the latest packet of the
        // flow.
        if !state.requests.is_empty()
            && let Some(packet) = self.packet_of(key, RequestId(0), PacketKind::Data, None)
        {
            self.send_server(now, key, packet, out);
        }
    }

    fn accept_request(
        &mut self,
        now: Time,
        flow: FlowKey,
        id: BackendServerId,
        state: RequestState,
    ) {
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

    /// Registers pending placement overrides with the owners of the flows' first choices.
    pub(crate) fn register_overrides(&mut self, out: &mut Vec<Action>) {
        let count = self.overrides.len().min(OVERRIDES_PER_PASS);
        let keys: Vec<FlowKey> = self.overrides.drain(..count).collect();
        let mut batches: SmallVec<[(InstanceId, Vec<FlowOverride>); 4]> = SmallVec::new();
        for key in keys {
            let Some((owner, flow_override)) = self.override_of(key) else {
                continue;
            };
            match batches.iter_mut().find(|(other, _)| *other == owner) {
                Some((_, batch)) => batch.push(flow_override),
                None => batches.push((owner, vec![flow_override])),
            }
        }
        for (owner, overrides) in batches {
            self.send_peer(owner, PeerMessage::RegisterOverrides { overrides }, out);
        }
    }

    fn override_of(&mut self, key: FlowKey) -> Option<(InstanceId, FlowOverride)> {
        let flow = self.flows.get(key)?;
        let Placement::Hosted(backend_server) = flow.placement else {
            return None;
        };
        let flow_override = FlowOverride {
            flow: flow.id,
            service: flow.service,
            backend_server,
        };
        let first = *self.tables.rank(flow.service, flow.id)?.first()?;
        if first.backend_server == backend_server || !self.is_usable(first.zone) {
            return None;
        }
        let owner = self.owner(first.backend_server, first.zone)?;
        (owner != self.member.id).then_some((owner, flow_override))
    }

    /// Records placement overrides that other owners registered with this instance.
    pub(crate) fn on_overrides(&mut self, now: Time, overrides: Vec<FlowOverride>) {
        for flow_override in overrides.into_iter().take(MAX_OVERRIDES) {
            let record = self.flows.find(flow_override.flow);
            let hosted = record
                .and_then(|key| self.flows.get(key))
                .is_some_and(|flow| matches!(flow.placement, Placement::Hosted(_)));
            let Some(address) = self.address_of(flow_override.service) else {
                continue;
            };
            if hosted {
                continue;
            }
            // Relayed packets carry their own route, so this one is never used.
            let route = Route {
                caller: address,
                address,
                unique_id: 0,
            };
            let placement = Placement::Redirected {
                backend_server: flow_override.backend_server,
                position: DIRECT_POSITION,
            };
            let mut flow = Flow::new(
                flow_override.flow,
                flow_override.service,
                placement,
                route,
                now,
            );
            flow.opened = true;
            self.insert_flow(flow);
        }
    }

    /// Sends a control message to another instance. Drops it if the instance is not a known member.
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
