//! Client of the platform's key-value service, which stores the configuration log, its snapshots
//! and the instance registry.

mod append;
mod backoff;
mod client;
pub mod codec;
mod codec_change;
mod codec_registry;
mod codec_snapshot;
mod codec_value;
pub mod error;
pub mod generated;
pub mod keys;
mod read;
mod registry;
mod request;
pub mod settings;
mod snapshot;
pub mod store;
mod watch;

pub use error::StoreError;
pub use settings::Settings;
pub use store::Store;
