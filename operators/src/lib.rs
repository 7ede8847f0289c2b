//! gRPC interface for operators: server, client and deployment plans.

pub mod client;
pub mod connection;
pub mod decode;
pub mod encode;
pub mod filter;
pub mod follow;
pub mod generated;
pub mod messages;
pub mod names;
pub mod plan;
pub mod select;
pub mod server;
mod state_text;
pub mod timeline;
