//! Counters of what an instance did.

use strum::EnumCount;

/// What is counted. The names are also the names of the metrics.
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
    /// Packets that the fabric delivered.
    CallerPackets,
    /// Packets that other instances passed on to this one.
    RelayedPackets,
    /// Packets from backend servers.
    ServerPackets,
    /// Packets passed on to another instance.
    Relays,
    /// Packets sent to backend servers.
    ServerSends,
    /// Packets sent to callers.
    CallerSends,
    /// Flows placed on their first choice.
    FirstChoices,
    /// Flows placed elsewhere.
    Exceptions,
    /// Flows taken over without a record.
    Adopted,
    /// Flows moved to another backend server between requests.
    Rehomed,
    /// Flows closed by the system.
    Resets,
    /// Requests that were queued.
    Queued,
    /// Requests refused; they did not run.
    Refusals,
    /// Requests whose outcome is unknown.
    Unknowns,
    /// Requests sent again after their backend server did not run them.
    Retries,
    /// Repeated attempts of a request that is in progress; dropped.
    Repeats,
    /// Requests cancelled at their backend server.
    Cancels,
    /// Packets of a kind that their sender may not send; dropped.
    UnexpectedKinds,
    /// Packets of unknown flows or requests that need no answer; dropped.
    StrayPackets,
    /// Answers to closed flows or requests; dropped.
    StrayAnswers,
    /// Packets for a service that is not configured; dropped.
    UnknownServices,
    /// Opening packets that waited while the process was paused; dropped.
    StaleOpenings,
    /// Packets that passed too many instances; dropped.
    HopLimit,
    /// Packets that could not be passed on because no owner is known; dropped.
    NoOwner,
    /// Control messages sent to other instances.
    PeerSends,
    /// Control messages from other instances.
    PeerMessages,
    /// Calls to the platform's store.
    StoreCalls,
    /// Configuration records that do not apply.
    BadRecords,
    /// Backend servers acquired.
    Acquisitions,
    /// Leases that lapsed.
    Fences,
}

/// The counters of one instance.
#[derive(Clone, Debug)]
pub struct Counters([u64; Counter::COUNT]);

impl Default for Counters {
    fn default() -> Counters {
        Counters([0; Counter::COUNT])
    }
}

impl Counters {
    /// Counts one more.
    pub fn add(&mut self, counter: Counter) {
        self.add_many(counter, 1);
    }

    /// Counts `n` more.
    pub fn add_many(&mut self, counter: Counter, n: u64) {
        self.0[counter as usize] += n;
    }

    /// Returns the count.
    pub fn get(&self, counter: Counter) -> u64 {
        self.0[counter as usize]
    }
}
