//! Code generated from the schema files; `tests/generated_tests.rs` checks that it is up to date.

#![allow(missing_docs, unreachable_pub, clippy::all)]

/// Standard gRPC health checking protocol.
pub mod health {
    include!("generated/grpc.health.v1.rs");
}

/// Load reports of backend servers.
pub mod load {
    include!("generated/lovagespindle.load.v1.rs");
}
