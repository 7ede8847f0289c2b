//! Stand-ins for the fabric, callers, backend servers and the platform, used in tests.

pub mod backend_server;
pub mod caller;
mod caller_task;
mod cases;
pub mod consumer;
pub mod error;
pub mod fabric;
pub mod forwarder;
pub mod load;
pub mod peer;
pub mod platform;
mod platform_calls;
mod platform_connection;
mod platform_data;
mod platform_lease;
mod platform_watch;
mod server_calls;
mod server_task;
pub mod work;

pub use backend_server::BackendServer;
pub use caller::{
    Caller,
    Flow,
    RequestOutcome, //
};
pub use error::Error;
pub use fabric::Fabric;
pub use work::{
    Body,
    Work, //
};
