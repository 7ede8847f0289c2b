//! Handling of SYNs: the choice of a backend server, retransmissions, and refusals.

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
    Decision,
    Refusal, //
};
use super::flows::{
    Attempt,
    Flow,
    FlowKey,
    Stage, //
};
use super::placement::{
    PlacementContext,
    Tier,
    choose, //
};
use super::routes::Route;
use super::segment::{
    FlowTuple,
    Syn, //
};
use super::servers::ServerKey;
use super::timers::OPEN_TIMEOUT;

/// Maximum number of backend servers that are sent the SYN of one flow. Clients retransmit a SYN
/// twice.
pub(super) const MAX_ATTEMPTS: usize = 4;

/// Time for which a SYN is buffered before the first update of the store. A client gives up 800 ms
/// after its last retransmission.
const BUFFER_TIME: Duration = Duration::from_millis(800);

/// Maximum number of buffered SYNs: about one second of them at ten times the current rate.
const MAX_BUFFERED: usize = 1_000;

impl Balancer {
    pub(super) fn open(&mut self, now: Time, tuple: FlowTuple, syn: Syn) -> Verdict {
        if let Some(key) = self.flows.find(&tuple) {
            let same = |flow: &&mut Flow| match flow.syn {
                Some(first) => first.sequence == syn.sequence,
                // A late retransmission of the SYN that another instance handled.
                None => syn.retransmits > 0 && now.since(flow.opened_at) < OPEN_TIMEOUT,
            };
            if let Some(flow) = self.flows.get_mut(key).filter(same) {
                flow.last_packet = now;
                flow.syn = Some(syn);
                self.record_timeouts(now, key);
                return self.reopen(now, key);
            }
            self.forget(key);
        }
        let Some(table) = self.view.table.clone() else {
            return self.buffer(now, tuple, syn);
        };
        let Some(route) = table.routes.get(&tuple.service) else {
            return self.refuse(now, tuple, syn, Refusal::NoRoute);
        };
        self.open_first(now, tuple, syn, route)
    }

    /// Buffers a SYN until the first update of the store.
    fn buffer(&mut self, now: Time, tuple: FlowTuple, syn: Syn) -> Verdict {
        while self
            .buffered
            .front()
            .is_some_and(|(at, ..)| now.since(*at) >= BUFFER_TIME)
        {
            self.buffered.pop_front();
        }
        let buffered = self.buffered.len() < MAX_BUFFERED;
        if buffered {
            self.buffered.push_back((now, tuple, syn));
        }
        self.log.push(Decision::Buffer {
            flow: tuple,
            buffered,
        });
        Verdict::Drop
    }

    /// Opens the flows of buffered SYNs whose clients still wait.
    pub(super) fn open_buffered(&mut self, now: Time) {
        for (at, flow, syn) in std::mem::take(&mut self.buffered) {
            if now.since(at) >= BUFFER_TIME {
                continue;
            }
            match self.open(now, flow, syn) {
                Verdict::Open(target) => self.actions.push(Action::Open { flow, syn, target }),
                Verdict::Reset { sequence } => self.actions.push(Action::Reset { flow, sequence }),
                Verdict::Forward(_) | Verdict::Drop | Verdict::Hold => {}
            }
        }
    }

    fn open_first(&mut self, now: Time, tuple: FlowTuple, syn: Syn, route: &Route) -> Verdict {
        let service = route.service(&tuple);
        let choice = service.and_then(|service| self.choose(now, service, &[]));
        let (Some(service), Some((server, tier))) = (service, choice) else {
            return self.refuse(now, tuple, syn, Refusal::NoServer);
        };
        let flow = Flow {
            tuple,
            service: service.clone(),
            route: route.name.clone(),
            syn: Some(syn),
            opened_at: now,
            stage: Stage::Opening(SmallVec::new()),
            last_packet: now,
            sent_end: None,
            sent_at: now,
            acked: 0,
            active: true,
        };
        self.counts.add(Count::Opened);
        if self.view.age(now) >= self.settings.max_age() {
            self.counts.add(Count::OpenedStale);
        }
        if tier == Tier::Suspect {
            self.check_isolation(now);
        }
        self.send_syn(now, None, flow, server, tier, Cause::First)
    }

