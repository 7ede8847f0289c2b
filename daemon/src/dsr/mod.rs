//! The daemon on the users' platform: direct server return behind the platform's routers.

pub mod decision_log;
pub mod follower;
pub mod forwarder;
pub mod metrics;
pub mod prober;
pub mod run;
pub mod settings;
