//! Links over loopback.

#![allow(clippy::unwrap_used, reason = "helpers outside test functions")]

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use futures::{
    SinkExt,
    StreamExt, //
};
use kameo::actor::{
    ActorRef,
    Spawn, //
};
use lovagespindle_decisions::event::Event;
use lovagespindle_decisions::ids::{
    InstanceId,
    ZoneId, //
};
use lovagespindle_decisions::peer::{
    Member,
    MemberState,
    MemberUpdate,
    PeerMessage, //
};
use lovagespindle_instances::counter::LinkCounter;
use lovagespindle_instances::frame::{
    Content,
    MAX_FRAME,
    decode,
    encode,
    encode_hello, //
};
use lovagespindle_instances::links::{
    GetLinkCounts,
    LinkArgs,
    LinkCommand,
    LinkSettings,
    PeerLinks,
    bind, //
};
use lovagespindle_stand_ins::cases;
use lovagespindle_stand_ins::consumer::{
    Batches,
    consumer, //
};
use lovagespindle_stand_ins::peer::{
    PATIENCE,
    localhost, //
};
use tokio::net::{
    TcpListener,
    TcpStream, //
};
use tokio::time::timeout;
use tokio_util::codec::{
    Framed,
    LengthDelimitedCodec, //
};

const A: InstanceId = InstanceId(1);
const B: InstanceId = InstanceId(2);
const C: InstanceId = InstanceId(3);

struct End {
    links: ActorRef<PeerLinks>,
    address: SocketAddr,
    batches: Batches,
}

impl End {
    async fn start(me: InstanceId, address: SocketAddr, settings: LinkSettings) -> End {
        let listener = bind(address).await.unwrap();
        let address = listener.local_addr().unwrap();
        let (events, batches) = consumer(64);
        let args = LinkArgs {
            me,
            listener,
            settings,
            events,
        };
        let links = PeerLinks::spawn(args);
        End {
            links,
            address,
            batches,
        }
    }

    async fn new(me: InstanceId) -> End {
        End::start(me, localhost(), LinkSettings::default()).await
    }

    async fn send(&self, to: InstanceId, address: SocketAddr, messages: Vec<PeerMessage>) {
        let command = |message| LinkCommand::Send {
            to,
            address,
            message: Box::new(message),
        };
        let commands: Vec<_> = messages.into_iter().map(command).collect();
        self.links.tell(commands).await.unwrap();
    }

    async fn reconnect(&self, to: InstanceId, address: SocketAddr) {
        let commands = vec![LinkCommand::Reconnect { to, address }];
        self.links.tell(commands).await.unwrap();
    }

    /// Receives `n` messages and returns their senders and zones.
    async fn zones(&mut self, n: usize) -> Vec<(InstanceId, u32)> {
        let events = self.batches.events(n).await.unwrap();
        let zone = |event| match event {
            Event::PeerMessage { from, message } => match *message {
                PeerMessage::PullMembers { zone } => (from, zone.0),
                other => panic!("unexpected message {other:?}"),
            },
            other => panic!("unexpected event {other:?}"),
        };
        events.into_iter().map(zone).collect()
    }

    /// Stops the actor and waits until its listener is closed and its links are written.
    async fn stop(&self) {
        self.links.stop_gracefully().await.unwrap();
        // The plain wait returns before the stop hook has run.
        self.links.wait_for_shutdown_result().await.unwrap();
    }

    async fn count(&self, counter: LinkCounter) -> u64 {
        self.links.ask(GetLinkCounts).await.unwrap().get(counter)
    }

    /// Waits until a counter has reached `n`.
    async fn reach(&self, counter: LinkCounter, n: u64) {
        let reached = async {
            while self.count(counter).await < n {
                tokio::time::sleep(Duration::from_millis(2)).await;
            }
        };
        let reached = timeout(PATIENCE, reached).await;
        assert!(reached.is_ok(), "{counter} stayed under {n}");
    }
}

fn pull(zone: u32) -> PeerMessage {
    PeerMessage::PullMembers { zone: ZoneId(zone) }
}

/// Returns message `n` of about 9 KB.
fn large(n: u32) -> PeerMessage {
    let member = Member {
        id: A,
        zone: ZoneId(1),
        control: localhost(),
        relay: localhost(),
    };
    let update = MemberUpdate {
        member,
        state: MemberState::Live,
        incarnation: n,
    };
    PeerMessage::Members {
        updates: vec![update; 256],
    }
}

/// The other end of a link, without any of the code under test but the codec.
struct Raw(Framed<TcpStream, LengthDelimitedCodec>);

impl Raw {
    fn new(stream: TcpStream) -> Raw {
        // Larger than allowed, to be able to break the limit.
        let codec = LengthDelimitedCodec::builder()
            .max_frame_length(2 * MAX_FRAME)
            .new_codec();
        Raw(Framed::new(stream, codec))
    }

    async fn connect(address: SocketAddr) -> Raw {
        Raw::new(TcpStream::connect(address).await.unwrap())
    }

