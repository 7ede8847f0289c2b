//! Detects backend servers that are gone while flows are open at them, and resets these flows, so
//! that their clients connect again instead of waiting for their time limits.
//!
//! A flow of a live backend server must never be reset, so each kind of [`Evidence`] excludes that
//! the server is alive and reached, and holds for a limited time only.

use std::sync::Arc;
use std::time::Duration;

use smallvec::SmallVec;

use crate::time::Time;

use super::balancer::{
    Action,
    Balancer,
    Verdict, //
};
use super::counts::Count;
use super::decision::{
    Decision,
    Refusal, //
};
use super::flows::{
    FlowKey,
    Stage, //
};
use super::segment::{
    Segment,
    SegmentKind, //
};
use super::servers::{
    Registration,
    ServerKey, //
};

/// A server that showed a sign of life this recently is not probed. It is less than the time after
/// which clients retransmit, so that a sign from before the first transmission does not count.
const SIGN_TTL: Duration = Duration::from_millis(150);

/// Minimum interval between two probes of one server. It exceeds the time that a probe takes.
const PROBE_INTERVAL: Duration = Duration::from_millis(300);

/// A probe result that arrives later than this after the start of the probe is discarded, because
/// the process was paused and the server may be reached again.
const PROBE_VALIDITY: Duration = Duration::from_millis(400);

/// Time for which an unanswered probe is evidence.
const EVIDENCE_TTL: Duration = Duration::from_secs(1);

/// Time from the removal of a server's entry until its flows are reset. The server may still be
/// sending its last responses.
const DEPARTURE_GRACE: Duration = Duration::from_millis(500);

/// Maximum number of servers of a zone that are probed because one of them is gone.
const MAX_ZONE_PROBES: usize = 16;

/// Why a backend server counts as gone.
#[derive(Clone, Copy, Debug, Eq, PartialEq, strum::Display)]
#[strum(serialize_all = "snake_case")]
pub enum Evidence {
    /// A client retransmitted data, the server showed no sign of life meanwhile, and it does not
    /// accept connections.
    Unanswered,
    /// Its entry was removed while the store was available, and did not return in time.
    Departed,
    /// The tag belongs to no server in the store, as the store confirmed after the client's first
    /// packet arrived.
    UnknownTag,
}

/// What is known of whether one backend server is alive.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Liveness {
    /// The time of the last packet that shows that the server sent something.
    last_sign: Option<Time>,
    /// The start of the last probe.
    probed_at: Option<Time>,
    /// When the last probe remained unanswered; `None` once a sign of life follows.
    unanswered_at: Option<Time>,
}

impl Liveness {
    pub(super) fn record_sign(&mut self, now: Time) {
        self.last_sign = Some(now);
        self.unanswered_at = None;
    }

    fn is_unanswered(&self, now: Time) -> bool {
        self.unanswered_at
            .is_some_and(|at| now.since(at) < EVIDENCE_TTL)
    }

    /// Returns whether the last probe remained unanswered, however long ago.
    pub(super) fn was_unanswered(&self) -> bool {
        self.unanswered_at.is_some()
    }

    fn permits_probe(&self, now: Time) -> bool {
        let is_recent =
            |at: Option<Time>, limit: Duration| at.is_some_and(|at| now.since(at) < limit);
        !is_recent(self.last_sign, SIGN_TTL) && !is_recent(self.probed_at, PROBE_INTERVAL)
    }
}

/// The result of probing one backend server.
#[derive(Clone, Copy, Debug)]
pub struct ServerProbe {
    pub server: ServerKey,
    /// The time at which the probe was requested.
    pub started_at: Time,
    pub answer: ProbeAnswer,
}

/// How the address of a backend server answered connection attempts.
#[derive(Clone, Copy, Debug, Eq, PartialEq, strum::Display)]
#[strum(serialize_all = "snake_case")]
pub enum ProbeAnswer {
    Accepted,
    Refused,
    Silent,
}

