//! Tests of the store client against the stand-in platform.

#![allow(clippy::unwrap_used)] // helpers of tests may panic

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use kameo::actor::{
    Actor,
    ActorRef,
    Spawn, //
};
use kameo::error::{
    Infallible,
    SendError, //
};
use kameo::message::{
    Context,
    Message, //
};
use lovagespindle_decisions::Event;
use lovagespindle_decisions::config::{
    Change,
    Configuration,
    MAX_CHANGES,
    Record, //
};
use lovagespindle_decisions::event::RegistryEntry;
use lovagespindle_decisions::ids::{
    InstanceId,
    OperationId,
    Revision,
    ZoneId, //
};
use lovagespindle_decisions::peer::{
    Member,
    MemberState, //
};
use lovagespindle_stand_ins::platform::Platform;
use lovagespindle_store::codec::{
    Head,
    decode_head,
    encode_record, //
};
use lovagespindle_store::generated::etcdserverpb::watch_client::WatchClient;
use lovagespindle_store::generated::etcdserverpb::watch_request::RequestUnion;
use lovagespindle_store::generated::etcdserverpb::{
    WatchCreateRequest,
    WatchRequest,
    WatchResponse, //
};
use lovagespindle_store::store::{
    Append,
    GetCounts,
    ReadAfter,
    ReadRegistry,
    Watch, //
};
use lovagespindle_store::{
    Settings,
    Store,
    StoreError,
    keys, //
};
use tokio::sync::mpsc;
use tokio::time::timeout;
use tokio_stream::StreamExt;
use tonic::Streaming;

