//! Ends requests and flows that are served here: cancellation, closure, and packets that come after
//! it.

use crate::action::Action;
use crate::counter::Counter;
use crate::flows::{
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
    Relay, //
};
use crate::requests::{
    Progress,
    RequestKey, //
};
use crate::state_change::StateChange;
use crate::time::Time;

impl Instance {
    pub(crate) fn on_cancel(
        &mut self,
        now: Time,
        key: FlowKey,
        packet: Packet,
        out: &mut Vec<Action>,
    ) {
        let head = self.flows.get(key).and_then(|flow| flow.requests);
        let Some(request) = self.requests.find(head, packet.request) else {
            self.counters.add(Counter::StrayPackets);
            return;
        };
        self.cancel_request(now, request, Reason::Cancelled, out);
    }

    /// Stops a request. A queued request is refused, or its outcome is reported as unknown if an
    /// earlier attempt may have run. A running one is cancelled at its backend server, and its
    /// outcome is reported as unknown.
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
                let possibly_executed = request.sends > 0;
                self.end_request(key);
                self.report_end(flow, id, attempt, possibly_executed, reason, out);
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
        possibly_executed: bool,
        reason: Reason,
        out: &mut Vec<Action>,
    ) {
        let (kind, counter) = if possibly_executed {
            (PacketKind::Unknown, Counter::Unknowns)
        } else {
            (PacketKind::Refused, Counter::Refusals)
        };
        self.counters.add(counter);
        if let Some(flow) = self.flows.get_mut(flow)
            && !possibly_executed
        {
            flow.record_refusal(id, attempt);
        }
        if let Some(packet) = self.packet_of(flow, id, kind, Some(reason)) {
            self.send_caller(Packet { attempt, ..packet }, out);
        }
    }

    pub(crate) fn on_close(
        &mut self,
        now: Time,
        key: FlowKey,
        packet: Packet,
        out: &mut Vec<Action>,
    ) {
        self.send_server(now, key, packet, out);
        self.drop_requests(key);
        self.mark_closed(key, Reason::Cancelled);
    }

    /// Closes a flow that the caller did not close, and tells the caller how each of its requests
    /// ended and why the flow was closed.
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
        let Placement::Hosted(server) = flow.placement else {
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
        self.mark_closed(key, reason);
        out.push(Action::AppendTimeline(StateChange::FlowClosed {
            flow: id,
            service,
            backend_server: server,
            reason,
        }));
    }

    pub(crate) fn report_requests(&mut self, key: FlowKey, reason: Reason, out: &mut Vec<Action>) {
        let head = self.flows.get(key).and_then(|flow| flow.requests);
        let outcomes: smallvec::SmallVec<[(RequestId, u8, bool); 4]> = self
            .requests
            .list(head)
            .filter(|(_, request)| !matches!(request.progress, Progress::Cancelling { .. }))
            .map(|(_, request)| (request.id, request.attempt, request.sends > 0))
            .collect();
        for (id, attempt, possibly_executed) in outcomes {
            self.report_end(key, id, attempt, possibly_executed, reason, out);
        }
    }

    pub(crate) fn drop_requests(&mut self, key: FlowKey) {
        while let Some(request) = self.flows.get(key).and_then(|flow| flow.requests) {
            self.end_request(request);
        }
    }

    /// Marks a flow as closed. The record is kept until `ownership.memory` has passed since the
    /// last packet before the closure, so that late packets get the same reason and a repeated
    /// non-idempotent request is not run again.
    fn mark_closed(&mut self, key: FlowKey, reason: Reason) {
        self.release_connection(key);
        if let Some(flow) = self.flows.get_mut(key) {
            flow.placement = Placement::Closed(reason);
            flow.unanswered_since = None;
        }
    }

    /// Handles a packet of a closed or refused flow. A request that cannot have run, or that is
    /// idempotent, opens the flow again. Returns false if the flow has no record.
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
        let possibly_executed = flow.may_have_run(packet.request, packet.attempt);
        match packet.kind {
            PacketKind::Open | PacketKind::Request
                if ran || possibly_executed && !packet.idempotent =>
            {
                self.reply_unknown(packet, reason, out);
                true
            }
            PacketKind::Open | PacketKind::Request => {
                self.flows.remove(key);
                self.reopen(now, possibly_executed, packet, out);
                true
            }
            PacketKind::Data => {
                self.send_caller(packet.reply(PacketKind::Reset, reason), out);
                true
            }
            _ => true,
        }
    }

    fn reopen(
        &mut self,
        now: Time,
        possibly_executed: bool,
        packet: &Packet,
        out: &mut Vec<Action>,
    ) {
        let Some(ranking) = self.tables.rank(packet.service, packet.flow) else {
            return;
        };
        let relay = Relay {
            purpose: Purpose::Place,
            hops: 0,
            candidate: 0,
            table: 0,
            backend_server: BackendServerId(0),
            possibly_executed,
        };
        self.place(now, relay, ranking, packet.clone(), out);
    }
}
