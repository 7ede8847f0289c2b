//! UDP socket for packets from and to callers, which pass through the fabric.

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