    async fn accept(listener: &TcpListener) -> Raw {
        let accepted = timeout(PATIENCE, listener.accept()).await;
        Raw::new(accepted.unwrap().unwrap().0)
    }

    async fn send(&mut self, frame: Bytes) {
        self.0.send(frame).await.unwrap();
    }

    async fn next(&mut self) -> Option<Content> {
        let next = timeout(PATIENCE, self.0.next()).await.unwrap();
        let bytes = next?.ok()?;
        Some(decode(bytes.freeze()).unwrap().content)
    }
}

async fn in_order() {
    let (a, mut b) = (End::new(A).await, End::new(B).await);
    for start in [0, 200, 400] {
        a.send(B, b.address, (start..start + 200).map(pull).collect())
            .await;
        let expected: Vec<_> = (start..start + 200).map(|n| (A, n)).collect();
        assert_eq!(b.zones(200).await, expected);
    }
    a.reach(LinkCounter::MessagesOut, 600).await;
    b.reach(LinkCounter::MessagesIn, 600).await;
    assert_eq!(a.count(LinkCounter::Opened).await, 1);
    assert_eq!(a.count(LinkCounter::DroppedOut).await, 0);
}

async fn both_ways() {
    let (mut a, mut b) = (End::new(A).await, End::new(B).await);
    a.send(B, b.address, vec![pull(1)]).await;
    b.send(A, a.address, vec![pull(2)]).await;
    assert_eq!(b.zones(1).await, [(A, 1)]);
    assert_eq!(a.zones(1).await, [(B, 2)]);
}

/// Returns the number of a message of [`large`].
fn number(content: Content) -> u32 {
    match content {
        Content::Message(message) => match *message {
            PeerMessage::Members { updates } => updates[0].incarnation,
            other => panic!("unexpected message {other:?}"),
        },
        other => panic!("unexpected content {other:?}"),
    }
}

/// A peer that does not read costs it the oldest messages and others nothing.
async fn silent() {
    // More than the operating system buffers on loopback, about 10 MB.
    const SENT: u32 = 2000;
    let settings = LinkSettings {
        queue: 8,
        write_timeout: PATIENCE,
        ..LinkSettings::default()
    };
    let a = End::start(A, localhost(), settings).await;
    let mut c = End::new(C).await;
    let listener = TcpListener::bind(localhost()).await.unwrap();
    let address = listener.local_addr().unwrap();
    a.send(B, address, vec![large(0)]).await;
    let mut raw = Raw::accept(&listener).await;
    for n in 1..=SENT {
        a.send(B, address, vec![large(n)]).await;
    }
    a.send(C, c.address, vec![pull(1)]).await;
    assert_eq!(
        c.zones(1).await,
        [(A, 1)],
        "one silent peer held up another"
    );
    assert!(matches!(raw.next().await, Some(Content::Hello { .. })));
    let (mut received, mut last) = (0, None);
    while last < Some(SENT) {
        let next = Some(number(raw.next().await.unwrap()));
        assert!(next > last, "{next:?} came after {last:?}");
        (received, last) = (received + 1, next);
    }
    let dropped = u64::from(SENT + 1 - received);
    assert!(dropped > 0);
    a.reach(LinkCounter::DroppedOut, dropped).await;
    assert_eq!(a.count(LinkCounter::DroppedOut).await, dropped);
}

async fn reopened() {
    let a = End::new(A).await;
    let listener = TcpListener::bind(localhost()).await.unwrap();
    let address = listener.local_addr().unwrap();
    a.send(B, address, vec![pull(1)]).await;
    let mut first = Raw::accept(&listener).await;
    assert!(matches!(
        first.next().await,
        Some(Content::Hello { target: B, .. })
    ));
    assert_eq!(
        first.next().await,
        Some(Content::Message(Box::new(pull(1))))
    );
    a.reconnect(B, address).await;
    let mut second = Raw::accept(&listener).await;
    assert_eq!(first.next().await, None, "the silent link stays open");
    a.send(B, address, vec![pull(2)]).await;
    assert!(matches!(
        second.next().await,
        Some(Content::Hello { target: B, .. })
    ));
    assert_eq!(
        second.next().await,
        Some(Content::Message(Box::new(pull(2))))
    );
    assert_eq!(a.count(LinkCounter::Reopened).await, 1);
}

async fn closed_by_peer() {
    let a = End::new(A).await;
    let listener = TcpListener::bind(localhost()).await.unwrap();
    let address = listener.local_addr().unwrap();
    a.send(B, address, vec![pull(1)]).await;
    drop(Raw::accept(&listener).await);
    // The link that ended is replaced as soon as there is something to send.
    let again = async {
        loop {
            a.send(B, address, vec![pull(2)]).await;
            if let Ok(raw) = timeout(Duration::from_millis(20), Raw::accept(&listener)).await {
                return raw;
            }
        }
    };
    let mut raw = timeout(PATIENCE, again).await.unwrap();
    assert!(matches!(raw.next().await, Some(Content::Hello { .. })));
    assert_eq!(raw.next().await, Some(Content::Message(Box::new(pull(2)))));
}

