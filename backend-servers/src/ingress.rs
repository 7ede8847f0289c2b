//! From datagrams of backend servers to events.

use std::net::SocketAddr;

use lovagespindle_datagram::{
    Datagram,
    DecodeError,
    Ingress,
    Services, //
};
use lovagespindle_decisions::{
    Event,
    Time, //
};

use crate::servers::Servers;

/// A change of what is known about the peers.
pub enum Update {
    /// The services by address.
    Services(Services),
    /// The backend servers by address.
    Servers(Servers),
}

/// Turns datagrams of backend servers into events.
pub struct ServerIngress {
    /// The services by address.
    pub services: Services,
    /// The backend servers by address.
    pub servers: Servers,
}

impl Ingress for ServerIngress {
    type Update = Update;

    fn update(&mut self, update: Update) {
        match update {
            Update::Services(services) => self.services = services,
            Update::Servers(servers) => self.servers = servers,
        }
    }

    fn accept(
        &mut self,
        now: Time,
        source: SocketAddr,
        bytes: &[u8],
    ) -> Result<Event, DecodeError> {
        let Some(backend_server) = self.servers.find(source) else {
            return Err(DecodeError::UnknownSource(source));
        };
        let datagram = Datagram::decode(bytes, &self.services, now)?;
        let packet = datagram.from_server()?;
        Ok(Event::ServerPacket {
            backend_server,
            packet,
        })
    }
}
