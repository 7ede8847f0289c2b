//! Rendezvous hashing: every instance ranks the same choices in the same order, and removing one
//! choice moves only what had chosen it, to its next choice.

use smallvec::SmallVec;

use crate::ids::{
    BackendServerId,
    FlowId,
    InstanceId,
    ZoneId, //
};

/// Mixes two words into one; the finalizer of SplitMix64, whose output bits all depend on all
/// input bits. The inputs need no key: flow and instance identifiers are already random.
pub fn mix(a: u64, b: u64) -> u64 {
    let mut x = a ^ b.wrapping_mul(0x9e37_79b9_7f4a_7c15);
    x = (x ^ (x >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    x = (x ^ (x >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    x ^ (x >> 31)
}

/// Folds a flow identifier into the word that is mixed with each candidate.
pub fn hash_flow(flow: FlowId) -> u64 {
    (flow.0 as u64) ^ ((flow.0 >> 64) as u64).rotate_left(32)
}

/// Returns the score of a backend server for a flow where all weights are equal.
pub fn score(flow: u64, server: BackendServerId) -> u64 {
    mix(flow, u64::from(server.0))
}

/// Returns the score of a backend server for a flow, in proportion to its weight.
pub fn weighted_score(flow: u64, server: BackendServerId, weight: u32) -> f64 {
    // 53 bits fill the mantissa; the half keeps the logarithm away from zero.
    let uniform = ((score(flow, server) >> 11) as f64 + 0.5) / (1u64 << 53) as f64;
    -f64::from(weight) / uniform.ln()
}

/// Keeps the `N` items with the highest scores, highest first.
pub struct TopN<T: Copy, S: PartialOrd + Copy, const N: usize> {
    /// Falling scores; at most `N`.
    items: SmallVec<[(S, T); N]>,
    /// The last of `N` scores; most offers fail against it.
    least: Option<S>,
}

impl<T: Copy, S: PartialOrd + Copy, const N: usize> Default for TopN<T, S, N> {
    fn default() -> Self {
        TopN {
            items: SmallVec::new(),
            least: None,
        }
    }
}

impl<T: Copy, S: PartialOrd + Copy, const N: usize> TopN<T, S, N> {
    /// Offers an item.
    #[inline]
    pub fn offer(&mut self, score: S, item: T) {
        if self.least.is_none_or(|least| score > least) {
            self.insert(score, item);
        }
    }

    fn insert(&mut self, score: S, item: T) {
        if self.items.len() == N {
            self.items.pop();
        }
        let mut at = self.items.len();
        while at > 0 && self.items[at - 1].0 < score {
            at -= 1;
        }
        self.items.insert(at, (score, item));
        if self.items.len() == N {
            self.least = self.items.last().map(|(least, _)| *least);
        }
    }

    /// Returns the items, highest score first.
    pub fn into_items(self) -> SmallVec<[T; N]> {
        self.items.into_iter().map(|(_, item)| item).collect()
    }
}

/// How many instances a succession names: the owner and two successors.
pub const MAX_SUCCESSION: usize = 3;

/// Ranks the instances for a backend server: the owner first, then its successors.
pub fn rank_owners(
    server: BackendServerId,
    live: &[InstanceId],
) -> SmallVec<[InstanceId; MAX_SUCCESSION]> {
    rank_instances(u64::from(server.0), live)
}

/// How many instances of each zone watch the store.
pub const STORE_WATCHERS: usize = 2;

/// Returns whether an instance is among the watchers of its zone.
pub fn is_store_watcher(zone: ZoneId, instance: InstanceId, live: &[InstanceId]) -> bool {
    // The complement keeps zones apart from backend servers, which share the hash.
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
