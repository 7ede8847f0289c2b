//! Server and client over loopback.

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

/// A client for instances that never answer. The timeout leaves a busy machine time to connect.
fn impatient(instances: &[SocketAddr], rounds: u32) -> Client {
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

async fn refusal(mode: Mode, expected: Option<u64>, changes: Vec<Change>) -> ApplyFailure {
    let instance = serve(&store().await, 1, mode).await;
    let client = client(&[instance.address]);
    client.apply(&call(1, expected, changes)).await.unwrap_err()
}

cases! {
    /// Guards against changes and reads that differ from what was sent.
    applied_changes_are_read_back => {
        let instance = serve(&store().await, 1, Mode::Works).await;
        let client = client(&[instance.address]);
        let revision = client.apply(&call(1, Some(1), drain("b"))).await.unwrap();
        assert_eq!(revision, Revision(2));
        let configuration = client.configuration().await.unwrap();
        assert_eq!(configuration.revision, Revision(2));
        assert_eq!(configuration.server_named("b").unwrap().state, ServerState::Draining);
    };
    /// Guards against a conflict without the present revision.
    conflict_carries_the_present_revision => {
        let failure = refusal(Mode::Works, Some(7), drain("b")).await;
        assert!(matches!(failure, ApplyFailure::Conflict { present: Revision(1) }));
    };
    /// Guards against a refusal that does not say which change is wrong.
    invalid_change_carries_index_and_reason => {
        let changes = [drain("b"), drain("missing"), drain("b")].concat();
        let failure = refusal(Mode::Works, None, changes).await;
        let wanted = ConfigError::Missing { kind: Kind::Server, name: "missing".to_owned() };
        assert!(matches!(
            failure,
            ApplyFailure::Invalid { index: 1, reason } if reason == wanted.to_string()
        ));
    };
    /// Guards against a store outage that looks like another failure.
    unavailable_store_is_typed => {
        let failure = refusal(Mode::Says(ApplyError::Unavailable), None, drain("b")).await;
        assert!(matches!(failure, ApplyFailure::Unavailable));
    };
    /// Guards against an unknown outcome that looks like a refusal.
    unknown_outcome_is_typed => {
        let failure = refusal(Mode::Says(ApplyError::OutcomeUnknown), None, drain("b")).await;
        assert!(matches!(failure, ApplyFailure::Unknown));
    };
    /// Guards against an empty call that reaches the store.
    empty_call_is_refused => {
        let failure = refusal(Mode::Works, None, Vec::new()).await;
        assert!(matches!(failure, ApplyFailure::Refused(CallError::Refused { .. })));
    };
    /// Guards against a change that is made twice after its answer was lost.
    lost_answer_is_repeated_and_applied_once => {
        let instance = serve(&store().await, 1, Mode::LosesOne).await;
        let client = client(&[instance.address]);
        let revision = client.apply(&call(1, Some(1), drain("b"))).await.unwrap();
        assert_eq!(revision, Revision(2));
        assert_eq!(client.configuration().await.unwrap().revision, Revision(2));
    };
    /// Guards against giving up when the first instances are down, or cut the connection.
    next_instance_is_tried => {
        let instance = serve(&store().await, 1, Mode::Works).await;
        let client = client(&[nothing().await, closing().await, instance.address]);
        assert_eq!(client.apply(&call(1, None, drain("b"))).await.unwrap(), Revision(2));
        assert_eq!(client.configuration().await.unwrap().revision, Revision(2));
    };
    /// Guards against a silent instance whose change is then made a second time elsewhere.
    silent_instance_is_followed_by_the_next => {
        let store = store().await;
        let silent = serve(&store, 1, Mode::Silent).await;
        let works = serve(&store, 2, Mode::Works).await;
        let client = impatient(&[silent.address, works.address], 5);
        assert_eq!(client.apply(&call(1, Some(1), drain("b"))).await.unwrap(), Revision(2));
    };
    /// Guards against a timeout that is reported as if nothing had been changed.
    silence_everywhere_is_an_unknown_outcome => {
        let silent = serve(&store().await, 1, Mode::Silent).await;
        let failure = impatient(&[silent.address], 1).apply(&call(1, None, drain("b"))).await;
        assert!(matches!(failure, Err(ApplyFailure::Unknown)));
    };
    /// Guards against a refusal reported as final while a lost attempt may still take effect.
    refusal_after_a_lost_attempt_is_unknown => {
        let closing = closing().await;
        let says = Mode::Says(ApplyError::Conflict { present: Revision(9) });
        let refuses = serve(&store().await, 1, says).await;
        let client = client(&[closing, refuses.address]);
        let open = client.apply(&call(1, None, drain("b"))).await;
        assert!(matches!(open, Err(ApplyFailure::Unknown)));
        let definite = client.apply(&call(1, Some(1), drain("b"))).await;
        assert!(matches!(definite, Err(ApplyFailure::Conflict { present: Revision(9) })));
    };
    /// Guards against unreachable instances reported as an unknown outcome.
    nothing_reachable_is_typed => {
        let client = client(&[nothing().await]);
        let failure = client.apply(&call(1, None, drain("b"))).await;
        assert!(matches!(failure, Err(ApplyFailure::Unreachable(CallError::Unreachable { .. }))));
        let failure = client.configuration().await;
        assert!(matches!(failure, Err(ReadFailure::Unreachable(_))));
    };
    /// Guards against a status that loses fields or names on the way.
    status_arrives_with_names => {
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
    /// Guards against a caller, unique id or service that is lost on the way to the router.
    explanation_is_of_the_flow_asked_for => {
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
    /// Guards against a misspelled service that looks like an unreachable system.
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
    /// Guards against a filter that is not passed on, and against entries without names.
    time_line_is_filtered_by_name => {
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
    /// Guards against entries missed between the past and the present, and against a follower
    /// that keeps the server from stopping.
    followed_time_line_has_past_and_present => {
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
    /// Guards against a followed time line that waits for ever on a connection that went silent.
    silent_connection_ends_a_followed_time_line => {
        let instance = serve(&store().await, 1, Mode::Works).await;
        let (address, silence) = proxy(instance.address).await;
        let query = TimelineQuery::default();
        let mut follow = impatient(&[address], 1).follow(address, &query).await.unwrap();
        assert_eq!(follow.next().await.unwrap(), Some(FollowItem::CaughtUp));
        silence.send(()).unwrap();
        assert!(matches!(follow.next().await, Err(CallError::Lost { .. })));
    };
    /// Guards against a reader that is cut off without a word after missing entries.
    slow_reader_is_told_that_it_missed_entries => {
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
