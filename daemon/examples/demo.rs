//! Demo of three instances in one process, with stand-ins for everything around them. Requests are
//! answered while a backend server is drained, and while an availability zone is taken out of
//! service and put back in service.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::Path;
use std::time::{
    Duration,
    Instant, //
};

use anyhow::{
    Context,
    bail, //
};
use kameo::actor::ActorRef;
use lovagespindle_daemon::router::Router;
use lovagespindle_daemon::run;
use lovagespindle_daemon::settings::Settings;
use lovagespindle_datagram::Services;
use lovagespindle_decisions::config::{
    Change,
    ServerState,
    ZoneState, //
};
use lovagespindle_decisions::ids::{
    BackendServerId,
    OperationId,
    Revision,
    ServiceId, //
};
use lovagespindle_operators::client::{
    self,
    Client, //
};
use lovagespindle_operators::messages::ApplyChanges;
use lovagespindle_stand_ins::backend_server::ServerSettings;
use lovagespindle_stand_ins::caller::{
    CallerSettings,
    RequestOptions,
    RequestOutcome, //
};
use lovagespindle_stand_ins::platform::Platform;
use lovagespindle_stand_ins::{
    BackendServer,
    Caller,
    Fabric,
    Work, //
};
use tokio::task::JoinSet;

const ZONES: [&str; 3] = ["nz-north-a", "nz-north-b", "nz-north-c"];
const SERVICE: &str = "ticket-desk";
const ADDRESS: ([u8; 4], u16) = ([198, 51, 100, 7], 80);

/// Time within which a change must reach all instances.
const SETTLE_TIMEOUT: Duration = Duration::from_secs(15);

/// Number of concurrent callers.
const CALLERS: u64 = 6;

/// Results of one phase, a row of the printed table.
struct Row {
    phase: &'static str,
    answered: u64,
    /// Number of requests with each other outcome, by its name.
    other_outcomes: BTreeMap<&'static str, u64>,
    /// Number of requests that were started in each zone.
    zones: [usize; 3],
    duration: Duration,
}

struct Demo {
    fabric: Fabric,
    servers: Vec<BackendServer>,
    client: Client,
    operation: u128,
    rows: Vec<Row>,
    /// An instance stops when the last reference to its router is dropped.
    _routers: Vec<ActorRef<Router>>,
    _platform: Platform,
}

#[tokio::main]
async fn main() -> anyhow::Result<()> {
    println!("starting platform, fabric, 6 backend servers and 3 instances");
    let mut demo = Demo::start().await?;
    demo.phase("all zones in service").await?;
    let drain = Change::SetServer {
        name: "server-0".to_owned(),
        state: ServerState::Draining,
    };
    demo.change("draining server-0", drain).await?;
    demo.phase("server-0 drained").await?;
    let out = set_zone(ZoneState::Out);
    demo.change("taking nz-north-b out of service", out).await?;
    demo.phase("nz-north-b out").await?;
    let back = set_zone(ZoneState::In);
    demo.change("putting nz-north-b back in service", back)
        .await?;
    demo.phase("nz-north-b back").await?;
    demo.print().await
}

impl Demo {
    async fn start() -> anyhow::Result<Demo> {
        let platform = Platform::start().await?;
        let fabric = Fabric::start(1).await?;
        let mut servers = Vec::new();
        for n in 0..6 {
            servers.push(BackendServer::start(server_settings(n)).await?);
        }
        let (mut routers, mut callers, mut operators) = (Vec::new(), Vec::new(), Vec::new());
        for (n, zone) in ZONES.iter().enumerate() {
            let address = |port| SocketAddr::from(([127, 77, 200, n as u8 + 1], port));
            let text = settings_text(n, zone, &address, &fabric, &platform);
            let settings = Settings::parse(&text, Path::new("demo"))?;
            routers.push(run::start(settings).await?);
            callers.push(address(4700));
            operators.push(address(4710));
        }
        fabric.set_instances(&callers).await?;
        let mut demo = Demo {
            fabric,
            servers,
            client: Client::new(operators, client::Settings::default()),
            operation: 0,
            rows: Vec::new(),
            _routers: routers,
            _platform: platform,
        };
        let changes = demo.changes();
        let revision = demo.apply(changes).await?;
        demo.settle(revision, demo.servers.len()).await?;
        Ok(demo)
    }

