//! UDP socket towards callers.

pub mod ingress;
pub mod settings;
pub mod socket;

pub use settings::Settings;
pub use socket::{
    Arguments,
    CallerSocket,
    GetAddress,
    GetCounts,
    SendPackets,
    SetServices, //
};
