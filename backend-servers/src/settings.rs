//! Settings of the socket towards backend servers.

use std::net::{
    Ipv4Addr,
    SocketAddr, //
};

use lovagespindle_datagram::socket::DEFAULT_RECEIVE_BUFFER;
use serde::{
    Deserialize,
    Serialize, //
};

/// Settings of the socket towards backend servers.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Settings {
    /// The local address. Its family is the family of all backend servers.
    pub listen: SocketAddr,
    /// How many bytes the operating system queues.
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