    fn changes(&self) -> Vec<Change> {
        let mut changes = vec![Change::PutService {
            name: SERVICE.to_owned(),
            address: ADDRESS.into(),
            idle: Duration::from_secs(60),
        }];
        for zone in ZONES {
            changes.push(Change::CreateZone {
                name: zone.to_owned(),
                region: "nz-north".to_owned(),
            });
            changes.push(Change::CreatePool {
                name: format!("pool-{zone}"),
                service: SERVICE.to_owned(),
                zone: zone.to_owned(),
            });
        }
        for (n, server) in self.servers.iter().enumerate() {
            changes.push(Change::PutServer {
                name: format!("server-{n}"),
                pool: format!("pool-{}", ZONES[n % 3]),
                address: server.address,
                health: server.health,
                weight: 100,
                slots: 4,
                connections: 2000,
            });
        }
        changes
    }

    async fn apply(&mut self, changes: Vec<Change>) -> anyhow::Result<Revision> {
        self.operation += 1;
        let call = ApplyChanges {
            operation: OperationId(self.operation),
            expected: None,
            changes,
        };
        Ok(self.client.apply(&call).await?)
    }

    async fn change(&mut self, description: &str, change: Change) -> anyhow::Result<()> {
        let started = Instant::now();
        let revision = self.apply(vec![change]).await?;
        self.settle(revision, 0).await?;
        let elapsed = started.elapsed().as_millis();
        println!("{description}: all instances use revision {revision} after {elapsed} ms");
        Ok(())
    }

