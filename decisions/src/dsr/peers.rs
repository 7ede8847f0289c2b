//! The other instances, and which of them to ask for news.

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

/// How long an instance that was not heard of is remembered. Instances are refreshed every five
/// seconds, so that two rounds may fail.
const PEER_TTL: Duration = Duration::from_secs(15);

/// How long an instance that did not answer is left out. The platform starts a process again within
/// a second, and a fresh one in a zone that is cut off learns only from those who ask it.
const FAILURE_PENALTY: Duration = Duration::from_secs(2);

/// How long an instance that has no recent word of the store is left out when one is picked. Its
/// state may change with its next call of the store.
const STALE_PENALTY: Duration = Duration::from_secs(2);

/// The most instances that are told to another one.
pub const MAX_PEERS: usize = 32;

/// An instance as others tell of it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Peer {
    /// Where it answers.
    pub address: SocketAddrV4,
    /// The name of its zone.
    pub zone: Arc<str>,
    /// How long ago it was heard.
    pub age: Duration,
}

#[derive(Clone, Debug)]
struct Record {
    /// Not known for an instance that only the settings name.
    zone: Option<Arc<str>>,
    last_received: Option<Time>,
    failed_at: Option<Time>,
    /// When it was last found to have no recent word of the store.
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

/// The other instances.
#[derive(Debug)]
pub struct Peers {
    own: SocketAddrV4,
    zone: Arc<str>,
    seeds: Vec<SocketAddrV4>,
    /// In order, so that the same seed makes the same choices.
    records: BTreeMap<SocketAddrV4, Record>,
    random: Pcg32,
}

impl Peers {
    /// Starts with the instances that the settings name, which may be stale.
    pub fn new(own: SocketAddrV4, zone: &str, seeds: &[SocketAddrV4], seed: u64) -> Peers {
        Peers {
            own,
            zone: zone.into(),
            seeds: seeds.iter().copied().filter(|at| *at != own).collect(),
            records: BTreeMap::new(),
            random: Pcg32::seed_from_u64(seed),
        }
    }

    /// Returns the instance itself as it tells of itself.
    pub fn local_peer(&self) -> Peer {
        Peer {
            address: self.own,
            zone: self.zone.clone(),
            age: Duration::ZERO,
        }
    }

    /// Takes over other instances that the settings name.
    pub fn set_seeds(&mut self, seeds: &[SocketAddrV4]) {
        self.seeds = seeds.iter().copied().filter(|at| *at != self.own).collect();
    }

    /// Returns the instances that the settings name, without the instance itself.
    pub fn seeds(&self) -> &[SocketAddrV4] {
        &self.seeds
    }

    /// Takes over what another instance tells.
    pub fn merge(&mut self, now: Time, peers: &[Peer]) {
        for peer in peers.iter().filter(|peer| peer.address != self.own) {
            let heard = Some(now - peer.age);
            let record = self.records.entry(peer.address);
            let record = record.or_insert_with(Record::new);
            record.zone = Some(peer.zone.clone());
            record.last_received = record.last_received.max(heard);
        }
        self.records.retain(|_, record| {
            let heard = record
                .last_received
                .or(record.failed_at)
                .or(record.stale_at);
            heard.is_some_and(|heard| now.since(heard) < PEER_TTL)
        });
    }

    /// Notes that an instance did not answer.
    pub fn record_failure(&mut self, now: Time, address: SocketAddrV4) {
        let record = self.records.entry(address);
        record.or_insert_with(Record::new).failed_at = Some(now);
    }

    /// Notes that an instance has no recent word of the store, so that another one is asked next:
    /// two that only ask each other learn nothing.
    pub fn record_stale(&mut self, now: Time, address: SocketAddrV4) {
        let record = self.records.entry(address);
        record.or_insert_with(Record::new).stale_at = Some(now);
    }

    /// Returns the instances heard of lately, the latest first.
    pub fn known(&self, now: Time) -> Vec<Peer> {
        let heard = self.records.iter().filter_map(|(address, record)| {
            Some(Peer {
                address: *address,
                zone: record.zone.clone()?,
                age: now.since(record.last_received?),
            })
        });
        let mut peers: Vec<_> = heard.filter(|peer| peer.age < PEER_TTL).collect();
        peers.sort_by_key(|peer| peer.age);
        peers.truncate(MAX_PEERS - 1);
        peers.push(self.local_peer());
        peers
    }

    /// Returns the instance of the own zone that follows the store for the others, or nothing if
    /// that is this one. Instances that know each other agree.
    pub fn leader(&self, now: Time) -> Option<SocketAddrV4> {
        let alive = |record: &Record| {
            let local = record.zone.as_ref() == Some(&self.zone);
            let failed = record
                .failed_at
                .is_some_and(|failed| now.since(failed) < FAILURE_PENALTY);
            let heard = record
                .last_received
                .is_some_and(|heard| now.since(heard) < PEER_TTL);
            local && heard && !failed
        };
        let others = self.records.iter().filter(|(_, record)| alive(record));
        let all = others.map(|(address, _)| *address).chain([self.own]);
        all.max_by_key(leader_rank)
            .filter(|leader| *leader != self.own)
    }

    /// Returns an instance to ask for news: one of the own zone if there is one, and none that did
    /// not answer or had no recent word of the store a moment ago.
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

/// Orders instances in a way that all of them compute alike.
fn leader_rank(address: &SocketAddrV4) -> (u64, SocketAddrV4) {
    let mut bytes = [0; 6];
    bytes[..4].copy_from_slice(&address.ip().octets());
    bytes[4..].copy_from_slice(&address.port().to_be_bytes());
    (SipHasher13::new().hash(&bytes), *address)
}
