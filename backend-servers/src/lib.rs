//! Datagram socket, health and load polling towards backend servers.

pub mod ingress;
pub mod servers;
pub mod settings;
pub mod socket;

pub use servers::Servers;
pub use settings::Settings;
pub use socket::{
    Arguments,
    BackendSocket,
    GetAddress,
    GetCounts,
    SendPackets,
    SetServers,
    SetServices, //
};
