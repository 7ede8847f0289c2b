//! The arena of flow records.

use std::hash::{
    BuildHasher,
    BuildHasherDefault, //
};
use std::net::SocketAddr;

use hashbrown::HashTable;
use rustc_hash::FxHasher;
use slotmap::SlotMap;

use crate::ids::{
    BackendServerId,
    FlowId,
    RequestId,
    ServiceId, //
};
use crate::packet::{
    Reason,
    Route, //
};
use crate::rendezvous::mix;
use crate::requests::RequestKey;
use crate::time::Time;

slotmap::new_key_type! {
    /// Key of a flow record in [`Flows`].
    pub struct FlowKey;
}

/// Where a flow is served.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Placement {
    /// On a backend server that this instance owns.
    Hosted(BackendServerId),
    /// On a backend server whose owner, if it is another instance, gets the packets.
    Redirected {
        /// The backend server.
        backend_server: BackendServerId,
        /// Its position in the candidate list. Packets follow redirects only to higher positions,
        /// so that redirects of different ages can't form a loop.
        position: u8,
    },
    /// Nowhere: this instance refused to open it. It may have been opened elsewhere since. Kept so
    /// that the next attempt need not be doubted.
    Refused,
    /// Nowhere any more. Kept so that late packets get the same outcome.
    Closed(Reason),
}

/// The position of a backend server that is known without the candidate list. Higher than all
/// positions in a list.
pub const DIRECT_POSITION: u8 = 4;

/// How many finished requests of a flow are remembered.
pub const MAX_FINISHED: usize = 4;

/// A finished request: 31 bits of its identifier's hash and whether it was idempotent. Two requests
/// of a flow that share a tag are taken for the same, so that a request is refused rather than run
/// twice.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
struct Finished(u32);

impl Finished {
    fn new(request: RequestId, idempotent: bool) -> Finished {
        // The one keeps used tags apart from empty ones.
        let tag = (mix(request.0, MAX_FINISHED as u64) as u32 >> 2) | 1 << 30;
        Finished(tag << 1 | u32::from(idempotent))
    }
}

/// A flow record.
#[derive(Clone, Debug)]
pub struct Flow {
    /// The flow; unique in the arena.
    pub id: FlowId,
    /// Its service; never changes.
    pub service: ServiceId,
    /// Where it is served.
    pub placement: Placement,
    /// The caller's address.
    pub caller: SocketAddr,
    /// The fabric's unique id.
    pub unique_id: u128,
    /// When its latest packet passed.
    pub last_seen: Time,
    /// The time of the first packet that its backend server has not answered.
    pub unanswered_since: Option<Time>,
    /// How many packets its backend server has not answered.
    pub unanswered: u16,
    /// Whether its backend server knows the flow. Only then may a request go there as `Request`.
    pub opened: bool,
    /// Its requests in progress, as a list through [`crate::requests::Request::next`].
    pub requests: Option<RequestKey>,
    /// Whether the flow was taken over and its backend server has not confirmed it here.
    pub adopted: bool,
    /// The tag and attempt of the request that was refused last. It did not run, so that its next
    /// attempt is as good as a first one.
    refused: (Finished, u8),
    /// The latest finished requests, newest first.
    finished: [Finished; MAX_FINISHED],
}

impl Flow {
    /// Creates a record for a flow that passes at `now`.
    pub fn new(
        id: FlowId,
        service: ServiceId,
        placement: Placement,
        route: Route,
        now: Time,
    ) -> Flow {
        Flow {
            id,
            service,
            placement,
            caller: route.caller,
            unique_id: route.unique_id,
            last_seen: now,
            unanswered_since: None,
            unanswered: 0,
            opened: false,
            requests: None,
            adopted: false,
            refused: (Finished::default(), 0),
            finished: [Finished::default(); MAX_FINISHED],
        }
    }

    /// Remembers a finished request in place of the oldest one.
    pub fn record_finished(&mut self, request: RequestId, idempotent: bool) {
        self.finished.rotate_right(1);
        self.finished[0] = Finished::new(request, idempotent);
    }

    /// Remembers that an attempt of a request did not run.
    pub fn record_refusal(&mut self, request: RequestId, attempt: u8) {
        self.refused = (Finished::new(request, false), attempt);
    }

    /// Returns whether an earlier attempt of a request may have run without a record here.
    pub fn may_have_run(&self, request: RequestId, attempt: u8) -> bool {
        let (tag, refused) = self.refused;
        let follows = tag == Finished::new(request, false) && attempt == refused.wrapping_add(1);
        attempt > 0 && !follows
    }

    /// Returns what is remembered of finished requests, for the next owner.
    pub fn finished_tags(&self) -> [u32; MAX_FINISHED] {
        self.finished.map(|finished| finished.0)
    }

    /// Takes over what a former owner remembered of finished requests.
    pub fn set_finished_tags(&mut self, tags: [u32; MAX_FINISHED]) {
        self.finished = tags.map(Finished);
    }

    /// Returns whether a request is remembered as finished that must not run again.
    pub fn has_run(&self, request: RequestId) -> bool {
        self.finished.contains(&Finished::new(request, false))
    }

    /// Returns whether a request is remembered as finished.
    pub fn has_finished(&self, request: RequestId) -> bool {
        self.has_run(request) || self.finished.contains(&Finished::new(request, true))
    }
}

/// The arena of flow records, with an index by flow identifier.
#[derive(Default)]
pub struct Flows {
    flows: SlotMap<FlowKey, Flow>,
    /// One entry for each record. Only keys are stored; the identifier is in the record.
    index: HashTable<FlowKey>,
}

fn hash(flow: FlowId) -> u64 {
    BuildHasherDefault::<FxHasher>::default().hash_one(flow.0)
}

impl Flows {
    /// Returns the key of a flow's record.
    pub fn find(&self, flow: FlowId) -> Option<FlowKey> {
        self.index
            .find(hash(flow), |key| self.flows[*key].id == flow)
            .copied()
    }

    /// Returns a record.
    pub fn get(&self, key: FlowKey) -> Option<&Flow> {
        self.flows.get(key)
    }

    /// Returns a record for change. Its identifier must stay.
    pub fn get_mut(&mut self, key: FlowKey) -> Option<&mut Flow> {
        self.flows.get_mut(key)
    }

    /// Adds a record in place of any earlier one of the same flow.
    pub fn insert(&mut self, flow: Flow) -> FlowKey {
        let id = flow.id;
        if let Some(key) = self.find(id) {
            self.flows[key] = flow;
            return key;
        }
        let key = self.flows.insert(flow);
        let flows = &self.flows;
        self.index
            .insert_unique(hash(id), key, |key| hash(flows[*key].id));
        key
    }

    /// Removes a record.
    pub fn remove(&mut self, key: FlowKey) -> Option<Flow> {
        let id = self.flows.get(key)?.id;
        let entry = self.index.find_entry(hash(id), |other| *other == key);
        if let Ok(entry) = entry {
            entry.remove();
        }
        self.flows.remove(key)
    }

    /// Returns all records.
    pub fn iter(&self) -> impl Iterator<Item = (FlowKey, &Flow)> {
        self.flows.iter()
    }

    /// Returns how many records there are.
    pub fn len(&self) -> usize {
        self.flows.len()
    }

    /// Returns whether there is no record.
    pub fn is_empty(&self) -> bool {
        self.flows.is_empty()
    }
}
