//! The arena of owned backend servers: admission, queue and health of each.

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
    /// Key of an owned backend server in [`Servers`].
    pub struct ServerKey;
}

/// Settings of admission to a backend server.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct AdmissionSettings {
    /// Queued requests for each request that may run.
    pub queue: u32,
    /// How long a request without a deadline waits in the queue.
    #[serde(with = "humantime_serde")]
    pub patience: Duration,
    /// How long a load report counts.
    #[serde(with = "humantime_serde")]
    pub freshness: Duration,
    /// Failed health polls in a row after which a silent backend server is taken for failed.
    pub failures: u32,
    /// How long a backend server may leave every packet unanswered.
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

/// How many reports have to show requests of another owner before they count.
const FOREIGN_SAMPLES: usize = 3;

/// How far the ownership of a backend server has come.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Phase {
    /// An earlier owner may still admit until `until`, unless it hands over before.
    Waiting {
        /// When the earlier owner's lease has lapsed for certain.
        until: Time,
    },
    /// This instance admits while its lease holds.
    Active,
}

/// Whether a request may run now.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Admission {
    /// It may run.
    Run,
    /// All that the backend server bears is in use, or the lease lapsed: waiting may help.
    Busy,
    /// The backend server takes no new work.
    Closed,
}

/// What an owner knows of its backend server.
#[derive(Clone, Debug)]
pub struct Server {
    /// The backend server.
    pub id: BackendServerId,
    /// Its service.
    pub service: ServiceId,
    /// Its zone.
    pub zone: ZoneId,
    /// Where it takes packets.
    pub address: SocketAddr,
    /// Where it answers health and load calls.
    pub endpoint: SocketAddr,
    /// How many requests it runs at once.
    pub slots: u32,
    /// How many flows it bears.
    pub connections: u32,
    /// Whether operators want new work on it.
    pub state: ServerState,
    /// How far the ownership has come.
    pub phase: Phase,
    /// When the ownership began.
    pub acquired: Time,
    /// The successors whose acknowledgements carry the lease, in order.
    pub successors: SmallVec<[InstanceId; 2]>,
    /// When the first of them became one.
    pub chosen_at: Time,
    /// Whether the lease had lapsed at the last look. Admission looks at the time itself.
    pub fenced: bool,
    /// When the lease last lapsed; a renewal needs heartbeats sent later.
    pub expired_at: Option<Time>,
    /// How many requests it bears at present.
    pub warmup: Warmup,
    /// What its former owner last said of it, until its first load report tells whether that is
    /// still true.
    pub inherited: Option<LoadShare>,
    /// Requests of this owner that take a slot; counts each of them once.
    pub running: u32,
    /// Flows of this owner that it holds.
    pub flows: u32,
    /// Waiting requests, the one with the earliest end first.
    pub queue: SmallVec<[(Time, RequestKey); 8]>,
    /// What its health endpoint said last.
    pub health: Health,
    /// Polls in a row that it left unanswered.
    pub missed_polls: u32,
    /// Its latest load report.
    pub report: Option<(Time, LoadReport)>,
    /// How many requests each of the latest reports showed beyond those of this owner, the oldest
    /// first; at most [`FOREIGN_SAMPLES`].
    pub foreign_samples: SmallVec<[u32; FOREIGN_SAMPLES]>,
    /// When its latest packet arrived.
    pub last_received: Option<Time>,
    /// When the first packet was sent that it left unanswered.
    pub unanswered_since: Option<Time>,
    /// Whether it is taken for failed.
    pub down: bool,
}

impl Server {
    /// Returns whether a request may run now.
    pub fn admit(&self, leased: bool, settings: &AdmissionSettings, now: Time) -> Admission {
        if self.is_closed() {
            return Admission::Closed;
        }
        if !leased || self.phase != Phase::Active {
            return Admission::Busy;
        }
        let room = self
            .limit()
            .saturating_sub(self.foreign_requests(settings, now));
        if self.running < room {
            Admission::Run
        } else {
            Admission::Busy
        }
    }

    /// Returns whether a new flow has a connection to take.
    pub fn has_connection(&self) -> bool {
        self.flows < self.connections
    }

    /// Returns whether the backend server takes no new work.
    pub fn is_closed(&self) -> bool {
        self.down || self.state == ServerState::Draining
    }

    /// Returns how many requests may run at once.
    pub fn limit(&self) -> u32 {
        self.warmup.limit().min(self.slots)
    }

