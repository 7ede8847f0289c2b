//! Decision state of one instance, and the dispatch of its events.

use std::sync::Arc;
use std::time::Duration;

use rand_core::SeedableRng;
use rand_pcg::Pcg32;
use rustc_hash::FxHashMap;
use serde::{
    Deserialize,
    Serialize, //
};
use smallvec::SmallVec;

use crate::action::Action;
use crate::config::Configuration;
use crate::config_sync::{
    ConfigSync,
    ConfigSyncSettings, //
};
use crate::counter::{
    Counter,
    Counters, //
};
use crate::event::Event;
use crate::flows::{
    FlowKey,
    Flows,
    Placement, //
};
use crate::ids::{
    BackendServerId,
    FlowId,
    InstanceId,
    Revision,
    ServiceId, //
};
use crate::maintenance::HostingSettings;
use crate::membership::{
    Context,
    Membership,
    MembershipSettings, //
};
use crate::owners::Owners;
use crate::ownership::OwnershipSettings;
use crate::peer::{
    LoadShare,
    Member,
    MemberState,
    MemberUpdate,
    PeerMessage, //
};
use crate::registry::Registry;
use crate::requests::Requests;
use crate::retry_budget::{
    RetryBudget,
    RetrySettings, //
};
use crate::servers::{
    AdmissionSettings,
    Server,
    Servers, //
};
use crate::state_change::StateChange;
use crate::status::{
    CandidateStatus,
    Explanation,
    Flag,
    FlowStatus,
    OwnedStatus,
    Status, //
};
use crate::tables::Tables;
use crate::time::Time;
use crate::warmup::WarmupSettings;

/// Delay of a maintenance pass that shows that the process was paused. Passes are due every 100 ms,
/// and callers retransmit the packet that opens a flow after one second.
const PAUSE_THRESHOLD: Duration = Duration::from_secs(1);

/// Time after a pause during which packets that open a flow are dropped, because they may have
/// waited in the socket buffers.
const BACKLOG_TIME: Duration = Duration::from_millis(50);

#[derive(Clone, Debug, Default, Deserialize, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Settings {
    pub membership: MembershipSettings,
    pub ownership: OwnershipSettings,
    pub admission: AdmissionSettings,
    pub warmup: WarmupSettings,
    pub retry: RetrySettings,
    /// Flows and requests that are served here.
    pub hosting: HostingSettings,
    /// Synchronization of configurations.
    pub spread: ConfigSyncSettings,
}

/// Decision state of one instance. Handles [`Event`]s and returns [`Action`]s.
pub struct Instance {
    pub(crate) member: Member,
    pub(crate) settings: Settings,
    pub(crate) rng: Pcg32,
    pub(crate) membership: Membership,
    /// Active configuration. Its revision only rises.
    pub(crate) configuration: Arc<Configuration>,
    pub(crate) tables: Tables,
    pub(crate) owners: Owners,
    /// Generation of the membership, revision of the configuration and visibility of the instance
    /// at the last ownership computation.
    pub(crate) owners_inputs: Option<(u64, Revision, bool)>,
    pub(crate) servers: Servers,
    /// Owners, at the last ownership computation, of the backend servers that this instance is a
    /// successor of. They are the former owners when it takes over.
    pub(crate) former_owners: FxHashMap<BackendServerId, InstanceId>,
    /// Concurrency limits of backend servers that were handed over before this instance knew that
    /// it owns them, with the time of the handover.
    pub(crate) handed_limits: FxHashMap<BackendServerId, (Time, u32)>,
    /// Loads that other owners last reported, with the time of the report.
    pub(crate) peer_loads: FxHashMap<BackendServerId, (Time, LoadShare)>,
    pub(crate) flows: Flows,
    pub(crate) requests: Requests,
    /// Flows whose placement override has to be registered with the owner of their first choice.
    pub(crate) overrides: Vec<FlowKey>,
    /// Retry budget of each configured service.
    pub(crate) budgets: FxHashMap<ServiceId, RetryBudget>,
    pub(crate) config_sync: ConfigSync,
    pub(crate) registry: Registry,
    pub(crate) counters: Counters,
    pub(crate) platform_available: bool,
    pub(crate) started: bool,
    /// Time at which the graceful shutdown began.
    pub(crate) leaving: Option<Time>,
    pub(crate) stopped: bool,
    /// Start of the last heartbeat period in which heartbeats carried loads.
    pub(crate) loads_sent: Time,
    /// Time of the next maintenance pass.
    pub(crate) next_pass: Time,
    /// Time of the next sweep over all flows.
    pub(crate) next_sweep: Time,
    /// Until this time, packets that open a flow may have waited in the socket buffers while the
    /// process was paused.
    pub(crate) backlog_until: Time,
}

