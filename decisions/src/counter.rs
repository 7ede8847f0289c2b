//! Counters of an instance.

use strum::EnumCount;

/// Kinds of counted events. Their names are also the names of the metrics.
#[derive(
    Clone,
    Copy,
    Debug,
    Eq,
    PartialEq,
    strum::Display,
    strum::EnumCount,
    strum::EnumIter,
    strum::IntoStaticStr,
)]
#[strum(serialize_all = "snake_case")]
pub enum Counter {
    /// Packets from callers that the fabric delivered.
    CallerPackets,
    /// Packets that other instances relayed to this one.
    RelayedPackets,
    /// Packets from backend servers.
    ServerPackets,
    /// Packets relayed to another instance.
    Relays,
    /// Packets sent to backend servers.
    ServerSends,
    /// Packets sent to callers.
    CallerSends,
    /// Flows placed on their first choice.
    FirstChoices,
    /// Flows placed on another backend server than their first choice.
    Exceptions,
    /// Flows adopted without a record.
    Adopted,
    /// Flows reassigned to another backend server between requests.
    Rehomed,
    /// Flows closed by the load balancer.
    Resets,
    /// Requests that were queued.
    Queued,
    /// Requests refused; they did not run.
    Refusals,
    /// Requests whose outcome is unknown.
    Unknowns,
    /// Requests retried after their backend server did not run them.
    Retries,
    /// Repeated attempts of a request that is in progress.
    Repeats,
    /// Requests cancelled at their backend server.
    Cancels,
    /// Packets of a kind that their sender must not send; dropped.
    UnexpectedKinds,
    /// Packets of unknown flows or requests that need no answer; dropped.
    StrayPackets,
    /// Answers to closed flows or requests; dropped.
    StrayAnswers,
    /// Packets for a service that is not configured; dropped.
    UnknownServices,
    /// Opening packets that waited while the process was paused; dropped.
    StaleOpenings,
    /// Packets that reached the hop limit; dropped.
    HopLimit,
    /// Packets and messages that could not be sent because no owner or address is known; dropped.
    NoOwner,
    /// Control messages sent to other instances.
    PeerSends,
    /// Control messages from other instances.
    PeerMessages,
    /// Calls to the platform's store.
    StoreCalls,
    /// Configuration records that could not be applied.
    BadRecords,
    /// Backend servers whose ownership was acquired.
    Acquisitions,
    /// Leases that expired.
    Fences,
}

/// Counters of one instance.
#[derive(Clone, Debug)]
pub struct Counters([u64; Counter::COUNT]);

impl Default for Counters {
    fn default() -> Counters {
        Counters([0; Counter::COUNT])
    }
}

impl Counters {
    /// Increments a counter by one.
    pub fn add(&mut self, counter: Counter) {
        self.add_many(counter, 1);
    }

    /// Increments a counter by `n`.
    pub fn add_many(&mut self, counter: Counter, n: u64) {
        self.0[counter as usize] += n;
    }

    pub fn get(&self, counter: Counter) -> u64 {
        self.0[counter as usize]
    }
}
