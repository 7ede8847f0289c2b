//! Simulated network of memberships in virtual time.

#![allow(dead_code, reason = "each test file uses only a part of this module")]

use std::cmp::Reverse;
use std::collections::{
    BinaryHeap,
    HashMap,
    HashSet, //
};
use std::time::Duration;

use lovagespindle_decisions::action::Action;
use lovagespindle_decisions::event::RegistryEntry;
use lovagespindle_decisions::ids::{
    InstanceId,
    Revision,
    ZoneId, //
};
use lovagespindle_decisions::membership::{
    Context,
    Membership,
    MembershipSettings, //
};
use lovagespindle_decisions::peer::{
    Member,
    MemberState,
    MemberUpdate,
    PeerMessage, //
};
use lovagespindle_decisions::state_change::StateChange;
use lovagespindle_decisions::time::Time;
use rand_core::{
    RngCore,
    SeedableRng, //
};
use rand_pcg::Pcg32;

/// Simulated instance with a membership.
pub(crate) struct Node {
    pub(crate) membership: Membership,
    pub(crate) member: Member,
    /// Start time on the clock of the network. Instances start at different times, so their local
    /// clocks differ.
    started_at: Duration,
    paused: bool,
    pub(crate) alive: bool,
    pub(crate) revision: Revision,
    /// State changes of members that this node recorded, with the time on the clock of the network.
    pub(crate) state_changes: Vec<(Duration, InstanceId, MemberState)>,
    pub(crate) sent: u64,
    pub(crate) ticks: u64,
    pub(crate) bytes: u64,
    pub(crate) reconnects: u64,
}

enum QueueItem {
    Timer,
    Message(usize, Box<PeerMessage>),
}

/// Network of nodes with random delays, message loss and blocked links.
pub(crate) struct Network {
    pub(crate) now: Duration,
    pub(crate) nodes: Vec<Node>,
    index: HashMap<InstanceId, usize>,
    queue: BinaryHeap<Reverse<(Duration, u64, usize)>>,
    items: Vec<Option<QueueItem>>,
    free: Vec<usize>,
    targets: Vec<usize>,
    last_order: u64,
    rng: Pcg32,
    /// Percentage of messages that are lost.
    pub(crate) loss_percent: u32,
    /// Directed pairs of nodes (from, to) between which all messages are lost.
    pub(crate) blocked_links: HashSet<(usize, usize)>,
    /// Messages (to, from, message) that arrived at paused nodes, in order.
    pending: Vec<(usize, usize, Box<PeerMessage>)>,
    pub(crate) message_size: fn(InstanceId, &PeerMessage) -> usize,
}

impl Network {
    /// Starts `sizes[z]` nodes in each zone z + 1 and publishes a registry that contains all of
    /// them.
    pub(crate) fn new(sizes: &[usize], seed: u64) -> Network {
        let mut net = Network {
            now: Duration::from_secs(1),
            nodes: Vec::new(),
            index: HashMap::new(),
            queue: BinaryHeap::new(),
            items: Vec::new(),
            free: Vec::new(),
            targets: Vec::new(),
            last_order: 0,
            rng: Pcg32::seed_from_u64(seed),
            loss_percent: 0,
            blocked_links: HashSet::new(),
            pending: Vec::new(),
            message_size: |_, _| 0,
        };
        for (zone, &n) in sizes.iter().enumerate() {
            for _ in 0..n {
                net.start(ZoneId(zone as u32 + 1), sizes.len() as u32);
            }
        }
        net.publish_registry();
        net
    }

    /// Starts a node and returns its index.
    pub(crate) fn start(&mut self, zone: ZoneId, zones: u32) -> usize {
        let at = self.nodes.len();
        let [a, b] = [(at >> 8) as u8, at as u8];
        let id = (u64::from(self.rng.next_u32()) << 32) | u64::from(self.rng.next_u32());
        let member = Member {
            id: InstanceId(id),
            zone,
            control: ([10, zone.0 as u8, a, b], 7001).into(),
            relay: ([10, zone.0 as u8, a, b], 7002).into(),
        };
        let me = MemberUpdate {
            member,
            state: MemberState::Live,
            incarnation: 0,
        };
        let mut membership = Membership::new(me, MembershipSettings::default(), id);
        let zones: Vec<_> = (1..=zones).map(ZoneId).collect();
        membership.set_zones(&zones);
        let offset = u64::from(self.rng.next_u32() % 250);
        self.index.insert(member.id, at);
        self.nodes.push(Node {
            membership,
            member,
            started_at: self.now,
            paused: false,
            alive: true,
            revision: Revision(1),
            state_changes: Vec::new(),
            sent: 0,
            ticks: 0,
            bytes: 0,
            reconnects: 0,
        });
        self.push(
            self.now + Duration::from_millis(offset),
            at,
            QueueItem::Timer,
        );
        at
    }

