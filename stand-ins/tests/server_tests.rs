//! Tests of the stand-in backend server together with the stand-in caller.

#![allow(clippy::unwrap_used)] // clippy.toml covers only functions marked as tests.

mod common;

use std::time::Duration;

use common::{
    Setup,
    idempotent_request,
    settings,
    single_request,
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

    /// Polls the server's report until it satisfies a condition.
    async fn until(&self, condition: impl Fn(&ServerReport) -> bool) -> ServerReport {
        until(|| self.report(), condition).await
    }
}

fn answered(parts: u32) -> RequestOutcome {
    let server = BackendServerId(1);
    RequestOutcome::Answered { server, parts }
}

/// Guards against a caller that misses parts of long answers.
async fn answers_in_full(options: RequestOptions, parts: u32) {
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

/// Guards against retries of non-idempotent requests, and against idempotent ones that are not
/// retried.
async fn retries_as_allowed(options: RequestOptions, expected: u64) {
    let mut setup = Setup::start(settings()).await;
    setup.server.silence(true).await.unwrap();
    let outcome = setup.flow().request(options).await.unwrap();
    assert_eq!(outcome, RequestOutcome::Timeout { parts: 0 });
    let report = setup.caller.report().await.unwrap();
    assert_eq!((report.retries, report.timeouts), (expected, 1));
    assert!(setup.report().await.executions.is_empty());
}

/// Guards against a second execution that is missing from the report.
async fn reports_duplicates() {
    let mut setup = Setup::start(settings()).await;
    let mut flow = setup.flow();
    assert_eq!(
        flow.request(idempotent_request(450)).await.unwrap(),
        answered(1)
    );
    let report = setup.until(|report| report.running == 0).await;
    assert_eq!(report.duplicates().count(), 1);
}

/// Guards against a server that exceeds its slots or drops the running request.
async fn sheds_excess_requests() {
    let mut setup = Setup::start(ServerSettings {
        slots: 1,
        ..settings()
    })
    .await;
    let (mut first, mut second) = (setup.flow(), setup.flow());
    let running = tokio::spawn(async move { first.request(single_request(150)).await });
    setup.until(|report| report.running == 1).await;
    let outcome = second.request(single_request(0)).await.unwrap();
    assert_eq!(outcome, RequestOutcome::Refused(Some(Reason::Shed)));
    assert_eq!(running.await.unwrap().unwrap(), answered(1));
    assert_eq!(
        (setup.report().await.shed, setup.report().await.peak),
        (1, 1)
    );
}

/// Guards against a server that holds more flows than its connection limit.
async fn limits_connections() {
    let limited = ServerSettings {
        connections: 1,
        ..settings()
    };
    let mut setup = Setup::start(limited).await;
    let (mut first, mut second) = (setup.flow(), setup.flow());
    assert_eq!(first.request(single_request(0)).await.unwrap(), answered(1));
    let outcome = second.request(single_request(0)).await.unwrap();
    assert_eq!(outcome, RequestOutcome::Refused(Some(Reason::Overload)));
    first.close().await.unwrap();
    setup.until(|report| report.flows == 0).await;
    assert_eq!(
        second.request(single_request(0)).await.unwrap(),
        answered(1)
    );
}

/// Guards against a server that keeps running a request after its deadline.
async fn stops_at_deadline() {
    let mut setup = Setup::start(settings()).await;
    let options = RequestOptions {
        deadline: Some(Duration::from_millis(30)),
        ..single_request(5_000)
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
        ..single_request(0)
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
        ..single_request(5_000)
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
    assert_eq!(old.request(single_request(0)).await.unwrap(), answered(1));
    setup.server.drain(true).await.unwrap();
    assert_eq!(old.request(single_request(0)).await.unwrap(), answered(1));
    let outcome = setup.flow().request(single_request(0)).await.unwrap();
    assert_eq!(outcome, RequestOutcome::Refused(Some(Reason::Shutdown)));
    setup.server.drain(false).await.unwrap();
    let outcome = setup.flow().request(single_request(0)).await.unwrap();
    assert_eq!(outcome, answered(1));
}

/// Guards against a restart that keeps flows or the boot id.
async fn restarts() {
    let mut setup = Setup::start(settings()).await;
    let mut flow = setup.flow();
    assert_eq!(flow.request(single_request(0)).await.unwrap(), answered(1));
    setup.server.restart(false).await.unwrap();
    let outcome = flow.request(single_request(0)).await.unwrap();
    assert_eq!(outcome, RequestOutcome::Reset(Some(Reason::UnknownFlow)));
    let report = setup.report().await;
    assert_eq!((report.boot, report.flows), (2, 0));
}

/// Guards against unresponsive flows that recover, and against new flows that fail.
async fn silences_flows() {
    let mut setup = Setup::start(settings()).await;
    let (mut old, mut new) = (setup.flow(), setup.flow());
    assert_eq!(old.request(single_request(0)).await.unwrap(), answered(1));
    setup.server.silence_flows().await.unwrap();
    assert_eq!(new.request(single_request(0)).await.unwrap(), answered(1));
    let outcome = old.request(single_request(0)).await.unwrap();
    assert_eq!(outcome, RequestOutcome::Timeout { parts: 0 });
}

fn cold() -> ServerSettings {
    ServerSettings {
        cold: true,
        crash_time: Duration::from_millis(50),
        ..settings()
    }
}

/// Runs concurrent requests, each on its own flow, and returns how many were answered.
async fn run_concurrently(setup: &mut Setup, count: usize) -> usize {
    let mut requests = tokio::task::JoinSet::new();
    for _ in 0..count {
        let mut flow = setup.flow();
        requests.spawn(async move { flow.request(single_request(100)).await.unwrap() });
    }
    let outcomes = requests.join_all().await;
    outcomes.into_iter().filter(|e| *e == answered(1)).count()
}

/// Guards against a cold server that handles full load, or does not restart after a crash.
async fn crashes_when_cold() {
    let mut setup = Setup::start(cold()).await;
    assert_eq!(run_concurrently(&mut setup, 4).await, 0);
    let report = setup.until(|report| report.boot == 2).await;
    assert_eq!((report.crashes, report.lost, report.flows), (1, 3, 0));
    assert_eq!(run_concurrently(&mut setup, 1).await, 1);
}

/// Guards against a server that stays cold although its load rises no faster than its capacity.
async fn warms_up() {
    let mut setup = Setup::start(cold()).await;
    for count in [1, 2, 4] {
        assert_eq!(run_concurrently(&mut setup, count).await, count);
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
    short_answer_arrives_in_full => answers_in_full(single_request(5), 1);
    paced_download_arrives_in_full => answers_in_full(download(), 40);
    burst_download_arrives_in_full => answers_in_full(burst(), 40);
    idempotent_request_is_retried => retries_as_allowed(idempotent_request(0), 2);
    other_request_is_sent_once => retries_as_allowed(single_request(0), 0);
    duplicates_are_reported => reports_duplicates();
    requests_beyond_the_slots_are_shed => sheds_excess_requests();
    flows_beyond_the_connections_are_refused => limits_connections();
    deadline_stops_the_request => stops_at_deadline();
    passed_deadline_is_refused => refuses_expired();
    cancel_frees_the_slot => cancels();
    drain_keeps_flows_and_refuses_new_ones => drains();
    restart_closes_flows => restarts();
    silenced_flows_stay_unresponsive => silences_flows();
    cold_server_crashes_under_full_load => crashes_when_cold();
    cold_server_warms_up => warms_up();
}
