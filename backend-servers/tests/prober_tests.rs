//! Tests of health and load polling.

#![allow(clippy::unwrap_used)] // clippy.toml covers only functions marked as tests.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use kameo::actor::{
    ActorRef,
    Spawn, //
};
use lovagespindle_backend_servers::{
    GetPollCounts,
    Outcome,
    Prober,
    ProberArguments,
    ProberSettings,
    StartPolling,
    StopPolling, //
};
use lovagespindle_decisions::Event;
use lovagespindle_decisions::event::{
    Health,
    LoadReport, //
};
use lovagespindle_decisions::ids::BackendServerId;
use lovagespindle_stand_ins::backend_server::{
    ReportMode,
    ServerSettings, //
};
use lovagespindle_stand_ins::consumer::{
    Batches,
    consumer, //
};
use lovagespindle_stand_ins::peer::localhost;
use lovagespindle_stand_ins::{
    BackendServer,
    cases, //
};
use tokio::net::TcpListener;
use tokio::time::Instant;

const FIRST: BackendServerId = BackendServerId(1);
const SECOND: BackendServerId = BackendServerId(2);

struct Setup {
    actor: ActorRef<Prober>,
    batches: Batches,
}

/// Starts a prober with a short period, which keeps the tests fast, and a timeout that is long
/// enough for local calls.
fn setup() -> Setup {
    setup_with(ProberSettings {
        period: Duration::from_millis(40),
        jitter: Duration::from_millis(10),
        timeout: Duration::from_millis(300),
    })
}

fn setup_with(settings: ProberSettings) -> Setup {
    let (consumer, batches) = consumer(64);
    let actor = Prober::spawn(ProberArguments {
        settings,
        seed: 3,
        consumer,
    });
    Setup { actor, batches }
}

impl Setup {
    async fn start_polling(&self, backend_server: BackendServerId, health: SocketAddr) {
        let start = StartPolling {
            backend_server,
            health,
        };
        self.actor.ask(start).await.unwrap();
    }

    /// Waits for the next poll and returns its result.
    async fn next_result(&mut self) -> (BackendServerId, Health, Option<LoadReport>) {
        let batch = self.batches.next().await.unwrap();
        match batch[..] {
            [
                Event::Health {
                    backend_server,
                    health,
                },
            ] => (backend_server, health, None),
            [
                Event::Health {
                    backend_server,
                    health,
                },
                Event::Load {
                    backend_server: same,
                    report,
                },
            ] if same == backend_server => (backend_server, health, Some(report)),
            ref other => panic!("unexpected events {other:?}"),
        }
    }

    /// Waits for a poll with the expected health and returns its load.
    async fn wait_for_health(&mut self, expected: Health) -> Option<LoadReport> {
        for _ in 0..100 {
            let (_, health, load) = self.next_result().await;
            if health == expected {
                return load;
            }
        }
        panic!("no {expected} health in 100 polls");
    }

    async fn outcome(&self, outcome: Outcome) -> u64 {
        self.actor
            .ask(GetPollCounts)
            .await
            .unwrap()
            .outcome(outcome)
    }
}

async fn start_server() -> BackendServer {
    BackendServer::start(ServerSettings::default())
        .await
        .unwrap()
}

/// Guards against reports that are lost, altered or assigned to another backend server.
async fn reports_health_and_load() {
    let mut setup = setup();
    let server = start_server().await;
    let load = LoadReport {
        requests: 3,
        flows: 17,
        boot: 99,
    };
    server.set_load(ReportMode::Fixed(load)).await.unwrap();
    setup.start_polling(FIRST, server.health).await;
    for _ in 0..3 {
        assert_eq!(
            setup.next_result().await,
            (FIRST, Health::Serving, Some(load))
        );
    }
    assert!(setup.outcome(Outcome::Serving).await >= 3);
}

/// Guards against a drain or restart that the polls do not detect.
async fn reports_drain_and_restart() {
    let mut setup = setup();
    let server = start_server().await;
    setup.start_polling(FIRST, server.health).await;
    setup.wait_for_health(Health::Serving).await;
    server.drain(true).await.unwrap();
    let load = setup.wait_for_health(Health::NotServing).await.unwrap();
    server.restart(false).await.unwrap();
    server.drain(false).await.unwrap();
    let later = setup.wait_for_health(Health::Serving).await.unwrap();
    assert_eq!((load.boot, later.boot), (1, 2));
}

