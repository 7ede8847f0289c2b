//! Runs a fleet of daemon processes with stand-ins for the platform, the fabric, callers and
//! backend servers.

pub(crate) mod load;

use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::{
    Child,
    Command,
    ExitStatus, //
};
use std::time::{
    Duration,
    Instant, //
};

use lovagespindle_datagram::Services;
use lovagespindle_decisions::config::Change;
use lovagespindle_decisions::ids::{
    BackendServerId,
    FlowId,
    OperationId,
    RequestId,
    Revision,
    ServiceId, //
};
use lovagespindle_decisions::peer::MemberState;
use lovagespindle_decisions::status::Status;
use lovagespindle_operators::client::{
    Client,
    Settings, //
};
use lovagespindle_operators::messages::ApplyChanges;
use lovagespindle_stand_ins::backend_server::ServerSettings;
use lovagespindle_stand_ins::caller::CallerSettings;
use lovagespindle_stand_ins::platform::Platform;
use lovagespindle_stand_ins::{
    BackendServer,
    Caller,
    Fabric, //
};
use rustix::process::{
    Pid,
    Signal, //
};

pub(crate) const ZONES: [&str; 3] = ["nz-north-a", "nz-north-b", "nz-north-c"];
pub(crate) const SERVICE: &str = "ticket-desk";
pub(crate) const ADDRESS: ([u8; 4], u16) = ([198, 51, 100, 7], 80);

/// Number of requests that a backend server runs concurrently.
const SLOTS: u32 = 4;

/// Time within which the fleet must reach an expected state, or a daemon must exit.
const TIMEOUT: Duration = Duration::from_secs(20);

/// A daemon process, which is killed when the value is dropped.
pub(crate) struct Daemon {
    pub(crate) process: Child,
    pub(crate) callers: SocketAddr,
    pub(crate) backend_servers: SocketAddr,
    pub(crate) operators: SocketAddr,
    pub(crate) control: SocketAddr,
    pub(crate) relay: SocketAddr,
}

impl Daemon {
    /// Sends SIGTERM to the process, which then shuts down gracefully.
    pub(crate) fn terminate(&self) {
        rustix::process::kill_process(Pid::from_child(&self.process), Signal::TERM).unwrap();
    }

    /// Waits until the process exits.
    pub(crate) async fn wait_for_exit(&mut self) -> ExitStatus {
        let deadline = Instant::now() + TIMEOUT;
        loop {
            if let Some(status) = self.process.try_wait().unwrap() {
                return status;
            }
            assert!(Instant::now() < deadline, "the daemon did not exit");
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    }
}

impl Drop for Daemon {
    fn drop(&mut self) {
        // Fails only if the process has already exited.
        let _ = self.process.kill();
        let _ = self.process.wait();
    }
}

/// Daemons in three zones, with two backend servers in each zone at the start.
pub(crate) struct Fleet {
    pub(crate) platform: Platform,
    pub(crate) fabric: Fabric,
    pub(crate) servers: Vec<BackendServer>,
    pub(crate) daemons: Vec<Daemon>,
    pub(crate) client: Client,
    network: u8,
    operation: u128,
}

impl Fleet {
    /// Starts a fleet with one daemon in each zone. Fleets that run at the same time need different
    /// values of `network`, which is part of their addresses.
    pub(crate) async fn start(network: u8) -> Fleet {
        Fleet::with_daemons(network, 3).await
    }

    /// Starts a fleet of `count` daemons, which are assigned to the zones round robin.
    pub(crate) async fn with_daemons(network: u8, count: usize) -> Fleet {
        let platform = Platform::start().await.unwrap();
        let fabric = Fabric::start(u64::from(network)).await.unwrap();
        let mut servers = Vec::new();
        for n in 0..6 {
            servers.push(BackendServer::start(server_settings(n)).await.unwrap());
        }
        let mut fleet = Fleet {
            platform,
            fabric,
            servers,
            daemons: Vec::new(),
            client: Client::new(Vec::new(), Settings::default()),
            network,
            operation: 0,
        };
        for n in 0..count {
            let daemon = fleet.spawn_daemon(n as u8 + 1, ZONES[n % 3]);
            fleet.daemons.push(daemon);
        }
        fleet.update_addresses().await;
        let changes = fleet.initial_changes();
        fleet.apply(changes).await;
        fleet
    }

    /// Starts a daemon process at the address of the fleet's network that ends in `host`.
    pub(crate) fn spawn_daemon(&self, host: u8, zone: &str) -> Daemon {
        let address = |port| SocketAddr::from(([127, 77, self.network, host], port));
        let name = format!("instance-{}-{host}", self.network);
        let text = format!(
            "[instance]\nname = \"{name}\"\nzone = \"{zone}\"\ncontrol = \"{}\"\nrelay = \"{}\"\n\
             [callers]\nlisten = \"{}\"\nfabric = \"{}\"\n\
             [backend_servers]\nlisten = \"{}\"\n\
             [operators]\nlisten = \"{}\"\n\
             [platform]\nendpoint = \"{}\"\n\
             [log]\nlevel = \"info\"\nfile = \"{}\"\n",
            address(4720),
            address(4721),
            address(4700),
            self.fabric.back,
            address(4730),
            address(4710),
            self.platform.url(),
            temp_directory().join(format!("{name}.log")).display(),
        );
        let file = temp_directory().join(format!("{name}.toml"));
        std::fs::write(&file, text).unwrap();
        let process = Command::new(env!("CARGO_BIN_EXE_lovagespindled"))
            .arg("--config")
            .arg(&file)
            .spawn()
            .unwrap();
        Daemon {
            process,
            callers: address(4700),
            backend_servers: address(4730),
            operators: address(4710),
            control: address(4720),
            relay: address(4721),
        }
    }

