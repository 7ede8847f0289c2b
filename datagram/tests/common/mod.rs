//! Sample packets for tests.

use std::net::SocketAddr;

use bytes::Bytes;
use lovagespindle_datagram::{
    Services,
    flow_id, //
};
use lovagespindle_decisions::ids::{
    BackendServerId,
    RequestId,
    ServiceId, //
};
use lovagespindle_decisions::packet::{
    MAX_HOPS,
    MAX_PAYLOAD,
    Packet,
    PacketKind,
    Purpose,
    Reason,
    Relay,
    Route, //
};
use lovagespindle_decisions::time::Time;
use quickcheck::{
    Arbitrary,
    Gen, //
};

pub(crate) const NOW: Time = Time::from_millis(70_000);

pub(crate) fn address(text: &str) -> SocketAddr {
    text.parse().unwrap()
}

/// Returns one service of each address family.
pub(crate) fn services() -> Services {
    let services = [("198.51.100.7:80", 7), ("[2001:db8::7]:80", 8)];
    let services = services.map(|(a, s)| (address(a), ServiceId(s)));
    services.into_iter().collect()
}

pub(crate) fn packet(kind: PacketKind) -> Packet {
    let route = Route {
        caller: address("192.0.2.1:5000"),
        address: address("198.51.100.7:80"),
        unique_id: 0x0102,
    };
    Packet {
        service: ServiceId(7),
        flow: flow_id(&route),
        kind,
        request: RequestId(3),
        attempt: 1,
        idempotent: true,
        deadline: Some(NOW + std::time::Duration::from_millis(250)),
        part: 2,
        last: true,
        reason: Some(Reason::Shed),
        route,
        payload: Bytes::from_static(b"consignment 14"),
    }
}

/// Arbitrary packet that the codec can represent, with or without relay information.
#[derive(Clone, Debug)]
pub(crate) struct AnyDatagram(pub(crate) Packet, pub(crate) Option<Relay>);

impl Arbitrary for AnyDatagram {
    fn arbitrary(g: &mut Gen) -> AnyDatagram {
        let kind = PacketKind::from_repr(u8::arbitrary(g) % 9 + 1).unwrap();
        let mut packet = packet(kind);
        if bool::arbitrary(g) {
            packet.service = ServiceId(8);
            packet.route.address = address("[2001:db8::7]:80");
            let ip = std::net::Ipv6Addr::from(u128::arbitrary(g));
            packet.route.caller = (ip, u16::arbitrary(g)).into();
        } else {
            let ip = std::net::Ipv4Addr::from(u32::arbitrary(g));
            packet.route.caller = (ip, u16::arbitrary(g)).into();
        }
        packet.route.unique_id = u128::arbitrary(g);
        packet.flow = flow_id(&packet.route);
        packet.request = RequestId(u64::arbitrary(g));
        packet.attempt = u8::arbitrary(g);
        packet.idempotent = bool::arbitrary(g);
        packet.deadline = Option::<u32>::arbitrary(g)
            .map(|millis| NOW + std::time::Duration::from_millis(millis.into()));
        packet.part = u32::arbitrary(g);
        packet.last = bool::arbitrary(g);
        packet.reason = Reason::from_repr(u8::arbitrary(g) % 16);
        let length = usize::arbitrary(g) % (MAX_PAYLOAD + 1);
        packet.payload = (0..length).map(|i| i as u8).collect();
        let relay = bool::arbitrary(g).then(|| Relay {
            purpose: Purpose::from_repr(1 + u8::arbitrary(g) % 4).unwrap(),
            hops: u8::arbitrary(g) % (MAX_HOPS + 1),
            candidate: u8::arbitrary(g),
            table: u8::arbitrary(g),
            backend_server: BackendServerId(u32::arbitrary(g)),
            possibly_executed: bool::arbitrary(g),
        });
        AnyDatagram(packet, relay)
    }
}
