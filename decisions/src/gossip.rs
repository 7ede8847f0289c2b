//! Dissemination of membership updates by gossip, piggybacked on heartbeats.

use std::collections::VecDeque;

use crate::ids::InstanceId;

/// Queue of members whose updates are still to be sent.
///
/// Each update is sent a number of times that grows with the logarithm of the number of members,
/// which reaches all of them with high probability. The digests in heartbeats repair what gossip
/// misses.
#[derive(Debug, Default)]
pub(crate) struct Gossip {
    /// Members and how often their update was sent, the next one first. Each member occurs once.
    queue: VecDeque<(InstanceId, u32)>,
}

impl Gossip {
    /// Queues the update of `id` at the front, replacing an entry that is already queued.
    pub(crate) fn add(&mut self, id: InstanceId) {
        self.queue.retain(|q| q.0 != id);
        self.queue.push_front((id, 0));
    }

    /// Queues the update of `id` at the back unless it is queued already.
    pub(crate) fn add_if_absent(&mut self, id: InstanceId) {
        if !self.queue.iter().any(|q| q.0 == id) {
            self.queue.push_back((id, 0));
        }
    }

    /// Returns up to `limit` members whose updates go into the next message. `members` is the
    /// number of members to reach.
    pub(crate) fn take_next(&mut self, limit: usize, members: usize) -> Vec<InstanceId> {
        let max_sends = max_sends(members);
        let n = limit.min(self.queue.len());
        let taken: Vec<_> = self.queue.drain(..n).collect();
        for &(id, sent) in &taken {
            if sent + 1 < max_sends {
                self.queue.push_back((id, sent + 1));
            }
        }
        taken.into_iter().map(|t| t.0).collect()
    }
}

/// Returns how often one instance sends an update: four times the number of decimal digits of the
/// member count. With 32 instead of 12 sends for 200 members, queues stayed full for 30 s after a
/// start.
fn max_sends(members: usize) -> u32 {
    4 * (members.max(1).ilog10() + 1)
}
