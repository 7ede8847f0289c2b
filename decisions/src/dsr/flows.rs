//! Records of the flows that this instance opened.

use std::cmp::Reverse;
use std::collections::{
    BinaryHeap,
    HashMap, //
};
use std::sync::Arc;

use slotmap::SlotMap;
use smallvec::SmallVec;

use crate::time::Time;

use super::segment::{
    FlowTuple,
    Syn, //
};
use super::servers::ServerKey;

slotmap::new_key_type! {
    /// Names a flow inside this process.
    pub(super) struct FlowKey;
}

/// An opening packet that was sent to a backend server.
#[derive(Clone, Copy, Debug)]
pub(super) struct Attempt {
    /// The backend server.
    pub(super) server: ServerKey,
    /// When the packet was sent.
    pub(super) sent_at: Time,
    /// Whether the wait for an answer is over.
    pub(super) timed_out: bool,
    /// Whether the backend server was blamed for its silence.
    pub(super) failure_recorded: bool,
}

/// How far a flow is.
#[derive(Clone, Debug)]
pub(super) enum Stage {
    /// Opening packets are on the way, the latest last.
    Opening(SmallVec<[Attempt; 2]>),
    /// It is open at that backend server.
    Open(ServerKey),
    /// The client ended it.
    Closed(ServerKey),
}

/// A flow.
#[derive(Clone, Debug)]
pub(super) struct Flow {
    /// Its two ends.
    pub(super) tuple: FlowTuple,
    /// Its service.
    pub(super) service: Arc<str>,
    /// Its route, for logs.
    pub(super) route: Arc<str>,
    /// The client's opening packet.
    pub(super) syn: Syn,
    /// When that packet came first.
    pub(super) opened_at: Time,
    /// How far it is.
    pub(super) stage: Stage,
    /// When the client's last packet came.
    pub(super) last_packet: Time,
    /// Whether it counts as busy at its backend servers.
    pub(super) active: bool,
}

impl Flow {
    /// Returns the backend servers that got opening packets, or the one that the flow is open at.
    pub(super) fn servers(&self) -> SmallVec<[ServerKey; 2]> {
        match &self.stage {
            Stage::Opening(attempts) => attempts.iter().map(|attempt| attempt.server).collect(),
            Stage::Open(server) | Stage::Closed(server) => SmallVec::from_slice(&[*server]),
        }
    }
}

/// All flows with a record. Each has one timer.
#[derive(Debug, Default)]
pub(super) struct Flows {
    arena: SlotMap<FlowKey, Flow>,
    tuples: HashMap<FlowTuple, FlowKey>,
    timers: BinaryHeap<Reverse<(Time, FlowKey)>>,
}

impl Flows {
    /// Returns how many flows have a record.
    pub(super) fn len(&self) -> usize {
        self.arena.len()
    }

    /// Returns the flow with those ends.
    pub(super) fn find(&self, tuple: &FlowTuple) -> Option<FlowKey> {
        self.tuples.get(tuple).copied()
    }

    /// Returns a flow.
    pub(super) fn get_mut(&mut self, key: FlowKey) -> Option<&mut Flow> {
        self.arena.get_mut(key)
    }

    /// Adds a flow whose timer ends at `due`.
    pub(super) fn insert(&mut self, flow: Flow, due: Time) -> FlowKey {
        let tuple = flow.tuple;
        let key = self.arena.insert(flow);
        self.tuples.insert(tuple, key);
        self.timers.push(Reverse((due, key)));
        key
    }

    /// Removes a flow.
    pub(super) fn remove(&mut self, key: FlowKey) -> Option<Flow> {
        let flow = self.arena.remove(key)?;
        if self.tuples.get(&flow.tuple) == Some(&key) {
            self.tuples.remove(&flow.tuple);
        }
        Some(flow)
    }

    /// Returns a flow whose timer has ended, with the end of the timer. The caller sets a new one or
    /// removes the flow.
    pub(super) fn expired(&mut self, now: Time) -> Option<(Time, FlowKey)> {
        while let Some(Reverse((due, key))) = self.timers.peek().copied() {
            if due > now {
                return None;
            }
            self.timers.pop();
            if self.arena.contains_key(key) {
                return Some((due, key));
            }
        }
        None
    }

    /// Sets the timer of a flow whose timer has ended.
    pub(super) fn set_timer(&mut self, key: FlowKey, due: Time) {
        self.timers.push(Reverse((due, key)));
    }

    /// Returns when the next timer ends.
    pub(super) fn deadline(&self) -> Option<Time> {
        self.timers.peek().map(|Reverse((due, _))| *due)
    }
}
