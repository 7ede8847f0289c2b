//! Tests the relay socket over loopback.

#![allow(clippy::unwrap_used, reason = "helpers outside test functions")]

use std::net::SocketAddr;

use kameo::actor::{
    ActorRef,
    Spawn, //
};
use lovagespindle_datagram::Clock;
use lovagespindle_decisions::event::Event;
use lovagespindle_decisions::ids::BackendServerId;
use lovagespindle_decisions::packet::{
    PacketKind,
    Purpose,
    Relay, //
};
use lovagespindle_instances::relay::{
    GetRelayAddress,
    GetRelayCounts,
    RelayArgs,
    RelayPackets,
    RelaySettings,
    RelaySocket,
    RelayedPacket, //
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

const RELAY: Relay = Relay {
    purpose: Purpose::Find,
    hops: 1,
    candidate: 2,
    table: 0,
    backend_server: BackendServerId(7),
    possibly_executed: false,
};

async fn start() -> (ActorRef<RelaySocket>, SocketAddr, Batches) {
    let (consumer, batches) = consumer(64);
    let args = RelayArgs {
        settings: RelaySettings {
            listen: localhost(),
            ..RelaySettings::default()
        },
        clock: Clock::start(),
        services: services(),
        consumer,
    };
    let socket = RelaySocket::spawn(args);
    let address = socket.ask(GetRelayAddress).await.unwrap();
    (socket, address, batches)
}

async fn relay_in_order() {
    let ((a, ..), (b, address, mut batches)) = (start().await, start().await);
    let relayed = |request| RelayedPacket {
        address,
        relay: RELAY,
        packet: packet(PacketKind::Open, request),
    };
    a.tell(RelayPackets((0..50).map(relayed).collect()))
        .await
        .unwrap();
    let events = batches.events(50).await.unwrap();
    for (n, event) in events.into_iter().enumerate() {
        let Event::RelayedPacket { relay, packet } = event else {
            panic!("unexpected event {event:?}");
        };
        assert_eq!((relay, packet.request.0), (RELAY, n as u64));
    }
    assert_eq!(a.ask(GetRelayCounts).await.unwrap().sent, 50);
    assert_eq!(b.ask(GetRelayCounts).await.unwrap().received, 50);
}

/// Sends two datagrams without a relay field, and then a valid packet. Only instances send to this
/// socket, and they always set the field.
async fn send_without_relay_field() {
    let (a, address, mut batches) = start().await;
    let peer = Peer::open().await.unwrap();
    peer.send(address, &packet(PacketKind::Open, 1))
        .await
        .unwrap();
    peer.send_bytes(address, b"junk").await.unwrap();
    let (b, ..) = start().await;
    let last = RelayedPacket {
        address,
        relay: RELAY,
        packet: packet(PacketKind::Data, 2),
    };
    b.tell(RelayPackets(vec![last])).await.unwrap();
    let events = batches.events(1).await.unwrap();
    assert!(matches!(&events[..], [Event::RelayedPacket { packet, .. }] if packet.request.0 == 2));
    let counts = a.ask(GetRelayCounts).await.unwrap();
    assert_eq!(counts.defects().map(|d| d.1).sum::<u64>(), 2);
}

cases! { async
    /// Guards against relayed packets that are lost, reordered or changed.
    relayed_packets_arrive_in_order => relay_in_order();
    /// Guards against packets that are taken for relayed ones although another host sent them.
    packets_without_relay_are_dropped => send_without_relay_field();
}
