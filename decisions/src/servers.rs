//! Arena of the backend servers that this instance owns, with the admission, queue and health of
//! each.

use std::net::SocketAddr;
use std::time::Duration;

use rustc_hash::FxHashMap;
use serde::{
    Deserialize,
    Serialize, //
};
use slotmap::SlotMap;
use smallvec::SmallVec;

use crate::config::ServerState;
use crate::event::{
    Health,
    LoadReport, //
};
use crate::ids::{
    BackendServerId,
    InstanceId,
    ServiceId,
    ZoneId, //
};
use crate::peer::LoadShare;
use crate::requests::RequestKey;
use crate::time::Time;
use crate::warmup::{
    Warmup,
    WarmupSettings, //
};

slotmap::new_key_type! {
    pub struct ServerKey;
}

/// Settings of admission to a backend server.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct AdmissionSettings {
    /// Maximum number of queued requests for each request that may run.
    pub queue: u32,
    /// Maximum time that a request without a deadline waits in the queue.
    #[serde(with = "humantime_serde")]
    pub patience: Duration,
    /// Time for which a load report is valid.
    #[serde(with = "humantime_serde")]
    pub freshness: Duration,
    /// Number of consecutive failed health polls after which an unresponsive backend server is
    /// marked down.
    pub failures: u32,
    /// Time for which a backend server may leave all packets unanswered before it counts as
    /// unresponsive.
    #[serde(with = "humantime_serde")]
    pub silence: Duration,
}

impl Default for AdmissionSettings {
    fn default() -> AdmissionSettings {
        AdmissionSettings {
            queue: 2,
            patience: Duration::from_secs(2),
            freshness: Duration::from_secs(3),
            failures: 3,
            silence: Duration::from_secs(3),
        }
    }
}

/// Maximum number of load reports that are compared to count the requests of other owners.
const FOREIGN_SAMPLES: usize = 3;

/// Progress of acquiring the ownership of a backend server.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Phase {
    /// An earlier owner may still admit requests until `until`, unless it hands over earlier.
    Waiting {
        /// Time at which the earlier owner's lease has certainly expired.
        until: Time,
    },
    /// This instance admits requests while it holds the lease.
    Active,
}

/// Whether a request may run now.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Admission {
    Run,
    /// The request may be queued: the concurrency limit is reached, an earlier owner may still be
    /// active, or the lease has expired.
    Busy,
    /// The backend server accepts no new work.
    Closed,
}

/// State that the owner keeps for a backend server.
#[derive(Clone, Debug)]
pub struct Server {
    pub id: BackendServerId,
    pub service: ServiceId,
    pub zone: ZoneId,
    /// Address to which packets are sent.
    pub address: SocketAddr,
    /// Address at which the backend server serves health and load calls.
    pub endpoint: SocketAddr,
    /// Maximum number of concurrent requests, from the configuration.
    pub slots: u32,
    /// Maximum number of flows, from the configuration.
    pub connections: u32,
    /// Whether operators let the backend server accept new work.
    pub state: ServerState,
    pub phase: Phase,
    /// Time at which this instance became the owner.
    pub acquired: Time,
    /// Successors whose acknowledgements renew the lease, in the order of succession.
    pub successors: SmallVec<[InstanceId; 2]>,
    /// Time at which the first successor was chosen.
    pub chosen_at: Time,
    /// Whether the lease had expired at the last check. Admission checks the time itself.
    pub fenced: bool,
    /// Time at which the lease expired. Only heartbeats that were sent later renew it.
    pub expired_at: Option<Time>,
    /// Current concurrency limit.
    pub warmup: Warmup,
    /// Last load that its former owner reported. The first load report shows whether the backend
    /// server has restarted since; if not, the reported limit still applies.
    pub inherited: Option<LoadShare>,
    /// Number of this owner's requests that take a slot. A request that was sent more than once
    /// counts once.
    pub running: u32,
    /// Number of this owner's flows on the backend server.
    pub flows: u32,
    /// Queued requests with the time at which each is refused, earliest first.
    pub queue: SmallVec<[(Time, RequestKey); 8]>,
    /// Result of the latest health poll.
    pub health: Health,
    /// Number of failed health polls since the last successful one or the last packet.
    pub missed_polls: u32,
    /// Latest load report and when it arrived.
    pub report: Option<(Time, LoadReport)>,
    /// Number of requests in each of the latest reports beyond those of this owner, oldest first;
    /// at most [`FOREIGN_SAMPLES`].
    pub foreign_samples: SmallVec<[u32; FOREIGN_SAMPLES]>,
    /// Time at which a packet from the backend server last arrived.
    pub last_received: Option<Time>,
    /// Time of the first packet sent to the backend server since it last answered.
    pub unanswered_since: Option<Time>,
    /// Whether the backend server is marked down.
    pub down: bool,
}

impl Server {
    /// Returns whether a request may run now; `leased` says whether this owner holds the lease.
    pub fn admit(&self, leased: bool, settings: &AdmissionSettings, now: Time) -> Admission {
        if self.is_closed() {
            return Admission::Closed;
        }
        if !leased || self.phase != Phase::Active {
            return Admission::Busy;
        }
        let capacity = self
            .limit()
            .saturating_sub(self.foreign_requests(settings, now));
        if self.running < capacity {
            Admission::Run
        } else {
            Admission::Busy
        }
    }

    /// Returns whether the backend server can take another flow.
    pub fn has_connection(&self) -> bool {
        self.flows < self.connections
    }

    /// Returns whether the backend server accepts no new work, because it is down or draining.
    pub fn is_closed(&self) -> bool {
        self.down || self.state == ServerState::Draining
    }

