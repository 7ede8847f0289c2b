//! Keeps the timeline of an instance: its latest state changes with hybrid logical clock
//! timestamps.

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
    ReadTimeline,
    TimelineStream, //
};

/// Settings of the timeline.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Settings {
    /// Maximum number of entries; at least 1.
    pub entries: usize,
    /// Number of entries that a follower may lag behind before its stream is closed; at least 1.
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

/// A state change with the time and the instance at which it was recorded.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Entry {
    /// Time and instance of the record; unique across instances.
    pub timestamp: Timestamp,
    pub change: StateChange,
}

impl Entry {
    /// Returns the instance that recorded the entry.
    pub fn instance(&self) -> InstanceId {
        let bytes = self.timestamp.get_id().to_le_bytes();
        let (low, _) = bytes.split_at(8);
        InstanceId(low.iter().rev().fold(0, |n, b| n << 8 | u64::from(*b)))
    }
}

/// Returns the timestamp of an instance at an NTP64 time. Instance 0 is replaced by 1, since a
/// clock identifier cannot be 0; 0 is never generated as the identifier of an instance.
pub fn timestamp(time: u64, instance: InstanceId) -> Timestamp {
    Timestamp::new(NTP64(time), clock_id(instance))
}

fn clock_id(instance: InstanceId) -> ID {
    ID::from(NonZeroU64::new(instance.0).unwrap_or(NonZeroU64::MIN))
}

/// Ring buffer of the latest entries of one instance.
#[derive(Debug)]
pub struct Ring {
    /// Oldest first, at most `capacity` entries.
    entries: VecDeque<Entry>,
    capacity: usize,
}

impl Ring {
    /// Creates an empty ring buffer for `capacity` entries; a capacity of 0 is raised to 1.
    pub fn new(capacity: usize) -> Ring {
        Ring {
            entries: VecDeque::new(),
            capacity: capacity.max(1),
        }
    }

    /// Appends an entry; a full ring buffer drops its oldest one.
    pub fn push(&mut self, entry: Entry) {
        if self.entries.len() == self.capacity {
            self.entries.pop_front();
        }
        self.entries.push_back(entry);
    }

    /// Returns the matching entries, oldest first.
    pub fn select(&self, selection: &Selection) -> Vec<Entry> {
        let matching = |e: &&Entry| selection.matches(e);
        self.entries.iter().filter(matching).copied().collect()
    }
}

/// Merges the timelines of several instances into one, oldest first. An entry that occurs in
/// several lists is kept once.
pub fn merge(lists: Vec<Vec<Entry>>) -> Vec<Entry> {
    let mut merged: Vec<Entry> = lists.into_iter().flatten().collect();
    merged.sort_by_key(|e| e.timestamp);
    merged.dedup_by_key(|e| e.timestamp);
    merged
}

/// Actor that owns the timeline of an instance.
#[derive(Actor)]
pub struct Timeline {
    clock: HLC,
    ring: Ring,
    followers: broadcast::Sender<Entry>,
}

impl Timeline {
    pub fn new(instance: InstanceId, settings: &Settings) -> Timeline {
        Timeline {
            clock: HLCBuilder::new().with_id(clock_id(instance)).build(),
            ring: Ring::new(settings.entries),
            followers: broadcast::channel(settings.lag.max(1)).0,
        }
    }
}

/// Appends a state change; the reply is the timestamp of the new entry.
#[derive(Clone, Copy, Debug)]
pub struct AppendTimeline(pub StateChange);

/// Advances the clock to a timestamp of another instance, so that later entries get later
/// timestamps. A timestamp too far in the future is ignored, so that one wrong clock does not
/// advance all others.
#[derive(Clone, Copy, Debug)]
pub struct ObserveTimestamp(pub Timestamp);

impl Message<AppendTimeline> for Timeline {
    type Reply = Result<Timestamp, Infallible>;

    async fn handle(
        &mut self,
        append: AppendTimeline,
        _: &mut Context<Self, Self::Reply>,
    ) -> Self::Reply {
        let timestamp = self.clock.new_timestamp();
        let entry = Entry {
            timestamp,
            change: append.0,
        };
        self.ring.push(entry);
        // Sending fails only if there are no followers.
        let _ = self.followers.send(entry);
        Ok(timestamp)
    }
}

impl Message<ObserveTimestamp> for Timeline {
    type Reply = ();

    async fn handle(&mut self, observed: ObserveTimestamp, _: &mut Context<Self, Self::Reply>) {
        if let Err(e) = self.clock.update_with_timestamp(&observed.0) {
            log::debug!("timeline: timestamp of another instance ignored: {e}");
        }
    }
}

impl Message<ReadTimeline> for Timeline {
    type Reply = Result<Vec<Entry>, Infallible>;

    async fn handle(
        &mut self,
        read: ReadTimeline,
        _: &mut Context<Self, Self::Reply>,
    ) -> Self::Reply {
        Ok(self.ring.select(&read.0))
    }
}

impl Message<FollowTimeline> for Timeline {
    type Reply = Result<TimelineStream, Infallible>;

    async fn handle(
        &mut self,
        follow: FollowTimeline,
        _: &mut Context<Self, Self::Reply>,
    ) -> Self::Reply {
        Ok(TimelineStream {
            history: self.ring.select(&follow.0),
            live: self.followers.subscribe(),
        })
    }
}