macro_rules! cases {
    ($($(#[$doc:meta])* $name:ident => $body:expr;)*) => {
        $($(#[$doc])* #[tokio::test] async fn $name() {
            let case = async { $body };
            timeout(Duration::from_secs(15), case).await.unwrap();
        })*
    };
}

/// An actor that forwards events to a test.
struct Inbox(mpsc::UnboundedSender<Event>);

impl Actor for Inbox {
    type Args = mpsc::UnboundedSender<Event>;
    type Error = Infallible;

    async fn on_start(events: Self::Args, _: ActorRef<Inbox>) -> Result<Inbox, Infallible> {
        Ok(Inbox(events))
    }
}

impl Message<Event> for Inbox {
    type Reply = ();

    async fn handle(&mut self, event: Event, _: &mut Context<Inbox, ()>) {
        let _ = self.0.send(event);
    }
}

/// A store client, its events and the configuration built from them.
struct Client {
    store: ActorRef<Store>,
    events: mpsc::UnboundedReceiver<Event>,
    configuration: Configuration,
}

fn settings(platform: &Platform) -> Settings {
    Settings {
        endpoint: platform.url(),
        call_timeout: Duration::from_millis(500),
        first_pause: Duration::from_millis(5),
        longest_pause: Duration::from_millis(20),
        list_interval: Duration::from_millis(20),
        snapshot_every: 8,
        kept_changes: 16,
        ..Settings::default()
    }
}

impl Client {
    fn new(platform: &Platform) -> Client {
        Client::with(settings(platform))
    }

    fn with(settings: Settings) -> Client {
        let (sender, events) = mpsc::unbounded_channel();
        let inbox = Inbox::spawn(sender).recipient();
        Client {
            store: Store::start(settings, 1, inbox).unwrap(),
            events,
            configuration: Configuration::default(),
        }
    }

    async fn append(&self, record: Record) -> Result<Revision, StoreError> {
        self.store.ask(Append(record)).await.map_err(handler_error)
    }

    async fn append_all(&self, revisions: std::ops::RangeInclusive<u64>) {
        for revision in revisions {
            let written = self.append(record(revision, 0)).await.unwrap();
            assert_eq!(written, Revision(revision));
        }
    }

    async fn read(&mut self, after: u64) -> Revision {
        let read = self.store.ask(ReadAfter(Revision(after)));
        read.await.map_err(handler_error).unwrap()
    }

    async fn watch(&self, after: u64) {
        let after = Revision(after);
        self.store.tell(Watch::Start { after }).await.unwrap();
    }

    /// Applies events until a revision is reached. Panics unless each record arrives exactly once.
    async fn wait_revision(&mut self, revision: u64) {
        while self.configuration.revision < Revision(revision) {
            match self.events.recv().await.unwrap() {
                Event::Snapshot(snapshot) => self.configuration = (*snapshot).clone(),
                Event::Records(records) => {
                    let apply = |r| self.configuration.apply(r).unwrap();
                    records.iter().for_each(apply);
                }
                _ => (),
            }
        }
        assert_eq!(self.configuration.revision, Revision(revision));
    }

    async fn wait_platform(&mut self, answers: bool) {
        loop {
            if let Event::Platform(now) = self.events.recv().await.unwrap()
                && now == answers
            {
                return;
            }
        }
    }

    async fn wait_registry(&mut self, entries: &[RegistryEntry]) {
        loop {
            if let Event::Registry(list) = self.events.recv().await.unwrap()
                && list == entries
            {
                return;
            }
        }
    }
}

fn handler_error<M: std::fmt::Debug>(error: SendError<M, StoreError>) -> StoreError {
    match error {
        SendError::HandlerError(error) => error,
        other => panic!("the store has stopped: {other:?}"),
    }
}

/// Returns a record that creates a zone named after the revision and an operator.
fn record(revision: u64, operator: u8) -> Record {
    let change = Change::CreateZone {
        name: format!("z{revision}-{operator}"),
        region: "south".to_owned(),
    };
    Record {
        revision: Revision(revision),
        operation: OperationId(u128::from(revision) << 8 | u128::from(operator)),
        changes: vec![change],
    }
}

fn expected(revisions: u64) -> Configuration {
    let mut configuration = Configuration::default();
    (1..=revisions).for_each(|n| configuration.apply(&record(n, 0)).unwrap());
    configuration
}

/// Returns records that each create the maximum number of backend servers, with the longest names.
fn long_records(revisions: u64) -> Vec<Record> {
    let name = |n: u64| format!("{n:063}");
    let base = vec![
        Change::CreateZone {
            name: name(0),
            region: name(0),
        },
        Change::PutService {
            name: name(0),
            address: SocketAddr::from(([10, 0, 0, 1], 53)),
            idle: Duration::from_secs(60),
        },
        Change::CreatePool {
            name: name(0),
            service: name(0),
            zone: name(0),
        },
    ];
    let many = MAX_CHANGES as u64;
    let servers = |r: u64| {
        let server = |n| Change::PutServer {
            name: name(r * many + n),
            pool: name(0),
            address: SocketAddr::from(([10, 0, 0, 2], 7000)),
            health: SocketAddr::from(([10, 0, 0, 2], 7001)),
            weight: 1,
            slots: 4,
            connections: 2000,
        };
        (0..many).map(server).collect()
    };
    let changes = std::iter::once(base).chain((2..=revisions).map(servers));
    let record = |(n, changes)| Record {
        revision: Revision(n),
        operation: OperationId(u128::from(n)),
        changes,
    };
    (1..).zip(changes).map(record).collect()
}

/// A watch of one key from the first revision.
struct KeyWatch {
    responses: Streaming<WatchResponse>,
    _requests: mpsc::Sender<WatchRequest>,
}

impl KeyWatch {
    async fn open(platform: &Platform, key: impl Into<Bytes>) -> KeyWatch {
        let (requests, receiver) = mpsc::channel(1);
        let create = WatchCreateRequest {
            key: key.into(),
            start_revision: 1,
            ..WatchCreateRequest::default()
        };
        let request_union = Some(RequestUnion::CreateRequest(create));
        requests.send(WatchRequest { request_union }).await.unwrap();
        let mut client = WatchClient::connect(platform.url()).await.unwrap();
        let receiver = tokio_stream::wrappers::ReceiverStream::new(receiver);
        KeyWatch {
            responses: client.watch(receiver).await.unwrap().into_inner(),
            _requests: requests,
        }
    }

    /// Waits for the next value of the key.
    async fn next(&mut self) -> Vec<u8> {
        loop {
            let response = self.responses.next().await.unwrap().unwrap();
            if let Some(kv) = response.events.into_iter().find_map(|e| e.kv) {
                return kv.value.to_vec();
            }
        }
    }

    async fn head_from(&mut self, revision: u64) -> Head {
        loop {
            let head = decode_head(&self.next().await).unwrap();
            if head.revision >= Revision(revision) {
                return head;
            }
        }
    }
}

fn entry(id: u64, state: MemberState) -> RegistryEntry {
    let address = SocketAddr::from(([127, 0, 0, 1], 9));
    let member = Member {
        id: InstanceId(id),
        zone: ZoneId(3),
        control: address,
        relay: address,
    };
    RegistryEntry { member, state }
}

cases! {
    /// Guards against a change that is applied twice or reported as failed after a lost reply.
    change_succeeds_after_a_lost_reply => {
        let platform = Platform::start().await.unwrap();
        let client = Client::new(&platform);
        platform.drop_next_reply().await.unwrap();
        client.append_all(1..=1).await;
        client.append_all(1..=1).await;
        assert_eq!(platform.keys("config/change/").await.unwrap().len(), 1);
    };
    /// Guards against an unknown outcome that is reported as a failure.
    unknown_outcome_is_reported_and_can_be_retried => {
        let platform = Platform::start().await.unwrap();
        let client = Client::with(Settings { write_attempts: 1, ..settings(&platform) });
        platform.drop_next_reply().await.unwrap();
        let unknown = client.append(record(1, 0)).await.unwrap_err();
        assert!(matches!(unknown, StoreError::Unknown { revision: Revision(1) }));
        client.append_all(1..=1).await;
    };
    /// Guards against two concurrent changes with the same revision that both succeed.
    one_of_two_concurrent_changes_succeeds => {
        let platform = Platform::start().await.unwrap();
        let (one, two) = (Client::new(&platform), Client::new(&platform));
        let both = tokio::join!(one.append(record(1, 1)), two.append(record(1, 2)));
        let lost = match both {
            (Ok(_), Err(lost)) | (Err(lost), Ok(_)) => lost,
            other => panic!("{other:?}"),
        };
        assert!(matches!(lost, StoreError::Conflict { current: Revision(1) }));
    };
    /// Guards against a gap in the configuration log.
    record_after_a_gap_is_a_conflict => {
        let platform = Platform::start().await.unwrap();
        let client = Client::new(&platform);
        client.append_all(1..=2).await;
        let refused = client.append(record(5, 0)).await.unwrap_err();
        assert!(matches!(refused, StoreError::Conflict { current: Revision(2) }));
    };
    /// Guards against an outage that is not reported or is reported as an unknown outcome, and
    /// against a watch that does not recover.
    outage_is_reported_and_the_watch_resumes => {
        let platform = Platform::start().await.unwrap();
        let (mut watcher, writer) = (Client::new(&platform), Client::new(&platform));
        watcher.watch(0).await;
        writer.append_all(1..=3).await;
        watcher.wait_revision(3).await;
        platform.set_down(true).await.unwrap();
        watcher.wait_platform(false).await;
        let refused = writer.append(record(4, 0)).await.unwrap_err();
        assert!(matches!(refused, StoreError::Unavailable(_)));
        platform.set_down(false).await.unwrap();
        watcher.wait_platform(true).await;
        writer.append_all(4..=6).await;
        watcher.wait_revision(6).await;
    };
    /// Guards against a broken watch that loses or repeats records or reads the log again, and
    /// against an open watch that makes further calls.
    broken_watch_resumes_at_its_revision => {
        let platform = Platform::start().await.unwrap();
        let (mut watcher, writer) = (Client::new(&platform), Client::new(&platform));
        watcher.watch(0).await;
        writer.append_all(1..=2).await;
        watcher.wait_revision(2).await;
        let before = platform.counts().await.unwrap();
        assert_eq!((before.watches, before.waiting), (1, 1));
        platform.break_watches().await.unwrap();
        writer.append_all(3..=4).await;
        watcher.wait_revision(4).await;
        let after = platform.counts().await.unwrap();
        assert_eq!((after.watches, after.ranges), (2, before.ranges));
        assert_eq!(after.events, 4);
    };
    /// Guards against a watch that waits indefinitely on an unresponsive connection.
    unresponsive_connection_is_replaced => {
        let platform = Platform::start().await.unwrap();
        let probe = Duration::from_millis(100);
        let probing = Settings {
            probe_interval: probe,
            probe_timeout: probe,
            ..settings(&platform)
        };
        let mut watcher = Client::with(probing);
        watcher.watch(0).await;
        Client::new(&platform).append_all(1..=2).await;
        watcher.wait_revision(2).await;
        platform.silence_connections();
        Client::new(&platform).append_all(3..=3).await;
        watcher.wait_revision(3).await;
    };
    /// Guards against a repeated watch event that is delivered again or causes the log to be read.
    repeated_watch_event_is_ignored => {
        let platform = Platform::start().await.unwrap();
        let (mut watcher, writer) = (Client::new(&platform), Client::new(&platform));
        watcher.watch(0).await;
        writer.append_all(1..=2).await;
        watcher.wait_revision(2).await;
        let before = platform.counts().await.unwrap();
        let again = encode_record(&record(1, 0));
        platform.put(keys::change(Revision(1)), again).await.unwrap();
        writer.append_all(3..=3).await;
        watcher.wait_revision(3).await;
        let after = platform.counts().await.unwrap();
        assert_eq!((after.watches, after.ranges), (1, before.ranges));
    };
    /// Guards against a delayed write that restores a change that has been deleted since.
    delayed_write_is_a_conflict => {
        let platform = Platform::start().await.unwrap();
        let long_timeout = Duration::from_secs(10);
        let paused = Client::with(Settings { call_timeout: long_timeout, ..settings(&platform) });
        let writer = Client::new(&platform);
        let mut heads = KeyWatch::open(&platform, keys::HEAD).await;
        writer.append_all(1..=1).await;
        let mut held = platform.hold_next_write().await.unwrap();
        let release = async {
            held.reached().await;
            for last in [8, 16, 24, 32, 40] {
                writer.append_all(last.max(9) - 7..=last).await;
                heads.head_from(last).await;
            }
            held.release();
        };
        let (late, ()) = tokio::join!(paused.append(record(2, 9)), release);
        assert!(matches!(late, Err(StoreError::Conflict { current: Revision(40) })), "{late:?}");
        let first = platform.keys("config/change/").await.unwrap().remove(0);
        assert_eq!(first, keys::change(Revision(24)));
    };
    /// Guards against a watch that waits indefinitely after its start revision was compacted.
    compacted_watch_reads_the_log => {
        let platform = Platform::start().await.unwrap();
        let (mut watcher, writer) = (Client::new(&platform), Client::new(&platform));
        watcher.watch(0).await;
        writer.append_all(1..=2).await;
        watcher.wait_revision(2).await;
        platform.set_down(true).await.unwrap();
        watcher.wait_platform(false).await;
        let missed = encode_record(&record(3, 0));
        platform.put(keys::change(Revision(3)), missed).await.unwrap();
        platform.compact().await.unwrap();
        platform.set_down(false).await.unwrap();
        watcher.wait_revision(3).await;
        writer.append_all(4..=4).await;
        watcher.wait_revision(4).await;
    };
    /// Guards against new or outdated instances that cannot catch up from a trimmed log, and
    /// against a delayed write that restores a deleted change.
    new_readers_get_snapshot_and_later_records => {
        let platform = Platform::start().await.unwrap();
        let writer = Client::new(&platform);
        let mut heads = KeyWatch::open(&platform, keys::HEAD).await;
        for last in [8, 16, 24, 32, 40] {
            writer.append_all(last - 7..=last).await;
            heads.head_from(last).await;
        }
        writer.append_all(41..=43).await;
        let changes = platform.keys("config/change/").await.unwrap();
        assert_eq!(changes.first(), Some(&keys::change(Revision(24))));
        let snapshots = platform.keys("config/snapshot/").await.unwrap();
        assert_eq!(snapshots, [keys::part(Revision(32), 0), keys::part(Revision(40), 0)]);
        for after in [0, 5] {
            let mut reader = Client::new(&platform);
            assert_eq!(reader.read(after).await, Revision(43));
            reader.wait_revision(43).await;
            assert_eq!(reader.configuration, expected(43));
        }
        for late in [1, 23] {
            let refused = writer.append(record(late, 9)).await.unwrap_err();
            assert!(matches!(refused, StoreError::Conflict { current: Revision(43) }));
        }
        assert_eq!(platform.keys("config/change/").await.unwrap(), changes);
    };
    /// Guards against values over the size limit of the service.
    values_stay_under_a_megabyte => {
        let platform = Platform::start().await.unwrap();
        let writer = Client::with(Settings { snapshot_every: 64, ..settings(&platform) });
        let mut heads = KeyWatch::open(&platform, keys::HEAD).await;
        let mut expected_configuration = Configuration::default();
        for record in long_records(64) {
            expected_configuration.apply(&record).unwrap();
            writer.append(record).await.unwrap();
        }
        let head = heads.head_from(64).await;
        assert!(head.parts > 1);
        let longest = platform.counts().await.unwrap().longest;
        assert!((800_000..1_000_000).contains(&longest), "{longest}");
        let mut reader = Client::new(&platform);
        reader.read(0).await;
        reader.wait_revision(64).await;
        assert_eq!(reader.configuration, expected_configuration);
    };
    /// Guards against a paused writer that publishes its snapshot after its lease expired.
    snapshot_needs_the_lease_until_published => {
        let platform = Platform::start().await.unwrap();
        let writer = Client::new(&platform);
        let mut heads = KeyWatch::open(&platform, keys::HEAD).await;
        let part = keys::part(Revision(8), 0);
        let mut parts = KeyWatch::open(&platform, part).await;
        platform.expire_leases_after("config/snapshot/").await.unwrap();
        writer.append_all(1..=8).await;
        parts.next().await;
        let mut next = 9;
        let first = loop {
            tokio::select! {
                biased;
                head = heads.next() => break decode_head(&head).unwrap(),
                () = writer.append_all(next..=next) => next += 1,
            }
        };
        assert!(first.revision > Revision(8));
    };
    /// Guards against a slow writer that continues without renewing its lease.
    snapshot_renews_the_lease_between_parts => {
        let platform = Platform::start().await.unwrap();
        // A third of a lease of zero has always passed, so every part requires a renewal.
        let writer_lease = Duration::ZERO;
        let writer = Client::with(Settings { writer_lease, ..settings(&platform) });
        let mut heads = KeyWatch::open(&platform, keys::HEAD).await;
        platform.expire_leases_after(keys::WRITER).await.unwrap();
        let mut next = 1;
        let head = loop {
            tokio::select! {
                biased;
                head = heads.next() => break decode_head(&head).unwrap(),
                () = writer.append_all(next..=next) => next += 1,
            }
        };
        let parts = platform.keys("config/snapshot/").await.unwrap();
        assert_eq!(parts, [keys::part(head.revision, 0)]);
        assert!(head.revision > Revision(8));
        assert!(platform.counts().await.unwrap().leases >= 5);
    };
    /// Guards against two concurrent writers of snapshots.
    snapshot_waits_for_another_writer => {
        let platform = Platform::start().await.unwrap();
        let writer = Client::new(&platform);
        platform.put(keys::WRITER.into(), Bytes::new()).await.unwrap();
        let mut next = 1;
        while writer.store.ask(GetCounts).await.unwrap().snapshots == 0 {
            writer.append_all(next..=next).await;
            next += 1;
        }
        assert!(next > 8);
        assert!(platform.keys("config/snapshot/").await.unwrap().is_empty());
    };
    /// Guards against slow calls that block the store's actor.
    slow_calls_time_out_and_block_no_others => {
        let platform = Platform::start().await.unwrap();
        let client = Client::new(&platform);
        platform.set_delay(Duration::from_secs(60)).await.unwrap();
        let mut slow = Box::pin(client.append(record(1, 0)));
        let counts = tokio::select! {
            biased;
            _ = &mut slow => panic!("the slow call ended first"),
            counts = client.store.ask(GetCounts) => counts.unwrap(),
        };
        assert_eq!(counts.calls, 0);
        assert!(matches!(slow.await.unwrap_err(), StoreError::Timeout));
        let counts = client.store.ask(GetCounts).await.unwrap();
        assert_eq!((counts.calls, counts.failures), (1, 1));
    };
    /// Guards against a registry that is read only once or with one call per zone.
    registry_is_polled_and_may_be_stale => {
        let platform = Platform::start().await.unwrap();
        let mut client = Client::new(&platform);
        let live = [entry(1, MemberState::Live), entry(2, MemberState::Live)];
        let leaving = [entry(1, MemberState::Leaving)];
        platform.set_registry("north", &live).await.unwrap();
        let zones = vec![("north".to_owned(), ZoneId(3)), ("east".to_owned(), ZoneId(4))];
        client.store.tell(ReadRegistry { zones }).await.unwrap();
        client.wait_registry(&live).await;
        platform.set_registry_stale(true).await.unwrap();
        platform.set_registry("north", &leaving).await.unwrap();
        for _ in 0..2 {
            client.wait_registry(&live).await;
        }
        platform.set_registry_stale(false).await.unwrap();
        client.wait_registry(&leaving).await;
        let counts = platform.counts().await.unwrap();
        assert_eq!((counts.ranges, counts.calls()), (0, counts.txns));
    };
}
