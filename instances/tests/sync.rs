//! Tests the messages and the connections by which instances pass on store updates.

use std::net::{
    Ipv4Addr,
    SocketAddrV4, //
};
use std::time::Duration;

use lovagespindle_decisions::dsr::peers::Peer;
use lovagespindle_decisions::dsr::source_path::SourcePath;
use lovagespindle_decisions::dsr::store_update::{
    Document,
    DocumentUpdate,
    Revision,
    UpdateKind, //
};
use lovagespindle_instances::sync::{
    Query,
    Reply,
    Request,
    decode_reply,
    decode_request,
    encode_reply,
    encode_request, //
};
use lovagespindle_instances::sync_link::{
    SyncClient,
    SyncError,
    serve, //
};
use lovagespindle_stand_ins::cases;
use quickcheck::quickcheck;
use tokio::net::TcpListener;
use tokio::sync::mpsc;

const TIMEOUT: Duration = Duration::from_millis(500);

fn peer() -> Peer {
    Peer {
        address: SocketAddrV4::new(Ipv4Addr::new(10, 0, 0, 1), 8_166),
        zone: "a".into(),
        age: Duration::from_millis(20),
    }
}

fn request(query: Query) -> Request {
    Request {
        query,
        max_wait: Duration::from_millis(300),
        sender: peer(),
        age: Some(Duration::from_millis(70)),
        digest: 0xf00d,
    }
}

/// Returns a path of this many instances.
fn path(hops: u8) -> SourcePath {
    let address = |number| SocketAddrV4::new(Ipv4Addr::new(10, 0, 1, number), 8_166);
    SourcePath::new((0..hops).map(address)).expect("a path")
}

fn reply(kind: UpdateKind) -> Reply {
    let document = |key: &str, value: Option<&'static [u8]>| Document {
        key: key.into(),
        revision: Revision::from(9),
        value: value.map(Into::into),
    };
    Reply {
        update: Some(DocumentUpdate {
            documents: vec![document("put", Some(b"x")), document("removed", None)],
            revision: Revision::from(9),
            kind,
            age: Duration::from_millis(40),
        }),
        peers: vec![peer()],
        path: path(2),
        waited: Duration::ZERO,
    }
}

/// Returns a reply with the documents of a store that was restored.
fn reply_after_restoration() -> Reply {
    let mut reply = reply(UpdateKind::Snapshot);
    if let Some(update) = &mut reply.update {
        update.revision.era = 2;
        update.documents.iter_mut().for_each(|d| d.revision.era = 2);
    }
    reply
}

fn check_requests() {
    for query in [
        Query::Peers,
        Query::Since(Revision::from(0)),
        Query::Since(Revision::from(7)),
        Query::Since(Revision { era: 3, number: 7 }),
    ] {
        let request = request(query);
        assert_eq!(decode_request(encode_request(&request)), Ok(request));
    }
}

fn check_replies() {
    let none = Reply {
        update: None,
        peers: Vec::new(),
        path: SourcePath::default(),
        waited: Duration::ZERO,
    };
    for reply in [
        reply(UpdateKind::Snapshot),
        reply(UpdateKind::Delta(Revision::from(3))),
        reply_after_restoration(),
        none,
    ] {
        assert_eq!(decode_reply(encode_reply(reply.clone())), Ok(reply));
    }
}

/// Returns a reply with as many documents as a large fleet has backend servers.
fn large_reply() -> Reply {
    let mut reply = reply(UpdateKind::Snapshot);
    let documents = (0..3_000).map(|number| Document {
        key: format!("servers/i-{number:010x}").into(),
        revision: Revision::from(number),
        value: Some(
            format!("{{\"Service\":\"desk\",\"Zone\":\"a\",\"Address\":\"10.0.0.{number}\"}}")
                .into(),
        ),
    });
    if let Some(update) = &mut reply.update {
        update.documents = documents.collect();
    }
    reply
}

fn check_large_replies() {
    let reply = large_reply();
    let documents = reply.update.iter().flat_map(|update| &update.documents);
    let size: usize = documents
        .map(|d| d.value.as_ref().map_or(0, |value| value.len()))
        .sum();
    let encoded = encode_reply(reply.clone());
    assert!(encoded.len() < size / 2, "{} of {size}", encoded.len());
    assert_eq!(decode_reply(encoded), Ok(reply));
}

