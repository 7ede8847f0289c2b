//! Tests how control messages are encoded and decoded.

#![allow(clippy::unwrap_used, reason = "helpers outside test functions")]

use bytes::Bytes;
use lovagespindle_decisions::config::{
    Change,
    Record,
    ZoneState, //
};
use lovagespindle_decisions::ids::{
    BackendServerId,
    FlowId,
    InstanceId,
    OperationId,
    RequestId,
    Revision,
    ServiceId,
    ZoneId, //
};
use lovagespindle_decisions::packet::Route;
use lovagespindle_decisions::peer::{
    FlowOverride,
    FlowState,
    LoadShare,
    MAX_FLOWS,
    MAX_OVERRIDES,
    MAX_UPDATES,
    Member,
    MemberState,
    MemberUpdate,
    PeerMessage,
    RequestState, //
};
use lovagespindle_instances::error::{
    Field,
    FrameError, //
};
use lovagespindle_instances::frame::{
    Content,
    MAX_FRAME,
    VERSION,
    decode,
    encode,
    encode_hello, //
};
use lovagespindle_stand_ins::cases;
use quickcheck::{
    Arbitrary,
    Gen,
    QuickCheck, //
};

const ME: InstanceId = InstanceId(0xfeed);

#[derive(Clone, Debug)]
struct AnyMessage(PeerMessage);

fn member(g: &mut Gen) -> Member {
    Member {
        id: InstanceId(u64::arbitrary(g)),
        zone: ZoneId(u32::arbitrary(g)),
        control: address(g),
        relay: address(g),
    }
}

/// Returns an address without scope and flow label, which are not encoded.
fn address(g: &mut Gen) -> std::net::SocketAddr {
    (std::net::IpAddr::arbitrary(g), u16::arbitrary(g)).into()
}

fn update(g: &mut Gen) -> MemberUpdate {
    let states = [MemberState::Live, MemberState::Leaving, MemberState::Dead];
    MemberUpdate {
        member: member(g),
        state: states[usize::arbitrary(g) % 3],
        incarnation: u32::arbitrary(g),
    }
}

/// Returns up to `max_len` items.
fn many<T>(g: &mut Gen, max_len: usize, one: impl Fn(&mut Gen) -> T) -> Vec<T> {
    let n = usize::arbitrary(g) % (max_len + 1);
    (0..n).map(|_| one(g)).collect()
}

fn load(g: &mut Gen) -> LoadShare {
    LoadShare {
        backend_server: BackendServerId(u32::arbitrary(g)),
        used: u16::arbitrary(g),
        limit: u16::arbitrary(g),
        boot: u32::arbitrary(g),
    }
}

fn flow_override(g: &mut Gen) -> FlowOverride {
    FlowOverride {
        flow: FlowId(u128::arbitrary(g)),
        service: ServiceId(u32::arbitrary(g)),
        backend_server: BackendServerId(u32::arbitrary(g)),
    }
}

fn flow(g: &mut Gen) -> FlowState {
    let requests = many(g, 3, |g| RequestState {
        request: RequestId(u64::arbitrary(g)),
        idempotent: bool::arbitrary(g),
        remaining: Option::arbitrary(g),
    });
    FlowState {
        flow: FlowId(u128::arbitrary(g)),
        service: ServiceId(u32::arbitrary(g)),
        route: Route {
            caller: address(g),
            address: address(g),
            unique_id: u128::arbitrary(g),
        },
        backend_server: BackendServerId(u32::arbitrary(g)),
        requests: requests.into(),
        finished: std::array::from_fn(|_| u32::arbitrary(g)),
    }
}

fn record(g: &mut Gen) -> Record {
    Record {
        revision: Revision(u64::arbitrary(g)),
        operation: OperationId(u128::arbitrary(g)),
        changes: many(g, 3, |g| Change::SetZone {
            name: String::arbitrary(g),
            state: ZoneState::Out,
        }),
    }
}

impl Arbitrary for AnyMessage {
    fn arbitrary(g: &mut Gen) -> AnyMessage {
        let sequence = u64::arbitrary(g);
        let revision = Revision(u64::arbitrary(g));
        let backend_server = BackendServerId(u32::arbitrary(g));
        let last = bool::arbitrary(g);
        AnyMessage(match u8::arbitrary(g) % 12 {
            0 => PeerMessage::Heartbeat {
                sender: update(g),
                sequence,
                revision,
                digest: u64::arbitrary(g),
                updates: many(g, MAX_UPDATES, update).into(),
                loads: many(g, 20, load).into(),
            },
            1 => PeerMessage::HeartbeatAck {
                sender: update(g),
                sequence,
                revision,
                digest: u64::arbitrary(g),
                updates: many(g, MAX_UPDATES, update).into(),
            },
            2 => PeerMessage::ProbeRequest {
                target: member(g),
                sender: update(g),
                sequence,
            },
            3 => PeerMessage::ProbeForward {
                origin: update(g),
                sequence,
            },
            4 => PeerMessage::ProbeReply {
                origin: InstanceId(u64::arbitrary(g)),
                target: InstanceId(u64::arbitrary(g)),
                sequence,
            },
            5 => PeerMessage::PullMembers {
                zone: ZoneId(u32::arbitrary(g)),
            },
            6 => PeerMessage::Members {
                updates: many(g, 256, update),
            },
            7 => PeerMessage::PullChanges { after: revision },
            8 => PeerMessage::Changes {
                records: many(g, 10, record),
            },
            9 => PeerMessage::RegisterOverrides {
                overrides: many(g, MAX_OVERRIDES, flow_override),
            },
            10 => PeerMessage::Handover {
                backend_server,
                limit: u32::arbitrary(g),
                flows: many(g, MAX_FLOWS, flow),
                last,
            },
            _ => PeerMessage::Leave { sender: update(g) },
        })
    }
}

