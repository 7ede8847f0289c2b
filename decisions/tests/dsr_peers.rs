//! Which instance follows the store for its zone.

use std::net::{
    Ipv4Addr,
    SocketAddrV4, //
};
use std::time::Duration;

use lovagespindle_decisions::Time;
use lovagespindle_decisions::dsr::peers::{
    Peer,
    Peers, //
};

macro_rules! cases {
    ($($(#[$doc:meta])* $name:ident => $body:block)*) => {
        $($(#[$doc])* #[test] fn $name() $body)*
    };
}

const NOW: Time = Time::from_millis(60_000);

fn address(number: u8) -> SocketAddrV4 {
    SocketAddrV4::new(Ipv4Addr::new(10, 0, 0, number), 8166)
}

fn peer(number: u8, zone: &str) -> Peer {
    Peer {
        address: address(number),
        zone: zone.into(),
        age: Duration::ZERO,
    }
}

/// Returns instances 1 to `count` of zone `a`, all of which know each other.
fn zone(count: u8) -> Vec<Peers> {
    let all: Vec<_> = (1..=count).map(|number| peer(number, "a")).collect();
    let one = |number| {
        let mut peers = Peers::new(address(number), "a", &[], number.into());
        peers.merge(NOW, &all);
        peers
    };
    (1..=count).map(one).collect()
}

/// Returns what each instance takes for the leader, itself included.
fn leaders(instances: &[Peers], now: Time) -> Vec<SocketAddrV4> {
    let leader = |peers: &Peers| peers.leader(now).unwrap_or(peers.local_peer().address);
    instances.iter().map(leader).collect()
}

cases! {
    /// Guards against two instances of a zone that ask only each other, and so learn nothing.
    stale_instance_is_left_out_of_picks => {
        let mut peers = Peers::new(address(1), "a", &[], 1);
        peers.merge(NOW, &[peer(2, "a"), peer(3, "b")]);
        assert_eq!(peers.pick(NOW), Some(address(2)));
        peers.record_stale(NOW, address(2));
        assert_eq!(peers.pick(NOW), Some(address(3)));
        assert_eq!(peers.leader(NOW).is_some(), zone(2)[0].leader(NOW).is_some());
        assert_eq!(peers.pick(NOW + Duration::from_secs(3)), Some(address(2)));
    }

    /// Guards against instances that stay away from one which has started again: in a zone that is
    /// cut off it may know nobody, and learns only from those who ask it.
    failed_instance_is_asked_again_soon => {
        let mut peers = Peers::new(address(1), "a", &[], 1);
        peers.merge(NOW, &[peer(2, "a")]);
        peers.record_failure(NOW, address(2));
        assert_eq!(peers.pick(NOW + Duration::from_secs(1)), None);
        assert_eq!(peers.pick(NOW + Duration::from_millis(2_100)), Some(address(2)));
    }

    /// Guards against several instances of a zone that all call the store.
    instances_agree_on_a_leader => {
        let leaders = leaders(&zone(8), NOW);
        assert!(leaders.iter().all(|leader| *leader == leaders[0]), "{leaders:?}");
    }

    /// Guards against instances that go on waiting for a leader that does not answer.
    failed_leader_is_replaced => {
        let mut instances = zone(4);
        let first = leaders(&instances, NOW)[0];
        for peers in &mut instances {
            peers.record_failure(NOW, first);
        }
        let rest: Vec<_> = instances.into_iter().filter(|p| p.local_peer().address != first).collect();
        assert!(leaders(&rest, NOW).iter().all(|leader| *leader != first));
    }

    /// Guards against instances that follow one that is gone for long.
    forgotten_leader_is_replaced => {
        let instances = zone(4);
        let later = NOW + Duration::from_secs(20);
        for peers in &instances {
            assert_eq!(peers.leader(later), None);
        }
    }

    /// Guards against news that cross zones although the own zone has an instance to pass them on.
    leader_is_of_the_own_zone => {
        let mut peers = Peers::new(address(1), "a", &[address(9)], 1);
        peers.merge(NOW, &[peer(2, "b"), peer(3, "b")]);
        assert_eq!(peers.leader(NOW), None);
    }

    /// Guards against an instance that waits for nobody while the store is out of reach.
    seeds_are_asked_when_nobody_is_known => {
        let mut peers = Peers::new(address(1), "a", &[address(1), address(9)], 1);
        assert_eq!(peers.pick(NOW), Some(address(9)));
        peers.record_failure(NOW, address(9));
        assert_eq!(peers.pick(NOW), None);
    }
}
