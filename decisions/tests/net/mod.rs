//! An in-memory network of memberships in virtual time.

#![allow(dead_code, reason = "each test file uses a part of it")]

use std::cmp::Reverse;
use std::collections::{
    BinaryHeap,
    HashMap,
    HashSet, //
};
use std::time::Duration;

use lovagespindle_decisions::action::Action;
use lovagespindle_decisions::event::Listed;
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

/// One process of the network.
pub(crate) struct Node {
    pub(crate) membership: Membership,
    pub(crate) member: Member,
    /// Processes start at different times, so that their clocks differ.
    started: Duration,
    paused: bool,
    pub(crate) alive: bool,
    pub(crate) revision: Revision,
    /// Changes of members' states with the time of the network.
    pub(crate) notes: Vec<(Duration, InstanceId, MemberState)>,
    pub(crate) sent: u64,
    pub(crate) ticks: u64,
    pub(crate) bytes: u64,
    pub(crate) reconnects: u64,
}

enum Item {
    Timer,
    Message(usize, Box<PeerMessage>),
}

/// The network.
pub(crate) struct Net {
    pub(crate) now: Duration,
    pub(crate) nodes: Vec<Node>,
    index: HashMap<InstanceId, usize>,
    queue: BinaryHeap<Reverse<(Duration, u64, usize)>>,
    items: Vec<Option<Item>>,
    free: Vec<usize>,
    targets: Vec<usize>,
    order: u64,
    rng: Pcg32,
    /// Chance of losing a message, in percent.
    pub(crate) loss: u32,
    /// Directed pairs between which all messages are lost.
    pub(crate) cut: HashSet<(usize, usize)>,
    /// Messages that arrived at paused nodes, in order.
    held: Vec<(usize, usize, Box<PeerMessage>)>,
    /// Computes the encoded size of a message.
    pub(crate) size: fn(InstanceId, &PeerMessage) -> usize,
}

impl Net {
    /// Starts `sizes[z]` nodes in each zone z + 1, all listed by the platform.
    pub(crate) fn new(sizes: &[usize], seed: u64) -> Net {
        let mut net = Net {
            now: Duration::from_secs(1),
            nodes: Vec::new(),
            index: HashMap::new(),
            queue: BinaryHeap::new(),
            items: Vec::new(),
            free: Vec::new(),
            targets: Vec::new(),
            order: 0,
            rng: Pcg32::seed_from_u64(seed),
            loss: 0,
            cut: HashSet::new(),
            held: Vec::new(),
            size: |_, _| 0,
        };
        for (zone, &n) in sizes.iter().enumerate() {
            for _ in 0..n {
                net.start(ZoneId(zone as u32 + 1), sizes.len() as u32);
            }
        }
        net.list();
        net
    }

