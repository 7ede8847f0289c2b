//! Conversion of datagrams from backend servers to events.

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

/// Update of the data that datagrams are checked against.
pub enum Update {
    /// Replaces the services.
    Services(Services),
    /// Replaces the backend servers.
    Servers(Servers),
}

/// Converts datagrams from backend servers to events. Rejects those from unknown addresses.
pub struct ServerIngress {
    pub services: Services,
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
