//! News that instances pass on: the messages and the links.

use std::net::{
    Ipv4Addr,
    SocketAddrV4, //
};
use std::time::Duration;

use lovagespindle_decisions::dsr::news::{
    Bulletin,
    Document,
    Revision,
    Scope, //
};
use lovagespindle_decisions::dsr::peers::Peer;
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

const PATIENCE: Duration = Duration::from_millis(500);

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
    }
}

fn reply(scope: Scope) -> Reply {
    let document = |key: &str, value: Option<&'static [u8]>| Document {
        key: key.into(),
        revision: Revision(9),
        value: value.map(Into::into),
    };
    Reply {
        update: Some(Bulletin {
            documents: vec![document("put", Some(b"x")), document("removed", None)],
            at: Revision(9),
            scope,
            age: Duration::from_millis(40),
        }),
        peers: vec![peer()],
    }
}

fn requests_survive() {
    for query in [
        Query::Peers,
        Query::Since(Revision(0)),
        Query::Since(Revision(7)),
    ] {
        let request = request(query);
        assert_eq!(decode_request(encode_request(&request)), Ok(request));
    }
}

fn replies_survive() {
    let none = Reply {
        update: None,
        peers: Vec::new(),
    };
    for reply in [reply(Scope::All), reply(Scope::After(Revision(3))), none] {
        assert_eq!(decode_reply(encode_reply(reply.clone())), Ok(reply));
    }
}

#[tokio::main(flavor = "current_thread")]
async fn asked() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let std::net::SocketAddr::V4(address) = listener.local_addr().expect("an address") else {
        panic!("not IPv4");
    };
    let (requests, mut received) = mpsc::channel(1);
    tokio::spawn(serve(listener, requests));
    tokio::spawn(async move {
        while let Some(incoming) = received.recv().await {
            assert_eq!(incoming.request.sender, peer());
            // The asker may be gone.
            let _ = incoming.reply.send(reply(Scope::All));
        }
    });
    let mut client = SyncClient::connect(address, PATIENCE)
        .await
        .expect("a link");
    for _ in 0..2 {
        let answer = client.call(&request(Query::Since(Revision(1)))).await;
        assert_eq!(answer.expect("a reply"), reply(Scope::All));
    }
}

#[tokio::main(flavor = "current_thread")]
async fn silent() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let std::net::SocketAddr::V4(address) = listener.local_addr().expect("an address") else {
        panic!("not IPv4");
    };
    let mut client = SyncClient::connect(address, PATIENCE)
        .await
        .expect("a link");
    let answer = client.call(&request(Query::Peers)).await;
    assert!(matches!(answer, Err(SyncError::Timeout(_))), "{answer:?}");
}

cases! {
    /// Guards against requests that arrive changed.
    requests_survive_the_wire => requests_survive();
    /// Guards against news that arrive changed.
    replies_survive_the_wire => replies_survive();
    /// Guards against links that carry only one reply.
    link_answers_again_and_again => asked();
    /// Guards against an instance that waits for a silent one without end.
    silent_instance_is_given_up => silent();
}

quickcheck! {
    /// Guards against messages that end the process or are read in two ways.
    fn any_bytes_are_decoded_or_refused(bytes: Vec<u8>) -> bool {
        let again = |reply: Reply| decode_reply(encode_reply(reply.clone())) == Ok(reply);
        decode_reply(bytes.into()).map_or(true, again)
    }
}
