//! The known peers, which are the other instances, and the choice of where to get updates from.
//!
//! The instances of a zone form a tree in the order of a rank that each address has: the first one
//! watches the store, and each other one gets updates from its parent, at which at most
//! [`MAX_CHILDREN`] instances do so. The parent always has a higher rank, so that instances with
//! different knowledge cannot wait for each other. Beyond [`MAX_RANKED`] instances in a zone, the
//! others are spread over the ranked ones.

use std::collections::BTreeMap;
use std::net::SocketAddrV4;
use std::sync::Arc;
use std::time::Duration;

use rand_core::{
    RngCore,
    SeedableRng, //
};
use rand_pcg::Pcg32;
use siphasher::sip::SipHasher13;

use crate::time::Time;

/// TTL of a peer since it last reported itself. Peers are exchanged every five seconds with one
/// other instance, so a report reaches all instances of a zone well before this.
const PEER_TTL: Duration = Duration::from_secs(60);

/// First and longest time for which an instance is not used after it failed to answer. The platform
/// restarts a process within a second; an instance that was replaced does not return.
const FAILURE_PENALTY: (Duration, Duration) = (Duration::from_secs(2), Duration::from_secs(30));

/// Time for which a stale instance is not used. Its next call to the store may succeed.
const STALE_PENALTY: Duration = Duration::from_secs(2);

/// Number of children of an instance in the tree.
pub const MAX_CHILDREN: usize = 8;

/// Number of instances of one zone that are known, those with the highest ranks.
pub const MAX_RANKED: usize = 64;

/// Number of instances of each other zone that are known, those with the highest ranks.
const MAX_REMOTE: usize = 4;

/// Number of instances at the top of the tree that call the store when the updates from their
/// parents are stale.
const CANDIDATES: usize = 4;

/// Maximum number of peers in one message: those of the zone, and some of other zones.
pub const MAX_PEERS: usize = 128;

/// An instance as peers report it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Peer {
    /// Address of its listener for other instances.
    pub address: SocketAddrV4,
    pub zone: Arc<str>,
    /// Time since it last reported itself.
    pub age: Duration,
}

/// Where an instance gets updates from.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Source {
    /// The instance watches the store for its zone.
    Store,
    /// The instance requests updates from this one.
    Peer(SocketAddrV4),
}

#[derive(Clone, Debug, Default)]
struct Record {
    /// `None` for an instance that only the settings name.
    zone: Option<Arc<str>>,
    last_received: Option<Time>,
    failed_at: Option<Time>,
    /// Failures since the last answer.
    failures: u32,
    /// Time at which it last turned out to have no recent confirmation by the store.
    stale_at: Option<Time>,
}

impl Record {
    fn is_live(&self, now: Time) -> bool {
        self.last_received
            .is_some_and(|received| now.since(received) < PEER_TTL)
    }

    /// Returns whether updates may be requested from the instance.
    fn is_usable(&self, now: Time) -> bool {
        let penalty = FAILURE_PENALTY.0 * 2u32.pow(self.failures.saturating_sub(1).min(4));
        let penalty = penalty.min(FAILURE_PENALTY.1);
        let within = |at: Option<Time>, limit: Duration| at.is_some_and(|at| now.since(at) < limit);
        !within(self.failed_at, penalty) && !within(self.stale_at, STALE_PENALTY)
    }
}

/// The known peers of one instance.
#[derive(Debug)]
pub struct Peers {
    address: SocketAddrV4,
    zone: Arc<str>,
    seeds: Vec<SocketAddrV4>,
    /// Whether the settings of all instances name the local one, so that those of other zones
    /// find each other through it.
    is_seed: bool,
    /// Ordered, so that the same seed leads to the same choices. At most [`MAX_RANKED`] of the
    /// local zone, and [`MAX_REMOTE`] of each other zone; a seed has [`MAX_RANKED`] of each.
    records: BTreeMap<SocketAddrV4, Record>,
    random: Pcg32,
}

impl Peers {
    /// Creates the peers of the instance at `address`. The settings name the `seeds`, which may be
    /// outdated.
    pub fn new(address: SocketAddrV4, zone: &str, seeds: &[SocketAddrV4], seed: u64) -> Peers {
        Peers {
            address,
            zone: zone.into(),
            seeds: seeds.iter().copied().filter(|at| *at != address).collect(),
            is_seed: seeds.contains(&address),
            records: BTreeMap::new(),
            random: Pcg32::seed_from_u64(seed),
        }
    }

    /// Returns the local instance as it is reported to peers.
    pub fn local_peer(&self) -> Peer {
        Peer {
            address: self.address,
            zone: self.zone.clone(),
            age: Duration::ZERO,
        }
    }

    /// Replaces the instances that the settings name.
    pub fn set_seeds(&mut self, seeds: &[SocketAddrV4]) {
        self.is_seed = seeds.contains(&self.address);
        self.seeds = seeds
            .iter()
            .copied()
            .filter(|at| *at != self.address)
            .collect();
    }

    /// Returns the instances that the settings name, without the local one.
    pub fn seeds(&self) -> &[SocketAddrV4] {
        &self.seeds
    }

    /// Merges peers that another instance reported.
    pub fn merge(&mut self, now: Time, peers: &[Peer]) {
        for peer in peers.iter().filter(|peer| peer.address != self.address) {
            let received = Some(now - peer.age);
            let record = self.records.entry(peer.address).or_default();
            record.zone = Some(peer.zone.clone());
            record.last_received = record.last_received.max(received);
        }
        self.records.retain(|_, record| {
            let last_seen = record
                .last_received
                .max(record.failed_at)
                .max(record.stale_at);
            last_seen.is_some_and(|last_seen| now.since(last_seen) < PEER_TTL)
        });
        self.limit_records();
    }

