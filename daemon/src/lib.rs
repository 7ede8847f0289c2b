//! The lovagespindle daemon: settings, logging, metrics, and the actors that run one instance.

pub mod adapters;
pub mod applier;
pub mod command;
pub mod counters;
pub mod dsr;
pub mod limits;
pub mod log_writer;
pub mod logging;
pub mod metrics;
pub mod router;
pub mod run;
pub mod settings;
pub mod state_changes;