#[tokio::main(flavor = "current_thread")]
async fn call_twice() {
    let listener = TcpListener::bind("127.0.0.1:0")
        .await
        .expect("bind the listener");
    let std::net::SocketAddr::V4(address) = listener.local_addr().expect("read the local address")
    else {
        panic!("the local address is not IPv4");
    };
    let (requests, mut received) = mpsc::channel(1);
    tokio::spawn(serve(listener, requests));
    tokio::spawn(async move {
        while let Some(incoming) = received.recv().await {
            assert_eq!(incoming.request.sender, peer());
            // Fails if the client has disconnected.
            let _ = incoming.reply.send(reply(UpdateKind::Snapshot));
        }
    });
    let mut client = SyncClient::connect(address, TIMEOUT)
        .await
        .expect("connect");
    for _ in 0..2 {
        let result = client.call(&request(Query::Since(Revision::from(1)))).await;
        let received = result.expect("receive a reply");
        // The time on the way is added to the age.
        let mut expected = reply(UpdateKind::Snapshot);
        let ages = [&received, &expected].map(|reply| reply.update.as_ref().map(|u| u.age));
        assert!(ages[0] >= ages[1], "{ages:?}");
        expected
            .update
            .iter_mut()
            .for_each(|update| update.age = ages[0].unwrap_or_default());
        assert_eq!(received, expected);
    }
}

/// Time that a reply spends on the way.
const TRANSIT: Duration = Duration::from_millis(200);

/// Calls an instance that waits for an update, and whose reply arrives late. Returns the age of the
/// update, which the reply gives as 40 ms.
async fn age_of_late_reply(waited: Duration) -> Duration {
    let listener = TcpListener::bind("127.0.0.1:0")
        .await
        .expect("bind the listener");
    let std::net::SocketAddr::V4(address) = listener.local_addr().expect("read the local address")
    else {
        panic!("the local address is not IPv4");
    };
    let (requests, mut received) = mpsc::channel(1);
    tokio::spawn(serve(listener, requests));
    tokio::spawn(async move {
        while let Some(incoming) = received.recv().await {
            tokio::time::sleep(waited + TRANSIT).await;
            let mut late = reply(UpdateKind::Snapshot);
            late.waited = waited;
            // Fails if the client has disconnected.
            let _ = incoming.reply.send(late);
        }
    });
    let client = SyncClient::connect(address, TIMEOUT).await;
    let request = request(Query::Since(Revision::from(1)));
    let result = client.expect("connect").call(&request).await;
    result
        .expect("receive a reply")
        .update
        .expect("an update")
        .age
}

#[tokio::main(flavor = "current_thread")]
async fn check_ages() {
    for waited in [Duration::ZERO, Duration::from_millis(200)] {
        let age = age_of_late_reply(waited).await;
        assert!(age >= TRANSIT + Duration::from_millis(40), "{age:?}");
        // The wait of the request makes the update no older.
        assert!(age < TRANSIT + Duration::from_millis(140), "{age:?}");
    }
}

#[tokio::main(flavor = "current_thread")]
async fn call_without_reply() {
    let listener = TcpListener::bind("127.0.0.1:0")
        .await
        .expect("bind the listener");
    let std::net::SocketAddr::V4(address) = listener.local_addr().expect("read the local address")
    else {
        panic!("the local address is not IPv4");
    };
    let mut client = SyncClient::connect(address, TIMEOUT)
        .await
        .expect("connect");
    let result = client.call(&request(Query::Peers)).await;
    assert!(matches!(result, Err(SyncError::Timeout(_))), "{result:?}");
}

cases! {
    /// Guards against requests that change when they are encoded and decoded.
    requests_round_trip => check_requests();
    /// Guards against replies that change when they are encoded and decoded.
    replies_round_trip => check_replies();
    /// Guards against snapshots that fill the link of a small instance: they are compressed.
    large_replies_are_compressed => check_large_replies();
    /// Guards against connections that carry only one reply.
    connection_carries_several_requests => call_twice();
    /// Guards against ages that leave out the time on the way, which adds up over several instances:
    /// a view was taken for confirmed after a change that it did not contain.
    time_on_the_way_counts_as_age => check_ages();
    /// Guards against an instance that waits forever for one that does not reply.
    missing_reply_times_out => call_without_reply();
}

quickcheck! {
    /// Guards against bytes that cause a panic, and against replies that decode to something else
    /// after they were encoded again.
    fn any_bytes_decode_consistently_or_fail(bytes: Vec<u8>) -> bool {
        let round_trips = |reply: Reply| decode_reply(encode_reply(reply.clone())) == Ok(reply);
        decode_reply(bytes.into()).map_or(true, round_trips)
    }
}