    /// Passes a registry with all live nodes to every node.
    pub(crate) fn publish_registry(&mut self) {
        let alive = self.nodes.iter().filter(|n| n.alive);
        let list: Vec<_> = alive
            .map(|n| RegistryEntry {
                member: n.member,
                state: MemberState::Live,
            })
            .collect();
        for at in 0..self.nodes.len() {
            let now = self.local_time(at);
            self.nodes[at].membership.set_candidates(now, &list);
            self.schedule_tick(at);
        }
    }

    pub(crate) fn id(&self, at: usize) -> InstanceId {
        self.nodes[at].member.id
    }

    /// Returns the time on the clock of a node.
    pub(crate) fn local_time(&self, at: usize) -> Time {
        Time::from_start(self.now - self.nodes[at].started_at)
    }

    pub(crate) fn crash(&mut self, at: usize) {
        self.nodes[at].alive = false;
    }

    pub(crate) fn pause(&mut self, at: usize) {
        self.nodes[at].paused = true;
    }

    /// Resumes a paused node; messages that arrived during the pause are delivered first.
    pub(crate) fn resume(&mut self, at: usize) {
        self.nodes[at].paused = false;
        let pending = std::mem::take(&mut self.pending);
        let (deliverable, rest) = pending.into_iter().partition(|p| p.0 == at);
        self.pending = rest;
        for (to, from, message) in deliverable {
            self.deliver(to, from, &message);
        }
        self.schedule_tick(at);
    }

    /// Blocks or unblocks the links between two groups of nodes in both directions.
    pub(crate) fn set_blocked(&mut self, a: &[usize], b: &[usize], blocked: bool) {
        for &a in a {
            for &b in b {
                for pair in [(a, b), (b, a)] {
                    if blocked {
                        self.blocked_links.insert(pair);
                    } else {
                        self.blocked_links.remove(&pair);
                    }
                }
            }
        }
    }

    /// Calls `f` with the membership of a node and executes the resulting actions.
    pub(crate) fn with_membership(
        &mut self,
        at: usize,
        f: impl FnOnce(&mut Membership, Time, &mut Vec<Action>),
    ) {
        let now = self.local_time(at);
        let mut out = Vec::new();
        f(&mut self.nodes[at].membership, now, &mut out);
        self.execute(at, out);
        self.schedule_tick(at);
    }

    /// Runs for the given number of milliseconds.
    pub(crate) fn run(&mut self, millis: u64) {
        let end = self.now + Duration::from_millis(millis);
        while let Some(&Reverse((at, _, slot))) = self.queue.peek()
            && at <= end
        {
            self.queue.pop();
            self.now = self.now.max(at);
            let to = self.targets[slot];
            let item = self.items[slot].take();
            self.free.push(slot);
            match item {
                Some(QueueItem::Timer) => self.tick(to),
                Some(QueueItem::Message(from, message)) => self.receive(to, from, message),
                None => unreachable!("each slot is queued exactly once"),
            }
        }
        self.now = end;
    }

    /// Runs in steps of 10 ms until `done` returns true, and returns the elapsed milliseconds, or
    /// `None` after `millis`.
    pub(crate) fn run_until(
        &mut self,
        millis: u64,
        done: impl Fn(&Network) -> bool,
    ) -> Option<u64> {
        for passed in (0..=millis).step_by(10) {
            if done(self) {
                return Some(passed);
            }
            self.run(10);
        }
        None
    }

    /// Returns whether every live node sees exactly the live nodes of all zones and can reach these
    /// zones.
    pub(crate) fn converged(&self) -> bool {
        let mut expected: Vec<Vec<InstanceId>> = vec![Vec::new(); 8];
        for node in self.nodes.iter().filter(|n| n.alive) {
            expected[node.member.zone.0 as usize].push(node.member.id);
        }
        expected.iter_mut().for_each(|e| e.sort());
        let mut alive = self.nodes.iter().filter(|n| n.alive);
        alive.all(|n| {
            let zones = expected.iter().enumerate();
            zones.into_iter().all(|(zone, ids)| {
                let zone = ZoneId(zone as u32);
                n.membership.live(zone) == ids && (ids.is_empty() || n.membership.reachable(zone))
            })
        })
    }

