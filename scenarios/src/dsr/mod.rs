//! An emulator of the users' platform under virtual time: clients, routers, backend servers and the
//! store around the real decisions for direct server return.

mod clients;
mod compare;
mod day;
mod faults;
mod machines;
mod measure;
mod minds;
mod network;
mod news;
mod operator;
mod plot;
mod probes;
mod routers;
mod rules;
mod servers;
mod site;
mod store;
mod world;

pub use compare::{
    Comparison,
    compare, //
};
pub use day::{
    Day,
    DayError,
    Fault,
    Trouble, //
};
pub use measure::{
    ClassReport,
    Loss,
    Report, //
};
pub use plot::plot;
pub use rules::{
    Breach,
    Rule, //
};
pub use site::{
    Hashing,
    Site, //
};
pub use world::{
    Policy,
    World, //
};