/// Guards against polls that wait forever for a paused server or stop permanently.
async fn recovers_from_timeouts() {
    let mut setup = setup();
    let server = start_server().await;
    setup.start_polling(FIRST, server.health).await;
    setup.wait_for_health(Health::Serving).await;
    server.silence(true).await.unwrap();
    assert_eq!(setup.wait_for_health(Health::Unreachable).await, None);
    assert!(setup.outcome(Outcome::Timeout).await >= 1);
    server.silence(false).await.unwrap();
    setup.wait_for_health(Health::Serving).await;
}

/// Guards against polls that keep using an unresponsive connection.
async fn replaces_connection() {
    let mut setup = setup();
    // Accepts connections but never responds.
    let listener = TcpListener::bind(localhost()).await.unwrap();
    setup
        .start_polling(FIRST, listener.local_addr().unwrap())
        .await;
    let _first = listener.accept().await.unwrap();
    setup.wait_for_health(Health::Unreachable).await;
    let _second = listener.accept().await.unwrap();
}

/// Guards against a refused connection that ends polling or is counted as a timeout.
async fn reports_refused_connections() {
    let mut setup = setup();
    let listener = TcpListener::bind(localhost()).await.unwrap();
    let closed = listener.local_addr().unwrap();
    drop(listener);
    setup.start_polling(FIRST, closed).await;
    assert_eq!(
        setup.next_result().await,
        (FIRST, Health::Unreachable, None)
    );
    assert_eq!(
        setup.next_result().await,
        (FIRST, Health::Unreachable, None)
    );
    assert!(setup.outcome(Outcome::Unreachable).await >= 2);
}

/// Guards against a slow load call that delays or suppresses the health report.
async fn reports_health_without_load() {
    let mut setup = setup();
    let server = start_server().await;
    server.set_load(ReportMode::Hang).await.unwrap();
    setup.start_polling(FIRST, server.health).await;
    assert_eq!(setup.next_result().await, (FIRST, Health::Serving, None));
}

/// Guards against polls that continue after the instance loses ownership of the backend server.
async fn stops_polling() {
    let mut setup = setup();
    let server = start_server().await;
    setup.start_polling(FIRST, server.health).await;
    setup.start_polling(SECOND, server.health).await;
    setup.wait_for_health(Health::Serving).await;
    let stop = StopPolling {
        backend_server: FIRST,
    };
    setup.actor.ask(stop).await.unwrap();
    assert_eq!(setup.actor.ask(GetPollCounts).await.unwrap().polled, 1);
    // At most this many results were sent before the stop.
    let before_stop = setup.outcome(Outcome::Serving).await;
    let mut seen = 1;
    while seen < before_stop + 10 {
        let (backend_server, _, _) = setup.next_result().await;
        seen += 1;
        assert!(seen <= before_stop || backend_server == SECOND);
    }
}

/// Guards against polls of all backend servers that start at the same time.
async fn distributes_polls() {
    let period = Duration::from_millis(400);
    let mut setup = setup_with(ProberSettings {
        period,
        ..ProberSettings::default()
    });
    let server = start_server().await;
    for id in 0..16 {
        setup
            .start_polling(BackendServerId(id), server.health)
            .await;
    }
    let mut first = HashMap::new();
    while first.len() < 16 {
        let (backend_server, _, _) = setup.next_result().await;
        first.entry(backend_server).or_insert_with(Instant::now);
    }
    let times = first.values();
    let (earliest, latest) = (times.clone().min().unwrap(), times.max().unwrap());
    assert!(*latest - *earliest > period / 2);
}

cases! {
    async
    health_and_load_are_reported => reports_health_and_load();
    drain_and_restart_are_reported => reports_drain_and_restart();
    unresponsive_server_is_unreachable_until_it_recovers => recovers_from_timeouts();
    unresponsive_connection_is_replaced => replaces_connection();
    closed_port_is_unreachable => reports_refused_connections();
    health_does_not_wait_for_load => reports_health_without_load();
    stopped_polls_report_nothing => stops_polling();
    polls_are_distributed_over_the_period => distributes_polls();
}
