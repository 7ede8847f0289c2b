//! Starts the actors that own the sockets, the links and the store client, and sends them the
//! actions that the decision state returns.

use std::net::SocketAddr;
use std::sync::Arc;

use kameo::actor::{
    Actor,
    ActorRef,
    Recipient,
    Spawn, //
};
use lovagespindle_backend_servers::{
    self as backend_servers,
    BackendSocket,
    Prober, //
};
use lovagespindle_callers::{
    self as callers,
    CallerSocket, //
};
use lovagespindle_datagram::Services;
use lovagespindle_datagram::socket::SocketError;
use lovagespindle_decisions::config::Configuration;
use lovagespindle_decisions::ids::{
    Revision,
    ZoneId, //
};
use lovagespindle_decisions::packet::Packet;
use lovagespindle_decisions::{
    Action,
    Event, //
};
use lovagespindle_instances::links::{
    self,
    LinkArgs,
    LinkCommand,
    PeerLinks, //
};
use lovagespindle_instances::relay::{
    RelayArgs,
    RelayPackets,
    RelaySettings,
    RelaySocket,
    RelayedPacket,
    SetRelayServices, //
};
use lovagespindle_operators::server::{
    OperatorServer,
    Recipients, //
};
use lovagespindle_operators::timeline::{
    AppendTimeline,
    Timeline, //
};
use lovagespindle_store::StoreError;
use lovagespindle_store::store::{
    self,
    Store, //
};
use tokio::net::TcpListener;

use crate::applier::Applier;
use crate::counters::CounterSources;
use crate::metrics::{
    MetricError,
    Metrics,
    Sample, //
};
use crate::router::{
    Arguments,
    Router, //
};
use crate::settings::Settings;
use crate::state_changes;

/// An error that keeps the daemon from starting.
#[derive(Clone, Debug, thiserror::Error)]
pub enum StartError {
    #[error("{key} {address} cannot be used: {source}")]
    Listen {
        /// Key of the setting.
        key: &'static str,
        address: SocketAddr,
        source: Arc<std::io::Error>,
    },
    #[error("{key} cannot be used: {source}")]
    Socket {
        /// Key of the setting.
        key: &'static str,
        source: SocketError,
    },
    #[error("store client cannot be created: {0}")]
    Platform(Arc<StoreError>),
    #[error("{0}")]
    Metrics(Arc<MetricError>),
    /// An actor panicked while it started; holds its name or the key of its setting.
    #[error("{0} panicked at startup")]
    Actor(&'static str),
}

/// References to the actors that own the sockets, the links, the store client, the timeline and
/// the metrics, and the packets and messages to send to them.
pub struct Adapters {
    callers: ActorRef<CallerSocket>,
    backend_servers: ActorRef<BackendSocket>,
    prober: ActorRef<Prober>,
    links: ActorRef<PeerLinks>,
    relay: ActorRef<RelaySocket>,
    store: ActorRef<Store>,
    timeline: ActorRef<Timeline>,
    metrics: ActorRef<Metrics>,
    /// The server stops when its last reference is dropped.
    _operators: ActorRef<OperatorServer>,
    /// Name of the local zone. Its registry entries are read and written even without a
    /// configuration.
    zone: String,
    /// Revision of the configuration that was last sent to the sockets.
    configured: Revision,
    outbox: Outbox,
}

/// Packets and messages that are sent together after a batch of actions.
#[derive(Default)]
struct Outbox {
    callers: Vec<Packet>,
    backend_servers: Vec<(SocketAddr, Packet)>,
    relays: Vec<RelayedPacket>,
    peers: Vec<LinkCommand>,
}

impl Adapters {
    /// Starts all actors; they send their events to `router`. Returns an error if a socket, the
    /// store client, the metrics or the operators' server cannot be set up.
    pub async fn start(
        settings: &Settings,
        arguments: &Arguments,
        router: &ActorRef<Router>,
    ) -> Result<Adapters, StartError> {
        let clock = arguments.clock;
        let events: Recipient<Vec<Event>> = router.clone().recipient();
        let callers = CallerSocket::spawn(callers::Arguments {
            settings: settings.callers.clone(),
            clock,
            services: Services::default(),
            consumer: events.clone(),
        });
        wait_started("callers.listen", &callers).await?;
        let backend_servers = BackendSocket::spawn(backend_servers::Arguments {
            settings: settings.backend_servers.clone(),
            clock,
            services: Services::default(),
            servers: backend_servers::Servers::default(),
            consumer: events.clone(),
        });
        wait_started("backend_servers.listen", &backend_servers).await?;
        let relay = RelaySocket::spawn(RelayArgs {
            settings: RelaySettings {
                listen: settings.instance.relay,
                ..settings.relay.clone()
            },
            clock,
            services: Services::default(),
            consumer: events.clone(),
        });
        wait_started("instance.relay", &relay).await?;
        let control = settings.instance.control;
        let listener = links::bind(control).await;
        let links = PeerLinks::spawn(LinkArgs {
            me: arguments.member.id,
            listener: listener
                .map_err(|source| listen_error("instance.control", control, source))?,
            settings: settings.links,
            events: events.clone(),
        });
        let prober = Prober::spawn(backend_servers::ProberArguments {
            settings: settings.prober,
            seed: arguments.seed,
            consumer: events,
        });
        let store = Store::start(
            settings.platform.clone(),
            arguments.seed,
            router.clone().recipient(),
        )
        .map_err(|error| StartError::Platform(Arc::new(error)))?;
        let timeline = Timeline::spawn(Timeline::new(arguments.member.id, &settings.timeline));
        let name = &settings.instance.name;
        let zone = &settings.instance.zone;
        let sources = CounterSources {
            callers: callers.clone(),
            backend_servers: backend_servers.clone(),
            relay: relay.clone(),
            links: links.clone(),
            prober: prober.clone(),
            store: store.clone(),
        };
        let metrics = Metrics::new(&settings.metrics, name, zone, sources)
            .map_err(|error| StartError::Metrics(Arc::new(error)))?;
        let metrics = Metrics::spawn(metrics);
        let operators = serve_operators(settings, router, &store, &timeline).await?;
        Ok(Adapters {
            callers,
            backend_servers,
            prober,
            links,
            relay,
            store,
            timeline,
            metrics,
            _operators: operators,
            zone: zone.clone(),
            configured: Revision(0),
            outbox: Outbox::default(),
        })
    }

