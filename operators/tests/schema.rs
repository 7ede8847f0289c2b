//! Tests the conversion between protobuf messages and the types of the decisions.

#![allow(clippy::unwrap_used)] // helpers of tests may panic

use std::net::SocketAddr;
use std::time::Duration;

use lovagespindle_decisions::config::{
    Change,
    MAX_CHANGES,
    ServerState,
    ZoneState, //
};
use lovagespindle_decisions::ids::{
    BackendServerId,
    FlowId,
    InstanceId,
    OperationId,
    Revision,
    ServiceId,
    ZoneId, //
};
use lovagespindle_decisions::packet::Reason;
use lovagespindle_decisions::peer::MemberState;
use lovagespindle_decisions::state_change::StateChange;
use lovagespindle_decisions::status::{
    CandidateStatus,
    Explanation,
    Flag,
    FlowStatus, //
};
use lovagespindle_operators::decode;
use lovagespindle_operators::decode::DecodeError;
use lovagespindle_operators::encode;
use lovagespindle_operators::generated::v1;
use lovagespindle_operators::messages::{
    ApplyChanges,
    FlowExplanation, //
};
use lovagespindle_operators::names::Names;
use lovagespindle_operators::timeline::{
    Entry,
    timestamp, //
};

macro_rules! cases {
    ($($(#[$doc:meta])* $name:ident => $body:expr;)*) => {
        $($(#[$doc])* #[test] fn $name() { $body })*
    };
}

fn changes() -> Vec<Change> {
    let name = || "n".to_owned();
    let address: SocketAddr = "[2001:db8::1]:80".parse().unwrap();
    vec![
        Change::CreateZone {
            name: name(),
            region: "r".to_owned(),
        },
        Change::SetZone {
            name: name(),
            state: ZoneState::Out,
        },
        Change::DeleteZone { name: name() },
        Change::PutService {
            name: name(),
            address,
            idle: Duration::from_millis(1),
        },
        Change::DeleteService { name: name() },
        Change::CreatePool {
            name: name(),
            service: "s".to_owned(),
            zone: "z".to_owned(),
        },
        Change::DeletePool { name: name() },
        Change::PutServer {
            name: name(),
            pool: "p".to_owned(),
            address,
            health: "10.0.0.1:81".parse().unwrap(),
            weight: 1,
            slots: 2,
            connections: 3,
        },
        Change::SetServer {
            name: name(),
            state: ServerState::Draining,
        },
        Change::DeleteServer { name: name() },
    ]
}

fn state_changes() -> Vec<StateChange> {
    let backend_server = BackendServerId(3);
    let (flow, service) = (FlowId(u128::MAX - 1), ServiceId(4));
    let owner = Some(InstanceId(u64::MAX));
    vec![
        StateChange::Started,
        StateChange::Leaving,
        StateChange::Left,
        StateChange::Member {
            instance: InstanceId(5),
            zone: ZoneId(6),
            state: MemberState::Leaving,
        },
        StateChange::Configured {
            revision: Revision(7),
        },
        StateChange::Acquired {
            backend_server,
            flows: 8,
        },
        StateChange::Released {
            backend_server,
            owner,
        },
        StateChange::Released {
            backend_server,
            owner: None,
        },
        StateChange::Fenced { backend_server },
        StateChange::Unfenced { backend_server },
        StateChange::ColdStart { backend_server },
        StateChange::ServerDown { backend_server },
        StateChange::ServerUp { backend_server },
        StateChange::FlowClosed {
            flow,
            service,
            backend_server,
            reason: Reason::Shutdown,
        },
        StateChange::FlowPlaced {
            flow,
            service,
            backend_server,
            candidate: 255,
        },
        StateChange::PlatformLost,
        StateChange::PlatformBack,
    ]
}

fn explanation(status: FlowStatus) -> FlowExplanation {
    let candidate = |owner| CandidateStatus {
        backend_server: BackendServerId(9),
        owner,
    };
    FlowExplanation {
        flow: FlowId(1 << 100),
        explanation: Explanation {
            service: ServiceId(1),
            revision: Revision(2),
            candidates: [candidate(None), candidate(Some(InstanceId(3)))]
                .into_iter()
                .collect(),
            status,
        },
    }
}

fn decode_modified(change: Change, modify: impl FnOnce(&mut v1::Change)) -> DecodeError {
    let mut change = v1::Change::from(&change);
    modify(&mut change);
    Change::try_from(change).unwrap_err()
}

cases! {
    /// Guards against a change whose fields or state differ after encoding and decoding.
    changes_round_trip => {
        let sent = ApplyChanges {
            operation: OperationId(u128::MAX - 2),
            expected: Some(Revision(0)),
            changes: changes(),
        };
        assert_eq!(ApplyChanges::try_from(v1::ApplyRequest::from(&sent)), Ok(sent));
    };
    /// Guards against an entry whose fields, reason or state differ after encoding and decoding.
    state_changes_round_trip => {
        for change in state_changes() {
            let entry = Entry { timestamp: timestamp(u64::MAX, InstanceId(8)), change };
            assert_eq!(Entry::try_from(v1::TimelineEntry::from(&entry)), Ok(entry));
        }
    };
    /// Guards against losing the status or the owners of an explanation.
    explanations_round_trip => {
        let backend_server = BackendServerId(4);
        for status in [
            FlowStatus::None,
            FlowStatus::Hosted { backend_server, requests: 5 },
            FlowStatus::Redirected { backend_server },
        ] {
            let sent = explanation(status);
            let (received, _) = decode::explanation(encode::explanation(&sent, Names::default())).unwrap();
            assert_eq!(received, sent);
        }
    };
    /// Guards against decoding an empty change as some other change.
    empty_change_is_refused => {
        let error = decode_modified(changes()[0].clone(), |c| c.change = None);
        assert_eq!(error, DecodeError::Missing { field: "change" });
    };
    /// Guards against decoding an unknown state as the default.
    unknown_state_is_refused => {
        for state in [0, 3, -1, 256 + 1] {
            let error = decode_modified(changes()[1].clone(), |c| {
                if let Some(v1::change::Change::SetZone(set)) = &mut c.change {
                    set.state = state;
                }
            });
            assert_eq!(error, DecodeError::Value { field: "state", value: state.into() });
        }
    };
    /// Guards against ignoring a malformed address.
    malformed_address_is_refused => {
        let error = decode_modified(changes()[3].clone(), |c| {
            if let Some(v1::change::Change::PutService(put)) = &mut c.change {
                put.address = "localhost:80".to_owned();
            }
        });
        let text = "localhost:80".to_owned();
        assert_eq!(error, DecodeError::Address { field: "address", text });
    };
    /// Guards against a call with more changes than one record of the configuration log can hold.
    too_many_changes_are_refused => {
        let sent = |count| ApplyChanges {
            operation: OperationId(1),
            expected: None,
            changes: vec![Change::DeleteZone { name: "z".to_owned() }; count],
        };
        let decoded = |count| ApplyChanges::try_from(v1::ApplyRequest::from(&sent(count)));
        assert_eq!(decoded(MAX_CHANGES), Ok(sent(MAX_CHANGES)));
        let count = MAX_CHANGES + 1;
        assert_eq!(decoded(count), Err(DecodeError::Count { count }));
        assert_eq!(decoded(0), Err(DecodeError::Count { count: 0 }));
    };
    /// Guards against a call without an operation id, which could not be retried safely.
    missing_operation_is_refused => {
        let request = v1::ApplyRequest { changes: vec![(&changes()[0]).into()], ..Default::default() };
        let error = ApplyChanges::try_from(request).unwrap_err();
        assert_eq!(error, DecodeError::Missing { field: "operation" });
    };
    /// Guards against an event or flag that the operators' page does not explain.
    page_explains_all_events_and_flags => {
        let page = include_str!("../../docs/OPERATIONS.md");
        for change in state_changes() {
            let event: &'static str = change.into();
            assert!(page.contains(&format!("`{event}`")), "{event}");
        }
        let flags: Vec<_> = (0..=u8::MAX).filter_map(Flag::from_repr).collect();
        assert!(!flags.is_empty());
        for flag in flags {
            assert!(page.contains(&format!("| `{flag}` |")), "{flag}");
        }
    };
}
