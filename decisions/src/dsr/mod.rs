//! Direct server return: clients' packets pass through an instance, and backend servers answer the
//! clients directly.
//!
//! Only opening packets are placed. They carry a tag that names the backend server, both ends
//! return the tag on every later packet, and so any instance forwards a flow without having seen
//! it before.

pub mod balancer;
pub mod counts;
pub mod decision;
pub mod document_cache;
mod established;
mod flows;
mod handshake;
mod isolation;
mod passive_health;
pub mod peers;
mod placement;
mod reachability;
pub mod routes;
pub mod segment;
mod servers;
pub mod settings;
pub mod store_update;
mod store_view;
mod syn;
mod timers;