fn round_trip(AnyMessage(message): AnyMessage) -> bool {
    let bytes = encode(ME, &message).unwrap();
    let frame = decode(bytes).unwrap();
    frame.sender == ME && frame.content == Content::Message(Box::new(message))
}

/// Changes some bytes of a valid frame and truncates it. Such frames reach deeper into the decoder
/// than random bytes.
fn corrupt_frame(AnyMessage(message): AnyMessage, changes: Vec<(usize, u8)>) -> bool {
    let mut bytes = encode(ME, &message).unwrap().to_vec();
    for (at, value) in changes {
        let n = bytes.len();
        bytes[at % n] = value;
    }
    let _ = decode(bytes.clone().into());
    bytes.truncate(bytes.len() / 2);
    let _ = decode(bytes.into());
    true
}

/// Returns a check with a fixed seed, so that failures are reproducible.
fn checks() -> QuickCheck {
    QuickCheck::new().rng(Gen::from_size_and_seed(20, 1))
}

/// Decodes a message whose sender has the given control address and state.
fn decode_member(control: &'static [u8], state: u8) -> Result<(), FrameError> {
    // An envelope without sender: Leave { sender: { member: { control, relay }, state } }.
    let mut member = vec![0x1a, control.len() as u8];
    member.extend(control);
    member.extend([0x22, 6, 127, 0, 0, 1, 0, 1]);
    let mut update = vec![0x0a, member.len() as u8];
    update.extend(member);
    update.extend([0x10, state]);
    let mut leave = vec![0x0a, update.len() as u8];
    leave.extend(update);
    let mut bytes = vec![0x82, 0x01, leave.len() as u8];
    bytes.extend(leave);
    decode(bytes.into()).map(drop)
}

fn decode_too_many() {
    let mut g = Gen::from_size_and_seed(4, 1);
    let one = flow_override(&mut g);
    let overrides = vec![one; MAX_OVERRIDES + 1];
    let bytes = encode(ME, &PeerMessage::RegisterOverrides { overrides }).unwrap();
    assert_eq!(decode(bytes), Err(FrameError::TooMany(Field::Overrides)));
}

fn encode_too_large() {
    let mut g = Gen::from_size_and_seed(4, 1);
    let updates = vec![update(&mut g); 4000];
    let result = encode(ME, &PeerMessage::Members { updates });
    assert!(matches!(result, Err(FrameError::TooLarge(n)) if n > MAX_FRAME));
}

fn round_trip_hello() {
    let frame = decode(encode_hello(ME, InstanceId(7))).unwrap();
    let (version, target) = (VERSION, InstanceId(7));
    assert_eq!(frame.sender, ME);
    assert_eq!(frame.content, Content::Hello { version, target });
}

cases! {
    /// Guards against messages that change when they are encoded and decoded.
    every_message_round_trips => checks().quickcheck(round_trip as fn(AnyMessage) -> bool);
    /// Guards against corrupt frames that end the process.
    corrupt_frames_cause_no_panic =>
        checks().quickcheck(corrupt_frame as fn(AnyMessage, Vec<(usize, u8)>) -> bool);
    /// Guards against arbitrary input that ends the process.
    any_bytes_cause_no_panic => checks().tests(2000).quickcheck((|bytes: Vec<u8>| {
        let _ = decode(bytes.into());
        true
    }) as fn(Vec<u8>) -> bool);
    /// Guards against a test frame that is rejected for another reason than the next cases expect.
    valid_member_is_decoded => assert_eq!(decode_member(&[127, 0, 0, 1, 0, 1], 1), Ok(()));
    /// Guards against addresses of the wrong length.
    short_address_is_rejected => {
        let invalid = Err(FrameError::Invalid(Field::Address));
        assert_eq!(decode_member(&[127, 0, 0, 1], 1), invalid);
    };
    /// Guards against states that this version does not know.
    unknown_state_is_rejected => {
        let invalid = Err(FrameError::Invalid(Field::State));
        assert_eq!(decode_member(&[127, 0, 0, 1, 0, 1], 9), invalid);
    };
    /// Guards against an envelope without a message.
    empty_envelope_is_rejected => {
        let missing = Err(FrameError::Missing(Field::Message));
        assert_eq!(decode(Bytes::new()), missing);
    };
    /// Guards against lists of unlimited length.
    too_many_overrides_are_rejected => decode_too_many();
    /// Guards against frames for which the receiver would close the link.
    frame_over_the_limit_is_not_encoded => encode_too_large();
    /// Guards against a hello that changes when it is encoded and decoded.
    hello_round_trips => round_trip_hello();
}
