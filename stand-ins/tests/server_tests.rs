//! What tests rely on when they use the stand-in backend server and caller together.

#![allow(clippy::unwrap_used)] // clippy.toml covers only functions marked as tests.

mod common;

use std::time::Duration;

use common::{
    Setup,
    again,
    once,
    settings,
    until, //
};
use lovagespindle_decisions::ids::BackendServerId;
use lovagespindle_decisions::packet::Reason;
use lovagespindle_stand_ins::backend_server::{
    ServerReport,
    ServerSettings, //
};
use lovagespindle_stand_ins::caller::RequestOptions;
use lovagespindle_stand_ins::{
    RequestOutcome,
    Work,
    cases, //
};

impl Setup {
    async fn report(&self) -> ServerReport {
        self.server.report().await.unwrap()
    }

    /// Waits until the server's report has a property.
    async fn until(&self, holds: impl Fn(&ServerReport) -> bool) -> ServerReport {
        until(|| self.report(), holds).await
    }
}

fn answered(parts: u32) -> RequestOutcome {
    let server = BackendServerId(1);
    RequestOutcome::Answered { server, parts }
}

/// Guards against a caller that misses parts of long answers.
async fn answers_whole(options: RequestOptions, parts: u32) {
    let mut setup = Setup::start(settings()).await;
    let mut flow = setup.flow();
    assert_eq!(flow.request(options).await.unwrap(), answered(parts));
    assert_eq!(flow.request(options).await.unwrap(), answered(parts));
    flow.close().await.unwrap();
    let report = setup.until(|report| report.flows == 0).await;
    assert_eq!((report.finished, report.running), (2, 0));
    assert_eq!(report.duplicates().count(), 0);
    let report = setup.caller.report().await.unwrap();
    assert_eq!((report.answered, report.latency.len()), (2, 2));
    assert_eq!(
        (report.mismatched, report.malformed, report.late),
        (0, 0, 0)
    );
    assert_eq!(setup.fabric.report().await.unwrap().dropped, 0);
}

/// Guards against a request that is sent twice although it must not, or once although it may be
/// repeated.
async fn sends_again(options: RequestOptions, expected: u64) {
    let mut setup = Setup::start(settings()).await;
    setup.server.silence(true).await.unwrap();
    let outcome = setup.flow().request(options).await.unwrap();
    assert_eq!(outcome, RequestOutcome::Timeout { parts: 0 });
    let report = setup.caller.report().await.unwrap();
    assert_eq!((report.retries, report.timeouts), (expected, 1));
    assert!(setup.report().await.executions.is_empty());
}

/// Guards against a second execution that goes unseen.
async fn sees_doubles() {
    let mut setup = Setup::start(settings()).await;
    let mut flow = setup.flow();
    assert_eq!(flow.request(again(450)).await.unwrap(), answered(1));
    let report = setup.until(|report| report.running == 0).await;
    assert_eq!(report.duplicates().count(), 1);
}

/// Guards against a server that runs more than it has slots for, or loses the request.
async fn sheds() {
    let mut setup = Setup::start(ServerSettings {
        slots: 1,
        ..settings()
    })
    .await;
    let (mut first, mut second) = (setup.flow(), setup.flow());
    let running = tokio::spawn(async move { first.request(once(150)).await });
    setup.until(|report| report.running == 1).await;
    let outcome = second.request(once(0)).await.unwrap();
    assert_eq!(outcome, RequestOutcome::Refused(Some(Reason::Shed)));
    assert_eq!(running.await.unwrap().unwrap(), answered(1));
    assert_eq!(
        (setup.report().await.shed, setup.report().await.peak),
        (1, 1)
    );
}

/// Guards against a server that holds more flows than it has connections for.
async fn limits_connections() {
    let limited = ServerSettings {
        connections: 1,
        ..settings()
    };
    let mut setup = Setup::start(limited).await;
    let (mut first, mut second) = (setup.flow(), setup.flow());
    assert_eq!(first.request(once(0)).await.unwrap(), answered(1));
    let outcome = second.request(once(0)).await.unwrap();
    assert_eq!(outcome, RequestOutcome::Refused(Some(Reason::Overload)));
    first.close().await.unwrap();
    setup.until(|report| report.flows == 0).await;
    assert_eq!(second.request(once(0)).await.unwrap(), answered(1));
}

/// Guards against a server that works on after the deadline.
async fn expires() {
    let mut setup = Setup::start(settings()).await;
    let options = RequestOptions {
        deadline: Some(Duration::from_millis(30)),
        ..once(5_000)
    };
    let outcome = setup.flow().request(options).await.unwrap();
    assert_eq!(outcome, RequestOutcome::Unknown(Some(Reason::Deadline)));
    let report = setup.report().await;
    assert_eq!((report.expired, report.running), (1, 0));
}

/// Guards against a server that runs a request whose deadline has passed.
async fn refuses_expired() {
    let mut setup = Setup::start(settings()).await;
    let options = RequestOptions {
        deadline: Some(Duration::ZERO),
        ..once(0)
    };
    let outcome = setup.flow().request(options).await.unwrap();
    assert_eq!(outcome, RequestOutcome::Refused(Some(Reason::Deadline)));
    assert!(setup.report().await.executions.is_empty());
}

