//! Arena of flow records.

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
    pub struct FlowKey;
}

/// Where a flow is served.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Placement {
    /// On a backend server that this instance owns.
    Hosted(BackendServerId),
    /// On a backend server of another owner, to which the flow's packets are relayed. This instance
    /// may have become its owner since.
    Redirected {
        backend_server: BackendServerId,
        /// Position of the backend server in the candidate list. Packets follow redirects only to
        /// higher positions, so that redirects of different ages cannot form a loop.
        position: u8,
    },
    /// On no backend server, because this instance refused to open the flow. Another instance may
    /// have opened the flow since. The record is kept so that the next attempt is not treated as
    /// possibly executed.
    Refused,
    /// On no backend server, because the flow is closed. The record is kept so that late packets
    /// get the same reason.
    Closed(Reason),
}

/// Position of a backend server in a redirect that another owner registered. Higher than all
/// positions in a candidate list.
pub const DIRECT_POSITION: u8 = 4;

/// Number of finished requests that a flow record holds.
pub const MAX_FINISHED: usize = 4;

/// Tag of a finished request: 30 bits of the hash of its identifier, a bit that is always set, and
/// whether it was idempotent. Two requests of a flow with the same tag count as the same request,
/// so that a request is refused rather than run twice.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
struct Finished(u32);

impl Finished {
    fn new(request: RequestId, idempotent: bool) -> Finished {
        // The set bit distinguishes tags from the empty value 0.
        let tag = (mix(request.0, MAX_FINISHED as u64) as u32 >> 2) | 1 << 30;
        Finished(tag << 1 | u32::from(idempotent))
    }
}

/// Record that an instance keeps of one flow.
#[derive(Clone, Debug)]
pub struct Flow {
    /// Identifier, unique in the arena.
    pub id: FlowId,
    /// Service that the caller addressed; never changes.
    pub service: ServiceId,
    pub placement: Placement,
    pub caller: SocketAddr,
    /// Unique id of the flow, assigned by the fabric.
    pub unique_id: u128,
    /// Time of the latest packet.
    pub last_seen: Time,
    /// Time of the first packet sent to the backend server since it last answered.
    pub unanswered_since: Option<Time>,
    /// Number of packets sent to the backend server since it last answered.
    pub unanswered: u16,
    /// Whether the backend server knows the flow. Only then may a request be sent to it as
    /// `Request`.
    pub opened: bool,
    /// Head of the list of requests in progress, linked by [`crate::requests::Request::next`].
    pub requests: Option<RequestKey>,
    /// Whether the flow was taken over from another owner and its backend server has not confirmed
    /// it yet.
    pub adopted: bool,
    /// Tag and attempt of the request that was refused last. It did not run, so its next attempt is
    /// treated like a first one.
    refused: (Finished, u8),
    /// Latest finished requests, newest first.
    finished: [Finished; MAX_FINISHED],
}

impl Flow {
    /// Creates a record for a flow whose first packet reached this instance at `now`.
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

    /// Records a finished request in place of the oldest one.
    pub fn record_finished(&mut self, request: RequestId, idempotent: bool) {
        self.finished.rotate_right(1);
        self.finished[0] = Finished::new(request, idempotent);
    }

    /// Records that an attempt of a request did not run.
    pub fn record_refusal(&mut self, request: RequestId, attempt: u8) {
        self.refused = (Finished::new(request, false), attempt);
    }

    /// Returns whether an earlier attempt of a request may have run without a record in this
    /// instance. False for a first attempt and for the attempt after one that was refused here.
    pub fn may_have_run(&self, request: RequestId, attempt: u8) -> bool {
        let (tag, refused) = self.refused;
        let follows = tag == Finished::new(request, false) && attempt == refused.wrapping_add(1);
        attempt > 0 && !follows
    }

    /// Returns the tags of finished requests, for the next owner.
    pub fn finished_tags(&self) -> [u32; MAX_FINISHED] {
        self.finished.map(|finished| finished.0)
    }

    /// Sets the tags of finished requests that a former owner recorded.
    pub fn set_finished_tags(&mut self, tags: [u32; MAX_FINISHED]) {
        self.finished = tags.map(Finished);
    }

    /// Returns whether a non-idempotent request is recorded as finished, so that it must not run
    /// again.
    pub fn has_run(&self, request: RequestId) -> bool {
        self.finished.contains(&Finished::new(request, false))
    }

    /// Returns whether a request is recorded as finished.
    pub fn has_finished(&self, request: RequestId) -> bool {
        self.has_run(request) || self.finished.contains(&Finished::new(request, true))
    }
}

/// Arena of flow records with an index by flow identifier.
#[derive(Default)]
pub struct Flows {
    flows: SlotMap<FlowKey, Flow>,
    /// Holds one key for each record. The identifiers are in the records.
    index: HashTable<FlowKey>,
}

fn hash(flow: FlowId) -> u64 {
    BuildHasherDefault::<FxHasher>::default().hash_one(flow.0)
}

impl Flows {
    pub fn find(&self, flow: FlowId) -> Option<FlowKey> {
        self.index
            .find(hash(flow), |key| self.flows[*key].id == flow)
            .copied()
    }

    pub fn get(&self, key: FlowKey) -> Option<&Flow> {
        self.flows.get(key)
    }

    /// Returns a mutable record. Its identifier must not be changed, because it is indexed.
    pub fn get_mut(&mut self, key: FlowKey) -> Option<&mut Flow> {
        self.flows.get_mut(key)
    }

    /// Adds a record, replacing an earlier one of the same flow.
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

    pub fn remove(&mut self, key: FlowKey) -> Option<Flow> {
        let id = self.flows.get(key)?.id;
        let entry = self.index.find_entry(hash(id), |other| *other == key);
        if let Ok(entry) = entry {
            entry.remove();
        }
        self.flows.remove(key)
    }

    pub fn iter(&self) -> impl Iterator<Item = (FlowKey, &Flow)> {
        self.flows.iter()
    }

    pub fn len(&self) -> usize {
        self.flows.len()
    }

    pub fn is_empty(&self) -> bool {
        self.flows.is_empty()
    }
}