    /// Returns how many requests run there that this owner did not send, for as long as the latest
    /// report counts.
    ///
    /// An owner that just took over does not know the requests of the one before, and in a zone
    /// that is split within itself another owner may be sending. A report and the own count are
    /// not of the same moment, so only what all of the latest reports show counts.
    pub fn foreign_requests(&self, settings: &AdmissionSettings, now: Time) -> u32 {
        match self.report {
            Some((at, _)) if now.since(at) <= settings.freshness => {
                self.foreign_samples.iter().copied().min().unwrap_or(0)
            }
            _ => 0,
        }
    }

    fn record_foreign(&mut self, requests: u32) {
        if self.foreign_samples.len() == FOREIGN_SAMPLES {
            self.foreign_samples.remove(0);
        }
        self.foreign_samples
            .push(requests.saturating_sub(self.running));
    }

    /// Returns whether the queue has room for another request. While an earlier owner's lease may
    /// still run, a request fares better elsewhere.
    pub fn can_queue(&self, settings: &AdmissionSettings) -> bool {
        self.phase == Phase::Active
            && !self.is_closed()
            && self.queue.len() < (self.limit() * settings.queue) as usize
    }

    /// Adds a request that is given up at `until`.
    pub fn enqueue(&mut self, until: Time, request: RequestKey) {
        let at = self.queue.partition_point(|(other, _)| *other <= until);
        self.queue.insert(at, (until, request));
    }

    /// Removes a request from the queue.
    pub fn remove_queued(&mut self, request: RequestKey) {
        self.queue.retain(|(_, key)| *key != request);
    }

    /// Counts the time that it has worked. Called before the number of running requests changes.
    pub fn advance(&mut self, now: Time) {
        self.warmup.advance(now, self.running > 0);
    }

    /// Notes that a packet was sent to it.
    pub fn record_sent(&mut self, now: Time) {
        self.unanswered_since.get_or_insert(now);
    }

    /// Notes that a packet of it arrived; returns whether it had been taken for failed.
    pub fn record_received(&mut self, now: Time) -> bool {
        self.last_received = Some(now);
        self.unanswered_since = None;
        self.missed_polls = 0;
        std::mem::replace(&mut self.down, false)
    }

    /// Returns whether it should be taken for failed: its health endpoint and its packets are both
    /// silent. Either alone may mislead.
    pub fn has_failed(&self, settings: &AdmissionSettings, now: Time) -> bool {
        let polls = self.missed_polls >= settings.failures;
        let quiet = self
            .unanswered_since
            .is_some_and(|since| now.since(since) >= settings.silence);
        let idle = self.running == 0 && self.unanswered_since.is_none();
        polls && (quiet || idle)
    }

    /// Notes the end of a request with an answer.
    pub fn record_success(&mut self, latency: Duration, settings: &WarmupSettings, now: Time) {
        self.advance(now);
        self.warmup.record_success(latency, self.slots, settings);
    }

    /// Notes a load report; returns whether it shows that the backend server started again.
    pub fn record_report(&mut self, report: LoadReport, now: Time) -> bool {
        let restarted = self
            .report
            .is_some_and(|(_, earlier)| earlier.boot != report.boot);
        if self.report.is_none() {
            // A server that already runs this many bears at least as many.
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
    /// Returns an owned backend server.
    pub fn get(&self, id: BackendServerId) -> Option<&Server> {
        self.servers.get(*self.index.get(&id)?)
    }

    /// Returns an owned backend server for change.
    pub fn get_mut(&mut self, id: BackendServerId) -> Option<&mut Server> {
        self.servers.get_mut(*self.index.get(&id)?)
    }

    /// Returns whether this instance owns a backend server.
    pub fn owns(&self, id: BackendServerId) -> bool {
        self.index.contains_key(&id)
    }

    /// Adds a backend server that is not in the arena.
    pub fn insert(&mut self, server: Server) {
        let id = server.id;
        let key = self.servers.insert(server);
        self.index.insert(id, key);
    }

    /// Removes a backend server.
    pub fn remove(&mut self, id: BackendServerId) -> Option<Server> {
        let key = self.index.remove(&id)?;
        self.servers.remove(key)
    }

    /// Returns all owned backend servers.
    pub fn iter(&self) -> impl Iterator<Item = &Server> {
        self.servers.values()
    }

    /// Returns all owned backend servers for change.
    pub fn iter_mut(&mut self) -> impl Iterator<Item = &mut Server> {
        self.servers.values_mut()
    }

    /// Returns the identifiers of all owned backend servers, in order.
    pub fn ids(&self) -> SmallVec<[BackendServerId; 8]> {
        let mut ids: SmallVec<[BackendServerId; 8]> = self.index.keys().copied().collect();
        ids.sort_unstable();
        ids
    }
}
