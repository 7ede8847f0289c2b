//! Stand-ins for fabric, callers, backend servers and the platform.

mod cases;
pub mod consumer;
pub mod error;
pub mod platform;
mod platform_calls;
mod platform_connection;
mod platform_data;
mod platform_lease;
mod platform_watch;

pub use error::Error;
