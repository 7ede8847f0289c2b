//! What decides in an instance: the real decisions, or a policy that they are compared with.

use std::collections::{
    HashMap,
    HashSet, //
};
use std::sync::Arc;

use lovagespindle_decisions::Time;
use lovagespindle_decisions::dsr::balancer::{
    Balancer,
    Verdict, //
};
use lovagespindle_decisions::dsr::routes::RouteTable;
use lovagespindle_decisions::dsr::segment::{
    Segment,
    SegmentKind,
    Tag,
    Target, //
};
use lovagespindle_decisions::dsr::store_update::{
    Change,
    ServerEntry,
    StoreUpdate, //
};

use super::machines::MachineKey;
use super::servers::Server;
use super::world::World;

/// What decides in a process.
pub(super) enum Mind {
    Decisions(Box<Balancer>),
    InTurn(InTurn),
    Omniscient,
}

/// Sends flows to backend servers in turn.
#[derive(Default)]
pub(super) struct InTurn {
    pub(super) table: Option<RouteTable>,
    entries: HashMap<Arc<str>, (ServerEntry, Time)>,
    out: HashSet<Arc<str>>,
    next: usize,
}

impl InTurn {
    pub(super) fn learn(&mut self, now: Time, news: StoreUpdate) {
        for dated in news.changes {
            match dated.change {
                Change::Routes(table) => self.table = Some(table),
                Change::Server(id, entry) => {
                    let warm = now + entry.warmup_left;
                    self.entries.insert(id, (entry, warm));
                }
                Change::ServerRemoved(id) | Change::ServerInvalid(id, _) => {
                    self.entries.remove(&id);
                }
                Change::ZoneEvacuated(zone) => drop(self.out.insert(zone)),
                Change::ZoneRestored(zone) => drop(self.out.remove(&zone)),
            }
        }
    }

    pub(super) fn packet(&mut self, now: Time, segment: &Segment) -> Verdict {
        let target = |entry: &ServerEntry| Target {
            address: entry.address,
            identity: entry.identity,
            tag: Tag::of(entry.identity),
        };
        if !matches!(segment.kind, SegmentKind::Syn(_)) {
            let mut all = self.entries.values().map(|(entry, _)| target(entry));
            let found = all.find(|target| target.tag == segment.tag);
            return found.map_or(Verdict::Drop, Verdict::Forward);
        }
        let Some(table) = &self.table else {
            return Verdict::Drop;
        };
        let route = table.routes.get(&segment.flow.service);
        let Some(service) = route.and_then(|route| route.service(&segment.flow)) else {
            return Verdict::Reset { sequence: 0 };
        };
        let usable = |(entry, warm): &&(ServerEntry, Time)| {
            entry.service == *service
                && !entry.draining
                && *warm <= now
                && !self.out.contains(&entry.zone)
        };
        let mut usable: Vec<&ServerEntry> =
            self.entries.values().filter(usable).map(|e| &e.0).collect();
        usable.sort_by_key(|entry| entry.identity);
        if usable.is_empty() {
            return Verdict::Reset { sequence: 0 };
        }
        self.next += 1;
        Verdict::Open(target(usable[self.next % usable.len()]))
    }
}

impl World {
    /// Decides by what is true.
    pub(super) fn know_best(&mut self, key: MachineKey, segment: &Segment) -> Verdict {
        let target = |server: &Server| Target {
            address: server.address,
            identity: server.identity,
            tag: Tag::of(server.identity),
        };
        if !matches!(segment.kind, SegmentKind::Syn(_)) {
            let mut servers = self.servers.iter();
            let found = servers.find(|server| Tag::of(server.identity) == segment.tag);
            let zone = self.machines[key.0].zone;
            return match found {
                Some(server) if server.is_up() && self.is_open(zone, server.zone) => {
                    Verdict::Forward(target(server))
                }
                // The client may open another flow at once.
                Some(_) => Verdict::Reset { sequence: 0 },
                None => Verdict::Drop,
            };
        }
        let Some(service) = self.operator.service(segment.flow.service) else {
            return Verdict::Reset { sequence: 0 };
        };
        let zone = self.machines[key.0].zone;
        let reached = |server: &&Server| {
            server.service == service
                && server.takes_flows(self.now)
                && self.is_open(zone, server.zone)
                && !self.operator.is_out(server.zone)
                && !self.network.no_servers.contains(&key)
        };
        let load = |server: &&Server| {
            let away = u32::from(server.zone != zone);
            (server.load() * 4 + away, server.identity)
        };
        let best = self.servers.iter().filter(reached).min_by_key(load);
        best.map_or(Verdict::Drop, |server| Verdict::Open(target(server)))
    }
}
