//! Scenario tests: real [`lovagespindle_decisions::Instance`]s under virtual time, with stand-ins
//! for the fabric, the backend servers, the callers and the platform.

mod baseline;
mod callers;
pub mod dsr;
mod fabric;
mod measure;
mod platform;
mod prelude;
mod scene;
mod script;
mod servers;
mod site;
mod trace;
mod world;

pub use measure::Metric;
pub use scene::{
    Scene,
    SceneError, //
};
pub use world::{
    Policy,
    World, //
};
