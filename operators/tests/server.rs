//! Tests server and client over loopback.

#![allow(clippy::unwrap_used)] // helpers of tests may panic

mod fakes;

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use fakes::{
    FakeStore,
    Mode,
    closing,
    nothing,
    proxy,
    serve,
    small, //
};
use kameo::actor::{
    ActorRef,
    Spawn, //
};
use lovagespindle_decisions::config::{
    Change,
    ServerState, //
};
use lovagespindle_decisions::config_error::{
    ConfigError,
    Kind, //
};
use lovagespindle_decisions::ids::{
    BackendServerId,
    InstanceId,
    OperationId,
    Revision,
    ZoneId, //
};
use lovagespindle_decisions::state_change::StateChange;
use lovagespindle_operators::client::{
    ApplyFailure,
    Client,
    ReadFailure,
    Settings, //
};
use lovagespindle_operators::connection::{
    CallError,
    FlowQuery,
    FollowItem,
    TimelineQuery, //
};
use lovagespindle_operators::filter::{
    Filter,
    Selection, //
};
use lovagespindle_operators::follow::Follower;
use lovagespindle_operators::messages::{
    ApplyChanges,
    ApplyError,
    TimelineStream, //
};
use lovagespindle_operators::timeline::{
    AppendTimeline,
    Entry,
    timestamp, //
};
use tokio::sync::{
    broadcast,
    mpsc,
    watch, //
};

