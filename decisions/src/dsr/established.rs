//! Forwarding of packets other than SYNs to the backend server in the flow's record, or else to the
//! server of the tag. They include packets of flows that are opening or closed.

use crate::time::Time;

use super::balancer::{
    Balancer,
    Verdict, //
};
use super::counts::Count;
use super::decision::Decision;
use super::flows::{
    Flow,
    FlowKey,
    Stage, //
};
use super::segment::{
    Segment,
    SegmentKind, //
};
use super::servers::ServerKey;

impl Balancer {
    /// Forwards a packet that is not a SYN.
    pub(super) fn forward(&mut self, now: Time, segment: &Segment) -> Verdict {
        if self.view.table.is_none() {
            return Verdict::Hold;
        }
        let tag_server = self.view.servers.find_tag(segment.tag);
        let key = self.flows.find(&segment.flow);
        let key = key.or_else(|| self.adopt(now, segment, tag_server));
        let record_server = key.and_then(|key| self.advance(now, key, segment, tag_server));
        let flow = key.and_then(|key| self.flows.get_mut(key));
        let progress = flow.map(|flow| flow.record_position(now, &segment.position));
        let progress = progress.unwrap_or_default();
        let server = record_server.or(tag_server);
        let Some((server, target)) =
            server.and_then(|key| Some((key, self.view.servers.get(key)?.target)))
        else {
            if !self.view.is_complete() {
                return Verdict::Hold;
            }
            return self.refuse_unknown(now, segment, key, progress.retransmitted);
        };
        if progress.acknowledged {
            self.record_sign(now, server);
        }
        if segment.kind == SegmentKind::Data {
            if let Some(evidence) = self.loss_evidence(now, server) {
                return self.reset_segment(segment, key, Some(server), evidence);
            }
            if progress.retransmitted || self.was_lost(server) {
                self.probe_server(now, server);
            }
        }
        Verdict::Forward(target)
    }

    /// Creates the record of a flow that was opened through another instance. Packets without data
    /// create none, because they may belong to a flow that has ended.
    fn adopt(
        &mut self,
        now: Time,
        segment: &Segment,
        tag_server: Option<ServerKey>,
    ) -> Option<FlowKey> {
        let is_request = segment.kind == SegmentKind::Data && segment.position.length > 0;
        if !is_request || self.flows.len() >= self.settings.max_flows {
            return None;
        }
        let server = tag_server.and_then(|key| Some((key, self.view.servers.get(key)?)));
        let (stage, service) = match server {
            Some((key, server)) => (Stage::Open(key), server.entry.service.clone()),
            None => (Stage::Unknown, "".into()),
        };
        let flow = Flow {
            tuple: segment.flow,
            route: service.clone(),
            service,
            syn: None,
            opened_at: now,
            stage,
            last_packet: now,
            sent_end: None,
            sent_at: now,
            acked: segment.position.acked,
            active: false,
        };
        self.counts.add(Count::Adopted);
        Some(self.flows.insert(flow, now + self.settings.pause))
    }

    fn record_sign(&mut self, now: Time, server: ServerKey) {
        if let Some(server) = self.view.servers.get_mut(server) {
            server.liveness.record_sign(now);
        }
    }

    /// Updates the record of a flow for a packet. Returns the backend server at which the flow is
    /// open or was closed, or `None` if neither the record nor the tag names one.
    ///
    /// The record takes precedence over the tag, because a SYN-ACK from a second server changes the
    /// client's tag.
    fn advance(
        &mut self,
        now: Time,
        key: FlowKey,
        segment: &Segment,
        tag_server: Option<ServerKey>,
    ) -> Option<ServerKey> {
        let flow = self.flows.get_mut(key)?;
        flow.last_packet = now;
        let closes = matches!(segment.kind, SegmentKind::Fin | SegmentKind::Rst);
        let server = match flow.stage {
            Stage::Opening(_) => {
                self.establish(now, key, tag_server?);
                tag_server?
            }
            Stage::Open(server) | Stage::Closed(server) => server,
            Stage::Unknown => {
                flow.stage = Stage::Open(tag_server?);
                tag_server?
            }
        };
        let flow = self.flows.get_mut(key)?;
        if closes {
            flow.stage = Stage::Closed(server);
        }
        let active = matches!(flow.stage, Stage::Open(_));
        if active != flow.active {
            flow.active = active;
            if let Some(server) = self.view.servers.get_mut(server) {
                server.active_flows = if active {
                    server.active_flows + 1
                } else {
                    server.active_flows.saturating_sub(1)
                };
            }
        }
        Some(server)
    }

    /// Marks a flow as open at a backend server, which the tag of the client's first packet other
    /// than a SYN names. The flow is no longer counted as active at the servers of the other
    /// attempts. If a SYN was sent to the server, records the handshake time and a success for the
    /// server's health.
    fn establish(&mut self, now: Time, key: FlowKey, server: ServerKey) {
        let Some(flow) = self.flows.get_mut(key) else {
            return;
        };
        let tuple = flow.tuple;
        let before = std::mem::replace(&mut flow.stage, Stage::Open(server));
        let Stage::Opening(attempts) = before else {
            return;
        };
        for attempt in &attempts {
            if let Some(other) = self.view.servers.get_mut(attempt.server) {
                other.active_flows = other.active_flows.saturating_sub(1);
            }
        }
        self.counts.add(Count::Established);
        let Some(answered) = self.view.servers.get_mut(server) else {
            return;
        };
        answered.active_flows += 1;
        answered.liveness.record_sign(now);
        let Some(attempt) = attempts.iter().find(|attempt| attempt.server == server) else {
            return;
        };
        let after = now.since(attempt.sent_at);
        let zone = answered.entry.zone.clone();
        self.handshakes.record(&zone, after, &self.settings);
        let reached = self.zone_health.record_success(&zone, attempt.sent_at);
        let changed = answered
            .health
            .record_success(now, attempt.sent_at, &self.settings);
        self.log.push(Decision::Established {
            flow: tuple,
            server: answered.id.clone(),
            after,
        });
        if changed {
            self.log_health(now, server);
        }
        if reached {
            let suspect = false;
            self.log.push(Decision::ZoneHealth { zone, suspect });
        }
    }
}
