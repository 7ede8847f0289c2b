//! Decisions of the lovagespindle load balancer, independent of sockets and encodings.
//!
//! The package takes [`Event`]s and returns [`Action`]s. The daemon drives it with sockets and the
//! system clock, tests with virtual time.

pub mod action;
mod answers;
mod closing;
pub mod config;
mod config_affected;
mod config_apply;
mod config_check;
pub mod config_error;
mod config_index;
mod config_lookup;
mod config_overlay;
mod config_plan;
pub mod config_restore;
pub mod config_sync;
mod contact;
pub mod counter;
pub mod dsr;
pub mod event;
mod failure_detector;
pub mod flows;
mod gossip;
mod handover;
mod hosting;
pub mod ids;
pub mod instance;
pub mod maintenance;
mod member_exchange;
mod members;
pub mod membership;
mod monitoring;
pub mod owners;
pub mod ownership;
pub mod packet;
pub mod peer;
pub mod registry;
pub mod rendezvous;
pub mod requests;
pub mod retry_budget;
mod routing;
pub mod servers;
pub mod state_change;
pub mod status;
pub mod tables;
pub mod time;
pub mod warmup;

pub use action::Action;
pub use event::Event;
pub use instance::Instance;
pub use time::Time;
