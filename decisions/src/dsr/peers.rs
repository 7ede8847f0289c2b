//! The known peers, which are the other instances, and the choice of one to request updates from.

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

/// TTL of a peer since it last reported itself. Peers are exchanged every five seconds, so two
/// exchanges may fail.
const PEER_TTL: Duration = Duration::from_secs(15);

/// Time for which an instance is not used after it failed to answer. The platform restarts a
/// process within a second, and a new one in a zone that is cut off learns of others only from
/// their requests.
const FAILURE_PENALTY: Duration = Duration::from_secs(2);

/// Time for which a stale instance is not picked. Its next call to the store may succeed.
const STALE_PENALTY: Duration = Duration::from_secs(2);

/// Maximum number of peers in one message.
pub const MAX_PEERS: usize = 32;

/// An instance as peers report it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Peer {
    /// Address of its listener for other instances.
    pub address: SocketAddrV4,
    pub zone: Arc<str>,
    /// Time since it last reported itself.
    pub age: Duration,
}

#[derive(Clone, Debug)]
struct Record {
    /// `None` for an instance that only the settings name.
    zone: Option<Arc<str>>,
    last_received: Option<Time>,
    failed_at: Option<Time>,
    /// Time at which it last turned out to have no recent confirmation by the store.
    stale_at: Option<Time>,
}

impl Record {
    fn new() -> Record {
        Record {
            zone: None,
            last_received: None,
            failed_at: None,
            stale_at: None,
        }
    }
}

/// The known peers of one instance.
#[derive(Debug)]
pub struct Peers {
    address: SocketAddrV4,
    zone: Arc<str>,
    seeds: Vec<SocketAddrV4>,
    /// Ordered, so that the same seed leads to the same choices.
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
            let record = self.records.entry(peer.address);
            let record = record.or_insert_with(Record::new);
            record.zone = Some(peer.zone.clone());
            record.last_received = record.last_received.max(received);
        }
        self.records.retain(|_, record| {
            let last_seen = record
                .last_received
                .or(record.failed_at)
                .or(record.stale_at);
            last_seen.is_some_and(|last_seen| now.since(last_seen) < PEER_TTL)
        });
    }

    /// Records that an instance did not answer.
    pub fn record_failure(&mut self, now: Time, address: SocketAddrV4) {
        let record = self.records.entry(address);
        record.or_insert_with(Record::new).failed_at = Some(now);
    }

    /// Records that an instance has no recent confirmation by the store, so that another one is
    /// picked next. Two instances that only requested updates from each other would get none.
    pub fn record_stale(&mut self, now: Time, address: SocketAddrV4) {
        let record = self.records.entry(address);
        record.or_insert_with(Record::new).stale_at = Some(now);
    }

    /// Returns the recently known peers, the latest first, and then the local instance.
    pub fn known(&self, now: Time) -> Vec<Peer> {
        let received = self.records.iter().filter_map(|(address, record)| {
            Some(Peer {
                address: *address,
                zone: record.zone.clone()?,
                age: now.since(record.last_received?),
            })
        });
        let mut peers: Vec<_> = received.filter(|peer| peer.age < PEER_TTL).collect();
        peers.sort_by_key(|peer| peer.age);
        peers.truncate(MAX_PEERS - 1);
        peers.push(self.local_peer());
        peers
    }

    /// Returns the leader, which watches the store for the local zone, or `None` if it is the local
    /// instance. Instances with the same known peers choose the same leader.
    pub fn leader(&self, now: Time) -> Option<SocketAddrV4> {
        let alive = |record: &Record| {
            let local = record.zone.as_ref() == Some(&self.zone);
            let failed = record
                .failed_at
                .is_some_and(|failed| now.since(failed) < FAILURE_PENALTY);
            let recent = record
                .last_received
                .is_some_and(|received| now.since(received) < PEER_TTL);
            local && recent && !failed
        };
        let others = self.records.iter().filter(|(_, record)| alive(record));
        let all = others.map(|(address, _)| *address).chain([self.address]);
        all.max_by_key(leader_rank)
            .filter(|leader| *leader != self.address)
    }

    /// Picks an instance to request updates from, preferably one of the local zone. Instances that
    /// recently failed to answer or were stale are left out.
    pub fn pick(&mut self, now: Time) -> Option<SocketAddrV4> {
        let mut best: Option<(bool, u32, SocketAddrV4)> = None;
        let known = self.records.keys().chain(&self.seeds).copied();
        for address in known.collect::<Vec<_>>() {
            let record = self.records.get(&address);
            let failed = record.and_then(|record| record.failed_at);
            let stale = record.and_then(|record| record.stale_at);
            if failed.is_some_and(|failed| now.since(failed) < FAILURE_PENALTY)
                || stale.is_some_and(|stale| now.since(stale) < STALE_PENALTY)
            {
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

/// Returns a rank that is the same on every instance; the highest one leads.
fn leader_rank(address: &SocketAddrV4) -> (u64, SocketAddrV4) {
    let mut bytes = [0; 6];
    bytes[..4].copy_from_slice(&address.ip().octets());
    bytes[4..].copy_from_slice(&address.port().to_be_bytes());
    (SipHasher13::new().hash(&bytes), *address)
}