    /// Starts one more node and returns its index.
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
            started: self.now,
            paused: false,
            alive: true,
            revision: Revision(1),
            notes: Vec::new(),
            sent: 0,
            ticks: 0,
            bytes: 0,
            reconnects: 0,
        });
        self.push(self.now + Duration::from_millis(offset), at, Item::Timer);
        at
    }

    /// Gives every live node the platform's list.
    pub(crate) fn list(&mut self) {
        let alive = self.nodes.iter().filter(|n| n.alive);
        let list: Vec<_> = alive
            .map(|n| Listed {
                member: n.member,
                state: MemberState::Live,
            })
            .collect();
        for at in 0..self.nodes.len() {
            let now = self.local(at);
            self.nodes[at].membership.set_candidates(now, &list);
            self.wind(at);
        }
    }

    pub(crate) fn id(&self, at: usize) -> InstanceId {
        self.nodes[at].member.id
    }

    /// Returns the time of a node's own clock.
    pub(crate) fn local(&self, at: usize) -> Time {
        Time::from_start(self.now - self.nodes[at].started)
    }

    pub(crate) fn crash(&mut self, at: usize) {
        self.nodes[at].alive = false;
    }

    pub(crate) fn pause(&mut self, at: usize) {
        self.nodes[at].paused = true;
    }

    /// Wakes a paused node; what arrived meanwhile is delivered first.
    pub(crate) fn wake(&mut self, at: usize) {
        self.nodes[at].paused = false;
        let held = std::mem::take(&mut self.held);
        let (mine, rest) = held.into_iter().partition(|h| h.0 == at);
        self.held = rest;
        for (to, from, message) in mine {
            self.deliver(to, from, &message);
        }
        self.wind(at);
    }

    /// Cuts or joins two groups of nodes in both directions.
    pub(crate) fn set_cut(&mut self, a: &[usize], b: &[usize], cut: bool) {
        for &a in a {
            for &b in b {
                for pair in [(a, b), (b, a)] {
                    if cut {
                        self.cut.insert(pair);
                    } else {
                        self.cut.remove(&pair);
                    }
                }
            }
        }
    }

    /// Lets a node act through `f` and carries its actions out.
    pub(crate) fn act(
        &mut self,
        at: usize,
        f: impl FnOnce(&mut Membership, Time, &mut Vec<Action>),
    ) {
        let now = self.local(at);
        let mut out = Vec::new();
        f(&mut self.nodes[at].membership, now, &mut out);
        self.carry(at, out);
        self.wind(at);
    }

    /// Runs for a time.
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
                Some(Item::Timer) => self.tick(to),
                Some(Item::Message(from, message)) => self.arrive(to, from, message),
                None => unreachable!("each slot is queued once"),
            }
        }
        self.now = end;
    }

    /// Runs until `done`, in steps of 10 ms, and returns how long that took, at most `millis`.
    pub(crate) fn run_until(&mut self, millis: u64, done: impl Fn(&Net) -> bool) -> Option<u64> {
        for passed in (0..=millis).step_by(10) {
            if done(self) {
                return Some(passed);
            }
            self.run(10);
        }
        None
    }

    /// Returns whether all live nodes see exactly the live nodes of all zones.
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

    /// Returns whether all live nodes see exactly the live nodes of all zones, where zones without
    /// live nodes may be unreachable.
    pub(crate) fn agreed(&self) -> bool {
        let lost = |zone| !self.nodes.iter().any(|n| n.alive && n.member.zone == zone);
        let agrees = |node: &Node, zone| {
            let mut expected: Vec<_> = self.nodes.iter().filter(|n| n.alive).collect();
            expected.retain(|n| n.member.zone == zone);
            let mut ids: Vec<_> = expected.iter().map(|n| n.member.id).collect();
            ids.sort();
            let reachable = node.membership.reachable(zone);
            lost(zone) || node.membership.live(zone) == ids && reachable
        };
        let mut alive = self.nodes.iter().filter(|n| n.alive);
        alive.all(|n| (1..=3).all(|z| agrees(n, ZoneId(z))))
    }

    /// Returns the states that nodes noted of others after `since`, except `Live`.
    pub(crate) fn verdicts(&self, since: Duration) -> Vec<(InstanceId, MemberState)> {
        let notes = self.nodes.iter().flat_map(|n| n.notes.iter());
        let bad = notes.filter(|n| n.0 >= since && n.2 != MemberState::Live);
        bad.map(|n| (n.1, n.2)).collect()
    }

    fn push(&mut self, when: Duration, to: usize, item: Item) {
        let slot = self.free.pop().unwrap_or_else(|| {
            self.items.push(None);
            self.targets.push(0);
            self.items.len() - 1
        });
        self.items[slot] = Some(item);
        self.targets[slot] = to;
        self.order += 1;
        self.queue.push(Reverse((when, self.order, slot)));
    }

    fn wind(&mut self, at: usize) {
        if let Some(due) = self.nodes[at].membership.deadline() {
            let when = self.nodes[at].started + due.since_start();
            self.push(when.max(self.now), at, Item::Timer);
        }
    }

    fn tick(&mut self, at: usize) {
        let now = self.local(at);
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
            "a tick must be followed by a pause"
        );
        self.carry(at, out);
        self.wind(at);
    }

    fn arrive(&mut self, to: usize, from: usize, message: Box<PeerMessage>) {
        if self.nodes[to].paused {
            self.held.push((to, from, message));
        } else if self.nodes[to].alive {
            self.deliver(to, from, &message);
        }
    }

    fn deliver(&mut self, to: usize, from: usize, message: &PeerMessage) {
        let (now, from) = (self.local(to), self.id(from));
        let mut out = Vec::new();
        let node = &mut self.nodes[to];
        let ctx = Context {
            revision: node.revision,
            loads: &[],
        };
        node.membership.handle(now, from, message, &ctx, &mut out);
        self.carry(to, out);
        self.wind(to);
    }

    fn carry(&mut self, from: usize, out: Vec<Action>) {
        for action in out {
            match action {
                Action::SendPeer { to, message, .. } => self.send(from, to, message),
                Action::Reconnect { .. } => self.nodes[from].reconnects += 1,
                Action::Note(StateChange::Member {
                    instance, state, ..
                }) => self.nodes[from].notes.push((self.now, instance, state)),
                other => panic!("unexpected action {other:?}"),
            }
        }
    }

    fn send(&mut self, from: usize, to: InstanceId, message: Box<PeerMessage>) {
        self.nodes[from].sent += 1;
        self.nodes[from].bytes += (self.size)(self.id(from), &message) as u64;
        let Some(&to) = self.index.get(&to) else {
            return;
        };
        if self.cut.contains(&(from, to)) || self.rng.next_u32() % 100 < self.loss {
            return;
        }
        let same = self.nodes[from].member.zone == self.nodes[to].member.zone;
        let delay = if same { 500 } else { 5000 };
        let jitter = u64::from(self.rng.next_u32() % 200);
        let when = self.now + Duration::from_micros(delay + jitter);
        self.push(when, to, Item::Message(from, message));
    }
}
