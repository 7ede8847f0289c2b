//! Settings of the backend server socket.

use std::net::{
    Ipv4Addr,
    SocketAddr, //
};

use lovagespindle_datagram::socket::DEFAULT_RECEIVE_BUFFER;
use serde::{
    Deserialize,
    Serialize, //
};

/// Settings of the backend server socket.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Settings {
    /// Local address. All backend servers must have addresses of the same family.
    pub listen: SocketAddr,
    /// Size of the socket's receive buffer in bytes.
    pub receive_buffer: usize,
}

impl Default for Settings {
    fn default() -> Settings {
        Settings {
            listen: SocketAddr::from((Ipv4Addr::UNSPECIFIED, 0)),
            receive_buffer: DEFAULT_RECEIVE_BUFFER,
        }
    }
}
