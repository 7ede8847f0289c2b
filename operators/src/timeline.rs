//! The time line of an instance: its latest changes of state with hybrid logical clock stamps.

use std::collections::VecDeque;
use std::num::NonZeroU64;

use kameo::Actor;
use kameo::error::Infallible;
use kameo::message::{
    Context,
    Message, //
};
use lovagespindle_decisions::ids::InstanceId;
use lovagespindle_decisions::state_change::StateChange;
use serde::{
    Deserialize,
    Serialize, //
};
use tokio::sync::broadcast;
use uhlc::{
    HLC,
    HLCBuilder,
    ID,
    NTP64,
    Timestamp, //
};

use crate::filter::Selection;
use crate::messages::{
    FollowTimeline,
    Followed,
    ReadTimeline, //
};

/// Settings of the time line.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Settings {
    /// How many entries are kept; at least 1.
    pub entries: usize,
    /// How many entries a follower may lag behind before it is cut off; at least 1.
    pub lag: usize,
}

impl Default for Settings {
    fn default() -> Settings {
        Settings {
            entries: 4096,
            lag: 1024,
        }
    }
}

/// One entry of the time line.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Entry {
    /// When it was noted, and by which instance. Unique.
    pub stamp: Timestamp,
    /// What changed.
    pub occurrence: StateChange,
}

impl Entry {
    /// Returns the instance that noted the entry.
    pub fn instance(&self) -> InstanceId {
        let bytes = self.stamp.get_id().to_le_bytes();
        let (low, _) = bytes.split_at(8);
        InstanceId(low.iter().rev().fold(0, |n, b| n << 8 | u64::from(*b)))
    }
}

/// Returns the stamp of an instance at a time. Instance 0, which is never drawn, counts as 1.
pub fn stamp(time: u64, instance: InstanceId) -> Timestamp {
    Timestamp::new(NTP64(time), clock_id(instance))
}

fn clock_id(instance: InstanceId) -> ID {
    ID::from(NonZeroU64::new(instance.0).unwrap_or(NonZeroU64::MIN))
}

/// The latest entries of one instance.
#[derive(Debug)]
pub struct Ring {
    /// Oldest first; at most `capacity`.
    entries: VecDeque<Entry>,
    capacity: usize,
}

impl Ring {
    /// Creates an empty ring for at most `capacity` entries, but at least one.
    pub fn new(capacity: usize) -> Ring {
        Ring {
            entries: VecDeque::new(),
            capacity: capacity.max(1),
        }
    }

    /// Adds an entry and drops the oldest one if there are too many.
    pub fn push(&mut self, entry: Entry) {
        if self.entries.len() == self.capacity {
            self.entries.pop_front();
        }
        self.entries.push_back(entry);
    }

    /// Returns the entries that are wanted, oldest first.
    pub fn select(&self, selection: &Selection) -> Vec<Entry> {
        let wanted = |e: &&Entry| selection.admits(e);
        self.entries.iter().filter(wanted).copied().collect()
    }
}

/// Merges the time lines of several instances into one, oldest first. An entry that occurs in
/// several lists is kept once.
pub fn merge(lists: Vec<Vec<Entry>>) -> Vec<Entry> {
    let mut merged: Vec<Entry> = lists.into_iter().flatten().collect();
    merged.sort_by_key(|e| e.stamp);
    merged.dedup_by_key(|e| e.stamp);
    merged
}

/// The task that keeps the time line of an instance.
#[derive(Actor)]
pub struct TimeLine {
    clock: HLC,
    ring: Ring,
    followers: broadcast::Sender<Entry>,
}

impl TimeLine {
    /// Creates an empty time line.
    pub fn new(instance: InstanceId, settings: &Settings) -> TimeLine {
        TimeLine {
            clock: HLCBuilder::new().with_id(clock_id(instance)).build(),
            ring: Ring::new(settings.entries),
            followers: broadcast::channel(settings.lag.max(1)).0,
        }
    }
}

/// Notes a change of state; answered by the entry's stamp.
#[derive(Clone, Copy, Debug)]
pub struct Note(pub StateChange);

/// Says that a stamp of another instance was seen, so that later entries get later stamps. A stamp
/// too far in the future is ignored, so that one wrong clock does not move all others.
#[derive(Clone, Copy, Debug)]
pub struct Observe(pub Timestamp);

impl Message<Note> for TimeLine {
    type Reply = Result<Timestamp, Infallible>;

    async fn handle(&mut self, note: Note, _: &mut Context<Self, Self::Reply>) -> Self::Reply {
        let stamp = self.clock.new_timestamp();
        let entry = Entry {
            stamp,
            occurrence: note.0,
        };
        self.ring.push(entry);
        // Sending fails only when nobody follows.
        let _ = self.followers.send(entry);
        Ok(stamp)
    }
}

impl Message<Observe> for TimeLine {
    type Reply = ();

    async fn handle(&mut self, seen: Observe, _: &mut Context<Self, Self::Reply>) {
        if let Err(e) = self.clock.update_with_timestamp(&seen.0) {
            log::debug!("time line: {e}");
        }
    }
}

impl Message<ReadTimeline> for TimeLine {
    type Reply = Result<Vec<Entry>, Infallible>;

    async fn handle(
        &mut self,
        read: ReadTimeline,
        _: &mut Context<Self, Self::Reply>,
    ) -> Self::Reply {
        Ok(self.ring.select(&read.0))
    }
}

impl Message<FollowTimeline> for TimeLine {
    type Reply = Result<Followed, Infallible>;

    async fn handle(
        &mut self,
        follow: FollowTimeline,
        _: &mut Context<Self, Self::Reply>,
    ) -> Self::Reply {
        Ok(Followed {
            past: self.ring.select(&follow.0),
            live: self.followers.subscribe(),
        })
    }
}