    /// Forgets the instances with the lowest ranks of each zone that has too many.
    fn limit_records(&mut self) {
        let mut zones: BTreeMap<Option<Arc<str>>, Vec<SocketAddrV4>> = BTreeMap::new();
        for (address, record) in &self.records {
            zones.entry(record.zone.clone()).or_default().push(*address);
        }
        for (zone, mut addresses) in zones {
            let all = self.is_seed || zone.as_ref() == Some(&self.zone);
            let limit = if all { MAX_RANKED } else { MAX_REMOTE };
            if addresses.len() <= limit {
                continue;
            }
            addresses.sort_unstable_by_key(|address| std::cmp::Reverse(rank(address)));
            for address in &addresses[limit..] {
                self.records.remove(address);
            }
        }
    }

    /// Records that an instance answered.
    pub fn record_answer(&mut self, address: SocketAddrV4) {
        if let Some(record) = self.records.get_mut(&address) {
            record.failed_at = None;
            record.failures = 0;
        }
    }

    /// Records that an instance did not answer.
    pub fn record_failure(&mut self, now: Time, address: SocketAddrV4) {
        let record = self.records.entry(address).or_default();
        record.failed_at = Some(now);
        record.failures += 1;
    }

    /// Records that an instance has no recent confirmation by the store, so that another one is
    /// used next.
    pub fn record_stale(&mut self, now: Time, address: SocketAddrV4) {
        self.records.entry(address).or_default().stale_at = Some(now);
    }

    /// Returns the recently known peers for an instance of `zone`: those of this zone, some of each
    /// other zone, and the local instance.
    pub fn known(&self, now: Time, zone: &str) -> Vec<Peer> {
        let live = self
            .records
            .iter()
            .filter(|(_, record)| record.is_live(now));
        let mut peers: Vec<Peer> = live
            .filter_map(|(address, record)| {
                Some(Peer {
                    address: *address,
                    zone: record.zone.clone()?,
                    age: now.since(record.last_received?),
                })
            })
            .collect();
        peers.sort_unstable_by_key(|peer| std::cmp::Reverse(rank(&peer.address)));
        let mut counts: BTreeMap<Arc<str>, usize> = BTreeMap::new();
        peers.retain(|peer| {
            let count = counts.entry(peer.zone.clone()).or_default();
            *count += 1;
            *count
                <= if *peer.zone == *zone {
                    MAX_RANKED
                } else {
                    MAX_REMOTE
                }
        });
        peers.sort_by_key(|peer| *peer.zone != *zone);
        peers.truncate(MAX_PEERS - 1);
        peers.push(self.local_peer());
        peers
    }

    /// Returns a digest of the known instances of the local zone, the local one included. Instances
    /// whose digests are equal need not exchange them.
    pub fn digest(&self, now: Time) -> u32 {
        let all = self.local_addresses(now, |record| record.is_live(now));
        all.iter()
            .fold(0, |digest, address| digest ^ rank(address).0 as u32)
    }

    /// Returns the live instances of the local zone for which `filter` holds, and the local one, by
    /// descending rank.
    fn local_addresses(&self, now: Time, filter: impl Fn(&Record) -> bool) -> Vec<SocketAddrV4> {
        let local = self.records.iter().filter(|(_, record)| {
            record.zone.as_ref() == Some(&self.zone) && record.is_live(now) && filter(record)
        });
        let mut all: Vec<_> = local
            .map(|(address, _)| *address)
            .chain([self.address])
            .collect();
        all.sort_unstable_by_key(|address| std::cmp::Reverse(rank(address)));
        all
    }

    /// Returns where the local instance gets updates from. Instances with the same knowledge form
    /// one tree.
    pub fn source(&self, now: Time) -> Source {
        let all = self.local_addresses(now, |record| record.is_usable(now));
        let position = all.iter().position(|address| *address == self.address);
        let position = position.unwrap_or(0);
        if position == 0 {
            return Source::Store;
        }
        let parent = if position < MAX_RANKED {
            (position - 1) / MAX_CHILDREN
        } else {
            rank(&self.address).0 as usize % MAX_RANKED
        };
        Source::Peer(all[parent])
    }

    /// Returns whether the local instance is near the top of the tree, whatever instances have
    /// failed. It calls the store if the updates of the others are stale.
    pub fn is_candidate(&self, now: Time) -> bool {
        let all = self.local_addresses(now, |_| true);
        let position = all.iter().position(|address| *address == self.address);
        position.is_some_and(|position| position < CANDIDATES)
    }

    /// Picks an instance to request updates or peers from, preferably one of the local zone.
    /// Instances that recently failed to answer or were stale are left out.
    pub fn pick(&mut self, now: Time) -> Option<SocketAddrV4> {
        let mut best: Option<(bool, u32, SocketAddrV4)> = None;
        let known = self.records.keys().chain(&self.seeds).copied();
        for address in known.collect::<Vec<_>>() {
            let record = self.records.get(&address);
            if record.is_some_and(|record| !record.is_usable(now)) {
                continue;
            }
            let zone = record.and_then(|record| record.zone.as_ref());
            let remote = zone.is_none_or(|zone| *zone != self.zone);
            let rank = (remote, self.random.next_u32(), address);
            if best.is_none_or(|best| rank < best) {
                best = Some(rank);
            }
        }
        best.map(|(_, _, address)| address)
    }
}

/// Returns a rank that is the same on every instance.
fn rank(address: &SocketAddrV4) -> (u64, SocketAddrV4) {
    let mut bytes = [0; 6];
    bytes[..4].copy_from_slice(&address.ip().octets());
    bytes[4..].copy_from_slice(&address.port().to_be_bytes());
    (SipHasher13::new().hash(&bytes), *address)
}
