//! Tests of an instance whose backend server does not know the flow that the instance adopted.

#![allow(clippy::unwrap_used, reason = "helper functions outside of tests")]

use std::sync::Arc;
use std::time::Duration;

use lovagespindle_decisions::config::{
    Change,
    Configuration,
    Record, //
};
use lovagespindle_decisions::event::RegistryEntry;
use lovagespindle_decisions::ids::{
    BackendServerId,
    FlowId,
    InstanceId,
    OperationId,
    RequestId,
    Revision,
    ZoneId, //
};
use lovagespindle_decisions::instance::Settings;
use lovagespindle_decisions::packet::{
    Packet,
    PacketKind,
    Purpose,
    Reason,
    Relay,
    Route, //
};
use lovagespindle_decisions::peer::{
    Member,
    MemberState,
    MemberUpdate,
    PeerMessage, //
};
use lovagespindle_decisions::{
    Action,
    Event,
    Instance,
    Time, //
};

macro_rules! cases {
    ($($(#[$doc:meta])* $name:ident => $body:expr;)*) => {
        $($(#[$doc])* #[test] fn $name() { $body })*
    };
}

cases! {
    /// Guards against silence: the flow was closed at a zone that is out of service, and nobody
    /// else has a record of it.
    request_that_a_server_resets_moves_to_another_server => {
        let mut rig = Rig::new(2);
        let (server, _) = sent(&rig.request(0, 1)).unwrap();
        let out = rig.reset(server, 0, 1);
        let (other, kind) = sent(&out).unwrap();
        assert!(other != server && kind == PacketKind::Open, "{out:?}");
    };
    /// Guards against silence where no other backend server is left.
    request_that_the_only_server_resets_is_refused => {
        let mut rig = Rig::new(1);
        let (server, _) = sent(&rig.request(0, 1)).unwrap();
        let out = rig.reset(server, 0, 1);
        assert_eq!(told(&out), [(PacketKind::Refused, RequestId(1))]);
    };
    /// Guards against a second run: the caller may have repeated the request meanwhile, and the
    /// other attempt may run at the backend server that serves the flow.
    request_that_is_reset_late_is_not_retried => {
        let mut rig = Rig::new(2);
        let (server, _) = sent(&rig.request(0, 1)).unwrap();
        let out = rig.reset(server, 300, 1);
        assert_eq!(sent(&out), None);
        assert_eq!(told(&out), [(PacketKind::Refused, RequestId(1))]);
    };
    /// Guards against silence for the other requests of the flow, whose resets find no record.
    other_requests_of_the_flow_get_an_outcome => {
        let mut rig = Rig::new(2);
        let (server, _) = sent(&rig.request(0, 1)).unwrap();
        rig.request(0, 2);
        let mut outcomes = told(&rig.reset(server, 0, 1));
        outcomes.sort_by_key(|(_, request)| request.0);
        let ids: Vec<u64> = outcomes.iter().map(|(_, request)| request.0).collect();
        assert_eq!(ids, [1, 2], "{outcomes:?}");
    };
    /// Guards against "not run" of a request that ran before its backend server restarted: the reset
    /// may answer the data that followed the request.
    request_that_is_reset_after_data_has_an_unknown_outcome => {
        let mut rig = Rig::new(2);
        let (server, _) = sent(&rig.request(0, 1)).unwrap();
        rig.send(0, 1, PacketKind::Data);
        let out = rig.reset(server, 0, 1);
        assert_eq!(sent(&out), None);
        assert_eq!(told(&out), [(PacketKind::Unknown, RequestId(1))]);
    };
    /// Guards against the reset of a live flow by instances that know different members: a fresh
    /// instance that does not know the owner of the flow's first choice begins its search later, and
    /// the search may end at an instance that knows the owner.
    flow_whose_first_choice_is_owned_elsewhere_is_not_reset => {
        assert_eq!(Rig::with_neighbour().end_search(false), []);
    };
    /// Guards against callers that wait for a flow that no instance knows.
    flow_that_nobody_knows_is_reset => {
        let told = Rig::with_neighbour().end_search(true);
        assert_eq!(told, [(PacketKind::Reset, RequestId(1))]);
    };
    /// Guards against the reset of a flow that lives at another backend server: data that has no
    /// request in progress shows nothing of it.
    data_without_a_request_resets_no_caller => {
        let mut rig = Rig::new(2);
        let (server, _) = sent(&rig.send(0, 1, PacketKind::Data)).unwrap();
        assert_eq!(told(&rig.reset(server, 0, 1)), []);
    };
}

/// An instance that owns backend servers of one service.
struct Rig {
    instance: Instance,
    now: Time,
}

/// Number of backend servers of a zone that two instances share.
const SHARED: u8 = 8;

impl Rig {
    /// Starts an instance that is alone and owns all backend servers since a moment ago.
    fn new(servers: u8) -> Rig {
        let mut rig = Rig::start(servers, &[]);
        rig.run(100, &[]);
        rig
    }

    /// Starts an instance that has shared the backend servers with another one for over a minute, so
    /// that it adopts no flows.
    fn with_neighbour() -> Rig {
        let mut rig = Rig::start(SHARED, &[member(8)]);
        rig.run(800, &[member(8)]);
        rig
    }

    fn start(servers: u8, others: &[Member]) -> Rig {
        let instance = Instance::new(member(7), Settings::default(), 1);
        let mut rig = Rig {
            instance,
            now: Time::from_start(Duration::from_secs(1)),
        };
        let state = MemberState::Live;
        let entries = others.iter().copied().chain([member(7)]);
        let entries = entries.map(|member| RegistryEntry { member, state });
        rig.handle(0, Event::Registry(entries.collect()));
        rig.handle(0, Event::Snapshot(Arc::new(configuration(servers))));
        rig
    }

    /// Runs ticks of 100 ms; the other members acknowledge the heartbeats.
    fn run(&mut self, ticks: u32, others: &[Member]) {
        for _ in 0..ticks {
            for action in self.handle(100, Event::Tick) {
                let Action::SendPeer { to, message, .. } = action else {
                    continue;
                };
                let other = others.iter().find(|other| other.id == to);
                if let (
                    Some(other),
                    PeerMessage::Heartbeat {
                        sequence, digest, ..
                    },
                ) = (other, *message)
                {
                    self.acknowledge(*other, sequence, digest);
                }
            }
        }
    }

    fn acknowledge(&mut self, member: Member, sequence: u64, digest: u64) {
        let ack = PeerMessage::HeartbeatAck {
            sender: MemberUpdate {
                member,
                state: MemberState::Live,
                incarnation: 0,
            },
            sequence,
            revision: Revision(0),
            digest,
            updates: Default::default(),
        };
        let message = Box::new(ack);
        let from = member.id;
        self.handle(0, Event::PeerMessage { from, message });
    }

    /// Sends data of a flow that the search for its owner brought here, and returns what the caller
    /// was told. `first` is whether this instance owns the first choice of the flow.
    fn end_search(&mut self, first: bool) -> Vec<(PacketKind, RequestId)> {
        let owned = self.instance.status(self.now).owned[0].backend_server;
        let flow = (0..64).map(FlowId).find(|flow| {
            let data = Packet {
                flow: *flow,
                ..packet(1, PacketKind::Data)
            };
            let out = self.handle(0, Event::CallerPacket(data));
            let elsewhere = out.iter().any(
                |action| matches!(action, Action::Relay { relay, .. } if relay.candidate == 0),
            );
            elsewhere != first
        });
        let packet = Packet {
            flow: flow.unwrap(),
            ..packet(1, PacketKind::Data)
        };
        let relay = Relay {
            purpose: Purpose::Adopt,
            hops: 3,
            candidate: 0,
            table: 0,
            backend_server: owned,
            possibly_executed: false,
        };
        told(&self.handle(0, Event::RelayedPacket { relay, packet }))
    }

    fn handle(&mut self, after: u64, event: Event) -> Vec<Action> {
        self.now = self.now + Duration::from_millis(after);
        let mut out = Vec::new();
        self.instance.handle(self.now, event, &mut out);
        out
    }

    fn request(&mut self, after: u64, request: u32) -> Vec<Action> {
        self.send(after, request, PacketKind::Request)
    }

    fn send(&mut self, after: u64, request: u32, kind: PacketKind) -> Vec<Action> {
        self.handle(after, Event::CallerPacket(packet(request, kind)))
    }

    /// Resets the flow, as a backend server does that does not know it.
    fn reset(&mut self, backend_server: BackendServerId, after: u64, request: u32) -> Vec<Action> {
        let request = packet(request, PacketKind::Request);
        let packet = request.reply(PacketKind::Reset, Reason::UnknownFlow);
        let event = Event::ServerPacket {
            backend_server,
            packet,
        };
        self.handle(after, event)
    }
}

/// Returns the backend server that got a request or data, and the kind of the packet.
fn sent(actions: &[Action]) -> Option<(BackendServerId, PacketKind)> {
    actions.iter().find_map(|action| match action {
        Action::SendServer {
            backend_server,
            packet,
            ..
        } if packet.kind != PacketKind::Close => Some((*backend_server, packet.kind)),
        _ => None,
    })
}

/// Returns what the caller was told.
fn told(actions: &[Action]) -> Vec<(PacketKind, RequestId)> {
    let packets = actions.iter().filter_map(|action| match action {
        Action::SendCaller(packet) => Some((packet.kind, packet.request)),
        _ => None,
    });
    packets.collect()
}

fn member(id: u8) -> Member {
    Member {
        id: InstanceId(id.into()),
        zone: ZoneId::of("a"),
        control: ([127, 0, 0, id], 7001).into(),
        relay: ([127, 0, 0, id], 7002).into(),
    }
}

fn packet(request: u32, kind: PacketKind) -> Packet {
    let configuration = configuration(1);
    let service = *configuration.services.keys().next().unwrap();
    Packet {
        service,
        flow: FlowId(99),
        kind,
        request: RequestId(request.into()),
        attempt: 0,
        idempotent: false,
        deadline: None,
        part: 0,
        last: false,
        reason: None,
        route: Route {
            caller: ([10, 1, 0, 1], 4000).into(),
            address: ([172, 16, 0, 1], 7000).into(),
            unique_id: 5,
        },
        payload: Default::default(),
    }
}

fn configuration(servers: u8) -> Configuration {
    let mut changes = vec![
        Change::CreateZone {
            name: "a".to_owned(),
            region: "north".to_owned(),
        },
        Change::PutService {
            name: "desk".to_owned(),
            address: ([172, 16, 0, 1], 7000).into(),
            idle: Duration::from_secs(60),
        },
        Change::CreatePool {
            name: "desk-a".to_owned(),
            service: "desk".to_owned(),
            zone: "a".to_owned(),
        },
    ];
    changes.extend((0..servers).map(|host| Change::PutServer {
        name: format!("desk-{host}"),
        pool: "desk-a".to_owned(),
        address: ([10, 0, 0, host], 9000).into(),
        health: ([10, 0, 0, host], 9001).into(),
        weight: 100,
        slots: 4,
        connections: 100,
    }));
    let mut configuration = Configuration::default();
    let record = Record {
        revision: Revision(1),
        operation: OperationId(1),
        changes,
    };
    configuration.apply(&record).unwrap();
    configuration
}
