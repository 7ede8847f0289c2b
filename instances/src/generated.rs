//! Code that the example `generate` generates from `proto/`.

#![allow(
    missing_docs,
    unreachable_pub,
    rust_2018_idioms,
    clippy::all,
    clippy::pedantic
)]

include!("generated/lovagespindle.instances.rs");
