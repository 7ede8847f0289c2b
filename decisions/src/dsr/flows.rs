//! Records of the flows that this instance opened.

use std::cmp::Reverse;
use std::collections::{
    BTreeSet,
    BinaryHeap,
    HashMap, //
};
use std::sync::Arc;
use std::time::Duration;

use slotmap::SlotMap;
use smallvec::SmallVec;

use crate::time::Time;

use super::segment::{
    FlowTuple,
    Position,
    Syn,
    is_after, //
};
use super::servers::ServerKey;

slotmap::new_key_type! {
    /// Key of a flow; valid in this process only.
    pub(super) struct FlowKey;
}

/// A SYN that was sent to one backend server.
#[derive(Clone, Copy, Debug)]
pub(super) struct Attempt {
    pub(super) server: ServerKey,
    pub(super) sent_at: Time,
    /// Whether the handshake timed out.
    pub(super) timed_out: bool,
    /// Whether the timeout was recorded for the health of the backend server.
    pub(super) failure_recorded: bool,
}

/// The stage of a flow.
#[derive(Clone, Debug)]
pub(super) enum Stage {
    /// SYNs were sent; the latest attempt is last.
    Opening(SmallVec<[Attempt; 2]>),
    /// The handshake with this backend server completed.
    Open(ServerKey),
    /// The client sent a FIN or RST, or this instance reset the flow.
    Closed(ServerKey),
    /// Opened through another instance, at a backend server that is unknown.
    Unknown,
}

#[derive(Clone, Debug)]
pub(super) struct Flow {
    pub(super) tuple: FlowTuple,
    pub(super) service: Arc<str>,
    /// The name of the route, for logs.
    pub(super) route: Arc<str>,
    /// The client's latest SYN, or `None` if the flow was opened through another instance.
    pub(super) syn: Option<Syn>,
    /// Arrival time of the first packet.
    pub(super) opened_at: Time,
    pub(super) stage: Stage,
    /// Arrival time of the client's last packet.
    pub(super) last_packet: Time,
    /// The sequence number after the client's latest data, or `None` before the first data.
    pub(super) sent_end: Option<u32>,
    /// Arrival time of the first transmission of the latest data.
    pub(super) sent_at: Time,
    /// The sequence number that the client acknowledged last.
    pub(super) acked: u32,
    /// Whether the flow counts among the active flows of its backend servers.
    pub(super) active: bool,
}

impl Flow {
    /// Returns the backend servers that were sent a SYN, or the one at which the flow is open.
    pub(super) fn servers(&self) -> SmallVec<[ServerKey; 2]> {
        match &self.stage {
            Stage::Opening(attempts) => attempts.iter().map(|attempt| attempt.server).collect(),
            Stage::Open(server) | Stage::Closed(server) => SmallVec::from_slice(&[*server]),
            Stage::Unknown => SmallVec::new(),
        }
    }

    /// Records the position of a packet that is not a SYN.
    pub(super) fn record_position(&mut self, now: Time, position: &Position) -> Progress {
        let acknowledged = self.sent_end.is_some() && is_after(position.acked, self.acked);
        if acknowledged || self.sent_end.is_none() {
            self.acked = position.acked;
        }
        let is_new = self.sent_end.is_none_or(|end| is_after(position.end, end));
        if is_new {
            self.sent_end = Some(position.end);
            self.sent_at = now;
        }
        Progress {
            acknowledged,
            retransmitted: !is_new
                && position.length > 0
                && now.since(self.sent_at) >= MIN_RETRANSMISSION,
        }
    }
}

/// What a packet shows about its flow.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub(super) struct Progress {
    /// The client received more data of the backend server.
    pub(super) acknowledged: bool,
    /// The client sent data again that was not acknowledged.
    pub(super) retransmitted: bool,
}

/// Data that arrives again sooner was reordered or duplicated by the network. Clients retransmit
/// after 200 ms.
const MIN_RETRANSMISSION: Duration = Duration::from_millis(150);

/// The records of all flows. Each flow has one timer.
#[derive(Debug, Default)]
pub(super) struct Flows {
    arena: SlotMap<FlowKey, Flow>,
    tuples: HashMap<FlowTuple, FlowKey>,
    timers: BinaryHeap<Reverse<(Time, FlowKey)>>,
}

impl Flows {
    /// Returns the number of flows that have a record.
    pub(super) fn len(&self) -> usize {
        self.arena.len()
    }

    pub(super) fn find(&self, tuple: &FlowTuple) -> Option<FlowKey> {
        self.tuples.get(tuple).copied()
    }

    pub(super) fn get_mut(&mut self, key: FlowKey) -> Option<&mut Flow> {
        self.arena.get_mut(key)
    }

    /// Returns the flows that are open at a backend server.
    pub(super) fn iter_open(&self, server: ServerKey) -> impl Iterator<Item = FlowKey> {
        let open = move |flow: &Flow| matches!(flow.stage, Stage::Open(at) if at == server);
        let all = self.arena.iter();
        all.filter_map(move |(key, flow)| open(flow).then_some(key))
    }

    /// Returns the backend servers at which flows are open, in the order of their keys.
    pub(super) fn servers_with_open_flows(&self) -> BTreeSet<ServerKey> {
        let open = |flow: &Flow| match flow.stage {
            Stage::Open(server) => Some(server),
            Stage::Opening(_) | Stage::Closed(_) | Stage::Unknown => None,
        };
        self.arena.values().filter_map(open).collect()
    }

    /// Adds a flow whose timer ends at `due`.
    pub(super) fn insert(&mut self, flow: Flow, due: Time) -> FlowKey {
        let tuple = flow.tuple;
        let key = self.arena.insert(flow);
        self.tuples.insert(tuple, key);
        self.timers.push(Reverse((due, key)));
        key
    }

    pub(super) fn remove(&mut self, key: FlowKey) -> Option<Flow> {
        let flow = self.arena.remove(key)?;
        if self.tuples.get(&flow.tuple) == Some(&key) {
            self.tuples.remove(&flow.tuple);
        }
        Some(flow)
    }

    /// Returns a flow whose timer has ended, and when it ended. The calling function then sets a
    /// new timer or removes the flow.
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

    /// Sets a new timer for a flow whose last one has ended.
    pub(super) fn set_timer(&mut self, key: FlowKey, due: Time) {
        self.timers.push(Reverse((due, key)));
    }

    /// Returns the time at which the next timer ends.
    pub(super) fn deadline(&self) -> Option<Time> {
        self.timers.peek().map(|Reverse((due, _))| *due)
    }
}