    /// Sends `configuration` to the sockets if it is newer than the last one, then executes and
    /// removes all `actions`. Returns whether the process should stop.
    ///
    /// Failed sends are ignored: an actor stops only when the process shuts down.
    pub async fn execute(
        &mut self,
        actions: &mut Vec<Action>,
        configuration: &Arc<Configuration>,
    ) -> bool {
        let mut stop = false;
        if configuration.revision > self.configured {
            self.configured = configuration.revision;
            self.configure(configuration).await;
        }
        for action in actions.drain(..) {
            stop |= action == Action::Stop;
            self.dispatch(action, configuration).await;
        }
        self.flush().await;
        stop
    }

    async fn dispatch(&mut self, action: Action, configuration: &Arc<Configuration>) {
        match action {
            Action::SendCaller(packet) => self.outbox.callers.push(packet),
            Action::SendServer {
                address, packet, ..
            } => self.outbox.backend_servers.push((address, packet)),
            Action::Relay {
                address,
                relay,
                packet,
                ..
            } => self.outbox.relays.push(RelayedPacket {
                address,
                relay,
                packet,
            }),
            Action::SendPeer {
                to,
                address,
                message,
            } => self.outbox.peers.push(LinkCommand::Send {
                to,
                address,
                message,
            }),
            Action::Reconnect { to, address } => {
                self.outbox
                    .peers
                    .push(LinkCommand::Reconnect { to, address });
            }
            Action::StartPolling {
                backend_server,
                health,
            } => {
                let start = backend_servers::StartPolling {
                    backend_server,
                    health,
                };
                let _ = self.prober.tell(start).await;
            }
            Action::StopPolling { backend_server } => {
                let stop = backend_servers::StopPolling { backend_server };
                let _ = self.prober.tell(stop).await;
            }
            Action::Watch(true) => {
                let after = configuration.revision;
                let _ = self.store.tell(store::Watch::Start { after }).await;
            }
            Action::Watch(false) => {
                let _ = self.store.tell(store::Watch::Stop).await;
            }
            Action::ReadStore { after } => {
                let _ = self.store.tell(store::ReadAfter(after)).await;
            }
            Action::ReadRegistry => {
                let zones = self.region_zones(configuration);
                let _ = self.store.tell(store::ReadRegistry { zones }).await;
            }
            Action::Register(entry) => {
                let zone = self.zone.clone();
                let _ = self.store.tell(store::Register { zone, entry }).await;
            }
            Action::Deregister(instance) => {
                let zone = self.zone.clone();
                let _ = self.store.tell(store::Deregister { zone, instance }).await;
            }
            Action::AppendTimeline(change) => {
                state_changes::log(&change);
                let _ = self.timeline.tell(AppendTimeline(change)).await;
            }
            Action::Stop => {}
        }
    }

