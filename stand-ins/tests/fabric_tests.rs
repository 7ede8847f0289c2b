//! Tests of the stand-in fabric and of the checks that the stand-in caller makes.

#![allow(clippy::unwrap_used)] // clippy.toml covers only functions marked as tests.

mod common;

use bytes::Bytes;
use common::{
    NAME,
    Setup,
    address,
    caller,
    idempotent_request,
    settings,
    single_request,
    until, //
};
use lovagespindle_decisions::ids::{
    BackendServerId,
    FlowId,
    RequestId, //
};
use lovagespindle_decisions::packet::{
    Packet,
    PacketKind, //
};
use lovagespindle_stand_ins::peer::Peer;
use lovagespindle_stand_ins::{
    Body,
    Caller,
    Fabric,
    Flow,
    RequestOutcome,
    cases, //
};

/// Guards against an uneven distribution, and against packets to instances that were removed.
async fn distributes_evenly() {
    let fabric = Fabric::start(7).await.unwrap();
    let instances = [Peer::open().await, Peer::open().await, Peer::open().await];
    let [a, b, c] = instances.map(Result::unwrap);
    let all = [a.address, b.address, c.address];
    fabric.set_instances(&all).await.unwrap();
    let mut caller = caller(&fabric, 1).await;
    let flow = caller.flow(address(), NAME).unwrap();
    let mut counts = [0; 3];
    // Sends in rounds, because the operating system may queue no more than about 270 packets.
    for _ in 0..6 {
        let round = send_round(&flow, [&a, &b, &c], 50).await;
        counts = std::array::from_fn(|i| counts[i] + round[i]);
    }
    assert!(counts.iter().all(|n| (70..130).contains(n)), "{counts:?}");
    fabric.set_instances(&all[..1]).await.unwrap();
    assert_eq!(send_round(&flow, [&a, &b, &c], 50).await, [50, 0, 0]);
    let report = fabric.report().await.unwrap();
    assert_eq!((report.forwarded, report.dropped), (350, 0));
}

/// Guards against callers that reuse the flow ids of earlier ones, so that instances and backend
/// servers mistake a new request for an old one. The operating system soon reuses addresses.
async fn reuses_no_flow_id() {
    let fabric = Fabric::start(8).await.unwrap();
    let mut seen = std::collections::HashSet::new();
    for _ in 0..2000 {
        let mut caller = caller(&fabric, 1).await;
        let flow = caller.flow(address(), NAME).unwrap();
        assert!(seen.insert(flow.flow), "after {} callers", seen.len());
        caller.stop().await;
    }
}

/// Sends packets, waits until all have arrived and returns how many each instance received.
async fn send_round(flow: &Flow, instances: [&Peer; 3], packets: usize) -> [usize; 3] {
    for _ in 0..packets {
        flow.data().await.unwrap();
    }
    let mut counts = [0; 3];
    while counts.iter().sum::<usize>() < packets {
        let index = tokio::select! {
            packet = instances[0].receive() => packet.map(|_| 0),
            packet = instances[1].receive() => packet.map(|_| 1),
            packet = instances[2].receive() => packet.map(|_| 2),
        };
        counts[index.unwrap()] += 1;
    }
    counts
}

/// Guards against packets that are dropped without being counted while there is no instance.
async fn counts_drops() {
    let fabric = Fabric::start(7).await.unwrap();
    let mut caller = caller(&fabric, 1).await;
    caller.flow(address(), NAME).unwrap().data().await.unwrap();
    let report = || async { fabric.report().await.unwrap() };
    until(report, |report| report.dropped == 1).await;
}

/// Guards against answers that are sent to another caller.
async fn returns_to_the_caller() {
    let mut setup = Setup::start(settings()).await;
    let mut other = caller(&setup.fabric, 2).await;
    for _ in 0..20 {
        let mut mine = setup.flow();
        let mut theirs = other.flow(address(), NAME).unwrap();
        let (a, b) = tokio::join!(
            mine.request(single_request(1)),
            theirs.request(single_request(1))
        );
        assert!(matches!(a.unwrap(), RequestOutcome::Answered { .. }));
        assert!(matches!(b.unwrap(), RequestOutcome::Answered { .. }));
    }
    assert_eq!(setup.server.report().await.unwrap().finished, 40);
    for caller in [&setup.caller, &other] {
        let report = caller.report().await.unwrap();
        assert_eq!(
            (report.mismatched, report.late, report.answered),
            (0, 0, 20)
        );
    }
}

fn body(packet: &Packet, part: u32, parts: u32) -> Body {
    Body {
        service: NAME.to_owned(),
        flow: packet.flow,
        request: packet.request,
        part,
        parts,
        server: BackendServerId(1),
    }
}

fn answer(packet: &Packet, body: &Body) -> Packet {
    Packet {
        kind: PacketKind::Answer,
        part: body.part,
        last: body.part + 1 == body.parts,
        payload: body.encode(0),
        ..packet.clone()
    }
}