impl Balancer {
    /// Returns the evidence that a backend server is gone, if there is any.
    pub(super) fn loss_evidence(&self, now: Time, key: ServerKey) -> Option<Evidence> {
        let server = self.view.servers.get(key)?;
        if server.liveness.is_unanswered(now) {
            return Some(Evidence::Unanswered);
        }
        let Registration::Removed(since) = server.registration else {
            return None;
        };
        let departed = now.since(since) >= DEPARTURE_GRACE
            && server.liveness.last_sign <= Some(since)
            && self.view.is_settled(now, &self.settings);
        departed.then_some(Evidence::Departed)
    }

    /// Returns whether the last probe of a backend server remained unanswered. The evidence may have
    /// expired.
    pub(super) fn was_lost(&self, key: ServerKey) -> bool {
        let server = self.view.servers.get(key);
        server.is_some_and(|server| server.liveness.was_unanswered())
    }

    /// Requests a probe of a backend server that does not answer a client, unless it showed a sign
    /// of life or was probed recently.
    pub(super) fn probe_server(&mut self, now: Time, key: ServerKey) {
        let Some(server) = self.view.servers.get_mut(key) else {
            return;
        };
        if !server.liveness.permits_probe(now) {
            return;
        }
        server.liveness.probed_at = Some(now);
        self.counts.add(Count::ServerProbes);
        self.actions.push(Action::ProbeServer {
            server: key,
            address: server.target.address,
        });
    }

    /// Probes a backend server that became suspect, if flows are open at it.
    pub(super) fn probe_suspect(&mut self, now: Time, key: ServerKey) {
        if self.flows.iter_open(key).next().is_some() {
            self.probe_server(now, key);
        }
    }

    /// Records the result of a probe that [`Action::ProbeServer`] requested. Without an answer, the
    /// flows that are open at the server are reset.
    pub fn record_server_probe(&mut self, now: Time, probe: ServerProbe) {
        let Some(server) = self.view.servers.get_mut(probe.server) else {
            return;
        };
        let valid = now.since(probe.started_at) <= PROBE_VALIDITY;
        // A server that drains may stop listening before its last flows end.
        let draining = server.registration == Registration::Draining;
        let gone = match probe.answer {
            ProbeAnswer::Accepted => false,
            ProbeAnswer::Refused => !draining,
            ProbeAnswer::Silent => true,
        };
        let alive = server.liveness.last_sign >= Some(probe.started_at);
        let lost = valid && gone && !alive;
        self.log.push(Decision::ServerProbe {
            server: server.id.clone(),
            answer: probe.answer,
            after: now.since(probe.started_at),
            lost,
        });
        if !lost {
            return;
        }
        server.liveness.unanswered_at = Some(now);
        let changed = server.health.mark_lost(now, &self.settings);
        if changed {
            self.log_health(now, probe.server);
        }
        self.reset_flows(probe.server, Evidence::Unanswered);
        self.probe_zone(now, probe.server);
        // All clients depend on other zones, which may be cut off. Open flows show it before enough
        // handshakes have timed out.
        if !self.has_own_server(now) {
            self.check_isolation(now);
        }
    }

    /// Returns whether a backend server of the own zone may serve.
    fn has_own_server(&self, now: Time) -> bool {
        let mut servers = self.view.servers.iter().map(|(_, server)| server);
        !self.view.evacuated.contains(&self.zone)
            && servers.any(|server| {
                let used = matches!(
                    server.registration,
                    Registration::Ready | Registration::Expired(_)
                );
                used && server.entry.zone == self.zone && !server.liveness.is_unanswered(now)
            })
    }

    /// Probes other servers of the zone of a server that is gone, because the whole zone may be cut
    /// off. Only servers at which flows are open are probed.
    fn probe_zone(&mut self, now: Time, lost: ServerKey) {
        let Some(zone) = self.view.servers.get(lost).map(|s| s.entry.zone.clone()) else {
            return;
        };
        let open = self.flows.servers_with_open_flows();
        let near = open.into_iter().filter(|key| {
            let server = self.view.servers.get(*key);
            *key != lost && server.is_some_and(|server| server.entry.zone == zone)
        });
        let near: SmallVec<[ServerKey; MAX_ZONE_PROBES]> = near.take(MAX_ZONE_PROBES).collect();
        for key in near {
            self.probe_server(now, key);
        }
    }

