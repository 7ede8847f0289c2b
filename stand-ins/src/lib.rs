//! Stand-ins for fabric, callers, backend servers and the platform.

mod cases;
pub mod consumer;
pub mod error;

pub use error::Error;
