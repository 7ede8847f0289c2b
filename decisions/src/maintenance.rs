//! Periodic maintenance of an instance: deadlines, queues, failures and idle flows.

use std::time::Duration;

use serde::{
    Deserialize,
    Serialize, //
};

use crate::action::Action;
use crate::event::{
    Health,
    LoadReport, //
};
use crate::flows::{
    FlowKey,
    Placement, //
};
use crate::ids::BackendServerId;
use crate::instance::Instance;
use crate::packet::Reason;
use crate::peer::MemberState;
use crate::requests::{
    Progress,
    RequestKey, //
};
use crate::servers::Phase;
use crate::state_change::StateChange;
use crate::time::Time;

/// Settings of the flows and requests that are served here.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct HostingSettings {
    /// Grace period for which a cancelled request may occupy its slot.
    #[serde(with = "humantime_serde")]
    pub grace: Duration,
    /// Time that a request without a deadline may run without a part of a response.
    #[serde(with = "humantime_serde")]
    pub stall: Duration,
    /// Time after sending an idempotent request after which a repeated attempt is sent again.
    #[serde(with = "humantime_serde")]
    pub repeat: Duration,
    /// Number of packets of a flow that its backend server leaves unanswered before the flow counts
    /// as silent.
    pub unanswered: u16,
    /// Time for which the backend server leaves packets unanswered before the flow counts as
    /// silent.
    #[serde(with = "humantime_serde")]
    pub silence: Duration,
    /// Time for which a redirect is stored whose flow has sent no other packet.
    #[serde(with = "humantime_serde")]
    pub unconfirmed: Duration,
    /// Time for which a leaving instance forwards packets after it has handed everything over.
    #[serde(with = "humantime_serde")]
    pub linger: Duration,
    /// Time that a leaving instance waits for requests that it cannot hand over.
    #[serde(with = "humantime_serde")]
    pub shutdown: Duration,
}

impl Default for HostingSettings {
    fn default() -> HostingSettings {
        HostingSettings {
            grace: Duration::from_secs(1),
            stall: Duration::from_secs(60),
            repeat: Duration::from_millis(250),
            unanswered: 3,
            silence: Duration::from_secs(5),
            unconfirmed: Duration::from_secs(10),
            linger: Duration::from_secs(2),
            shutdown: Duration::from_secs(30),
        }
    }
}

/// Time between two maintenance passes while requests are in progress or the instance is leaving.
const BUSY_INTERVAL: Duration = Duration::from_millis(20);

/// Time between two maintenance passes otherwise.
const IDLE_INTERVAL: Duration = Duration::from_millis(100);

/// Time between two sweeps over all flows.
const SWEEP_INTERVAL: Duration = Duration::from_secs(1);

impl Instance {
    pub(crate) fn tick(&mut self, now: Time, out: &mut Vec<Action>) {
        self.tick_membership(now, out);
        self.refresh_owners(now, out);
        if now < self.next_pass {
            return;
        }
        for id in self.servers.ids() {
            self.tick_server(now, id, out);
        }
        self.tick_requests(now, out);
        self.tick_config_sync(now, out);
        self.register_overrides(out);
        if now >= self.next_sweep {
            self.next_sweep = now + SWEEP_INTERVAL;
            self.sweep(now);
        }
        self.tick_leaving(now, out);
        let busy = !self.requests.is_empty() || self.leaving.is_some();
        self.next_pass = now + if busy { BUSY_INTERVAL } else { IDLE_INTERVAL };
    }

    fn tick_server(&mut self, now: Time, id: BackendServerId, out: &mut Vec<Action>) {
        let settings = &self.settings.admission;
        let Some(server) = self.servers.get_mut(id) else {
            return;
        };
        server.advance(now);
        if matches!(server.phase, Phase::Waiting { until } if now >= until) {
            server.phase = Phase::Active;
        }
        if !server.down && server.has_failed(settings, now) {
            server.down = true;
            out.push(Action::AppendTimeline(StateChange::ServerDown {
                backend_server: id,
            }));
            self.fail_flows(now, id, out);
        }
        self.expire_queue(now, id, out);
        self.drain_queue(now, id, out);
        let removed = !self.configuration.servers.contains_key(&id);
        if removed && self.servers.get(id).is_some_and(|s| s.flows == 0) {
            self.release(now, id, None, out);
        }
    }

    fn expire_queue(&mut self, now: Time, id: BackendServerId, out: &mut Vec<Action>) {
        loop {
            let first = self.servers.get(id).and_then(|s| s.queue.first().copied());
            match first {
                Some((until, key)) if until <= now => {
                    self.cancel_request(now, key, Reason::Overload, out);
                }
                _ => return,
            }
        }
    }

    fn tick_requests(&mut self, now: Time, out: &mut Vec<Action>) {
        let stall = self.settings.hosting.stall;
        let due: Vec<(RequestKey, bool)> = self
            .requests
            .iter()
            .filter_map(|(key, request)| match request.progress {
                Progress::Running => {
                    let until = request.deadline.unwrap_or(request.sent + stall);
                    (until <= now).then_some((key, false))
                }
                Progress::Cancelling { until } => (until <= now).then_some((key, true)),
                Progress::Queued { .. } => None,
            })
            .collect();
        for (key, cancelled) in due {
            if cancelled {
                self.end_request(key);
            } else {
                self.cancel_request(now, key, Reason::Deadline, out);
            }
        }
    }

