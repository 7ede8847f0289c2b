//! Direct server return: clients' packets pass through an instance, and backend servers answer the
//! clients directly.
//!
//! A backend server is chosen for SYNs only. The SYN carries a tag that identifies the backend
//! server, and both ends return it on every later packet. Any instance can therefore forward a flow
//! that it has no record of.

pub mod balancer;
pub mod counts;
pub mod decision;
pub mod document_cache;
mod established;
mod flows;
pub mod freshness;
mod handshake;
mod isolation;
mod passive_health;
pub mod peers;
mod placement;
mod reachability;
pub mod routes;
pub mod segment;
pub mod server_loss;
pub mod servers;
pub mod settings;
pub mod shutdown;
pub mod source_path;
pub mod store_update;
mod store_view;
mod syn;
mod timers;
mod zone_health;