impl Instance {
    /// Creates an instance without a configuration; `seed` initializes its random choices.
    pub fn new(member: Member, settings: Settings, seed: u64) -> Instance {
        let update = MemberUpdate {
            member,
            state: MemberState::Live,
            incarnation: 0,
        };
        Instance {
            member,
            membership: Membership::new(update, settings.membership.clone(), seed),
            settings,
            rng: Pcg32::seed_from_u64(!seed),
            configuration: Arc::default(),
            tables: Tables::default(),
            owners: Owners::default(),
            owners_inputs: None,
            servers: Servers::default(),
            former_owners: FxHashMap::default(),
            handed_limits: FxHashMap::default(),
            peer_loads: FxHashMap::default(),
            flows: Flows::default(),
            requests: Requests::default(),
            overrides: Vec::new(),
            budgets: FxHashMap::default(),
            config_sync: ConfigSync::default(),
            registry: Registry::default(),
            counters: Counters::default(),
            platform_available: true,
            started: false,
            leaving: None,
            stopped: false,
            loads_sent: Time::ZERO,
            next_pass: Time::ZERO,
            next_sweep: Time::ZERO,
            backlog_until: Time::ZERO,
        }
    }

    /// Handles one event at `now` and appends the resulting actions to `out`.
    ///
    /// `now` must not decrease between calls.
    pub fn handle(&mut self, now: Time, event: Event, out: &mut Vec<Action>) {
        if self.stopped {
            return;
        }
        let first = out.len();
        if !self.started {
            self.started = true;
            out.push(Action::AppendTimeline(StateChange::Started));
        }
        let overdue = now.since(self.next_pass) >= PAUSE_THRESHOLD;
        if overdue && self.next_pass > Time::ZERO {
            self.backlog_until = now + BACKLOG_TIME;
        }
        self.dispatch(now, event, out);
        self.refresh_owners(now, out);
        let sent = out[first..]
            .iter()
            .filter(|action| matches!(action, Action::SendPeer { .. }))
            .count();
        self.counters.add_many(Counter::PeerSends, sent as u64);
    }

    fn dispatch(&mut self, now: Time, event: Event, out: &mut Vec<Action>) {
        match event {
            Event::Tick => self.tick(now, out),
            Event::CallerPacket(packet) => self.on_caller_packet(now, packet, out),
            Event::RelayedPacket { relay, packet } => {
                self.on_relayed_packet(now, relay, packet, out);
            }
            Event::ServerPacket {
                backend_server,
                packet,
            } => self.on_server_packet(now, backend_server, packet, out),
            Event::PeerMessage { from, message } => self.on_peer_message(now, from, *message, out),
            Event::Records(records) => self.on_records(now, records, out),
            Event::Snapshot(snapshot) => self.on_snapshot(now, &snapshot, out),
            Event::Registry(entries) => self.on_registry(now, &entries, out),
            Event::Platform(available) => self.on_platform(available, out),
            Event::Health {
                backend_server,
                health,
            } => self.on_health(now, backend_server, health, out),
            Event::Load {
                backend_server,
                report,
            } => self.on_load(now, backend_server, report, out),
            Event::Leave => self.on_leave(now, out),
        }
    }

    fn on_peer_message(
        &mut self,
        now: Time,
        from: InstanceId,
        message: PeerMessage,
        out: &mut Vec<Action>,
    ) {
        self.counters.add(Counter::PeerMessages);
        self.membership.observe(now, from, &message);
        // An acknowledgement tells the sender that this instance owns none of the sender's backend
        // servers any more, so ownership is recomputed before the reply.
        self.refresh_owners(now, out);
        let loads = self.owned_loads();
        let context = Context {
            revision: self.configuration.revision,
            loads: &loads,
        };
        self.membership.reply(now, from, &message, &context, out);
        match message {
            PeerMessage::Heartbeat { loads, .. } => self.on_loads(now, &loads),
            PeerMessage::PullChanges { after } => self.on_pull(from, after, out),
            PeerMessage::Changes { records } => {
                self.on_records(now, records, out);
                self.pull_again(now, out);
            }
            PeerMessage::RegisterOverrides { overrides } => {
                self.on_overrides(now, overrides);
            }
            PeerMessage::Handover {
                backend_server,
                limit,
                flows,
                last,
            } => self.on_handover(now, backend_server, limit, flows, last, out),
            _ => {}
        }
    }

    /// Stores the loads and limits of the backend servers of another owner, in case this instance
    /// has to take them over.
    fn on_loads(&mut self, now: Time, loads: &[LoadShare]) {
        for load in loads {
            self.peer_loads.insert(load.backend_server, (now, *load));
        }
    }

    /// Pulls the next records if a pull returned only a part of the missing ones, without waiting
    /// for the next maintenance pass. Pulls still keep the distance `spread.pull`.
    fn pull_again(&mut self, now: Time, out: &mut Vec<Action>) {
        if self.config_sync.is_behind() {
            self.tick_config_sync(now, out);
        }
    }

    fn on_platform(&mut self, available: bool, out: &mut Vec<Action>) {
        if available == self.platform_available {
            return;
        }
        self.platform_available = available;
        let change = if available {
            StateChange::PlatformBack
        } else {
            StateChange::PlatformLost
        };
        out.push(Action::AppendTimeline(change));
    }