    /// Ends the requests of a failed or restarted backend server. A request without a response that
    /// is idempotent or was never sent is retried on another backend server; the outcome of other
    /// requests is unknown, so their flows are closed.
    fn fail_flows(&mut self, now: Time, id: BackendServerId, out: &mut Vec<Action>) {
        let place = Placement::Hosted(id);
        let keys: Vec<FlowKey> = self
            .flows
            .iter()
            .filter(|(_, flow)| flow.placement == place)
            .map(|(key, _)| key)
            .collect();
        for key in keys {
            let Some(flow) = self.flows.get_mut(key) else {
                continue;
            };
            flow.opened = false;
            let Some(head) = flow.requests else {
                continue;
            };
            if !self.move_request(now, key, head, out) {
                self.close_flow(now, key, Reason::ServerFailed, out);
            }
        }
    }

    /// Moves the only request of a flow to another backend server if that cannot execute a
    /// non-idempotent request twice. Returns false if the flow has to be closed.
    fn move_request(
        &mut self,
        now: Time,
        flow: FlowKey,
        key: RequestKey,
        out: &mut Vec<Action>,
    ) -> bool {
        let Some(request) = self.requests.get(key) else {
            return false;
        };
        let repeatable = request.idempotent || request.sends == 0;
        let active = !matches!(request.progress, Progress::Cancelling { .. });
        if !repeatable || !active || request.next.is_some() || request.packet.is_none() {
            return false;
        }
        let Some(request) = self.end_request(key) else {
            return false;
        };
        let copy = request.clone();
        if self.retry(now, flow, request, out) {
            return true;
        }
        let possibly_executed = copy.sends > 0;
        self.report_end(
            flow,
            copy.id,
            copy.attempt,
            possibly_executed,
            Reason::ServerFailed,
            out,
        );
        true
    }

    pub(crate) fn on_health(
        &mut self,
        now: Time,
        id: BackendServerId,
        health: Health,
        out: &mut Vec<Action>,
    ) {
        let Some(server) = self.servers.get_mut(id) else {
            return;
        };
        server.health = health;
        match health {
            Health::Serving => {
                server.missed_polls = 0;
                // A false report is detected when packets stay unanswered.
                if std::mem::replace(&mut server.down, false) {
                    server.unanswered_since = None;
                    server.warmup.restart(now);
                    out.push(Action::AppendTimeline(StateChange::ServerUp {
                        backend_server: id,
                    }));
                }
            }
            Health::NotServing | Health::Unreachable => server.missed_polls += 1,
        }
        self.drain_queue(now, id, out);
    }

    pub(crate) fn on_load(
        &mut self,
        now: Time,
        id: BackendServerId,
        report: LoadReport,
        out: &mut Vec<Action>,
    ) {
        let Some(server) = self.servers.get_mut(id) else {
            return;
        };
        if server.record_report(report, now) {
            server.warmup.restart(now);
            out.push(Action::AppendTimeline(StateChange::ColdStart {
                backend_server: id,
            }));
            self.fail_flows(now, id, out);
        }
        self.drain_queue(now, id, out);
    }

    /// Removes idle flows, unconfirmed redirects, closed flows and outdated loads of other owners.
    fn sweep(&mut self, now: Time) {
        let hosting = &self.settings.hosting;
        let memory = self.settings.ownership.memory;
        let services = &self.configuration.services;
        let idle = |service| services.get(&service).map_or(memory, |s| s.idle);
        let old: Vec<FlowKey> = self
            .flows
            .iter()
            .filter(|(_, flow)| {
                let age = now.since(flow.last_seen);
                match flow.placement {
                    Placement::Hosted(_) => flow.requests.is_none() && age >= idle(flow.service),
                    Placement::Redirected { .. } if flow.opened => age >= idle(flow.service),
                    Placement::Redirected { .. } => age >= hosting.unconfirmed,
                    Placement::Closed(_) | Placement::Refused => age >= memory,
                }
            })
            .map(|(key, _)| key)
            .collect();
        for key in old {
            self.remove_flow(key);
        }
        self.handed_limits
            .retain(|_, (at, _)| now.since(*at) < memory);
        self.peer_loads.retain(|_, (at, _)| now.since(*at) < memory);
    }

    pub(crate) fn on_leave(&mut self, now: Time, out: &mut Vec<Action>) {
        if self.leaving.is_some() {
            return;
        }
        self.leaving = Some(now);
        self.next_pass = now;
        out.push(Action::AppendTimeline(StateChange::Leaving));
        self.membership.start_leaving(now);
        self.register(MemberState::Leaving, out);
        self.tick_membership(now, out);
        self.refresh_owners(now, out);
    }

    /// Stops when everything is handed over and no packet has to be forwarded any more, or after
    /// the shutdown timeout.
    fn tick_leaving(&mut self, now: Time, out: &mut Vec<Action>) {
        let Some(since) = self.leaving else {
            return;
        };
        let elapsed = now.since(since);
        let hosting = &self.settings.hosting;
        let done = self.requests.is_empty() && elapsed >= hosting.linger;
        if self.stopped || !(done || elapsed >= hosting.shutdown) {
            return;
        }
        self.stopped = true;
        self.membership.leave(now, out);
        out.push(Action::Deregister(self.member.id));
        out.push(Action::AppendTimeline(StateChange::Left));
        out.push(Action::Stop);
    }
}