    /// Waits until all instances know each other and have applied `revision`, and together admit
    /// requests to at least `min_servers` backend servers.
    async fn settle(&self, revision: Revision, min_servers: usize) -> anyhow::Result<()> {
        let deadline = Instant::now() + SETTLE_TIMEOUT;
        let (mut admitting, mut ready) = (0, 0);
        while Instant::now() < deadline {
            (admitting, ready) = (0, 0);
            for (_, answer) in self.client.status().await {
                let (status, _) = answer?;
                admitting += status.owned.iter().filter(|owned| !owned.fenced).count();
                let known = status.revision >= revision && status.members.len() == ZONES.len();
                ready += usize::from(known);
            }
            if ready == ZONES.len() && admitting >= min_servers {
                return Ok(());
            }
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
        bail!(
            "after {SETTLE_TIMEOUT:?}, {ready} instances have applied revision {revision} and \
             requests are admitted to {admitting} backend servers"
        );
    }

    /// Makes requests from several callers and records their outcomes.
    async fn phase(&mut self, phase: &'static str) -> anyhow::Result<()> {
        println!("{phase}: making requests");
        let before = self.executions().await?;
        let started = Instant::now();
        let mut tasks = JoinSet::new();
        for n in 0..CALLERS {
            let settings = CallerSettings {
                fabric: self.fabric.front,
                services: services(),
                timeout: Duration::from_secs(2),
                seed: (self.rows.len() as u64) << 32 | n,
                ..CallerSettings::default()
            };
            tasks.spawn(make_requests(Caller::start(settings).await?));
        }
        let (mut answered, mut other_outcomes) = (0, BTreeMap::new());
        while let Some(result) = tasks.join_next().await {
            for outcome in result?? {
                match outcome {
                    RequestOutcome::Answered { .. } => answered += 1,
                    other => *other_outcomes.entry(outcome_name(other)).or_default() += 1,
                }
            }
        }
        let duration = started.elapsed();
        let after = self.executions().await?;
        self.rows.push(Row {
            phase,
            answered,
            other_outcomes,
            zones: std::array::from_fn(|zone| after[zone] - before[zone]),
            duration,
        });
        Ok(())
    }

    /// Returns the number of requests that were started in each zone.
    async fn executions(&self) -> anyhow::Result<[usize; 3]> {
        let mut counts = [0; 3];
        for (n, server) in self.servers.iter().enumerate() {
            counts[n % 3] += server.report().await?.executions.len();
        }
        Ok(counts)
    }

    async fn print(&self) -> anyhow::Result<()> {
        println!();
        println!("phase                 answered  other  zone a  zone b  zone c  seconds");
        for row in &self.rows {
            let (phase, answered, [a, b, c]) = (row.phase, row.answered, row.zones);
            let other: u64 = row.other_outcomes.values().sum();
            let seconds = row.duration.as_secs_f64();
            println!("{phase:21} {answered:8} {other:6} {a:7} {b:7} {c:7} {seconds:8.1}");
        }
        for row in self
            .rows
            .iter()
            .filter(|row| !row.other_outcomes.is_empty())
        {
            println!("{}: other outcomes {:?}", row.phase, row.other_outcomes);
        }
        let mut duplicates = 0;
        for server in &self.servers {
            duplicates += server.report().await?.duplicates().count();
        }
        println!("requests that ran twice: {duplicates}");
        if self.rows.iter().any(|row| row.answered == 0) || duplicates > 0 {
            bail!("a phase had no answered request, or a request ran twice");
        }
        Ok(())
    }
}

/// Opens flows one after another and makes requests on each: short ones, and downloads on one flow.
async fn make_requests(mut caller: Caller) -> anyhow::Result<Vec<RequestOutcome>> {
    let mut outcomes = Vec::new();
    for n in 0..20 {
        let mut flow = caller
            .flow(ADDRESS.into(), SERVICE)
            .context("cannot open a flow")?;
        let work = match n {
            10 => Work::download(40, 10),
            _ => Work::for_millis(5),
        };
        for _ in 0..3 {
            let options = RequestOptions {
                work,
                ..RequestOptions::default()
            };
            outcomes.push(flow.request(options).await?);
        }
        flow.close().await?;
    }
    Ok(outcomes)
}

fn outcome_name(outcome: RequestOutcome) -> &'static str {
    match outcome {
        RequestOutcome::Answered { .. } => "answered",
        RequestOutcome::Refused(_) => "refused",
        RequestOutcome::Unknown(_) => "unknown",
        RequestOutcome::Reset(_) => "reset",
        RequestOutcome::GivenUp => "given up",
        RequestOutcome::Timeout { .. } => "timed out",
    }
}

fn set_zone(state: ZoneState) -> Change {
    Change::SetZone {
        name: ZONES[1].to_owned(),
        state,
    }
}

fn settings_text(
    n: usize,
    zone: &str,
    address: &dyn Fn(u16) -> SocketAddr,
    fabric: &Fabric,
    platform: &Platform,
) -> String {
    format!(
        "[instance]\nname = \"instance-{n}\"\nzone = \"{zone}\"\n\
         control = \"{}\"\nrelay = \"{}\"\n\
         [callers]\nlisten = \"{}\"\nfabric = \"{}\"\n\
         [backend_servers]\nlisten = \"{}\"\n[operators]\nlisten = \"{}\"\n\
         [platform]\nendpoint = \"{}\"\n",
        address(4720),
        address(4721),
        address(4700),
        fabric.back,
        address(4730),
        address(4710),
        platform.url(),
    )
}

/// Maps the service's address to id 0, the first id that the configuration assigns.
fn services() -> Services {
    [(SocketAddr::from(ADDRESS), ServiceId(0))]
        .into_iter()
        .collect()
}

fn server_settings(n: u32) -> ServerSettings {
    ServerSettings {
        server: BackendServerId(n),
        service: SERVICE.to_owned(),
        services: services(),
        ..ServerSettings::default()
    }
}
