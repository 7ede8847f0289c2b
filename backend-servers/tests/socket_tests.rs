//! Tests of the backend server socket.

#![allow(clippy::unwrap_used)] // clippy.toml covers only functions marked as tests.

use std::net::SocketAddr;

use kameo::actor::{
    ActorRef,
    Spawn, //
};
use lovagespindle_backend_servers::{
    Arguments,
    BackendSocket,
    GetAddress,
    GetCounts,
    SendPackets,
    Servers,
    SetServers,
    Settings, //
};
use lovagespindle_datagram::{
    Clock,
    Defect, //
};
use lovagespindle_decisions::Event;
use lovagespindle_decisions::ids::BackendServerId;
use lovagespindle_decisions::packet::{
    Packet,
    PacketKind, //
};
use lovagespindle_stand_ins::cases;
use lovagespindle_stand_ins::consumer::{
    Batches,
    consumer, //
};
use lovagespindle_stand_ins::peer::{
    Peer,
    localhost,
    packet,
    services, //
};

struct Setup {
    actor: ActorRef<BackendSocket>,
    address: SocketAddr,
    first: Peer,
    second: Peer,
    batches: Batches,
}

/// Starts a socket that knows only the first of two backend servers.
async fn setup() -> Setup {
    let first = Peer::open().await.unwrap();
    let second = Peer::open().await.unwrap();
    let (consumer, batches) = consumer(64);
    let actor = BackendSocket::spawn(Arguments {
        settings: Settings {
            listen: localhost(),
            ..Settings::default()
        },
        clock: Clock::start(),
        services: services(),
        servers: Servers::from_iter([(first.address, BackendServerId(1))]),
        consumer,
    });
    let address = actor.ask(GetAddress).await.unwrap();
    Setup {
        actor,
        address,
        first,
        second,
        batches,
    }
}

impl Setup {
    async fn send_from(&self, from: &Peer, kind: PacketKind, request: u64) {
        let packet = packet(kind, request);
        from.send(self.address, &packet).await.unwrap();
    }

    async fn next_packet(&mut self) -> (BackendServerId, Packet) {
        match self.batches.events(1).await.unwrap().remove(0) {
            Event::ServerPacket {
                backend_server,
                packet,
            } => (backend_server, packet),
            other => panic!("unexpected event {other:?}"),
        }
    }

    async fn defect_count(&self, defect: Defect) -> u64 {
        self.actor.ask(GetCounts).await.unwrap().defect(defect)
    }
}

/// Guards against packets that are sent to the wrong backend server.
async fn sends_to_each_server() {
    let setup = setup().await;
    let packets = vec![
        (setup.first.address, packet(PacketKind::Open, 1)),
        (setup.second.address, packet(PacketKind::Open, 2)),
    ];
    setup.actor.tell(SendPackets(packets)).await.unwrap();
    for (peer, request) in [(&setup.first, 1), (&setup.second, 2)] {
        let received = peer.receive().await.unwrap();
        assert_eq!(received, packet(PacketKind::Open, request));
    }
}

/// Guards against answers from unknown addresses that are accepted.
async fn drops_unknown_sources() {
    let mut setup = setup().await;
    setup.send_from(&setup.second, PacketKind::Answer, 1).await;
    setup.send_from(&setup.first, PacketKind::Answer, 2).await;
    let expected = (BackendServerId(1), packet(PacketKind::Answer, 2));
    assert_eq!(setup.next_packet().await, expected);
    assert_eq!(setup.defect_count(Defect::UnknownSource).await, 1);
}

/// Guards against backend servers that send packets as if they were callers.
async fn drops_caller_kinds() {
    let mut setup = setup().await;
    setup.send_from(&setup.first, PacketKind::Request, 1).await;
    setup.send_from(&setup.first, PacketKind::Refused, 2).await;
    assert_eq!(setup.next_packet().await.1, packet(PacketKind::Refused, 2));
    assert_eq!(setup.defect_count(Defect::Direction).await, 1);
}

/// Guards against an update that keeps removed backend servers or ignores new ones.
async fn updates_servers() {
    let mut setup = setup().await;
    let servers = Servers::from_iter([(setup.second.address, BackendServerId(2))]);
    setup.actor.ask(SetServers(servers)).await.unwrap();
    setup.send_from(&setup.first, PacketKind::Answer, 1).await;
    setup.send_from(&setup.second, PacketKind::Answer, 2).await;
    let expected = (BackendServerId(2), packet(PacketKind::Answer, 2));
    assert_eq!(setup.next_packet().await, expected);
    assert_eq!(setup.defect_count(Defect::UnknownSource).await, 1);
}

cases! {
    async
    packets_reach_the_addressed_server => sends_to_each_server();
    unknown_sources_are_dropped => drops_unknown_sources();
    caller_kinds_are_dropped => drops_caller_kinds();
    updated_servers_replace_the_old_ones => updates_servers();
}
