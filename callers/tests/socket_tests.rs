//! Tests of the caller socket.

#![allow(clippy::unwrap_used)] // clippy.toml covers only functions marked as tests.

use std::net::SocketAddr;
use std::sync::Arc;

use kameo::actor::{
    ActorRef,
    Spawn, //
};
use lovagespindle_callers::{
    Arguments,
    CallerSocket,
    GetAddress,
    GetCounts,
    SendPackets,
    SetServices,
    Settings, //
};
use lovagespindle_datagram::receive::MAX_BATCH;
use lovagespindle_datagram::{
    BatchSender,
    BatchSocket,
    Clock,
    Counts,
    Defect,
    Services, //
};
use lovagespindle_decisions::Event;
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
    TIMEOUT,
    localhost,
    packet,
    services, //
};
use tokio::net::UdpSocket;

struct Setup {
    actor: ActorRef<CallerSocket>,
    address: SocketAddr,
    fabric: Peer,
    batches: Batches,
}

async fn setup(capacity: usize, services: Services) -> Setup {
    let fabric = Peer::open().await.unwrap();
    let (consumer, batches) = consumer(capacity);
    let actor = CallerSocket::spawn(Arguments {
        settings: Settings {
            listen: localhost(),
            fabric: fabric.address,
            ..Settings::default()
        },
        clock: Clock::start(),
        services,
        consumer,
    });
    let address = actor.ask(GetAddress).await.unwrap();
    Setup {
        actor,
        address,
        fabric,
        batches,
    }
}

impl Setup {
    async fn deliver(&self, kind: PacketKind, request: u64) {
        let packet = packet(kind, request);
        self.fabric.send(self.address, &packet).await.unwrap();
    }

    async fn counts(&self) -> Counts {
        self.actor.ask(GetCounts).await.unwrap()
    }

    /// Waits until the socket has received `count` datagrams.
    async fn wait_received(&self, count: u64) {
        let received = async {
            while self.counts().await.received < count {
                tokio::task::yield_now().await;
            }
        };
        tokio::time::timeout(TIMEOUT, received).await.unwrap();
    }
}

fn caller_packet(event: &Event) -> &Packet {
    match event {
        Event::CallerPacket(packet) => packet,
        other => panic!("unexpected event {other:?}"),
    }
}

/// Guards against datagrams that are lost, reordered or delivered in oversized batches.
async fn delivers_in_order() {
    let setup = setup(256, services()).await;
    for request in 0..200 {
        setup.deliver(PacketKind::Request, request).await;
    }
    expect_in_order(setup).await;
}

/// Guards against datagrams sent in one system call that are not separated again.
async fn splits_batches() {
    let setup = setup(256, services()).await;
    let socket = Arc::new(BatchSocket::bind(localhost(), 1 << 16).unwrap());
    let mut sender = BatchSender::new(socket, Clock::start());
    for request in 0..200 {
        let packet = packet(PacketKind::Request, request);
        sender.push(setup.address, &packet, None).await;
    }
    sender.flush().await;
    expect_in_order(setup).await;
}

async fn expect_in_order(mut setup: Setup) {
    let mut expected = 0;
    while expected < 200 {
        let batch = setup.batches.next().await.unwrap();
        assert!(batch.len() <= MAX_BATCH);
        for event in &batch {
            let packet = packet(PacketKind::Request, expected);
            assert_eq!(*caller_packet(event), packet);
            expected += 1;
        }
    }
}

