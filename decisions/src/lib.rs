//! Decisions of the lovagespindle load balancer, without sockets or encodings.
//!
//! [`Event`]s go in and [`Action`]s come out. The daemon drives this package with sockets and the
//! system clock; tests drive it with virtual time.

pub mod action;
pub mod config;
mod config_apply;
mod config_check;
pub mod config_error;
mod config_index;
mod config_lookup;
mod config_overlay;
mod config_plan;
pub mod config_restore;
pub mod counter;
pub mod event;
pub mod ids;
pub mod instance;
pub mod occurrence;
pub mod packet;
pub mod peer;
pub mod status;
pub mod time;

pub use action::Action;
pub use event::Event;
pub use instance::Instance;
pub use time::Time;
