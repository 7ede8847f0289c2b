//! Code generated from `proto/` by the example `generate`.

#![allow(
    missing_docs,
    unreachable_pub,
    rust_2018_idioms,
    clippy::all,
    clippy::pedantic
)]

pub mod mvccpb {
    include!("generated/mvccpb.rs");
}

pub mod etcdserverpb {
    include!("generated/etcdserverpb.rs");
}

pub mod lovagespindle {
    pub mod config {
        include!("generated/lovagespindle.config.rs");
    }

    pub mod list {
        include!("generated/lovagespindle.list.rs");
    }
}
