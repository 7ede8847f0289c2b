//! Tests of the known peers: the tree of a zone, and the choice of a peer for updates.

use std::net::{
    Ipv4Addr,
    SocketAddrV4, //
};
use std::time::Duration;

use lovagespindle_decisions::Time;
use lovagespindle_decisions::dsr::peers::{
    MAX_CHILDREN,
    MAX_PEERS,
    MAX_RANKED,
    Peer,
    Peers,
    Source, //
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

/// Returns where each instance gets updates from.
fn sources(instances: &[Peers], now: Time) -> Vec<Source> {
    instances.iter().map(|peers| peers.source(now)).collect()
}

/// Returns the instances that watch the store.
fn watchers(instances: &[Peers], now: Time) -> Vec<SocketAddrV4> {
    let watching = instances
        .iter()
        .filter(|peers| peers.source(now) == Source::Store);
    watching.map(|peers| peers.local_peer().address).collect()
}

/// Returns the number of instances between one and the store, which is infinite in a cycle.
fn hops(instances: &[Peers], mut at: usize, now: Time) -> usize {
    for hops in 0..instances.len() {
        match instances[at].source(now) {
            Source::Store => return hops,
            Source::Peer(parent) => {
                let found = instances
                    .iter()
                    .position(|p| p.local_peer().address == parent);
                at = found.expect("an instance of the zone");
            }
        }
    }
    usize::MAX
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
        assert_eq!(peers.source(NOW), Source::Store);
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

    /// Guards against an instance that was replaced and is tried every two seconds for as long as
    /// others report it.
    failed_instance_is_tried_less_and_less => {
        let mut peers = Peers::new(address(1), "a", &[], 1);
        peers.merge(NOW, &[peer(2, "a")]);
        for _ in 0..4 {
            peers.record_failure(NOW, address(2));
        }
        assert_eq!(peers.pick(NOW + Duration::from_secs(15)), None);
        peers.record_answer(address(2));
        assert_eq!(peers.pick(NOW), Some(address(2)));
    }

    /// Guards against several instances of a zone that all call the store.
    one_instance_of_a_zone_watches_the_store => {
        for count in [1, 2, 8, 60] {
            let instances = zone_peers(count);
            assert_eq!(watchers(&instances, NOW).len(), 1, "{count}");
        }
    }

    /// Guards against an instance whose connections and messages grow with the fleet.
    tree_has_bounded_degree_and_depth => {
        let instances = zone_peers(60);
        let sources = sources(&instances, NOW);
        for number in 1..=60 {
            let children = sources.iter().filter(|source| **source == Source::Peer(address(number)));
            assert!(children.count() <= MAX_CHILDREN);
        }
        assert!((0..60).all(|at| hops(&instances, at, NOW) <= 3));
    }

    /// Guards against instances that wait for each other because they know different ones.
    different_knowledge_makes_no_cycle => {
        let all: Vec<_> = (1..=40).map(|number| peer(number, "a")).collect();
        for shift in 0..8 {
            let mut instances: Vec<_> = (1..=40)
                .map(|number| Peers::new(address(number), "a", &[], 1))
                .collect();
            for (index, peers) in instances.iter_mut().enumerate() {
                let known: Vec<_> = (0..40).filter(|n| (n * 7 + index + shift) % 3 != 0).collect();
                let known: Vec<_> = known.into_iter().map(|n| all[n].clone()).collect();
                peers.merge(NOW, &known);
            }
            assert!((0..40).all(|at| hops(&instances, at, NOW) < usize::MAX));
        }
    }

    /// Guards against instances that keep waiting for a parent that does not answer, and against all
    /// of them turning to the store instead.
    failed_watcher_is_replaced => {
        let mut instances = zone_peers(40);
        let first = watchers(&instances, NOW)[0];
        for peers in &mut instances {
            peers.record_failure(NOW, first);
        }
        let rest: Vec<_> = instances.into_iter().filter(|p| p.local_peer().address != first).collect();
        let next = watchers(&rest, NOW);
        assert!(next.len() == 1 && next[0] != first, "{next:?}");
    }

    /// Guards against a fleet that calls the store together when its updates are stale.
    few_instances_are_candidates => {
        let instances = zone_peers(60);
        let candidates = instances.iter().filter(|peers| peers.is_candidate(NOW));
        assert_eq!(candidates.count(), 4);
    }

    /// Guards against instances that keep a parent that has exited.
    expired_parent_is_replaced => {
        let instances = zone_peers(4);
        let later = NOW + Duration::from_secs(61);
        assert_eq!(watchers(&instances, later).len(), 4);
    }

    /// Guards against updates from other zones although the local zone has an instance.
    parent_is_in_the_local_zone => {
        let mut peers = Peers::new(address(1), "a", &[address(9)], 1);
        peers.merge(NOW, &[peer(2, "b"), peer(3, "b")]);
        assert_eq!(peers.source(NOW), Source::Store);
    }

    /// Guards against an instance that has no source of updates while the store is unavailable.
    seeds_are_picked_without_known_peers => {
        let mut peers = Peers::new(address(1), "a", &[address(1), address(9)], 1);
        assert_eq!(peers.pick(NOW), Some(address(9)));
        peers.record_failure(NOW, address(9));
        assert_eq!(peers.pick(NOW), None);
    }

    /// Guards against a table of peers that grows with the fleet.
    known_peers_are_bounded => {
        let mut peers = Peers::new(address(1), "a", &[], 1);
        for zone in ["a", "b", "c"] {
            for high in 0..10 {
                let many: Vec<_> = (0..=255).map(|low| far_peer(high, low, zone)).collect();
                peers.merge(NOW, &many);
            }
        }
        let known = peers.known(NOW, "a");
        let count = |zone: &str| known.iter().filter(|peer| *peer.zone == *zone).count();
        assert_eq!((count("a"), count("b"), count("c")), (65, 4, 4));
        assert!(known.len() <= MAX_PEERS);
    }

    /// Guards against a large zone whose instances all request updates from the first one.
    instances_beyond_the_ranked_ones_are_spread => {
        let many: Vec<_> = (0..8).flat_map(|high| (0..128).map(move |low| far_peer(high, low, "a"))).collect();
        let sources = many.iter().map(|own| {
            let mut peers = Peers::new(own.address, "a", &[], 1);
            peers.merge(NOW, &many);
            peers.source(NOW)
        });
        let mut children = std::collections::HashMap::new();
        for source in sources {
            *children.entry(format!("{source:?}")).or_insert(0) += 1;
        }
        let most = children.values().copied().max();
        assert!(most <= Some(MAX_CHILDREN + 2 * 1_024 / MAX_RANKED), "{most:?}");
    }
}

fn far_peer(high: u8, low: u8, zone: &str) -> Peer {
    let third = zone.as_bytes()[0];
    Peer {
        address: SocketAddrV4::new(Ipv4Addr::new(10, third, high, low), 8166),
        ..peer(1, zone)
    }
}
