//! Epidemic spreading of membership updates, piggybacked on heartbeats.

use std::collections::VecDeque;

use crate::ids::InstanceId;

/// Members whose updates still have to be spread.
///
/// Each update is passed on a number of times that grows with the logarithm of the members, which
/// reaches all of them with high probability; the digests in heartbeats repair the rest.
#[derive(Debug, Default)]
pub(crate) struct Gossip {
    /// The next to send first, with how often it was sent. Each member occurs once.
    queue: VecDeque<(InstanceId, u32)>,
}

impl Gossip {
    /// Spreads the update of `id` from now on.
    pub(crate) fn add(&mut self, id: InstanceId) {
        self.queue.retain(|q| q.0 != id);
        self.queue.push_front((id, 0));
    }

    /// Spreads the update of `id` unless it is being spread already.
    pub(crate) fn add_again(&mut self, id: InstanceId) {
        if !self.queue.iter().any(|q| q.0 == id) {
            self.queue.push_back((id, 0));
        }
    }

    /// Returns up to `most` members whose updates go into the next message. `members` is the
    /// number of members that have to be reached.
    pub(crate) fn take(&mut self, most: usize, members: usize) -> Vec<InstanceId> {
        let budget = budget(members);
        let n = most.min(self.queue.len());
        let taken: Vec<_> = self.queue.drain(..n).collect();
        for &(id, sent) in &taken {
            if sent + 1 < budget {
                self.queue.push_back((id, sent + 1));
            }
        }
        taken.into_iter().map(|t| t.0).collect()
    }
}

/// Returns how often one instance passes an update on: four times the decimal digits of the
/// members. With 32 instead of 12 times for 200 members, queues were full for 30 s
/// after a start.
fn budget(members: usize) -> u32 {
    4 * (members.max(1).ilog10() + 1)
}
