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
use crate::requests::RequestKey;
use crate::time::Time;

slotmap::new_key_type! {
    /// Key of a flow record in [`Flows`].
    pub struct FlowKey;
}

/// Where a flow is served.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Place {
    /// On a backend server that this instance owns.
    Hosted(BackendServerId),
    /// On a backend server whose owner, if it is another instance, gets the packets.
    Redirected(BackendServerId),
    /// Nowhere any more. Kept so that late packets get the same outcome.
    Closed(Reason),
}

/// How many finished non-idempotent requests of a flow are remembered.
const FINISHED: usize = 2;

/// A flow record.
#[derive(Clone, Debug)]
pub struct Flow {
    /// The flow; unique in the arena.
    pub id: FlowId,
    /// Its service; never changes.
    pub service: ServiceId,
    /// Where it is served.
    pub place: Place,
    /// The caller's address.
    pub caller: SocketAddr,
    /// The fabric's unique id.
    pub unique: u128,
    /// When its latest packet passed.
    pub seen: Time,
    /// The time of the first packet that its backend server has not answered.
    pub asked: Option<Time>,
    /// How many packets its backend server has not answered.
    pub unanswered: u16,
    /// Whether its backend server knows the flow. Only then may a request go there as `Request`.
    pub opened: bool,
    /// Its requests in progress, as a list through [`crate::requests::Request::next`].
    pub requests: Option<RequestKey>,
    /// The latest finished non-idempotent requests. Boxed, because most flows have none.
    finished: Option<Box<[Option<RequestId>; FINISHED]>>,
}

impl Flow {
    /// Creates a record for a flow that passes at `now`.
    pub fn new(id: FlowId, service: ServiceId, place: Place, route: Route, now: Time) -> Flow {
        Flow {
            id,
            service,
            place,
            caller: route.caller,
            unique: route.unique,
            seen: now,
            asked: None,
            unanswered: 0,
            opened: false,
            requests: None,
            finished: None,
        }
    }

    /// Remembers a finished non-idempotent request in place of the oldest one.
    pub fn remember(&mut self, request: RequestId) {
        let finished = self.finished.get_or_insert_default();
        finished.rotate_right(1);
        finished[0] = Some(request);
    }

    /// Returns whether a non-idempotent request is remembered as finished.
    pub fn has_finished(&self, request: RequestId) -> bool {
        let finished = self.finished.as_deref();
        finished.is_some_and(|finished| finished.contains(&Some(request)))
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
