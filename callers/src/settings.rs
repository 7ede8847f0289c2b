//! Settings of the socket towards callers.

use std::net::{
    Ipv4Addr,
    SocketAddr, //
};

use lovagespindle_datagram::socket::DEFAULT_RECEIVE_BUFFER;
use serde::{
    Deserialize,
    Serialize, //
};

/// Settings of the socket towards callers.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Settings {
    /// Where the fabric delivers packets.
    pub listen: SocketAddr,
    /// Where the fabric takes packets for callers.
    pub fabric: SocketAddr,
    /// How many bytes the operating system queues.
    pub receive_buffer: usize,
}

impl Default for Settings {
    fn default() -> Settings {
        Settings {
            listen: SocketAddr::from((Ipv4Addr::UNSPECIFIED, 4700)),
            fabric: SocketAddr::from((Ipv4Addr::LOCALHOST, 4701)),
            receive_buffer: DEFAULT_RECEIVE_BUFFER,
        }
    }
}
