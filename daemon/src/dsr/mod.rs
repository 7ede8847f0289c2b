//! The daemon in direct server return mode, behind the routers of the users' platform.

pub mod decision_log;
pub mod forwarder;
pub mod held_packets;
pub mod http;
pub mod metrics;
pub mod peer_sync;
pub mod prober;
pub mod publisher;
pub mod reload;
pub mod run;
pub mod settings;
pub mod store_watcher;
