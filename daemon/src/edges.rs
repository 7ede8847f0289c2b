//! The actors at the edges of the process, and how actions of the decisions reach them.

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
use crate::figures::Sources;
use crate::metrics::{
    MetricError,
    Metrics,
    Sample, //
};
use crate::occurrences;
use crate::router::{
    Arguments,
    Router, //
};
use crate::settings::Settings;

/// Why the daemon can't start.
#[derive(Clone, Debug, thiserror::Error)]
pub enum StartError {
    /// A listening address can't be used.
    #[error("{key} {address} cannot be used: {source}")]
    Listen {
        /// The key of the setting.
        key: &'static str,
        /// The address.
        address: SocketAddr,
        /// Why.
        source: Arc<std::io::Error>,
    },
    /// A UDP socket can't be used.
    #[error("{key} cannot be used: {source}")]
    Socket {
        /// The key of the setting.
        key: &'static str,
        /// Why.
        source: SocketError,
    },
    /// The platform's endpoint can't be used.
    #[error("platform cannot be used: {0}")]
    Platform(Arc<StoreError>),
    /// Metrics can't be exported.
    #[error("{0}")]
    Metrics(Arc<MetricError>),
    /// An actor failed while it started.
    #[error("{0} did not start")]
    Actor(&'static str),
}

/// The actors at the edges of the process.
pub struct Edges {
    callers: ActorRef<CallerSocket>,
    backend_servers: ActorRef<BackendSocket>,
    prober: ActorRef<Prober>,
    links: ActorRef<PeerLinks>,
    relay: ActorRef<RelaySocket>,
    store: ActorRef<Store>,
    timeline: ActorRef<Timeline>,
    metrics: ActorRef<Metrics>,
    /// Kept because the server stops with its last reference.
    _operators: ActorRef<OperatorServer>,
    /// The own zone, of which the list is read before there is a configuration.
    zone: String,
    /// The configuration that the sockets know.
    known: Revision,
    outbox: Outbox,
}

/// Packets and messages that wait for the end of a batch.
#[derive(Default)]
struct Outbox {
    callers: Vec<Packet>,
    backend_servers: Vec<(SocketAddr, Packet)>,
    relays: Vec<RelayedPacket>,
    peers: Vec<LinkCommand>,
}

impl Edges {
    /// Starts all actors; their events go to `router`.
    pub async fn start(
        settings: &Settings,
        arguments: &Arguments,
        router: &ActorRef<Router>,
    ) -> Result<Edges, StartError> {
        let clock = arguments.clock;
        let events: Recipient<Vec<Event>> = router.clone().recipient();
        let callers = CallerSocket::spawn(callers::Arguments {
            settings: settings.callers.clone(),
            clock,
            services: Services::default(),
            consumer: events.clone(),
        });
        started("callers.listen", &callers).await?;
        let backend_servers = BackendSocket::spawn(backend_servers::Arguments {
            settings: settings.backend_servers.clone(),
            clock,
            services: Services::default(),
            servers: backend_servers::Servers::default(),
            consumer: events.clone(),
        });
        started("backend_servers.listen", &backend_servers).await?;
        let relay = RelaySocket::spawn(RelayArgs {
            settings: RelaySettings {
                listen: settings.instance.relay,
                ..settings.relay.clone()
            },
            clock,
            services: Services::default(),
            consumer: events.clone(),
        });
        started("instance.relay", &relay).await?;
        let control = settings.instance.control;
        let listener = links::bind(control).await;
        let links = PeerLinks::spawn(LinkArgs {
            me: arguments.member.id,
            listener: listener.map_err(|source| listen("instance.control", control, source))?,
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
        let sources = Sources {
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
        Ok(Edges {
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
            known: Revision(0),
            outbox: Outbox::default(),
        })
    }

    /// Carries actions out; returns whether the process should stop.
    ///
    /// An actor that is gone is stopping with the process, so failed sends are not reported.
    pub async fn carry_out(
        &mut self,
        actions: &mut Vec<Action>,
        configuration: &Arc<Configuration>,
    ) -> bool {
        let mut stop = false;
        if configuration.revision > self.known {
            self.known = configuration.revision;
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
            Action::AppendTimeline(occurrence) => {
                occurrences::log(&occurrence);
                let _ = self.timeline.tell(AppendTimeline(occurrence)).await;
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

    /// Tells the sockets the addresses of a new configuration.
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

    /// Returns the zones of the own region, or only the own zone without a configuration.
    fn region_zones(&self, configuration: &Configuration) -> Vec<(String, ZoneId)> {
        let Some(own) = configuration.zone_named(&self.zone) else {
            return vec![(self.zone.clone(), ZoneId::of(&self.zone))];
        };
        configuration
            .zones
            .values()
            .filter(|zone| zone.region == own.region)
            .map(|zone| (zone.name.clone(), zone.id))
            .collect()
    }

    /// Passes a sample on to the metrics. A sample that finds no room is dropped; the next one
    /// holds its counts too.
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
    let listener = listener.map_err(|source| listen("operators.listen", address, source))?;
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

fn listen(key: &'static str, address: SocketAddr, source: std::io::Error) -> StartError {
    StartError::Listen {
        key,
        address,
        source: Arc::new(source),
    }
}

async fn started<A>(key: &'static str, actor: &ActorRef<A>) -> Result<(), StartError>
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
