//! Tests of the chain of instances through which updates arrive.

use std::net::{
    Ipv4Addr,
    SocketAddrV4, //
};

use lovagespindle_decisions::dsr::source_path::{
    MAX_HOPS,
    SourcePath, //
};

use crate::rig::cases;

fn address(number: u8) -> SocketAddrV4 {
    SocketAddrV4::new(Ipv4Addr::new(10, 0, 0, number), 8_166)
}

fn path(numbers: &[u8]) -> SourcePath {
    SourcePath::new(numbers.iter().copied().map(address)).expect("a path")
}

cases! {
    /// Guards against an instance that follows one which in turn follows it, directly or over two
    /// others: the documents of both would age unnoticed.
    source_that_depends_on_the_instance_is_rejected => {
        assert_eq!(path(&[1]).through(address(2), address(1)), None);
        assert_eq!(path(&[3, 4, 1]).through(address(2), address(1)), None);
        assert_eq!(path(&[]).through(address(1), address(1)), None);
    }

    /// Guards against a path that leaves out the source itself.
    path_starts_with_the_source => {
        assert_eq!(path(&[]).through(address(2), address(1)), Some(path(&[2])));
        assert_eq!(path(&[3]).through(address(2), address(1)), Some(path(&[2, 3])));
    }

    /// Guards against paths that grow without limit where instances do not agree on the tree.
    long_paths_are_rejected => {
        let longest: Vec<u8> = (10..10 + MAX_HOPS as u8).collect();
        assert_eq!(path(&longest).through(address(2), address(1)), None);
        assert!(path(&longest[1..]).through(address(2), address(1)).is_some());
    }
}
