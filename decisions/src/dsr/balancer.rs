//! The decisions of one instance: where each packet goes.

use std::collections::VecDeque;
use std::net::SocketAddrV4;
use std::sync::Arc;
use std::time::Duration;

use rand_core::SeedableRng;
use rand_pcg::Pcg32;
use smallvec::SmallVec;

use crate::time::Time;

use super::counts::{
    Count,
    Counts, //
};
use super::decision::Decision;
use super::flows::Flows;
use super::handshake::HandshakeEstimator;
use super::isolation::Isolation;
use super::passive_health::HealthState;
use super::segment::{
    FlowTuple,
    Segment,
    SegmentKind,
    Syn,
    Target, //
};
use super::servers::ServerKey;
use super::settings::Settings;
use super::store_update::StoreUpdate;
use super::store_view::StoreView;

/// A timer that is this late tells that the process stood still, so that nothing is known about the
/// time that others took.
const STALL_THRESHOLD: Duration = Duration::from_millis(30);

/// The time between two sweeps of the beliefs.
const SWEEP_INTERVAL: Duration = Duration::from_millis(250);

/// What happens to a packet.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Verdict {
    /// It goes to a backend server as it is.
    Forward(Target),
    /// It opens a flow at a backend server, with the target's tag.
    Open(Target),
    /// The client is told at once that the flow does not open.
    Reset,
    /// Nothing is sent.
    Drop,
}

/// What the instance does by itself, without a packet at hand.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Action {
    /// Sends the opening packet of a flow to a backend server.
    Open {
        /// The flow.
        flow: FlowTuple,
        /// The client's opening packet.
        syn: Syn,
        /// Where it goes.
        target: Target,
    },
    /// Tells the client that the flow does not open.
    Reset(FlowTuple),
    /// Tries to connect to the backend servers at these addresses, and reports how many it reached
    /// with [`Balancer::record_probes`].
    Probe(SmallVec<[SocketAddrV4; 4]>),
}

/// The decisions of one instance.
pub struct Balancer {
    pub(super) zone: Arc<str>,
    pub(super) settings: Settings,
    pub(super) view: StoreView,
    pub(super) flows: Flows,
    pub(super) handshakes: HandshakeEstimator,
    pub(super) isolation: Isolation,
    pub(super) random: Pcg32,
    pub(super) next_sweep: Time,
    pub(super) counts: Counts,
    /// Opening packets that came before the first news of the store, with their arrival.
    pub(super) buffered: VecDeque<(Time, FlowTuple, Syn)>,
    pub(super) log: Vec<Decision>,
    pub(super) actions: Vec<Action>,
}

impl Balancer {
    /// Creates the decisions of an instance of that zone.
    pub fn new(zone: &str, settings: Settings, seed: u64) -> Balancer {
        Balancer {
            zone: zone.into(),
            settings,
            view: StoreView::default(),
            flows: Flows::default(),
            handshakes: HandshakeEstimator::default(),
            isolation: Isolation::default(),
            random: Pcg32::seed_from_u64(seed),
            next_sweep: Time::ZERO,
            counts: Counts::default(),
            buffered: VecDeque::new(),
            log: Vec::new(),
            actions: Vec::new(),
        }
    }

    /// Decides by other settings from now on.
    pub fn set_settings(&mut self, settings: Settings) {
        self.settings = settings;
    }

    /// Takes news of the store.
    pub fn apply_update(&mut self, now: Time, update: StoreUpdate) {
        let Balancer { view, log, .. } = self;
        view.apply(now, update, log);
        if self.view.table.is_some() {
            self.open_buffered(now);
        }
    }

    /// Returns whether clients are served here as well as elsewhere: routes are known, and the
    /// instance is not cut off.
    pub fn is_ready(&self) -> bool {
        self.view.table.is_some() && !self.isolation.is_isolated()
    }

    /// Returns the counts since the start.
    pub fn counts(&self) -> Counts {
        self.counts
    }

    /// Returns how many flows have a record.
    pub fn flows(&self) -> usize {
        self.flows.len()
    }

    /// Takes the decisions made since the last call.
    pub fn take_log(&mut self) -> std::vec::Drain<'_, Decision> {
        self.log.drain(..)
    }

    /// Takes the actions that news and ticks since the last call led to.
    pub fn take_actions(&mut self) -> std::vec::Drain<'_, Action> {
        self.actions.drain(..)
    }

    /// Returns when the next tick is due.
    pub fn deadline(&self) -> Time {
        let flows = self.flows.deadline().unwrap_or(self.next_sweep);
        let probes = self.isolation.deadline().unwrap_or(self.next_sweep);
        flows.min(probes).min(self.next_sweep)
    }

    /// Decides on a packet of a client.
    pub fn packet(&mut self, now: Time, segment: &Segment) -> Verdict {
        self.counts.add(Count::Packets);
        let verdict = match segment.kind {
            SegmentKind::Syn(syn) => self.open(now, segment.flow, syn),
            SegmentKind::Data | SegmentKind::Fin | SegmentKind::Rst => self.forward(now, segment),
        };
        match verdict {
            Verdict::Forward(_) => self.counts.add(Count::Forwarded),
            Verdict::Open(_) => {}
            Verdict::Reset => self.counts.add(Count::Resets),
            Verdict::Drop => self.counts.add(Count::Drops),
        }
        verdict
    }

    pub(super) fn log_health(&mut self, now: Time, server: ServerKey) {
        if let Some(server) = self.view.servers.get(server) {
            let state: HealthState = server.health.state(now);
            self.log.push(Decision::Health {
                server: server.id.clone(),
                zone: server.entry.zone.clone(),
                state: state.into(),
            });
        }
    }

    /// Does what is due.
    pub fn tick(&mut self, now: Time) {
        while let Some((due, key)) = self.flows.expired(now) {
            let stalled = now.since(due) >= STALL_THRESHOLD;
            if let Some(next) = self.expire(now, key, stalled) {
                self.flows.set_timer(key, next);
            }
        }
        if self.isolation.deadline().is_some_and(|due| now >= due) {
            self.check_isolation(now);
        }
        if now >= self.next_sweep {
            self.next_sweep = now + SWEEP_INTERVAL;
            let Balancer {
                view,
                settings,
                log,
                ..
            } = self;
            view.sweep(now, settings, log);
        }
    }
}