    /// Sets the addresses of the current daemons in the fabric and in the operators' client.
    pub(crate) async fn update_addresses(&mut self) {
        let callers: Vec<_> = self.daemons.iter().map(|d| d.callers).collect();
        let operators = self.daemons.iter().map(|d| d.operators).collect();
        self.fabric.set_instances(&callers).await.unwrap();
        self.client = Client::new(operators, Settings::default());
    }

    /// Applies changes through any daemon and retries until one accepts them.
    pub(crate) async fn apply(&mut self, changes: Vec<Change>) -> Revision {
        let operation = self.new_operation(changes);
        let deadline = Instant::now() + TIMEOUT;
        loop {
            match self.client.apply(&operation).await {
                Ok(revision) => return revision,
                Err(error) if Instant::now() < deadline => {
                    // The daemons may still be starting.
                    let _ = error;
                    tokio::time::sleep(Duration::from_millis(50)).await;
                }
                Err(error) => panic!("the changes were not applied: {error}"),
            }
        }
    }

    /// Returns the changes as an operation with a new id.
    pub(crate) fn new_operation(&mut self, changes: Vec<Change>) -> ApplyChanges {
        self.operation += 1;
        ApplyChanges {
            operation: OperationId(self.operation),
            expected: None,
            changes,
        }
    }

    /// Starts another backend server and returns the change that adds it to a zone's pool.
    pub(crate) async fn add_server(&mut self, zone: usize) -> Change {
        let n = self.servers.len();
        let server = BackendServer::start(server_settings(n as u32))
            .await
            .unwrap();
        let change = put_server(n, zone, &server);
        self.servers.push(server);
        change
    }

    /// Returns the number of requests that a backend server started more than once.
    pub(crate) async fn count_duplicates(&self) -> usize {
        let mut duplicates = 0;
        for (n, server) in self.servers.iter().enumerate() {
            let report = server.report().await.unwrap();
            for (flow, request) in report.duplicates() {
                let starts = &report.executions[&(flow, request)];
                eprintln!("server-{n} ran request {request} of flow {flow:x?}: {starts:?}");
                duplicates += 1;
            }
        }
        duplicates
    }

    /// Returns how many of the given requests the backend servers started.
    pub(crate) async fn count_started(&self, requests: &[(FlowId, RequestId)]) -> usize {
        let mut started = 0;
        for server in &self.servers {
            let executions = server.report().await.unwrap().executions;
            started += requests
                .iter()
                .filter(|r| executions.contains_key(r))
                .count();
        }
        started
    }

    /// Makes the fabric send packets of callers only to these daemons.
    pub(crate) async fn route_callers_to(&self, daemons: &[usize]) {
        let callers: Vec<_> = daemons.iter().map(|n| self.daemons[*n].callers).collect();
        self.fabric.set_instances(&callers).await.unwrap();
    }

    /// Returns the changes that create the service, its zones and pools, and the backend servers.
    fn initial_changes(&self) -> Vec<Change> {
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
            changes.push(put_server(n, n % 3, server));
        }
        changes
    }

    /// Waits until each daemon has applied `revision` and sees all daemons as live, and until the
    /// daemons own exactly `owned` unfenced backend servers.
    pub(crate) async fn wait_until_settled(&self, revision: Revision, owned: usize) {
        let deadline = Instant::now() + TIMEOUT;
        loop {
            let mut unfenced = 0;
            let mut behind = 0;
            for (_, answer) in self.client.status().await {
                match answer {
                    Ok((status, _))
                        if status.revision >= revision
                            && count_live(&status) == self.daemons.len() =>
                    {
                        unfenced += status.owned.iter().filter(|o| !o.fenced).count();
                    }
                    _ => behind += 1,
                }
            }
            if behind == 0 && unfenced == owned {
                return;
            }
            assert!(
                Instant::now() < deadline,
                "{behind} daemons are behind, {unfenced} of {owned} backend servers are unfenced"
            );
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
    }

    /// Returns whether the warm-up limit of each backend server has reached its slots.
    pub(crate) async fn is_warm(&self) -> bool {
        let answers = self.client.status().await;
        let owned = answers.iter().flat_map(|(_, answer)| match answer {
            Ok((status, _)) => status.owned.as_slice(),
            Err(_) => &[],
        });
        owned.filter(|owned| owned.limit >= SLOTS).count() == self.servers.len()
    }

    /// Starts a caller that sends through the fabric.
    pub(crate) async fn start_caller(&self, seed: u64) -> Caller {
        let settings = CallerSettings {
            fabric: self.fabric.front,
            services: services(),
            seed,
            ..CallerSettings::default()
        };
        Caller::start(settings).await.unwrap()
    }
}

/// Returns the service by its address. Its id is 0, as it is the first object created.
fn services() -> Services {
    [(SocketAddr::from(ADDRESS), ServiceId(0))]
        .into_iter()
        .collect()
}

fn count_live(status: &Status) -> usize {
    let members = status.members.iter();
    members.filter(|m| m.state == MemberState::Live).count()
}

fn put_server(n: usize, zone: usize, server: &BackendServer) -> Change {
    Change::PutServer {
        name: format!("server-{n}"),
        pool: format!("pool-{}", ZONES[zone]),
        address: server.address,
        health: server.health,
        weight: 100,
        slots: SLOTS,
        connections: 2000,
    }
}

fn server_settings(n: u32) -> ServerSettings {
    ServerSettings {
        server: BackendServerId(n),
        service: SERVICE.to_owned(),
        services: services(),
        ..ServerSettings::default()
    }
}

fn temp_directory() -> PathBuf {
    PathBuf::from(env!("CARGO_TARGET_TMPDIR"))
}