/// Sends a request to a peer that replies with the given packets. Returns the outcome and the
/// caller.
async fn request_with_answers(
    answers: impl Fn(&Packet) -> Vec<Packet>,
) -> (RequestOutcome, Caller) {
    let fabric = Fabric::start(7).await.unwrap();
    let instance = Peer::open().await.unwrap();
    fabric.set_instances(&[instance.address]).await.unwrap();
    let mut caller = caller(&fabric, 1).await;
    let mut flow = caller.flow(address(), NAME).unwrap();
    let respond = async {
        let packet = instance.receive().await.unwrap();
        for answer in answers(&packet) {
            instance.send(fabric.back, &answer).await.unwrap();
        }
    };
    let (outcome, ()) = tokio::join!(flow.request(single_request(0)), respond);
    (outcome.unwrap(), caller)
}

/// Guards against a caller that accepts an answer to another request.
async fn rejects_mismatch(change: impl Fn(&mut Body)) {
    let (outcome, caller) = request_with_answers(|packet| {
        let mut body = body(packet, 0, 1);
        change(&mut body);
        let payload = body.encode(0);
        vec![Packet {
            payload,
            ..answer(packet, &self::body(packet, 0, 1))
        }]
    })
    .await;
    assert_eq!(outcome, RequestOutcome::Timeout { parts: 0 });
    assert_eq!(caller.report().await.unwrap().mismatched, 1);
}

/// Guards against a caller that accepts an answer with a malformed body.
async fn rejects_malformed_body() {
    let (outcome, caller) = request_with_answers(|packet| {
        let payload = Bytes::from_static(b"\xff");
        let body = body(packet, 0, 1);
        vec![Packet {
            payload,
            ..answer(packet, &body)
        }]
    })
    .await;
    assert_eq!(outcome, RequestOutcome::Timeout { parts: 0 });
    assert_eq!(caller.report().await.unwrap().mismatched, 1);
}

/// Guards against a caller that accepts a partial answer as complete.
async fn times_out_without_a_part() {
    let (outcome, _) = request_with_answers(|packet| {
        let parts = [0, 2].map(|part| body(packet, part, 3));
        parts.iter().map(|body| answer(packet, body)).collect()
    })
    .await;
    assert_eq!(outcome, RequestOutcome::Timeout { parts: 2 });
}

/// Guards against a caller that depends on the order of parts or fails on duplicate parts.
async fn accepts_any_order() {
    let (outcome, caller) = request_with_answers(|packet| {
        let parts = [2, 0, 0, 1].map(|part| body(packet, part, 3));
        parts.iter().map(|body| answer(packet, body)).collect()
    })
    .await;
    assert!(matches!(outcome, RequestOutcome::Answered { parts: 3, .. }));
    assert_eq!(caller.report().await.unwrap().mismatched, 0);
}

/// Guards against a caller that accepts a stray answer for another request.
async fn drops_late_answers() {
    let (outcome, caller) = request_with_answers(|packet| {
        let mut stray = packet.clone();
        stray.request = RequestId(77);
        let bodies = [body(&stray, 0, 1), body(packet, 0, 1)];
        vec![answer(&stray, &bodies[0]), answer(packet, &bodies[1])]
    })
    .await;
    assert!(matches!(outcome, RequestOutcome::Answered { parts: 1, .. }));
    assert_eq!(caller.report().await.unwrap().late, 1);
}

/// Guards against retries that do not increment the attempt number.
async fn increments_attempts() {
    let fabric = Fabric::start(7).await.unwrap();
    let instance = Peer::open().await.unwrap();
    fabric.set_instances(&[instance.address]).await.unwrap();
    let mut caller = caller(&fabric, 1).await;
    let mut flow = caller.flow(address(), NAME).unwrap();
    flow.request(idempotent_request(0)).await.unwrap();
    for attempt in 0..3 {
        let packet = instance.receive().await.unwrap();
        assert_eq!((packet.kind, packet.attempt), (PacketKind::Open, attempt));
    }
}

cases! {
    async
    packets_are_distributed_evenly => distributes_evenly();
    flow_ids_are_not_reused => reuses_no_flow_id();
    packets_without_instance_are_counted => counts_drops();
    answers_return_to_their_caller => returns_to_the_caller();
    other_service_is_mismatched => rejects_mismatch(|body| body.service = "proof-room".to_owned());
    other_flow_is_mismatched => rejects_mismatch(|body| body.flow = FlowId(1));
    other_request_is_mismatched => rejects_mismatch(|body| body.request = RequestId(5));
    other_part_is_mismatched => rejects_mismatch(|body| body.part = 1);
    malformed_body_is_mismatched => rejects_malformed_body();
    missing_part_is_a_timeout => times_out_without_a_part();
    parts_may_arrive_in_any_order => accepts_any_order();
    late_answers_are_dropped => drops_late_answers();
    retries_increment_the_attempt => increments_attempts();
}
