//! Decides where an instance sends each packet.

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
use super::zone_health::ZoneHealth;

/// A timer that fires this late shows that the process was paused. Handshake timeouts are then not
/// recorded, because the time that backend servers took is unknown.
const STALL_THRESHOLD: Duration = Duration::from_millis(30);

/// Interval at which expired and removed backend servers are swept from the store view.
const SWEEP_INTERVAL: Duration = Duration::from_millis(250);

/// What the forwarder does with a packet.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Verdict {
    /// Forwards the packet unchanged to a backend server.
    Forward(Target),
    /// Sends the SYN to a backend server, with the target's tag.
    Open(Target),
    /// Resets the flow, so that the client stops waiting immediately.
    Reset {
        /// The sequence number of the reset: on an open flow, the one that the client acknowledged.
        sequence: u32,
    },
    /// Decides again after the next update of the store, because the view is not complete yet.
    Hold,
    /// Sends nothing.
    Drop,
}

/// An action that an update or a timer triggers, rather than a packet.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Action {
    /// Sends the SYN of a flow to a backend server.
    Open {
        flow: FlowTuple,
        syn: Syn,
        target: Target,
    },
    /// Resets the flow, so that the client stops waiting.
    Reset {
        flow: FlowTuple,
        /// As in [`Verdict::Reset`].
        sequence: u32,
    },
    /// Tries to connect to a backend server. The result goes to
    /// [`Balancer::record_server_probe`].
    ProbeServer {
        server: ServerKey,
        address: SocketAddrV4,
    },
    /// Tries to connect to the backend servers at these addresses. The number of them that were
    /// reached goes to [`Balancer::record_probes`].
    Probe(SmallVec<[SocketAddrV4; 4]>),
}

/// Decides for one instance where each packet goes.
pub struct Balancer {
    pub(super) zone: Arc<str>,
    pub(super) settings: Settings,
    pub(super) view: StoreView,
    pub(super) flows: Flows,
    pub(super) handshakes: HandshakeEstimator,
    pub(super) zone_health: ZoneHealth,
    pub(super) isolation: Isolation,
    pub(super) random: Pcg32,
    pub(super) next_sweep: Time,
    pub(super) counts: Counts,
    /// SYNs that arrived before the first store update, with their arrival times.
    pub(super) buffered: VecDeque<(Time, FlowTuple, Syn)>,
    pub(super) log: Vec<Decision>,
    pub(super) actions: Vec<Action>,
}

impl Balancer {
    /// Creates the balancer of an instance in `zone`; `seed` starts its random generator.
    pub fn new(zone: &str, settings: Settings, seed: u64) -> Balancer {
        Balancer {
            zone: zone.into(),
            settings,
            view: StoreView::default(),
            flows: Flows::default(),
            handshakes: HandshakeEstimator::default(),
            zone_health: ZoneHealth::default(),
            isolation: Isolation::default(),
            random: Pcg32::seed_from_u64(seed),
            next_sweep: Time::ZERO,
            counts: Counts::default(),
            buffered: VecDeque::new(),
            log: Vec::new(),
            actions: Vec::new(),
        }
    }

    pub fn set_settings(&mut self, settings: Settings) {
        self.settings = settings;
    }

    /// Applies an update of the store, and opens the flows that were buffered until the first one.
    pub fn apply_update(&mut self, now: Time, update: StoreUpdate) {
        let Balancer { view, log, .. } = self;
        view.apply(now, update, log);
        if self.view.table.is_some() {
            self.check_start(now);
            self.open_buffered(now);
        }
    }

    /// Returns whether the instance can serve clients: it knows routes, has reached a backend server
    /// since its start if it knows any, and is not isolated.
    pub fn is_ready(&self) -> bool {
        let cut_off = self.isolation.is_isolated() || self.isolation.is_unchecked();
        self.view.table.is_some() && !cut_off
    }

    pub fn counts(&self) -> Counts {
        self.counts
    }

    /// Returns the time since the store last confirmed the view, or since the start if it never did.
    pub fn view_age(&self, now: Time) -> Duration {
        self.view.age(now)
    }

    /// Returns the number of flows that have a record.
    pub fn flows(&self) -> usize {
        self.flows.len()
    }

    /// Drains the decisions made since the last call, for the log.
    pub fn take_log(&mut self) -> std::vec::Drain<'_, Decision> {
        self.log.drain(..)
    }

    /// Drains the actions that updates and ticks caused since the last call.
    pub fn take_actions(&mut self) -> std::vec::Drain<'_, Action> {
        self.actions.drain(..)
    }

    /// Returns the time at which [`Balancer::tick`] must run next.
    pub fn deadline(&self) -> Time {
        let flows = self.flows.deadline().unwrap_or(self.next_sweep);
        let probes = self.isolation.deadline().unwrap_or(self.next_sweep);
        flows.min(probes).min(self.next_sweep)
    }

    /// Decides what to do with a packet of a client.
    pub fn packet(&mut self, now: Time, segment: &Segment) -> Verdict {
        self.counts.add(Count::Packets);
        let verdict = match segment.kind {
            SegmentKind::Syn(syn) => self.open(now, segment.flow, syn),
            SegmentKind::Data | SegmentKind::Fin | SegmentKind::Rst => self.forward(now, segment),
        };
        match verdict {
            Verdict::Forward(_) => self.counts.add(Count::Forwarded),
            Verdict::Open(_) => {}
            Verdict::Reset { .. } => self.counts.add(Count::Resets),
            Verdict::Hold => self.counts.add(Count::Held),
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

    /// Handles the timers that are due.
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
            view.check_age(now, settings, log);
            self.reset_departed(now);
        }
    }
}