    async fn flush(&mut self) {
        let outbox = std::mem::take(&mut self.outbox);
        if !outbox.callers.is_empty() {
            let packets = callers::SendPackets(outbox.callers);
            let _ = self.callers.tell(packets).await;
        }
        if !outbox.backend_servers.is_empty() {
            let packets = backend_servers::SendPackets(outbox.backend_servers);
            let _ = self.backend_servers.tell(packets).await;
        }
        if !outbox.relays.is_empty() {
            let _ = self.relay.tell(RelayPackets(outbox.relays)).await;
        }
        if !outbox.peers.is_empty() {
            let _ = self.links.tell(outbox.peers).await;
        }
    }

    /// Sends the services and backend servers of a new configuration to the sockets.
    async fn configure(&mut self, configuration: &Arc<Configuration>) {
        let services = Services::from(configuration.as_ref());
        let servers = backend_servers::Servers::from(configuration.as_ref());
        let _ = self
            .callers
            .tell(callers::SetServices(services.clone()))
            .await;
        let _ = self.relay.tell(SetRelayServices(services.clone())).await;
        let set = backend_servers::SetServices(services);
        let _ = self.backend_servers.tell(set).await;
        let set = backend_servers::SetServers(servers);
        let _ = self.backend_servers.tell(set).await;
    }

    /// Returns the names and ids of all zones in the local region, or only of the local zone if it
    /// is not in the configuration.
    fn region_zones(&self, configuration: &Configuration) -> Vec<(String, ZoneId)> {
        let Some(local) = configuration.zone_named(&self.zone) else {
            return vec![(self.zone.clone(), ZoneId::of(&self.zone))];
        };
        configuration
            .zones
            .values()
            .filter(|zone| zone.region == local.region)
            .map(|zone| (zone.name.clone(), zone.id))
            .collect()
    }

    /// Passes a sample to the metrics. If their mailbox is full, the sample is dropped; its counters
    /// are cumulative, so the next sample includes them.
    pub fn record(&self, sample: Sample) {
        let _ = self.metrics.tell(sample).try_send();
    }
}

async fn serve_operators(
    settings: &Settings,
    router: &ActorRef<Router>,
    store: &ActorRef<Store>,
    timeline: &ActorRef<Timeline>,
) -> Result<ActorRef<OperatorServer>, StartError> {
    let address = settings.operators.listen;
    let listener = TcpListener::bind(address).await;
    let listener = listener.map_err(|source| listen_error("operators.listen", address, source))?;
    let applier = Applier::spawn(Applier::new(router.clone(), store.clone()));
    let recipients = Recipients {
        apply: applier.reply_recipient(),
        configuration: router.clone().reply_recipient(),
        status: router.clone().reply_recipient(),
        explain: router.clone().reply_recipient(),
        timeline: timeline.clone().reply_recipient(),
        follow: timeline.clone().reply_recipient(),
    };
    Ok(OperatorServer::spawn((listener, recipients)))
}

fn listen_error(key: &'static str, address: SocketAddr, source: std::io::Error) -> StartError {
    StartError::Listen {
        key,
        address,
        source: Arc::new(source),
    }
}

async fn wait_started<A>(key: &'static str, actor: &ActorRef<A>) -> Result<(), StartError>
where
    A: Actor<Error = SocketError>,
{
    use kameo::error::HookError;
    match actor.wait_for_startup_result().await {
        Ok(()) => Ok(()),
        Err(HookError::Error(source)) => Err(StartError::Socket { key, source }),
        Err(HookError::Panicked(_)) => Err(StartError::Actor(key)),
    }
}