/// Guards against malformed input that produces an event or is not counted.
async fn counts_defects() {
    let mut setup = setup(64, services()).await;
    for input in [&b"GET / HTTP/1.1\r\n"[..], &[0; 1300], b"\r\n\r\n"] {
        let sent = setup.fabric.send_bytes(setup.address, input).await;
        sent.unwrap();
    }
    setup.deliver(PacketKind::Answer, 1).await;
    setup.deliver(PacketKind::Open, 2).await;
    let events = setup.batches.events(1).await.unwrap();
    assert_eq!(*caller_packet(&events[0]), packet(PacketKind::Open, 2));
    let counts = setup.counts().await;
    assert_eq!(counts.received, 5);
    for defect in [
        Defect::Header,
        Defect::Oversized,
        Defect::Truncated,
        Defect::Direction,
    ] {
        assert_eq!(counts.defect(defect), 1, "{defect}");
    }
    let total: u64 = counts.defects().map(|(_, count)| count).sum();
    assert_eq!(total, 4);
}

/// Guards against packets to callers that are dropped.
async fn sends_to_fabric() {
    let setup = setup(64, services()).await;
    let packets: Vec<Packet> = (0..3).map(|r| packet(PacketKind::Refused, r)).collect();
    setup.actor.tell(SendPackets(packets)).await.unwrap();
    for request in 0..3 {
        let received = setup.fabric.receive().await.unwrap();
        assert_eq!(received, packet(PacketKind::Refused, request));
    }
    let counts = setup.counts().await;
    assert_eq!((counts.sent, counts.unsent, counts.unencodable), (3, 0, 0));
}

/// Guards against a service that stays unknown after it was configured.
async fn updates_services() {
    let mut setup = setup(64, Services::default()).await;
    setup.deliver(PacketKind::Open, 1).await;
    setup.wait_received(1).await;
    setup.actor.ask(SetServices(services())).await.unwrap();
    setup.deliver(PacketKind::Open, 2).await;
    let events = setup.batches.events(1).await.unwrap();
    assert_eq!(*caller_packet(&events[0]), packet(PacketKind::Open, 2));
    assert_eq!(setup.counts().await.defect(Defect::UnknownService), 1);
}

/// Guards against unbounded memory use while the consumer is too slow. The consumer holds up to
/// three batches, one each in its mailbox, handler and list, so the fourth batch is dropped.
async fn drops_when_consumer_is_full() {
    let mut setup = setup(1, services()).await;
    let total = 10;
    for request in 0..total {
        setup.deliver(PacketKind::Request, request).await;
        setup.wait_received(request + 1).await;
    }
    let counts = setup.counts().await;
    assert!(counts.overruns >= total - 3, "{}", counts.overruns);
    let delivered = total - counts.overruns;
    let events = setup.batches.events(delivered as usize).await.unwrap();
    assert_eq!(events.len() as u64, delivered);
}

/// Guards against a receiving task or socket that outlives its actor.
async fn stops_with_its_actor() {
    let setup = setup(64, services()).await;
    setup.actor.stop_gracefully().await.unwrap();
    setup.actor.wait_for_shutdown().await;
    let closed = async {
        while UdpSocket::bind(setup.address).await.is_err() {
            tokio::task::yield_now().await;
        }
    };
    tokio::time::timeout(TIMEOUT, closed).await.unwrap();
}

/// Guards against an actor that starts although its address is in use.
async fn reports_an_address_in_use() {
    let taken = Peer::open().await.unwrap();
    let (consumer, _batches) = consumer(1);
    let actor = CallerSocket::spawn(Arguments {
        settings: Settings {
            listen: taken.address,
            ..Settings::default()
        },
        clock: Clock::start(),
        services: services(),
        consumer,
    });
    assert!(actor.wait_for_startup_result().await.is_err());
}

cases! {
    async
    datagrams_arrive_in_order => delivers_in_order();
    batched_datagrams_arrive_in_order => splits_batches();
    defects_are_counted_by_kind => counts_defects();
    packets_are_sent_to_the_fabric => sends_to_fabric();
    new_services_are_accepted => updates_services();
    batches_for_a_full_consumer_are_dropped_and_counted => drops_when_consumer_is_full();
    socket_closes_with_its_actor => stops_with_its_actor();
    address_in_use_is_an_error => reports_an_address_in_use();
}
