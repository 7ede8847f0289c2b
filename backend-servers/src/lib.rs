//! Datagram socket for backend servers, and polling of their health and load.

pub mod generated;
pub mod ingress;
pub mod poll;
pub mod prober;
pub mod servers;
pub mod settings;
pub mod socket;

pub use poll::Outcome;
pub use prober::{
    GetPollCounts,
    PollCounts,
    Prober,
    ProberArguments,
    ProberSettings,
    StartPolling,
    StopPolling, //
};
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