    pub(crate) fn tick_membership(&mut self, now: Time, out: &mut Vec<Action>) {
        let mut loads = self.owned_loads();
        // Loads are the largest part of a heartbeat and are not needed in every heartbeat.
        if now.since(self.loads_sent) >= LOADS_PERIOD {
            self.loads_sent = now;
        }
        // Loads are sent for one heartbeat period, so that each monitored member of the local zone
        // and each lease partner gets them once.
        if now.since(self.loads_sent) >= self.settings.membership.heartbeat {
            loads.clear();
        }
        let context = Context {
            revision: self.configuration.revision,
            loads: &loads,
        };
        self.membership.tick(now, &context, out);
    }

    fn owned_loads(&self) -> SmallVec<[LoadShare; 8]> {
        self.servers.iter().map(load_share).collect()
    }

    /// Returns the time by which [`Event::Tick`] must be passed to the instance, or `None` if it
    /// has stopped.
    pub fn deadline(&self) -> Option<Time> {
        if self.stopped {
            return None;
        }
        let membership = self.membership.deadline().unwrap_or(self.next_pass);
        Some(membership.min(self.next_pass))
    }

    /// Returns the active configuration.
    pub fn configuration(&self) -> &Arc<Configuration> {
        &self.configuration
    }

    pub fn counters(&self) -> &Counters {
        &self.counters
    }

    /// Returns the status of the instance as it is reported to operators.
    pub fn status(&self, now: Time) -> Status {
        Status {
            member: self.member,
            revision: self.configuration.revision,
            flows: self.flows.len() as u64,
            requests: self.requests.len() as u64,
            owned: self
                .servers
                .ids()
                .iter()
                .filter_map(|id| self.servers.get(*id))
                .map(|server| self.owned_status(now, server))
                .collect(),
            members: self.membership.updates().collect(),
            flags: self.flags(),
        }
    }

    fn owned_status(&self, now: Time, server: &Server) -> OwnedStatus {
        OwnedStatus {
            backend_server: server.id,
            limit: server.limit(),
            running: server.running,
            queued: server.queue.len() as u32,
            flows: server.flows,
            fenced: !self.may_admit(now, server),
            health: server.health,
        }
    }

    fn flags(&self) -> SmallVec<[Flag; 4]> {
        let alone = self.membership.live(self.member.zone).len() <= 1;
        let conditions = [
            (Flag::PlatformLost, !self.platform_available),
            (Flag::Fenced, self.servers.iter().any(|s| s.fenced)),
            (Flag::Alone, alone),
            (Flag::Behind, self.config_sync.is_behind()),
            (Flag::ServerDown, self.servers.iter().any(|s| s.down)),
            (Flag::Leaving, self.leaving.is_some()),
            (Flag::Unconfigured, self.configuration.revision.0 == 0),
        ];
        let active = conditions.into_iter().filter(|(_, raised)| *raised);
        active.map(|(flag, _)| flag).collect()
    }

    /// Returns the candidates of a flow and its status at this instance.
    pub fn explain(&self, service: ServiceId, flow: FlowId) -> Explanation {
        let ranking = self.tables.rank(service, flow).unwrap_or_default();
        Explanation {
            service,
            revision: self.configuration.revision,
            candidates: ranking
                .iter()
                .map(|candidate| CandidateStatus {
                    backend_server: candidate.backend_server,
                    owner: crate::owners::compute(
                        candidate.backend_server,
                        candidate.zone,
                        &self.membership,
                        self.owners.vacant(),
                    )
                    .first()
                    .copied(),
                })
                .collect(),
            status: self.flow_status(flow),
        }
    }

    fn flow_status(&self, flow: FlowId) -> FlowStatus {
        let flow = self.flows.find(flow).and_then(|key| self.flows.get(key));
        match flow.map(|flow| (flow.placement, flow.requests)) {
            Some((Placement::Hosted(backend_server), head)) => FlowStatus::Hosted {
                backend_server,
                requests: self.requests.list(head).count() as u32,
            },
            Some((Placement::Redirected { backend_server, .. }, _)) => {
                FlowStatus::Redirected { backend_server }
            }
            Some((Placement::Closed(reason), _)) => FlowStatus::Closed { reason },
            Some((Placement::Refused, _)) | None => FlowStatus::None,
        }
    }
}

/// Time between two heartbeats that carry loads.
const LOADS_PERIOD: Duration = Duration::from_secs(1);

fn load_share(server: &Server) -> LoadShare {
    let used = server.running as usize + server.queue.len();
    let share = used * 256 / server.slots.max(1) as usize;
    LoadShare {
        backend_server: server.id,
        used: share.min(usize::from(u16::MAX)) as u16,
        limit: server.limit().min(u32::from(u16::MAX)) as u16,
        boot: server.report.map_or(0, |(_, report)| report.boot as u32),
    }
}
