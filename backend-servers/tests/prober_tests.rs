//! Polls of health and load.

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

/// Starts a prober with a period that is short for a test and a timeout that is long for one.
fn setup() -> Setup {
    with_settings(ProberSettings {
        period: Duration::from_millis(40),
        jitter: Duration::from_millis(10),
        timeout: Duration::from_millis(300),
    })
}

fn with_settings(settings: ProberSettings) -> Setup {
    let (consumer, batches) = consumer(64);
    let actor = Prober::spawn(ProberArguments {
        settings,
        seed: 3,
        consumer,
    });
    Setup { actor, batches }
}

impl Setup {
    async fn poll(&self, backend_server: BackendServerId, health: SocketAddr) {
        let start = StartPolling {
            backend_server,
            health,
        };
        self.actor.ask(start).await.unwrap();
    }

    /// Waits for the next poll and returns what it found.
    async fn next(&mut self) -> (BackendServerId, Health, Option<LoadReport>) {
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

    /// Polls until the health is as expected.
    async fn until(&mut self, expected: Health) -> Option<LoadReport> {
        for _ in 0..100 {
            let (_, health, load) = self.next().await;
            if health == expected {
                return load;
            }
        }
        panic!("100 polls did not find {expected}");
    }

    async fn outcome(&self, outcome: Outcome) -> u64 {
        self.actor
            .ask(GetPollCounts)
            .await
            .unwrap()
            .outcome(outcome)
    }
}

async fn server() -> BackendServer {
    BackendServer::start(ServerSettings::default())
        .await
        .unwrap()
}

/// Guards against reports that are lost, mixed up or given to another backend server.
async fn reports() {
    let mut setup = setup();
    let server = server().await;
    let load = LoadReport {
        requests: 3,
        flows: 17,
        boot: 99,
    };
    server.set_load(ReportMode::Fixed(load)).await.unwrap();
    setup.poll(FIRST, server.health).await;
    for _ in 0..3 {
        assert_eq!(setup.next().await, (FIRST, Health::Serving, Some(load)));
    }
    assert!(setup.outcome(Outcome::Serving).await >= 3);
}

/// Guards against a drain or a restart that the polls do not show.
async fn follows() {
    let mut setup = setup();
    let server = server().await;
    setup.poll(FIRST, server.health).await;
    setup.until(Health::Serving).await;
    server.drain(true).await.unwrap();
    let load = setup.until(Health::NotServing).await.unwrap();
    server.restart(false).await.unwrap();
    server.drain(false).await.unwrap();
    let later = setup.until(Health::Serving).await.unwrap();
    assert_eq!((load.boot, later.boot), (1, 2));
}

/// Guards against polls that wait forever for a paused server, or give up on it.
async fn survives_silence() {
    let mut setup = setup();
    let server = server().await;
    setup.poll(FIRST, server.health).await;
    setup.until(Health::Serving).await;
    server.silence(true).await.unwrap();
    assert_eq!(setup.until(Health::Unreachable).await, None);
    assert!(setup.outcome(Outcome::Timeout).await >= 1);
    server.silence(false).await.unwrap();
    setup.until(Health::Serving).await;
}

/// Guards against polls that stay on a connection that went silent although new ones work.
async fn opens_new_connection() {
    let mut setup = setup();
    // Takes connections and never answers.
    let listener = TcpListener::bind(localhost()).await.unwrap();
    setup.poll(FIRST, listener.local_addr().unwrap()).await;
    let _first = listener.accept().await.unwrap();
    setup.until(Health::Unreachable).await;
    let _second = listener.accept().await.unwrap();
}

/// Guards against a refused connection that ends the polls or counts as a timeout.
async fn unreachable() {
    let mut setup = setup();
    let listener = TcpListener::bind(localhost()).await.unwrap();
    let closed = listener.local_addr().unwrap();
    drop(listener);
    setup.poll(FIRST, closed).await;
    assert_eq!(setup.next().await, (FIRST, Health::Unreachable, None));
    assert_eq!(setup.next().await, (FIRST, Health::Unreachable, None));
    assert!(setup.outcome(Outcome::Unreachable).await >= 2);
}

/// Guards against a slow load call that hides the health.
async fn health_without_load() {
    let mut setup = setup();
    let server = server().await;
    server.set_load(ReportMode::Hang).await.unwrap();
    setup.poll(FIRST, server.health).await;
    assert_eq!(setup.next().await, (FIRST, Health::Serving, None));
}

/// Guards against polls of a backend server that the instance no longer owns.
async fn stops() {
    let mut setup = setup();
    let server = server().await;
    setup.poll(FIRST, server.health).await;
    setup.poll(SECOND, server.health).await;
    setup.until(Health::Serving).await;
    let stop = StopPolling {
        backend_server: FIRST,
    };
    setup.actor.ask(stop).await.unwrap();
    assert_eq!(setup.actor.ask(GetPollCounts).await.unwrap().polled, 1);
    // What was sent before the stop is in front of the mark.
    let mark = setup.outcome(Outcome::Serving).await;
    let mut seen = 1;
    while seen < mark + 10 {
        let (backend_server, _, _) = setup.next().await;
        seen += 1;
        assert!(seen <= mark || backend_server == SECOND);
    }
}

/// Guards against polls that all start at the same moment.
async fn spreads() {
    let period = Duration::from_millis(400);
    let mut setup = with_settings(ProberSettings {
        period,
        ..ProberSettings::default()
    });
    let server = server().await;
    for id in 0..16 {
        setup.poll(BackendServerId(id), server.health).await;
    }
    let mut first = HashMap::new();
    while first.len() < 16 {
        let (backend_server, _, _) = setup.next().await;
        first.entry(backend_server).or_insert_with(Instant::now);
    }
    let times = first.values();
    let (earliest, latest) = (times.clone().min().unwrap(), times.max().unwrap());
    assert!(*latest - *earliest > period / 2);
}

cases! {
    async
    health_and_load_are_reported => reports();
    drain_and_restart_are_seen => follows();
    silent_server_is_unreachable_for_a_while => survives_silence();
    silent_connection_is_replaced => opens_new_connection();
    closed_port_is_unreachable => unreachable();
    health_does_not_wait_for_load => health_without_load();
    stopped_polls_report_nothing => stops();
    polls_are_spread => spreads();
}
