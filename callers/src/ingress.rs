//! From datagrams of the fabric to events.

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

/// Turns datagrams of the fabric into events.
pub struct CallerIngress {
    /// The services by address.
    pub services: Services,
}

impl Ingress for CallerIngress {
    type Update = Services;

    fn update(&mut self, update: Services) {
        self.services = update;
    }

    /// The source is not checked: the fabric may send from any address, and what counts is the
    /// caller's address in the header.
    fn accept(
        &mut self,
        now: Time,
        _source: SocketAddr,
        bytes: &[u8],
    ) -> Result<Event, DecodeError> {
        let datagram = Datagram::decode(bytes, &self.services, now)?;
        datagram.from_caller().map(Event::CallerPacket)
    }
}