macro_rules! cases {
    ($($(#[$doc:meta])* $name:ident => $body:expr;)*) => {
        $($(#[$doc])* #[tokio::test] async fn $name() { $body })*
    };
}

fn client(instances: &[SocketAddr]) -> Client {
    let settings = Settings {
        timeout: Duration::from_secs(10),
        rounds: 2,
        retry_delay: Duration::ZERO,
    };
    Client::new(instances.to_vec(), settings)
}

/// Returns a client for instances that never reply. The timeout leaves a busy machine time to
/// connect.
fn client_with_short_timeout(instances: &[SocketAddr], rounds: u32) -> Client {
    let settings = Settings {
        timeout: Duration::from_secs(1),
        rounds,
        retry_delay: Duration::ZERO,
    };
    Client::new(instances.to_vec(), settings)
}

fn call(operation: u128, expected: Option<u64>, changes: Vec<Change>) -> ApplyChanges {
    ApplyChanges {
        operation: OperationId(operation),
        expected: expected.map(Revision),
        changes,
    }
}

fn drain(name: &str) -> Vec<Change> {
    vec![Change::SetServer {
        name: name.to_owned(),
        state: ServerState::Draining,
    }]
}

async fn store() -> ActorRef<FakeStore> {
    let store = FakeStore::spawn(FakeStore::default());
    store.ask(call(u128::MAX, None, small())).await.unwrap();
    store
}

async fn apply_failure(mode: Mode, expected: Option<u64>, changes: Vec<Change>) -> ApplyFailure {
    let instance = serve(&store().await, 1, mode).await;
    let client = client(&[instance.address]);
    client.apply(&call(1, expected, changes)).await.unwrap_err()
}

cases! {
    /// Guards against changes that reach the store altered, and reads that differ from the store.
    applied_changes_are_read_back => {
        let instance = serve(&store().await, 1, Mode::Works).await;
        let client = client(&[instance.address]);
        let revision = client.apply(&call(1, Some(1), drain("b"))).await.unwrap();
        assert_eq!(revision, Revision(2));
        let configuration = client.configuration().await.unwrap();
        assert_eq!(configuration.revision, Revision(2));
        assert_eq!(configuration.server_named("b").unwrap().state, ServerState::Draining);
    };
    /// Guards against a conflict that does not report the current revision.
    conflict_reports_the_current_revision => {
        let failure = apply_failure(Mode::Works, Some(7), drain("b")).await;
        assert!(matches!(failure, ApplyFailure::Conflict { present: Revision(1) }));
    };
    /// Guards against a rejection that does not report which change is invalid.
    invalid_change_reports_index_and_reason => {
        let changes = [drain("b"), drain("missing"), drain("b")].concat();
        let failure = apply_failure(Mode::Works, None, changes).await;
        let expected = ConfigError::Missing { kind: Kind::Server, name: "missing".to_owned() };
        assert!(matches!(
            failure,
            ApplyFailure::Invalid { index: 1, reason } if reason == expected.to_string()
        ));
    };
    /// Guards against reporting a store outage as another failure.
    store_outage_is_reported_as_unavailable => {
        let failure = apply_failure(Mode::Says(ApplyError::Unavailable), None, drain("b")).await;
        assert!(matches!(failure, ApplyFailure::Unavailable));
    };
    /// Guards against reporting an unknown outcome as a rejection.
    unknown_outcome_is_reported_as_unknown => {
        let failure = apply_failure(Mode::Says(ApplyError::OutcomeUnknown), None, drain("b")).await;
        assert!(matches!(failure, ApplyFailure::Unknown));
    };
    /// Guards against an empty call that reaches the store.
    empty_call_is_refused => {
        let failure = apply_failure(Mode::Works, None, Vec::new()).await;
        assert!(matches!(failure, ApplyFailure::Refused(CallError::Refused { .. })));
    };
    /// Guards against applying a change twice after its reply was lost.
    change_is_retried_after_lost_reply_and_applied_once => {
        let instance = serve(&store().await, 1, Mode::LosesOne).await;
        let client = client(&[instance.address]);
        let revision = client.apply(&call(1, Some(1), drain("b"))).await.unwrap();
        assert_eq!(revision, Revision(2));
        assert_eq!(client.configuration().await.unwrap().revision, Revision(2));
    };
    /// Guards against giving up when the first instances are down or close the connection.
    next_instance_is_called_after_failure => {
        let instance = serve(&store().await, 1, Mode::Works).await;
        let client = client(&[nothing().await, closing().await, instance.address]);
        assert_eq!(client.apply(&call(1, None, drain("b"))).await.unwrap(), Revision(2));
        assert_eq!(client.configuration().await.unwrap().revision, Revision(2));
    };
    /// Guards against applying a change a second time at another instance after a timeout.
    next_instance_is_called_after_timeout => {
        let store = store().await;
        let silent = serve(&store, 1, Mode::Silent).await;
        let works = serve(&store, 2, Mode::Works).await;
        let client = client_with_short_timeout(&[silent.address, works.address], 5);
        assert_eq!(client.apply(&call(1, Some(1), drain("b"))).await.unwrap(), Revision(2));
    };
    /// Guards against reporting a timeout as if nothing had been changed.
    timeout_of_all_instances_is_an_unknown_outcome => {
        let silent = serve(&store().await, 1, Mode::Silent).await;
        let failure = client_with_short_timeout(&[silent.address], 1).apply(&call(1, None, drain("b"))).await;
        assert!(matches!(failure, Err(ApplyFailure::Unknown)));
    };
    /// Guards against reporting a rejection as final while a lost attempt may still take effect.
    rejection_after_a_lost_attempt_is_unknown => {
        let closing = closing().await;
        let says = Mode::Says(ApplyError::Conflict { present: Revision(9) });
        let refuses = serve(&store().await, 1, says).await;
        let client = client(&[closing, refuses.address]);
        let open = client.apply(&call(1, None, drain("b"))).await;
        assert!(matches!(open, Err(ApplyFailure::Unknown)));
        let definite = client.apply(&call(1, Some(1), drain("b"))).await;
        assert!(matches!(definite, Err(ApplyFailure::Conflict { present: Revision(9) })));
    };
    /// Guards against reporting unreachable instances as an unknown outcome.
    unreachable_instances_are_reported_as_unreachable => {
        let client = client(&[nothing().await]);
        let failure = client.apply(&call(1, None, drain("b"))).await;
        assert!(matches!(failure, Err(ApplyFailure::Unreachable(CallError::Unreachable { .. }))));
        let failure = client.configuration().await;
        assert!(matches!(failure, Err(ReadFailure::Unreachable(_))));
    };
    /// Guards against losing fields or names of a status in transit.
    status_includes_names => {
        let store = store().await;
        let instance = serve(&store, 1, Mode::Works).await;
        let dead = nothing().await;
        let answers = client(&[dead, instance.address]).status().await;
        assert!(matches!(&answers[0], (a, Err(_)) if *a == dead));
        let (status, names) = answers[1].1.as_ref().unwrap();
        let configuration = store.ask(lovagespindle_operators::messages::ReadConfiguration);
        assert_eq!(*status, fakes::status(1, &configuration.await.unwrap()));
        assert_eq!(names.get(ZoneId::of("z").0), "z");
        assert_eq!(names.get(2), "b");
    };
    /// Guards against losing the caller, unique id or service of a request to the router.
    explanation_is_of_the_requested_flow => {
        let instance = serve(&store().await, 1, Mode::Works).await;
        let query = FlowQuery {
            service: "s".to_owned(),
            caller: SocketAddr::from(([10, 0, 0, 1], 5)),
            unique_id: u128::MAX - 5,
        };
        let (answer, names) = client(&[instance.address]).explain(&query).await.unwrap();
        assert_eq!(answer.flow.0, u128::MAX);
        assert_eq!(names.get(answer.explanation.candidates[0].backend_server.0), "b");
        assert_eq!(names.get(answer.explanation.service.0), "s");
    };
    /// Guards against reporting a misspelled service as unreachable instances.
    unknown_service_is_refused => {
        let instance = serve(&store().await, 1, Mode::Works).await;
        let query = FlowQuery {
            service: "t".to_owned(),
            caller: SocketAddr::from(([10, 0, 0, 1], 5)),
            unique_id: 1,
        };
        let failure = client(&[instance.address]).explain(&query).await.unwrap_err();
        assert!(matches!(failure, ReadFailure::Refused(CallError::Refused { .. })));
    };
    /// Guards against a filter that is not applied, and against entries without names.
    timeline_is_filtered_by_name => {
        let instance = serve(&store().await, 1, Mode::Works).await;
        let down = StateChange::ServerDown { backend_server: BackendServerId(2) };
        for change in [StateChange::Started, down, StateChange::PlatformLost] {
            instance.timeline.ask(AppendTimeline(change)).await.unwrap();
        }
        let by_service = TimelineQuery { service: Some("s".to_owned()), ..Default::default() };
        let by_id = TimelineQuery { server: Some("#2".to_owned()), ..Default::default() };
        for query in [by_service, by_id] {
            let answers = client(&[instance.address]).timeline(&query).await;
            let (entries, names) = answers[0].1.as_ref().unwrap();
            assert_eq!(entries.iter().map(|e| e.change).collect::<Vec<_>>(), [down]);
            assert_eq!(names.get(2), "b");
        }
    };
    /// Guards against losing entries between the history and the live stream, and against a
    /// follower that prevents the server from stopping.
    timeline_stream_has_history_and_live_entries => {
        let instance = serve(&store().await, 1, Mode::Works).await;
        instance.timeline.ask(AppendTimeline(StateChange::Started)).await.unwrap();
        let client = client(&[instance.address]);
        let query = TimelineQuery::default();
        let mut follow = client.follow(instance.address, &query).await.unwrap();
        let started = follow.next().await.unwrap();
        assert!(matches!(started, Some(FollowItem::Entry(e, _)) if e.change == StateChange::Started));
        assert_eq!(follow.next().await.unwrap(), Some(FollowItem::CaughtUp));
        instance.timeline.ask(AppendTimeline(StateChange::Leaving)).await.unwrap();
        let leaving = follow.next().await.unwrap();
        assert!(matches!(leaving, Some(FollowItem::Entry(e, _)) if e.change == StateChange::Leaving));
        instance.server.stop_gracefully().await.unwrap();
        assert!(matches!(follow.next().await, Ok(None) | Err(CallError::Lost { .. })));
    };
    /// Guards against a timeline stream that waits forever on an unresponsive connection.
    unresponsive_connection_ends_a_timeline_stream => {
        let instance = serve(&store().await, 1, Mode::Works).await;
        let (address, silence) = proxy(instance.address).await;
        let query = TimelineQuery::default();
        let mut follow = client_with_short_timeout(&[address], 1).follow(address, &query).await.unwrap();
        assert_eq!(follow.next().await.unwrap(), Some(FollowItem::CaughtUp));
        silence.send(()).unwrap();
        assert!(matches!(follow.next().await, Err(CallError::Lost { .. })));
    };
    /// Guards against closing the stream of a lagging reader without an error.
    lagging_reader_gets_an_error => {
        let (live, receiver) = broadcast::channel(1);
        let entry = Entry { timestamp: timestamp(1, InstanceId(1)), change: StateChange::Started };
        for _ in 0..3 {
            live.send(entry).unwrap();
        }
        let (sender, mut reader) = mpsc::channel(4);
        let (_stop, stopped) = watch::channel(());
        let follower = Follower {
            selection: Selection { filter: Filter::default(), configuration: Arc::default() },
            configuration: store().await.reply_recipient(),
            sender,
            stopped,
        };
        follower.run(TimelineStream { history: vec![entry], live: receiver }).await;
        assert!(reader.recv().await.unwrap().unwrap().item.is_some());
        assert!(reader.recv().await.unwrap().is_ok());
        let status = reader.recv().await.unwrap().unwrap_err();
        assert_eq!(status.code(), tonic::Code::DataLoss);
        assert!(reader.recv().await.is_none());
    };
}
