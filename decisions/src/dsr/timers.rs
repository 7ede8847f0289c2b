//! Timers of flows: handshake timeouts, flows that become inactive, and flows that end.

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
    Cause,
    Decision, //
};
use super::flows::{
    Flow,
    FlowKey,
    Stage, //
};
use super::placement::Tier;
use super::servers::ServerKey;
use super::syn::MAX_ATTEMPTS;

/// Time for which a record is kept after its flow ended, so that late packets are still forwarded.
/// Both ends retransmit for up to 1.6 s.
const LINGER: Duration = Duration::from_secs(2);

/// Longest time for which a client tries to open a flow: 1.4 s, and some network delay.
pub(super) const OPEN_TIMEOUT: Duration = Duration::from_millis(1_600);

impl Balancer {
    /// Handles the end of a flow's timer. Returns the end of the next one, or `None` if the record
    /// was removed.
    pub(super) fn expire(&mut self, now: Time, key: FlowKey, stalled: bool) -> Option<Time> {
        let idle = self.view.table.as_ref().map_or(LINGER, |t| t.idle);
        let flow = self.flows.get_mut(key)?;
        let quiet = now.since(flow.last_packet);
        match &flow.stage {
            Stage::Opening(_) if now.since(flow.opened_at) >= OPEN_TIMEOUT => {
                self.forget(key);
                None
            }
            Stage::Opening(_) => Some(self.check_timeout(now, key, stalled)),
            Stage::Closed(_) | Stage::Unknown if quiet >= LINGER => {
                self.forget(key);
                None
            }
            Stage::Closed(_) | Stage::Unknown => Some(flow.last_packet + LINGER),
            Stage::Open(_) if quiet >= idle => {
                self.forget(key);
                None
            }
            Stage::Open(server) if flow.active && quiet >= self.settings.pause => {
                let server = *server;
                flow.active = false;
                if let Some(server) = self.view.servers.get_mut(server) {
                    server.active_flows = server.active_flows.saturating_sub(1);
                }
                Some(now + LINGER)
            }
            Stage::Open(_) if flow.active => Some(flow.last_packet + self.settings.pause),
            Stage::Open(_) => Some((flow.last_packet + idle).min(now + LINGER)),
        }
    }

    /// Checks whether the latest attempt of a flow timed out. Returns when to check again.
    fn check_timeout(&mut self, now: Time, key: FlowKey, stalled: bool) -> Time {
        let later = now + self.settings.longest_wait;
        let Some(flow) = self.flows.get_mut(key) else {
            return later;
        };
        let Stage::Opening(attempts) = &mut flow.stage else {
            return later;
        };
        let Some(last) = attempts.last_mut().filter(|last| !last.timed_out) else {
            return later;
        };
        let Some(server) = self.view.servers.get_mut(last.server) else {
            last.timed_out = true;
            return later;
        };
        let due = last.sent_at + self.handshakes.timeout(&server.entry.zone, &self.settings);
        if now < due {
            return due;
        }
        last.timed_out = true;
        let answerable = last.sent_at <= flow.last_packet;
        if !stalled {
            self.record_timeouts(now, key);
        }
        if !answerable {
            return later;
        }
        self.try_next_server(now, key).unwrap_or(later)
    }

    /// Records handshake timeouts for the health of the backend servers that did not answer. An
    /// attempt counts only if the client sent a packet at that time or later; otherwise the client
    /// may have given up after a reset from another server.
    pub(super) fn record_timeouts(&mut self, now: Time, key: FlowKey) {
        let Some(flow) = self.flows.get_mut(key) else {
            return;
        };
        let Stage::Opening(attempts) = &mut flow.stage else {
            return;
        };
        let mut changed: SmallVec<[ServerKey; 2]> = SmallVec::new();
        for attempt in attempts.iter_mut() {
            if !attempt.timed_out || attempt.failure_recorded || attempt.sent_at > flow.last_packet
            {
                continue;
            }
            attempt.failure_recorded = true;
            let Some(server) = self.view.servers.get_mut(attempt.server) else {
                continue;
            };
            if server
                .health
                .record_failure(now, attempt.sent_at, &self.settings)
            {
                changed.push(attempt.server);
            }
            let zone = &server.entry.zone;
            if self
                .zone_health
                .record_failure(now, zone, attempt.sent_at, &self.settings)
            {
                self.log.push(Decision::ZoneHealth {
                    zone: zone.clone(),
                    suspect: true,
                });
            }
        }
        for server in changed {
            self.log_health(now, server);
            self.probe_suspect(now, server);
        }
    }

    /// Sends the SYN of a flow to a further backend server. Returns when that handshake times out.
    fn try_next_server(&mut self, now: Time, key: FlowKey) -> Option<Time> {
        let flow = self.flows.get_mut(key)?.clone();
        let tried = flow.servers();
        if tried.len() >= MAX_ATTEMPTS {
            return None;
        }
        let choice = self.choose(now, &flow.service, &tried);
        let Some((server, tier)) = choice.filter(|(_, tier)| *tier != Tier::Suspect) else {
            self.check_isolation(now);
            return None;
        };
        let (tuple, syn) = (flow.tuple, flow.syn?);
        self.counts.add(Count::Reopened);
        let cause = Cause::Unanswered;
        let Verdict::Open(target) = self.send_syn(now, Some(key), flow, server, tier, cause) else {
            return None;
        };
        self.actions.push(Action::Open {
            flow: tuple,
            syn,
            target,
        });
        let zone = &self.view.servers.get(server)?.entry.zone;
        Some(now + self.handshakes.timeout(zone, &self.settings))
    }

    pub(super) fn forget(&mut self, key: FlowKey) {
        if let Some(flow) = self.flows.remove(key) {
            self.release(&flow);
        }
    }

    pub(super) fn release(&mut self, flow: &Flow) {
        if !flow.active {
            return;
        }
        for key in flow.servers() {
            if let Some(server) = self.view.servers.get_mut(key) {
                server.active_flows = server.active_flows.saturating_sub(1);
            }
        }
    }
}
