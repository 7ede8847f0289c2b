//! Drives the decisions of one instance in zone `a`, with clients that open flows and backend
//! servers that answer within 10 ms.

use std::collections::HashMap;
use std::net::{
    Ipv4Addr,
    SocketAddrV4, //
};
use std::time::Duration;

use lovagespindle_decisions::Time;
use lovagespindle_decisions::dsr::balancer::{
    Action,
    Balancer,
    Verdict, //
};
use lovagespindle_decisions::dsr::decision::Decision;
use lovagespindle_decisions::dsr::routes::{
    Route,
    RouteTable,
    Share, //
};
use lovagespindle_decisions::dsr::segment::{
    FlowTuple,
    Position,
    Segment,
    SegmentKind,
    Syn,
    Tag,
    Target, //
};
use lovagespindle_decisions::dsr::server_loss::{
    ProbeAnswer,
    ServerProbe, //
};
use lovagespindle_decisions::dsr::settings::Settings;
use lovagespindle_decisions::dsr::store_update::{
    Change,
    EntryVersion,
    Revision,
    Revisioned,
    ServerEntry,
    StoreUpdate,
    UpdateKind, //
};

/// Defines a test for each named case.
macro_rules! cases {
    ($($(#[$doc:meta])* $name:ident => $body:block)*) => {
        $($(#[$doc])* #[test] fn $name() $body)*
    };
}
pub(crate) use cases;

pub(crate) fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

/// The address to which clients open flows.
const SERVICE: SocketAddrV4 = SocketAddrV4::new(Ipv4Addr::new(198, 18, 0, 1), 443);

/// Time that a handshake takes.
const HANDSHAKE: Duration = ms_const(10);

const fn ms_const(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

pub(crate) fn entry(number: u64, zone: &str) -> ServerEntry {
    ServerEntry {
        version: EntryVersion::default(),
        service: "desk".into(),
        identity: number,
        address: SocketAddrV4::new(Ipv4Addr::new(10, 0, 0, number as u8), 8080),
        zone: zone.into(),
        slots: 4,
        draining: false,
        warmup_left: Duration::ZERO,
    }
}

pub(crate) fn table(version: u64, services: &[SocketAddrV4]) -> RouteTable {
    let route = Route {
        name: "view".into(),
        shares: [Share {
            service: "desk".into(),
            weight: 1.0,
        }]
        .into(),
    };
    RouteTable {
        version,
        routes: services.iter().map(|at| (*at, route.clone())).collect(),
        idle: ms(15_000),
        warmup: ms(2_000),
    }
}

pub(crate) struct Rig {
    balancer: Balancer,
    now: Time,
    revision: u64,
    /// Number of times that the store was restored.
    era: u64,
    port: u16,
    unresponsive: Vec<u64>,
    /// Backend servers that do not listen: they reset the flow, and its client gives up.
    refusing: Vec<u64>,
    abandoned: Vec<FlowTuple>,
    syns: HashMap<u64, u32>,
    last_flow: Option<FlowTuple>,
    probe_rounds: u32,
    /// Whether backend servers answer the probes that follow the start.
    reached: bool,
    /// Actions that were taken to answer these probes.
    taken: Vec<Action>,
}

impl Rig {
    pub(crate) fn new() -> Rig {
        Rig {
            balancer: Balancer::new("a", Settings::default(), 1),
            now: Time::from_millis(1_000),
            revision: 0,
            era: 0,
            port: 1_000,
            unresponsive: Vec::new(),
            refusing: Vec::new(),
            abandoned: Vec::new(),
            syns: HashMap::new(),
            last_flow: None,
            probe_rounds: 0,
            reached: true,
            taken: Vec::new(),
        }
    }

    /// Serves one route with two backend servers in zone `a` and two in `b`.
    pub(crate) fn serve(&mut self) {
        self.serve_only(&[(1, "a"), (2, "a"), (3, "b"), (4, "b")]);
    }

    pub(crate) fn serve_only(&mut self, servers: &[(u64, &str)]) {
        self.revision += 1;
        self.apply_snapshot(servers, UpdateKind::Snapshot);
    }

    /// Applies the first documents of a snapshot that holds the routes and these backend servers.
    pub(crate) fn serve_part(&mut self, servers: &[(u64, &str)]) {
        self.apply_snapshot(servers, UpdateKind::Part);
    }

    fn revision(&self) -> Revision {
        Revision {
            era: self.era,
            number: self.revision,
        }
    }

    /// Restores the store from a copy that has these backend servers and the first routes, and applies
    /// its snapshot.
    pub(crate) fn restore_store(&mut self, servers: &[(u64, &str)]) {
        self.era += 1;
        self.revision = 1;
        self.apply_snapshot(servers, UpdateKind::Snapshot);
    }

    fn apply_snapshot(&mut self, servers: &[(u64, &str)], kind: UpdateKind) {
        let revision = self.revision();
        let servers = servers.iter().map(|(number, zone)| {
            Change::Server(format!("s{number}").into(), entry(*number, zone))
        });
        let routes = Change::Routes(table(1, &[SERVICE]));
        let revisioned = |change| Revisioned { revision, change };
        let update = StoreUpdate {
            changes: servers.chain([routes]).map(revisioned).collect(),
            revision,
            kind,
            age: Duration::ZERO,
        };
        self.balancer.apply_update(self.now, update);
        self.answer_start_check();
    }

    /// Serves as [`Rig::serve`] does, with a zone that was restored after its backend servers wrote
    /// their entries. The removal precedes older changes, as it may in a snapshot.
    pub(crate) fn serve_after_restore(&mut self, zone: &str) {
        let restored = Revisioned {
            revision: Revision::from(2),
            change: Change::ZoneRestored(zone.into()),
        };
        let servers = [(1, "a"), (2, "a"), (3, "b"), (4, "b")];
        let servers = servers.iter().map(|(number, zone)| {
            Change::Server(format!("s{number}").into(), entry(*number, zone))
        });
        let routes = Change::Routes(table(1, &[SERVICE]));
        let revisioned = |change| Revisioned {
            revision: Revision::from(1),
            change,
        };
        self.revision = 2;
        let update = StoreUpdate {
            changes: [restored]
                .into_iter()
                .chain(servers.chain([routes]).map(revisioned))
                .collect(),
            revision: Revision::from(2),
            kind: UpdateKind::Snapshot,
            age: Duration::ZERO,
        };
        self.balancer.apply_update(self.now, update);
        self.answer_start_check();
    }

    /// Lets an instance that starts reach no backend server by its probes.
    pub(crate) fn cut_off(&mut self) {
        self.reached = false;
    }

    /// Answers the probes that follow the start.
    fn answer_start_check(&mut self) {
        for action in self.balancer.take_actions().collect::<Vec<_>>() {
            match action {
                Action::Probe(addresses) if self.reached => {
                    self.balancer.record_probes(self.now, addresses.len(), 1);
                }
                other => self.taken.push(other),
            }
        }
    }

    pub(crate) fn apply(&mut self, change: Change) {
        self.revision += 1;
        let revision = self.revision();
        let update = StoreUpdate {
            changes: vec![Revisioned { revision, change }],
            revision,
            kind: UpdateKind::Delta(Revision {
                number: self.revision - 1,
                ..self.revision()
            }),
            age: Duration::ZERO,
        };
        self.balancer.apply_update(self.now, update);
    }

    /// Applies an update that confirms the current revision without changes.
    pub(crate) fn confirm(&mut self) {
        let revision = self.revision();
        let update = StoreUpdate {
            changes: Vec::new(),
            revision,
            kind: UpdateKind::Delta(revision),
            age: Duration::ZERO,
        };
        self.balancer.apply_update(self.now, update);
    }

    /// Applies an update of the store before it was restored, with many changes since.
    pub(crate) fn confirm_earlier_era(&mut self) {
        let revision = Revision::from(1_000);
        let update = StoreUpdate {
            changes: Vec::new(),
            revision,
            kind: UpdateKind::Snapshot,
            age: Duration::ZERO,
        };
        self.balancer.apply_update(self.now, update);
    }

    pub(crate) fn view_age(&self) -> Duration {
        self.balancer.view_age(self.now)
    }

    /// Advances the time while the store confirms the current revision twice a second.
    pub(crate) fn confirm_for(&mut self, duration: Duration) {
        let end = self.now + duration;
        while self.now < end {
            self.advance(end.since(self.now).min(ms(500)));
            self.confirm();
        }
        self.advance(ms(250));
    }

    /// Applies a change, leaving out the one before it.
    pub(crate) fn apply_after_gap(&mut self, change: Change) {
        self.revision += 1;
        self.apply(change);
    }

    /// Advances the time, and runs the ticks that are due.
    pub(crate) fn advance(&mut self, duration: Duration) {
        let end = self.now + duration;
        loop {
            let due = self.balancer.deadline();
            if due > end {
                break;
            }
            self.now = self.now.max(due);
            self.balancer.tick(self.now);
        }
        self.now = end;
    }

    pub(crate) fn actions(&mut self) -> Vec<Action> {
        let mut actions = std::mem::take(&mut self.taken);
        actions.extend(self.balancer.take_actions());
        let probes = actions.iter().filter(|a| matches!(a, Action::Probe(_)));
        self.probe_rounds += probes.count() as u32;
        actions
    }

    /// Returns the number of rounds of probes that were started.
    pub(crate) fn probe_rounds(&mut self) -> u32 {
        self.actions();
        self.probe_rounds
    }

    pub(crate) fn record_probes(&mut self, probed: usize, reached: usize) {
        self.balancer.take_log().for_each(drop);
        self.balancer.record_probes(self.now, probed, reached);
    }

    /// Returns the number of flows that have a record.
    pub(crate) fn flows(&self) -> usize {
        self.balancer.flows()
    }

    pub(crate) fn is_ready(&self) -> bool {
        self.balancer.is_ready()
    }

    /// Returns how often the health state of a backend server changed since the last call.
    pub(crate) fn health_changes(&mut self) -> usize {
        let log = self.balancer.take_log();
        log.filter(|d| matches!(d, Decision::Health { .. })).count()
    }

    /// Returns how often the health state of a zone changed since the last call.
    pub(crate) fn zone_changes(&mut self) -> usize {
        let log = self.balancer.take_log();
        log.filter(|d| matches!(d, Decision::ZoneHealth { .. }))
            .count()
    }

    pub(crate) fn next_segment(&mut self) -> Segment {
        self.port += 1;
        let flow = FlowTuple {
            client: SocketAddrV4::new(Ipv4Addr::new(100, 64, 0, 1), self.port),
            service: SERVICE,
        };
        Segment {
            flow,
            kind: SegmentKind::Syn(Syn {
                sequence: 7,
                retransmits: 0,
                checksum: 9,
            }),
            tag: Tag::default(),
            position: Position::default(),
        }
    }

    pub(crate) fn packet(&mut self, segment: &Segment) -> Verdict {
        self.last_flow = Some(segment.flow);
        self.balancer.packet(self.now, segment)
    }

    pub(crate) fn send_syn(&mut self) -> Verdict {
        let segment = self.next_segment();
        self.packet(&segment)
    }

    /// Opens a flow, and panics if no backend server is found.
    pub(crate) fn open(&mut self) -> Target {
        match self.send_syn() {
            Verdict::Open(target) => target,
            other => panic!("the flow does not open: {other:?}"),
        }
    }

    /// Retransmits the SYN of the last flow.
    pub(crate) fn retransmit(&mut self) -> Verdict {
        let flow = self.last_flow.expect("a flow was opened");
        let syn = Syn {
            sequence: 7,
            retransmits: 1,
            checksum: 9,
        };
        let retransmission = segment(flow, SegmentKind::Syn(syn), Tag::default());
        self.balancer.packet(self.now, &retransmission)
    }

    /// Opens a flow and returns the zone of its backend server.
    pub(crate) fn open_zone(&mut self) -> &'static str {
        self.balancer.take_log().for_each(drop);
        self.open();
        let opened = self
            .balancer
            .take_log()
            .find_map(|decision| match decision {
                Decision::Open { zone, .. } => Some(zone),
                _ => None,
            });
        match opened.as_deref() {
            Some("a") => "a",
            Some("b") => "b",
            other => panic!("zone {other:?}"),
        }
    }

    /// Sends a data packet on the last flow.
    pub(crate) fn send_data(&mut self, tag: Tag) -> Verdict {
        let flow = self.last_flow.expect("a flow was opened");
        self.balancer
            .packet(self.now, &segment(flow, SegmentKind::Data, tag))
    }

    /// Sends a packet with data on a flow. `end` is the sequence number after the data, and `acked`
    /// what the client received.
    pub(crate) fn send_request(
        &mut self,
        flow: FlowTuple,
        tag: Tag,
        (end, acked): (u32, u32),
    ) -> Verdict {
        let mut packet = segment(flow, SegmentKind::Data, tag);
        packet.position = Position {
            end,
            length: 100,
            acked,
        };
        self.balancer.packet(self.now, &packet)
    }

    pub(crate) fn last_flow(&self) -> FlowTuple {
        self.last_flow.expect("a flow was opened")
    }

    /// Opens a flow and completes its handshake with the first request.
    pub(crate) fn open_long_flow(&mut self) -> (FlowTuple, Target) {
        let target = self.open();
        let flow = self.last_flow();
        self.advance(HANDSHAKE);
        self.send_request(flow, target.tag, (100, 1));
        (flow, target)
    }

    /// Answers the pending probes of single servers. Returns how many there were.
    pub(crate) fn answer_server_probes(&mut self, after: Duration, answer: ProbeAnswer) -> usize {
        let started_at = self.now;
        let actions = self.actions();
        let servers: Vec<_> = actions
            .iter()
            .filter_map(|action| match action {
                Action::ProbeServer { server, .. } => Some(*server),
                _ => None,
            })
            .collect();
        self.advance(after);
        for server in &servers {
            let probe = ServerProbe {
                server: *server,
                started_at,
                answer,
            };
            self.balancer.record_server_probe(self.now, probe);
        }
        servers.len()
    }

    /// Lets the pending probes of single servers fail. Returns their number, and the number of flows
    /// that were reset since the last call of [`Rig::actions`].
    pub(crate) fn answer_zone_probes(&mut self, after: Duration) -> (usize, usize) {
        let started_at = self.now;
        let before = self.actions();
        let mut resets = before
            .iter()
            .filter(|a| matches!(a, Action::Reset { .. }))
            .count();
        self.advance(after);
        let mut probes = 0;
        for action in before {
            if let Action::ProbeServer { server, .. } = action {
                probes += 1;
                let answer = ProbeAnswer::Silent;
                self.balancer.record_server_probe(
                    self.now,
                    ServerProbe {
                        server,
                        started_at,
                        answer,
                    },
                );
            }
        }
        resets += self.resets().len();
        (probes, resets)
    }

    /// Returns the flows that were reset without a packet of theirs, with the sequence numbers.
    pub(crate) fn resets(&mut self) -> Vec<(FlowTuple, u32)> {
        let actions = self.actions();
        let resets = actions.into_iter().filter_map(|action| match action {
            Action::Reset { flow, sequence } => Some((flow, sequence)),
            _ => None,
        });
        resets.collect()
    }

    pub(crate) fn stop_answers(&mut self, server: u64) {
        self.unresponsive.push(server);
    }

    pub(crate) fn resume_answers(&mut self, server: u64) {
        self.unresponsive
            .retain(|unresponsive| *unresponsive != server);
    }

    pub(crate) fn refuse_flows(&mut self, server: u64) {
        self.refusing.push(server);
    }

    /// Returns the number of SYNs that [`Rig::run_flows`] sent to a backend server.
    pub(crate) fn syn_count(&self, server: u64) -> u32 {
        self.syns.get(&server).copied().unwrap_or(0)
    }

    /// Opens flows one after the other. Backend servers that respond answer them, and the clients
    /// then close them.
    pub(crate) fn run_flows(&mut self, flows: u32, interval: Duration) {
        for _ in 0..flows {
            let target = self.open();
            let flow = self.last_flow.expect("a flow was opened");
            self.answer(flow, target);
            self.advance(interval);
            for action in self.actions() {
                if let Action::Open { flow, target, .. } = action {
                    self.answer(flow, target);
                }
            }
        }
    }

    fn answer(&mut self, flow: FlowTuple, target: Target) {
        *self.syns.entry(target.identity).or_default() += 1;
        if self.refusing.contains(&target.identity) {
            self.abandoned.push(flow);
        }
        if self.unresponsive.contains(&target.identity) || self.abandoned.contains(&flow) {
            return;
        }
        self.now = self.now + HANDSHAKE;
        for kind in [SegmentKind::Data, SegmentKind::Fin] {
            self.balancer
                .packet(self.now, &segment(flow, kind, target.tag));
        }
    }
}

fn segment(flow: FlowTuple, kind: SegmentKind, tag: Tag) -> Segment {
    Segment {
        flow,
        kind,
        tag,
        position: Position::default(),
    }
}