    /// Sends a SYN to a backend server and stores the record of the flow.
    pub(super) fn send_syn(
        &mut self,
        now: Time,
        key: Option<FlowKey>,
        mut flow: Flow,
        server: ServerKey,
        tier: Tier,
        cause: Cause,
    ) -> Verdict {
        let (version, view_age) = (self.view.version(), self.view.age(now));
        let Some(chosen) = self.view.servers.get_mut(server) else {
            return Verdict::Drop;
        };
        self.log.push(Decision::Open {
            flow: flow.tuple,
            cause,
            route: flow.route.clone(),
            version,
            server: chosen.id.clone(),
            zone: chosen.entry.zone.clone(),
            tier: tier.into(),
            active_flows: chosen.active_flows,
            view_age,
        });
        chosen.active_flows += 1;
        if tier == Tier::Trial {
            chosen.health.record_trial(now);
            let zone = &chosen.entry.zone;
            self.zone_health.record_trial(now, zone, &self.settings);
        }
        let target = chosen.target;
        let due = now + self.handshakes.timeout(&chosen.entry.zone, &self.settings);
        if let Stage::Opening(attempts) = &mut flow.stage {
            attempts.push(Attempt {
                server,
                sent_at: now,
                timed_out: false,
                failure_recorded: false,
            });
        }
        match key {
            Some(key) => {
                if let Some(record) = self.flows.get_mut(key) {
                    *record = flow;
                }
            }
            None if self.flows.len() < self.settings.max_flows => {
                self.flows.insert(flow, due);
            }
            None => self.release(&flow),
        }
        Verdict::Open(target)
    }

    /// Handles a retransmitted SYN: tries a further backend server if the last attempt timed out, or
    /// if its server may get no flows any more, and otherwise sends the SYN to the same one again.
    fn reopen(&mut self, now: Time, key: FlowKey) -> Verdict {
        let Some(flow) = self.flows.get_mut(key).cloned() else {
            return Verdict::Drop;
        };
        let Stage::Opening(attempts) = &flow.stage else {
            return Verdict::Drop;
        };
        let may_open = attempts
            .last()
            .is_some_and(|last| self.may_open(now, last.server));
        let waits = attempts.last().is_some_and(|last| !last.timed_out);
        let choice = if may_open && waits || attempts.len() >= MAX_ATTEMPTS {
            None
        } else {
            self.choose(now, &flow.service, &flow.servers())
        };
        match choice {
            Some((server, tier)) => {
                self.counts.add(Count::Reopened);
                self.send_syn(now, Some(key), flow, server, tier, Cause::Retransmit)
            }
            None if may_open => self.retransmit(&flow),
            None => Verdict::Drop,
        }
    }

    /// Returns whether a backend server may still get new flows.
    fn may_open(&self, now: Time, server: ServerKey) -> bool {
        let server = self.view.servers.get(server);
        server.is_some_and(|server| self.placement(now).tier(server).is_some())
    }

    /// Sends the SYN to the backend server of the last attempt again.
    fn retransmit(&self, flow: &Flow) -> Verdict {
        let last = flow.servers().last().copied();
        let server = last.and_then(|key| self.view.servers.get(key));
        server.map_or(Verdict::Drop, |server| Verdict::Open(server.target))
    }

    fn refuse(&mut self, now: Time, flow: FlowTuple, syn: Syn, refusal: Refusal) -> Verdict {
        // A retransmission may arrive after the flow was opened through another instance.
        let reset = syn.retransmits == 0;
        self.log.push(Decision::Refuse {
            flow,
            refusal,
            reset,
            version: self.view.version(),
            view_age: self.view.age(now),
        });
        match reset {
            true => Verdict::Reset { sequence: 0 },
            false => Verdict::Drop,
        }
    }

    pub(super) fn choose(
        &mut self,
        now: Time,
        service: &str,
        tried: &[ServerKey],
    ) -> Option<(ServerKey, Tier)> {
        // The random generator changes while the context is in use.
        let mut random = self.random.clone();
        let context = self.placement(now);
        let choice = choose(&self.view.servers, service, tried, &context, &mut random);
        self.random = random;
        choice
    }

    /// Returns the inputs of placements that all backend servers have in common.
    fn placement(&self, now: Time) -> PlacementContext<'_> {
        PlacementContext {
            now,
            zone: &self.zone,
            evacuated: &self.view.evacuated,
            last_confirmed: self.view.last_confirmed.unwrap_or(Time::ZERO),
            steady_since: self.view.steady_since(),
            max_warmup: self.view.warmup(),
            settings: &self.settings,
            zone_health: &self.zone_health,
        }
    }
}