    /// Returns the current concurrency limit.
    pub fn limit(&self) -> u32 {
        self.warmup.limit().min(self.slots)
    }

    /// Returns the number of requests on the backend server that this owner did not send, or 0 if
    /// the latest report is no longer valid.
    ///
    /// A new owner does not know the requests of the previous one, and in a partitioned zone
    /// another owner may be sending too. A report and this owner's count are taken at different
    /// times, so the lowest number in the latest `FOREIGN_SAMPLES` reports counts.
    pub fn foreign_requests(&self, settings: &AdmissionSettings, now: Time) -> u32 {
        match self.report {
            Some((at, _)) if now.since(at) <= settings.freshness => {
                self.foreign_samples.iter().copied().min().unwrap_or(0)
            }
            _ => 0,
        }
    }

    /// Stores by how many requests a load report exceeds this owner's running requests.
    fn record_foreign(&mut self, requests: u32) {
        if self.foreign_samples.len() == FOREIGN_SAMPLES {
            self.foreign_samples.remove(0);
        }
        self.foreign_samples
            .push(requests.saturating_sub(self.running));
    }

    /// Returns whether another request can be queued. While an earlier owner's lease may still be
    /// valid, no request is queued, so that it is placed on another backend server instead.
    pub fn can_queue(&self, settings: &AdmissionSettings) -> bool {
        self.phase == Phase::Active
            && !self.is_closed()
            && self.queue.len() < (self.limit() * settings.queue) as usize
    }

    /// Queues a request that is refused if it has not started by `until`.
    pub fn enqueue(&mut self, until: Time, request: RequestKey) {
        let at = self.queue.partition_point(|(other, _)| *other <= until);
        self.queue.insert(at, (until, request));
    }

    pub fn remove_queued(&mut self, request: RequestKey) {
        self.queue.retain(|(_, key)| *key != request);
    }

    /// Adds the time since the last call to the busy time of the warm-up if a request was running.
    /// Must be called before the number of running requests changes.
    pub fn advance(&mut self, now: Time) {
        self.warmup.advance(now, self.running > 0);
    }

    /// Records that a packet was sent to the backend server.
    pub fn record_sent(&mut self, now: Time) {
        self.unanswered_since.get_or_insert(now);
    }

    /// Records that a packet from the backend server arrived. Returns whether it had been marked
    /// down.
    pub fn record_received(&mut self, now: Time) -> bool {
        self.last_received = Some(now);
        self.unanswered_since = None;
        self.missed_polls = 0;
        std::mem::replace(&mut self.down, false)
    }

    /// Returns whether the backend server should be marked down: neither its health endpoint nor
    /// its packets show that it works. One of the two may fail while the backend server works.
    pub fn has_failed(&self, settings: &AdmissionSettings, now: Time) -> bool {
        let polls_failed = self.missed_polls >= settings.failures;
        let unresponsive = self
            .unanswered_since
            .is_some_and(|since| now.since(since) >= settings.silence);
        let idle = self.running == 0 && self.unanswered_since.is_none();
        polls_failed && (unresponsive || idle)
    }

    /// Records an answered request and its latency.
    pub fn record_success(&mut self, latency: Duration, settings: &WarmupSettings, now: Time) {
        self.advance(now);
        self.warmup.record_success(latency, self.slots, settings);
    }

    /// Records a load report. Returns whether it shows that the backend server has restarted.
    pub fn record_report(&mut self, report: LoadReport, now: Time) -> bool {
        let restarted = self
            .report
            .is_some_and(|(_, earlier)| earlier.boot != report.boot);
        if self.report.is_none() {
            // A backend server that already runs this many requests has at least this capacity.
            self.warmup.raise_to(report.requests, self.slots);
        }
        if let Some(inherited) = self.inherited.take()
            && inherited.boot == report.boot as u32
        {
            self.warmup.raise_to(u32::from(inherited.limit), self.slots);
        }
        self.record_foreign(report.requests);
        self.report = Some((now, report));
        restarted
    }
}

/// The arena of owned backend servers, with an index by identifier.
#[derive(Default)]
pub struct Servers {
    servers: SlotMap<ServerKey, Server>,
    index: FxHashMap<BackendServerId, ServerKey>,
}

impl Servers {
    pub fn get(&self, id: BackendServerId) -> Option<&Server> {
        self.servers.get(*self.index.get(&id)?)
    }

    pub fn get_mut(&mut self, id: BackendServerId) -> Option<&mut Server> {
        self.servers.get_mut(*self.index.get(&id)?)
    }

    pub fn owns(&self, id: BackendServerId) -> bool {
        self.index.contains_key(&id)
    }

    /// Adds a backend server. It must not be in the arena yet.
    pub fn insert(&mut self, server: Server) {
        let id = server.id;
        let key = self.servers.insert(server);
        self.index.insert(id, key);
    }

    pub fn remove(&mut self, id: BackendServerId) -> Option<Server> {
        let key = self.index.remove(&id)?;
        self.servers.remove(key)
    }

    pub fn iter(&self) -> impl Iterator<Item = &Server> {
        self.servers.values()
    }

    pub fn iter_mut(&mut self) -> impl Iterator<Item = &mut Server> {
        self.servers.values_mut()
    }

    /// Returns the identifiers of all owned backend servers in ascending order.
    pub fn ids(&self) -> SmallVec<[BackendServerId; 8]> {
        let mut ids: SmallVec<[BackendServerId; 8]> = self.index.keys().copied().collect();
        ids.sort_unstable();
        ids
    }
}
