//! Decisions of the lovagespindle load balancer, without sockets or encodings.
//!
//! [`Event`]s go in and [`Action`]s come out. The daemon drives this package with sockets and the
//! system clock; tests drive it with virtual time.

pub mod action;
mod answering;
pub mod config;
mod config_apply;
mod config_check;
pub mod config_error;
mod config_index;
mod config_lookup;
mod config_overlay;
mod config_plan;
pub mod config_restore;
mod contact;
pub mod counter;
pub mod event;
mod gossip;
mod heartbeat;
pub mod ids;
pub mod instance;
mod members;
pub mod membership;
pub mod occurrence;
pub mod packet;
pub mod peer;
pub mod status;
pub mod time;
mod watching;

pub use action::Action;
pub use event::Event;
pub use instance::Instance;
pub use time::Time;