    /// Resets all flows that are open at a backend server that is gone.
    fn reset_flows(&mut self, server: ServerKey, evidence: Evidence) {
        let open: Vec<FlowKey> = self.flows.iter_open(server).collect();
        for key in open {
            let Some(flow) = self.flows.get_mut(key) else {
                continue;
            };
            let (tuple, acked) = (flow.tuple, flow.acked);
            self.close_flow(key, server);
            self.log_reset(tuple, Some(server), evidence);
            self.counts.add(Count::Resets);
            self.actions.push(Action::Reset {
                flow: tuple,
                sequence: acked,
            });
        }
    }

    /// Resets the flow of a packet whose backend server is gone.
    pub(super) fn reset_segment(
        &mut self,
        segment: &Segment,
        key: Option<FlowKey>,
        server: Option<ServerKey>,
        evidence: Evidence,
    ) -> Verdict {
        match (key, server) {
            (Some(key), Some(server)) => self.close_flow(key, server),
            (Some(key), None) => self.forget(key),
            (None, _) => {}
        }
        self.log_reset(segment.flow, server, evidence);
        Verdict::Reset {
            sequence: segment.position.acked,
        }
    }

    /// Handles a packet whose tag belongs to no known backend server.
    ///
    /// The flow is reset when the client retransmits, if the store confirmed the view after the
    /// first packet: the view then contains all servers at which the flow may be open, unless their
    /// entries expired.
    pub(super) fn refuse_unknown(
        &mut self,
        now: Time,
        segment: &Segment,
        key: Option<FlowKey>,
        retransmitted: bool,
    ) -> Verdict {
        let first_seen = key.and_then(|key| Some(self.flows.get_mut(key)?.opened_at));
        let confirmed = first_seen.is_some_and(|at| self.view.last_confirmed > Some(at));
        let is_data = segment.kind == SegmentKind::Data;
        if is_data && retransmitted && confirmed && self.view.is_settled(now, &self.settings) {
            return self.reset_segment(segment, key, None, Evidence::UnknownTag);
        }
        self.log.push(Decision::Refuse {
            flow: segment.flow,
            refusal: Refusal::UnknownTag,
            reset: false,
            version: self.view.version(),
            view_age: self.view.age(now),
        });
        Verdict::Drop
    }

    /// Resets the flows of backend servers that left since the last call, once there is evidence.
    pub(super) fn reset_departed(&mut self, now: Time) {
        let mut waiting = std::mem::take(&mut self.view.removed);
        let mut departed: SmallVec<[ServerKey; 4]> = SmallVec::new();
        waiting.retain(|key| {
            let registration = self
                .view
                .servers
                .get(*key)
                .map(|server| server.registration);
            if !matches!(registration, Some(Registration::Removed(_))) {
                return false;
            }
            let gone = self.loss_evidence(now, *key).is_some();
            if gone {
                departed.push(*key);
            }
            !gone
        });
        self.view.removed = waiting;
        for key in departed {
            self.reset_flows(key, Evidence::Departed);
        }
    }

    /// Marks a flow as ended, so that it no longer counts as active at its backend server.
    fn close_flow(&mut self, key: FlowKey, server: ServerKey) {
        let Some(flow) = self.flows.get_mut(key) else {
            return;
        };
        flow.stage = Stage::Closed(server);
        if std::mem::take(&mut flow.active)
            && let Some(server) = self.view.servers.get_mut(server)
        {
            server.active_flows = server.active_flows.saturating_sub(1);
        }
    }

    fn log_reset(
        &mut self,
        flow: super::segment::FlowTuple,
        server: Option<ServerKey>,
        evidence: Evidence,
    ) {
        let server = server.and_then(|key| self.view.servers.get(key));
        self.log.push(Decision::ResetFlow {
            flow,
            server: server.map_or_else(|| Arc::from(""), |server| server.id.clone()),
            evidence,
        });
    }
}