/// Sends frames and expects that the last one closes the link and is counted.
async fn refused(frames: Vec<Bytes>, accepted: usize) {
    let mut b = End::new(B).await;
    let mut raw = Raw::connect(b.address).await;
    for frame in frames {
        raw.send(frame).await;
    }
    assert_eq!(raw.next().await, None, "the link stays open");
    b.reach(LinkCounter::MalformedIn, 1).await;
    assert_eq!(b.zones(accepted).await.len(), accepted);
    // Other links are not affected.
    let a = End::new(A).await;
    a.send(B, b.address, vec![pull(9)]).await;
    assert_eq!(b.zones(1).await, [(A, 9)]);
}

fn frame(sender: InstanceId) -> Bytes {
    encode(sender, &pull(1)).unwrap()
}

async fn restarted() {
    let a = End::new(A).await;
    // No other test connects from this address, so that its port stays free for the restart.
    let own = SocketAddr::from(([127, 0, 0, 77], 0));
    let mut b = End::start(B, own, LinkSettings::default()).await;
    a.send(B, b.address, vec![pull(1)]).await;
    assert_eq!(b.zones(1).await, [(A, 1)]);
    let address = b.address;
    b.stop().await;
    let mut c = End::start(C, address, LinkSettings::default()).await;
    // What is meant for the old process must not reach the new one.
    a.send(B, address, vec![pull(2)]).await;
    a.reconnect(B, address).await;
    a.send(B, address, vec![pull(2)]).await;
    c.reach(LinkCounter::MalformedIn, 1).await;
    a.send(C, address, vec![pull(3)]).await;
    assert_eq!(c.zones(1).await, [(A, 3)]);
}

async fn idle() {
    let settings = LinkSettings {
        idle: Duration::from_millis(50),
        ..LinkSettings::default()
    };
    let a = End::start(A, localhost(), settings).await;
    let listener = TcpListener::bind(localhost()).await.unwrap();
    let address = listener.local_addr().unwrap();
    a.send(B, address, vec![pull(1)]).await;
    let mut raw = Raw::accept(&listener).await;
    assert!(raw.next().await.is_some());
    assert!(raw.next().await.is_some());
    assert_eq!(raw.next().await, None, "the idle link stays open");
    a.send(B, address, vec![pull(2)]).await;
    assert!(Raw::accept(&listener).await.next().await.is_some());
}

async fn unreachable() {
    let a = End::new(A).await;
    let listener = TcpListener::bind(localhost()).await.unwrap();
    let address = listener.local_addr().unwrap();
    drop(listener);
    a.send(B, address, vec![pull(1), pull(2)]).await;
    a.reach(LinkCounter::OpenFailures, 1).await;
    a.reach(LinkCounter::DroppedOut, 2).await;
}

async fn crowded() {
    let settings = LinkSettings {
        accepted: 1,
        ..LinkSettings::default()
    };
    let b = End::start(B, localhost(), settings).await;
    let mut first = Raw::connect(b.address).await;
    first.send(encode_hello(A, B)).await;
    first.send(frame(A)).await;
    b.reach(LinkCounter::MessagesIn, 1).await;
    let mut second = Raw::connect(b.address).await;
    assert_eq!(second.next().await, None);
    b.reach(LinkCounter::Refused, 1).await;
}

async fn last_words() {
    let (a, mut b) = (End::new(A).await, End::new(B).await);
    a.send(B, b.address, (0..100).map(pull).collect()).await;
    a.stop().await;
    assert_eq!(b.zones(100).await.len(), 100);
}

cases! { async
    messages_arrive_in_order => in_order();
    both_ends_may_send => both_ways();
    silent_peer_holds_up_nobody => silent();
    reconnect_opens_a_new_link => reopened();
    link_closed_by_peer_is_replaced => closed_by_peer();
    oversized_frame_closes_the_link => {
        refused(vec![encode_hello(A, B), vec![0; MAX_FRAME + 1].into()], 0)
    };
    frames_before_a_bad_one_arrive => {
        refused(vec![encode_hello(A, B), frame(A), frame(A), Bytes::from_static(b"x")], 2)
    };
    link_must_begin_with_hello => refused(vec![frame(A)], 0);
    second_hello_is_refused => refused(vec![encode_hello(A, B), encode_hello(A, B)], 0);
    sender_may_not_change => refused(vec![encode_hello(A, B), frame(C)], 0);
    hello_for_another_instance_is_refused => refused(vec![encode_hello(A, C)], 0);
    restarted_peer_gets_no_old_messages => restarted();
    idle_link_is_closed => idle();
    unreachable_peer_is_counted => unreachable();
    too_many_links_are_refused => crowded();
    messages_before_a_stop_are_written => last_words();
}

#[test]
fn defaults_are_valid_settings() {
    let settings = LinkSettings::default();
    assert!(settings.queue.is_power_of_two());
}
