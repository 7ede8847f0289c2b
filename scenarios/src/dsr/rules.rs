//! The rules of the platform, judged by what clients and backend servers see.

use std::net::SocketAddrV4;
use std::time::Duration;

use lovagespindle_decisions::Time;

use super::clients::{
    FlowKey,
    Stage, //
};
use super::machines::{
    MachineKey,
    State, //
};
use super::operator::APPLY;
use super::servers::ServerKey;
use super::world::World;

/// Rules with a time bound hold for instances that were left alone for this long.
const CONTACT: Duration = Duration::from_secs(4);
/// When a draining backend server gets no new flows any more.
const DRAIN: Duration = Duration::from_secs(3);
/// When a zone out of service gets no new flows any more.
const EVACUATE: Duration = Duration::from_secs(5);
/// How many requests a cold backend server may get in a second.
const COLD: usize = 5;
/// How many packets of an open flow may go astray in that time.
const STRAYS: (u32, Duration) = (3, Duration::from_secs(2));

/// A rule of the platform.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd, strum::Display)]
#[strum(serialize_all = "snake_case")]
pub enum Rule {
    /// A flow opens only at a service that its route leads to.
    Route,
    /// Changes of routes come into force.
    Config,
    /// A draining backend server gets no new flows.
    Drain,
    /// A zone out of service gets no new flows.
    Evacuation,
    /// A cold backend server gets few requests.
    Cold,
    /// An open flow is not reset.
    Reset,
    /// The packets of an open flow reach its backend server.
    Stray,
}

/// A broken rule.
#[derive(Clone, Debug)]
pub struct Breach {
    /// Which one.
    pub rule: Rule,
    /// Seconds since the instances started.
    pub at: f64,
    /// What was seen.
    pub text: String,
}

/// What was judged so far.
#[derive(Debug, Default)]
pub(super) struct Rules {
    pub(super) breaches: Vec<Breach>,
}

impl World {
    /// Returns the rules that were broken.
    pub fn breaches(&self) -> &[Breach] {
        &self.rules.breaches
    }

    fn breach(&mut self, rule: Rule, text: String) {
        let at = self.now.since_start().as_secs_f64();
        self.rules.breaches.push(Breach { rule, at, text });
    }

    /// Returns whether rules with a time bound hold for an instance.
    fn in_touch(&self, key: MachineKey) -> bool {
        let calm = |since: Time| self.now.since(since) >= CONTACT;
        let machine = &self.machines[key.0];
        machine.state == State::Up
            && calm(machine.disturbed)
            && self.store_takes_writes()
            && self.store.disturbed.is_none_or(calm)
            && !self.network.no_store.contains(&key)
    }

    /// Judges the opening of a flow at a backend server.
    pub(super) fn judge_opening(
        &mut self,
        key: ServerKey,
        flow: FlowKey,
        (arrived, by): (Time, MachineKey),
    ) {
        let address = self.flows[flow.0].tuple.service;
        let server = &self.servers[key.0];
        let (service, zone) = (server.service, server.zone);
        let late = |since: Option<Time>, bound: Duration| {
            since.is_some_and(|since| arrived.since(since) > bound)
        };
        let drained = late(server.drained, DRAIN);
        let out = late(self.operator.out[zone], EVACUATE);
        let mut routes = self.operator.routes.iter();
        let route = routes.find(|route| route.address == address);
        let right = route.is_some_and(|route| route.service == service);
        let removed = route.and_then(|route| route.removed);
        let stale = removed.is_some_and(|removed| self.flows[flow.0].started > removed + APPLY);
        if !right {
            self.breach(Rule::Route, format!("{address} at service {service}"));
        }
        if stale && self.in_touch(by) {
            self.breach(Rule::Config, format!("removed route {address} was served"));
        }
        if drained && self.in_touch(by) {
            self.breach(Rule::Drain, format!("server {} by {}", key.0, by.0));
        }
        if out && self.in_touch(by) {
            self.breach(Rule::Evacuation, format!("zone {zone} by {}", by.0));
        }
        self.judge_cold(key, arrived);
    }

    fn judge_cold(&mut self, key: ServerKey, arrived: Time) {
        let server = &mut self.servers[key.0];
        if arrived >= server.warm {
            return;
        }
        let openings = &mut server.cold_openings;
        openings.push_back(arrived);
        while openings
            .front()
            .is_some_and(|first| arrived.since(*first) >= Duration::from_secs(1))
        {
            openings.pop_front();
        }
        if openings.len() > COLD {
            let count = openings.len();
            self.breach(Rule::Cold, format!("server {}: {count} in a second", key.0));
        }
    }

    /// Judges a reset that an instance sends.
    pub(super) fn judge_reset(&mut self, key: MachineKey, flow: FlowKey) {
        let state = &self.flows[flow.0];
        if state.stage != Stage::Done
            && let Some((server, _)) = state.opened
            && self.is_calm(server)
            && self.is_steady(
                self.machines[key.0].zone,
                self.servers[server.0].zone,
                CONTACT,
            )
            && !self.network.no_servers.contains(&key)
            && self.in_touch(key)
        {
            let tuple = state.tuple;
            self.breach(Rule::Reset, format!("{tuple} by {}", key.0));
        }
        // A flow that opened was not refused, whatever ends it later.
        if self.flows[flow.0].opened.is_some() {
            return;
        }
        let address = self.flows[flow.0].tuple.service;
        let route = self.operator.routes.iter().find(|r| r.address == address);
        let known = route.is_some_and(|route| {
            let added = self.flows[flow.0].started.since(route.added) > APPLY;
            route.removed.is_none() && added
        });
        // Without a backend server that may be used, resets are right.
        let classes = self.site.classes.len();
        let extra = self
            .operator
            .routes
            .iter()
            .skip(classes)
            .any(|r| r.address == address);
        if known && extra && self.may_serve(address) && self.in_touch(key) {
            self.breach(Rule::Config, format!("new route {address} was refused"));
        }
    }

    /// Judges a packet that reached a backend server.
    pub(super) fn judge_delivery(&mut self, key: ServerKey, flow: FlowKey) {
        let now = self.now;
        let Some((own, _)) = self.flows[flow.0].opened else {
            return;
        };
        let calm = self.is_calm(own);
        let state = &mut self.flows[flow.0];
        if key == own || state.stage == Stage::Done {
            state.strays = None;
            return;
        }
        let (count, since) = state.strays.unwrap_or((0, now));
        state.strays = Some((count + 1, since));
        if count + 1 >= STRAYS.0 && now.since(since) >= STRAYS.1 && calm {
            let tuple = state.tuple;
            self.breach(Rule::Stray, format!("{tuple} at {}, not {}", key.0, own.0));
        }
    }

    /// Returns whether a zone with backend servers of the route's service is not evacuated.
    fn may_serve(&self, address: SocketAddrV4) -> bool {
        let service = self.operator.service(address);
        self.servers.iter().any(|server| {
            let listed = Some(server.service) == service && server.drained.is_none();
            listed && !self.operator.is_out(server.zone)
        })
    }

    fn is_calm(&self, key: ServerKey) -> bool {
        let server = &self.servers[key.0];
        server.is_up() && self.now.since(server.disturbed) >= CONTACT
    }
}
