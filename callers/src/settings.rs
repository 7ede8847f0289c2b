//! Settings of the caller socket.

use std::net::{
    Ipv4Addr,
    SocketAddr, //
};

use lovagespindle_datagram::socket::DEFAULT_RECEIVE_BUFFER;
use serde::{
    Deserialize,
    Serialize, //
};

/// Settings of the caller socket.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Settings {
    /// Local address to which the fabric delivers packets from callers.
    pub listen: SocketAddr,
    /// Address of the fabric, to which packets for callers are sent.
    pub fabric: SocketAddr,
    /// Size of the socket's receive buffer in bytes.
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
