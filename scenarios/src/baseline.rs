//! What decides at an instance: this project, or a simpler way to compare it with.

use lovagespindle_decisions::instance::Settings;
use lovagespindle_decisions::status::OwnedStatus;
use siphasher::sip::SipHasher13;

use crate::prelude::*;

/// How often a baseline reads the store.
const REFRESH: Duration = Duration::from_secs(2);

/// What decides at an instance.
pub(crate) enum Mind {
    Decisions(Box<Instance>),
    Baseline(Box<Baseline>),
}

/// Consistent hashing, with a flow table of its own or without.
#[derive(Default)]
pub(crate) struct Baseline {
    configuration: Configuration,
    table: Option<FxHashMap<FlowId, BackendServerId>>,
    down: FxHashSet<BackendServerId>,
    refresh: Time,
}

impl Mind {
    pub(crate) fn new(policy: Policy, member: Member, seed: u64) -> Mind {
        let mut baseline = Baseline::default();
        match policy {
            Policy::Decisions => {
                let instance = Instance::new(member, Settings::default(), seed);
                return Mind::Decisions(Box::new(instance));
            }
            Policy::Tables => baseline.table = Some(FxHashMap::default()),
            Policy::Hashing => {}
        }
        Mind::Baseline(Box::new(baseline))
    }

    pub(crate) fn handle(&mut self, now: Time, event: Event, out: &mut Vec<Action>) {
        match self {
            Mind::Decisions(instance) => instance.handle(now, event, out),
            Mind::Baseline(baseline) => baseline.handle(now, event, out),
        }
    }

    pub(crate) fn deadline(&self) -> Option<Time> {
        match self {
            Mind::Decisions(instance) => instance.deadline(),
            Mind::Baseline(baseline) => Some(baseline.refresh),
        }
    }

    pub(crate) fn configuration(&self) -> &Configuration {
        match self {
            Mind::Decisions(instance) => instance.configuration(),
            Mind::Baseline(baseline) => &baseline.configuration,
        }
    }

    pub(crate) fn owned(&self, now: Time) -> Vec<OwnedStatus> {
        match self {
            Mind::Decisions(instance) => instance.status(now).owned,
            Mind::Baseline(_) => Vec::new(),
        }
    }
}

impl Baseline {
    fn handle(&mut self, now: Time, event: Event, out: &mut Vec<Action>) {
        match event {
            Event::Tick if now >= self.refresh => {
                self.refresh = now + REFRESH;
                out.push(Action::ReadStore {
                    after: self.configuration.revision,
                });
            }
            Event::Records(records) => {
                for record in records {
                    // A record that is already in force is refused, which is right.
                    let _ = self.configuration.apply(&record);
                }
                self.poll(out);
            }
            Event::Snapshot(configuration) => {
                self.configuration = (*configuration).clone();
                self.poll(out);
            }
            Event::Health {
                backend_server,
                health: Health::Serving,
            } => {
                self.down.remove(&backend_server);
            }
            Event::Health { backend_server, .. } => {
                self.down.insert(backend_server);
            }
            Event::CallerPacket(packet) => self.forward(packet, out),
            Event::ServerPacket { packet, .. } => out.push(Action::SendCaller(packet)),
            Event::Leave => out.push(Action::Stop),
            _ => {}
        }
    }

    fn poll(&self, out: &mut Vec<Action>) {
        let servers = self.configuration.servers.values();
        out.extend(servers.map(|s| Action::StartPolling {
            backend_server: s.id,
            health: s.health,
        }));
    }

    fn forward(&mut self, packet: Packet, out: &mut Vec<Action>) {
        let kept = self
            .table
            .as_ref()
            .and_then(|t| t.get(&packet.flow))
            .copied();
        let Some(id) = kept.or_else(|| self.choose(&packet)) else {
            return;
        };
        if let Some(table) = &mut self.table {
            match packet.kind {
                PacketKind::Close => table.remove(&packet.flow),
                _ => table.insert(packet.flow, id),
            };
        }
        if let Some(server) = self.configuration.servers.get(&id) {
            let (backend_server, address) = (server.id, server.address);
            out.push(Action::SendServer {
                backend_server,
                address,
                packet,
            });
        }
    }

    fn choose(&self, packet: &Packet) -> Option<BackendServerId> {
        let c = &self.configuration;
        let usable = c.servers.values().filter(|s| {
            let pool = &c.pools[&s.pool];
            pool.service == packet.service
                && c.zones[&pool.zone].state == ZoneState::In
                && s.state == ServerState::Active
                && !self.down.contains(&s.id)
        });
        let score = |id: BackendServerId| SipHasher13::new().hash(&key(packet.flow, id));
        usable.map(|s| s.id).max_by_key(|id| score(*id))
    }
}

fn key(flow: FlowId, server: BackendServerId) -> [u8; 20] {
    let mut key = [0; 20];
    key[..16].copy_from_slice(&flow.0.to_be_bytes());
    key[16..].copy_from_slice(&server.0.to_be_bytes());
    key
}
