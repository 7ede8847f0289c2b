//! Rendezvous hashing: every instance ranks the same choices in the same order, and removing a
//! choice moves only what was assigned to it, to its next choice.

use smallvec::SmallVec;

use crate::ids::{
    BackendServerId,
    FlowId,
    InstanceId,
    ZoneId, //
};

/// Mixes two words into one with the finalizer of SplitMix64, whose output bits all depend on all
/// input bits. The hash needs no key, because flow and instance identifiers are already random.
pub fn mix(a: u64, b: u64) -> u64 {
    let mut x = a ^ b.wrapping_mul(0x9e37_79b9_7f4a_7c15);
    x = (x ^ (x >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    x = (x ^ (x >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    x ^ (x >> 31)
}

/// Hashes a flow identifier to the word that is mixed with each candidate.
pub fn hash_flow(flow: FlowId) -> u64 {
    (flow.0 as u64) ^ ((flow.0 >> 64) as u64).rotate_left(32)
}

/// Returns the score of a backend server for a flow if all weights are equal.
pub fn score(flow: u64, server: BackendServerId) -> u64 {
    mix(flow, u64::from(server.0))
}

/// Returns the score of a backend server for a flow. The probability of the highest score is
/// proportional to the weight.
pub fn weighted_score(flow: u64, server: BackendServerId, weight: u32) -> f64 {
    // 53 bits fill the mantissa; adding 0.5 avoids the logarithm of zero.
    let uniform = ((score(flow, server) >> 11) as f64 + 0.5) / (1u64 << 53) as f64;
    -f64::from(weight) / uniform.ln()
}

/// Selects the `N` items with the highest scores.
pub struct TopN<T: Copy, S: PartialOrd + Copy, const N: usize> {
    /// At most `N` items, highest score first.
    items: SmallVec<[(S, T); N]>,
    /// Lowest of the `N` scores once there are `N` items. Most offers are rejected by a comparison
    /// with it.
    min_score: Option<S>,
}

impl<T: Copy, S: PartialOrd + Copy, const N: usize> Default for TopN<T, S, N> {
    fn default() -> Self {
        TopN {
            items: SmallVec::new(),
            min_score: None,
        }
    }
}

impl<T: Copy, S: PartialOrd + Copy, const N: usize> TopN<T, S, N> {
    /// Inserts an item if its score is among the `N` highest so far.
    #[inline]
    pub fn offer(&mut self, score: S, item: T) {
        if self.min_score.is_none_or(|min_score| score > min_score) {
            self.insert(score, item);
        }
    }

    fn insert(&mut self, score: S, item: T) {
        if self.items.len() == N {
            self.items.pop();
        }
        let mut index = self.items.len();
        while index > 0 && self.items[index - 1].0 < score {
            index -= 1;
        }
        self.items.insert(index, (score, item));
        if self.items.len() == N {
            self.min_score = self.items.last().map(|(min_score, _)| *min_score);
        }
    }

    pub fn into_items(self) -> SmallVec<[T; N]> {
        self.items.into_iter().map(|(_, item)| item).collect()
    }
}

/// Length of a succession: the owner and two successors.
pub const MAX_SUCCESSION: usize = 3;

/// Ranks the instances for a backend server: the owner first, then its successors.
pub fn rank_owners(
    server: BackendServerId,
    live: &[InstanceId],
) -> SmallVec<[InstanceId; MAX_SUCCESSION]> {
    rank_instances(u64::from(server.0), live)
}

/// Number of instances of each zone that watch the store.
pub const STORE_WATCHERS: usize = 2;

/// Returns whether an instance is one of the store watchers of its zone.
pub fn is_store_watcher(zone: ZoneId, instance: InstanceId, live: &[InstanceId]) -> bool {
    // The complement separates zones from backend servers, which use the same hash.
    rank_instances(!u64::from(zone.0), live)
        .iter()
        .take(STORE_WATCHERS)
        .any(|id| *id == instance)
}

fn rank_instances(key: u64, live: &[InstanceId]) -> SmallVec<[InstanceId; MAX_SUCCESSION]> {
    let mut best: TopN<InstanceId, u64, MAX_SUCCESSION> = TopN::default();
    for instance in live {
        best.offer(mix(instance.0, key), *instance);
    }
    best.into_items()
}