    /// As [`Network::converged`], but disregards zones without live nodes.
    pub(crate) fn populated_converged(&self) -> bool {
        let is_empty = |zone| !self.nodes.iter().any(|n| n.alive && n.member.zone == zone);
        let agrees = |node: &Node, zone| {
            let mut expected: Vec<_> = self.nodes.iter().filter(|n| n.alive).collect();
            expected.retain(|n| n.member.zone == zone);
            let mut ids: Vec<_> = expected.iter().map(|n| n.member.id).collect();
            ids.sort();
            let reachable = node.membership.reachable(zone);
            is_empty(zone) || node.membership.live(zone) == ids && reachable
        };
        let mut alive = self.nodes.iter().filter(|n| n.alive);
        alive.all(|n| (1..=3).all(|z| agrees(n, ZoneId(z))))
    }

    /// Returns the states other than `Live` that nodes recorded of members since `since`.
    pub(crate) fn reported_failures(&self, since: Duration) -> Vec<(InstanceId, MemberState)> {
        let state_changes = self.nodes.iter().flat_map(|n| n.state_changes.iter());
        let failures = state_changes.filter(|n| n.0 >= since && n.2 != MemberState::Live);
        failures.map(|n| (n.1, n.2)).collect()
    }

    fn push(&mut self, when: Duration, to: usize, item: QueueItem) {
        let slot = self.free.pop().unwrap_or_else(|| {
            self.items.push(None);
            self.targets.push(0);
            self.items.len() - 1
        });
        self.items[slot] = Some(item);
        self.targets[slot] = to;
        self.last_order += 1;
        self.queue.push(Reverse((when, self.last_order, slot)));
    }

    fn schedule_tick(&mut self, at: usize) {
        if let Some(due) = self.nodes[at].membership.deadline() {
            let when = self.nodes[at].started_at + due.since_start();
            self.push(when.max(self.now), at, QueueItem::Timer);
        }
    }

    fn tick(&mut self, at: usize) {
        let now = self.local_time(at);
        let node = &mut self.nodes[at];
        let due = node.membership.deadline().is_some_and(|d| d <= now);
        if !node.alive || node.paused || !due {
            return;
        }
        node.ticks += 1;
        let mut out = Vec::new();
        let ctx = Context {
            revision: node.revision,
            loads: &[],
        };
        node.membership.tick(now, &ctx, &mut out);
        let next = node.membership.deadline();
        assert!(
            next.is_none_or(|n| n > now),
            "the deadline must be later than the tick"
        );
        self.execute(at, out);
        self.schedule_tick(at);
    }

    fn receive(&mut self, to: usize, from: usize, message: Box<PeerMessage>) {
        if self.nodes[to].paused {
            self.pending.push((to, from, message));
        } else if self.nodes[to].alive {
            self.deliver(to, from, &message);
        }
    }

    fn deliver(&mut self, to: usize, from: usize, message: &PeerMessage) {
        let (now, from) = (self.local_time(to), self.id(from));
        let mut out = Vec::new();
        let node = &mut self.nodes[to];
        let ctx = Context {
            revision: node.revision,
            loads: &[],
        };
        node.membership.handle(now, from, message, &ctx, &mut out);
        self.execute(to, out);
        self.schedule_tick(to);
    }

    fn execute(&mut self, from: usize, out: Vec<Action>) {
        for action in out {
            match action {
                Action::SendPeer { to, message, .. } => self.send(from, to, message),
                Action::Reconnect { .. } => self.nodes[from].reconnects += 1,
                Action::AppendTimeline(StateChange::Member {
                    instance, state, ..
                }) => self.nodes[from]
                    .state_changes
                    .push((self.now, instance, state)),
                other => panic!("unexpected action {other:?}"),
            }
        }
    }

    fn send(&mut self, from: usize, to: InstanceId, message: Box<PeerMessage>) {
        self.nodes[from].sent += 1;
        self.nodes[from].bytes += (self.message_size)(self.id(from), &message) as u64;
        let Some(&to) = self.index.get(&to) else {
            return;
        };
        if self.blocked_links.contains(&(from, to)) || self.rng.next_u32() % 100 < self.loss_percent
        {
            return;
        }
        let same_zone = self.nodes[from].member.zone == self.nodes[to].member.zone;
        let delay = if same_zone { 500 } else { 5000 };
        let jitter = u64::from(self.rng.next_u32() % 200);
        let when = self.now + Duration::from_micros(delay + jitter);
        self.push(when, to, QueueItem::Message(from, message));
    }
}