/// Guards against a slot that stays in use after a cancel.
async fn cancels() {
    let mut setup = Setup::start(settings()).await;
    let options = RequestOptions {
        give_up: Some(Duration::from_millis(30)),
        ..once(5_000)
    };
    let outcome = setup.flow().request(options).await.unwrap();
    assert_eq!(outcome, RequestOutcome::GivenUp);
    let report = setup.until(|report| report.cancelled == 1).await;
    assert_eq!((report.running, report.finished), (0, 0));
}

/// Guards against a drain that breaks flows or lets new ones in.
async fn drains() {
    let mut setup = Setup::start(settings()).await;
    let mut old = setup.flow();
    assert_eq!(old.request(once(0)).await.unwrap(), answered(1));
    setup.server.drain(true).await.unwrap();
    assert_eq!(old.request(once(0)).await.unwrap(), answered(1));
    let outcome = setup.flow().request(once(0)).await.unwrap();
    assert_eq!(outcome, RequestOutcome::Refused(Some(Reason::Shutdown)));
    setup.server.drain(false).await.unwrap();
    let outcome = setup.flow().request(once(0)).await.unwrap();
    assert_eq!(outcome, answered(1));
}

/// Guards against a restart that keeps flows or the boot id.
async fn restarts() {
    let mut setup = Setup::start(settings()).await;
    let mut flow = setup.flow();
    assert_eq!(flow.request(once(0)).await.unwrap(), answered(1));
    setup.server.restart(false).await.unwrap();
    let outcome = flow.request(once(0)).await.unwrap();
    assert_eq!(outcome, RequestOutcome::Reset(Some(Reason::UnknownFlow)));
    let report = setup.report().await;
    assert_eq!((report.boot, report.flows), (2, 0));
}

/// Guards against flows that recover after they went silent, or new ones that do not work.
async fn silences_flows() {
    let mut setup = Setup::start(settings()).await;
    let (mut old, mut new) = (setup.flow(), setup.flow());
    assert_eq!(old.request(once(0)).await.unwrap(), answered(1));
    setup.server.silence_flows().await.unwrap();
    assert_eq!(new.request(once(0)).await.unwrap(), answered(1));
    let outcome = old.request(once(0)).await.unwrap();
    assert_eq!(outcome, RequestOutcome::Timeout { parts: 0 });
}

fn cold() -> ServerSettings {
    ServerSettings {
        cold: true,
        crash_time: Duration::from_millis(50),
        ..settings()
    }
}

/// Runs requests on flows of their own at once and returns how many were answered.
async fn at_once(setup: &mut Setup, count: usize) -> usize {
    let mut requests = tokio::task::JoinSet::new();
    for _ in 0..count {
        let mut flow = setup.flow();
        requests.spawn(async move { flow.request(once(100)).await.unwrap() });
    }
    let endings = requests.join_all().await;
    endings.into_iter().filter(|e| *e == answered(1)).count()
}

/// Guards against a cold server that bears full load, or never comes back after it fell over.
async fn falls_over() {
    let mut setup = Setup::start(cold()).await;
    assert_eq!(at_once(&mut setup, 4).await, 0);
    let report = setup.until(|report| report.boot == 2).await;
    assert_eq!((report.crashes, report.lost, report.flows), (1, 3, 0));
    assert_eq!(at_once(&mut setup, 1).await, 1);
}

/// Guards against a server that stays cold although it was loaded with care.
async fn warms_up() {
    let mut setup = Setup::start(cold()).await;
    for count in [1, 2, 4] {
        assert_eq!(at_once(&mut setup, count).await, count);
    }
    let report = setup.report().await;
    assert_eq!((report.crashes, report.peak), (0, 4));
}

fn download() -> RequestOptions {
    RequestOptions {
        work: Work::download(40, 2),
        ..RequestOptions::default()
    }
}

fn burst() -> RequestOptions {
    RequestOptions {
        work: Work::download(40, 0),
        ..RequestOptions::default()
    }
}

cases! {
    async
    short_answer_is_whole => answers_whole(once(5), 1);
    paced_download_is_whole => answers_whole(download(), 40);
    burst_download_is_whole => answers_whole(burst(), 40);
    idempotent_request_is_repeated => sends_again(again(0), 2);
    other_request_is_sent_once => sends_again(once(0), 0);
    doubles_are_seen => sees_doubles();
    full_slots_shed => sheds();
    full_connections_refuse => limits_connections();
    deadline_ends_the_run => expires();
    passed_deadline_is_refused => refuses_expired();
    cancel_frees_the_slot => cancels();
    drain_keeps_flows_and_takes_none => drains();
    restart_forgets_flows => restarts();
    silent_flows_stay_silent => silences_flows();
    cold_server_falls_over_under_full_load => falls_over();
    cold_server_warms_up => warms_up();
}
