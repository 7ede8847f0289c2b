//! Tests of the known peers: the leader of a zone, and the choice of a peer for updates.

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

/// Returns the peers of instances 1 to `count` of zone `a`, all of which know each other.
fn zone_peers(count: u8) -> Vec<Peers> {
    let all: Vec<_> = (1..=count).map(|number| peer(number, "a")).collect();
    let one = |number| {
        let mut peers = Peers::new(address(number), "a", &[], number.into());
        peers.merge(NOW, &all);
        peers
    };
    (1..=count).map(one).collect()
}

/// Returns the leader according to each instance.
fn leaders(instances: &[Peers], now: Time) -> Vec<SocketAddrV4> {
    let leader = |peers: &Peers| peers.leader(now).unwrap_or(peers.local_peer().address);
    instances.iter().map(leader).collect()
}

cases! {
    /// Guards against two instances of a zone that request updates only from each other and so get
    /// none.
    stale_instance_is_not_picked => {
        let mut peers = Peers::new(address(1), "a", &[], 1);
        peers.merge(NOW, &[peer(2, "a"), peer(3, "b")]);
        assert_eq!(peers.pick(NOW), Some(address(2)));
        peers.record_stale(NOW, address(2));
        assert_eq!(peers.pick(NOW), Some(address(3)));
        assert_eq!(peers.leader(NOW).is_some(), zone_peers(2)[0].leader(NOW).is_some());
        assert_eq!(peers.pick(NOW + Duration::from_secs(3)), Some(address(2)));
    }

    /// Guards against peers that avoid an instance that has restarted: in a zone that is cut off it
    /// may know no other instance, and learns of others only from their requests.
    failed_instance_is_picked_again_soon => {
        let mut peers = Peers::new(address(1), "a", &[], 1);
        peers.merge(NOW, &[peer(2, "a")]);
        peers.record_failure(NOW, address(2));
        assert_eq!(peers.pick(NOW + Duration::from_secs(1)), None);
        assert_eq!(peers.pick(NOW + Duration::from_millis(2_100)), Some(address(2)));
    }

    /// Guards against several instances of a zone that all call the store.
    instances_agree_on_a_leader => {
        let leaders = leaders(&zone_peers(8), NOW);
        assert!(leaders.iter().all(|leader| *leader == leaders[0]), "{leaders:?}");
    }

    /// Guards against instances that keep waiting for a leader that does not answer.
    failed_leader_is_replaced => {
        let mut instances = zone_peers(4);
        let first = leaders(&instances, NOW)[0];
        for peers in &mut instances {
            peers.record_failure(NOW, first);
        }
        let rest: Vec<_> = instances.into_iter().filter(|p| p.local_peer().address != first).collect();
        assert!(leaders(&rest, NOW).iter().all(|leader| *leader != first));
    }

    /// Guards against instances that keep a leader that has exited.
    expired_leader_is_replaced => {
        let instances = zone_peers(4);
        let later = NOW + Duration::from_secs(20);
        for peers in &instances {
            assert_eq!(peers.leader(later), None);
        }
    }

    /// Guards against updates from other zones although the local zone has an instance.
    leader_is_in_the_local_zone => {
        let mut peers = Peers::new(address(1), "a", &[address(9)], 1);
        peers.merge(NOW, &[peer(2, "b"), peer(3, "b")]);
        assert_eq!(peers.leader(NOW), None);
    }

    /// Guards against an instance that has no source of updates while the store is unavailable.
    seeds_are_picked_without_known_peers => {
        let mut peers = Peers::new(address(1), "a", &[address(1), address(9)], 1);
        assert_eq!(peers.pick(NOW), Some(address(9)));
        peers.record_failure(NOW, address(9));
        assert_eq!(peers.pick(NOW), None);
    }
}
