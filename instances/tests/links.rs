//! Tests the links for control messages over loopback.

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
    TIMEOUT,
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

/// An instance's links, with the messages that they received.
struct Endpoint {
    links: ActorRef<PeerLinks>,
    address: SocketAddr,
    batches: Batches,
}

impl Endpoint {
    async fn start(me: InstanceId, address: SocketAddr, settings: LinkSettings) -> Endpoint {
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
        Endpoint {
            links,
            address,
            batches,
        }
    }

    async fn new(me: InstanceId) -> Endpoint {
        Endpoint::start(me, localhost(), LinkSettings::default()).await
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
    async fn receive_zones(&mut self, n: usize) -> Vec<(InstanceId, u32)> {
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
        // `wait_for_shutdown` would return before the stop hook has run.
        self.links.wait_for_shutdown_result().await.unwrap();
    }

    async fn count(&self, counter: LinkCounter) -> u64 {
        self.links.ask(GetLinkCounts).await.unwrap().get(counter)
    }

    /// Waits until a counter has reached `n`.
    async fn wait_for_count(&self, counter: LinkCounter, n: u64) {
        let polling = async {
            while self.count(counter).await < n {
                tokio::time::sleep(Duration::from_millis(2)).await;
            }
        };
        let reached = timeout(TIMEOUT, polling).await;
        assert!(reached.is_ok(), "{counter} did not reach {n}");
    }
}

fn pull(zone: u32) -> PeerMessage {
    PeerMessage::PullMembers { zone: ZoneId(zone) }
}

/// Returns a message of about 9 KB that carries the number `n`.
fn large_message(n: u32) -> PeerMessage {
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

/// The other side of a link. Of the code under test, it uses only the codec of the frames.
struct RawLink(Framed<TcpStream, LengthDelimitedCodec>);

impl RawLink {
    fn new(stream: TcpStream) -> RawLink {
        // Allows frames that exceed the limit of the code under test.
        let codec = LengthDelimitedCodec::builder()
            .max_frame_length(2 * MAX_FRAME)
            .new_codec();
        RawLink(Framed::new(stream, codec))
    }

    async fn connect(address: SocketAddr) -> RawLink {
        RawLink::new(TcpStream::connect(address).await.unwrap())
    }

    async fn accept(listener: &TcpListener) -> RawLink {
        let accepted = timeout(TIMEOUT, listener.accept()).await;
        RawLink::new(accepted.unwrap().unwrap().0)
    }

    async fn send(&mut self, frame: Bytes) {
        self.0.send(frame).await.unwrap();
    }

    async fn next(&mut self) -> Option<Content> {
        let next = timeout(TIMEOUT, self.0.next()).await.unwrap();
        let bytes = next?.ok()?;
        Some(decode(bytes.freeze()).unwrap().content)
    }
}

async fn send_in_order() {
    let (a, mut b) = (Endpoint::new(A).await, Endpoint::new(B).await);
    for start in [0, 200, 400] {
        a.send(B, b.address, (start..start + 200).map(pull).collect())
            .await;
        let expected: Vec<_> = (start..start + 200).map(|n| (A, n)).collect();
        assert_eq!(b.receive_zones(200).await, expected);
    }
    a.wait_for_count(LinkCounter::MessagesOut, 600).await;
    b.wait_for_count(LinkCounter::MessagesIn, 600).await;
    assert_eq!(a.count(LinkCounter::Opened).await, 1);
    assert_eq!(a.count(LinkCounter::DroppedOut).await, 0);
}

async fn send_both_ways() {
    let (mut a, mut b) = (Endpoint::new(A).await, Endpoint::new(B).await);
    a.send(B, b.address, vec![pull(1)]).await;
    b.send(A, a.address, vec![pull(2)]).await;
    assert_eq!(b.receive_zones(1).await, [(A, 1)]);
    assert_eq!(a.receive_zones(1).await, [(B, 2)]);
}

/// Returns the number of a message of [`large_message`].
fn message_number(content: Content) -> u32 {
    match content {
        Content::Message(message) => match *message {
            PeerMessage::Members { updates } => updates[0].incarnation,
            other => panic!("unexpected message {other:?}"),
        },
        other => panic!("unexpected content {other:?}"),
    }
}

/// Checks that a peer that does not read loses only its own oldest messages.
async fn overflow_unread_link() {
    // About 18 MB. The operating system buffers about 10 MB on loopback.
    const SENT: u32 = 2000;
    let settings = LinkSettings {
        queue: 8,
        write_timeout: TIMEOUT,
        ..LinkSettings::default()
    };
    let a = Endpoint::start(A, localhost(), settings).await;
    let mut c = Endpoint::new(C).await;
    let listener = TcpListener::bind(localhost()).await.unwrap();
    let address = listener.local_addr().unwrap();
    a.send(B, address, vec![large_message(0)]).await;
    let mut raw = RawLink::accept(&listener).await;
    for n in 1..=SENT {
        a.send(B, address, vec![large_message(n)]).await;
    }
    a.send(C, c.address, vec![pull(1)]).await;
    assert_eq!(
        c.receive_zones(1).await,
        [(A, 1)],
        "a peer that does not read delayed another one"
    );
    assert!(matches!(raw.next().await, Some(Content::Hello { .. })));
    let (mut received, mut last) = (0, None);
    while last < Some(SENT) {
        let next = Some(message_number(raw.next().await.unwrap()));
        assert!(next > last, "message {next:?} arrived after {last:?}");
        (received, last) = (received + 1, next);
    }
    let dropped = u64::from(SENT + 1 - received);
    assert!(dropped > 0);
    a.wait_for_count(LinkCounter::DroppedOut, dropped).await;
    assert_eq!(a.count(LinkCounter::DroppedOut).await, dropped);
}

async fn reconnect_link() {
    let a = Endpoint::new(A).await;
    let listener = TcpListener::bind(localhost()).await.unwrap();
    let address = listener.local_addr().unwrap();
    a.send(B, address, vec![pull(1)]).await;
    let mut first = RawLink::accept(&listener).await;
    assert!(matches!(
        first.next().await,
        Some(Content::Hello { target: B, .. })
    ));
    assert_eq!(
        first.next().await,
        Some(Content::Message(Box::new(pull(1))))
    );
    a.reconnect(B, address).await;
    let mut second = RawLink::accept(&listener).await;
    assert_eq!(first.next().await, None, "the previous link was not closed");
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

async fn replace_closed_link() {
    let a = Endpoint::new(A).await;
    let listener = TcpListener::bind(localhost()).await.unwrap();
    let address = listener.local_addr().unwrap();
    a.send(B, address, vec![pull(1)]).await;
    drop(RawLink::accept(&listener).await);
    // A link that has ended is replaced when the next message is sent.
    let accept_again = async {
        loop {
            a.send(B, address, vec![pull(2)]).await;
            if let Ok(raw) = timeout(Duration::from_millis(20), RawLink::accept(&listener)).await {
                return raw;
            }
        }
    };
    let mut raw = timeout(TIMEOUT, accept_again).await.unwrap();
    assert!(matches!(raw.next().await, Some(Content::Hello { .. })));
    assert_eq!(raw.next().await, Some(Content::Message(Box::new(pull(2)))));
}

/// Checks that the last of the frames closes the link, that this is counted, and that `accepted`
/// messages before it arrive.
async fn expect_refusal(frames: Vec<Bytes>, accepted: usize) {
    let mut b = Endpoint::new(B).await;
    let mut raw = RawLink::connect(b.address).await;
    for frame in frames {
        raw.send(frame).await;
    }
    assert_eq!(raw.next().await, None, "the link was not closed");
    b.wait_for_count(LinkCounter::MalformedIn, 1).await;
    assert_eq!(b.receive_zones(accepted).await.len(), accepted);
    // Other links must not be affected.
    let a = Endpoint::new(A).await;
    a.send(B, b.address, vec![pull(9)]).await;
    assert_eq!(b.receive_zones(1).await, [(A, 9)]);
}

/// Returns a frame with a message of `sender`.
fn frame(sender: InstanceId) -> Bytes {
    encode(sender, &pull(1)).unwrap()
}

async fn replace_peer() {
    let a = Endpoint::new(A).await;
    // No other test uses this address, so that the port stays free until the other instance starts.
    let reserved = SocketAddr::from(([127, 0, 0, 77], 0));
    let mut b = Endpoint::start(B, reserved, LinkSettings::default()).await;
    a.send(B, b.address, vec![pull(1)]).await;
    assert_eq!(b.receive_zones(1).await, [(A, 1)]);
    let address = b.address;
    b.stop().await;
    let mut c = Endpoint::start(C, address, LinkSettings::default()).await;
    // Messages to the previous instance must not reach the one that has its address now.
    a.send(B, address, vec![pull(2)]).await;
    a.reconnect(B, address).await;
    a.send(B, address, vec![pull(2)]).await;
    c.wait_for_count(LinkCounter::MalformedIn, 1).await;
    a.send(C, address, vec![pull(3)]).await;
    assert_eq!(c.receive_zones(1).await, [(A, 3)]);
}

async fn leave_link_idle() {
    let settings = LinkSettings {
        idle: Duration::from_millis(50),
        ..LinkSettings::default()
    };
    let a = Endpoint::start(A, localhost(), settings).await;
    let listener = TcpListener::bind(localhost()).await.unwrap();
    let address = listener.local_addr().unwrap();
    a.send(B, address, vec![pull(1)]).await;
    let mut raw = RawLink::accept(&listener).await;
    assert!(raw.next().await.is_some());
    assert!(raw.next().await.is_some());
    assert_eq!(raw.next().await, None, "the idle link was not closed");
    a.send(B, address, vec![pull(2)]).await;
    assert!(RawLink::accept(&listener).await.next().await.is_some());
}

async fn send_to_unreachable() {
    let a = Endpoint::new(A).await;
    let listener = TcpListener::bind(localhost()).await.unwrap();
    let address = listener.local_addr().unwrap();
    drop(listener);
    a.send(B, address, vec![pull(1), pull(2)]).await;
    a.wait_for_count(LinkCounter::OpenFailures, 1).await;
    a.wait_for_count(LinkCounter::DroppedOut, 2).await;
}

async fn open_too_many() {
    let settings = LinkSettings {
        accepted: 1,
        ..LinkSettings::default()
    };
    let b = Endpoint::start(B, localhost(), settings).await;
    let mut first = RawLink::connect(b.address).await;
    first.send(encode_hello(A, B)).await;
    first.send(frame(A)).await;
    b.wait_for_count(LinkCounter::MessagesIn, 1).await;
    let mut second = RawLink::connect(b.address).await;
    assert_eq!(second.next().await, None);
    b.wait_for_count(LinkCounter::Refused, 1).await;
}

async fn stop_after_send() {
    let (a, mut b) = (Endpoint::new(A).await, Endpoint::new(B).await);
    a.send(B, b.address, (0..100).map(pull).collect()).await;
    a.stop().await;
    assert_eq!(b.receive_zones(100).await.len(), 100);
}

cases! { async
    /// Guards against messages that are lost or reordered, and against a new link for each batch.
    messages_arrive_in_order => send_in_order();
    /// Guards against a link in one direction that prevents one in the other.
    both_instances_can_send => send_both_ways();
    /// Guards against a peer that does not read and thereby delays messages to other peers, and
    /// against dropped messages that are not counted.
    unread_link_delays_no_other => overflow_unread_link();
    /// Guards against a reconnect that keeps using the unresponsive link.
    reconnect_opens_a_new_link => reconnect_link();
    /// Guards against a peer that stays unreachable after it closed the link.
    link_closed_by_peer_is_replaced => replace_closed_link();
    /// Guards against memory use without limit for frames that exceed the maximum size.
    oversized_frame_closes_the_link => {
        expect_refusal(vec![encode_hello(A, B), vec![0; MAX_FRAME + 1].into()], 0)
    };
    /// Guards against an invalid frame that discards valid messages before it.
    messages_before_an_invalid_frame_arrive => {
        expect_refusal(vec![encode_hello(A, B), frame(A), frame(A), Bytes::from_static(b"x")], 2)
    };
    /// Guards against messages from a sender that did not identify itself.
    link_must_begin_with_hello => expect_refusal(vec![frame(A)], 0);
    /// Guards against a link that changes its sender by another hello.
    second_hello_closes_the_link => expect_refusal(vec![encode_hello(A, B), encode_hello(A, B)], 0);
    /// Guards against messages that claim another sender than the hello of their link.
    changed_sender_closes_the_link => expect_refusal(vec![encode_hello(A, B), frame(C)], 0);
    /// Guards against links to an instance that had the address before.
    hello_for_another_instance_is_refused => expect_refusal(vec![encode_hello(A, C)], 0);
    /// Guards against messages that reach another instance at the address of their target.
    reused_address_gets_no_old_messages => replace_peer();
    /// Guards against idle links that stay open, and against a closed one that loses the next
    /// message.
    idle_link_is_closed => leave_link_idle();
    /// Guards against messages to an unreachable peer that are dropped without being counted.
    unreachable_peer_is_counted => send_to_unreachable();
    /// Guards against accepted links without limit.
    too_many_links_are_refused => open_too_many();
    /// Guards against a stop that drops queued messages, such as the announcement of leaving.
    messages_before_a_stop_are_written => stop_after_send();
}

/// Guards against a default queue length that is not a power of two.
#[test]
fn default_queue_is_a_power_of_two() {
    let settings = LinkSettings::default();
    assert!(settings.queue.is_power_of_two());
}
