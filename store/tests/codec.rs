//! Tests of the encoding and decoding of stored values.

#![allow(clippy::unwrap_used)] // helpers of tests may panic

use std::net::SocketAddr;
use std::time::Duration;

use lovagespindle_decisions::config::{
    Change,
    Configuration,
    MAX_CHANGES,
    Record,
    ServerState,
    ZoneState, //
};
use lovagespindle_decisions::ids::{
    OperationId,
    Revision,
    ZoneId, //
};
use lovagespindle_store::codec::{
    SnapshotReader,
    decode_head,
    decode_record,
    decode_registry,
    encode_record,
    snapshot_parts, //
};
use quickcheck::{
    Arbitrary,
    Gen,
    quickcheck, //
};

macro_rules! cases {
    ($($(#[$doc:meta])* $name:ident => $body:expr;)*) => {
        $($(#[$doc])* #[test] fn $name() { $body })*
    };
}

#[derive(Clone, Debug)]
struct AnyRecord(Record);

impl Arbitrary for AnyRecord {
    fn arbitrary(g: &mut Gen) -> AnyRecord {
        AnyRecord(Record {
            revision: Revision(u64::arbitrary(g)),
            operation: OperationId(u128::arbitrary(g)),
            changes: (0..u8::arbitrary(g) % 5).map(|_| any_change(g)).collect(),
        })
    }
}

fn any_address(g: &mut Gen) -> SocketAddr {
    match bool::arbitrary(g) {
        true => SocketAddr::from((u32::arbitrary(g).to_be_bytes(), u16::arbitrary(g))),
        false => SocketAddr::from((u128::arbitrary(g).to_be_bytes(), u16::arbitrary(g))),
    }
}

fn any_change(g: &mut Gen) -> Change {
    let name = String::arbitrary(g);
    match u8::arbitrary(g) % 10 {
        0 => Change::CreateZone {
            name,
            region: String::arbitrary(g),
        },
        1 => Change::SetZone {
            name,
            state: *g.choose(&[ZoneState::In, ZoneState::Out]).unwrap(),
        },
        2 => Change::DeleteZone { name },
        3 => Change::PutService {
            name,
            address: any_address(g),
            idle: Duration::arbitrary(g),
        },
        4 => Change::DeleteService { name },
        5 => Change::CreatePool {
            name,
            service: String::arbitrary(g),
            zone: String::arbitrary(g),
        },
        6 => Change::DeletePool { name },
        7 => Change::PutServer {
            name,
            pool: String::arbitrary(g),
            address: any_address(g),
            health: any_address(g),
            weight: u32::arbitrary(g),
            slots: u32::arbitrary(g),
            connections: u32::arbitrary(g),
        },
        8 => Change::SetServer {
            name,
            state: *g
                .choose(&[ServerState::Active, ServerState::Draining])
                .unwrap(),
        },
        _ => Change::DeleteServer { name },
    }
}

fn server(pool: &str, name: String) -> Change {
    Change::PutServer {
        name,
        pool: pool.to_owned(),
        address: SocketAddr::from(([0xffff; 8], 65_535)),
        health: SocketAddr::from(([0xffff; 8], 65_535)),
        weight: 1000,
        slots: u32::MAX,
        connections: u32::MAX,
    }
}

/// Builds a configuration with 256 backend servers.
fn large_configuration() -> Configuration {
    let text = str::to_owned;
    let base = vec![
        Change::CreateZone {
            name: text("z"),
            region: text("r"),
        },
        Change::PutService {
            name: text("s"),
            address: SocketAddr::from(([10, 0, 0, 1], 53)),
            idle: Duration::from_millis(2500),
        },
        Change::CreatePool {
            name: text("p"),
            service: text("s"),
            zone: text("z"),
        },
    ];
    let servers = (0..MAX_CHANGES).map(|n| server("p", format!("b{n}")));
    let mut configuration = Configuration::default();
    for (revision, changes) in (1..).zip([base, servers.collect()]) {
        let record = Record {
            revision: Revision(revision),
            operation: OperationId(revision.into()),
            changes,
        };
        configuration.apply(&record).unwrap();
    }
    configuration
}

fn decode_all(bytes: &[u8]) {
    let _ = decode_record(bytes);
    let _ = decode_head(bytes);
    let _ = decode_registry(bytes, ZoneId(1));
    let mut reader = SnapshotReader::new(Revision(0));
    if reader.add(bytes).is_ok() {
        let _ = Configuration::restore(reader.into_parts());
    }
}

quickcheck! {
    /// Guards against records that change when they are encoded and decoded.
    fn decoded_records_equal_the_encoded_ones(any: AnyRecord) -> bool {
        decode_record(&encode_record(&any.0)).unwrap() == any.0
    }

    /// Guards against a corrupt value that makes an instance panic.
    fn arbitrary_bytes_never_panic(bytes: Vec<u8>) -> bool {
        decode_all(&bytes);
        true
    }

    /// Guards against an almost valid value that makes an instance panic.
    fn corrupt_records_never_panic(any: AnyRecord, position: usize, flip: u8) -> bool {
        let mut bytes = encode_record(&any.0).to_vec();
        let position = position % bytes.len();
        bytes[position] ^= flip;
        decode_all(&bytes);
        decode_all(&bytes[..position]);
        true
    }
}

cases! {
    /// Guards against records that do not fit into a frame between instances.
    largest_record_fits_into_a_frame => {
        let long = "x".repeat(63);
        let record = Record {
            revision: Revision(u64::MAX),
            operation: OperationId(u128::MAX),
            changes: vec![server(&long, long.clone()); MAX_CHANGES],
        };
        assert!(encode_record(&record).len() <= 60 * 1024);
    };
    /// Guards against parts that exceed the size limit and against rows lost between parts.
    snapshots_are_split_into_parts_and_restored => {
        let configuration = large_configuration();
        let parts = snapshot_parts(&configuration, 1000);
        assert!(parts.len() > 10);
        let mut reader = SnapshotReader::new(configuration.revision);
        for part in &parts {
            assert!(part.len() <= 1000);
            reader.add(part).unwrap();
        }
        assert_eq!(Configuration::restore(reader.into_parts()), Ok(configuration));
    };
    /// Guards against a snapshot that is assembled from parts of different snapshots.
    parts_of_other_revisions_are_rejected => {
        let parts = snapshot_parts(&large_configuration(), 100_000);
        SnapshotReader::new(Revision(1)).add(&parts[0]).unwrap_err();
    };
}
